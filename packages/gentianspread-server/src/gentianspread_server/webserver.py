"""Lightweight HTTP/1.1 server for WSGI applications.

To save memory and time per request, the WSGI environment has fewer variables than PEP 3333 asks
for: the method, path, length, input and headers, which are all that this package's applications
read, and `keeps_open` for the server itself: whether the connection stays open after the response.
A body is read completely before the application is called.
"""

from __future__ import annotations

import logging
import socket as stdlib_socket
import time
from typing import Any

import gevent
import httptools
from gevent import socket
from gevent.event import Event

from .resources.budget import FREE_BYTES, MemoryBudget
from .resources.connections import ConnectionLimits
from .resources.limits import HTTP_RECEIVE_BUFFER_BYTES
from .resources.peers import PeerActivity
from .resources.process import ProcessResources
from .resources.requestreader import (
    MAX_BODY_BYTES,
    RECEIVE_BUFFER_BYTES,
    RequestReader,
    RequestTooLargeError,
)
from .sockets import LimitedServer, reset_connection, stop_receiving
from .wsgi import SIGNED_VARIABLE

log = logging.getLogger(__name__)

LISTEN_BACKLOG = 512
READ_TIMEOUT_S = 10.0  # for each read from the socket while a request is incomplete
IDLE_TIMEOUT_S = 60.0  # for a connection between requests; other VMs stop using theirs sooner
BAD_REQUEST_RESPONSE = b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
NO_ROOM_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)
INTERNAL_ERROR_HEAD = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n"
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class NoRoomError(Exception):
    """There is no memory for a request now."""


class HttpConnection:
    """One client's connection, as the resource limits see it too.

    `is_serving` is set from reading a request until it is answered.
    """

    __slots__ = (
        "socket",
        "reader",
        "is_serving",
        "is_ended",
        "is_trusted",
        "charged_bytes",
        "_budget",
        "_has_completed",
        "_began_at",
        "_unsent_bytes",
    )

    def __init__(
        self, client_socket: socket.socket, max_body_bytes: int, budget: MemoryBudget
    ) -> None:
        self.socket = client_socket
        self.reader = RequestReader(max_body_bytes)
        self.is_serving = False
        self.is_ended = False
        self.is_trusted = False
        self.charged_bytes = 0
        self._budget = budget
        self._has_completed = False
        self._began_at = time.monotonic()
        self._unsent_bytes = 0

    def is_idle(self) -> bool:
        """Return whether no request is being received or served."""
        return not self.is_serving and self.reader.is_between_requests()

    def activity(self) -> PeerActivity:
        """Return what the client is doing."""
        if self._unsent_bytes:
            return PeerActivity.UNREAD
        if self.is_serving:
            return PeerActivity.WORKING
        if not self.reader.is_between_requests():
            return PeerActivity.UNFINISHED
        return PeerActivity.IDLE if self._has_completed else PeerActivity.UNOPENED

    def since(self) -> float:
        """Return when that began, or a little before."""
        return self._began_at

    def expected_bytes(self) -> int:
        """Return the bytes of the unread response or of the unfinished request."""
        return self._unsent_bytes or self.reader.unfinished_bytes()

    def end(self) -> None:
        """Close the connection at once."""
        self.is_ended = True
        self.reader.discard()
        reset_connection(self.socket)

    def receive(self, received: bytes) -> None:
        """Parse received bytes; raises `NoRoomError` if there is no memory for the request."""
        if self.reader.is_between_requests():
            self._began_at = time.monotonic()
        self.reader.feed(received)
        held = self.reader.held_bytes()
        if held > FREE_BYTES or self.charged_bytes:
            self._hold(held)

    def send(self, content: bytes) -> None:
        """Send a response; the bytes that its client does not read at once are charged."""
        try:
            sent = self.socket.send(content, 0, 0.0)
        except BlockingIOError:
            sent = 0
        if sent < len(content):
            self._unsent_bytes = len(content) - sent
            self._began_at = time.monotonic()
            try:
                self._hold(self.charged_bytes + len(content))
                self.socket.sendall(memoryview(content)[sent:])
            finally:
                self._unsent_bytes = 0

    def complete(self) -> None:
        """Note that a request was answered."""
        self.is_serving = False
        self._has_completed = True
        self._began_at = time.monotonic()
        if self.charged_bytes:
            self._hold(self.reader.held_bytes())

    def _hold(self, size: int) -> None:
        if self.is_ended or not self._budget.charge(self, size if size > FREE_BYTES else 0):
            raise NoRoomError("the memory for requests and responses is used up")


