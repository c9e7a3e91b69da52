"""Callers of the platform's entry VMs, and what they were told."""

from __future__ import annotations

import random

import gevent
from gentianspread_server.platform.wire import LineSocket, ProtocolError
from gevent import socket

CALL_LIMIT_S = 5.0  # seconds for one statement; routes allow 1 s
PAUSE_S = 0.02  # seconds between two operations of a caller
PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT")


class Record:
    """What all callers were told.

    `acknowledged` and `promised` hold ids of single writes that were answered with success, and
    with a promise that nothing is kept. `stale` counts reads that missed an own write, `refused`
    failed operations by their word.
    """

    __slots__ = ("acknowledged", "promised", "stale", "refused", "served")

    def __init__(self) -> None:
        self.acknowledged: set[str] = set()
        self.promised: set[str] = set()
        self.stale = 0
        self.refused: dict[str, int] = {}
        self.served = 0


class Reply:
    """A whole answer: rows, the word of an error, and the state."""

    __slots__ = ("rows", "error", "state")

    def __init__(self, rows: list[str], error: str, state: str) -> None:
        self.rows = rows
        self.error = error
        self.state = state


class Caller:
    """One caller that opens sessions on any VM, writes, and reads its own writes."""

    def __init__(self, name: str, key: str, addresses: list[str], record: Record) -> None:
        self.name = name
        self.key = key
        self.addresses = addresses
        self.record = record
        self.randomness = random.Random(name)
        self.stopping = False
        self._count = 0

    def run(self) -> None:
        """Hold sessions until told to stop."""
        while not self.stopping:
            try:
                with gevent.Timeout(CALL_LIMIT_S):
                    lines = self._open()
                if lines is not None:
                    self._hold(lines)
            except (OSError, ProtocolError, gevent.Timeout) as error:
                self._note(type(error).__name__)
            gevent.sleep(PAUSE_S)

    def ask(self, lines: LineSocket, text: str) -> tuple[str, Reply]:
        """Send a statement and return its id and answer."""
        self._count += 1
        number = f"{self.name}x{self._count}"
        with gevent.Timeout(CALL_LIMIT_S):
            lines.send(f"QUERY {number} {text}\r\n".encode())
            return number, read_reply(lines)

    def _open(self) -> LineSocket | None:
        host, _, port = self.randomness.choice(self.addresses).rpartition(":")
        lines = LineSocket(socket.create_connection((host, int(port)), timeout=CALL_LIMIT_S))
        lines.send(f"OPEN own {self.key}\r\n".encode())
        line = lines.read_line()
        if line is None or not line.startswith("READY"):
            self._note((line or "closed").partition(" ")[2].partition(" ")[0])
            lines.close()
            return None
        return lines

    def _hold(self, lines: LineSocket) -> None:
        """Set a value of this session, then write and read for a while."""
        try:
            self.ask(lines, f"SET who {self.name}")
            for _ in range(self.randomness.randint(3, 20)):
                if self.stopping:
                    break
                self._operate(lines)
                gevent.sleep(PAUSE_S)
        finally:
            lines.close()

    def _operate(self, lines: LineSocket) -> None:
        number, written = self.ask(lines, f"WRITE {self.name} data")
        if written.error:
            self._note(written.error)
            if written.error in PROMISES:
                self.record.promised.add(number)
            return
        self.record.acknowledged.add(number)
        self.record.served += 1
        _, read = self.ask(lines, f"READ {self.name}")
        if read.error:
            self._note(read.error)
        else:
            self.record.served += 1

    def _note(self, word: str) -> None:
        self.record.refused[word] = self.record.refused.get(word, 0) + 1


def read_reply(lines: LineSocket) -> Reply:
    """Read one whole answer."""
    rows: list[str] = []
    error = ""
    while True:
        line = lines.read_line()
        if line is None:
            raise ProtocolError("the VM closed within an answer")
        word, _, rest = line.partition(" ")
        if word == "ROW":
            rows.append(rest)
        elif word == "ERROR":
            error = rest.partition(" ")[0]
        elif word == "READY":
            return Reply(rows, error, rest.partition(" ")[0])
