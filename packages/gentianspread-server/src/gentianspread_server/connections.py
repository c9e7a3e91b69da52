"""HTTP client over single TCP connections, one request at a time.

HTTP client libraries resend a request on their own when a connection breaks. A non-idempotent
statement must never be sent twice, so only a library's response parser is used.
"""

from __future__ import annotations

import errno
import socket as stdlib_socket

import gevent
import httptools
import orjson
from gentianspread_core.blackboard.registrations import is_ipv4_address
from gevent import socket

OK = 200
RECEIVE_BUFFER_BYTES = 16 * 1024  # most responses are below 4 KiB


class RequestNotSentError(Exception):
    """The request was not sent, so it has not run and may be sent again."""


class ResponseLostError(Exception):
    """The request was sent, but no complete and valid response arrived; it may have run."""


class HttpResponse:
    """The status and the complete body of an HTTP response."""

    __slots__ = ("status", "body")

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.body = body


def connect(address: str, timeout_s: float) -> socket.socket:
    """Return a socket connected to HOST:PORT; raises `OSError`, or `ValueError` for an odd address.

    Hosts are numeric IPv4 addresses, so neither name resolution nor its thread is needed.
    """
    if not is_ipv4_address(address):
        raise ValueError(f"{address!r} is not an IPv4 address with a port")
    host, _, port = address.rpartition(":")
    connected = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        connected.settimeout(timeout_s)
        connected.connect((host, int(port)))
    except BaseException:
        connected.close()
        raise
    connected.settimeout(None)
    return connected


class ResponseReader:
    """Collects one HTTP response from the parser's callbacks."""

    __slots__ = ("parser", "is_complete", "keep_alive", "_body")

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.is_complete = False
        self.keep_alive = False
        self._body: list[bytes] = []

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        self.is_complete = True
        self.keep_alive = self.parser.should_keep_alive()

    def read(self, connected: socket.socket) -> HttpResponse:
        """Read the complete response; raises `ResponseLostError` if the connection ends first."""
        while not self.is_complete:
            received = connected.recv(RECEIVE_BUFFER_BYTES)
            if not received:
                raise ResponseLostError("the answer is short")
            self.parser.feed_data(received)
        response = HttpResponse(self.parser.get_status_code(), b"".join(self._body))
        # The parser refers to this object; a long body would wait for the garbage collector.
        self.parser = None
        self._body = []
        return response


class Connection:
    """One TCP connection to an address.

    `opened` stays set after the connection was closed; `last_used` is in seconds of the monotonic
    clock.
    """

    __slots__ = ("address", "_socket", "last_used", "opened")

    def __init__(self, address: str) -> None:
        self.address = address
        self._socket: socket.socket | None = None
        self.last_used = 0.0
        self.opened = False

    def open(self, timeout_s: float) -> None:
        """Connect, or raise `RequestNotSentError`."""
        try:
            self._socket = connect(self.address, timeout_s)
        except (OSError, ValueError) as error:
            raise RequestNotSentError(str(error)) from error
        self._socket.setsockopt(stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_NODELAY, 1)
        self.opened = True

    def close(self) -> None:
        """Close the connection; it can only be used again after `open`."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def is_open(self) -> bool:
        """Return whether the peer has not closed the connection and has sent nothing unread."""
        if self._socket is None:
            return False
        try:
            self._socket.settimeout(0.0)
            self._socket.recv(1, stdlib_socket.MSG_PEEK)
        except OSError as error:
            still_open = error.errno in (errno.EAGAIN, errno.EWOULDBLOCK)
            if still_open:
                self._socket.settimeout(None)
            return still_open
        return False

    def exchange(self, head: bytes, body: bytes, timeout_s: float) -> bytes:
        """Send one request and return the complete body of its response.

        `head` ends just before the value of the Content-Length header. Any failure closes the
        connection.
        """
        response = self.request(b"%s%d\r\n\r\n%s" % (head, len(body), body), timeout_s)
        if response.status != OK:
            self.close()
            raise ResponseLostError(f"status {response.status}")
        return response.body

    def request(self, content: bytes, timeout_s: float) -> HttpResponse:
        """Send an encoded HTTP request and return its response; any failure closes."""
        if self._socket is None:
            raise RequestNotSentError("the connection is closed")
        timeout = gevent.Timeout.start_new(timeout_s)
        try:
            self._socket.sendall(content)
            reader = ResponseReader()
            response = reader.read(self._socket)
            if not reader.keep_alive:
                self.close()
            return response
        except gevent.Timeout as expired:
            self.close()
            if expired is not timeout:
                raise
            raise ResponseLostError("no answer in time") from None
        except Exception as error:
            self.close()
            raise ResponseLostError(str(error)) from error
        except BaseException:
            self.close()
            raise
        finally:
            timeout.close()


def build_request_head(
    path: str, address: str, headers: str = "", content_type: str = "application/json"
) -> bytes:
    """Return the head of a POST up to the value of its Content-Length header."""
    type_header = f"Content-Type: {content_type}\r\n" if content_type else ""
    return (
        f"POST {path} HTTP/1.1\r\nHost: {address}\r\n{type_header}{headers}Content-Length: "
    ).encode()


def post_json(
    address: str, path: str, message: object, timeout_s: float, headers: str = ""
) -> object:
    """Send JSON over a new connection and return the JSON of the response."""
    connection = Connection(address)
    connection.open(timeout_s)
    try:
        response = connection.exchange(
            build_request_head(path, address, headers), orjson.dumps(message), timeout_s
        )
        return orjson.loads(response)
    except orjson.JSONDecodeError as error:
        raise ResponseLostError("the response is not JSON") from error
    finally:
        connection.close()
