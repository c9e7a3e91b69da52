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
from collections import deque
from io import BytesIO
from typing import Any

import gevent
import httptools
from gevent import socket
from gevent.event import Event

from .resources.budget import BODY_COPIES, FREE_BYTES, MemoryBudget
from .resources.connections import ConnectionLimits
from .resources.limits import HTTP_RECEIVE_BUFFER_BYTES
from .resources.peers import PeerActivity
from .resources.process import ProcessResources
from .sockets import LimitedServer, reset_connection, stop_receiving
from .wsgi import SIGNED_VARIABLE

log = logging.getLogger(__name__)

LISTEN_BACKLOG = 512
RECEIVE_BUFFER_BYTES = 16 * 1024  # most messages are below 4 KiB
MAX_BODY_BYTES = 64 * 1024 * 1024  # the largest body that any route accepts
MAX_URL_BYTES = 8 * 1024  # the usual limit of web servers; paths here are below 300 bytes
MAX_HEAD_BYTES = 32 * 1024  # of a request; those of VMs, endpoints and operators have below 1 KiB
MAX_HEADERS = 100  # of a request, to limit the memory for its environment
ENVIRON_BYTES = 2048  # of a request without a body that waits for those before it
READ_TIMEOUT_S = 10.0  # for each read from the socket while a request is incomplete
IDLE_TIMEOUT_S = 60.0  # for a connection between requests; other VMs stop using theirs sooner
BAD_REQUEST_RESPONSE = b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
NO_ROOM_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)
INTERNAL_ERROR_HEAD = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n"
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
# WSGI names the variables of all other headers with the prefix HTTP_.
ENVIRON_PREFIX_BY_HEADER = {"CONTENT_LENGTH": "", "CONTENT_TYPE": ""}


class RequestTooLargeError(Exception):
    """The body or the headers of a request exceed a limit."""


class NoRoomError(Exception):
    """There is no memory for a request now."""


class RequestReader:
    """Collects the requests of one connection from the callbacks of the HTTP parser.

    `completed_environs` holds the environments of complete requests that are not yet served.
    """

    __slots__ = (
        "parser",
        "completed_environs",
        "expects_continue",
        "max_body_bytes",
        "_environ",
        "_url",
        "_body",
        "_head_bytes",
        "_has_head",
    )

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.completed_environs: deque[dict[str, Any]] = deque()
        self.expects_continue = False
        self.max_body_bytes = max_body_bytes
        self.on_message_begin()

    def on_message_begin(self) -> None:
        """Reset the state; called by the parser at the start of a request, and here at its end."""
        self._url = b""
        self._environ: dict[str, Any] = {}
        self._body = bytearray()
        self._head_bytes = 0
        self._has_head = False

    def feed(self, received: bytes) -> None:
        """Parse received bytes; raises `RequestTooLargeError` or an error of the parser."""
        if not self._has_head:
            self._head_bytes += len(received)
            if self._head_bytes > MAX_HEAD_BYTES + RECEIVE_BUFFER_BYTES:
                raise RequestTooLargeError(f"the head is larger than {MAX_HEAD_BYTES} bytes")
        self.parser.feed_data(received)

    def on_url(self, part: bytes) -> None:
        """Collect the URL; the parser passes it on in parts if it arrives in several reads."""
        self._url += part
        if len(self._url) > MAX_URL_BYTES:
            raise RequestTooLargeError(f"the URL is longer than {MAX_URL_BYTES} bytes")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        if len(self._environ) > MAX_HEADERS:
            raise RequestTooLargeError(f"the request has more than {MAX_HEADERS} headers")
        key = name.decode("latin-1").upper().replace("-", "_")
        self._environ[ENVIRON_PREFIX_BY_HEADER.get(key, "HTTP_") + key] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Check whether the client waits for a 100 Continue response before it sends the body."""
        self._has_head = True
        if self._environ.get("HTTP_EXPECT", "").lower() == "100-continue":
            self.expects_continue = True

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        if len(self._body) + len(body) > self.max_body_bytes:
            raise RequestTooLargeError(f"the body is larger than {self.max_body_bytes} bytes")
        self._body += body

    def on_message_complete(self) -> None:
        """Queue the completed request."""
        environ = self._environ
        path = self._url.partition(b"?")[0].decode("latin-1")
        environ["PATH_INFO"] = _unquote(path) if "%" in path else path
        environ["REQUEST_METHOD"] = self.parser.get_method().decode("latin-1")
        environ["CONTENT_LENGTH"] = str(len(self._body))
        environ["wsgi.input"] = BytesIO(bytes(self._body))
        environ["keeps_open"] = self.parser.should_keep_alive()
        self.completed_environs.append(environ)
        self.on_message_begin()

    def is_between_requests(self) -> bool:
        """Return whether nothing of the next request has been received."""
        return not self._head_bytes and not self._url

    def unfinished_bytes(self) -> int:
        """Return how many bytes of an unfinished request have been received, about."""
        return self._head_bytes + len(self._body)

    def discard(self) -> None:
        """Drop all that was received; nothing can be parsed any more.

        The parser refers to this object, so that both would wait for the garbage collector.
        """
        self.parser = None
        self._body = bytearray()
        self._environ = {}
        self.completed_environs.clear()

    def held_bytes(self) -> int:
        """Return what the requests that have been received take."""
        held = BODY_COPIES * len(self._body) + self._head_bytes
        for environ in self.completed_environs:
            held += ENVIRON_BYTES + BODY_COPIES * int(environ["CONTENT_LENGTH"])
        return held


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
            connection.complete()
            if environ.get(SIGNED_VARIABLE) and not connection.is_trusted:
                self._limits.trust(connection)
            if not environ["keeps_open"]:
                return
            if self._is_draining:
                stop_receiving(connection.socket)

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
            except (httptools.HttpParserError, RequestTooLargeError) as error:
                if isinstance(error, RequestTooLargeError):
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


def _unquote(path: str) -> str:
    # Imported only when needed, because the module takes half a megabyte of memory.
    from urllib.parse import unquote

    return unquote(path)
