"""Forwards statements of a transaction to the VM that holds its connection."""

from __future__ import annotations

from gentianspread_core.blackboard import Board
from gentianspread_core.blackboard.requests import Request, StatementKind
from gentianspread_core.errors import ErrorCode, ExecutionResult, Refusal

from .connections import LostError, NotSentError
from .peers import Addresses, PeerClient

FORWARD_PATH = "/peer/forward"
FORWARD_MARGIN_S = 0.5


class ForwardedAnswer:
    """The answer of the VM that holds the transaction."""

    __slots__ = ("status", "body")

    def __init__(self, status: str, body: bytes) -> None:
        self.status = status
        self.body = body


class Forwarder:
    """Finds the VM of a transaction by the transaction's name."""

    __slots__ = ("board", "addresses", "client")

    def __init__(self, board: Board, addresses: Addresses, client: PeerClient) -> None:
        self.board = board
        self.addresses = addresses
        self.client = client

    def forward(
        self, request: Request, body: bytes, authorization: str | None
    ) -> ForwardedAnswer | None:
        """Return the holder's answer, or none if this VM is to serve the request itself.

        A commit with an id whose holder does not answer is served here, as a recall.
        """
        if request.transaction is None:
            return None
        holder = request.transaction.partition(".")[0]
        address = self.addresses.of(holder)
        if holder == self.board.settings.member or address is None:
            return None
        limit = request.deadline - self.board.clock.now() + FORWARD_MARGIN_S
        message = {"body": body.decode(), "authorization": authorization}
        try:
            answer = self.client.ask(address, FORWARD_PATH, message, limit)
        except (NotSentError, LostError) as error:
            if request.kind is StatementKind.COMMIT and request.request_id is not None:
                return None
            raise self._lost(request) from error
        return ForwardedAnswer(answer["status"], answer["body"].encode())

    def _lost(self, request: Request) -> Refusal:
        if request.kind is StatementKind.COMMIT:
            return Refusal(
                ErrorCode.OUTCOME_UNKNOWN,
                "The VM that held the transaction did not answer the commit.",
                ExecutionResult.UNKNOWN,
            )
        return Refusal(
            ErrorCode.TRANSACTION_UNKNOWN, "The VM that held the transaction did not answer."
        )
