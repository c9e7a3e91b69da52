"""Calls to the platform's own service: the promotion of an endpoint."""

from __future__ import annotations

import logging

import orjson

from ..connections import Connection, RequestNotSentError, ResponseLostError

log = logging.getLogger(__name__)

PROMOTE_PATH = "/promote"
OK = 200


class PlatformCalls:
    """Makes fenced calls in the name of one VM."""

    __slots__ = ("address", "holder")

    def __init__(self, address: str, holder: str) -> None:
        self.address = address
        self.holder = holder

    def promote(self, group: str, endpoint: str, fence: int, limit: float) -> bool:
        """Have an endpoint lead its group; return whether the call was answered well.

        Without an answer the call may still be carried out later.
        """
        body = orjson.dumps({"service": group, "id": endpoint})
        head = (
            f"POST {PROMOTE_PATH} HTTP/1.1\r\nHost: {self.address}\r\n"
            "Content-Type: application/json\r\nConnection: close\r\n"
            f"X-Lease-Holder: {self.holder}\r\nX-Fence-Token: {fence}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode()
        connection = Connection(self.address)
        try:
            connection.open(limit)
            answer = connection.request(head + body, limit)
        except (RequestNotSentError, ResponseLostError) as error:
            log.warning("promotion of %s with fence %d: %s", endpoint, fence, error)
            return False
        finally:
            connection.close()
        if answer.status != OK:
            log.warning("promotion of %s with fence %d: status %d", endpoint, fence, answer.status)
        return answer.status == OK
