"""Dispatch controller: checks the key once more, then orders the exchange with the endpoint."""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.requests import Exchange, Request, StatementKind
from ..errors import ErrorCode
from ..settings import PRESET_POLICIES
from .keys import check_key

REPLICA_WAIT_SHARE = 0.6
LAG_MARGIN = 2.0
SHORTEST_WAIT_S = 0.3


class DispatchController:
    """Owns the `exchange` and `attempts` columns of requests."""

    __slots__ = ("board", "_count")

    def __init__(self, board: Board) -> None:
        self.board = board
        self._count = 0

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {Topic.REQUEST_ROUTED: self.on_routed}

    def on_routed(self, request: Request) -> None:
        """Order the exchange, or refuse if the key was withdrawn or the deadline passed."""
        if not self._may_run(request):
            self.board.changes.post(Topic.REQUEST_CANCELLED, request)
            return
        request.exchange = self._exchange(request)
        request.attempts += 1
        self.board.changes.post(Topic.EXCHANGE_ORDERED, request)

    def _may_run(self, request: Request) -> bool:
        if self.board.clock.now() >= request.deadline:
            request.refuse(ErrorCode.DEADLINE_PASSED, "The deadline passed before dispatch.")
            return False
        if request.open_route is not None:
            return True
        if request.kind is StatementKind.ROLLBACK:
            return True
        return check_key(self.board, request)

    def _exchange(self, request: Request) -> Exchange:
        settings = self.board.settings
        now = self.board.clock.now()
        self._count += 1
        left = request.deadline - now
        wait = 0.0
        limit = min(left, settings.exchange_timeout_s)
        if request.is_read():
            wait = self._replica_wait(request, left)
            limit = min(left, settings.read_timeout_s + wait)
        number = f"{settings.member}-{self._count}"
        term = self._term(request)
        return Exchange(number, request.endpoint or "", term, now, limit, wait)

    def _replica_wait(self, request: Request, left: float) -> float:
        """Return how long the endpoint may wait for the session's position, in seconds."""
        endpoint = self.board.endpoints.by_name.get(request.endpoint or "")
        if endpoint is None or request.token is None:
            return 0.0
        if endpoint.position.reaches(request.token.position(request.group)):
            return 0.0
        policy = PRESET_POLICIES[self.board.configuration.preset]
        expected = endpoint.lag * LAG_MARGIN + SHORTEST_WAIT_S
        return min(policy.max_replica_wait_s, left * REPLICA_WAIT_SHARE, expected)

    def _term(self, request: Request) -> int:
        if request.transaction is not None:
            return self.board.transactions.by_name[request.transaction].term
        group = self.board.configuration.groups.get(request.group)
        return group.term if group else 0
