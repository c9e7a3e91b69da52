"""Section of endpoints as this VM sees them; owned by the endpoint controller."""

from __future__ import annotations

from collections import deque

from ..positions import LOG_START, Position

RECENT_REPLIES = 3  # few enough to notice a queue within a tenth of a second under load
FASTEST_REPLY_PERIOD_S = 30.0  # longer than most bursts, in which no reply comes without a queue
MAX_RELAYED_STATEMENTS = 16.0  # as many as a VM's callers send in half a second


class ConcurrencyWindow:
    """How many statements may run at once, from 1 to `limit`; an AIMD congestion window.

    `decreased_at` is the time of the last decrease, in seconds.
    """

    __slots__ = ("size", "limit", "decreased_at")

    def __init__(self, limit: float) -> None:
        self.size = limit
        self.limit = limit
        self.decreased_at = 0.0

    def set_limit(self, limit: float, keeps_size: bool = False) -> None:
        """Change the limit; a window at its limit stays there unless it keeps its size."""
        is_at_limit = self.size >= self.limit and not keeps_size
        self.size = limit if is_at_limit else min(self.size, limit)
        self.limit = limit

    def increase(self) -> None:
        """Grow by one for each window of replies in time (additive increase)."""
        self.size = min(self.limit, self.size + 1.0 / self.size)

    def decrease(self, factor: float, sent_at: float, now: float) -> None:
        """Shrink by a factor, once for all statements that were in flight together."""
        if sent_at >= self.decreased_at:
            self.size = max(1.0, self.size * factor)
            self.decreased_at = now


class FastestReply:
    """The shortest time to a reply in the last one to two periods, and the newest; in seconds.

    Service times vary, so one slow reply shows no queue. If even the fastest of the newest replies
    took longer, they waited.
    """

    __slots__ = ("_current", "_previous", "_period_ends_at", "_recent")

    def __init__(self) -> None:
        self._current = float("inf")
        self._previous = float("inf")
        self._period_ends_at = 0.0
        self._recent: deque[float] = deque(maxlen=RECENT_REPLIES)

    def observe(self, elapsed_s: float, now: float) -> None:
        """Take the time to one reply into account."""
        if now >= self._period_ends_at:
            self._previous, self._current = self._current, float("inf")
            self._period_ends_at = now + FASTEST_REPLY_PERIOD_S
        self._current = min(self._current, elapsed_s)
        self._recent.append(elapsed_s)

    def queueing_s(self) -> float:
        """Return how much longer than the fastest reply even the fastest of the newest took."""
        return min(self._recent) - min(self._current, self._previous)


class Endpoint:
    """One database endpoint.

    `window` limits the statements that this VM runs on it, `relay_window` those that it relays to
    the endpoint's home VMs. `fastest_read` and `fastest_write` are its times without a queue, as
    seen on this VM's own connections. The endpoint is treated as a lagging replica until
    `lagging_until`, as overloaded until `busy_until`, and as at its connection limit, whoever holds
    the connections, until `connection_limit_until`. `apply_lag` is by how many seconds its log was
    behind the primary's when it last answered, `lag` the smoothed age of its data.
    `suspected` is set from a failure until a probe succeeds or, if `uses_passive_checks`, until a
    backoff ends: the next statement is then the check, as the home VM that it is relayed to probes
    the endpoint. `suspected_since`, `lag` and `latency` are in seconds. `slots` is how many
    statements it runs at once.
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
        "fastest_read",
        "fastest_write",
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
        self.position: Position = LOG_START
        self.lag = 0.0
        self.latency = 0.0
        self.window = ConcurrencyWindow(float(capacity))
        self.relay_window = ConcurrencyWindow(MAX_RELAYED_STATEMENTS)
        self.fastest_read = FastestReply()
        self.fastest_write = FastestReply()
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
        """Return whether this VM's share of the endpoint's connections allows one more exchange."""
        return self.in_use < self.capacity

    def is_usable(self) -> bool:
        """Return whether new work may be sent."""
        return not (self.leaving or self.suspected)

    def is_usable_as_home(self) -> bool:
        """Return whether statements that others relay may be sent on this VM's own connections.

        What another home VM says of the endpoint does not count: two homes that believed each other
        would refuse each other's statements without trying.
        """
        return not self.leaving and (not self.suspected or self.uses_passive_checks)


class Endpoints:
    """All endpoints by name, and by group."""

    __slots__ = ("by_name", "by_group")

    def __init__(self) -> None:
        self.by_name: dict[str, Endpoint] = {}
        self.by_group: dict[str, list[Endpoint]] = {}
