"""Group member of the simulated endpoint: term, role, log and replication."""

from __future__ import annotations

import logging
import time
from collections import deque
from enum import Enum
from typing import Any

import gevent
from gentianspread_core.positions import Position
from gentianspread_server.connections import RequestNotSentError, ResponseLostError, post_json
from gevent.event import Event

from .database import Database
from .records import Record, common_index, last_position, term_ends

log = logging.getLogger(__name__)

LONG_POLL_TIMEOUT_S = 0.05
PULL_TIMEOUT_S = 1.0
PULL_RETRY_INTERVAL_S = 0.05
MAX_RECORDS_PER_PULL = 500


class NodeRole(Enum):
    """Role of a node in its group."""

    IDLE = "idle"
    PRIMARY = "primary"
    FENCED = "fenced"
    FOLLOWER = "follower"


class ReceivedBatch:
    """Records received in one pull: visible at `due`, with data current as of `as_of`."""

    __slots__ = ("records", "due", "as_of", "generation")

    def __init__(self, records: list[Record], due: float, as_of: float, generation: int) -> None:
        self.records = records
        self.due = due
        self.as_of = as_of
        self.generation = generation


class Node:
    """One member of a database group; times are in seconds of the monotonic clock."""

    def __init__(self, database: Database, lag_s: float) -> None:
        self.database = database
        self.lag_s = lag_s
        self.term = 0
        self.role = NodeRole.IDLE
        self.log: list[Record] = []
        self.applied = Position(0, 0)
        self.current_as_of = float("-inf")
        self.primary_address = ""
        self.is_isolated = False
        self.state_changed = Event()
        self._batches: deque[ReceivedBatch] = deque()
        self._batch_received = Event()
        self._pull_loop: Any = None
        gevent.spawn(self._apply_batches)

    def received_position(self) -> Position:
        """Return the position of the last record in the log."""
        return last_position(self.log)

    def age(self) -> float:
        """Return an upper bound of the age of the visible data, in seconds."""
        if self.role is NodeRole.PRIMARY:
            return 0.0
        return time.monotonic() - self.current_as_of

    def may_write(self, term: int) -> bool:
        """Return whether this node is the primary of the term."""
        return self.role is NodeRole.PRIMARY and self.term == term

    def append(
        self, statements: list[list[Any]], workspace: str, request_id: str, changed: int
    ) -> Position:
        """Append a transaction committed on this node; return its position."""
        index = len(self.log) + 1
        record = Record(self.term, index, statements, workspace, request_id, changed)
        self.log.append(record)
        self.applied = record.position()
        self._notify()
        return self.applied

    def fence(self, term: int) -> bool:
        """Accept a newer term and reject writes of older ones."""
        if term <= self.term:
            return term == self.term and self.role is NodeRole.FENCED
        self.term = term
        self.role = NodeRole.FENCED
        self._stop_pulling()
        self._notify()
        return True

    def promote(self, term: int) -> bool:
        """Become the primary of the term in which this node is fenced."""
        if term != self.term or self.role is not NodeRole.FENCED:
            return self.may_write(term)
        self._apply_all()
        self.role = NodeRole.PRIMARY
        self.append([], "", "", 0)
        return True

    def follow(self, term: int, primary_address: str) -> bool:
        """Follow the primary of a term."""
        if term < self.term or self.may_write(term):
            return False
        self.term = term
        self.role = NodeRole.FOLLOWER
        self._stop_pulling()
        self._notify()
        self._pull_loop = gevent.spawn(self._pull_from, term, primary_address)
        return True

    def wait_received(self, term: int, position: Position, timeout_s: float) -> Position | None:
        """Wait until the log reaches a position within the term; return its end, or none."""
        deadline = time.monotonic() + timeout_s
        while self.term == term:
            end = self.received_position()
            if end.term == position.term and end.reaches(position):
                return end
            if not self._wait_for_change(deadline):
                return None
        return None

    def wait_applied(self, position: Position, timeout_s: float) -> bool:
        """Wait until the position is visible; return false on a timeout."""
        deadline = time.monotonic() + timeout_s
        while not self.applied.reaches(position):
            if not self._wait_for_change(deadline):
                return False
        return True

    def serve_pull(self, term: int, ends: list[list[int]]) -> dict[str, Any] | None:
        """Return the records that a follower lacks, or none if this node is not the primary."""
        if not self.may_write(term):
            return None
        common = common_index(self.log, ends)
        if common == len(self.log):
            self.state_changed.wait(LONG_POLL_TIMEOUT_S)
            if not self.may_write(term):
                return None
        records = self.log[common : common + MAX_RECORDS_PER_PULL]
        return {
            "common": common,
            "records": [record.to_wire() for record in records],
            "complete": common + len(records) == len(self.log),
        }

    def _notify(self) -> None:
        self.state_changed.set()
        self.state_changed.clear()

    def _wait_for_change(self, deadline: float) -> bool:
        remaining = deadline - time.monotonic()
        if remaining <= 0:
            return False
        self.state_changed.wait(remaining)
        return True

    def _stop_pulling(self) -> None:
        if self._pull_loop is not None:
            self._pull_loop.kill(block=False)
            self._pull_loop = None

    def _pull_from(self, term: int, address: str) -> None:
        while self.term == term and self.role is NodeRole.FOLLOWER:
            if self.is_isolated or not self._pull_once(term, address):
                gevent.sleep(PULL_RETRY_INTERVAL_S)

    def _pull_once(self, term: int, address: str) -> bool:
        requested_at = time.monotonic()
        message = {"term": term, "ends": term_ends(self.log)}
        try:
            response: Any = post_json(address, "/replicate", message, PULL_TIMEOUT_S)
        except (RequestNotSentError, ResponseLostError):
            return False
        still_follows = self.term == term and self.role is NodeRole.FOLLOWER
        if not still_follows or "records" not in response:
            return False
        self._append_batch(response, requested_at)
        return True

    def _append_batch(self, response: dict[str, Any], requested_at: float) -> None:
        if response["common"] < len(self.log):
            self._truncate(response["common"])
        records = [Record.from_wire(values) for values in response["records"]]
        self.log.extend(records)
        as_of = requested_at if response["complete"] else float("-inf")
        due = time.monotonic() + self.lag_s
        self._batches.append(ReceivedBatch(records, due, as_of, self.database.generation))
        self._batch_received.set()
        self._notify()

    def _truncate(self, length: int) -> None:
        log.info("discarding %d log records of a replaced primary", len(self.log) - length)
        del self.log[length:]
        self._batches.clear()
        self.database.rebuild(self.log)
        self.applied = self.received_position()
        self.current_as_of = float("-inf")

    def _apply_all(self) -> None:
        for batch in self._batches:
            self._apply(batch)
        self._batches.clear()

    def _apply(self, batch: ReceivedBatch) -> None:
        if batch.generation != self.database.generation:
            return
        for record in batch.records:
            self.database.apply(record)
            self.applied = record.position()
        self.current_as_of = max(self.current_as_of, batch.as_of)

    def _apply_batches(self) -> None:
        while True:
            self._batch_received.wait()
            self._batch_received.clear()
            while self._batches:
                remaining = self._batches[0].due - time.monotonic()
                if remaining > 0:
                    gevent.sleep(remaining)
                    continue
                self._apply(self._batches.popleft())
                self._notify()
