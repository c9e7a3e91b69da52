"""HTTP server of the simulated endpoint; one TCP connection is one database connection."""

from __future__ import annotations

import logging
import socket as stdlib_socket
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
from .sessions import Session, StatementCosts

log = logging.getLogger(__name__)

ANNOUNCE_INTERVAL_S = 0.5
ANNOUNCE_TIMEOUT_S = 1.0
RESPONSE_DELAY_S = 1.5
LOST_CONNECTION_HANG_S = 30.0


class Identity:
    """The description that an endpoint announces to the VMs."""

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
    """Serves one connection; its session is closed with it."""

    def __init__(self, sock: Any, address: Any, server: Any) -> None:
        sock.setsockopt(stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_NODELAY, 1)
        self.opened_at = time.monotonic()
        super().__init__(sock, address, server)

    def handle(self) -> None:
        """Serve until the connection closes."""
        endpoint: EndpointServer = self.server.application.__self__
        try:
            super().handle()
        finally:
            endpoint.disconnect(self)

    def get_environ(self) -> dict[str, Any]:
        """Add the connection to the environment of each request."""
        environ: dict[str, Any] = super().get_environ()
        environ["endpoint.connection"] = self
        return environ


class EndpointServer:
    """One endpoint process: node, sessions, injected faults and announcements."""

    def __init__(
        self,
        identity: Identity,
        folder: str,
        lag_s: float,
        costs: StatementCosts,
        announce_to: list[str],
    ) -> None:
        self.identity = identity
        self.database = Database(folder)
        self.node = Node(self.database, lag_s)
        self.costs = costs
        self.announce_to = announce_to
        self.faults = Faults()
        self.leaving = False
        self.sessions: dict[EndpointHandler, Session] = {}
        self.statements_received = 0
        self.secrets: list[bytes] = []
        self.leaks = 0
        self.slots = BoundedSemaphore(identity.slots)
        self._routes: dict[str, Callable[[dict[str, Any]], Any]] = {
            "/status": self._status,
            "/watch": self._watch,
            "/order": self._execute_command,
            "/replicate": self._replicate,
            "/fault": self._fault,
            "/leave": self._leave,
            "/inspect": self._inspect,
            "/secrets": self._set_secrets,
        }

    def serve(self) -> None:
        """Serve until the process ends."""
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
        """Answer one HTTP request, subject to the active faults."""
        handler: EndpointHandler = environ["endpoint.connection"]
        path = environ["PATH_INFO"]
        body = environ["wsgi.input"].read()
        message = orjson.loads(body or b"{}")
        self._count_leaks(path, body, environ)
        if path != "/fault" and path != "/inspect":
            self._apply_request_faults(handler)
        response = self._dispatch(path, message, handler)
        if path == "/statement":
            response = self._apply_response_faults(response)
        content = orjson.dumps(response)
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(content)))]
        start_response("200 OK", headers)
        if path == "/statement" and self.faults.is_active(FaultKind.TRUNCATED_RESPONSE):
            handler.socket.shutdown(stdlib_socket.SHUT_RD)
            return [content[: len(content) // 2]]
        return [content]

    def disconnect(self, handler: EndpointHandler) -> None:
        """Close the session of a closed connection, rolling back its transaction."""
        session = self.sessions.pop(handler, None)
        if session is not None:
            session.close()

    def _dispatch(self, path: str, message: dict[str, Any], handler: EndpointHandler) -> Any:
        if path == "/statement":
            return self._statement(message, handler)
        return self._routes[path](message)

    def _apply_request_faults(self, handler: EndpointHandler) -> None:
        """Delay the request as the active faults demand; the sender's timeout ends the wait."""
        is_lost = handler.opened_at < self.faults.connections_lost_at
        if self.faults.is_active(FaultKind.ISOLATE):
            gevent.sleep(self.faults.remaining_s(FaultKind.ISOLATE) + RESPONSE_DELAY_S)
            raise ConnectionError("injected fault: endpoint isolated")
        if is_lost and self.faults.is_active(FaultKind.LOST_CONNECTIONS):
            gevent.sleep(LOST_CONNECTION_HANG_S)
            raise ConnectionError("injected fault: connection lost")
        if self.faults.is_active(FaultKind.STALL):
            gevent.sleep(self.faults.remaining_s(FaultKind.STALL))

    def _apply_response_faults(self, response: dict[str, Any]) -> dict[str, Any]:
        if self.faults.is_active(FaultKind.LATE_RESPONSE):
            gevent.sleep(RESPONSE_DELAY_S)
        if self.faults.is_active(FaultKind.WRONG_EXCHANGE):
            response["exchange"] += "-other"
        return response

    def _statement(self, message: dict[str, Any], handler: EndpointHandler) -> dict[str, Any]:
        session = self.sessions.get(handler)
        if session is None:
            if len(self.sessions) >= self.identity.connections:
                return _refusal(message, "connections", "The endpoint has no free connection.")
            session = Session(self.node, self.database, self.slots, self.costs)
            self.sessions[handler] = session
            gevent.sleep(self.costs.connect_s)
        self.statements_received += 1
        return session.run(message).to_wire(message["exchange"])

    def _status(self, message: dict[str, Any]) -> dict[str, Any]:
        node = self.node
        return {
            "term": node.term,
            "position": node.received_position().to_pair(),
            "applied": node.applied.to_pair(),
            "is_primary": node.role is NodeRole.PRIMARY,
            "follows": node.role is NodeRole.FOLLOWER,
            "leaving": self.leaving,
        }

    def _watch(self, message: dict[str, Any]) -> dict[str, Any]:
        position = Position.from_pair(message["position"])
        reached = self.node.wait_received(message["term"], position, message["wait_ms"] / 1000)
        return {"reached": reached.to_pair() if reached else None}

    def _execute_command(self, message: dict[str, Any]) -> dict[str, Any]:
        term = message["term"]
        if message["kind"] == "fence":
            accepted = self.node.fence(term)
        elif message["kind"] == "promote":
            accepted = self.node.promote(term)
        else:
            accepted = self.node.follow(term, message["primary_address"])
        return {"accepted": accepted, "position": self.node.received_position().to_pair()}

    def _replicate(self, message: dict[str, Any]) -> dict[str, Any]:
        return self.node.serve_pull(message["term"], message["ends"]) or {}

    def _fault(self, message: dict[str, Any]) -> dict[str, Any]:
        kind = FaultKind(message["kind"])
        self.faults.start(kind, message["seconds"])
        if kind is FaultKind.ISOLATE:
            self.node.is_isolated = True
            gevent.spawn_later(message["seconds"], self._end_isolation)
        return {}

    def _end_isolation(self) -> None:
        self.node.is_isolated = False

    def _leave(self, message: dict[str, Any]) -> dict[str, Any]:
        self.leaving = message.get("leaving", True)
        return {}

    def _inspect(self, message: dict[str, Any]) -> dict[str, Any]:
        """Serve the test oracle: run a read on the current data and return counters."""
        rows: list[Any] = []
        if "statement" in message:
            connection = self.database.connect()
            rows = [list(row) for row in connection.execute(message["statement"]).fetchall()]
            connection.close()
        status = self._status({})
        received = self.statements_received
        return {"rows": rows, "seen": received, "leaks": self.leaks, "status": status}

    def _set_secrets(self, message: dict[str, Any]) -> dict[str, Any]:
        """Set the texts that no request may contain; occurrences are counted as leaks."""
        self.secrets = [text.encode() for text in message["texts"]]
        return {}

    def _count_leaks(self, path: str, body: bytes, environ: dict[str, Any]) -> None:
        if path == "/secrets":
            return
        headers = [value.encode() for name, value in environ.items() if name.startswith("HTTP_")]
        content = b"\n".join([body, *headers])
        self.leaks += sum(1 for secret in self.secrets if secret in content)

    def _announce(self) -> None:
        sent_count = 0
        while True:
            if not self.faults.is_active(FaultKind.ISOLATE):
                address = self.announce_to[sent_count % len(self.announce_to)]
                self._announce_to(address)
                sent_count += 1
            gevent.sleep(ANNOUNCE_INTERVAL_S)

    def _announce_to(self, address: str) -> None:
        identity = self.identity
        message = {slot: getattr(identity, slot) for slot in identity.__slots__}
        message["leaving"] = self.leaving
        try:
            post_json(address, "/announce", message, ANNOUNCE_TIMEOUT_S)
        except (RequestNotSentError, ResponseLostError) as error:
            log.debug("announcing to %s failed: %s", address, error)


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
