"""Section of endpoints as this VM sees them; owned by the endpoint controller."""

from __future__ import annotations

from ..positions import START, Position

MAX_RELAYED_STATEMENTS = 16.0  # statements; as many as a VM's callers send in half a second


class ConcurrencyWindow:
    """How many statements run at once, from 1 to `limit`; last lowered at `cut_at`, in seconds."""

    __slots__ = ("size", "limit", "decreased_at")

    def __init__(self, limit: float) -> None:
        self.size = limit
        self.limit = limit
        self.decreased_at = 0.0

    def set_limit(self, limit: float) -> None:
        """Change the limit; a window that was at its limit stays there."""
        self.size = limit if self.size >= self.limit else min(self.size, limit)
        self.limit = limit

    def increase(self) -> None:
        """Grow by one for each window of answers in time."""
        self.size = min(self.limit, self.size + 1.0 / self.size)

    def decrease(self, share: float, sent_at: float, now: float) -> None:
        """Shrink to a share, once for the statements that were under way together."""
        if sent_at >= self.decreased_at:
            self.size = max(1.0, self.size * share)
            self.decreased_at = now


class Endpoint:
    """One database endpoint.

    `window` bounds the statements that this VM runs on it, `relay_window` those that it hands over
    to the endpoint's homes. `behind_until` and `full_until` are times until which it counts as
    lacking newer positions, and as having no room for more work. `apply_lag` is by how many seconds
    its log was behind the primary's when it last answered. Until `crowded_until` it has no place
    for another connection, whoever holds them.
    `suspected` holds from a failure until a probe succeeds, or until its next use where
    `checks_by_use`, as statements are handed over to a VM that probes it. `suspected_since` and the
    durations `lag` and `latency` are in seconds. `slots` is how many statements it runs at once.
    """

    __slots__ = (
        "name",
        "address",
        "zone",
        "group",
        "leaving",
        "position",
        "lag",
        "latency",
        "window",
        "relay_window",
        "apply_lag",
        "lagging_until",
        "busy_until",
        "connection_limit_until",
        "in_use",
        "capacity",
        "suspected",
        "suspected_since",
        "uses_passive_checks",
        "slots",
        "failures",
        "consecutive_losses",
        "probing",
    )

    def __init__(self, name: str, address: str, zone: str, group: str, capacity: int) -> None:
        self.name = name
        self.address = address
        self.zone = zone
        self.group = group
        self.leaving = False
        self.position: Position = START
        self.lag = 0.0
        self.latency = 0.0
        self.window = ConcurrencyWindow(float(capacity))
        self.relay_window = ConcurrencyWindow(MAX_RELAYED_STATEMENTS)
        self.apply_lag = 0.0
        self.lagging_until = 0.0
        self.busy_until = 0.0
        self.connection_limit_until = 0.0
        self.in_use = 0
        self.capacity = capacity
        self.suspected = False
        self.suspected_since = 0.0
        self.uses_passive_checks = False
        self.slots = 1
        self.failures = 0
        self.consecutive_losses = 0
        self.probing = False

    def has_free_connection(self) -> bool:
        """Tell whether one more exchange fits this VM's part of the endpoint's connections."""
        return self.in_use < self.capacity

    def is_usable(self) -> bool:
        """Tell whether new work may be sent."""
        return not (self.leaving or self.suspected)


class Endpoints:
    """All endpoints by name, and by group."""

    __slots__ = ("by_name", "by_group")

    def __init__(self) -> None:
        self.by_name: dict[str, Endpoint] = {}
        self.by_group: dict[str, list[Endpoint]] = {}
