"""Server for callers' sessions over the line protocol."""

from __future__ import annotations

import logging
from typing import Any

import gevent
from gentianspread_core.blackboard.sessions import (
    Session,
    SessionState,
    SessionStatement,
    StatementAnswer,
)
from gentianspread_core.blackboard.timeline import EventKind
from gentianspread_core.errors import ErrorCode, Refusal
from gevent import socket
from gevent.pool import Pool
from gevent.server import StreamServer

from ..sessions import SessionRunner
from .documents import hash_key
from .wire import (
    LineSocket,
    ProtocolError,
    decode_statement,
    encode_answer,
    encode_ready,
    encode_refusal,
)

log = logging.getLogger(__name__)

OPEN_TIMEOUT_S = 10.0  # for a caller's first message
MAX_CALLERS = 1200  # the platform's VMs allow at least 1,570 file descriptors
ACCEPT_BACKLOG = 512


class CallerConnection:
    """One caller's connection.

    `statement` is the one that was read and is not answered yet. `is_shut_down` is set once this VM
    has shut the connection down.
    """

    __slots__ = ("line_socket", "session", "statement", "is_shut_down")

    def __init__(self, line_socket: LineSocket) -> None:
        self.line_socket = line_socket
        self.session: Session | None = None
        self.statement: SessionStatement | None = None
        self.is_shut_down = False

    def can_close(self) -> bool:
        """Return whether closing the connection interrupts no statement and no transaction."""
        is_idle = self.session is None or self.session.state is SessionState.IDLE
        return is_idle and self.statement is None and not self.line_socket.has_unread_bytes()


class CallerServer:
    """Accepts callers and serves each in its own greenlet.

    `closing` is set during a graceful shutdown: a connection then ends once it is idle.
    """

    __slots__ = ("runner", "connections", "closing", "_server")

    def __init__(self, address: str, runner: SessionRunner) -> None:
        self.runner = runner
        self.connections: set[CallerConnection] = set()
        self.closing = False
        host, _, port = address.rpartition(":")
        self._server = StreamServer(
            (host, int(port)), self._serve, backlog=ACCEPT_BACKLOG, spawn=Pool(MAX_CALLERS)
        )

    def start(self) -> None:
        """Start accepting callers."""
        self._server.start()

    def stop_accepting(self) -> None:
        """Stop accepting callers."""
        self._server.close()

    def close_idle(self) -> int:
        """Close every idle connection; return how many connections have not ended yet."""
        for connection in list(self.connections):
            if connection.can_close():
                self._shut_down(connection)
        return len(self.connections)

    def _serve(self, accepted: socket.socket, _address: Any) -> None:
        connection = CallerConnection(LineSocket(accepted))
        self.connections.add(connection)
        try:
            if self._open_session(connection):
                self._serve_session(connection)
        except (OSError, ProtocolError) as error:
            log.debug("a caller's connection ended: %s", error)
        finally:
            self.connections.discard(connection)
            if connection.session is not None:
                self.runner.close(connection.session)
            connection.line_socket.close()

    def _open_session(self, connection: CallerConnection) -> bool:
        line_socket = connection.line_socket
        line: str | None = None
        with gevent.Timeout(OPEN_TIMEOUT_S, False):
            line = line_socket.read_line()
        message_type, _, rest = (line or "").partition(" ")
        database, _, key = rest.partition(" ")
        if message_type != "OPEN" or not database:
            if line is not None:
                refusal = Refusal(ErrorCode.BAD_REQUEST, "The first message must open a session.")
                line_socket.send(encode_refusal(refusal))
            return False
        session = self.runner.open(database, hash_key(key))
        if session.refusal is not None:
            line_socket.send(encode_refusal(session.refusal))
            return False
        connection.session = session
        line_socket.send(encode_ready(session.state))
        return True

    def _serve_session(self, connection: CallerConnection) -> None:
        line_socket, session = connection.line_socket, connection.session
        while session is not None and not (self.closing and connection.can_close()):
            line = line_socket.read_line()
            if line is None or line == "CLOSE":
                return
            message_type, _, rest = line.partition(" ")
            if message_type != "QUERY":
                raise ProtocolError(f"unknown message type: {message_type[:20]}")
            statement_id, _, text = rest.partition(" ")
            connection.statement = decode_statement(statement_id, text)
            answer = self.runner.run(session, connection.statement)
            self._send_answer(connection, answer)
            connection.statement = None

    def _send_answer(self, connection: CallerConnection, answer: StatementAnswer) -> None:
        try:
            connection.line_socket.send(encode_answer(answer))
        except OSError as error:
            closed_by = "this VM" if connection.is_shut_down else "the caller"
            self._record_unanswered(
                connection, f"the connection was closed by {closed_by}: {error}"
            )
            raise

    def record_running(self) -> None:
        """Record the statements that are still running when the process ends."""
        for connection in self.connections:
            self._record_unanswered(connection, "the process ends")

    def _record_unanswered(self, connection: CallerConnection, cause: str) -> None:
        session, statement = connection.session, connection.statement
        if session is None or statement is None:
            return
        self.runner.board.timeline.log_only(
            EventKind.STATEMENT_UNANSWERED,
            f"request {statement.statement_id}",
            cause,
            statement=statement.verb.value,
            session=session.number,
            state=session.state.value,
        )

    def _shut_down(self, connection: CallerConnection) -> None:
        connection.is_shut_down = True
        try:
            connection.line_socket.socket.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            log.debug("an idle connection had already ended: %s", error)
