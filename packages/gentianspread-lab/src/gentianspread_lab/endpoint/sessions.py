"""Sessions of the simulated endpoint: statements and transactions of one connection."""

from __future__ import annotations

import sqlite3
from typing import Any

import gevent
from gentianspread_core.blackboard.requests import COMMIT_NEVER_RUNS
from gentianspread_core.positions import Position
from gevent.lock import BoundedSemaphore

from .database import Database, fetch_rows, record_request, recorded_change_count
from .node import Node


class StatementCosts:
    """Simulated durations, in seconds: opening a connection, a read, a write."""

    __slots__ = ("connect_s", "read_s", "write_s")

    def __init__(self, connect_s: float, read_s: float, write_s: float) -> None:
        self.connect_s = connect_s
        self.read_s = read_s
        self.write_s = write_s


class StatementReply:
    """The reply to a statement; encoded for the wire by `to_wire`."""

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
        """Return the JSON object for the wire, with the id of the exchange that it answers."""
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


class StatementRefusedError(Exception):
    """The statement was not executed."""

    def __init__(self, code: str, message: str) -> None:
        super().__init__(message)
        self.code = code


class Session:
    """One connection's work on the database.

    A transaction keeps its statements and re-executes them with each further one, so that no lock
    is held between two statements; only its commit makes them permanent.
    """

    def __init__(
        self,
        node: Node,
        database: Database,
        slots: BoundedSemaphore,
        costs: StatementCosts,
    ) -> None:
        self.node = node
        self.database = database
        self.slots = slots
        self.costs = costs
        self.statements: list[list[Any]] = []
        self.in_transaction = False
        self.term = 0
        self._connection: sqlite3.Connection | None = None
        self._generation = -1

    def run(self, message: dict[str, Any]) -> StatementReply:
        """Execute one statement and return its reply."""
        try:
            return self._run(message)
        except StatementRefusedError as refusal:
            self.close()
            return StatementReply("refused", refusal.code, str(refusal))
        except sqlite3.Error as error:
            self.close()
            return StatementReply("failed", "sql", str(error))

    def close(self) -> None:
        """Roll back the open transaction and close the database connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None
        self._reset_transaction()

    def _run(self, message: dict[str, Any]) -> StatementReply:
        kind = message["kind"]
        if kind == "begin":
            return self._begin(message)
        if kind == "commit":
            return self._commit(message)
        if kind == "rollback":
            self._reset_transaction()
            return StatementReply("ok")
        if kind == "recall":
            return self._resolve_commit(message)
        if self.in_transaction:
            return self._run_in_transaction(message)
        if kind == "read":
            return self._read(message)
        return self._write(message)

    def _database_connection(self) -> sqlite3.Connection:
        if self._connection is None or self._generation != self.database.generation:
            self._connection = self.database.connect()
            self._generation = self.database.generation
        return self._connection

    def _read(self, message: dict[str, Any]) -> StatementReply:
        at_least = message.get("at_least")
        if at_least:
            wait = message.get("wait_ms", 0) / 1000
            if not self.node.wait_applied(Position.from_pair(at_least), wait):
                raise StatementRefusedError(
                    "lagging", "The replica does not have the position yet."
                )
        with self.slots:
            gevent.sleep(self.costs.read_s)
            reply = StatementReply("ok")
            reply.position = self.node.applied
            reply.age = self.node.age()
            self._database_connection().execute("PRAGMA query_only = 1")
            cursor = self._database_connection().execute(
                message["statement"], message["parameters"]
            )
            reply.rows = fetch_rows(cursor)
            self._database_connection().execute("PRAGMA query_only = 0")
        return reply

    def _write(self, message: dict[str, Any]) -> StatementReply:
        self._require_primary(message["term"])
        with self.slots:
            gevent.sleep(self.costs.write_s)
            self._require_primary(message["term"])
            return self._commit_statements(message, [_statement_from(message)])

    def _begin(self, message: dict[str, Any]) -> StatementReply:
        self._require_primary(message["term"])
        self.in_transaction = True
        self.term = message["term"]
        return StatementReply("ok")

    def _run_in_transaction(self, message: dict[str, Any]) -> StatementReply:
        with self.slots:
            gevent.sleep(self.costs.read_s if message["kind"] == "read" else self.costs.write_s)
            self._require_primary(self.term)
            statements = [*self.statements, _statement_from(message)]
            reply = self._dry_run(statements)
            if message["kind"] == "write":
                self.statements = statements
            return reply

    def _commit(self, message: dict[str, Any]) -> StatementReply:
        if not self.in_transaction:
            raise StatementRefusedError("no_transaction", "There is no open transaction.")
        with self.slots:
            gevent.sleep(self.costs.write_s)
            self._require_primary(self.term)
            statements = self.statements
            self._reset_transaction()
            if not statements:
                return StatementReply("ok")
            return self._commit_statements(message, statements)

    def _resolve_commit(self, message: dict[str, Any]) -> StatementReply:
        """Return the recorded outcome; without one, record that the commit will never run."""
        self._require_primary(message["term"])
        recorded = self._recorded_reply(self._database_connection(), message)
        if recorded is not None:
            return recorded
        connection = self._database_connection()
        connection.execute("BEGIN IMMEDIATE")
        record_request(connection, message["workspace"], message["request_id"], COMMIT_NEVER_RUNS)
        connection.execute("COMMIT")
        reply = StatementReply("ok")
        reply.changed = COMMIT_NEVER_RUNS
        reply.position = self.node.append(
            [], message["workspace"], message["request_id"], COMMIT_NEVER_RUNS
        )
        return reply

    def _dry_run(self, statements: list[list[Any]]) -> StatementReply:
        """Execute statements, return the last one's rows, and roll everything back."""
        connection = self._database_connection()
        connection.execute("BEGIN IMMEDIATE")
        try:
            return _run_all(connection, statements)
        finally:
            connection.execute("ROLLBACK")

    def _commit_statements(
        self, message: dict[str, Any], statements: list[list[Any]]
    ) -> StatementReply:
        """Execute and commit statements, at most once for each request id."""
        connection = self._database_connection()
        recorded = self._recorded_reply(connection, message)
        if recorded is not None:
            return recorded
        request_id = message.get("request_id") or ""
        connection.execute("BEGIN IMMEDIATE")
        try:
            reply = _run_all(connection, statements)
            if request_id:
                record_request(connection, message["workspace"], request_id, reply.changed)
            connection.execute("COMMIT")
        except sqlite3.Error:
            connection.execute("ROLLBACK")
            raise
        reply.position = self.node.append(
            statements, message["workspace"], request_id, reply.changed
        )
        return reply

    def _recorded_reply(
        self, connection: sqlite3.Connection, message: dict[str, Any]
    ) -> StatementReply | None:
        request_id = message.get("request_id")
        if not request_id:
            return None
        changed = recorded_change_count(connection, message["workspace"], request_id)
        if changed is None:
            return None
        reply = StatementReply("ok")
        reply.changed = changed
        reply.repeated = True
        reply.position = self.node.received_position()
        return reply

    def _require_primary(self, term: int) -> None:
        if not self.node.may_write(term):
            raise StatementRefusedError(
                "not_primary", f"This endpoint is not the primary of term {term}."
            )

    def _reset_transaction(self) -> None:
        self.in_transaction = False
        self.statements = []


def _statement_from(message: dict[str, Any]) -> list[Any]:
    return [message["statement"], message["parameters"]]


def _run_all(connection: sqlite3.Connection, statements: list[list[Any]]) -> StatementReply:
    """Execute statements in an open SQL transaction; the reply holds the last one's rows."""
    reply = StatementReply("ok")
    for statement, parameters in statements:
        cursor = connection.execute(statement, parameters)
        reply.rows = fetch_rows(cursor)
        reply.changed += max(0, cursor.rowcount)
    return reply
