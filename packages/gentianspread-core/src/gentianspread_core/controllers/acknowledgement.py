"""Acknowledgement controller: turns endpoint replies into outcomes.

A write is acknowledged once a majority of the group's endpoints has its position under the term
that it ran in, and only while this VM knows of no newer term.
"""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.groups import Confirmation, PendingWrite
from ..blackboard.outbox import ReplicaWatch
from ..blackboard.requests import (
    COMMIT_NEVER_RUNS,
    Exchange,
    ExchangeStatus,
    Outcome,
    Reply,
    Request,
    StatementKind,
)
from ..blackboard.timeline import EventKind, request_label
from ..errors import ErrorCode, ExecutionResult, Refusal
from ..positions import Position, SessionToken
from .retries import RetryBudget

RETRY_DELAY_S = 0.03
WATCH_TIMEOUT_S = 0.5
WATCH_RETRY_DELAY_S = 0.05

REFUSAL_CODES = {
    "term_changed": ErrorCode.TERM_CHANGED,
    "not_primary": ErrorCode.TERM_CHANGED,
    "lagging": ErrorCode.NO_ENDPOINT,
    "connections": ErrorCode.OVERLOADED,
    "leaving": ErrorCode.NO_ENDPOINT,
}


class AcknowledgementController:
    """Owns the `outcome` field of requests, and the confirmations and pending writes of groups."""

    __slots__ = ("board", "budget")

    def __init__(self, board: Board, budget: RetryBudget) -> None:
        self.board = board
        self.budget = budget

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.REQUEST_REFUSED: self.on_refused,
            Topic.REQUEST_EXPIRED: self.on_expired,
            Topic.EXCHANGE_ENDED: self.on_exchange_ended,
            Topic.REPLICA_WATCH_ENDED: self.on_watch_ended,
            Topic.WATCH_RETRY_DUE: self.on_watch_due,
            Topic.CONFIGURATION_CHANGED: self.on_configuration,
        }

    def on_refused(self, request: Request) -> None:
        """Answer a request that another controller refused."""
        if request.refusal is not None:
            self._refuse(request, request.refusal)

    def on_exchange_ended(self, request: Request) -> None:
        """Handle an endpoint's reply, or the lack of one."""
        exchange = request.exchange
        if exchange is None or exchange.reply is None or request.outcome is not None:
            return
        self.budget.refill()
        reply = exchange.reply
        if reply.status is ExchangeStatus.OK:
            self._accept(request, exchange, reply)
        elif reply.status is ExchangeStatus.FAILED:
            self._refuse(request, Refusal(ErrorCode.STATEMENT_FAILED, reply.message))
        elif reply.status is ExchangeStatus.LOST:
            self._handle_lost(request)
        else:
            self._handle_not_run(request, reply)

    def on_watch_ended(self, watch: ReplicaWatch) -> None:
        """Update a replica's position, and acknowledge the writes that now have a majority."""
        confirmation = self._confirmation(watch.group, watch.endpoint)
        confirmation.watching = False
        if watch.reached is None:
            confirmation.failures += 1
            delay = WATCH_RETRY_DELAY_S * min(confirmation.failures, 8)
            self.board.changes.post_at(
                self.board.clock.now() + delay, Topic.WATCH_RETRY_DUE, watch.group
            )
        else:
            confirmation.failures = 0
            confirmation.position = watch.reached
            self._resolve_pending(watch.group)
            self._send_watches(watch.group)

    def on_watch_due(self, group_name: str) -> None:
        """Send watches again to the replicas that did not answer."""
        self._send_watches(group_name)

    def on_expired(self, request: Request) -> None:
        """Answer a write that no majority confirmed before its deadline."""
        pending = self.board.groups.pending.get(request.group, [])
        for write in pending:
            if write.request is request:
                pending.remove(write)
                self._refuse_as_unknown(request, "No majority confirmed the write in time.")
                return

    def on_configuration(self, revision: int) -> None:
        """Resolve the pending writes whose term was replaced."""
        for group_name, pending in list(self.board.groups.pending.items()):
            if pending:
                self._resolve_pending(group_name)

    def _accept(self, request: Request, exchange: Exchange, reply: Reply) -> None:
        if request.is_read():
            self._accept_read(request, exchange, reply)
        elif self._needs_majority(request, reply):
            self._await_majority(request, exchange, reply)
        else:
            self._finish(request, reply.position)

    def _accept_read(self, request: Request, exchange: Exchange, reply: Reply) -> None:
        age = reply.age + (self.board.clock.now() - exchange.sent_at)
        if request.max_age is not None and age > request.max_age:
            refusal = Refusal(ErrorCode.DATA_TOO_OLD, f"The data may be {age * 1000:.0f} ms old.")
            self._retry_or_refuse(request, refusal)
            return
        self._finish(request, reply.position)

    def _needs_majority(self, request: Request, reply: Reply) -> bool:
        if reply.position is None:
            return False
        return request.kind is StatementKind.COMMIT or request.transaction is None

    def _await_majority(self, request: Request, exchange: Exchange, reply: Reply) -> None:
        position = reply.position
        if position is None:
            return
        write = PendingWrite(request, position, exchange.endpoint)
        self.board.groups.pending.setdefault(request.group, []).append(write)
        if request.timer is None:
            request.timer = self.board.changes.post_at(
                request.deadline, Topic.REQUEST_EXPIRED, request
            )
        self._resolve_pending(request.group)
        self._send_watches(request.group)

    def _resolve_pending(self, group_name: str) -> None:
        """Resolve the pending writes that a majority has, or whose term was replaced."""
        pending = self.board.groups.pending.get(group_name, [])
        undecided: list[PendingWrite] = []
        decided: list[PendingWrite] = []
        for write in pending:
            (undecided if self._is_pending(group_name, write) else decided).append(write)
        self.board.groups.pending[group_name] = undecided
        for write in decided:
            self._resolve(group_name, write)

    def _is_pending(self, group_name: str, write: PendingWrite) -> bool:
        return not self._term_replaced(group_name, write) and not self._has_majority(
            group_name, write
        )

    def _resolve(self, group_name: str, write: PendingWrite) -> None:
        if self._term_replaced(group_name, write):
            self._handle_lost(write.request)
        else:
            self._finish(write.request, write.position)

    def _term_replaced(self, group_name: str, write: PendingWrite) -> bool:
        group = self.board.configuration.groups.get(group_name)
        return group is not None and group.granted_term > write.position.term

    def _has_majority(self, group_name: str, write: PendingWrite) -> bool:
        group = self.board.configuration.groups.get(group_name)
        if group is None:
            return False
        holders = {write.primary}
        for name, confirmation in self.board.groups.confirmations.get(group_name, {}).items():
            position = confirmation.position
            if name == write.primary or position is None:
                continue
            if position.term == write.position.term and position.reaches(write.position):
                holders.add(name)
        members = self.board.configuration.voting_members.get(group_name)
        if members is None:
            return len(holders) >= group.majority()
        return members.has_majority(holders)

    def _send_watches(self, group_name: str) -> None:
        """Ask each replica without a watch to report its first unconfirmed pending position."""
        pending = self.board.groups.pending.get(group_name, [])
        if not pending:
            return
        for endpoint in self.board.endpoints.by_group.get(group_name, []):
            if endpoint.suspected:
                continue
            confirmation = self._confirmation(group_name, endpoint.name)
            write = self._first_unconfirmed(pending, confirmation)
            if write is None or confirmation.watching:
                continue
            confirmation.watching = True
            watch = ReplicaWatch(
                endpoint.name, group_name, write.position.term, write.position, WATCH_TIMEOUT_S
            )
            self.board.changes.post(Topic.INTENT_POSTED, watch)

    def _first_unconfirmed(
        self, pending: list[PendingWrite], confirmation: Confirmation
    ) -> PendingWrite | None:
        for write in pending:
            if write.primary == confirmation.endpoint:
                continue
            position = confirmation.position
            if position is None or not position.reaches(write.position):
                return write
        return None

    def _confirmation(self, group_name: str, endpoint: str) -> Confirmation:
        table = self.board.groups.confirmations.setdefault(group_name, {})
        if endpoint not in table:
            table[endpoint] = Confirmation(endpoint)
        return table[endpoint]

    def _handle_lost(self, request: Request) -> None:
        """Retry or refuse a request that was sent and got no reply."""
        if request.transaction is not None and request.kind is not StatementKind.COMMIT:
            refusal = Refusal(
                ErrorCode.TRANSACTION_UNKNOWN, "The connection was lost; nothing was committed."
            )
            self._refuse(request, refusal)
        elif request.kind is StatementKind.BEGIN:
            self._retry_or_refuse(request, Refusal(ErrorCode.NO_ENDPOINT, "No answer came."))
        elif request.is_read():
            self._retry_or_refuse(
                request, Refusal(ErrorCode.NO_ENDPOINT, "The endpoint did not answer the read.")
            )
        elif request.is_safe_to_retry():
            unknown = Refusal(ErrorCode.OUTCOME_UNKNOWN, "No answer came.", ExecutionResult.UNKNOWN)
            self._retry_or_refuse(request, unknown)
        else:
            self._refuse_as_unknown(request, "No answer came from the endpoint.")

    def _refuse_as_unknown(self, request: Request, message: str) -> None:
        remedy = ""
        if request.request_id is None:
            remedy = "Read what the statement should have changed before sending it again."
        refusal = Refusal(ErrorCode.OUTCOME_UNKNOWN, message, ExecutionResult.UNKNOWN, remedy)
        self._refuse(request, refusal)

    def _handle_not_run(self, request: Request, reply: Reply) -> None:
        """Retry or refuse a request that the endpoint provably did not run."""
        code = REFUSAL_CODES.get(reply.code, ErrorCode.NO_ENDPOINT)
        refusal = Refusal(code, reply.message or "The endpoint could not be reached.")
        if request.transaction is not None:
            self._refuse(request, refusal)
        else:
            self._retry_or_refuse(request, refusal)

    def _retry_or_refuse(self, request: Request, refusal: Refusal) -> None:
        now = self.board.clock.now()
        in_time = now + RETRY_DELAY_S < request.deadline
        is_safe = refusal.result is ExecutionResult.NOT_RUN or request.is_safe_to_retry()
        if in_time and is_safe and self._can_retry(request, refusal):
            request.may_have_run = request.may_have_run or refusal.result is ExecutionResult.UNKNOWN
            delay = RETRY_DELAY_S * min(request.attempts, 8)
            self.board.changes.post_at(now + delay, Topic.REQUEST_RETRIED, request)
        else:
            self._refuse(request, refusal)

    def _can_retry(self, request: Request, refusal: Refusal) -> bool:
        if refusal.code is ErrorCode.TERM_CHANGED:
            return True
        return request.attempts < self.board.settings.max_attempts and self.budget.try_acquire()

    def _finish(self, request: Request, position: Position | None) -> None:
        exchange = request.exchange
        reply = exchange.reply if exchange else None
        if exchange is None or reply is None or request.outcome is not None:
            return
        if reply.changed == COMMIT_NEVER_RUNS:
            message = "The commit did not run and never will."
            refusal = Refusal(ErrorCode.TRANSACTION_UNKNOWN, message)
            self._refuse(request, refusal, is_proven=True)
            return
        outcome = Outcome(
            ExecutionResult.RUN,
            reply.rows,
            reply.changed,
            self._token(request, position),
            None,
            request.transaction,
            exchange.endpoint,
        )
        self._complete(request, outcome)

    def _token(self, request: Request, position: Position | None) -> SessionToken | None:
        token = request.token or SessionToken(request.workspace, {})
        if position is None:
            return token
        return token.with_position(request.group, position)

    def _refuse(self, request: Request, refusal: Refusal, is_proven: bool = False) -> None:
        """Refuse a request; if an earlier attempt may have run, as unknown unless `is_proven`."""
        if request.outcome is not None:
            return
        if request.may_have_run and refusal.result is ExecutionResult.NOT_RUN and not is_proven:
            refusal = Refusal(ErrorCode.OUTCOME_UNKNOWN, refusal.message, ExecutionResult.UNKNOWN)
        self._complete(request, Outcome.from_refusal(refusal))
        self._record_refusal(request, refusal)

    def _record_refusal(self, request: Request, refusal: Refusal) -> None:
        kind = EventKind.REQUEST_REFUSED
        if refusal.result is ExecutionResult.UNKNOWN:
            kind = EventKind.REQUEST_UNKNOWN
        self.board.timeline.record(
            kind,
            request_label(request.request_id or request.number),
            refusal.code.value,
            workspace=request.workspace,
            group=request.group,
            endpoint=request.endpoint or "",
            message=refusal.message,
        )

    def _complete(self, request: Request, outcome: Outcome) -> None:
        request.outcome = outcome
        if request.timer is not None:
            request.timer.cancel()
        self.board.changes.post(Topic.REQUEST_DONE, request)
