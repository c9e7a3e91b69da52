"""The connections that peers can make a process hold on one port."""

from __future__ import annotations

import time

from .budget import MemoryBudget
from .peers import EndReason, HeldConnection, PeerActivity
from .policies import EvictionPolicy, OverduePolicy
from .report import ResourceReport

EVICTED_FRACTION = 16  # of the limit, closed at once, so that victims are rarely looked for


class ConnectionLimits:
    """Bounds the open connections of one port, and the time that their messages take.

    `last_evicted` is the last activity of connections that are closed for a new one. Connections
    of other VMs are trusted once they have sent a signed message, and have a limit of their own.
    `budget` is that of the process.
    """

    __slots__ = (
        "port",
        "max_open",
        "max_trusted",
        "last_evicted",
        "budget",
        "open",
        "trusted",
        "_policy",
        "_overdue",
        "_report",
    )

    def __init__(
        self,
        port: str,
        max_open: int,
        max_trusted: int,
        last_evicted: PeerActivity,
        budget: MemoryBudget,
        policy: EvictionPolicy,
        overdue: OverduePolicy,
        report: ResourceReport,
    ) -> None:
        self.port = port
        self.max_open = max_open
        self.max_trusted = max_trusted
        self.last_evicted = last_evicted
        self.budget = budget
        self.open: set[HeldConnection] = set()
        self.trusted: set[HeldConnection] = set()
        self._policy = policy
        self._overdue = overdue
        self._report = report

    def admit(self, connection: HeldConnection) -> bool:
        """Add a new connection; return false if it is to be refused."""
        if len(self.open) >= self.max_open:
            count = max(1, self.max_open // EVICTED_FRACTION)
            for victim in self._policy.victims(self.open, self.last_evicted, count):
                self._end(victim, EndReason.CONNECTIONS)
        if len(self.open) >= self.max_open:
            self._report.count(EndReason.CONNECTIONS, None, self.port)
            return False
        self.open.add(connection)
        return True

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

    def _end(self, connection: HeldConnection, reason: EndReason) -> None:
        self._report.count(reason, connection.activity(), self.port)
        self.leave(connection)
        connection.end()
