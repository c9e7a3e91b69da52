"""Sessions of the endpoint stand-in: statements and transactions of one connection."""

from __future__ import annotations

import sqlite3
from typing import Any

import gevent
from gentianspread_core.blackboard.requests import COMMIT_NEVER_RUNS
from gentianspread_core.positions import Position
from gevent.lock import BoundedSemaphore

from .database import Database, recall, remember, rows_of
from .node import Node


class Costs:
    """What work costs, in seconds: opening a connection, a read, a write."""

    __slots__ = ("connect", "read", "write")

    def __init__(self, connect: float, read: float, write: float) -> None:
        self.connect = connect
        self.read = read
        self.write = write


class Answer:
    """An answer to a statement; encoded for the wire by `to_wire`."""

    __slots__ = ("status", "rows", "changed", "position", "age", "code", "message", "repeated")

    def __init__(self, status: str, code: str = "", message: str = "") -> None:
        self.status = status
        self.rows: list[Any] = []
        self.changed = 0
        self.position: Position | None = None
        self.age = 0.0
        self.code = code
        self.message = message
        self.repeated = False

    def to_wire(self, exchange: str) -> dict[str, Any]:
        """Return the wire's object, with the exchange that it answers."""
        return {
            "exchange": exchange,
            "status": self.status,
            "rows": self.rows,
            "changed": self.changed,
            "position": self.position.to_pair() if self.position else None,
            "age_ms": self.age * 1000,
            "code": self.code,
            "message": self.message,
            "repeated": self.repeated,
        }


class Refused(Exception):
    """The statement was not run."""

    def __init__(self, code: str, message: str) -> None:
        super().__init__(message)
        self.code = code


