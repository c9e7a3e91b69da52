"""Section of endpoints as this VM sees them; owned by the endpoint controller."""

from __future__ import annotations

from ..positions import LOG_START, Position

RELAY_WINDOW = 16.0  # statements; as many as a VM's callers send in half a second


class Window:
    """How many statements run at once, from 1 to `limit`; last lowered at `cut_at`, in seconds."""

    __slots__ = ("size", "limit", "cut_at")

    def __init__(self, limit: float) -> None:
        self.size = limit
        self.limit = limit
        self.cut_at = 0.0

    def set_limit(self, limit: float) -> None:
        """Change the limit; a window that was at its limit stays there."""
        self.size = limit if self.size >= self.limit else min(self.size, limit)
        self.limit = limit

    def raise_once(self) -> None:
        """Grow by one for each window of answers in time."""
        self.size = min(self.limit, self.size + 1.0 / self.size)

    def lower(self, share: float, sent_at: float, now: float) -> None:
        """Shrink to a share, once for the statements that were under way together."""
        if sent_at >= self.cut_at:
            self.size = max(1.0, self.size * share)
            self.cut_at = now


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
        "behind_until",
        "full_until",
        "crowded_until",
        "in_use",
        "capacity",
        "suspected",
        "suspected_since",
        "checks_by_use",
        "slots",
        "failures",
        "lost_in_a_row",
        "probing",
    )

    def __init__(self, name: str, address: str, zone: str, group: str, capacity: int) -> None:
        self.name = name
        self.address = address
        self.zone = zone
        self.group = group
        self.leaving = False
        self.position: Position = LOG_START
        self.lag = 0.0
        self.latency = 0.0
        self.window = Window(float(capacity))
        self.relay_window = Window(RELAY_WINDOW)
        self.apply_lag = 0.0
        self.behind_until = 0.0
        self.full_until = 0.0
        self.crowded_until = 0.0
        self.in_use = 0
        self.capacity = capacity
        self.suspected = False
        self.suspected_since = 0.0
        self.checks_by_use = False
        self.slots = 1
        self.failures = 0
        self.lost_in_a_row = 0
        self.probing = False

    def has_room(self) -> bool:
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
