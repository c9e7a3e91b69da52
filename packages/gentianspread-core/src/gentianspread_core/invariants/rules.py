"""Invariants of requests and of the replicated state, one check for each."""

from __future__ import annotations

from collections.abc import Callable

from ..blackboard import Board
from ..blackboard.configuration import Configuration
from ..blackboard.requests import COMMIT_NEVER_RUNS, ExchangeStatus, Request
from ..errors import ExecutionResult


class Rule:
    """An invariant of requests: its name, and a check of one request against the blackboard."""

    __slots__ = ("name", "holds")

    def __init__(self, name: str, holds: Callable[[Board, Request], bool]) -> None:
        self.name = name
        self.holds = holds


class LastSeenState:
    """The newest revision and the last term of each group seen on this VM."""

    __slots__ = ("revision", "terms")

    def __init__(self) -> None:
        self.revision = 0
        self.terms: dict[str, int] = {}

    def check_and_update(self, configuration: Configuration) -> list[str]:
        """Record the revision and terms of a configuration; return the rules that it violates."""
        violated: list[str] = []
        if configuration.revision < self.revision:
            violated.append("a configuration never reverts")
        self.revision = max(self.revision, configuration.revision)
        for group in configuration.groups.values():
            if group.granted_term < self.terms.get(group.name, 0):
                violated.append("a group's term never goes back")
            self.terms[group.name] = group.granted_term
        return violated


def _key_belongs_to_workspace(board: Board, request: Request) -> bool:
    if request.open_route is not None:
        return request.is_read()
    key = board.configuration.keys.get(request.key_hash or "")
    if key is None:
        return False
    return key.workspace == request.workspace


def _has_rate_limit_permit(board: Board, request: Request) -> bool:
    return request.permitted or request.open_route is not None


def _endpoint_accepts_request(board: Board, request: Request) -> bool:
    if request.transaction is not None:
        return True
    endpoint = board.endpoints.by_name.get(request.endpoint or "")
    return endpoint is not None and not endpoint.leaving


def _transaction_belongs_to_workspace(board: Board, request: Request) -> bool:
    if request.transaction is None:
        return True
    transaction = board.transactions.by_name.get(request.transaction)
    return transaction is not None and transaction.workspace == request.workspace


def _is_safe_to_send(board: Board, request: Request) -> bool:
    return request.is_safe_to_retry() or not request.may_have_run


def _read_reaches_session_position(board: Board, request: Request) -> bool:
    outcome = request.outcome
    if outcome is None or outcome.result is not ExecutionResult.RUN or not request.is_read():
        return True
    reply = request.exchange.reply if request.exchange else None
    if request.token is None or reply is None:
        return True
    position = reply.position
    return position is not None and position.reaches(request.token.position(request.group))


def _acknowledged_under_newest_term(board: Board, request: Request) -> bool:
    outcome = request.outcome
    if outcome is None or outcome.result is not ExecutionResult.RUN or request.is_read():
        return True
    group = board.configuration.groups.get(request.group)
    reply = request.exchange.reply if request.exchange else None
    if group is None or reply is None or reply.position is None or group.counts_own_terms:
        return True
    if request.transaction is not None and request.kind.value != "commit":
        return True
    return reply.position.term >= group.granted_term


def _not_run_is_accurate(board: Board, request: Request) -> bool:
    outcome = request.outcome
    if outcome is None or outcome.result is not ExecutionResult.NOT_RUN or request.is_read():
        return True
    reply = request.exchange.reply if request.exchange else None
    if reply is None or request.kind.value in ("begin", "rollback"):
        return True
    if request.transaction is not None and request.kind.value != "commit":
        return True
    if reply.changed == COMMIT_NEVER_RUNS:
        return True
    return reply.status not in (ExchangeStatus.OK, ExchangeStatus.LOST)


DISPATCH_RULES = (
    Rule("a request runs only for the workspace of its key", _key_belongs_to_workspace),
    Rule("no workspace gets more than its rate and burst", _has_rate_limit_permit),
    Rule("a leaving endpoint gets no new work", _endpoint_accepts_request),
    Rule("statements of transactions never mix", _transaction_belongs_to_workspace),
    Rule("a non-idempotent request runs at most once", _is_safe_to_send),
)

COMPLETION_RULES = (
    Rule("a session reads its own writes", _read_reaches_session_position),
    Rule("no write is acknowledged by a replaced primary", _acknowledged_under_newest_term),
    Rule("a refusal that says not run is true", _not_run_is_accurate),
)
