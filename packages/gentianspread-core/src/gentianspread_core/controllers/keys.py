"""Key controller: authenticates requests and assigns their workspace.

Keys are checked when a session opens, when a request arrives, and again before each dispatch. A
statement that another VM relays names the workspace that this VM found, and by which version of the
declaration; of the two VMs the one with the newer version decides.
"""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.relays import KeyDecision
from ..blackboard.requests import Request, StatementKind
from ..blackboard.sessions import SessionRequest
from ..blackboard.timeline import EventKind, request_label
from ..errors import ErrorCode, ExecutionResult, Refusal
from ..settings import PRESET_POLICIES

OPEN_WORKSPACE_PREFIX = "open:"


class KeyController:
    """Owns the `workspace` field of requests.

    `_logged_version` is the version of the declaration at which a newer decision was last logged.
    """

    __slots__ = ("board", "_logged_version")

    def __init__(self, board: Board) -> None:
        self.board = board
        self._logged_version = -1

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
        elif newer_decision(self.board, request) is not None:
            self._admit_as_decided(request)
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

    def _admit_as_decided(self, request: SessionRequest) -> None:
        """Admit a relayed statement by the sender's newer declaration."""
        decision = newer_decision(self.board, request)
        request.workspace = decision.workspace
        if request.open_route is None and not check_key(self.board, request):
            return
        self.board.relays.newer_decisions += 1
        version = declared_version(self.board)
        if version != self._logged_version:
            self._logged_version = version
            self.board.timeline.log_only(
                EventKind.KEY_DECISION_NEWER,
                request_label(request.request_id),
                "the VM that relayed it has a newer declaration",
                handle=request.relayed_statement.handle,
                workspace=decision.workspace,
                sender_version=decision.version,
                version=version,
            )

    def _admit_open_route(self, request: Request) -> None:
        group = self.board.configuration.open_routes.get(request.open_route or "")
        if group is None or group != request.group:
            request.refuse(ErrorCode.KEY_REFUSED, "There is no such open route for this group.")
        elif not request.is_read() and self.board.configuration.declaration is None:
            request.refuse(ErrorCode.KEY_REFUSED, "An open route serves reads only.")
        else:
            request.workspace = f"{OPEN_WORKSPACE_PREFIX}{request.open_route}"

    def _admit_keyed(self, request: Request) -> None:
        key = self.board.configuration.keys.get(request.key_hash or "")
        decision = sent_decision(request)
        if key is not None:
            request.workspace = decision.workspace if decision is not None else key.workspace
        if not check_key(self.board, request):
            return
        policy = PRESET_POLICIES[self.board.configuration.preset]
        is_new_write = request.kind is not StatementKind.READ and request.transaction is None
        if is_new_write and not policy.accepts_writes:
            request.refuse(ErrorCode.MAINTENANCE, "The maintenance preset takes reads only.")

    def _check_token(self, request: Request) -> None:
        token = request.token
        if token is not None and token.workspace != request.workspace:
            request.refuse(ErrorCode.BAD_TOKEN, "The session token is of another workspace.")


def check_key(board: Board, request: Request) -> bool:
    """Return whether the request's key is still that of its workspace; refuse it otherwise.

    The configuration must be fresh. A newer declaration of the VM that relayed it stands.
    """
    decision = newer_decision(board, request)
    if decision is not None:
        refusal = _freshness_refusal(board)
        holder = decision.workspace
    else:
        refusal = check_key_hash(board, request.key_hash or "")
        key = board.configuration.keys.get(request.key_hash or "")
        holder = key.workspace if key is not None else ""
    if refusal is None and holder != request.workspace:
        refusal = Refusal(ErrorCode.KEY_MOVED, "The key belongs to another workspace now.")
    if refusal is not None:
        request.refusal = refusal
    return refusal is None


def key_decision(board: Board, request: SessionRequest) -> KeyDecision | None:
    """Return what this VM decided about a request's key, none without a declaration."""
    declaration = board.configuration.declaration
    if declaration is None:
        return None
    return KeyDecision(request.workspace, declaration.version)


def sent_decision(request: Request) -> KeyDecision | None:
    """Return what the VM that relayed a request decided about its key, none if it does not say."""
    relayed = request.relayed_statement if isinstance(request, SessionRequest) else None
    return relayed.key_decision if relayed is not None else None


def newer_decision(board: Board, request: Request) -> KeyDecision | None:
    """Return the decision of the VM that relayed a request if its declaration is newer, or none."""
    decision = sent_decision(request)
    is_newer = decision is not None and decision.version > declared_version(board)
    return decision if is_newer else None


def declared_version(board: Board) -> int:
    """Return the version of this VM's declaration, or -1 without one."""
    declaration = board.configuration.declaration
    return declaration.version if declaration is not None else -1


def check_key_hash(board: Board, key_hash: str) -> Refusal | None:
    """Return the refusal if a key is not valid in a fresh configuration, or none."""
    refusal = _freshness_refusal(board)
    if refusal is not None:
        return refusal
    key = board.configuration.keys.get(key_hash)
    if key is None or key.withdrawn:
        return Refusal(ErrorCode.KEY_REFUSED, "The key is not valid.")
    return None


def _freshness_refusal(board: Board) -> Refusal | None:
    if board.is_fresh():
        return None
    return Refusal(
        ErrorCode.CONFIGURATION_NOT_FRESH,
        "This VM has no recent confirmation of its configuration.",
    )
