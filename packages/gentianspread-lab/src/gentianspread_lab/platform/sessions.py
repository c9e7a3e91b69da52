"""A caller's session on an entry VM; everything that is sent and received goes into a ledger."""

from __future__ import annotations

import logging
from typing import Any

import gevent
from gentianspread_server.platform.wire import LineSocket, ProtocolError
from gevent import socket

from .ledger import Ending, Ledger, OpeningRecord, StatementRecord

log = logging.getLogger(__name__)

OPENING_TIMEOUT_S = 2.0  # callers of the platform close after this time
STATEMENT_TIMEOUT_S = 5.0  # longer than every route's timeout


class SessionEndedError(Exception):
    """The session cannot be used any more."""


class Answer:
    """A complete answer: its rows, its error code if any, and the session's state."""

    __slots__ = ("rows", "error", "state")

    def __init__(self, rows: list[str], error: str, state: str) -> None:
        self.rows = rows
        self.error = error
        self.state = state

    def add(self, line: str) -> None:
        """Add a line of the answer; the last one sets the state."""
        keyword, _, rest = line.partition(" ")
        if keyword == "ROW":
            self.rows.append(rest)
        elif keyword == "ERROR":
            self.error = rest.partition(" ")[0]
        elif keyword == "READY":
            self.state = rest.partition(" ")[0]


def read_answer(connection: LineSocket) -> Answer:
    """Read one complete answer; raises `ProtocolError` if the VM closes the connection before."""
    answer = Answer([], "", "")
    while not answer.state:
        line = connection.read_line()
        if line is None:
            raise ProtocolError("the VM closed the connection within an answer")
        answer.add(line)
    return answer


class CallerSession:
    """One session: its connection, the VM that serves it, and the state of its transaction."""

    __slots__ = ("name", "vm", "shape", "ledger", "state", "_connection", "_count", "_operation")

    def __init__(self, name: str, vm: str, shape: str, ledger: Ledger) -> None:
        self.name = name
        self.vm = vm
        self.shape = shape
        self.ledger = ledger
        self.state = "I"
        self._connection: LineSocket | None = None
        self._count = 0
        self._operation = ""

    def open(self, address: str, database: str, key: str) -> None:
        """Connect and open the session; raise if it is not opened."""
        host, _, port = address.rpartition(":")
        try:
            connected: Any = socket.create_connection((host, int(port)), timeout=OPENING_TIMEOUT_S)
        except OSError as error:
            raise SessionEndedError(str(error)) from error
        connected.settimeout(None)
        self._connection = LineSocket(connected)
        record = OpeningRecord(self.name, self.vm, self.shape, database, key)
        self.ledger.add_opening(record)
        line: str | None = None
        try:
            with gevent.Timeout(OPENING_TIMEOUT_S):
                self._connection.send(f"OPEN {database} {key}\r\n".encode())
                line = self._connection.read_line()
            ending = Ending.CLOSED if line is None else Ending.ANSWERED
        except gevent.Timeout:
            ending = Ending.TIMED_OUT
        except (OSError, ProtocolError) as error:
            log.debug("an opening failed: %s", error)
            ending = Ending.RESET
        words = (line or "").split(" ")
        record.end(ending, words[1] if words[0] == "ERROR" else "")
        if words[0] != "READY":
            self.leave()
            raise SessionEndedError(ending.value)

    def execute(self, text: str) -> Answer:
        """Send a statement and return its complete answer; raise if there is none."""
        record = self._record(text)
        self._send(record)
        answer = Answer([], "", "")
        ending = Ending.CLOSED
        timeout = gevent.Timeout(STATEMENT_TIMEOUT_S)
        try:
            with timeout:
                while not answer.state:
                    line = self._require_connection().read_line()
                    if line is None:
                        break
                    ending = Ending.CUT
                    answer.add(line)
        except gevent.Timeout:
            ending = Ending.TIMED_OUT
        except (OSError, ProtocolError) as error:
            log.debug("statement %s failed: %s", record.statement_id, error)
            ending = Ending.CUT if ending is Ending.CUT else Ending.RESET
        if not answer.state:
            record.end(ending)
            self.leave()
            raise SessionEndedError(ending.value)
        record.end(Ending.ANSWERED, answer.error)
        self.state = answer.state
        return answer

    def send_and_leave(self, text: str) -> None:
        """Send a statement and close the connection without waiting for the answer."""
        record = self._record(text)
        self._send(record)
        record.end(Ending.LEFT)
        self.leave()

    def close(self) -> None:
        """End the session as the protocol asks for."""
        if self._connection is not None:
            try:
                self._connection.send(b"CLOSE\r\n")
            except OSError as error:
                log.debug("the VM had closed the session: %s", error)
        self.leave()

    def leave(self) -> None:
        """Close the connection without a message."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def pause(self, seconds: float) -> None:
        """Wait without a statement outstanding; raise if the VM ends the session meanwhile."""
        connection = self._require_connection()
        with gevent.Timeout(seconds, False):
            try:
                line = connection.read_line()
            except (OSError, ProtocolError) as error:
                log.debug("an idle session ended: %s", error)
                line = None
            self.leave()
            raise SessionEndedError("closed while idle" if line is None else f"unasked: {line}")

    def _record(self, text: str) -> StatementRecord:
        self._count += 1
        statement_id = f"{self.name}x{self._count}"
        in_transaction = self.state != "I"
        if not in_transaction:
            self._operation = statement_id
        record = StatementRecord(
            statement_id, self.vm, self.name, self.shape, text, self._operation, in_transaction
        )
        return record

    def _send(self, record: StatementRecord) -> None:
        self.ledger.add_statement(record)
        try:
            message = f"QUERY {record.statement_id} {record.text}\r\n".encode()
            self._require_connection().send(message)
        except OSError as error:
            record.end(Ending.RESET)
            self.leave()
            raise SessionEndedError(str(error)) from error

    def _require_connection(self) -> LineSocket:
        if self._connection is None:
            raise SessionEndedError("the session has ended")
        return self._connection
