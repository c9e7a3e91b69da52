"""Prints the demo's measures and verdicts as tables."""

from __future__ import annotations

from .deployments import Deployment
from .measures import (
    MS,
    percentile,
    refused_share,
    replica_share,
    success_share,
    worst_success,
)
from .oracle import Verdict
from .scenario import Scenario

MOST_BREAKS_SHOWN = 3
OVERLOAD_PHASE = "one workspace at ten times its rate"


def print_measures(deployment: Deployment, scenario: Scenario) -> None:
    """Print the brief's measures."""
    journal = scenario.journal
    quiet = journal.of_phase("quiet")
    overload = journal.of_phase(OVERLOAD_PHASE)
    inside = [plan.name for plan in deployment.workspaces[:-1]]
    primaries = {group: {name} for group, name in scenario.quiet_primaries.items()}
    others = [entry for entry in overload if entry.workspace in inside]
    steady = [entry for entry in journal.entries if entry.workspace in inside]
    rows = (
        ("requests sent", f"{len(journal.entries)}"),
        ("reads served by replicas, quiet", f"{replica_share(quiet, primaries):.1%}"),
        ("failover gap, worst of two", f"{scenario.failover_gap:.2f} s"),
        ("worst-served workspace, quiet", f"{worst_success(quiet, inside):.2%}"),
        ("worst-served workspace, overload", f"{worst_success(others, inside):.2%}"),
        ("p99 of the others, quiet", f"{_p99_ms(quiet, inside):.0f} ms"),
        ("p99 of the others, overload", f"{_p99_ms(others, inside):.0f} ms"),
        ("refused inside the rate, whole run", f"{refused_share(steady):.3%}"),
        ("requests that ran, whole run", f"{success_share(steady):.2%}"),
        ("key withdrawn, last run after", f"{scenario.withdrawal_s:.2f} s"),
        ("preset in force on the last VM", f"{scenario.preset_s:.2f} s"),
    )
    print("\nMeasures")
    for name, value in rows:
        print(f"  {name:<40} {value:>12}")


def print_refusals(scenario: Scenario) -> None:
    """Print how often each phase saw each refusal."""
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
    """Print a line a rule; return whether all hold."""
    print("\nWhat must always hold")
    for verdict in verdicts:
        word = "holds" if verdict.holds() else "BROKEN"
        print(f"  {verdict.rule:<58} {word:<7} {verdict.checks:>7} checks")
        for text in verdict.breaks[:MOST_BREAKS_SHOWN]:
            print(f"      {text}")
    is_whole = all(verdict.holds() for verdict in verdicts)
    print(f"\n{'Every rule holds.' if is_whole else 'A rule was BROKEN.'}")
    return is_whole


def _p99_ms(entries: list, workspaces: list[str]) -> float:
    chosen = [entry.latency() for entry in entries if entry.workspace in workspaces]
    return percentile(chosen, 0.99) * MS
