"""Sessions of callers: takes their statements over the board, whatever protocol they came in."""

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
    """Carries out the exchange of a request and posts its reply."""

    def run(self, request: SessionRequest) -> None:
        """Run in the calling greenlet until the exchange has ended."""


class SessionRunner:
    """Opens and closes sessions and serves their statements in the caller's greenlet."""

    __slots__ = ("board", "driver", "metrics", "running", "_count")

    def __init__(self, board: Board, driver: ExchangeRunner, metrics: SessionMetrics) -> None:
        self.board = board
        self.driver = driver
        self.metrics = metrics
        self.running = 0
        self._count = 0
        board.changes.subscribe(Topic.EXCHANGE_ORDERED, self._on_ordered)
        board.changes.subscribe(Topic.STATEMENT_ANSWERED, self._on_answered)

    def open(self, database: str, key_hash: str) -> Session:
        """Return a new session; its `refusal` tells if it may not be used."""
        self._count += 1
        session = Session(self._count, database, key_hash)
        self.board.post(Topic.SESSION_OPENED, session)
        return session

    def close(self, session: Session) -> None:
        """End a session."""
        self.board.post(Topic.SESSION_CLOSED, session)

    def run(self, session: Session, statement: SessionStatement) -> StatementAnswer:
        """Serve one statement and return its answer."""
        waiter = Waiter()
        call = StatementCall(session, statement, self.board.clock.now(), waiter)
        self.running += 1
        try:
            self.board.post(Topic.STATEMENT_ARRIVED, call)
            while call.answer is None:
                request: Any = waiter.take_assigned()
                if request is not None:
                    self.driver.run(request)
                else:
                    waiter.wait()
        finally:
            self.running -= 1
        self.metrics.count(call, self.board.clock.now())
        return call.answer

    def _on_ordered(self, request: SessionRequest) -> None:
        request.waiter.assign(request)

    def _on_answered(self, call: StatementCall) -> None:
        call.waiter.wake()
