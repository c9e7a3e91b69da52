"""Dispatch controller: checks the key once more, then starts the exchange with the endpoint."""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.requests import Exchange, Request, StatementKind
from ..errors import ErrorCode
from ..settings import PRESET_POLICIES
from .keys import check_key

MAX_REPLICA_WAIT_FRACTION = 0.6  # of the time left until the deadline
LAG_SAFETY_FACTOR = 2.0
MIN_REPLICA_WAIT_S = 0.3


class DispatchController:
    """Owns the `exchange` and `attempts` fields of requests."""

    __slots__ = ("board", "_exchange_count")

    def __init__(self, board: Board) -> None:
        self.board = board
        self._exchange_count = 0

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {Topic.REQUEST_ROUTED: self.on_routed}

    def on_routed(self, request: Request) -> None:
        """Start the exchange, or refuse if the key was withdrawn or the deadline passed."""
        if not self._check_deadline_and_key(request):
            self.board.changes.post(Topic.REQUEST_CANCELLED, request)
            return
        request.exchange = self._new_exchange(request)
        request.attempts += 1
        self.board.changes.post(Topic.EXCHANGE_SCHEDULED, request)

    def _check_deadline_and_key(self, request: Request) -> bool:
        if self.board.clock.now() >= request.deadline:
            request.refuse(ErrorCode.DEADLINE_PASSED, "The deadline passed before dispatch.")
            return False
        if request.open_route is not None:
            return True
        if request.kind is StatementKind.ROLLBACK:
            return True
        return check_key(self.board, request)

    def _new_exchange(self, request: Request) -> Exchange:
        settings = self.board.settings
        now = self.board.clock.now()
        self._exchange_count += 1
        remaining = min(request.deadline, self.board.shutdown.ends_at) - now
        wait = 0.0
        timeout_s = min(remaining, settings.exchange_timeout_s)
        if request.is_read():
            wait = self._replica_wait(request, remaining)
            timeout_s = min(remaining, settings.read_timeout_s + wait)
        number = f"{settings.member}-{self._exchange_count}"
        term = self._term(request)
        return Exchange(number, request.endpoint or "", term, now, timeout_s, wait)

    def _replica_wait(self, request: Request, remaining: float) -> float:
        """Return the seconds that the endpoint may wait to reach the session's position."""
        endpoint = self.board.endpoints.by_name.get(request.endpoint or "")
        if endpoint is None or request.token is None:
            return 0.0
        if endpoint.position.reaches(request.token.position(request.group)):
            return 0.0
        policy = PRESET_POLICIES[self.board.configuration.preset]
        expected = endpoint.lag * LAG_SAFETY_FACTOR + MIN_REPLICA_WAIT_S
        return min(policy.max_replica_wait_s, remaining * MAX_REPLICA_WAIT_FRACTION, expected)

    def _term(self, request: Request) -> int:
        if request.transaction is not None:
            return self.board.transactions.by_name[request.transaction].term
        group = self.board.configuration.groups.get(request.group)
        return group.term if group else 0
