"""Lightweight HTTP/1.1 server for WSGI applications.

To save memory and time per request, the WSGI environment has fewer variables than PEP 3333 asks
for: the method, path, length, input and headers, which are all that this package's applications
read, and `keeps_open` for the server itself: whether the connection stays open after the response.
A body is read completely before the application is called.
"""

from __future__ import annotations

import logging
import socket as stdlib_socket
from collections import deque
from io import BytesIO
from typing import Any

import gevent
import httptools
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from .sockets import stop_receiving

log = logging.getLogger(__name__)

LISTEN_BACKLOG = 512
RECEIVE_BUFFER_BYTES = 16 * 1024  # most messages are below 4 KiB
MAX_BODY_BYTES = 64 * 1024 * 1024  # the largest body that any route accepts
MAX_URL_BYTES = 8 * 1024  # the usual limit of web servers; paths here are below 300 bytes
MAX_HEADERS = 100  # of a request, to limit the memory for its environment
READ_TIMEOUT_S = 10.0  # for each read from the socket while a request is incomplete
IDLE_TIMEOUT_S = 60.0  # for a connection between requests; other VMs stop using theirs sooner
BAD_REQUEST_RESPONSE = b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
INTERNAL_ERROR_HEAD = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n"
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
# WSGI names the variables of all other headers with the prefix HTTP_.
ENVIRON_PREFIX_BY_HEADER = {"CONTENT_LENGTH": "", "CONTENT_TYPE": ""}


class RequestTooLargeError(Exception):
    """The body or the headers of a request exceed a limit."""


class RequestReader:
    """Collects the requests of one connection from the callbacks of the HTTP parser.

    `completed_environs` holds the environments of complete requests that are not yet served.
    """

    __slots__ = (
        "parser",
        "completed_environs",
        "expects_continue",
        "_url",
        "_environ",
        "_body",
        "_length",
    )

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.completed_environs: deque[dict[str, Any]] = deque()
        self.expects_continue = False
        self.on_message_begin()

    def on_message_begin(self) -> None:
        """Reset the state; called by the parser at the start of a request, and here at its end."""
        self._url = b""
        self._environ: dict[str, Any] = {}
        self._body: list[bytes] = []
        self._length = 0

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
        """Store the path, without the query string; check whether a 100 Continue is expected."""
        path = self._url.partition(b"?")[0].decode("latin-1")
        self._environ["PATH_INFO"] = _unquote(path) if "%" in path else path
        if self._environ.get("HTTP_EXPECT", "").lower() == "100-continue":
            self.expects_continue = True

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._length += len(body)
        if self._length > MAX_BODY_BYTES:
            raise RequestTooLargeError(f"the body is larger than {MAX_BODY_BYTES} bytes")
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Queue the completed request."""
        environ = self._environ
        environ["REQUEST_METHOD"] = self.parser.get_method().decode("latin-1")
        environ["CONTENT_LENGTH"] = str(self._length)
        environ["wsgi.input"] = BytesIO(b"".join(self._body))
        environ["keeps_open"] = self.parser.should_keep_alive()
        self.completed_environs.append(environ)
        self.on_message_begin()

    def is_between_requests(self) -> bool:
        """Return whether nothing of the next request's URL and headers has been received."""
        return not (self._url or self._environ)


class HttpConnection:
    """One client's connection; `is_serving` is set from reading a request until it is answered."""

    __slots__ = ("socket", "reader", "is_serving")

    def __init__(self, client_socket: socket.socket) -> None:
        self.socket = client_socket
        self.reader = RequestReader()
        self.is_serving = False

    def is_idle(self) -> bool:
        """Return whether no request is being received or served."""
        return not self.is_serving and self.reader.is_between_requests()


class WebServer:
    """Accepts connections and serves the requests of each connection in sequence.

    `connections` are the open ones.
    """

    __slots__ = ("application", "connections", "_server", "_is_draining", "_connection_ended")

    def __init__(self, address: str, application: Any) -> None:
        self.application = application
        self.connections: set[HttpConnection] = set()
        self._is_draining = False
        self._connection_ended = Event()
        host, _, port = address.rpartition(":")
        self._server = StreamServer((host, int(port)), self._serve, backlog=LISTEN_BACKLOG)

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
        connection = HttpConnection(client_socket)
        self.connections.add(connection)
        try:
            self._serve_requests(connection)
        except OSError as error:
            log.debug("connection ended: %s", error)
        except gevent.Timeout:
            log.debug("connection timed out while waiting for a request")
        finally:
            self.connections.discard(connection)
            self._connection_ended.set()
            client_socket.close()

    def _serve_requests(self, connection: HttpConnection) -> None:
        while self._receive(connection):
            connection.is_serving = True
            environ = connection.reader.completed_environs.popleft()
            connection.socket.sendall(self._build_response(environ))
            connection.is_serving = False
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
            if not received:
                return False
            try:
                reader.parser.feed_data(received)
            except (httptools.HttpParserError, RequestTooLargeError) as error:
                log.warning("rejected an invalid HTTP request: %s", error)
                client_socket.sendall(BAD_REQUEST_RESPONSE)
                return False
            if reader.expects_continue:
                reader.expects_continue = False
                client_socket.sendall(CONTINUE_RESPONSE)
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
