"""Transaction controller: binds each transaction to one connection from begin to end."""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.outbox import TransactionRelease
from ..blackboard.requests import ExchangeStatus, Request, StatementKind
from ..blackboard.timeline import EventKind
from ..blackboard.transactions import Transaction
from ..errors import ErrorCode, ExecutionResult

END_KINDS = frozenset({StatementKind.COMMIT, StatementKind.ROLLBACK})


class TransactionController:
    """Owns the transactions, and the `transaction` field of begin requests."""

    __slots__ = ("board", "_transaction_count")

    def __init__(self, board: Board) -> None:
        self.board = board
        self._transaction_count = 0

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.EXCHANGE_SCHEDULED: self.on_exchange_scheduled,
            Topic.EXCHANGE_ENDED: self.on_exchange_ended,
            Topic.REQUEST_REFUSED: self.on_refused,
            Topic.TRANSACTION_CHECK_DUE: self.on_due,
            Topic.CONFIGURATION_CHANGED: self.on_configuration,
        }

    def on_exchange_scheduled(self, request: Request) -> None:
        """Mark the transaction as busy with a statement."""
        if request.transaction is not None:
            self.board.transactions.by_name[request.transaction].busy = True

    def on_exchange_ended(self, request: Request) -> None:
        """Open, keep or end the transaction, depending on how the exchange ended."""
        reply = request.exchange.reply if request.exchange else None
        if reply is None:
            return
        if request.kind is StatementKind.BEGIN:
            if reply.status is ExchangeStatus.OK:
                self._open(request)
            return
        transaction = self.board.transactions.by_name.get(request.transaction or "")
        if transaction is None:
            return
        transaction.busy = False
        transaction.last_used = self.board.clock.now()
        if reply.status is not ExchangeStatus.OK:
            self._end(transaction, close=True, reason=reply.message or reply.status.value)
        elif request.kind in END_KINDS:
            self._end(transaction, close=False, reason="")

    def on_refused(self, request: Request) -> None:
        """End the transaction of a statement whose refusal says that it was rolled back."""
        refusal = request.refusal
        transaction = self.board.transactions.by_name.get(request.transaction or "")
        if refusal is None or transaction is None or transaction.key_hash != request.key_hash:
            return
        is_not_run = refusal.result is ExecutionResult.NOT_RUN
        if refusal.code is ErrorCode.TRANSACTION_UNKNOWN and is_not_run:
            self._end(transaction, close=True, reason=refusal.message)

    def on_due(self, transaction: Transaction) -> None:
        """End a transaction whose idle timeout has passed."""
        if transaction.name not in self.board.transactions.by_name:
            return
        idle_until = transaction.last_used + self.board.settings.transaction_idle_timeout_s
        if not transaction.busy and self.board.clock.now() >= idle_until:
            self._end(transaction, close=True, reason="idle for too long")
        else:
            self._schedule_idle_check(transaction)

    def on_configuration(self, revision: int) -> None:
        """End the transactions whose key was withdrawn or whose primary was replaced."""
        for transaction in list(self.board.transactions.by_name.values()):
            if transaction.busy:
                continue
            reason = self._end_reason(transaction)
            if reason:
                self._end(transaction, close=True, reason=reason)

    def _end_reason(self, transaction: Transaction) -> str:
        key = self.board.configuration.keys.get(transaction.key_hash or "")
        if key is None or key.withdrawn:
            return "the key was withdrawn"
        group = self.board.configuration.groups.get(transaction.group)
        if group is not None and group.granted_term > transaction.term:
            return "the primary was replaced"
        return ""

    def _open(self, request: Request) -> None:
        exchange = request.exchange
        if exchange is None:
            return
        self._transaction_count += 1
        name = f"{self.board.settings.member}.{exchange.number}"
        transaction = Transaction(
            name,
            request.workspace,
            request.key_hash,
            request.group,
            exchange.endpoint,
            exchange.term,
            self.board.clock.now(),
            request.token,
        )
        self.board.transactions.by_name[name] = transaction
        request.transaction = name
        self._schedule_idle_check(transaction)

    def _schedule_idle_check(self, transaction: Transaction) -> None:
        idle_until = transaction.last_used + self.board.settings.transaction_idle_timeout_s
        due = max(idle_until, self.board.clock.now() + 0.1)
        self.board.changes.post_at(due, Topic.TRANSACTION_CHECK_DUE, transaction)

    def _end(self, transaction: Transaction, close: bool, reason: str) -> None:
        del self.board.transactions.by_name[transaction.name]
        release = TransactionRelease(transaction.name, transaction.endpoint, close)
        self.board.changes.post(Topic.INTENT_POSTED, release)
        self.board.changes.post(Topic.TRANSACTION_ENDED, transaction)
        if reason:
            self.board.timeline.record(
                EventKind.TRANSACTION_DROPPED,
                f"transaction {transaction.name}",
                reason,
                workspace=transaction.workspace,
                group=transaction.group,
            )
