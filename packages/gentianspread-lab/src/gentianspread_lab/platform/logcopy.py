"""One endpoint's copy of its group's log."""

from __future__ import annotations

import time
from collections import deque

DEFAULT_LAG_S = 0.02
ROLLBACK_S = 0.2  # for which an endpoint is busy


class LogEntry:
    """A committed write and the term of the primary that committed it."""

    __slots__ = ("statement_id", "term")

    def __init__(self, statement_id: str, term: int) -> None:
        self.statement_id = statement_id
        self.term = term


class LogCopy:
    """One endpoint's copy of the group's log, which a replica applies `lag_s` after receipt.

    `term` is the newest one that the endpoint knows of. `paused_term` is the term of the command
    that paused its replication, or 0 if it is not paused. `incarnation` counts its starts. Until
    `busy_until` it rolls back, in seconds of the monotonic clock. While it is deaf, it receives
    nothing from a primary.
    """

    __slots__ = (
        "name",
        "log",
        "lag_s",
        "term",
        "paused_term",
        "alive",
        "incarnation",
        "busy_until",
        "is_deaf",
        "_applied_length",
        "_unapplied",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.log: list[LogEntry] = []
        self.lag_s = DEFAULT_LAG_S
        self.term = 1
        self.paused_term = 0
        self.alive = True
        self.incarnation = 0
        self.busy_until = 0.0
        self.is_deaf = False
        self._applied_length = 0
        self._unapplied: deque[tuple[float, int]] = deque()

    def start(self, term: int) -> None:
        """Note a start of the endpoint, which ends a pause."""
        self.alive = True
        self.incarnation += 1
        self.paused_term = 0
        self.term = term

    def lose_log(self) -> None:
        """Drop all of the log."""
        self._cut_back(0)

    def receive(self, entries: list[LogEntry]) -> None:
        """Append entries, which are applied later."""
        self.log.extend(entries)
        self._unapplied.append((time.monotonic() + self.lag_s, len(self.log)))

    def replicate(self, log: list[LogEntry]) -> None:
        """Receive what is missing of the primary's log, and roll back what that log lacks."""
        self._roll_back(log)
        if len(log) > len(self.log):
            self.receive(log[len(self.log) :])

    def follow(self, term: int, log: list[LogEntry]) -> None:
        """Note a new primary and its log, which ends a pause."""
        self.term = term
        self.paused_term = 0
        self._roll_back(log)

    def position(self, length: int) -> str:
        """Return the position of a part of the log: the term of its last commit, and its length."""
        return f"{self.log[length - 1].term if length else 0}.{length}"

    def applied_length(self) -> int:
        """Return how many commits of the log are applied by now."""
        now = time.monotonic()
        while self._unapplied and self._unapplied[0][0] <= now:
            self._applied_length = self._unapplied.popleft()[1]
        return self._applied_length

    def _roll_back(self, log: list[LogEntry]) -> None:
        """Cut the copy back to what it shares with a log; equal entries have equal ones before."""
        shared = min(len(self.log), len(log))
        while shared and self.log[shared - 1] is not log[shared - 1]:
            shared -= 1
        if shared < len(self.log):
            self._cut_back(shared)
            self.busy_until = time.monotonic() + ROLLBACK_S

    def _cut_back(self, length: int) -> None:
        self._applied_length = min(self.applied_length(), length)
        del self.log[length:]
        self._unapplied.clear()
        if self._applied_length < length:
            self._unapplied.append((time.monotonic() + self.lag_s, length))
