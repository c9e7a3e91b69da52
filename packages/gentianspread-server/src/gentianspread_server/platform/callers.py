"""Server for callers' sessions over the line protocol."""

from __future__ import annotations

import logging
import time
from typing import Any

import gevent
from gentianspread_core.blackboard.sessions import (
    Session,
    SessionState,
    SessionStatement,
    StatementAnswer,
    Verb,
)
from gentianspread_core.blackboard.timeline import EventKind, request_label
from gentianspread_core.controllers.shutdown import answer_at_end
from gentianspread_core.errors import ErrorCode, Refusal
from gevent import socket
from gevent.event import Event

from ..resources.budget import FREE_BYTES, STATEMENT_COPIES, MemoryBudget, text_bytes
from ..resources.connections import ConnectionLimits
from ..resources.limits import RECEIVE_BUFFER_BYTES
from ..resources.peers import PeerActivity
from ..sessions import SessionRunner
from ..sockets import LimitedServer, stop_receiving
from .documents import hash_key
from .wire import (
    LineSocket,
    MessageTooLongError,
    ProtocolError,
    decode_statement,
    encode_answer,
    encode_ready,
    encode_refusal,
)

log = logging.getLogger(__name__)

OPEN_TIMEOUT_S = 10.0  # for a caller's first message
QUIET_PERIOD_S = 0.1  # after the last answer, until a connection is closed for a planned stop
ACCEPT_BACKLOG = 512
# Pipelined statements that one caller gets answered in a row. 1,100 callers that pipeline
# statements of 50 us then delay others by 0.2 s; without turns, by a buffer of 600 statements each.
STATEMENTS_PER_TURN = 4
STATE_VERBS = frozenset({Verb.SET, Verb.PREPARE})


class CallerConnection:
    """One caller's connection, as the resource limits see it too.

    `statement` is the one that was read and is not answered yet; `is_answering` is set while its
    answer is being sent, `is_opening` while its session is being opened. `statements_in_turn`
    counts the pipelined statements since other connections had their turn.
    """

    is_trusted = False

    __slots__ = (
        "line_socket",
        "session",
        "statement",
        "is_answering",
        "is_opening",
        "is_ended",
        "statements_in_turn",
        "charged_bytes",
        "_budget",
        "_state_bytes",
        "_began_at",
        "_unsent_since",
        "_unsent_bytes",
    )

    def __init__(self, accepted: socket.socket, budget: MemoryBudget) -> None:
        self.line_socket = LineSocket(accepted, self._on_line_growth)
        self.session: Session | None = None
        self.statement: SessionStatement | None = None
        self.is_answering = False
        self.is_opening = False
        self.is_ended = False
        self.statements_in_turn = 0
        self.charged_bytes = 0
        self._budget = budget
        self._state_bytes = 0
        self._began_at = time.monotonic()
        self._unsent_since = 0.0
        self._unsent_bytes = 0

    def is_idle(self) -> bool:
        """Return whether no statement is running or unread, and no transaction is open."""
        if self.statement is not None or self.line_socket.unread_bytes():
            return False
        return not self.is_in_transaction()

    def is_in_transaction(self) -> bool:
        """Return whether the session has a transaction that has not ended."""
        return self.session is not None and self.session.state is not SessionState.IDLE

    def activity(self) -> PeerActivity:
        """Return what the caller is doing."""
        if self._unsent_since:
            return PeerActivity.UNREAD
        if self.statement is not None or self.is_opening:
            return PeerActivity.WORKING
        if self.session is None:
            return PeerActivity.UNOPENED
        # A message that stalls in an open transaction has the transaction's idle timeout.
        is_open = self.session.state is SessionState.OPEN
        if self.line_socket.unfinished_since and not is_open:
            return PeerActivity.UNFINISHED
        return PeerActivity.WORKING if self.is_in_transaction() else PeerActivity.IDLE

    def since(self) -> float:
        """Return when that began, or for idle sessions when the last answer was sent."""
        return self._unsent_since or self.line_socket.unfinished_since or self._began_at

    def expected_bytes(self) -> int:
        """Return the bytes of the unread answer or of the unfinished message."""
        return self._unsent_bytes or self.line_socket.unread_bytes()

    def end(self) -> None:
        """Close the connection at once."""
        self.is_ended = True
        self.line_socket.abort()

    def hold_work(self, size: int) -> bool:
        """Charge what the message or answer under way takes; return false without room for it."""
        size = 0 if size <= FREE_BYTES else size
        if not size and not self.charged_bytes:
            return True
        return self._budget.charge(self, self._state_bytes + size)

    def hold_state(self, size: int) -> bool:
        """Charge what the session's values and statements take; return false without room for it.

        Nothing else is charged for the connection from then on.
        """
        size = 0 if size <= FREE_BYTES else size
        if not size and not self.charged_bytes:
            return True
        if not self._budget.charge(self, size):
            return False
        self._state_bytes = size
        return True

    def send(self, content: bytes) -> None:
        """Send an answer; the bytes that its caller does not read at once are charged."""
        self._began_at = time.monotonic()
        sent = self.line_socket.send_at_once(content)
        if sent == len(content):
            return
        self._unsent_bytes = len(content) - sent
        self._unsent_since = time.monotonic()
        try:
            statement_bytes = text_bytes(self.statement.text) if self.statement else 0
            if not self.hold_work(len(content) + statement_bytes):
                raise OSError("the memory for unread answers is used up")
            self.line_socket.send(memoryview(content)[sent:])
        finally:
            self._unsent_since = 0.0
            self._unsent_bytes = 0
            self.hold_work(0)

    def _on_line_growth(self, size: int) -> None:
        if self.is_ended or not self._budget.charge(self, self._state_bytes + size):
            raise OSError("the memory for unfinished messages is used up")


