"""Serves callers' sessions over the line protocol."""

from __future__ import annotations

import logging
from typing import Any

import gevent
from gentianspread_core.blackboard.sessions import Session, SessionState
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

OPENING_LIMIT_S = 10.0  # seconds for a caller's first message
MOST_CALLERS = 1200  # connections; the platform's VMs have 1,570 descriptors and more
BACKLOG = 512  # connections that wait to be accepted


class CallerConnection:
    """One caller's connection; `is_busy` while a statement is being served."""

    __slots__ = ("lines", "session", "is_busy")

    def __init__(self, lines: LineSocket) -> None:
        self.lines = lines
        self.session: Session | None = None
        self.is_busy = False

    def rests(self) -> bool:
        """Tell whether closing the connection cuts nothing."""
        is_idle = self.session is None or self.session.state is SessionState.IDLE
        return is_idle and not self.is_busy and not self.lines.has_unread()


class CallerServer:
    """Accepts callers and serves each in a greenlet of its own."""

    __slots__ = ("runner", "connections", "closing", "_server")

    def __init__(self, address: str, runner: SessionRunner) -> None:
        self.runner = runner
        self.connections: set[CallerConnection] = set()
        self.closing = False
        host, _, port = address.rpartition(":")
        self._server = StreamServer(
            (host, int(port)), self._serve, backlog=BACKLOG, spawn=Pool(MOST_CALLERS)
        )

    def start(self) -> None:
        """Begin to accept callers."""
        self._server.start()

    def stop_accepting(self) -> None:
        """Accept no further callers."""
        self._server.close()

    def close_resting(self) -> int:
        """Close every connection that rests; return how many do not."""
        for connection in list(self.connections):
            if connection.rests():
                self._shut(connection)
        return len(self.connections)

    def _serve(self, accepted: socket.socket, _address: Any) -> None:
        connection = CallerConnection(LineSocket(accepted))
        self.connections.add(connection)
        try:
            if self._open(connection):
                self._serve_session(connection)
        except (OSError, ProtocolError) as error:
            log.debug("a caller's connection ended: %s", error)
        finally:
            self.connections.discard(connection)
            if connection.session is not None:
                self.runner.close(connection.session)
            connection.lines.close()

    def _open(self, connection: CallerConnection) -> bool:
        lines = connection.lines
        line: str | None = None
        with gevent.Timeout(OPENING_LIMIT_S, False):
            line = lines.read_line()
        word, _, rest = (line or "").partition(" ")
        database, _, key = rest.partition(" ")
        if word != "OPEN" or not database:
            if line is not None:
                refusal = Refusal(ErrorCode.BAD_REQUEST, "The first message must open a session.")
                lines.send(encode_refusal(refusal))
            return False
        session = self.runner.open(database, hash_key(key))
        if session.refusal is not None:
            lines.send(encode_refusal(session.refusal))
            return False
        connection.session = session
        lines.send(encode_ready(session.state))
        return True

    def _serve_session(self, connection: CallerConnection) -> None:
        lines, session = connection.lines, connection.session
        while session is not None and not (self.closing and connection.rests()):
            line = lines.read_line()
            if line is None or line == "CLOSE":
                return
            word, _, rest = line.partition(" ")
            if word != "QUERY":
                raise ProtocolError(f"unknown word {word[:20]}")
            number, _, text = rest.partition(" ")
            connection.is_busy = True
            answer = self.runner.run(session, decode_statement(number, text))
            lines.send(encode_answer(answer))
            connection.is_busy = False

    def _shut(self, connection: CallerConnection) -> None:
        try:
            connection.lines.socket.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            log.debug("a resting connection had ended: %s", error)
