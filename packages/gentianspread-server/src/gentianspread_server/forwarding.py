"""Forwards a transaction's statements to the VM that owns the transaction's connection."""

from __future__ import annotations

from gentianspread_core.blackboard import Board
from gentianspread_core.blackboard.requests import Request, StatementKind
from gentianspread_core.errors import ErrorCode, ExecutionResult, Refusal

from .connections import RequestNotSentError, ResponseLostError
from .peers import PeerAddresses, PeerClient

FORWARD_PATH = "/peer/forward"
FORWARD_TIMEOUT_MARGIN_S = 0.5


class ForwardedResponse:
    """The HTTP status and body that the VM owning the transaction responded with."""

    __slots__ = ("status", "body")

    def __init__(self, status: str, body: bytes) -> None:
        self.status = status
        self.body = body


class Forwarder:
    """Forwards requests to the VM whose name is the prefix of the transaction's name."""

    __slots__ = ("board", "addresses", "client")

    def __init__(self, board: Board, addresses: PeerAddresses, client: PeerClient) -> None:
        self.board = board
        self.addresses = addresses
        self.client = client

    def forward(
        self, request: Request, body: bytes, authorization: str | None
    ) -> ForwardedResponse | None:
        """Return the owner's response, or None if this VM is to serve the request itself.

        If the owner of a transaction does not respond to a commit that has a request id, this VM
        serves the commit as a recall, which looks up its recorded outcome.
        """
        if request.transaction is None:
            return None
        owner = request.transaction.partition(".")[0]
        address = self.addresses.resolve(owner)
        if owner == self.board.settings.member or address is None:
            return None
        timeout_s = request.deadline - self.board.clock.now() + FORWARD_TIMEOUT_MARGIN_S
        message = {"body": body.decode(), "authorization": authorization}
        try:
            response = self.client.request(address, FORWARD_PATH, message, timeout_s)
        except (RequestNotSentError, ResponseLostError) as error:
            if request.kind is StatementKind.COMMIT and request.request_id is not None:
                return None
            raise self._unreachable_refusal(request) from error
        return ForwardedResponse(response["status"], response["body"].encode())

    def _unreachable_refusal(self, request: Request) -> Refusal:
        if request.kind is StatementKind.COMMIT:
            return Refusal(
                ErrorCode.OUTCOME_UNKNOWN,
                "The VM that held the transaction did not answer the commit.",
                ExecutionResult.UNKNOWN,
            )
        return Refusal(
            ErrorCode.TRANSACTION_UNKNOWN, "The VM that held the transaction did not answer."
        )
