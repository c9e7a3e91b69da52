"""Invariants of the requests of sessions, one check for each."""

from __future__ import annotations

from ..blackboard import Board
from ..blackboard.connections import BackendConnection
from ..blackboard.requests import ExchangeStatus, StatementKind
from ..blackboard.sessions import SessionReply, SessionRequest
from ..errors import ExecutionResult
from .rules import Rule


def _connection(request: SessionRequest) -> BackendConnection:
    return request.exchange.connection


def _key_and_connection_belong_to_workspace(board: Board, request: SessionRequest) -> bool:
    if request.open_route is not None:
        return True
    key = board.configuration.keys.get(request.key_hash or "")
    is_own_connection = _connection(request).workspace == request.workspace
    if request.kind is StatementKind.ROLLBACK:
        return is_own_connection
    return key is not None and key.workspace == request.workspace and is_own_connection


def _has_rate_limit_permit(board: Board, request: SessionRequest) -> bool:
    return request.permitted or request.open_route is not None


def _endpoint_accepts_request(board: Board, request: SessionRequest) -> bool:
    if not request.exchange.opens_transaction and request.session.transaction is not None:
        return True
    endpoint = board.endpoints.by_name.get(request.endpoint or "")
    return endpoint is not None and not endpoint.leaving


def _zone_is_not_evacuated(board: Board, request: SessionRequest) -> bool:
    """Return whether the endpoint's zone takes requests, or may within an evacuation's bound."""
    endpoint = board.endpoints.by_name.get(request.endpoint or "")
    if endpoint is None or not board.configuration.is_evacuated(endpoint.zone):
        return True
    evacuation = board.evacuations.by_zone.get(endpoint.zone)
    return evacuation is not None and board.clock.now() <= evacuation.bound_ends_at


def _transaction_keeps_connection(board: Board, request: SessionRequest) -> bool:
    transaction = request.session.transaction
    if transaction is None or transaction.connection is None:
        return True
    return transaction.connection is _connection(request)


def _connection_has_session_values(board: Board, request: SessionRequest) -> bool:
    if request.kind is StatementKind.ROLLBACK:
        return True
    return _connection(request).values == request.session.values


def _not_run_is_accurate(board: Board, request: SessionRequest) -> bool:
    """Return whether no effect of a request persists whose refusal says that it did not run."""
    outcome = request.outcome
    if outcome is None or outcome.refusal is None or outcome.result is not ExecutionResult.NOT_RUN:
        return True
    reply = request.exchange.reply if request.exchange else None
    may_commit = request.kind is StatementKind.COMMIT or (
        request.kind is StatementKind.WRITE and request.session.transaction is None
    )
    if not isinstance(reply, SessionReply) or not may_commit or not reply.was_sent:
        return True
    return reply.status not in (ExchangeStatus.OK, ExchangeStatus.LOST)


def _answer_is_signed(board: Board, request: SessionRequest) -> bool:
    outcome = request.outcome
    forwarded_kinds = (StatementKind.READ, StatementKind.WRITE, StatementKind.COMMIT)
    if outcome is None or outcome.refusal is not None or request.kind not in forwarded_kinds:
        return True
    reply = request.exchange.reply if request.exchange else None
    return isinstance(reply, SessionReply) and bool(reply.signature)


SESSION_DISPATCH_RULES = (
    Rule(
        "a request runs only for the workspace of its key", _key_and_connection_belong_to_workspace
    ),
    Rule("no workspace gets more than its rate and burst", _has_rate_limit_permit),
    Rule("a leaving endpoint gets no new work", _endpoint_accepts_request),
    Rule("an evacuated zone gets no requests after the bound", _zone_is_not_evacuated),
    Rule("statements of transactions never mix", _transaction_keeps_connection),
    Rule("a statement runs with its session's values", _connection_has_session_values),
)

SESSION_COMPLETION_RULES = (
    Rule("a refusal that says not run is true", _not_run_is_accurate),
    Rule("a caller gets the endpoint's own answer", _answer_is_signed),
)
