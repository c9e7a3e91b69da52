"""Section of endpoints as this VM sees them; owned by the endpoint controller."""

from __future__ import annotations

from ..positions import START, Position


class Endpoint:
    """One database endpoint.

    `window` is how many statements this VM runs on it at once; it was last lowered at
    `window_cut_at`. `behind_until` and `full_until` are times until which it counts as lacking
    newer positions, and
    as having no room for more work.
    `suspected` holds from a failure until a probe succeeds; `suspected_since` and the durations
    `lag` and `latency` are in seconds.
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
        "window_cut_at",
        "behind_until",
        "full_until",
        "in_use",
        "capacity",
        "suspected",
        "suspected_since",
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
        self.position: Position = START
        self.lag = 0.0
        self.latency = 0.0
        self.window = float(capacity)
        self.window_cut_at = 0.0
        self.behind_until = 0.0
        self.full_until = 0.0
        self.in_use = 0
        self.capacity = capacity
        self.suspected = False
        self.suspected_since = 0.0
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
