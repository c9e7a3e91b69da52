"""The replica set member of the endpoint stand-in: term, role, log and replication."""

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

PULL_WAIT_S = 0.05
PULL_LIMIT_S = 1.0
PULL_PAUSE_S = 0.05
ENTRIES_PER_PULL = 500


class NodeRole(Enum):
    """What the node does in its group."""

    IDLE = "idle"
    PRIMARY = "primary"
    FENCED = "fenced"
    FOLLOWER = "follower"


class Arrival:
    """Records that came in one pull; they become visible at `due`, and date from `as_of`."""

    __slots__ = ("records", "due", "as_of", "generation")

    def __init__(self, records: list[Record], due: float, as_of: float, generation: int) -> None:
        self.records = records
        self.due = due
        self.as_of = as_of
        self.generation = generation


class Node:
    """One member of a database group; times are seconds of the monotonic clock."""

    def __init__(self, database: Database, lag: float) -> None:
        self.database = database
        self.lag = lag
        self.term = 0
        self.role = NodeRole.IDLE
        self.log: list[Record] = []
        self.applied = Position(0, 0)
        self.current_as_of = float("-inf")
        self.primary_address = ""
        self.is_cut_off = False
        self.moved = Event()
        self._arrivals: deque[Arrival] = deque()
        self._arrived = Event()
        self._puller: Any = None
        gevent.spawn(self._apply_arrivals)

    def received(self) -> Position:
        """Return the place of the last record held."""
        return last_position(self.log)

    def age(self) -> float:
        """Return an upper bound for the age of the visible data, in seconds."""
        if self.role is NodeRole.PRIMARY:
            return 0.0
        return time.monotonic() - self.current_as_of

    def may_write(self, term: int) -> bool:
        """Tell whether this node is the primary of the term."""
        return self.role is NodeRole.PRIMARY and self.term == term

    def append(
        self, statements: list[list[Any]], workspace: str, request_id: str, changed: int
    ) -> Position:
        """Add a transaction that was committed here."""
        index = len(self.log) + 1
        record = Record(self.term, index, statements, workspace, request_id, changed)
        self.log.append(record)
        self.applied = record.position()
        self._notify()
        return self.applied

    def fence(self, term: int) -> bool:
        """Accept a newer term: take no more writes of an older one."""
        if term <= self.term:
            return term == self.term and self.role is NodeRole.FENCED
        self.term = term
        self.role = NodeRole.FENCED
        self._stop_pulling()
        self._notify()
        return True

    def promote(self, term: int) -> bool:
        """Become the primary of the term that this node was fenced with."""
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
        self._puller = gevent.spawn(self._pull_from, term, primary_address)
        return True

    def watch(self, term: int, position: Position, wait: float) -> Position | None:
        """Wait until the position is held under the term; return what is held, or none."""
        give_up_at = time.monotonic() + wait
        while self.term == term:
            held = self.received()
            if held.term == position.term and held.reaches(position):
                return held
            if not self._wait_until(give_up_at):
                return None
        return None

    def wait_applied(self, position: Position, wait: float) -> bool:
        """Wait until the position is visible."""
        give_up_at = time.monotonic() + wait
        while not self.applied.reaches(position):
            if not self._wait_until(give_up_at):
                return False
        return True

    def feed(self, term: int, ends: list[list[int]]) -> dict[str, Any] | None:
        """Answer a follower's pull with what it lacks, or none if this node does not lead."""
        if not self.may_write(term):
            return None
        common = common_index(self.log, ends)
        if common == len(self.log):
            self.moved.wait(PULL_WAIT_S)
            if not self.may_write(term):
                return None
        records = self.log[common : common + ENTRIES_PER_PULL]
        return {
            "common": common,
            "records": [record.to_wire() for record in records],
            "complete": common + len(records) == len(self.log),
        }

    def _notify(self) -> None:
        self.moved.set()
        self.moved.clear()

    def _wait_until(self, give_up_at: float) -> bool:
        left = give_up_at - time.monotonic()
        if left <= 0:
            return False
        self.moved.wait(left)
        return True

    def _stop_pulling(self) -> None:
        if self._puller is not None:
            self._puller.kill(block=False)
            self._puller = None

    def _pull_from(self, term: int, address: str) -> None:
        while self.term == term and self.role is NodeRole.FOLLOWER:
            if self.is_cut_off or not self._pull_once(term, address):
                gevent.sleep(PULL_PAUSE_S)

    def _pull_once(self, term: int, address: str) -> bool:
        asked_at = time.monotonic()
        message = {"term": term, "ends": term_ends(self.log)}
        try:
            answer: Any = post_json(address, "/replicate", message, PULL_LIMIT_S)
        except (RequestNotSentError, ResponseLostError):
            return False
        still_follows = self.term == term and self.role is NodeRole.FOLLOWER
        if not still_follows or "records" not in answer:
            return False
        self._take(answer, asked_at)
        return True

    def _take(self, answer: dict[str, Any], asked_at: float) -> None:
        if answer["common"] < len(self.log):
            self._truncate(answer["common"])
        records = [Record.from_wire(values) for values in answer["records"]]
        self.log.extend(records)
        as_of = asked_at if answer["complete"] else float("-inf")
        due = time.monotonic() + self.lag
        self._arrivals.append(Arrival(records, due, as_of, self.database.generation))
        self._arrived.set()
        self._notify()

    def _truncate(self, length: int) -> None:
        log.info("dropping %d records of a replaced primary", len(self.log) - length)
        del self.log[length:]
        self._arrivals.clear()
        self.database.rebuild(self.log)
        self.applied = self.received()
        self.current_as_of = float("-inf")

    def _apply_all(self) -> None:
        for arrival in self._arrivals:
            self._apply(arrival)
        self._arrivals.clear()

    def _apply(self, arrival: Arrival) -> None:
        if arrival.generation != self.database.generation:
            return
        for record in arrival.records:
            self.database.apply(record)
            self.applied = record.position()
        self.current_as_of = max(self.current_as_of, arrival.as_of)

    def _apply_arrivals(self) -> None:
        while True:
            self._arrived.wait()
            self._arrived.clear()
            while self._arrivals:
                pause = self._arrivals[0].due - time.monotonic()
                if pause > 0:
                    gevent.sleep(pause)
                    continue
                self._apply(self._arrivals.popleft())
                self._notify()
