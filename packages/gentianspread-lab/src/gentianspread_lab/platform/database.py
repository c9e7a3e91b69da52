"""One group of simulated endpoints: its replicated log, its primary and the executed statements."""

from __future__ import annotations

import random
import time

import gevent
from gevent.event import Event

from .logcopy import LogCopy, LogEntry

RECEIPT_DELAY_S = (0.001, 0.005)  # from a commit at the primary until a replica has it
FIRST_RECEIPT_DELAY_S = (0.02, 0.1)  # until a replica without a log has the primary's
COMMIT_TIMEOUT_S = 3.0  # longer than the routes' timeouts


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


class PromotionRecord:
    """A promotion that took effect; `lacking` are committed writes that the endpoint lacked."""

    __slots__ = ("endpoint", "term", "time", "lacking")

    def __init__(self, endpoint: str, term: int, lacking: list[str]) -> None:
        self.endpoint = endpoint
        self.term = term
        self.time = time.monotonic()
        self.lacking = lacking


class PendingCommit:
    """A commit that waits for a replica to receive the primary's log up to its length."""

    __slots__ = ("length", "ended", "is_confirmed")

    def __init__(self, length: int) -> None:
        self.length = length
        self.ended = Event()
        self.is_confirmed = False

    def end(self, is_confirmed: bool) -> None:
        """Wake the session that waits."""
        self.is_confirmed = is_confirmed
        self.ended.set()


class DatabaseGroup:
    """A group whose commits are acknowledged once a replica has received them.

    `primary` is empty after the primary stepped down; `source` is the endpoint from which replicas
    receive, which led last. `committed` is the log of commits that no promotion rolled back.
    `promotions` are in order. `received_statements` lists the callers' statements when they reach
    an endpoint, and `executed_statements` those of them that read or wrote.
    """

    __slots__ = (
        "copies",
        "term",
        "primary",
        "source",
        "committed",
        "received_statements",
        "executed_statements",
        "promotions",
        "_pending",
        "_randomness",
    )

    def __init__(self, names: list[str]) -> None:
        self.copies = {name: LogCopy(name) for name in names}
        self.term = 1
        self.primary = names[0]
        self.source = names[0]
        self.committed: list[LogEntry] = []
        self.received_statements: list[ReceivedStatement] = []
        self.executed_statements: list[ExecutedStatement] = []
        self.promotions: list[PromotionRecord] = []
        self._pending: list[PendingCommit] = []
        self._randomness = random.Random(len(names))

    def is_primary(self, name: str) -> bool:
        """Return whether an endpoint is the primary."""
        return name == self.primary

    def position(self, name: str) -> str:
        """Return the position up to which an endpoint applied its log."""
        return self.copies[name].position(self.applied_length(name))

    def received_position(self, name: str) -> str:
        """Return the position up to which an endpoint received its log."""
        copy = self.copies[name]
        return copy.position(len(copy.log))

    def applied_length(self, name: str) -> int:
        """Return how much of its log an endpoint applied; a primary applies it at once."""
        copy = self.copies[name]
        return len(copy.log) if self.is_primary(name) else copy.applied_length()

    def newest_log(self) -> list[str]:
        """Return the writes that are committed and that no promotion rolled back."""
        return [entry.statement_id for entry in self.committed]

    def add(self, name: str) -> None:
        """Add a new endpoint, which receives the log once it has been started."""
        copy = self.copies[name] = LogCopy(name)
        copy.alive = False

    def start(self, name: str) -> None:
        """Note that an endpoint runs, from now on as a replica if another one has been promoted."""
        copy = self.copies[name]
        copy.start(self.term)
        for other in self.copies.values():
            if name in (other.name, self.source):
                self._receive_later(other)

    def lose_log(self, name: str) -> None:
        """Drop the log of an endpoint that starts again; a crashed primary keeps its log."""
        if name != self.primary:
            self.copies[name].lose_log()

    def commit(self, name: str, writes: list[str]) -> bool:
        """Append writes at the primary, and wait until a replica has received them.

        Return whether one has. If none does in time, the primary keeps the writes.
        """
        primary = self.copies[name]
        entries = [LogEntry(item, self.term) for item in writes]
        primary.receive(entries)
        self.committed += entries
        pending = PendingCommit(len(primary.log))
        self._pending.append(pending)
        for copy in self.copies.values():
            self._receive_later(copy)
        if not pending.ended.wait(COMMIT_TIMEOUT_S):
            self._pending.remove(pending)
        return pending.is_confirmed

    def pause(self, name: str, term: int) -> None:
        """Stop an endpoint from receiving, unless the term is not above the newest that it knows.

        While all replicas are paused, the primary acknowledges no commit.
        """
        copy = self.copies[name]
        if term > copy.term:
            copy.paused_term = max(copy.paused_term, term)

    def resume(self, name: str) -> None:
        """End the pause of an endpoint."""
        self.copies[name].paused_term = 0
        self._receive_later(self.copies[name])

    def set_deaf(self, name: str, is_deaf: bool) -> None:
        """Let an endpoint receive nothing, or everything again."""
        self.copies[name].is_deaf = is_deaf
        self._receive_later(self.copies[name])

    def step_down(self, name: str, term: int) -> None:
        """Make the primary a replica, if its term is lower."""
        if self.is_primary(name) and term > self.copies[name].term:
            self.primary = ""

    def lead(self, name: str) -> None:
        """Make an endpoint the primary of a new term, with what it has received."""
        kept = set(self.copies[name].log)
        lacking = [item.statement_id for item in self.committed if item not in kept]
        self.term += 1
        self.primary = self.source = name
        self.committed = list(self.copies[name].log)
        self.promotions.append(PromotionRecord(name, self.term, lacking))
        pending, self._pending = self._pending, []
        for commit in pending:
            commit.end(is_confirmed=False)
        for copy in self.copies.values():
            if copy.alive:
                copy.follow(self.term, self.committed)
                self._receive_later(copy)

    def _receive_later(self, copy: LogCopy) -> None:
        """Let a replica receive the primary's log after the time that the network takes."""
        delays = RECEIPT_DELAY_S if copy.log else FIRST_RECEIPT_DELAY_S
        gevent.spawn_later(self._randomness.uniform(*delays), self._receive, copy, copy.incarnation)

    def _receive(self, copy: LogCopy, incarnation: int) -> None:
        source = self.copies[self.source]
        is_receiving = copy.alive and copy.incarnation == incarnation and not copy.paused_term
        is_receiving = is_receiving and not copy.is_deaf
        if copy is source or not is_receiving or not source.alive:
            return
        copy.replicate(source.log)
        for pending in [item for item in self._pending if item.length <= len(copy.log)]:
            self._pending.remove(pending)
            pending.end(is_confirmed=True)
