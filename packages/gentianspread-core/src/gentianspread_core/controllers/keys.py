"""Key controller: authenticates requests and assigns their workspace.

Keys are checked when a session opens, when a request arrives, and again before each dispatch.
"""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.requests import Request, StatementKind
from ..errors import ErrorCode, ExecutionResult, Refusal
from ..settings import PRESET_POLICIES

OPEN_WORKSPACE_PREFIX = "open:"


class KeyController:
    """Owns the `workspace` field of requests."""

    __slots__ = ("board",)

    def __init__(self, board: Board) -> None:
        self.board = board

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {Topic.REQUEST_ARRIVED: self.on_arrived}

    def on_arrived(self, request: Request) -> None:
        """Check the VM's state, the key and the session token of a new request."""
        if not self._admit(request):
            self.board.changes.post(Topic.REQUEST_REFUSED, request)
        elif request.open_route is not None:
            self.board.changes.post(Topic.REQUEST_PERMITTED, request)
        else:
            self.board.changes.post(Topic.REQUEST_AUTHENTICATED, request)

    def _admit(self, request: Request) -> bool:
        refusal = self._shutdown_refusal(request)
        if refusal is not None:
            request.refusal = refusal
        elif self.board.clock.now() >= request.deadline:
            request.refuse(ErrorCode.DEADLINE_PASSED, "The deadline had passed on arrival.")
        elif request.open_route is not None:
            self._admit_open_route(request)
        else:
            self._admit_keyed(request)
        if request.refusal is None:
            self._check_token(request)
        return request.refusal is None

    def _shutdown_refusal(self, request: Request) -> Refusal | None:
        """Return the refusal of a request that this VM cannot finish before its planned stop."""
        shutdown = self.board.shutdown
        if not request.continues_transaction():
            if shutdown.accepts_new_work():
                return None
            return Refusal(ErrorCode.DRAINING, "This VM is stopping.")
        if request.kind is StatementKind.ROLLBACK or shutdown.accepts_in_transaction(
            request.deadline
        ):
            return None
        if self._may_have_committed(request):
            message = "This VM is stopping and does not look up the outcome of the commit."
            return Refusal(ErrorCode.TRANSACTION_UNKNOWN, message, ExecutionResult.UNKNOWN)
        return Refusal(
            ErrorCode.TRANSACTION_UNKNOWN, "This VM is stopping; the transaction was rolled back."
        )

    def _may_have_committed(self, request: Request) -> bool:
        """Return whether an earlier attempt of a commit may have run, or may be running."""
        if request.kind is not StatementKind.COMMIT or request.transaction is None:
            return False
        transaction = self.board.transactions.by_name.get(request.transaction)
        return transaction is None or transaction.busy

    def _admit_open_route(self, request: Request) -> None:
        group = self.board.configuration.open_routes.get(request.open_route or "")
        if group is None or group != request.group:
            request.refuse(ErrorCode.KEY_REFUSED, "There is no such open route for this group.")
        elif not request.is_read() and self.board.configuration.declaration is None:
            request.refuse(ErrorCode.KEY_REFUSED, "An open route serves reads only.")
        else:
            request.workspace = f"{OPEN_WORKSPACE_PREFIX}{request.open_route}"

    def _admit_keyed(self, request: Request) -> None:
        if not check_key(self.board, request):
            return
        key = self.board.configuration.keys[request.key_hash or ""]
        request.workspace = key.workspace
        policy = PRESET_POLICIES[self.board.configuration.preset]
        is_new_write = request.kind is not StatementKind.READ and request.transaction is None
        if is_new_write and not policy.accepts_writes:
            request.refuse(ErrorCode.MAINTENANCE, "The maintenance preset takes reads only.")

    def _check_token(self, request: Request) -> None:
        token = request.token
        if token is not None and token.workspace != request.workspace:
            request.refuse(ErrorCode.BAD_TOKEN, "The session token is of another workspace.")


def check_key(board: Board, request: Request) -> bool:
    """Return whether the request's key is valid in a fresh configuration; refuse it otherwise."""
    refusal = check_key_hash(board, request.key_hash or "")
    if refusal is not None:
        request.refusal = refusal
    return refusal is None


def check_key_hash(board: Board, key_hash: str) -> Refusal | None:
    """Return the refusal if a key is not valid in a fresh configuration, or none."""
    if not board.is_fresh():
        return Refusal(
            ErrorCode.CONFIGURATION_NOT_FRESH,
            "This VM has no recent confirmation of its configuration.",
        )
    key = board.configuration.keys.get(key_hash)
    if key is None or key.withdrawn:
        return Refusal(ErrorCode.KEY_REFUSED, "The key is not valid.")
    return None