class WebServer:
    """Accepts connections and serves the requests of each connection in sequence.

    `connections` are the open ones. Bodies that are longer than `max_body_bytes` are rejected.
    """

    __slots__ = (
        "application",
        "connections",
        "max_body_bytes",
        "_limits",
        "_server",
        "_is_draining",
        "_connection_ended",
    )

    def __init__(
        self,
        address: str,
        application: Any,
        limits: ConnectionLimits | None = None,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self.application = application
        self.connections: set[HttpConnection] = set()
        self.max_body_bytes = max_body_bytes
        self._limits = limits or ProcessResources.with_defaults().http_port()
        self._is_draining = False
        self._connection_ended = Event()
        self._server = LimitedServer(
            address, self._serve, LISTEN_BACKLOG, HTTP_RECEIVE_BUFFER_BYTES
        )

    def start(self) -> None:
        """Start accepting connections."""
        self._server.start()

    def stop(self) -> None:
        """Stop accepting connections; open ones are still served."""
        self._server.close()

    def drain(self, timeout_s: float) -> None:
        """Stop accepting connections, answer the requests that were received, and close the rest.

        Requests that take longer than the timeout are left unanswered, with a log line.
        """
        self.stop()
        self._is_draining = True
        for connection in list(self.connections):
            if connection.is_idle():
                stop_receiving(connection.socket)
        with gevent.Timeout(timeout_s, False):
            while self.connections:
                self._connection_ended.clear()
                self._connection_ended.wait()
        serving_count = sum(1 for connection in self.connections if connection.is_serving)
        if serving_count:
            log.warning("%d HTTP requests were left unanswered", serving_count)

    def _serve(self, client_socket: socket.socket, _address: Any) -> None:
        client_socket.setsockopt(stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_NODELAY, 1)
        client_socket.setsockopt(stdlib_socket.SOL_SOCKET, stdlib_socket.SO_KEEPALIVE, 1)
        connection = HttpConnection(client_socket, self.max_body_bytes, self._limits.budget)
        if not self._limits.admit(connection):
            client_socket.close()
            return
        self.connections.add(connection)
        try:
            self._serve_requests(connection)
        except (OSError, NoRoomError) as error:
            log.debug("connection ended: %s", error)
        except gevent.Timeout:
            log.debug("connection timed out while waiting for a request")
        finally:
            self.connections.discard(connection)
            self._limits.leave(connection)
            self._limits.budget.release(connection)
            self._connection_ended.set()
            connection.reader.discard()
            client_socket.close()

    def _serve_requests(self, connection: HttpConnection) -> None:
        while self._receive(connection):
            connection.is_serving = True
            environ = connection.reader.completed_environs.popleft()
            connection.send(self._build_response(environ))
            is_signed, keeps_open = environ.get(SIGNED_VARIABLE), environ["keeps_open"]
            del environ  # its body is not charged any more once the request is complete
            connection.complete()
            if is_signed and not connection.is_trusted:
                self._limits.trust(connection)
            if not keeps_open:
                return
            if self._is_draining:
                stop_receiving(connection.socket)
            if connection.reader.completed_environs:
                gevent.sleep(0)  # other connections have their turn between pipelined requests

    def _receive(self, connection: HttpConnection) -> bool:
        """Read until a request is complete; return False if the connection is to be closed."""
        client_socket, reader = connection.socket, connection.reader
        while not reader.completed_environs:
            with gevent.Timeout(IDLE_TIMEOUT_S if reader.is_between_requests() else READ_TIMEOUT_S):
                received = client_socket.recv(RECEIVE_BUFFER_BYTES)
            if not received or connection.is_ended:
                return False
            try:
                connection.receive(received)
            except NoRoomError as error:
                self._limits.count_refused(connection.activity())
                log.debug("refused a request: %s", error)
                connection.send(NO_ROOM_RESPONSE)
                return False
            except (
                httptools.HttpParserError,
                httptools.HttpParserUpgrade,
                RequestTooLargeError,
            ) as error:
                # The parser wraps the errors of its callbacks.
                if isinstance(error.__context__ or error, RequestTooLargeError):
                    self._limits.count_oversized(connection.activity())
                log.warning("rejected an invalid HTTP request: %s", error)
                connection.send(BAD_REQUEST_RESPONSE)
                return False
            if reader.expects_continue:
                reader.expects_continue = False
                connection.send(CONTINUE_RESPONSE)
        return True

    def _build_response(self, environ: dict[str, Any]) -> bytes:
        head: list[str] = []

        def start_response(status: str, headers: list[tuple[str, str]]) -> None:
            head.append(f"HTTP/1.1 {status}\r\n")
            head.extend(f"{name}: {value}\r\n" for name, value in headers)

        try:
            body = b"".join(self.application(environ, start_response))
        except Exception:
            # Whatever a request holds, its sender gets a response and goes on to another VM.
            log.exception("serving a request failed")
            head = [INTERNAL_ERROR_HEAD]
            body = b""
        if self._is_draining or not environ["keeps_open"]:
            head.append("Connection: close\r\n")
        return "".join(head).encode("latin-1") + b"\r\n" + body
