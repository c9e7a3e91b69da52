"""The memory that peers can make a process hold."""

from __future__ import annotations

from .peers import EndReason, HeldConnection, PeerActivity
from .policies import EvictionPolicy
from .report import ResourceReport

FREE_BYTES = 16 * 1024  # per connection and purpose; the limits of connections account for it
RELIEF_FRACTION = 0.125  # of the budget, freed at once, so that victims are rarely looked for
ALONE_BYTES = 20 * 1024 * 1024  # a configuration of 8 MiB, the largest body, with its copy
MAX_VICTIMS = 64  # of one search; all of them together hold far more than the relief
# A statement in progress is held as received, decoded, and as encoded for the endpoint or the home
# VM; a body as the parts received and as the whole.
STATEMENT_COPIES = 4
BODY_COPIES = 2
CHARACTER_BYTES = 4  # of a text in which one character needs them


class MemoryBudget:
    """Counts what is held for peers, and closes connections before it exceeds `limit_bytes`.

    Only what exceeds `FREE_BYTES` is charged, so that ordinary statements cost nothing.
    """

    __slots__ = ("limit_bytes", "charged_bytes", "_holders", "_policy", "_report")

    def __init__(self, limit_bytes: int, policy: EvictionPolicy, report: ResourceReport) -> None:
        self.limit_bytes = limit_bytes
        self.charged_bytes = 0
        self._holders: set[HeldConnection] = set()
        self._policy = policy
        self._report = report

    def charge(self, connection: HeldConnection, size: int) -> bool:
        """Set what is charged for a connection; return false if there is no room for it.

        Other connections are closed for it if the policy closes them before this one. A connection
        that is alone gets what it asks for: each message alone is within its own limit.
        """
        growth = size - connection.charged_bytes
        if growth > 0 and self.charged_bytes + growth > self.limit_bytes:
            self._make_room(connection, growth)
            if self.charged_bytes + growth > self.limit_bytes and not self._is_alone(
                connection, size
            ):
                return False
        if connection.is_ended:
            return False
        self._set(connection, size)
        return True

    def release(self, connection: HeldConnection) -> None:
        """Drop what is charged for a connection that is closed."""
        self._set(connection, 0)

    def _is_alone(self, connection: HeldConnection, size: int) -> bool:
        return self.charged_bytes == connection.charged_bytes and size <= ALONE_BYTES

    def _set(self, connection: HeldConnection, size: int) -> None:
        self.charged_bytes += size - connection.charged_bytes
        connection.charged_bytes = size
        if size:
            self._holders.add(connection)
        else:
            self._holders.discard(connection)

    def _make_room(self, connection: HeldConnection, growth: int) -> None:
        """Close connections in the policy's order, until it names the one that needs the room."""
        target = self.limit_bytes * (1 - RELIEF_FRACTION) - growth
        candidates = {*self._holders, connection}
        for victim in self._policy.victims(candidates, PeerActivity.IDLE, MAX_VICTIMS):
            if victim is connection or self.charged_bytes <= target:
                return
            self._report.count(EndReason.MEMORY, victim.activity())
            self.release(victim)
            victim.end()


def text_bytes(text: str) -> int:
    """Return the most memory that a text can take."""
    return len(text) if text.isascii() else CHARACTER_BYTES * len(text)
