"""Relay controller: runs statements that other VMs hand over, on connections of this VM.

The sender keeps all decisions on the request: which endpoint, whether to try again, what its caller
is told. Here the key is checked once more, a connection found, and the endpoint's answer given back
as it came.
"""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.relays import RelayedStatement, RelayedTransaction
from ..blackboard.requests import ExchangeStatus
from ..blackboard.sessions import (
    Session,
    SessionReply,
    SessionRequest,
    SessionState,
    SessionTransaction,
    StatementCall,
)
from ..errors import ErrorCode

CHECK_S = 1.0  # seconds between two looks at idle transactions
IDLE_MARGIN_S = 1.0  # seconds after the sender would have ended an idle transaction itself
DEFAULT_TRANSACTION_IDLE_S = 10.0  # seconds; holds until a declaration names its own


class RelayController:
    """Owns the relays section."""

    __slots__ = ("board", "_count", "_is_checking")

    def __init__(self, board: Board) -> None:
        self.board = board
        self._count = 0
        self._is_checking = False

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.RELAY_ARRIVED: self.on_arrived,
            Topic.RELAY_RELEASED: self.on_released,
            Topic.REQUEST_DONE: self.on_done,
            Topic.RELAY_CHECK_DUE: self.on_due,
        }

    def on_arrived(self, order: RelayedStatement) -> None:
        """Make a request of a statement that was handed over."""
        session = self._session(order)
        if session is None:
            message = "The transaction is not known here; it was rolled back."
            self._answer(order, self._refusal(ErrorCode.TRANSACTION_UNKNOWN.value, message))
            return
        session.values = order.values
        now = self.board.clock.now()
        call = StatementCall(session, order.statement(), now, order.waiter)
        self._count += 1
        request = SessionRequest(self._count, order.kind, call, order.route, order.limit)
        request.relayed_statement = order
        request.permitted = True
        request.prepared = order.prepared
        request.min_position = order.min_position
        request.wait_deadline = now + order.wait_timeout
        self.board.changes.post(Topic.REQUEST_ARRIVED, request)

    def on_released(self, handle: str) -> None:
        """End a transaction whose sender needs it no more."""
        relayed = self.board.relays.transactions.pop(handle, None)
        if relayed is not None and relayed.session.transaction is not None:
            self.board.changes.post(Topic.TRANSACTION_ENDED, relayed.session.transaction)

    def on_done(self, request: SessionRequest) -> None:
        """Give the sender the endpoint's answer, or the reason why there is none."""
        order = request.relayed_statement
        if order is None:
            return
        self._keep(order.handle, request)
        exchange = request.exchange
        reply = exchange.reply if exchange is not None else None
        if not isinstance(reply, SessionReply):
            refusal = request.outcome.refusal if request.outcome else None
            code = refusal.code.value if refusal else ErrorCode.OVERLOADED.value
            reply = self._refusal(code, refusal.message if refusal else "")
        self._answer(order, reply)

    def on_due(self, _entry: None) -> None:
        """End transactions whose sender went silent."""
        declaration = self.board.configuration.declaration
        idle = declaration.transaction_idle if declaration else DEFAULT_TRANSACTION_IDLE_S
        since = self.board.clock.now() - idle - IDLE_MARGIN_S
        transactions = self.board.relays.transactions
        for handle in [name for name, item in transactions.items() if item.last_used < since]:
            self.on_released(handle)
        self._is_checking = False
        self._check_later()

    def _session(self, order: RelayedStatement) -> Session | None:
        """Return a session for the statement; none for a transaction that is not known."""
        if order.in_transaction and not order.begins_transaction:
            relayed = self.board.relays.transactions.get(order.handle)
            return relayed.session if relayed else None
        session = Session(0, order.route.database, order.key_hash)
        if order.begins_transaction:
            now = self.board.clock.now()
            session.transaction = SessionTransaction(order.is_read_only, now)
            session.state = SessionState.OPEN
        return session

    def _keep(self, handle: str, request: SessionRequest) -> None:
        """Keep a transaction for as long as the endpoint does."""
        transactions = self.board.relays.transactions
        transaction = request.session.transaction
        if transaction is None or transaction.connection is None:
            transactions.pop(handle, None)
            return
        transactions[handle] = RelayedTransaction(request.session, self.board.clock.now())
        self._check_later()

    def _check_later(self) -> None:
        if self.board.relays.transactions and not self._is_checking:
            self._is_checking = True
            due = self.board.clock.now() + CHECK_S
            self.board.changes.post_at(due, Topic.RELAY_CHECK_DUE)

    def _refusal(self, code: str, message: str) -> SessionReply:
        reply = SessionReply(ExchangeStatus.REFUSED)
        reply.code, reply.message = code, message
        return reply

    def _answer(self, order: RelayedStatement, reply: SessionReply) -> None:
        order.reply = reply
        self.board.changes.post(Topic.RELAY_ANSWERED, order)
