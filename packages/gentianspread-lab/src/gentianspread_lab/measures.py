"""Calculates service-level measures from the entries of a journal."""

from __future__ import annotations

from collections.abc import Iterable

from .deployments import WorkspacePlan
from .journal import Entry

MS_PER_S = 1000.0


def percentile(values: Iterable[float], fraction: float) -> float:
    """Return the value below which the given fraction of the values lies; 0 without values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def replica_read_share(entries: list[Entry], primaries: dict[str, set[str]]) -> float:
    """Return the share of successful reads that were served by an endpoint outside `primaries`."""
    reads = [entry for entry in entries if entry.kind == "read" and entry.status == 200]
    if not reads:
        return 0.0
    served = sum(1 for entry in reads if entry.endpoint not in primaries[entry.group])
    return served / len(reads)


def success_share(entries: list[Entry]) -> float:
    """Return the share of requests that were executed; a refusal counts as a failure."""
    if not entries:
        return 0.0
    return sum(1 for entry in entries if entry.result == "run") / len(entries)


def worst_success(entries: list[Entry], workspaces: Iterable[str]) -> float:
    """Return the success share of the workspace with the lowest one."""
    shares = [
        success_share([entry for entry in entries if entry.workspace == name])
        for name in workspaces
    ]
    return min(shares, default=0.0)


def refused_share(entries: list[Entry]) -> float:
    """Return the share of requests that were refused by their workspace's rate limit."""
    if not entries:
        return 0.0
    return sum(1 for entry in entries if entry.code == "rate_limited") / len(entries)


def time_to_first_write(entries: list[Entry], after: float) -> float:
    """Return the seconds until the first response to an executed write that was sent later."""
    times = [
        entry.answered_at
        for entry in entries
        if entry.kind == "write" and entry.result == "run" and entry.sent_at >= after
    ]
    return min(times, default=float("inf")) - after


def max_excess_over_limit(entries: list[Entry], plan: WorkspacePlan) -> float:
    """Return by how many requests a workspace exceeded rate and burst in the worst window.

    A window begins when a request is sent and ends when one is answered. Requests that were sent
    and answered within it were admitted within it. Zero or less means that it kept to its
    limit.
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
