"""Finds the promotion of a commit's group among collected events."""

from __future__ import annotations

from .causes import Event

MAX_PROMOTION_S = 30.0  # before a commit; an attempt ends within 3 s, and several may follow
MAX_EFFECT_S = 5.0  # after a commit; an endpoint leads some hundred milliseconds after its call
JOIN_MARGIN_S = 5.0  # how long before a promotion a registration still matters
MS_PER_S = 1000.0

COMMITTING_STATEMENTS = ("write", "commit")
START_KIND = "failover_started"
PROMOTION_KINDS = frozenset(
    {
        START_KIND,
        "fence_failed",
        "promotion_blocked",
        "replication_paused",
        "promote_called",
        "promote_ended",
        "primary_promoted",
        "primary_observed",
        "endpoint_joined",
        "endpoint_restarted",
        "endpoint_leaving",
        "endpoint_departed",
        "endpoint_ended",
        "log_lost",
    }
)


def promotion_events(events: list[Event], about_request: list[Event]) -> list[Event]:
    """Return the events of promotions around a commit, in the order of `events`.

    `about_request` are the events about one request. Registrations count only beside a promotion.
    """
    commits = [
        event
        for event in about_request
        if event["details"].get("statement") in COMMITTING_STATEMENTS
    ]
    if not commits:
        return []
    group = commits[-1]["details"].get("group", "")
    until_ms = commits[-1]["wall_ms"] + MAX_EFFECT_S * MS_PER_S
    since_ms = commits[0]["wall_ms"] - MAX_PROMOTION_S * MS_PER_S
    related = [
        event for event in events if event["kind"] in PROMOTION_KINDS and _concerns(event, group)
    ]
    starts = [
        event["wall_ms"]
        for event in related
        if event["kind"] == START_KIND and since_ms <= event["wall_ms"] <= until_ms
    ]
    if not starts:
        return []
    first_ms = min(starts) - JOIN_MARGIN_S * MS_PER_S
    return [event for event in related if first_ms <= event["wall_ms"] <= until_ms]


def _concerns(event: Event, group: str) -> bool:
    names = (event["details"].get("group"), event["subject"].removeprefix("group "))
    return bool(group) and group in names
