"""Sums up who waited and who was refused around the time of a refused request."""

from __future__ import annotations

import statistics
from typing import Any

WINDOW_MS = 1000  # before and after the refusal; a request waits for a second at most
OVERLOAD_CAUSES = frozenset({"overloaded", "deadline_passed"})
KINDS = frozenset({"request_answered", "request_refused", "request_unknown"})

Event = dict[str, Any]


def overload_lines(events: list[Event], effect: Event) -> list[str]:
    """Return a table by priority, workspace and zone, if a request was refused under overload.

    Lines of relayed statements are left out, since the VM of the caller writes one as well.
    """
    is_overload = effect["kind"] == "request_refused" and effect["cause"] in OVERLOAD_CAUSES
    if not is_overload or "priority" not in effect["details"]:
        return []
    group = effect["details"].get("group", "")
    members: dict[tuple[str, str, str], list[Event]] = {}
    for event in events:
        details = event["details"]
        is_near = abs(event["wall_ms"] - effect["wall_ms"]) <= WINDOW_MS
        if event["kind"] not in KINDS or not is_near or details.get("relayed"):
            continue
        if details.get("group") == group and "priority" in details:
            key = (details["priority"], details.get("workspace", ""), details.get("zone", ""))
            members.setdefault(key, []).append(event)
    lines = [f"Requests for group {group} within {WINDOW_MS / 1000:g} s, by priority:"]
    for (priority, workspace, zone), own in sorted(members.items()):
        lines.append(f"  priority {priority} {workspace:<12} {zone:<10} {_counts(own)}")
    return lines


def _counts(events: list[Event]) -> str:
    refused: dict[str, int] = {}
    for event in events:
        if event["kind"] != "request_answered":
            refused[event["cause"]] = refused.get(event["cause"], 0) + 1
    answered = sum(1 for event in events if event["kind"] == "request_answered")
    causes = ", ".join(f"{cause} {count}" for cause, count in sorted(refused.items()))
    wait_ms = statistics.median(event["details"].get("queued_ms", 0) for event in events)
    return f"answered {answered}, refused {causes or 'none'}, median wait {wait_ms:.0f} ms"
