"""A session runner that holds openings and statements until a test releases them."""

from __future__ import annotations

import random

from gentianspread_core.blackboard import Board
from gentianspread_core.blackboard.sessions import (
    Session,
    SessionStatement,
    StatementAnswer,
)
from gentianspread_core.engine import Engine
from gentianspread_core.settings import CoreSettings
from gevent.event import Event

from .clock import FakeClock


class HeldSessionRunner:
    """Stands in for the controllers behind a server for callers.

    `board` is that of a VM with nothing to serve. `started` lists the ids of the statements that
    began to run. Each answer has `rows_per_answer` rows of `row`.
    """

    __slots__ = (
        "board",
        "started",
        "rows_per_answer",
        "row",
        "_openings_released",
        "_statements_released",
    )

    def __init__(self) -> None:
        clock = FakeClock()
        settings = CoreSettings("vm", "z1", "vm")
        engine = Engine.for_sessions(settings, clock, random.Random(), clock.wall_ms)
        self.board: Board = engine.board
        self.started: list[str] = []
        self.rows_per_answer = 1
        self.row = "row"
        self._openings_released = Event()
        self._statements_released = Event()
        self.release()

    def hold_openings(self) -> None:
        """Let openings wait from now on."""
        self._openings_released.clear()

    def hold_statements(self) -> None:
        """Let statements run from now on until they are released."""
        self._statements_released.clear()

    def release(self) -> None:
        """Let openings and statements end."""
        self._openings_released.set()
        self._statements_released.set()

    def open(self, database: str, key_hash: str) -> Session:
        """Return an open session."""
        self._openings_released.wait()
        session = Session(1, database, key_hash)
        session.is_decided = True
        return session

    def close(self, session: Session) -> None:
        """End a session."""
        session.closed = True

    def run(self, session: Session, statement: SessionStatement) -> StatementAnswer:
        """Run a statement and return its answer."""
        self.started.append(statement.statement_id)
        self._statements_released.wait()
        return StatementAnswer([self.row] * self.rows_per_answer, "signed", None, session.state)
