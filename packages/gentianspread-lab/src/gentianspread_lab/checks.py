"""Runs the formatter, the linter, the link check and the features, and counts what passed.

Known failures are listed in KNOWN-RED.txt: they run and are printed, but do not fail the run.
"""

from __future__ import annotations

import glob
import json
import os
import re
import subprocess
import sys
import tempfile

KNOWN_RED_FILE = "KNOWN-RED.txt"
README = "README.md"
LINK = re.compile(r"\]\(([^)]+)\)")
SCENARIO_PREFIX = "scenario: "
TOOLS = (
    ("black", ["-m", "black", "--quiet", "--check", "packages", "features"]),
    ("ruff", ["-m", "ruff", "check", "--quiet", "packages", "features"]),
)


class Tally:
    """Counts of passed and failed checks, and the failed ones among the known failures."""

    __slots__ = ("passed", "failed", "known_failures", "failed_known")

    def __init__(self, known_failures: set[str]) -> None:
        self.passed = 0
        self.failed = 0
        self.known_failures = known_failures
        self.failed_known: list[str] = []

    def add(self, name: str, is_passed: bool) -> None:
        """Count one check."""
        if is_passed:
            self.passed += 1
        elif name in self.known_failures:
            self.failed_known.append(name)
        else:
            self.failed += 1
            print(f"FAILED {name}")


def read_known_failures() -> set[str]:
    """Return the names of the scenarios listed as known failures."""
    if not os.path.exists(KNOWN_RED_FILE):
        return set()
    with open(KNOWN_RED_FILE, encoding="utf-8") as file:
        lines = [line.strip() for line in file]
    return {
        line.removeprefix(SCENARIO_PREFIX) for line in lines if line.startswith(SCENARIO_PREFIX)
    }


def run_tools(tally: Tally) -> None:
    """Run the formatter and the linter."""
    for name, arguments in TOOLS:
        done = subprocess.run([sys.executable, *arguments], check=False)
        tally.add(name, done.returncode == 0)


def check_links(tally: Tally) -> None:
    """Check that the target of every relative link in the pages exists."""
    pages = [README, *glob.glob("docs/**/*.md", recursive=True)]
    for page in pages:
        with open(page, encoding="utf-8") as file:
            links = LINK.findall(file.read())
        broken = [link for link in links if not _target_exists(page, link)]
        for link in broken:
            print(f"{page} links to {link}, which does not exist")
        tally.add(f"links of {page}", not broken)


def _target_exists(page: str, link: str) -> bool:
    path = link.partition("#")[0]
    return not path or os.path.exists(os.path.join(os.path.dirname(page), path))


def run_features(tally: Tally) -> None:
    """Run the features and count their scenarios."""
    with tempfile.TemporaryDirectory() as folder:
        report = os.path.join(folder, "report.json")
        command = [sys.executable, "-m", "behave", "--no-color", "-f", "json", "-o", report]
        command += ["-f", "progress", "features"]
        done = subprocess.run(command, check=False)
        scenarios = _read_scenarios(report)
    for name, is_passed in scenarios:
        tally.add(name, is_passed)
    if done.returncode != 0 and all(is_passed for _, is_passed in scenarios):
        tally.add("behave ended without an error", False)


def _read_scenarios(report: str) -> list[tuple[str, bool]]:
    with open(report, encoding="utf-8") as file:
        features = json.load(file)
    elements = [element for feature in features for element in feature.get("elements", [])]
    return [
        (element["name"], element.get("status") == "passed")
        for element in elements
        if element["type"] == "scenario"
    ]


def main() -> int:
    """Run all checks and print the closing line."""
    tally = Tally(read_known_failures())
    run_tools(tally)
    check_links(tally)
    run_features(tally)
    for name in tally.failed_known:
        print(f"KNOWN RED {name}")
    print(f"{tally.passed} passed, {tally.failed} failed")
    return 1 if tally.failed or not tally.passed else 0


if __name__ == "__main__":
    sys.exit(main())
