"""Database of the simulated endpoint: an SQLite file to which the log is applied."""

from __future__ import annotations

import os
import sqlite3
from typing import Any

from .records import Record

CREATE_REQUESTS_TABLE = (
    "CREATE TABLE IF NOT EXISTS gentianspread_requests"
    " (workspace TEXT, request_id TEXT, changed INTEGER, PRIMARY KEY (workspace, request_id))"
)


class Database:
    """An SQLite file; a rebuild creates the next generation, to which sessions then reconnect."""

    __slots__ = ("folder", "generation", "_applier")

    def __init__(self, folder: str) -> None:
        self.folder = folder
        self.generation = 0
        self._applier = self._create()

    def connect(self) -> sqlite3.Connection:
        """Open a connection to the current file."""
        connection = sqlite3.connect(self._path(), timeout=0, isolation_level=None)
        connection.execute("PRAGMA synchronous=OFF")
        return connection

    def apply(self, record: Record) -> None:
        """Apply a log record."""
        self._applier.execute("BEGIN IMMEDIATE")
        for statement, parameters in record.statements:
            self._applier.execute(statement, parameters)
        if record.request_id:
            record_request(self._applier, record.workspace, record.request_id, record.changed)
        self._applier.execute("COMMIT")

    def rebuild(self, records: list[Record]) -> None:
        """Create a new file and apply a whole log to it."""
        self._applier.close()
        self.generation += 1
        self._applier = self._create()
        for record in records:
            self.apply(record)

    def _path(self) -> str:
        return os.path.join(self.folder, f"data-{self.generation}.sqlite")

    def _create(self) -> sqlite3.Connection:
        connection = self.connect()
        connection.execute("PRAGMA journal_mode=WAL")
        connection.execute(CREATE_REQUESTS_TABLE)
        return connection


def record_request(
    connection: sqlite3.Connection, workspace: str, request_id: str, changed: int
) -> None:
    """Record an executed request; raises an error if it is already recorded."""
    connection.execute(
        "INSERT INTO gentianspread_requests VALUES (?, ?, ?)", (workspace, request_id, changed)
    )


def recorded_change_count(
    connection: sqlite3.Connection, workspace: str, request_id: str
) -> int | None:
    """Return the number of rows that a recorded request changed, or none."""
    row = connection.execute(
        "SELECT changed FROM gentianspread_requests WHERE workspace = ? AND request_id = ?",
        (workspace, request_id),
    ).fetchone()
    return row[0] if row else None


def fetch_rows(cursor: sqlite3.Cursor) -> list[Any]:
    """Return all rows of a statement as lists."""
    return [list(row) for row in cursor.fetchall()]
