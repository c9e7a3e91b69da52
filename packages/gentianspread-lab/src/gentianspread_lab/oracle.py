"""The oracle: verdicts on what must always hold, from journals and endpoints, not from the product.

A verdict without any check behind it counts as broken.
"""

from __future__ import annotations

from typing import Any

from .callers import SELECT_ALL_VALUES
from .client import post
from .deployments import Deployment
from .journal import Journal
from .measures import max_excess_over_limit


class Verdict:
    """One rule: how often it was checked, and what broke it."""

    __slots__ = ("rule", "checks", "violations")

    def __init__(self, rule: str, checks: int, violations: list[str]) -> None:
        self.rule = rule
        self.checks = checks
        self.violations = violations

    def holds(self) -> bool:
        """Tell whether the rule was checked and never broken."""
        return self.checks > 0 and not self.violations


class Evidence:
    """What the demo's phases noticed, beside the journal."""

    def __init__(self) -> None:
        self.withdrawn_runs: list[str] = []
        self.withdrawn_tries = 0
        self.leaving_seen = 0
        self.leaving_checks = 0
        self.stop_cuts: list[str] = []
        self.stop_requests = 0
        self.late_revisions: list[str] = []
        self.reverted: list[str] = []
        self.revision_checks = 0
        self.fenced_writes: list[str] = []
        self.fenced_tries = 0


def inspect(address: str, statement: str = "") -> dict[str, Any]:
    """Ask an endpoint stand-in for its data as it is."""
    message = {"statement": statement} if statement else {}
    answer: dict[str, Any] = post(address, "/inspect", message).body
    return answer


def judge(
    deployment: Deployment, journal: Journal, evidence: Evidence, primaries: dict[str, str]
) -> list[Verdict]:
    """Return a verdict for each line of the brief; `primaries` gives addresses by group."""
    held = {group: _held_values(address) for group, address in primaries.items()}
    return [
        Verdict("A session reads its own writes", journal.session_reads, journal.stale_reads),
        _no_write_lost(journal, held),
        Verdict(
            "No write is acknowledged by a replaced primary",
            evidence.fenced_tries,
            evidence.fenced_writes,
        ),
        _pairs_whole(journal, held),
        _keys_respected(journal),
        _no_key_leaked(deployment, primaries),
        Verdict(
            "A withdrawn key stops working within 3 s",
            evidence.withdrawn_tries,
            evidence.withdrawn_runs,
        ),
        _limits_kept(deployment, journal),
        Verdict(
            "A caller gets the whole answer to its own request",
            journal.own_answers,
            [str(item) for item in journal.foreign_answers],
        ),
        _not_run_is_true(journal, held),
        _at_most_once(journal, held),
        Verdict(
            "A leaving endpoint gets no new work after 3 s",
            evidence.leaving_checks,
            [f"{evidence.leaving_seen} statements"] if evidence.leaving_seen else [],
        ),
        Verdict("A planned stop cuts no request", evidence.stop_requests, evidence.stop_cuts),
        Verdict(
            "A configuration is in force everywhere and never reverts",
            evidence.revision_checks,
            evidence.late_revisions + evidence.reverted,
        ),
    ]


def _held_values(address: str) -> dict[str, int]:
    counts: dict[str, int] = {}
    for row in inspect(address, SELECT_ALL_VALUES)["rows"]:
        counts[row[0]] = counts.get(row[0], 0) + 1
    return counts


def _count(journal: Journal, held: dict[str, dict[str, int]], value: str) -> int:
    return held[journal.group_of_value[value]].get(value, 0)


def _no_write_lost(journal: Journal, held: dict[str, dict[str, int]]) -> Verdict:
    acknowledged = [value for value, result in journal.values.items() if result == "run"]
    lost = [value for value in acknowledged if _count(journal, held, value) == 0]
    return Verdict("No acknowledged write is lost", len(acknowledged), lost)


def _pairs_whole(journal: Journal, held: dict[str, dict[str, int]]) -> Verdict:
    torn = [
        f"{first} and {second}"
        for first, second in journal.pairs
        if _count(journal, held, first) != _count(journal, held, second)
    ]
    return Verdict("Statements of transactions never mix", len(journal.pairs), torn)


def _keys_respected(journal: Journal) -> Verdict:
    violations = ["a request ran with a wrong key"] * journal.wrong_key_runs
    return Verdict(
        "A request runs only for the workspace of its key", journal.wrong_key_tries, violations
    )


def _no_key_leaked(deployment: Deployment, primaries: dict[str, str]) -> Verdict:
    checks = 0
    leaks = []
    for plan in deployment.endpoints:
        try:
            answer = inspect(plan.address)
        except Exception:  # noqa: BLE001, S112
            continue
        checks += answer["seen"]
        if answer["leaks"]:
            leaks.append(f"{plan.name}: {answer['leaks']}")
    return Verdict("No endpoint sees a caller's key", checks, leaks)


def _limits_kept(deployment: Deployment, journal: Journal) -> Verdict:
    violations = []
    for plan in deployment.workspaces:
        excess = max_excess_over_limit(journal.entries, plan)
        if excess > 0:
            violations.append(f"{plan.name}: {excess:.1f} requests too many")
    return Verdict(
        "No workspace gets more than its rate and burst", len(journal.entries), violations
    )


def _not_run_is_true(journal: Journal, held: dict[str, dict[str, int]]) -> Verdict:
    refused = [value for value, result in journal.values.items() if result == "not run"]
    present = [value for value in refused if _count(journal, held, value) > 0]
    return Verdict("A refusal that says not run is true", len(refused), present)


def _at_most_once(journal: Journal, held: dict[str, dict[str, int]]) -> Verdict:
    twice = [value for value in journal.values if _count(journal, held, value) > 1]
    return Verdict("A request that is not idempotent runs at most once", len(journal.values), twice)
