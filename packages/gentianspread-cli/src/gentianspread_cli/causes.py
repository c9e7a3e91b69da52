"""Finds the earlier events that probably caused an event."""

from __future__ import annotations

from typing import Any

MAX_CAUSE_AGE_MS = 30_000
MAX_CAUSES = 12

Event = dict[str, Any]

CAUSE_KINDS_BY_EFFECT = {
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
    "statement_unanswered": ("stopping", "stopped"),
    "primary_promoted": ("failover_started", "fence_failed", "endpoint_suspected"),
    "failover_started": ("endpoint_suspected", "leader_elected", "configuration_applied"),
    "allocator_named": ("voter_lost", "stopping", "leader_elected"),
    "voters_changed": ("voter_lost", "leader_elected"),
    "redundancy_whole": ("voters_changed", "voter_lost"),
    "configuration_applied": ("change_accepted",),
    "transaction_dropped": ("change_accepted", "failover_started", "configuration_applied"),
}
CHANGES_BY_REFUSAL_CODE = {
    "key_refused": ("withdraw_key",),
    "maintenance": ("switch_preset",),
    "rate_limited": ("create_workspace",),
}


def explain(events: list[Event], subject: str) -> list[Event]:
    """Return the newest event about a subject, preceded by its probable causes, oldest first."""
    matching = [event for event in events if subject in (event["subject"], _subject_name(event))]
    if not matching:
        return []
    effect = matching[-1]
    causes = [event for event in events if _may_cause(event, effect)]
    return [*_without_duplicates(causes)[-MAX_CAUSES:], effect]


def _may_cause(event: Event, effect: Event) -> bool:
    elapsed = effect["wall_ms"] - event["wall_ms"]
    is_before = 0 <= elapsed <= MAX_CAUSE_AGE_MS and event is not effect
    kinds = CAUSE_KINDS_BY_EFFECT.get(effect["kind"], ())
    if not is_before or event["kind"] not in kinds:
        return False
    if event["kind"] in ("change_accepted", "configuration_applied"):
        changes = CHANGES_BY_REFUSAL_CODE.get(effect["cause"], ())
        return any(change in event["cause"] for change in changes)
    return _share_name(event, effect)


def _share_name(event: Event, effect: Event) -> bool:
    """Return whether both events name the same group, endpoint, workspace or VM.

    A cause about the endpoint GROUP-N matches an effect about GROUP.
    """
    cause_names, effect_names = _names(event), _names(effect) | {effect["member"]}
    same_group = any(cause.startswith(f"{name}-") for cause in cause_names for name in effect_names)
    return bool(cause_names & effect_names) or same_group


def _names(event: Event) -> set[str]:
    details = event["details"]
    named = {details.get(name, "") for name in ("group", "endpoint", "workspace")}
    return (named | {_subject_name(event)}) - {""}


def _subject_name(event: Event) -> str:
    return str(event["subject"]).rpartition(" ")[2]


def _without_duplicates(events: list[Event]) -> list[Event]:
    """Return the first event of each kind, subject and cause; several VMs record the same one."""
    seen: set[tuple[str, str, str]] = set()
    kept = []
    for event in events:
        key = (event["kind"], event["subject"], event["cause"])
        if key not in seen:
            seen.add(key)
            kept.append(event)
    return kept
