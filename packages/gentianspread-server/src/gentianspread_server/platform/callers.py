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
from gentianspread_core.controllers.shutdown import answer_at_end
from gentianspread_core.errors import ErrorCode, Refusal
from gevent import socket
from gevent.event import Event
from gevent.pool import Pool
from gevent.server import StreamServer

from ..sessions import SessionRunner
from ..sockets import stop_receiving
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
QUIET_PERIOD_S = 0.1  # after the last answer, until a connection is closed for a planned stop
MAX_CALLERS = 1200  # the platform's VMs allow at least 1,570 file descriptors
ACCEPT_BACKLOG = 512


class CallerConnection:
    """One caller's connection.

    `statement` is the one that was read and is not answered yet; `is_answering` is set while its
    answer is being sent.
    """

    __slots__ = ("line_socket", "session", "statement", "is_answering")

    def __init__(self, line_socket: LineSocket) -> None:
        self.line_socket = line_socket
        self.session: Session | None = None
        self.statement: SessionStatement | None = None
        self.is_answering = False

    def is_idle(self) -> bool:
        """Return whether no statement is running and no transaction is open."""
        is_in_transaction = self.session is not None and self.session.state is not SessionState.IDLE
        return self.statement is None and not is_in_transaction


class CallerServer:
    """Accepts callers and serves each in its own greenlet.

    During a planned stop a connection ends once it is idle, after the answers to all statements
    that it has received.
    """

    __slots__ = ("runner", "connections", "_server", "_connection_ended")

    def __init__(self, address: str, runner: SessionRunner) -> None:
        self.runner = runner
        self.connections: set[CallerConnection] = set()
        self._connection_ended = Event()
        host, _, port = address.rpartition(":")
        self._server = StreamServer(
            (host, int(port)), self._serve, backlog=ACCEPT_BACKLOG, spawn=Pool(MAX_CALLERS)
        )

    def start(self) -> None:
        """Start accepting callers."""
        self._server.start()

    def close_idle(self) -> None:
        """Close every idle connection."""
        for connection in self.connections:
            if connection.is_idle():
                stop_receiving(connection.line_socket.socket)

    def close_all(self, timeout_s: float) -> None:
        """Stop accepting callers, answer the statements that are still running, and close.

        The timeout is for the answers that are being sent.
        """
        self._server.close()
        for connection in list(self.connections):
            stop_receiving(connection.line_socket.socket)
            if connection.statement is not None and not connection.is_answering:
                gevent.spawn(self._answer_at_end, connection)
        with gevent.Timeout(timeout_s, False):
            while self.connections:
                self._connection_ended.clear()
                self._connection_ended.wait()
        for connection in list(self.connections):
            self._record_unanswered(connection, "the process ends")
            connection.line_socket.close()

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
            self._connection_ended.set()
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
        session = connection.session
        line = connection.line_socket.read_line()
        while session is not None and line is not None and line != "CLOSE":
            message_type, _, rest = line.partition(" ")
            if message_type != "QUERY":
                raise ProtocolError(f"unknown message type: {message_type[:20]}")
            statement_id, _, text = rest.partition(" ")
            connection.statement = decode_statement(statement_id, text)
            answer = self.runner.run(session, connection.statement)
            if connection.statement is None or connection.is_answering:
                return  # answered by `close_all`
            self._send_answer(connection, answer)
            if self.runner.board.shutdown.is_requested() and connection.is_idle():
                line = self._read_last_line(connection.line_socket)
            else:
                line = connection.line_socket.read_line()

    def _read_last_line(self, line_socket: LineSocket) -> str | None:
        """Return the next line; close the connection if none comes for a while.

        A caller that sends its next statement at once would otherwise find the connection closed.
        """
        with gevent.Timeout(QUIET_PERIOD_S, False):
            return line_socket.read_line()
        stop_receiving(line_socket.socket)
        return line_socket.read_line()

    def _send_answer(self, connection: CallerConnection, answer: StatementAnswer) -> None:
        connection.is_answering = True
        try:
            connection.line_socket.send(encode_answer(answer))
        except OSError as error:
            self._record_unanswered(connection, f"the caller's connection ended: {error}")
            raise
        finally:
            connection.statement = None
            connection.is_answering = False

    def _answer_at_end(self, connection: CallerConnection) -> None:
        """Answer a statement that is still running, as its endpoint will not in time, and close."""
        session, statement = connection.session, connection.statement
        if session is None or statement is None or connection.is_answering:
            return
        log.warning("request %s was still running at the end", statement.statement_id)
        try:
            self._send_answer(connection, answer_at_end(session))
        except OSError as error:
            log.debug("a caller's connection ended: %s", error)
        self.connections.discard(connection)
        self._connection_ended.set()
        connection.line_socket.close()

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
