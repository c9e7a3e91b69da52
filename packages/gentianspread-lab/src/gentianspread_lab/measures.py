"""The brief's measures, from a journal."""

from __future__ import annotations

from collections.abc import Iterable

from .deployments import WorkspacePlan
from .journal import Entry

MS = 1000.0


def percentile(values: Iterable[float], part: float) -> float:
    """Return the value below which a part (0 to 1) of the values lies; 0 without values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def replica_read_share(entries: list[Entry], primaries: dict[str, set[str]]) -> float:
    """Return the part of answered reads that an endpoint served which was never primary."""
    reads = [entry for entry in entries if entry.kind == "read" and entry.status == 200]
    if not reads:
        return 0.0
    served = sum(1 for entry in reads if entry.endpoint not in primaries[entry.group])
    return served / len(reads)


def success_share(entries: list[Entry]) -> float:
    """Return the part of requests that ran, refusals counted as failures."""
    if not entries:
        return 0.0
    return sum(1 for entry in entries if entry.result == "run") / len(entries)


def worst_success(entries: list[Entry], workspaces: Iterable[str]) -> float:
    """Return the success share of the worst-served workspace."""
    shares = [
        success_share([entry for entry in entries if entry.workspace == name])
        for name in workspaces
    ]
    return min(shares, default=0.0)


def refused_share(entries: list[Entry]) -> float:
    """Return the part of requests that were refused for their workspace's rate."""
    if not entries:
        return 0.0
    return sum(1 for entry in entries if entry.code == "rate_limited") / len(entries)


def longest_gap(entries: list[Entry], after: float) -> float:
    """Return the seconds from a time to the answer of the first write that ran after it."""
    times = [
        entry.answered_at
        for entry in entries
        if entry.kind == "write" and entry.result == "run" and entry.sent_at >= after
    ]
    return min(times, default=float("inf")) - after


def max_excess_over_limit(entries: list[Entry], plan: WorkspacePlan) -> float:
    """Return by how many requests a workspace exceeded rate and burst in the worst window.

    A window reaches from a sending to an answering; requests sent and answered inside it were
    admitted inside it. Zero or less means that the limit held.
    """
    admitted = sorted(
        (
            entry
            for entry in entries
            if entry.workspace == plan.name and entry.result in ("run", "unknown")
        ),
        key=lambda entry: entry.answered_at,
    )
    worst = float("-inf")
    for first in admitted:
        count = 0
        for last in admitted:
            if last.sent_at < first.sent_at:
                continue
            count += 1
            window = last.answered_at - first.sent_at
            worst = max(worst, count - (plan.burst + plan.rate * window))
    return worst
