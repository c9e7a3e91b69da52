"""Prints the measures and verdicts of a demo run as tables."""

from __future__ import annotations

from .deployments import Deployment
from .measures import (
    MS_PER_S,
    percentile,
    refused_share,
    replica_read_share,
    worst_success,
)
from .oracle import Verdict
from .scenario import Scenario

MAX_VIOLATIONS_SHOWN = 3
PERCENT = 100.0
OVERLOAD_PHASE = "one workspace at ten times its rate"


def compute_measures(deployment: Deployment, scenario: Scenario) -> dict[str, float]:
    """Return the measures of a finished scenario: seconds, milliseconds or percent."""
    journal = scenario.journal
    quiet = journal.entries_of_phases("quiet")
    within_rate = [plan.name for plan in deployment.workspaces[:-1]]
    others = [
        entry
        for entry in journal.entries_of_phases(OVERLOAD_PHASE)
        if entry.workspace in within_rate
    ]
    steady = [entry for entry in journal.entries if entry.workspace in within_rate]
    primaries = {group: {name} for group, name in scenario.initial_primaries.items()}
    quiet_p99, overload_p99 = _p99_ms(quiet, within_rate), _p99_ms(others, within_rate)
    return {
        "failover gap": scenario.failover_gap_s,
        "replica reads": replica_read_share(quiet, primaries) * PERCENT,
        "worst served": worst_success(quiet, within_rate) * PERCENT,
        "worst served, overload": worst_success(others, within_rate) * PERCENT,
        "p99 quiet": quiet_p99,
        "p99 overload": overload_p99,
        "p99 overload beside quiet": overload_p99 / max(quiet_p99, 1.0),
        "refused inside the rate": refused_share(steady) * PERCENT,
        "key withdrawn": scenario.key_withdrawal_s,
        "preset in force": scenario.preset_propagation_s,
    }


def print_measures(deployment: Deployment, scenario: Scenario) -> None:
    """Print the measures of a finished scenario."""
    measures = compute_measures(deployment, scenario)
    rows = (
        ("requests sent", f"{len(scenario.journal.entries)}"),
        ("reads served by replicas, quiet", f"{measures['replica reads']:.1f} %"),
        ("failover gap, worst of two", f"{measures['failover gap']:.2f} s"),
        ("worst-served workspace, quiet", f"{measures['worst served']:.2f} %"),
        ("worst-served workspace, overload", f"{measures['worst served, overload']:.2f} %"),
        ("p99 of the others, quiet", f"{measures['p99 quiet']:.0f} ms"),
        ("p99 of the others, overload", f"{measures['p99 overload']:.0f} ms"),
        ("refused inside the rate, whole run", f"{measures['refused inside the rate']:.3f} %"),
        ("key withdrawn, last run after", f"{measures['key withdrawn']:.2f} s"),
        ("preset in force on the last VM", f"{measures['preset in force']:.2f} s"),
    )
    print("\nMeasures")
    for name, value in rows:
        print(f"  {name:<40} {value:>12}")


def print_refusals(scenario: Scenario) -> None:
    """Print for each phase how many requests did not run, by kind, result and reason."""
    counts: dict[str, dict[str, int]] = {}
    for entry in scenario.journal.entries:
        if entry.result != "run":
            phase = counts.setdefault(entry.phase, {})
            reason = entry.message if entry.result == "unknown" else entry.code
            name = f"{entry.kind} {entry.result} {reason}".strip()
            phase[name] = phase.get(name, 0) + 1
    print("\nRequests that did not run")
    for phase, names in counts.items():
        shown = ", ".join(f"{name}: {count}" for name, count in sorted(names.items()))
        print(f"  {phase:<38} {shown}")


def print_verdicts(verdicts: list[Verdict]) -> bool:
    """Print one line for each rule; return whether all hold."""
    print("\nWhat must always hold")
    for verdict in verdicts:
        state = "holds" if verdict.holds() else "BROKEN"
        print(f"  {verdict.rule:<58} {state:<7} {verdict.checks:>7} checks")
        for text in verdict.violations[:MAX_VIOLATIONS_SHOWN]:
            print(f"      {text}")
    all_hold = all(verdict.holds() for verdict in verdicts)
    print(f"\n{'Every rule holds.' if all_hold else 'A rule was BROKEN.'}")
    return all_hold


def _p99_ms(entries: list, workspaces: list[str]) -> float:
    latencies_s = [entry.latency() for entry in entries if entry.workspace in workspaces]
    return percentile(latencies_s, 0.99) * MS_PER_S
