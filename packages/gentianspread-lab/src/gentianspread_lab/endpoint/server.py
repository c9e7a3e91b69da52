"""HTTP front of the endpoint stand-in; one TCP connection is one database connection."""

from __future__ import annotations

import logging
import socket as plain_socket
import time
from collections.abc import Callable
from typing import Any

import gevent
import orjson
from gentianspread_core.positions import Position
from gentianspread_server.connections import RequestNotSentError, ResponseLostError, post_json
from gevent.lock import BoundedSemaphore
from gevent.pywsgi import WSGIHandler, WSGIServer

from .database import Database
from .faults import FaultKind, Faults
from .node import Node, NodeRole
from .sessions import Costs, Session

log = logging.getLogger(__name__)

ANNOUNCE_INTERVAL_S = 0.5
ANNOUNCE_LIMIT_S = 1.0
LATE_S = 1.5
SILENT_S = 30.0


class Identity:
    """What an endpoint announces of itself."""

    __slots__ = ("name", "address", "zone", "group", "connections", "slots", "group_size")

    def __init__(
        self,
        name: str,
        address: str,
        zone: str,
        group: str,
        connections: int,
        slots: int,
        group_size: int,
    ) -> None:
        self.name = name
        self.address = address
        self.zone = zone
        self.group = group
        self.connections = connections
        self.slots = slots
        self.group_size = group_size


class EndpointHandler(WSGIHandler):
    """Serves one connection and closes its session with it."""

    def __init__(self, sock: Any, address: Any, server: Any) -> None:
        sock.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1)
        self.opened_at = time.monotonic()
        super().__init__(sock, address, server)

    def handle(self) -> None:
        """Serve until the connection closes."""
        endpoint: Endpoint = self.server.application.__self__
        try:
            super().handle()
        finally:
            endpoint.disconnect(self)

    def get_environ(self) -> dict[str, Any]:
        """Name the connection in the environment of each request."""
        environ: dict[str, Any] = super().get_environ()
        environ["endpoint.connection"] = self
        return environ


