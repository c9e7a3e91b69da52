"""Callers' sessions: runs their statements through the board, independent of the protocol."""

from __future__ import annotations

import logging
from typing import Any, Protocol

from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.sessions import (
    Session,
    SessionRequest,
    SessionStatement,
    StatementAnswer,
    StatementCall,
)
from gentianspread_core.blackboard.timeline import request_label
from gentianspread_core.errors import ErrorCode, ExecutionResult, Refusal

from .session_metrics import SessionMetrics
from .waiting import Waiter

log = logging.getLogger(__name__)

MAX_OPENING_S = 5.0  # controllers decide within a VM's time to start
LOST_ANSWER_MARGIN_S = 1.0


class ExchangeRunner(Protocol):
    """Sends a request to its endpoint and posts the reply."""

    def run(self, request: SessionRequest) -> None:
        """Block the calling greenlet until the exchange has ended."""


class SessionRunner:
    """Opens and closes sessions and serves their statements in the calling greenlet."""

    __slots__ = ("board", "driver", "metrics", "_session_count")

    def __init__(self, board: Board, driver: ExchangeRunner, metrics: SessionMetrics) -> None:
        self.board = board
        self.driver = driver
        self.metrics = metrics
        self._session_count = 0
        board.changes.subscribe(Topic.EXCHANGE_SCHEDULED, self._on_exchange_scheduled)
        board.changes.subscribe(Topic.STATEMENT_ANSWERED, self._on_statement_answered)
        board.changes.subscribe(Topic.SESSION_DECIDED, self._on_session_decided)

    def open(self, database: str, key_hash: str) -> Session:
        """Return a new session; its `refusal` is set if it must not be used.

        Blocks while the session waits for a fresh configuration.
        """
        self._session_count += 1
        session = Session(self._session_count, database, key_hash, Waiter())
        self.board.post(Topic.SESSION_OPENED, session)
        deadline = self.board.clock.now() + MAX_OPENING_S
        while not session.is_decided and self.board.clock.now() < deadline:
            session.waiter.wait(MAX_OPENING_S)
        if not session.is_decided:
            log.error("no controller decided on a session in %g s", MAX_OPENING_S)
            session.refusal = Refusal(ErrorCode.OVERLOADED, "The session could not be opened.")
        return session

    def close(self, session: Session) -> None:
        """End a session."""
        self.board.post(Topic.SESSION_CLOSED, session)

    def run(self, session: Session, statement: SessionStatement) -> StatementAnswer:
        """Serve one statement and return its answer.

        The controllers answer within the route's limit. A statement that they lost gets an unknown
        outcome some time after that, so that its caller does not wait for ever.
        """
        waiter = Waiter()
        call = StatementCall(session, statement, self.board.clock.now(), waiter)
        give_up_at = call.arrived_at + self._statement_limit(session) + LOST_ANSWER_MARGIN_S
        self.board.post(Topic.STATEMENT_ARRIVED, call)
        while call.answer is None:
            request: Any = waiter.take_assigned()
            remaining_s = give_up_at - self.board.clock.now()
            if request is not None:
                self.driver.run(request)
            elif remaining_s > 0:
                waiter.wait(remaining_s)
            else:
                self._give_up(call)
        self.metrics.count(call, self.board.clock.now())
        return call.answer

    def _statement_limit(self, session: Session) -> float:
        declaration = self.board.configuration.declaration
        route = declaration.route_of(session.database) if declaration else None
        return route.statement_limit if route else 0.0

    def _give_up(self, call: StatementCall) -> None:
        """Answer a statement that the controllers lost, and end its session on the board."""
        log.error("no controller answered %s in time", request_label(call.statement.statement_id))
        message = "No answer came in time, after an error of this VM."
        refusal = Refusal(ErrorCode.DEADLINE_PASSED, message, ExecutionResult.UNKNOWN)
        call.answer = StatementAnswer([], "", refusal, call.session.state)
        call.session.call = None
        self.board.post(Topic.SESSION_CLOSED, call.session)

    def _on_exchange_scheduled(self, request: SessionRequest) -> None:
        request.waiter.assign(request)

    def _on_session_decided(self, session: Session) -> None:
        if session.waiter is not None:
            session.waiter.wake()

    def _on_statement_answered(self, call: StatementCall) -> None:
        call.waiter.wake()
