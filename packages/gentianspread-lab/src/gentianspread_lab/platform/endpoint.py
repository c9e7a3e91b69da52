"""A simulated endpoint that speaks the platform's line protocol on loopback."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from typing import Any

import gevent
from gentianspread_server.platform.wire import LineSocket, ProtocolError
from gevent import socket
from gevent.server import StreamServer

from .database import DatabaseGroup, ExecutedStatement, ReceivedStatement
from .promotionservice import LateDelivery

log = logging.getLogger(__name__)

STATEMENT_DURATION_S = 0.004
CONNECT_DURATION_S = 0.005
SLOW_ITEM_PREFIX = "wait"  # a statement on the item wait700 takes 700 ms
LARGE_ITEM_PREFIX = "size"  # a read of the item size500 returns a row of 500 bytes
VM_STATEMENT_ID = "-"


class EndpointSession:
    """An endpoint's state of one connection: its values, prepared statements and transaction.

    `state` is that of the transaction: I for none, T for an open one, E for a failed one. `writes`
    holds the ids of its write statements. `incarnation` is that of the endpoint, `term` the one in
    which the transaction was begun.
    """

    __slots__ = (
        "workspace",
        "incarnation",
        "term",
        "values",
        "prepared",
        "state",
        "is_read_only",
        "writes",
    )

    def __init__(self, workspace: str, incarnation: int) -> None:
        self.workspace = workspace
        self.incarnation = incarnation
        self.term = 0
        self.values: dict[str, str] = {}
        self.prepared: dict[str, str] = {}
        self.state = "I"
        self.is_read_only = False
        self.writes: list[str] = []


class StatementResult:
    """Rows and a signature, or an error code."""

    __slots__ = ("rows", "signature", "error")

    def __init__(
        self, rows: list[str] | None = None, signature: str = "-", error: str = ""
    ) -> None:
        self.rows = rows if rows is not None else []
        self.signature = signature
        self.error = error


class SimulatedEndpoint:
    """Serves one endpoint of a group from `start` until `crash`; it may be started again.

    Both also update whether the endpoint's copy of the log is `alive`, and so receives commits.
    `find_vm` returns the VM whose connection comes from a port. `late` draws the commands that are
    carried out late.
    """

    __slots__ = (
        "name",
        "group",
        "database",
        "late",
        "address",
        "find_vm",
        "_server",
        "_open_sockets",
    )

    def __init__(
        self, name: str, group: str, database: DatabaseGroup, late: LateDelivery, address: str
    ) -> None:
        self.name = name
        self.group = group
        self.database = database
        self.late = late
        self.address = address
        self.find_vm: Callable[[int], str] = lambda port: ""
        self._server: StreamServer | None = None
        self._open_sockets: set[Any] = set()

    def start(self) -> None:
        """Start to accept connections, also again after a crash."""
        host, _, port = self.address.rpartition(":")
        self._server = StreamServer((host, int(port)), self._serve_connection)
        self._server.start()
        self.database.start(self.name)

    def crash(self) -> None:
        """Close the listening socket and every connection."""
        self.database.copies[self.name].alive = False
        if self._server is not None:
            self._server.close()
        for open_socket in list(self._open_sockets):
            open_socket.close()

    def _serve_connection(self, client_socket: socket.socket, _address: Any) -> None:
        self._open_sockets.add(client_socket)
        connection = LineSocket(client_socket)
        try:
            self._serve_session(connection)
        except (OSError, ProtocolError) as error:
            log.debug("a connection failed: %s", error)
        finally:
            self._open_sockets.discard(client_socket)
            client_socket.close()

    def _serve_session(self, connection: LineSocket) -> None:
        """Read the line `OPEN group workspace endpoint`, then lines `QUERY id text`."""
        words = (connection.read_line() or "").split(" ")
        if words[:2] != ["OPEN", self.group] or words[3:] != [self.name]:
            connection.send(b"ERROR WRONGNODE another one\r\n")
            return
        gevent.sleep(CONNECT_DURATION_S)
        session = EndpointSession(words[2], self.database.copies[self.name].incarnation)
        vm = self.find_vm(connection.socket.getpeername()[1])
        connection.send(self._encode_ready(session))
        while True:
            line = connection.read_line()
            if line is None or self._has_ended(session):
                return
            _, statement_id, text = line.split(" ", 2)
            received = ReceivedStatement(statement_id, text, self.name, vm)
            if statement_id != VM_STATEMENT_ID:
                self.database.received_statements.append(received)
            result = self._execute(session, statement_id, text)
            received.end(result.error)
            if self._has_ended(session):
                return
            connection.send(self._encode_result(session, result))

    def _has_ended(self, session: EndpointSession) -> bool:
        """Return whether the endpoint has crashed since a session was opened."""
        copy = self.database.copies[self.name]
        return not copy.alive or copy.incarnation != session.incarnation

    def _encode_ready(self, session: EndpointSession) -> bytes:
        return f"READY {session.state} {self.database.position(self.name)}\r\n".encode()

    def _encode_result(self, session: EndpointSession, result: StatementResult) -> bytes:
        """Return the messages for a result; an error also fails the open transaction."""
        if result.error:
            if session.state == "T":
                session.state = "E"
            return f"ERROR {result.error} at {self.name}\r\n".encode() + self._encode_ready(session)
        rows = "".join(f"ROW {row}\r\n" for row in result.rows)
        return f"{rows}COMPLETE {result.signature}\r\n".encode(
            "utf-8", "surrogateescape"
        ) + self._encode_ready(session)

    def _execute(self, session: EndpointSession, statement_id: str, text: str) -> StatementResult:
        if text.startswith("WAITPOS "):
            _, position, text = text.split(" ", 2)
            if not self._has_applied(position):
                return StatementResult(error="LAGGING")
        keyword, _, rest = text.partition(" ")
        if keyword in ("RESET", "SET", "PREPARE"):
            return self._configure_session(session, keyword, rest)
        if keyword in ("PAUSE", "RESUME", "STEPDOWN", "STATUS"):
            return self._execute_command(session, keyword, rest)
        if keyword == "BEGIN":
            return self._begin(session, rest)
        if keyword == "ROLLBACK":
            session.state, session.writes = "I", []
            return StatementResult()
        return self._execute_statement(session, statement_id, text)

    def _has_applied(self, position: str) -> bool:
        applied = self.database.position(self.name)
        return _parse_position(applied) >= _parse_position(position)

    def _configure_session(
        self, session: EndpointSession, keyword: str, rest: str
    ) -> StatementResult:
        if keyword == "RESET":
            session.values.clear()
            session.prepared.clear()
        elif keyword == "SET":
            name, _, value = rest.partition(" ")
            session.values[name] = value
        else:
            name, _, template = rest.partition(" ")
            session.prepared[name] = template
        return StatementResult()

    def _execute_command(
        self, session: EndpointSession, keyword: str, rest: str
    ) -> StatementResult:
        """Carry out a VM's command, at once or late, and return the endpoint's status."""
        copy = self.database.copies[self.name]
        if keyword != "STATUS":
            self.late.wait(f"{keyword} {rest} at {self.name}")
        if copy.busy_until > time.monotonic() or self._has_ended(session):
            return StatementResult(error="BUSY")
        if keyword == "PAUSE":
            self.database.pause(self.name, int(rest))
        elif keyword == "RESUME":
            self.database.resume(self.name)
        elif keyword == "STEPDOWN":
            self.database.step_down(self.name, int(rest))
        role = "primary" if self.database.is_primary(self.name) else "replica"
        position = self.database.received_position(self.name)
        # The zeros and the one stand for lag, busy and connections, which VMs do not read.
        return StatementResult([f"{role} {copy.term} {position} {copy.paused_term} 0 0 1"])

    def _begin(self, session: EndpointSession, rest: str) -> StatementResult:
        session.is_read_only = rest == "READ"
        if not session.is_read_only and not self.database.is_primary(self.name):
            return StatementResult(error="READONLY")
        session.state, session.term = "T", self.database.copies[self.name].term
        return StatementResult()

    def _execute_statement(
        self, session: EndpointSession, statement_id: str, text: str
    ) -> StatementResult:
        if session.state == "E":
            return StatementResult(error="MALFORMED")
        gevent.sleep(_duration_of(text))
        copy = self.database.copies[self.name]
        if copy.busy_until > time.monotonic() or self._has_ended(session):
            return StatementResult(error="BUSY")
        is_write = text.startswith("WRITE")
        if text.startswith("EXECUTE"):
            name = text.split(" ")[1]
            if name not in session.prepared:
                return StatementResult(error="NOSTMT")
            is_write = session.prepared[name].startswith("WRITE")
        if text == "COMMIT" and not session.writes:
            return self._commit(session, statement_id)
        in_plain_transaction = session.state == "T" and not session.is_read_only
        is_leading = self.database.is_primary(self.name)
        if is_write and not is_leading:
            return StatementResult(error="READONLY")
        if in_plain_transaction and not (is_leading and session.term == copy.term):
            return StatementResult(error="READONLY")
        if text == "COMMIT":
            return self._commit(session, statement_id)
        log_length = self.database.applied_length(self.name)
        self.database.executed_statements.append(
            ExecutedStatement(
                statement_id, text, session.workspace, dict(session.values), log_length
            )
        )
        if is_write and session.state == "T":
            session.writes.append(statement_id)
        elif is_write and not self.database.commit(self.name, [statement_id]):
            return StatementResult(error="TIMEOUT")
        row = _row_of(text) or str(log_length)
        return StatementResult([] if is_write else [row], f"signed-{statement_id}")

    def _commit(self, session: EndpointSession, statement_id: str) -> StatementResult:
        writes, session.writes, session.state = session.writes, [], "I"
        if writes and not self.database.commit(self.name, writes):
            return StatementResult(error="TIMEOUT")
        return StatementResult([], f"signed-{statement_id}")


def _parse_position(text: str) -> tuple[int, ...]:
    """Return the term and the number of a position, which compare in this order."""
    return tuple(int(part) for part in text.split("."))


def _row_of(text: str) -> str:
    """Return the row that a read of a large item returns, or an empty one for other items."""
    item = text.split(" ")[1] if text.startswith("READ ") else ""
    if not item.startswith(LARGE_ITEM_PREFIX):
        return ""
    return "x" * int(item.removeprefix(LARGE_ITEM_PREFIX))


def _duration_of(text: str) -> float:
    """Return the seconds that a statement takes."""
    item = text.split(" ")[1] if " " in text else ""
    if item.startswith(SLOW_ITEM_PREFIX):
        return int(item.removeprefix(SLOW_ITEM_PREFIX)) / 1000
    return STATEMENT_DURATION_S
