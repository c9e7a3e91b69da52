"""Test oracle: verdicts on the rules that must always hold.

They are derived from the callers' journal and the endpoints' data, not from the software under
test. A rule that was never checked counts as violated.
"""

from __future__ import annotations

from typing import Any

from .callers import SELECT_ALL_VALUES
from .client import post
from .deployments import Deployment
from .journal import Journal
from .measures import max_excess_over_limit


class Verdict:
    """One rule: how often it was checked, and its violations."""

    __slots__ = ("rule", "checks", "violations")

    def __init__(self, rule: str, checks: int, violations: list[str]) -> None:
        self.rule = rule
        self.checks = checks
        self.violations = violations

    def holds(self) -> bool:
        """Return whether the rule was checked and never violated."""
        return self.checks > 0 and not self.violations


class Evidence:
    """What the demo's phases observed apart from the journal.

    The lists hold violations. `statements_after_leaving` counts the statements that a leaving
    endpoint received more than 3 s after its announcement.
    """

    def __init__(self) -> None:
        self.withdrawn_key_runs: list[str] = []
        self.withdrawn_key_attempts = 0
        self.statements_after_leaving = 0
        self.statements_before_leaving = 0
        self.requests_cut_by_stop: list[str] = []
        self.requests_during_stop = 0
        self.overdue_changes: list[str] = []
        self.reverted_revisions: list[str] = []
        self.revision_checks = 0
        self.acknowledged_fenced_writes: list[str] = []
        self.fenced_write_attempts = 0


def inspect(address: str, statement: str = "") -> dict[str, Any]:
    """Return a simulated endpoint's counters and the rows of a read, without going through a VM."""
    message = {"statement": statement} if statement else {}
    result: dict[str, Any] = post(address, "/inspect", message).body
    return result


def evaluate_rules(
    deployment: Deployment, journal: Journal, evidence: Evidence, primaries: dict[str, str]
) -> list[Verdict]:
    """Return a verdict for each rule; `primaries` gives addresses by group."""
    stored = {group: _count_stored_values(address) for group, address in primaries.items()}
    return [
        Verdict("A session reads its own writes", journal.session_reads, journal.stale_reads),
        _acknowledged_writes_stored(journal, stored),
        Verdict(
            "No write is acknowledged by a replaced primary",
            evidence.fenced_write_attempts,
            evidence.acknowledged_fenced_writes,
        ),
        _transactions_atomic(journal, stored),
        _wrong_keys_refused(journal),
        _keys_not_leaked(deployment, primaries),
        Verdict(
            "A withdrawn key stops working within 3 s",
            evidence.withdrawn_key_attempts,
            evidence.withdrawn_key_runs,
        ),
        _rate_limits_kept(deployment, journal),
        Verdict(
            "A caller gets the whole answer to its own request",
            journal.matching_answers,
            [str(item) for item in journal.mismatched_answers],
        ),
        _not_run_is_correct(journal, stored),
        _writes_run_once(journal, stored),
        Verdict(
            "A leaving endpoint gets no new work after 3 s",
            evidence.statements_before_leaving,
            (
                [f"{evidence.statements_after_leaving} statements"]
                if evidence.statements_after_leaving
                else []
            ),
        ),
        Verdict(
            "A planned stop cuts no request",
            evidence.requests_during_stop,
            evidence.requests_cut_by_stop,
        ),
        Verdict(
            "A configuration is in force everywhere and never reverts",
            evidence.revision_checks,
            evidence.overdue_changes + evidence.reverted_revisions,
        ),
    ]


def _count_stored_values(address: str) -> dict[str, int]:
    counts: dict[str, int] = {}
    for row in inspect(address, SELECT_ALL_VALUES)["rows"]:
        counts[row[0]] = counts.get(row[0], 0) + 1
    return counts


def _stored_count(journal: Journal, stored: dict[str, dict[str, int]], value: str) -> int:
    return stored[journal.group_by_value[value]].get(value, 0)


def _acknowledged_writes_stored(journal: Journal, stored: dict[str, dict[str, int]]) -> Verdict:
    acknowledged = [value for value, result in journal.result_by_value.items() if result == "run"]
    lost = [value for value in acknowledged if _stored_count(journal, stored, value) == 0]
    return Verdict("No acknowledged write is lost", len(acknowledged), lost)


def _transactions_atomic(journal: Journal, stored: dict[str, dict[str, int]]) -> Verdict:
    partial = [
        f"{first} and {second}"
        for first, second in journal.transaction_values
        if _stored_count(journal, stored, first) != _stored_count(journal, stored, second)
    ]
    return Verdict("Statements of transactions never mix", len(journal.transaction_values), partial)


def _wrong_keys_refused(journal: Journal) -> Verdict:
    violations = ["a request ran with a wrong key"] * journal.wrong_key_runs
    return Verdict(
        "A request runs only for the workspace of its key", journal.wrong_key_attempts, violations
    )


def _keys_not_leaked(deployment: Deployment, primaries: dict[str, str]) -> Verdict:
    checks = 0
    leaks = []
    for plan in deployment.endpoints:
        try:
            counters = inspect(plan.address)
        except Exception:  # noqa: BLE001, S112
            continue
        checks += counters["seen"]
        if counters["leaks"]:
            leaks.append(f"{plan.name}: {counters['leaks']}")
    return Verdict("No endpoint sees a caller's key", checks, leaks)


def _rate_limits_kept(deployment: Deployment, journal: Journal) -> Verdict:
    violations = []
    for plan in deployment.workspaces:
        excess = max_excess_over_limit(journal.entries, plan)
        if excess > 0:
            violations.append(f"{plan.name}: {excess:.1f} requests too many")
    return Verdict(
        "No workspace gets more than its rate and burst", len(journal.entries), violations
    )


def _not_run_is_correct(journal: Journal, stored: dict[str, dict[str, int]]) -> Verdict:
    refused = [value for value, result in journal.result_by_value.items() if result == "not run"]
    present = [value for value in refused if _stored_count(journal, stored, value) > 0]
    return Verdict("A refusal that says not run is true", len(refused), present)


def _writes_run_once(journal: Journal, stored: dict[str, dict[str, int]]) -> Verdict:
    repeated = [
        value for value in journal.result_by_value if _stored_count(journal, stored, value) > 1
    ]
    return Verdict(
        "A request that is not idempotent runs at most once", len(journal.result_by_value), repeated
    )
