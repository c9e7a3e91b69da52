"""One group of simulated endpoints: its replicated log, its primary and the executed statements."""

from __future__ import annotations

import time
from collections import deque

DEFAULT_LAG_S = 0.02


class ExecutedStatement:
    """A statement that an endpoint executed, with its session's values and the log's length."""

    __slots__ = ("statement_id", "text", "workspace", "values", "log_length")

    def __init__(
        self, statement_id: str, text: str, workspace: str, values: dict[str, str], log_length: int
    ) -> None:
        self.statement_id = statement_id
        self.text = text
        self.workspace = workspace
        self.values = values
        self.log_length = log_length


class ReceivedStatement:
    """A caller's statement that an endpoint received.

    `vm` is the VM that holds the connection, empty if it is unknown. `received_at` and `ended_at`
    are in seconds of the monotonic clock; `ended_at` is 0 while the statement runs. `error` is the
    error code that it was answered with, or empty.
    """

    __slots__ = ("statement_id", "text", "endpoint", "vm", "received_at", "ended_at", "error")

    def __init__(self, statement_id: str, text: str, endpoint: str, vm: str) -> None:
        self.statement_id = statement_id
        self.text = text
        self.endpoint = endpoint
        self.vm = vm
        self.received_at = time.monotonic()
        self.ended_at = 0.0
        self.error = ""

    def end(self, error: str) -> None:
        """Record the end of the statement."""
        self.error, self.ended_at = error, time.monotonic()


class LogCopy:
    """One endpoint's copy of the group's log, which a replica applies `lag_s` after receipt.

    `paused_term` is the term of the command that paused its replication, or 0 if it is not paused.
    """

    __slots__ = ("name", "log", "lag_s", "paused_term", "alive", "_applied_length", "_unapplied")

    def __init__(self, name: str) -> None:
        self.name = name
        self.log: list[str] = []
        self.lag_s = DEFAULT_LAG_S
        self.paused_term = 0
        self.alive = True
        self._applied_length = 0
        self._unapplied: deque[tuple[float, int]] = deque()

    def replace(self, log: list[str]) -> None:
        """Take over another copy's log and apply all of it at once."""
        self.log = list(log)
        self._unapplied.clear()
        self._applied_length = len(log)

    def receive(self, writes: list[str]) -> None:
        """Append commits, which are applied later."""
        self.log.extend(writes)
        self._unapplied.append((time.monotonic() + self.lag_s, len(self.log)))

    def applied_length(self) -> int:
        """Return how many commits of the log are applied by now."""
        now = time.monotonic()
        while self._unapplied and self._unapplied[0][0] <= now:
            self._applied_length = self._unapplied.popleft()[1]
        return self._applied_length


class DatabaseGroup:
    """A group whose commits are acknowledged once a replica has them.

    The log's entries are the ids of committed writes. `promotions` lists the promoted endpoints
    in order. `received_statements` lists the callers' statements when they reach an endpoint, and
    `executed_statements` those of them that read or wrote.
    """

    __slots__ = (
        "copies",
        "term",
        "primary",
        "received_statements",
        "executed_statements",
        "promotions",
        "fencing_token",
    )

    def __init__(self, names: list[str]) -> None:
        self.copies = {name: LogCopy(name) for name in names}
        self.term = 1
        self.primary = names[0]
        self.received_statements: list[ReceivedStatement] = []
        self.executed_statements: list[ExecutedStatement] = []
        self.promotions: list[str] = []
        self.fencing_token = 0

    def is_primary(self, name: str) -> bool:
        """Return whether an endpoint is the primary."""
        return name == self.primary

    def position(self, name: str) -> str:
        """Return the position up to which an endpoint applied its log: term and length."""
        return f"{self.term}.{self.applied_length(name)}"

    def received_position(self, name: str) -> str:
        """Return the position up to which an endpoint received its log: term and length."""
        return f"{self.term}.{len(self.copies[name].log)}"

    def applied_length(self, name: str) -> int:
        """Return how much of its log an endpoint applied; a primary applies it at once."""
        copy = self.copies[name]
        return len(copy.log) if self.is_primary(name) else copy.applied_length()

    def newest_log(self) -> list[str]:
        """Return the primary's log, or the longest one while there is no primary."""
        if self.primary in self.copies:
            return self.copies[self.primary].log
        return max((copy.log for copy in self.copies.values()), key=len)

    def add(self, name: str) -> None:
        """Add a new endpoint, which starts with the newest log."""
        self.copies[name] = LogCopy(name)
        self.copies[name].replace(self.newest_log())

    def commit(self, name: str, writes: list[str]) -> bool:
        """Append writes at the primary and replicate them; return whether a replica has them."""
        primary = self.copies[name]
        primary.receive(writes)
        replicas = [
            item
            for item in self.copies.values()
            if item.name != name and item.alive and not item.paused_term
        ]
        for copy in replicas:
            if len(copy.log) == len(primary.log) - len(writes):
                copy.receive(writes)
            else:
                copy.replace(primary.log)
        return bool(replicas)

    def rejoin(self, name: str) -> None:
        """Copy the primary's log to a restarted endpoint, unless that is still the primary."""
        copy = self.copies[name]
        copy.paused_term = 0
        if self.primary and self.primary != name:
            copy.replace(self.copies[self.primary].log)

    def promote(self, name: str, fencing_token: int) -> bool:
        """Make an endpoint the primary of a new term; return whether it is the primary now.

        It refuses a crashed endpoint, and a lower fencing token than that of an earlier call.
        """
        if fencing_token < self.fencing_token or not self.copies[name].alive:
            return False
        self.fencing_token = fencing_token
        if name == self.primary:
            return True
        self.promotions.append(name)
        self.primary = name
        self.term += 1
        for copy in self.copies.values():
            copy.paused_term = 0
            if copy.alive:
                copy.replace(self.copies[name].log)
        return True
