"""A stand-in endpoint that speaks the platform's line protocol on loopback."""

from __future__ import annotations

import logging
from typing import Any

import gevent
from gentianspread_server.platform.wire import LineSocket, ProtocolError
from gevent import socket
from gevent.server import StreamServer

from .database import Database, Run

log = logging.getLogger(__name__)

WORK_S = 0.004  # seconds a statement
OPENING_S = 0.005  # seconds a new connection


class WireSession:
    """What the endpoint holds for one connection."""

    __slots__ = ("workspace", "values", "prepared", "state", "is_read_only", "writes")

    def __init__(self, workspace: str) -> None:
        self.workspace = workspace
        self.values: dict[str, str] = {}
        self.prepared: dict[str, str] = {}
        self.state = "I"
        self.is_read_only = False
        self.writes: list[str] = []


class Answer:
    """Rows and a signature, or the word of an error."""

    __slots__ = ("rows", "signature", "error")

    def __init__(
        self, rows: list[str] | None = None, signature: str = "-", error: str = ""
    ) -> None:
        self.rows = rows if rows is not None else []
        self.signature = signature
        self.error = error


class StandInEndpoint:
    """Serves one endpoint; `crash` cuts every connection and answers none until `restart`."""

    __slots__ = ("name", "group", "database", "address", "_server", "_open")

    def __init__(self, name: str, group: str, database: Database, address: str) -> None:
        self.name = name
        self.group = group
        self.database = database
        self.address = address
        self._server: StreamServer | None = None
        self._open: set[Any] = set()

    def start(self) -> None:
        """Begin to serve."""
        host, _, port = self.address.rpartition(":")
        self._server = StreamServer((host, int(port)), self._serve)
        self._server.start()
        self.database.copies[self.name].alive = True

    def crash(self) -> None:
        """Cut everything."""
        self.database.copies[self.name].alive = False
        if self._server is not None:
            self._server.close()
        for connected in list(self._open):
            connected.close()

    def _serve(self, accepted: socket.socket, _address: Any) -> None:
        self._open.add(accepted)
        lines = LineSocket(accepted)
        try:
            self._serve_lines(lines)
        except (OSError, ProtocolError) as error:
            log.debug("a connection ended: %s", error)
        finally:
            self._open.discard(accepted)
            accepted.close()

    def _serve_lines(self, lines: LineSocket) -> None:
        words = (lines.read_line() or "").split(" ")
        if words[:2] != ["OPEN", self.group] or words[3:] != [self.name]:
            lines.send(b"ERROR WRONGNODE another one\r\n")
            return
        gevent.sleep(OPENING_S)
        session = WireSession(words[2])
        lines.send(self._ready(session))
        while True:
            line = lines.read_line()
            if line is None or not self.database.copies[self.name].alive:
                return
            _, number, text = line.split(" ", 2)
            answer = self._run(session, number, text)
            lines.send(self._encode(session, answer))

    def _ready(self, session: WireSession) -> bytes:
        return f"READY {session.state} {self.database.position(self.name)}\r\n".encode()

    def _encode(self, session: WireSession, answer: Answer) -> bytes:
        if answer.error:
            if session.state == "T":
                session.state = "E"
            return f"ERROR {answer.error} at {self.name}\r\n".encode() + self._ready(session)
        rows = "".join(f"ROW {row}\r\n" for row in answer.rows)
        return f"{rows}COMPLETE {answer.signature}\r\n".encode() + self._ready(session)

    def _run(self, session: WireSession, number: str, text: str) -> Answer:
        if text.startswith("WAITPOS "):
            _, position, text = text.split(" ", 2)
            if not self._reaches(position):
                return Answer(error="LAGGING")
        word, _, rest = text.partition(" ")
        if word in ("RESET", "SET", "PREPARE"):
            return self._set_up(session, word, rest)
        if word in ("PAUSE", "RESUME", "STEPDOWN", "STATUS"):
            return self._order(word, rest)
        if word == "BEGIN":
            return self._begin(session, rest)
        if word == "ROLLBACK":
            session.state, session.writes = "I", []
            return Answer()
        return self._statement(session, number, text)

    def _reaches(self, position: str) -> bool:
        wanted = tuple(int(part) for part in position.split("."))
        return (self.database.term, len(self.database.copies[self.name].log)) >= wanted

    def _set_up(self, session: WireSession, word: str, rest: str) -> Answer:
        if word == "RESET":
            session.values.clear()
            session.prepared.clear()
        elif word == "SET":
            name, _, value = rest.partition(" ")
            session.values[name] = value
        else:
            name, _, shape = rest.partition(" ")
            session.prepared[name] = shape
        return Answer()

    def _order(self, word: str, rest: str) -> Answer:
        copy = self.database.copies[self.name]
        if word == "PAUSE" and int(rest) > self.database.term:
            copy.held_term = int(rest)
        elif word == "RESUME":
            copy.held_term = 0
        elif word == "STEPDOWN" and self.database.leads(self.name):
            self.database.primary = ""
        role = "primary" if self.database.leads(self.name) else "replica"
        position = self.database.position(self.name)
        return Answer([f"{role} {self.database.term} {position} {copy.held_term} 0 0 1"])

    def _begin(self, session: WireSession, rest: str) -> Answer:
        session.is_read_only = rest == "READ"
        if not session.is_read_only and not self.database.leads(self.name):
            return Answer(error="READONLY")
        session.state = "T"
        return Answer()

    def _statement(self, session: WireSession, number: str, text: str) -> Answer:
        if session.state == "E":
            return Answer(error="MALFORMED")
        gevent.sleep(WORK_S)
        writes = text.startswith("WRITE")
        if text.startswith("EXECUTE"):
            name = text.split(" ")[1]
            if name not in session.prepared:
                return Answer(error="NOSTMT")
            writes = session.prepared[name].startswith("WRITE")
        needs_primary = writes or (session.state == "T" and not session.is_read_only)
        if needs_primary and not self.database.leads(self.name):
            return Answer(error="READONLY")
        if text == "COMMIT":
            return self._commit(session, number)
        seen = len(self.database.copies[self.name].log)
        self.database.runs.append(Run(number, text, session.workspace, dict(session.values), seen))
        if writes and session.state == "T":
            session.writes.append(number)
        elif writes and not self.database.commit(self.name, [number]):
            return Answer(error="TIMEOUT")
        return Answer([] if writes else [str(seen)], f"signed-{number}")

    def _commit(self, session: WireSession, number: str) -> Answer:
        writes, session.writes, session.state = session.writes, [], "I"
        if writes and not self.database.commit(self.name, writes):
            return Answer(error="TIMEOUT")
        return Answer([], f"signed-{number}")
