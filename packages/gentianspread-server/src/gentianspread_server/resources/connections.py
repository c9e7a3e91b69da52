"""The connections that peers can make a process hold on one port."""

from __future__ import annotations

import time

from .budget import MemoryBudget
from .peers import EndReason, HeldConnection, PeerActivity
from .policies import EvictionPolicy, OverduePolicy
from .report import ResourceReport

# Parts of the limit that are closed at once, so that victims are rarely looked for.
EVICTED_PART = 16  # of the connections without a session, unfinished or unread
EVICTED_IDLE_PART = 64  # of those that are idle, which only serve as the last resort


class AcceptedConnections:
    """The accepted connections of all ports; the ports of callers give way to the others."""

    __slots__ = ("max_accepted", "ports")

    def __init__(self, max_accepted: int) -> None:
        self.max_accepted = max_accepted
        self.ports: dict[str, ConnectionLimits] = {}

    def is_full(self) -> bool:
        """Return whether another connection would exceed the limit."""
        count = sum(len(port.open) + len(port.trusted) for port in self.ports.values())
        return count >= self.max_accepted

    def give_way(self) -> None:
        """Close connections of the ports that have none reserved."""
        for port in self.ports.values():
            if not port.is_reserved:
                port.evict()


class ConnectionLimits:
    """Bounds the open connections of one port, and the time that their messages take.

    `last_evicted` is the last activity of connections that are closed for a new one. Connections
    of other VMs are trusted once they have sent a signed message, and have a limit of their own.
    `budget` is that of the process. A port that `is_reserved` gets its connections also if all
    ports together have reached their limit.
    """

    __slots__ = (
        "port",
        "is_reserved",
        "max_open",
        "max_trusted",
        "last_evicted",
        "budget",
        "open",
        "trusted",
        "_accepted",
        "_policy",
        "_overdue",
        "_report",
    )

    def __init__(
        self,
        port: str,
        is_reserved: bool,
        max_open: int,
        max_trusted: int,
        last_evicted: PeerActivity,
        budget: MemoryBudget,
        accepted: AcceptedConnections,
        policy: EvictionPolicy,
        overdue: OverduePolicy,
        report: ResourceReport,
    ) -> None:
        self.port = port
        self.is_reserved = is_reserved
        self.max_open = max_open
        self.max_trusted = max_trusted
        self.last_evicted = last_evicted
        self.budget = budget
        self.open: set[HeldConnection] = set()
        self.trusted: set[HeldConnection] = set()
        self._accepted = accepted
        self._policy = policy
        self._overdue = overdue
        self._report = report

    def admit(self, connection: HeldConnection) -> bool:
        """Add a new connection; return false if it is to be refused."""
        if self._is_full():
            self.evict()
        if self._is_full():
            self._report.count(EndReason.CONNECTIONS, None, self.port)
            return False
        if self._accepted.is_full():
            self._accepted.give_way()
        self.open.add(connection)
        return True

    def evict(self) -> None:
        """Close connections without a session, unfinished or unread ones, or else idle ones."""
        if not self._evict(PeerActivity.UNREAD, EVICTED_PART):
            self._evict(self.last_evicted, EVICTED_IDLE_PART)

    def _is_full(self) -> bool:
        if len(self.open) >= self.max_open:
            return True
        return not self.is_reserved and self._accepted.is_full()

    def trust(self, connection: HeldConnection) -> None:
        """Count a connection as that of another VM, if there is room for it among them."""
        connection.is_trusted = True
        if connection in self.open and len(self.trusted) < self.max_trusted:
            self.open.discard(connection)
            self.trusted.add(connection)

    def leave(self, connection: HeldConnection) -> None:
        """Remove a connection that is closed."""
        self.open.discard(connection)
        self.trusted.discard(connection)

    def end_overdue(self) -> None:
        """Close the connections whose message or answer has taken too long."""
        now = time.monotonic()
        for connection in [*self.open, *self.trusted]:
            if not connection.is_ended and self._overdue.is_overdue(connection, now):
                self._end(connection, EndReason.TIME)

    def count_oversized(self, activity: PeerActivity) -> None:
        """Count a connection that is closed because its message is too long."""
        self._report.count(EndReason.SIZE, activity, self.port)

    def count_refused(self, activity: PeerActivity) -> None:
        """Count a message that is refused because the memory budget has no room for it."""
        self._report.count(EndReason.MEMORY, activity, self.port)

    def _evict(self, last: PeerActivity, part: int) -> int:
        victims = self._policy.victims(self.open, last, max(1, self.max_open // part))
        for victim in victims:
            self._end(victim, EndReason.CONNECTIONS)
        return len(victims)

    def _end(self, connection: HeldConnection, reason: EndReason) -> None:
        self._report.count(reason, connection.activity(), self.port)
        self.leave(connection)
        connection.end()
