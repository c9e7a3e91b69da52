"""Serves a WSGI application over HTTP/1.1, with little memory and time for each request.

Only what the applications of this package use is put into the environment: method, path, length,
input and headers. Bodies are read whole before the application is called.
"""

from __future__ import annotations

import logging
import socket as plain_socket
from collections import deque
from io import BytesIO
from typing import Any

import gevent
import httptools
from gevent import socket
from gevent.server import StreamServer

log = logging.getLogger(__name__)

BACKLOG = 512  # connections that wait to be accepted
RECEIVE_BYTES = 16 * 1024  # bytes a read; most messages are below 4 KiB
MAX_BODY_BYTES = 64 * 1024 * 1024  # bytes; the largest body that any route takes
MOST_HEADERS = 100  # lines; bounds the memory of one request
MESSAGE_LIMIT_S = 10.0  # seconds from the first byte of a request to its last
IDLE_LIMIT_S = 60.0  # seconds a kept connection may rest; senders close theirs sooner
BAD_REQUEST = b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
PREFIX_OF_HEADER = {"CONTENT_LENGTH": "", "CONTENT_TYPE": ""}


class RequestError(Exception):
    """A request that is too large to be read."""


class RequestReader:
    """Gathers the requests that arrive on one connection; called by the parser."""

    __slots__ = ("parser", "complete", "expects_continue", "_environ", "_body", "_length")

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.complete: deque[dict[str, Any]] = deque()
        self.expects_continue = False
        self.on_message_begin()

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._environ: dict[str, Any] = {}
        self._body: list[bytes] = []
        self._length = 0

    def on_url(self, url: bytes) -> None:
        """Take the target; a query is left out."""
        path = url.partition(b"?")[0].decode("latin-1")
        self._environ["PATH_INFO"] = _unquote(path) if "%" in path else path

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        if len(self._environ) > MOST_HEADERS:
            raise RequestError("the request has too many headers")
        key = name.decode("latin-1").upper().replace("-", "_")
        self._environ[PREFIX_OF_HEADER.get(key, "HTTP_") + key] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Note whether the sender waits before it sends the body."""
        if self._environ.get("HTTP_EXPECT", "").lower() == "100-continue":
            self.expects_continue = True

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._length += len(body)
        if self._length > MAX_BODY_BYTES:
            raise RequestError("the body is too large")
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Queue the request."""
        environ = self._environ
        environ["REQUEST_METHOD"] = self.parser.get_method().decode("latin-1")
        environ["CONTENT_LENGTH"] = str(self._length)
        environ["wsgi.input"] = BytesIO(b"".join(self._body))
        environ["keeps_open"] = self.parser.should_keep_alive()
        self.complete.append(environ)
        self.on_message_begin()

    def is_idle(self) -> bool:
        """Tell whether no request has begun."""
        return not self._environ


class WebServer:
    """Accepts connections and serves their requests one after the other."""

    __slots__ = ("application", "_server")

    def __init__(self, address: str, application: Any) -> None:
        self.application = application
        host, _, port = address.rpartition(":")
        self._server = StreamServer((host, int(port)), self._serve, backlog=BACKLOG)

    def start(self) -> None:
        """Begin to serve."""
        self._server.start()

    def stop(self) -> None:
        """Accept no further connections."""
        self._server.close()

    def _serve(self, accepted: socket.socket, _address: Any) -> None:
        accepted.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1)
        accepted.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_KEEPALIVE, 1)
        try:
            self._serve_requests(accepted, RequestReader())
        except OSError as error:
            log.debug("a connection ended: %s", error)
        except gevent.Timeout:
            log.debug("a connection was idle for too long")
        finally:
            accepted.close()

    def _serve_requests(self, accepted: socket.socket, reader: RequestReader) -> None:
        while self._receive(accepted, reader):
            environ = reader.complete.popleft()
            accepted.sendall(self._answer(environ))
            if not environ["keeps_open"]:
                return

    def _receive(self, accepted: socket.socket, reader: RequestReader) -> bool:
        """Read until a request is complete; return false at the end of the connection."""
        while not reader.complete:
            with gevent.Timeout(IDLE_LIMIT_S if reader.is_idle() else MESSAGE_LIMIT_S):
                received = accepted.recv(RECEIVE_BYTES)
            if not received:
                return False
            try:
                reader.parser.feed_data(received)
            except (httptools.HttpParserError, RequestError) as error:
                log.warning("a request was refused: %s", error)
                accepted.sendall(BAD_REQUEST)
                return False
            if reader.expects_continue:
                reader.expects_continue = False
                accepted.sendall(CONTINUE)
        return True

    def _answer(self, environ: dict[str, Any]) -> bytes:
        head: list[str] = []

        def start_response(status: str, headers: list[tuple[str, str]]) -> None:
            head.append(f"HTTP/1.1 {status}\r\n")
            head.extend(f"{name}: {value}\r\n" for name, value in headers)

        body = b"".join(self.application(environ, start_response))
        if not environ["keeps_open"]:
            head.append("Connection: close\r\n")
        return "".join(head).encode("latin-1") + b"\r\n" + body


def _unquote(path: str) -> str:
    # Loaded only where it is needed, as the module takes half a megabyte.
    from urllib.parse import unquote

    return unquote(path)
