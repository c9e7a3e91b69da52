"""Callers' sessions: runs their statements through the board, independent of the protocol."""

from __future__ import annotations

from typing import Any, Protocol

from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.sessions import (
    Session,
    SessionRequest,
    SessionStatement,
    StatementAnswer,
    StatementCall,
)

from .session_metrics import SessionMetrics
from .waiting import Waiter


class ExchangeRunner(Protocol):
    """Sends a request to its endpoint and posts the reply."""

    def run(self, request: SessionRequest) -> None:
        """Block the calling greenlet until the exchange has ended."""


class SessionRunner:
    """Opens and closes sessions and serves their statements in the calling greenlet."""

    __slots__ = ("board", "driver", "metrics", "running_count", "_session_count")

    def __init__(self, board: Board, driver: ExchangeRunner, metrics: SessionMetrics) -> None:
        self.board = board
        self.driver = driver
        self.metrics = metrics
        self.running_count = 0
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
        while not session.is_decided:
            session.waiter.wait()
        return session

    def close(self, session: Session) -> None:
        """End a session."""
        self.board.post(Topic.SESSION_CLOSED, session)

    def run(self, session: Session, statement: SessionStatement) -> StatementAnswer:
        """Serve one statement and return its answer."""
        waiter = Waiter()
        call = StatementCall(session, statement, self.board.clock.now(), waiter)
        self.running_count += 1
        try:
            self.board.post(Topic.STATEMENT_ARRIVED, call)
            while call.answer is None:
                request: Any = waiter.take_assigned()
                if request is not None:
                    self.driver.run(request)
                else:
                    waiter.wait()
        finally:
            self.running_count -= 1
        self.metrics.count(call, self.board.clock.now())
        return call.answer

    def _on_exchange_scheduled(self, request: SessionRequest) -> None:
        request.waiter.assign(request)

    def _on_session_decided(self, session: Session) -> None:
        if session.waiter is not None:
            session.waiter.wake()

    def _on_statement_answered(self, call: StatementCall) -> None:
        call.waiter.wake()
