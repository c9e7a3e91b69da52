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
import time
from typing import Any

KNOWN_RED_FILE = "KNOWN-RED.txt"
OUTPUT_FOLDER = "out"
MAX_ERROR_LINES = 20
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
        elif _normalize(name) in self.known_failures:
            self.failed_known.append(name)
        else:
            self.failed += 1
            print(f"FAILED {name}")


def read_known_failures(path: str = KNOWN_RED_FILE) -> set[str]:
    """Return the normalized names of the scenarios listed as known failures."""
    if not os.path.exists(path):
        return set()
    with open(path, encoding="utf-8") as file:
        lines = [line.strip() for line in file]
    return {
        _normalize(line.removeprefix(SCENARIO_PREFIX))
        for line in lines
        if line.startswith(SCENARIO_PREFIX)
    }


def _normalize(name: str) -> str:
    """Return a name with single blanks: an outline's empty cell leaves a blank at its end."""
    return " ".join(name.split())


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
    """Run the features and count their scenarios; keep the whole output and the report."""
    folder = os.path.join(OUTPUT_FOLDER, time.strftime("features-%Y%m%d-%H%M%S"))
    os.makedirs(folder, exist_ok=True)
    report = os.path.join(folder, "report.json")
    command = [sys.executable, "-m", "behave", "--no-color", "-f", "json", "-o", report]
    command += ["-f", "progress", "features"]
    with open(os.path.join(folder, "output.txt"), "w", encoding="utf-8") as output:
        done = subprocess.run(command, stdout=output, stderr=subprocess.STDOUT, check=False)
    scenarios = _read_scenarios(report)
    for scenario in scenarios:
        tally.add(scenario.name, scenario.is_passed)
        if not scenario.is_passed:
            print("\n".join(scenario.error_lines[:MAX_ERROR_LINES]))
    if done.returncode != 0 and all(scenario.is_passed for scenario in scenarios):
        tally.add("behave ended without an error", False)
    print(f"The output of the features is in {folder}.")


class ScenarioResult:
    """The name of a scenario, whether it passed, and otherwise the lines of its error."""

    __slots__ = ("name", "is_passed", "error_lines")

    def __init__(self, name: str, is_passed: bool, error_lines: list[str]) -> None:
        self.name = name
        self.is_passed = is_passed
        self.error_lines = error_lines

    @classmethod
    def from_report(cls, element: dict[str, Any]) -> ScenarioResult:
        """Build from a scenario of behave's JSON report."""
        messages = [
            step["result"].get("error_message", [])
            for step in element.get("steps", [])
            if "result" in step
        ]
        lines = [
            line
            for message in messages
            for line in (message.splitlines() if isinstance(message, str) else message)
        ]
        return cls(element["name"], element.get("status") == "passed", lines)


def _read_scenarios(report: str) -> list[ScenarioResult]:
    if not os.path.exists(report) or not os.path.getsize(report):
        return []
    with open(report, encoding="utf-8") as file:
        features = json.load(file)
    elements = [element for feature in features for element in feature.get("elements", [])]
    return [
        ScenarioResult.from_report(element) for element in elements if element["type"] == "scenario"
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