class Endpoint:
    """One endpoint process: node, sessions, faults and announcements."""

    def __init__(
        self, identity: Identity, folder: str, lag: float, costs: Costs, announce_to: list[str]
    ) -> None:
        self.identity = identity
        self.database = Database(folder)
        self.node = Node(self.database, lag)
        self.costs = costs
        self.announce_to = announce_to
        self.faults = Faults()
        self.leaving = False
        self.sessions: dict[EndpointHandler, Session] = {}
        self.statements_seen = 0
        self.secrets: list[bytes] = []
        self.leaks = 0
        self.slots = BoundedSemaphore(identity.slots)
        self._routes: dict[str, Callable[[dict[str, Any]], Any]] = {
            "/status": self._status,
            "/watch": self._watch,
            "/order": self._order,
            "/replicate": self._replicate,
            "/fault": self._fault,
            "/leave": self._leave,
            "/inspect": self._inspect,
            "/secrets": self._take_secrets,
        }

    def serve(self) -> None:
        """Serve for ever."""
        gevent.spawn(self._announce)
        host, _, port = self.identity.address.rpartition(":")
        server = WSGIServer(
            (host, int(port)),
            self.application,
            log=None,
            error_log=log,
            handler_class=EndpointHandler,
            backlog=512,
        )
        server.serve_forever()

    def application(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        """Answer one HTTP request, with the faults that are shown now."""
        handler: EndpointHandler = environ["endpoint.connection"]
        path = environ["PATH_INFO"]
        body = environ["wsgi.input"].read()
        message = orjson.loads(body or b"{}")
        self._look_for_secrets(path, body, environ)
        if path != "/fault" and path != "/inspect":
            self._suffer(handler)
        answer = self._answer(path, message, handler)
        if path == "/statement":
            answer = self._spoil(answer)
        content = orjson.dumps(answer)
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(content)))]
        start_response("200 OK", headers)
        if path == "/statement" and self.faults.shows(FaultKind.SHORT):
            handler.socket.shutdown(plain_socket.SHUT_RD)
            return [content[: len(content) // 2]]
        return [content]

    def disconnect(self, handler: EndpointHandler) -> None:
        """Roll back what a closed connection had open."""
        session = self.sessions.pop(handler, None)
        if session is not None:
            session.close()

    def _answer(self, path: str, message: dict[str, Any], handler: EndpointHandler) -> Any:
        if path == "/statement":
            return self._statement(message, handler)
        return self._routes[path](message)

    def _suffer(self, handler: EndpointHandler) -> None:
        """Hang as the faults say; the caller's timeout ends the wait."""
        forgotten = handler.opened_at < self.faults.forgotten_before
        if self.faults.shows(FaultKind.ISOLATE):
            gevent.sleep(self.faults.left(FaultKind.ISOLATE) + LATE_S)
            raise ConnectionError("isolated")
        if forgotten and self.faults.shows(FaultKind.FORGET):
            gevent.sleep(SILENT_S)
            raise ConnectionError("forgotten")
        if self.faults.shows(FaultKind.STALL):
            gevent.sleep(self.faults.left(FaultKind.STALL))

    def _spoil(self, answer: dict[str, Any]) -> dict[str, Any]:
        if self.faults.shows(FaultKind.LATE):
            gevent.sleep(LATE_S)
        if self.faults.shows(FaultKind.CROSSED):
            answer["exchange"] += "-other"
        return answer

    def _statement(self, message: dict[str, Any], handler: EndpointHandler) -> dict[str, Any]:
        session = self.sessions.get(handler)
        if session is None:
            if len(self.sessions) >= self.identity.connections:
                return _refusal(message, "connections", "The endpoint has no free connection.")
            session = Session(self.node, self.database, self.slots, self.costs)
            self.sessions[handler] = session
            gevent.sleep(self.costs.connect)
        self.statements_seen += 1
        return session.run(message).to_wire(message["exchange"])

    def _status(self, message: dict[str, Any]) -> dict[str, Any]:
        node = self.node
        return {
            "term": node.term,
            "position": node.received().to_pair(),
            "applied": node.applied.to_pair(),
            "is_primary": node.role is NodeRole.PRIMARY,
            "follows": node.role is NodeRole.FOLLOWER,
            "leaving": self.leaving,
        }

    def _watch(self, message: dict[str, Any]) -> dict[str, Any]:
        position = Position.from_pair(message["position"])
        reached = self.node.watch(message["term"], position, message["wait_ms"] / 1000)
        return {"reached": reached.to_pair() if reached else None}

    def _order(self, message: dict[str, Any]) -> dict[str, Any]:
        term = message["term"]
        if message["kind"] == "fence":
            accepted = self.node.fence(term)
        elif message["kind"] == "promote":
            accepted = self.node.promote(term)
        else:
            accepted = self.node.follow(term, message["primary_address"])
        return {"accepted": accepted, "position": self.node.received().to_pair()}

    def _replicate(self, message: dict[str, Any]) -> dict[str, Any]:
        return self.node.feed(message["term"], message["ends"]) or {}

    def _fault(self, message: dict[str, Any]) -> dict[str, Any]:
        kind = FaultKind(message["kind"])
        self.faults.begin(kind, message["seconds"])
        if kind is FaultKind.ISOLATE:
            self.node.is_cut_off = True
            gevent.spawn_later(message["seconds"], self._rejoin)
        return {}

    def _rejoin(self) -> None:
        self.node.is_cut_off = False

    def _leave(self, message: dict[str, Any]) -> dict[str, Any]:
        self.leaving = message.get("leaving", True)
        return {}

    def _inspect(self, message: dict[str, Any]) -> dict[str, Any]:
        """Answer an oracle: run a read on the data as it is, and count the statements seen."""
        rows: list[Any] = []
        if "statement" in message:
            session = self.database.connect()
            rows = [list(row) for row in session.execute(message["statement"]).fetchall()]
            session.close()
        status = self._status({})
        seen = self.statements_seen
        return {"rows": rows, "seen": seen, "leaks": self.leaks, "status": status}

    def _take_secrets(self, message: dict[str, Any]) -> dict[str, Any]:
        """Take the texts that must never arrive here."""
        self.secrets = [text.encode() for text in message["texts"]]
        return {}

    def _look_for_secrets(self, path: str, body: bytes, environ: dict[str, Any]) -> None:
        if path == "/secrets":
            return
        headers = [value.encode() for name, value in environ.items() if name.startswith("HTTP_")]
        content = b"\n".join([body, *headers])
        self.leaks += sum(1 for secret in self.secrets if secret in content)

    def _announce(self) -> None:
        turn = 0
        while True:
            if not self.faults.shows(FaultKind.ISOLATE):
                address = self.announce_to[turn % len(self.announce_to)]
                self._announce_to(address)
                turn += 1
            gevent.sleep(ANNOUNCE_INTERVAL_S)

    def _announce_to(self, address: str) -> None:
        identity = self.identity
        message = {slot: getattr(identity, slot) for slot in identity.__slots__}
        message["leaving"] = self.leaving
        try:
            post_json(address, "/announce", message, ANNOUNCE_LIMIT_S)
        except (RequestNotSentError, ResponseLostError) as error:
            log.debug("announcement to %s: %s", address, error)


def _refusal(message: dict[str, Any], code: str, text: str) -> dict[str, Any]:
    return {
        "exchange": message["exchange"],
        "status": "refused",
        "rows": [],
        "changed": 0,
        "position": None,
        "age_ms": 0.0,
        "code": code,
        "message": text,
        "repeated": False,
    }
