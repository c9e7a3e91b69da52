"""HTTP client of a caller."""

from __future__ import annotations

from typing import Any

import orjson
from gentianspread_server.connections import Connection, build_request_head

ANSWER_LIMIT_S = 12.0
CONNECT_LIMIT_S = 1.0


class HTTPAnswer:
    """An answer: HTTP status and the JSON object of its body."""

    __slots__ = ("status", "body")

    def __init__(self, status: int, body: Any) -> None:
        self.status = status
        self.body = body


class CallerLink:
    """A caller's kept connection to one VM."""

    __slots__ = ("address", "_connection")

    def __init__(self, address: str) -> None:
        self.address = address
        self._connection = Connection(address)

    def post(self, path: str, message: object, key: str | None = None) -> HTTPAnswer:
        """Send a message and return the answer; any failure closes the link."""
        body = message if isinstance(message, bytes) else orjson.dumps(message)
        head = build_request_head(path, self.address, _authorization(key))
        return self._exchange(b"%s%d\r\n\r\n%s" % (head, len(body), body), "POST")

    def get(self, path: str, key: str | None = None) -> HTTPAnswer:
        """Ask for a path and return the answer."""
        head = f"GET {path} HTTP/1.1\r\nHost: {self.address}\r\n{_authorization(key)}\r\n"
        return self._exchange(head.encode(), "GET")

    def close(self) -> None:
        """Close the link."""
        self._connection.close()

    def _exchange(self, content: bytes, method: str) -> HTTPAnswer:
        if not self._connection.is_open():
            self._connection.close()
            self._connection = Connection(self.address)
            self._connection.open(CONNECT_LIMIT_S)
        answer = self._connection.request(content, ANSWER_LIMIT_S)
        try:
            return HTTPAnswer(answer.status, orjson.loads(answer.body))
        except orjson.JSONDecodeError:
            return HTTPAnswer(answer.status, answer.body.decode())


def _authorization(key: str | None) -> str:
    return f"Authorization: Bearer {key}\r\n" if key else ""


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