class CallerServer:
    """Accepts callers and serves each in its own greenlet.

    During a planned stop a connection ends once it is idle, after the answers to all statements
    that it has received.
    """

    __slots__ = ("runner", "connections", "_limits", "_server", "_connection_ended")

    def __init__(self, address: str, runner: SessionRunner, limits: ConnectionLimits) -> None:
        self.runner = runner
        self.connections: set[CallerConnection] = set()
        self._limits = limits
        self._connection_ended = Event()
        self._server = LimitedServer(address, self._serve, ACCEPT_BACKLOG, RECEIVE_BUFFER_BYTES)

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
        connection = CallerConnection(accepted, self._limits.budget)
        if not self._limits.admit(connection):
            self._refuse_connection(connection)
            return
        self.connections.add(connection)
        try:
            if self._open_session(connection):
                self._serve_session(connection)
        except MessageTooLongError as error:
            self._limits.count_oversized(connection.activity())
            log.debug("a caller's connection ended: %s", error)
        except (OSError, ProtocolError) as error:
            log.debug("a caller's connection ended: %s", error)
        finally:
            self.connections.discard(connection)
            self._limits.leave(connection)
            self._connection_ended.set()
            if connection.session is not None:
                self.runner.close(connection.session)
            connection.line_socket.close()
            self._limits.budget.release(connection)

    def _refuse_connection(self, connection: CallerConnection) -> None:
        """Answer a caller that there is no connection for, without waiting for it."""
        refusal = Refusal(ErrorCode.OVERLOADED, "This VM has no room for another connection.")
        try:
            connection.line_socket.send_at_once(encode_refusal(refusal))
        except OSError as error:
            log.debug("a refused caller had already gone: %s", error)
        finally:
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
                connection.send(encode_refusal(refusal))
            return False
        connection.is_opening = True
        session = self.runner.open(database, hash_key(key))
        connection.is_opening = False
        connection.hold_work(0)
        if session.refusal is not None:
            connection.send(encode_refusal(session.refusal))
            return False
        connection.session = session
        connection.send(encode_ready(session.state))
        return True

    def _serve_session(self, connection: CallerConnection) -> None:
        session = connection.session
        line = connection.line_socket.read_line()
        while session is not None and line is not None and line != "CLOSE":
            size = text_bytes(line)
            statement = _decode_query(line)
            del line
            connection.statement = statement
            if self._has_room(connection, session, statement, size):
                answer = self.runner.run(session, statement)
            else:
                answer = self._refuse_statement(connection, session)
            del statement
            if connection.statement is None or connection.is_answering:
                return  # answered by `close_all`
            if session.state_bytes > FREE_BYTES or connection.charged_bytes:
                connection.hold_state(session.state_bytes)
            content = encode_answer(answer)
            del answer  # its rows are not needed any more, however slowly its caller reads
            self._send_answer(connection, content)
            del content
            if session.closed:
                return
            if self.runner.board.shutdown.is_requested() and not connection.is_in_transaction():
                line = self._read_last_line(connection.line_socket)
            else:
                self._let_others_run(connection)
                line = connection.line_socket.read_line()

    def _let_others_run(self, connection: CallerConnection) -> None:
        """Switch to other greenlets now and then while statements are read without waiting."""
        if not connection.line_socket.unread_bytes():
            connection.statements_in_turn = 0
            return
        connection.statements_in_turn += 1
        if connection.statements_in_turn >= STATEMENTS_PER_TURN:
            connection.statements_in_turn = 0
            gevent.sleep(0)

    def _has_room(
        self,
        connection: CallerConnection,
        session: Session,
        statement: SessionStatement,
        size: int,
    ) -> bool:
        """Charge a statement for the time that it runs, and for what it adds to its session."""
        if statement.verb in STATE_VERBS and not connection.hold_state(session.state_bytes + size):
            return False
        return connection.hold_work(STATEMENT_COPIES * size if size > FREE_BYTES else 0)

    def _refuse_statement(self, connection: CallerConnection, session: Session) -> StatementAnswer:
        """Return the answer to a statement that was not run because there is no memory for it.

        In a transaction, statements that were pipelined after it could be committed without it; its
        connection is closed instead, which rolls the transaction back.
        """
        self._limits.count_refused(connection.activity())
        if connection.is_in_transaction():
            raise OSError("there is no memory for a statement of a transaction")
        refusal = Refusal(ErrorCode.OVERLOADED, "This VM has no memory for the statement now.")
        return StatementAnswer([], "", refusal, session.state)

    def _read_last_line(self, line_socket: LineSocket) -> str | None:
        """Return the next line; close the connection if none comes for a while.

        A caller that sends its next statement at once would otherwise find the connection closed.
        """
        with gevent.Timeout(QUIET_PERIOD_S, False):
            return line_socket.read_line()
        stop_receiving(line_socket.socket)
        return line_socket.read_line()

    def _send_answer(self, connection: CallerConnection, content: bytes) -> None:
        connection.is_answering = True
        try:
            connection.send(content)
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
        log.warning("%s was still running at the end", request_label(statement.statement_id))
        try:
            self._send_answer(connection, encode_answer(answer_at_end(session)))
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
            request_label(statement.statement_id),
            cause,
            statement=statement.verb.value,
            session=session.number,
            state=session.state.value,
        )


def _decode_query(line: str) -> SessionStatement:
    """Decode a caller's message; raise `ProtocolError` if it is no statement."""
    message_type, *fields = line.split(" ", 2)
    if message_type != "QUERY":
        raise ProtocolError(f"unknown message type: {message_type[:20]}")
    statement_id = fields[0] if fields else ""
    return decode_statement(statement_id, fields[1] if len(fields) > 1 else "")
