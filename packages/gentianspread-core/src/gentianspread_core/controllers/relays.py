"""Relay controller: runs statements that other VMs relay to this one, on its own connections.

The sender makes all decisions on the request: the endpoint, retries, and the answer to its caller.
This VM checks the key once more, chooses a connection, and returns the endpoint's reply unchanged.
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
from .balancing import measure_load
from .placement.priority import waits_at_home

IDLE_CHECK_INTERVAL_S = 1.0
IDLE_MARGIN_S = 1.0  # after the time at which the sender itself ends an idle transaction
DEFAULT_IDLE_TIMEOUT_S = 10.0  # until a declaration sets one


class RelayController:
    """Owns the relays section."""

    __slots__ = ("board", "_request_count", "_is_check_scheduled")

    def __init__(self, board: Board) -> None:
        self.board = board
        self._request_count = 0
        self._is_check_scheduled = False

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.RELAY_RECEIVED: self.on_received,
            Topic.RELAY_RELEASED: self.on_released,
            Topic.RELAY_ENDED: self.on_ended,
            Topic.REQUEST_DONE: self.on_done,
            Topic.RELAY_CHECK_DUE: self.on_due,
        }

    def on_received(self, relayed_statement: RelayedStatement) -> None:
        """Turn a relayed statement into a request."""
        self.board.relays.running.add(relayed_statement)
        session = self._session_for(relayed_statement)
        if session is None:
            message = "The transaction is not known here; it was rolled back."
            self._answer(
                relayed_statement, self._refusal_reply(ErrorCode.TRANSACTION_UNKNOWN.value, message)
            )
            return
        session.values = relayed_statement.values
        now = self.board.clock.now()
        arrived_at = now - (relayed_statement.age_s or 0.0)
        call = StatementCall(
            session, relayed_statement.statement(), arrived_at, relayed_statement.waiter
        )
        self._request_count += 1
        request = SessionRequest(
            self._request_count,
            relayed_statement.kind,
            call,
            relayed_statement.route,
            relayed_statement.timeout_s,
        )
        request.relayed_statement = relayed_statement
        request.permitted = True
        request.prepared = relayed_statement.prepared
        request.min_position = relayed_statement.min_position
        request.deadline = now + relayed_statement.timeout_s
        request.wait_deadline = now + relayed_statement.wait_timeout_s
        self.board.changes.post(Topic.REQUEST_ARRIVED, request)

    def on_released(self, handle: str) -> None:
        """End a transaction that its sender has released."""
        relayed_transaction = self.board.relays.transactions.pop(handle, None)
        if relayed_transaction is not None and relayed_transaction.session.transaction is not None:
            self.board.changes.post(
                Topic.TRANSACTION_ENDED, relayed_transaction.session.transaction
            )

    def on_ended(self, relayed_statement: RelayedStatement) -> None:
        """Forget a relayed statement that its adapter has done with."""
        self.board.relays.running.discard(relayed_statement)

    def on_done(self, request: SessionRequest) -> None:
        """Return the endpoint's reply to the sender, or a refusal if there is none."""
        relayed_statement = request.relayed_statement
        if relayed_statement is None:
            return
        exchange = request.exchange
        if exchange is None:
            # The sender gives up the transaction of a refused statement and does not release it.
            self.on_released(relayed_statement.handle)
        else:
            self._update_transaction(relayed_statement.handle, request)
        reply = exchange.reply if exchange is not None else None
        if not isinstance(reply, SessionReply):
            refusal = request.outcome.refusal if request.outcome else None
            code = refusal.code.value if refusal else ErrorCode.OVERLOADED.value
            reply = self._refusal_reply(code, refusal.message if refusal else "")
            reply.cold_s = request.cold_s
        if self.board.loads.is_reported:
            reply.load = self._load_record(request)
            reply.outliers = self.board.outliers.to_record(self.board.clock.now())
        self._answer(relayed_statement, reply)

    def on_due(self, _entry: None) -> None:
        """End transactions whose sender has sent nothing for longer than the idle timeout."""
        declaration = self.board.configuration.declaration
        idle_timeout = (
            declaration.transaction_idle_timeout_s if declaration else DEFAULT_IDLE_TIMEOUT_S
        )
        idle_since = self.board.clock.now() - idle_timeout - IDLE_MARGIN_S
        transactions = self.board.relays.transactions
        for handle in [name for name, item in transactions.items() if item.last_used < idle_since]:
            self.on_released(handle)
        self._is_check_scheduled = False
        self._schedule_idle_check()

    def _session_for(self, relayed_statement: RelayedStatement) -> Session | None:
        """Return a session for the statement, or none if its transaction is unknown."""
        if relayed_statement.in_transaction and not relayed_statement.begins_transaction:
            relayed_transaction = self.board.relays.transactions.get(relayed_statement.handle)
            return relayed_transaction.session if relayed_transaction else None
        session = Session(0, relayed_statement.route.database, relayed_statement.key_hash)
        if relayed_statement.begins_transaction:
            now = self.board.clock.now()
            session.transaction = SessionTransaction(
                relayed_statement.is_read_only, relayed_statement.route, now
            )
            session.state = SessionState.OPEN
        return session

    def _update_transaction(self, handle: str, request: SessionRequest) -> None:
        """Keep a transaction while it is open at the endpoint, and remove it otherwise."""
        transactions = self.board.relays.transactions
        transaction = request.session.transaction
        if transaction is None or transaction.connection is None:
            transactions.pop(handle, None)
            return
        transactions[handle] = RelayedTransaction(request.session, self.board.clock.now())
        self._schedule_idle_check()

    def _load_record(self, request: SessionRequest) -> list[float]:
        """Return the load of the request's endpoint as this VM knows it after the request."""
        exchange = request.exchange
        dispatched_at = exchange.sent_at if exchange is not None else self.board.clock.now()
        received_at = request.arrived_at + (request.relayed_statement.age_s or 0.0)
        wait_s = max(0.0, dispatched_at - received_at)
        endpoint_name = request.relayed_statement.endpoint
        load = measure_load(self.board, endpoint_name, wait_s)
        if self.board.settings.schedules_by_priority:
            load.waits = waits_at_home(self.board, endpoint_name)
        return load.to_record()

    def _schedule_idle_check(self) -> None:
        if self.board.relays.transactions and not self._is_check_scheduled:
            self._is_check_scheduled = True
            due = self.board.clock.now() + IDLE_CHECK_INTERVAL_S
            self.board.changes.post_at(due, Topic.RELAY_CHECK_DUE)

    def _refusal_reply(self, code: str, message: str) -> SessionReply:
        reply = SessionReply(ExchangeStatus.REFUSED)
        reply.code, reply.message = code, message
        return reply

    def _answer(self, relayed_statement: RelayedStatement, reply: SessionReply) -> None:
        relayed_statement.reply = reply
        self.board.changes.post(Topic.RELAY_ANSWERED, relayed_statement)
