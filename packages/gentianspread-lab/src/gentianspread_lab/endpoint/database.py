"""The data of the endpoint stand-in: an SQLite file that the log is applied to."""

from __future__ import annotations

import os
import sqlite3
from typing import Any

from .records import Record

REQUESTS_TABLE = (
    "CREATE TABLE IF NOT EXISTS gentianspread_requests"
    " (workspace TEXT, request_id TEXT, changed INTEGER, PRIMARY KEY (workspace, request_id))"
)


class Database:
    """One data file; a rebuild begins a new one, which ends all older sessions."""

    __slots__ = ("folder", "generation", "_applier")

    def __init__(self, folder: str) -> None:
        self.folder = folder
        self.generation = 0
        self._applier = self._create()

    def connect(self) -> sqlite3.Connection:
        """Open a session of the present data file."""
        connection = sqlite3.connect(self._path(), timeout=0, isolation_level=None)
        connection.execute("PRAGMA synchronous=OFF")
        return connection

    def apply(self, record: Record) -> None:
        """Apply a record of the log."""
        self._applier.execute("BEGIN IMMEDIATE")
        for statement, parameters in record.statements:
            self._applier.execute(statement, parameters)
        if record.request_id:
            remember(self._applier, record.workspace, record.request_id, record.changed)
        self._applier.execute("COMMIT")

    def rebuild(self, records: list[Record]) -> None:
        """Begin a new data file from a log."""
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
        connection.execute(REQUESTS_TABLE)
        return connection


def remember(connection: sqlite3.Connection, workspace: str, request_id: str, changed: int) -> None:
    """Record that a request has run; fails if it was recorded before."""
    connection.execute(
        "INSERT INTO gentianspread_requests VALUES (?, ?, ?)", (workspace, request_id, changed)
    )


def recall(connection: sqlite3.Connection, workspace: str, request_id: str) -> int | None:
    """Return how many rows a recorded request changed, or none."""
    row = connection.execute(
        "SELECT changed FROM gentianspread_requests WHERE workspace = ? AND request_id = ?",
        (workspace, request_id),
    ).fetchone()
    return row[0] if row else None


def rows_of(cursor: sqlite3.Cursor) -> list[Any]:
    """Return all rows of a statement as lists."""
    return [list(row) for row in cursor.fetchall()]
