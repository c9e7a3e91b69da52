"""Callers of the platform's entry VMs, and the results that they got."""

from __future__ import annotations

import random

import gevent
from gentianspread_server.platform.wire import LineSocket, ProtocolError
from gevent import socket

STATEMENT_TIMEOUT_S = 5.0  # routes allow 1 s
OPERATION_INTERVAL_S = 0.02
NOT_RUN_ERRORS = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT")


class CallerResults:
    """The results of all callers.

    `acknowledged` and `refused_as_not_run` hold the ids of single writes that were answered with
    success, and with an error that guarantees that the write did not run. `stale_reads` is
    for reads that missed a write of their session, which nothing counts yet; `failures_by_error`
    counts failed operations by error code.
    """

    __slots__ = (
        "acknowledged",
        "refused_as_not_run",
        "stale_reads",
        "failures_by_error",
        "succeeded",
    )

    def __init__(self) -> None:
        self.acknowledged: set[str] = set()
        self.refused_as_not_run: set[str] = set()
        self.stale_reads = 0
        self.failures_by_error: dict[str, int] = {}
        self.succeeded = 0


class Answer:
    """A complete answer: its rows, its error code if any, and the session's state."""

    __slots__ = ("rows", "error", "state")

    def __init__(self, rows: list[str], error: str, state: str) -> None:
        self.rows = rows
        self.error = error
        self.state = state


class Caller:
    """One caller that opens sessions on any VM, and reads after each of its writes."""

    def __init__(self, name: str, key: str, addresses: list[str], results: CallerResults) -> None:
        self.name = name
        self.key = key
        self.addresses = addresses
        self.results = results
        self.randomness = random.Random(name)
        self.stopping = False
        self._statement_count = 0

    def run(self) -> None:
        """Open one session after another until `stopping` is set."""
        while not self.stopping:
            try:
                with gevent.Timeout(STATEMENT_TIMEOUT_S):
                    connection = self._open_session()
                if connection is not None:
                    self._run_session(connection)
            except (OSError, ProtocolError, gevent.Timeout) as error:
                self._count_failure(type(error).__name__)
            gevent.sleep(OPERATION_INTERVAL_S)

    def execute(self, connection: LineSocket, text: str) -> tuple[str, Answer]:
        """Send a statement and return its id and answer.

        The id is the caller's name, "x" and a count, such as c3x17 for the caller c3.
        """
        self._statement_count += 1
        statement_id = f"{self.name}x{self._statement_count}"
        with gevent.Timeout(STATEMENT_TIMEOUT_S):
            connection.send(f"QUERY {statement_id} {text}\r\n".encode())
            return statement_id, read_answer(connection)

    def _open_session(self) -> LineSocket | None:
        host, _, port = self.randomness.choice(self.addresses).rpartition(":")
        connection = LineSocket(
            socket.create_connection((host, int(port)), timeout=STATEMENT_TIMEOUT_S)
        )
        connection.send(f"OPEN own {self.key}\r\n".encode())
        line = connection.read_line()
        if line is None or not line.startswith("READY"):
            self._count_failure((line or "closed").partition(" ")[2].partition(" ")[0])
            connection.close()
            return None
        return connection

    def _run_session(self, connection: LineSocket) -> None:
        """Set a session value, then write and read a random number of times."""
        try:
            self.execute(connection, f"SET who {self.name}")
            for _ in range(self.randomness.randint(3, 20)):
                if self.stopping:
                    break
                self._write_and_read(connection)
                gevent.sleep(OPERATION_INTERVAL_S)
        finally:
            connection.close()

    def _write_and_read(self, connection: LineSocket) -> None:
        statement_id, written = self.execute(connection, f"WRITE {self.name} data")
        if written.error:
            self._count_failure(written.error)
            if written.error in NOT_RUN_ERRORS:
                self.results.refused_as_not_run.add(statement_id)
            return
        self.results.acknowledged.add(statement_id)
        self.results.succeeded += 1
        _, read = self.execute(connection, f"READ {self.name}")
        if read.error:
            self._count_failure(read.error)
        else:
            self.results.succeeded += 1

    def _count_failure(self, error_code: str) -> None:
        self.results.failures_by_error[error_code] = (
            self.results.failures_by_error.get(error_code, 0) + 1
        )


def read_answer(connection: LineSocket) -> Answer:
    """Read one complete answer."""
    rows: list[str] = []
    error = ""
    while True:
        line = connection.read_line()
        if line is None:
            raise ProtocolError("the VM closed the connection within an answer")
        keyword, _, rest = line.partition(" ")
        if keyword == "ROW":
            rows.append(rest)
        elif keyword == "ERROR":
            error = rest.partition(" ")[0]
        elif keyword == "READY":
            return Answer(rows, error, rest.partition(" ")[0])
