"""Explains an event: the chain of earlier events that led to it."""

from __future__ import annotations

from typing import Any

WINDOW_MS = 30_000
MOST_CAUSES = 12

Event = dict[str, Any]

LEADS_TO = {
    "request_refused": (
        "endpoint_suspected",
        "failover_started",
        "fence_failed",
        "freshness_lost",
        "stopping",
        "change_accepted",
        "configuration_applied",
    ),
    "request_unknown": ("endpoint_suspected", "failover_started", "pool_flushed", "leader_lost"),
    "primary_promoted": ("failover_started", "fence_failed", "endpoint_suspected"),
    "failover_started": ("endpoint_suspected", "leader_elected", "configuration_applied"),
    "allocator_named": ("voter_lost", "stopping", "leader_elected"),
    "voters_changed": ("voter_lost", "leader_elected"),
    "redundancy_whole": ("voters_changed", "voter_lost"),
    "configuration_applied": ("change_accepted",),
    "transaction_dropped": ("change_accepted", "failover_started", "configuration_applied"),
}
CODES_BY_CHANGE = {
    "key_refused": ("withdraw_key",),
    "maintenance": ("switch_preset",),
    "rate_limited": ("create_workspace",),
}


def explain(events: list[Event], subject: str) -> list[Event]:
    """Return the newest event about a subject and, before it, what led to it, oldest first."""
    found = [event for event in events if subject in (event["subject"], _last_word(event))]
    if not found:
        return []
    effect = found[-1]
    earlier = [event for event in events if _may_lead(event, effect)]
    return [*_without_repeats(earlier)[-MOST_CAUSES:], effect]


def _may_lead(event: Event, effect: Event) -> bool:
    elapsed = effect["wall_ms"] - event["wall_ms"]
    is_before = 0 <= elapsed <= WINDOW_MS and event is not effect
    kinds = LEADS_TO.get(effect["kind"], ())
    if not is_before or event["kind"] not in kinds:
        return False
    if event["kind"] in ("change_accepted", "configuration_applied"):
        changes = CODES_BY_CHANGE.get(effect["cause"], ())
        return any(change in event["cause"] for change in changes)
    return _share_a_thing(event, effect)


def _share_a_thing(event: Event, effect: Event) -> bool:
    """Tell whether an event names a group, endpoint, workspace or VM that the effect names too."""
    first, second = _things(event), _things(effect) | {effect["member"]}
    same_group = any(one.startswith(f"{two}-") for one in first for two in second)
    return bool(first & second) or same_group


def _things(event: Event) -> set[str]:
    details = event["details"]
    named = {details.get(name, "") for name in ("group", "endpoint", "workspace")}
    return (named | {_last_word(event)}) - {""}


def _last_word(event: Event) -> str:
    return str(event["subject"]).rpartition(" ")[2]


def _without_repeats(events: list[Event]) -> list[Event]:
    """Keep the first of events that say the same on several VMs."""
    seen: set[tuple[str, str, str]] = set()
    kept = []
    for event in events:
        key = (event["kind"], event["subject"], event["cause"])
        if key not in seen:
            seen.add(key)
            kept.append(event)
    return kept
