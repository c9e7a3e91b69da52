"""HTTP client of a caller."""

from __future__ import annotations

from typing import Any

import gevent
import orjson
from gentianspread_server.connections import LostError, NotSentError
from gevent import socket
from geventhttpclient.response import HTTPSocketResponse

ANSWER_LIMIT_S = 12.0


class HTTPAnswer:
    """An answer: HTTP status and the JSON object of its body."""

    __slots__ = ("status", "body")

    def __init__(self, status: int, body: Any) -> None:
        self.status = status
        self.body = body


class CallerLink:
    """A caller's kept connection to one VM."""

    __slots__ = ("address", "_socket")

    def __init__(self, address: str) -> None:
        self.address = address
        self._socket: socket.socket | None = None

    def post(self, path: str, message: object, key: str | None) -> HTTPAnswer:
        """Send a message and return the answer; any failure closes the link."""
        body = message if isinstance(message, bytes) else orjson.dumps(message)
        authorization = f"Authorization: Bearer {key}\r\n" if key else ""
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {self.address}\r\n{authorization}"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return self._exchange(head.encode() + body, "POST")

    def get(self, path: str, key: str | None = None) -> HTTPAnswer:
        """Ask for a path and return the answer."""
        authorization = f"Authorization: Bearer {key}\r\n" if key else ""
        head = f"GET {path} HTTP/1.1\r\nHost: {self.address}\r\n{authorization}\r\n"
        return self._exchange(head.encode(), "GET")

    def close(self) -> None:
        """Close the link."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _exchange(self, content: bytes, method: str) -> HTTPAnswer:
        self._connect()
        if self._socket is None:
            raise NotSentError("not connected")
        timeout = gevent.Timeout.start_new(ANSWER_LIMIT_S)
        try:
            self._socket.sendall(content)
            response = HTTPSocketResponse(self._socket, method=method)
            answer = bytes(response.read())
            if not response.message_complete:
                raise LostError("short answer")
            status = response.status_code
        except (gevent.Timeout, Exception) as error:
            self.close()
            raise LostError(str(error)) from error
        finally:
            timeout.close()
        try:
            return HTTPAnswer(status, orjson.loads(answer))
        except orjson.JSONDecodeError:
            return HTTPAnswer(status, answer.decode())

    def _connect(self) -> None:
        if self._socket is not None:
            return
        host, _, port = self.address.rpartition(":")
        try:
            self._socket = socket.create_connection((host, int(port)), timeout=1.0)
        except OSError as error:
            raise NotSentError(str(error)) from error
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket.settimeout(ANSWER_LIMIT_S)


def get(address: str, path: str, key: str | None = None) -> HTTPAnswer:
    """Ask for a path on a fresh connection."""
    link = CallerLink(address)
    try:
        return link.get(path, key)
    finally:
        link.close()


def post(address: str, path: str, message: object, key: str | None = None) -> HTTPAnswer:
    """Send a message on a fresh connection."""
    link = CallerLink(address)
    try:
        return link.post(path, message, key)
    finally:
        link.close()
