"""HTTP client of the platform's own service, which promotes endpoints."""

from __future__ import annotations

import logging

import orjson
from gentianspread_core.blackboard.outbox import EndpointCommand

from ..connections import Connection, RequestNotSentError, ResponseLostError

log = logging.getLogger(__name__)

PROMOTE_PATH = "/promote"
OK = 200
REFUSALS = frozenset({400, 404, 409, 429})  # the call is not carried out later either


class PlatformClient:
    """Sends requests with a fencing token on behalf of one VM, the holder of the lease."""

    __slots__ = ("address", "lease_holder")

    def __init__(self, address: str, lease_holder: str) -> None:
        self.address = address
        self.lease_holder = lease_holder

    def promote(self, command: EndpointCommand) -> None:
        """Make an endpoint the primary of its group, and set whether that was accepted or refused.

        A request without a response, or with an error of the service, may still be carried out
        later.
        """
        group, endpoint, fencing_token = command.group, command.endpoint, command.fencing_token
        body = orjson.dumps({"service": group, "id": endpoint})
        head = (
            f"POST {PROMOTE_PATH} HTTP/1.1\r\nHost: {self.address}\r\n"
            "Content-Type: application/json\r\nConnection: close\r\n"
            f"X-Lease-Holder: {self.lease_holder}\r\nX-Fence-Token: {fencing_token}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode()
        connection = Connection(self.address)
        try:
            connection.open(command.timeout_s)
            response = connection.request(head + body, command.timeout_s)
        except (RequestNotSentError, ResponseLostError) as error:
            command.is_refused = isinstance(error, RequestNotSentError)
            log.warning(
                "promoting %s with fencing token %d failed: %s", endpoint, fencing_token, error
            )
            return
        finally:
            connection.close()
        command.accepted = response.status == OK
        command.is_refused = response.status in REFUSALS
        if response.status != OK:
            log.warning(
                "promoting %s with fencing token %d failed: HTTP status %d",
                endpoint,
                fencing_token,
                response.status,
            )