class Session:
    """One connection's work on the database.

    A transaction keeps its statements and runs them anew for each further one, so that no lock is
    held between two statements; its commit runs them for good.
    """

    def __init__(
        self,
        node: Node,
        database: Database,
        slots: BoundedSemaphore,
        costs: Costs,
    ) -> None:
        self.node = node
        self.database = database
        self.slots = slots
        self.costs = costs
        self.statements: list[list[Any]] = []
        self.in_transaction = False
        self.term = 0
        self._sql: sqlite3.Connection | None = None
        self._generation = -1

    def run(self, message: dict[str, Any]) -> Answer:
        """Run one statement and return its answer."""
        try:
            return self._run(message)
        except Refused as refusal:
            self.close()
            return Answer("refused", refusal.code, str(refusal))
        except sqlite3.Error as error:
            self.close()
            return Answer("failed", "sql", str(error))

    def close(self) -> None:
        """Drop the open transaction and the session."""
        if self._sql is not None:
            self._sql.close()
            self._sql = None
        self._end()

    def _run(self, message: dict[str, Any]) -> Answer:
        kind = message["kind"]
        if kind == "begin":
            return self._begin(message)
        if kind == "commit":
            return self._commit(message)
        if kind == "rollback":
            self._end()
            return Answer("ok")
        if kind == "recall":
            return self._recall(message)
        if self.in_transaction:
            return self._run_inside(message)
        if kind == "read":
            return self._read(message)
        return self._write(message)

    def _session(self) -> sqlite3.Connection:
        if self._sql is None or self._generation != self.database.generation:
            self._sql = self.database.connect()
            self._generation = self.database.generation
        return self._sql

    def _read(self, message: dict[str, Any]) -> Answer:
        at_least = message.get("at_least")
        if at_least:
            wait = message.get("wait_ms", 0) / 1000
            if not self.node.wait_applied(Position.from_pair(at_least), wait):
                raise Refused("lagging", "The replica does not have the position yet.")
        with self.slots:
            gevent.sleep(self.costs.read)
            answer = Answer("ok")
            answer.position = self.node.applied
            answer.age = self.node.age()
            self._session().execute("PRAGMA query_only = 1")
            cursor = self._session().execute(message["statement"], message["parameters"])
            answer.rows = rows_of(cursor)
            self._session().execute("PRAGMA query_only = 0")
        return answer

    def _write(self, message: dict[str, Any]) -> Answer:
        self._require_primary(message["term"])
        with self.slots:
            gevent.sleep(self.costs.write)
            self._require_primary(message["term"])
            return self._commit_statements(message, [_statement_of(message)])

    def _begin(self, message: dict[str, Any]) -> Answer:
        self._require_primary(message["term"])
        self.in_transaction = True
        self.term = message["term"]
        return Answer("ok")

    def _run_inside(self, message: dict[str, Any]) -> Answer:
        with self.slots:
            gevent.sleep(self.costs.read if message["kind"] == "read" else self.costs.write)
            self._require_primary(self.term)
            statements = [*self.statements, _statement_of(message)]
            answer = self._try_statements(statements)
            if message["kind"] == "write":
                self.statements = statements
            return answer

    def _commit(self, message: dict[str, Any]) -> Answer:
        if not self.in_transaction:
            raise Refused("no_transaction", "There is no open transaction.")
        with self.slots:
            gevent.sleep(self.costs.write)
            self._require_primary(self.term)
            statements = self.statements
            self._end()
            if not statements:
                return Answer("ok")
            return self._commit_statements(message, statements)

    def _recall(self, message: dict[str, Any]) -> Answer:
        """Answer with a recorded outcome; without one, record that the commit never runs."""
        self._require_primary(message["term"])
        known = self._recalled(self._session(), message)
        if known is not None:
            return known
        session = self._session()
        session.execute("BEGIN IMMEDIATE")
        remember(session, message["workspace"], message["request_id"], COMMIT_NEVER_RUNS)
        session.execute("COMMIT")
        answer = Answer("ok")
        answer.changed = COMMIT_NEVER_RUNS
        answer.position = self.node.append(
            [], message["workspace"], message["request_id"], COMMIT_NEVER_RUNS
        )
        return answer

    def _try_statements(self, statements: list[list[Any]]) -> Answer:
        """Run statements, keep what the last one gave, and take everything back."""
        session = self._session()
        session.execute("BEGIN IMMEDIATE")
        try:
            return _run_all(session, statements)
        finally:
            session.execute("ROLLBACK")

    def _commit_statements(self, message: dict[str, Any], statements: list[list[Any]]) -> Answer:
        """Run statements for good, once for each request id."""
        session = self._session()
        known = self._recalled(session, message)
        if known is not None:
            return known
        request_id = message.get("request_id") or ""
        session.execute("BEGIN IMMEDIATE")
        try:
            answer = _run_all(session, statements)
            if request_id:
                remember(session, message["workspace"], request_id, answer.changed)
            session.execute("COMMIT")
        except sqlite3.Error:
            session.execute("ROLLBACK")
            raise
        answer.position = self.node.append(
            statements, message["workspace"], request_id, answer.changed
        )
        return answer

    def _recalled(self, session: sqlite3.Connection, message: dict[str, Any]) -> Answer | None:
        request_id = message.get("request_id")
        if not request_id:
            return None
        changed = recall(session, message["workspace"], request_id)
        if changed is None:
            return None
        answer = Answer("ok")
        answer.changed = changed
        answer.repeated = True
        answer.position = self.node.received()
        return answer

    def _require_primary(self, term: int) -> None:
        if not self.node.may_write(term):
            raise Refused("not_primary", f"This endpoint is not the primary of term {term}.")

    def _end(self) -> None:
        self.in_transaction = False
        self.statements = []


def _statement_of(message: dict[str, Any]) -> list[Any]:
    return [message["statement"], message["parameters"]]


def _run_all(session: sqlite3.Connection, statements: list[list[Any]]) -> Answer:
    """Run statements in an open SQL transaction; the answer holds the last one's rows."""
    answer = Answer("ok")
    for statement, parameters in statements:
        cursor = session.execute(statement, parameters)
        answer.rows = rows_of(cursor)
        answer.changed += max(0, cursor.rowcount)
    return answer
