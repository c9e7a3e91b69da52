"""HTTP connections to VMs and endpoints, for callers, the load balancer and the tools."""

from __future__ import annotations

from typing import Any

import orjson
from gentianspread_server.connections import Connection, build_request_head

RESPONSE_TIMEOUT_S = 12.0
CONNECT_TIMEOUT_S = 1.0


class JsonResponse:
    """The HTTP status and the decoded JSON body of a response, or the text of another body."""

    __slots__ = ("status", "body")

    def __init__(self, status: int, body: Any) -> None:
        self.status = status
        self.body = body


class VMConnection:
    """A persistent HTTP connection to one VM, reopened after a failure."""

    __slots__ = ("address", "_connection")

    def __init__(self, address: str) -> None:
        self.address = address
        self._connection = Connection(address)

    def post(self, path: str, message: object, key: str | None = None) -> JsonResponse:
        """Send a message and return the response; any failure closes the connection."""
        body = message if isinstance(message, bytes) else orjson.dumps(message)
        head = build_request_head(path, self.address, _authorization(key))
        return self._exchange(b"%s%d\r\n\r\n%s" % (head, len(body), body), "POST")

    def get(self, path: str, key: str | None = None) -> JsonResponse:
        """Send a GET request and return the response."""
        head = f"GET {path} HTTP/1.1\r\nHost: {self.address}\r\n{_authorization(key)}\r\n"
        return self._exchange(head.encode(), "GET")

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()

    def _exchange(self, content: bytes, method: str) -> JsonResponse:
        if not self._connection.is_open():
            self._connection.close()
            self._connection = Connection(self.address)
            self._connection.open(CONNECT_TIMEOUT_S)
        response = self._connection.request(content, RESPONSE_TIMEOUT_S)
        try:
            return JsonResponse(response.status, orjson.loads(response.body))
        except orjson.JSONDecodeError:
            return JsonResponse(response.status, response.body.decode())


def _authorization(key: str | None) -> str:
    return f"Authorization: Bearer {key}\r\n" if key else ""


def get(address: str, path: str, key: str | None = None) -> JsonResponse:
    """Send a GET request on a new connection."""
    connection = VMConnection(address)
    try:
        return connection.get(path, key)
    finally:
        connection.close()


def post(address: str, path: str, message: object, key: str | None = None) -> JsonResponse:
    """Send a message on a new connection."""
    connection = VMConnection(address)
    try:
        return connection.post(path, message, key)
    finally:
        connection.close()
