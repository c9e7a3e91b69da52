"""One check a rule that must always hold for the requests of sessions."""

from __future__ import annotations

from ..blackboard import Board
from ..blackboard.connections import BackendConnection
from ..blackboard.requests import ExchangeStatus, StatementKind
from ..blackboard.sessions import SessionReply, SessionRequest
from ..errors import ExecutionResult
from .rules import Rule


def _connection(request: SessionRequest) -> BackendConnection:
    return request.exchange.connection


def _runs_for_its_key(board: Board, request: SessionRequest) -> bool:
    if request.open_route is not None:
        return True
    key = board.configuration.keys.get(request.key_hash or "")
    is_own = _connection(request).workspace == request.workspace
    if request.kind is StatementKind.ROLLBACK:
        return is_own
    return key is not None and key.workspace == request.workspace and is_own


def _has_permit(board: Board, request: SessionRequest) -> bool:
    return request.permitted or request.open_route is not None


def _leaving_gets_no_new_work(board: Board, request: SessionRequest) -> bool:
    if not request.exchange.opens_transaction and request.session.transaction is not None:
        return True
    endpoint = board.endpoints.by_name.get(request.endpoint or "")
    return endpoint is not None and not endpoint.leaving


def _transaction_keeps_its_connection(board: Board, request: SessionRequest) -> bool:
    transaction = request.session.transaction
    if transaction is None or transaction.connection is None:
        return True
    return transaction.connection is _connection(request)


def _has_session_values(board: Board, request: SessionRequest) -> bool:
    if request.kind is StatementKind.ROLLBACK:
        return True
    return _connection(request).values == request.session.values


def _not_run_is_true(board: Board, request: SessionRequest) -> bool:
    """Tell whether nothing of a refused request is kept, if the refusal says so."""
    outcome = request.outcome
    if outcome is None or outcome.refusal is None or outcome.result is not ExecutionResult.NOT_RUN:
        return True
    reply = request.exchange.reply if request.exchange else None
    commits = request.kind is StatementKind.COMMIT or (
        request.kind is StatementKind.WRITE and request.session.transaction is None
    )
    if not isinstance(reply, SessionReply) or not commits or not reply.was_sent:
        return True
    return reply.status not in (ExchangeStatus.OK, ExchangeStatus.LOST)


def _write_is_signed(board: Board, request: SessionRequest) -> bool:
    outcome = request.outcome
    forwarded = (StatementKind.READ, StatementKind.WRITE, StatementKind.COMMIT)
    if outcome is None or outcome.refusal is not None or request.kind not in forwarded:
        return True
    reply = request.exchange.reply if request.exchange else None
    return isinstance(reply, SessionReply) and bool(reply.signature)


SESSION_DISPATCH_RULES = (
    Rule("a request runs only for the workspace of its key", _runs_for_its_key),
    Rule("no workspace gets more than its rate and burst", _has_permit),
    Rule("a leaving endpoint gets no new work", _leaving_gets_no_new_work),
    Rule("statements of transactions never mix", _transaction_keeps_its_connection),
    Rule("a statement runs with its session's values", _has_session_values),
)

SESSION_COMPLETION_RULES = (
    Rule("a refusal that says not run is true", _not_run_is_true),
    Rule("a caller gets the endpoint's own answer", _write_is_signed),
)
