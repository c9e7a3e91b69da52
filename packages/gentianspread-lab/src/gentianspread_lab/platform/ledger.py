"""Records what callers sent to VMs, how each statement ended, and when VMs were stopped.

All times are in seconds of the recording process's monotonic clock.
"""

from __future__ import annotations

import time
from collections import Counter
from enum import Enum

HOST = "host"  # subject of a disruption of all processes


class Ending(Enum):
    """How a statement or the opening of a session ended for its caller."""

    OUTSTANDING = "outstanding"
    ANSWERED = "answered"
    CUT = "cut within the answer"
    CLOSED = "closed"
    RESET = "reset"
    TIMED_OUT = "no answer in the caller's time"
    LEFT = "the caller left"


class StatementRecord:
    """One statement that a caller sent.

    `operation` is the id of the operation's first statement: a single statement is an operation of
    its own, a transaction is one from its begin to its end. `error` is the error code of a complete
    answer, or empty.
    """

    __slots__ = (
        "statement_id",
        "vm",
        "session",
        "shape",
        "text",
        "operation",
        "in_transaction",
        "sent_at",
        "ended_at",
        "ending",
        "error",
    )

    def __init__(
        self,
        statement_id: str,
        vm: str,
        session: str,
        shape: str,
        text: str,
        operation: str,
        in_transaction: bool,
    ) -> None:
        self.statement_id = statement_id
        self.vm = vm
        self.session = session
        self.shape = shape
        self.text = text
        self.operation = operation
        self.in_transaction = in_transaction
        self.sent_at = time.monotonic()
        self.ended_at = 0.0
        self.ending = Ending.OUTSTANDING
        self.error = ""

    def end(self, ending: Ending, error: str = "") -> None:
        """Record how the statement ended."""
        self.ending, self.error, self.ended_at = ending, error, time.monotonic()

    def is_unanswered(self) -> bool:
        """Return whether the VM ended the connection without a complete answer."""
        return self.ending in (Ending.CUT, Ending.CLOSED, Ending.RESET)

    def is_served(self) -> bool:
        """Return whether the statement succeeded."""
        return self.ending is Ending.ANSWERED and not self.error

    def is_read(self) -> bool:
        """Return whether the statement reads an item."""
        return self.text.startswith(("READ ", "EXECUTE r "))


class OpeningRecord:
    """One attempt to open a session; `error` is the code with which it was refused, or empty."""

    __slots__ = (
        "session",
        "vm",
        "shape",
        "database",
        "key",
        "sent_at",
        "ended_at",
        "ending",
        "error",
    )

    def __init__(self, session: str, vm: str, shape: str, database: str, key: str) -> None:
        self.session = session
        self.vm = vm
        self.shape = shape
        self.database = database
        self.key = key
        self.sent_at = time.monotonic()
        self.ended_at = 0.0
        self.ending = Ending.OUTSTANDING
        self.error = ""

    def end(self, ending: Ending, error: str = "") -> None:
        """Record how the opening ended."""
        self.ending, self.error, self.ended_at = ending, error, time.monotonic()

    def is_unanswered(self) -> bool:
        """Return whether the VM ended the connection without an answer."""
        return self.ending in (Ending.CUT, Ending.CLOSED, Ending.RESET)


class StopRecord:
    """One planned stop of a VM; `exited_at` is 0 and `exit_code` none until its process ended."""

    __slots__ = ("vm", "sent_at", "grace_period_s", "exited_at", "exit_code")

    def __init__(self, vm: str, grace_period_s: float) -> None:
        self.vm = vm
        self.sent_at = time.monotonic()
        self.grace_period_s = grace_period_s
        self.exited_at = 0.0
        self.exit_code: int | None = None

    def end(self, exit_code: int) -> None:
        """Record the end of the process."""
        self.exited_at, self.exit_code = time.monotonic(), exit_code


class Disruption:
    """An unplanned disruption, such as a crash; `ended_at` is infinite while it lasts."""

    __slots__ = ("subject", "began_at", "ended_at")

    def __init__(self, subject: str) -> None:
        self.subject = subject
        self.began_at = time.monotonic()
        self.ended_at = float("inf")

    def end(self) -> None:
        """Record the end of the disruption."""
        self.ended_at = time.monotonic()


class Ledger:
    """All records of one run, in the order of their times; `sessions` has the openings by name."""

    __slots__ = ("statements", "openings", "sessions", "stops", "disruptions")

    def __init__(self) -> None:
        self.statements: dict[str, StatementRecord] = {}
        self.openings: list[OpeningRecord] = []
        self.sessions: dict[str, OpeningRecord] = {}
        self.stops: list[StopRecord] = []
        self.disruptions: list[Disruption] = []

    def add_statement(self, record: StatementRecord) -> None:
        """Add a statement that is about to be sent."""
        self.statements[record.statement_id] = record

    def add_opening(self, record: OpeningRecord) -> None:
        """Add an opening that is about to be sent."""
        self.openings.append(record)
        self.sessions[record.session] = record

    def begin_stop(self, vm: str, grace_period_s: float) -> StopRecord:
        """Record that a VM is told to stop."""
        record = StopRecord(vm, grace_period_s)
        self.stops.append(record)
        return record

    def begin_disruption(self, subject: str) -> Disruption:
        """Record that an unplanned disruption begins."""
        disruption = Disruption(subject)
        self.disruptions.append(disruption)
        return disruption

    def count_answers(self) -> Counter[str]:
        """Return how many statements were answered, by error code, with "ok" for success."""
        return Counter(
            record.error or "ok"
            for record in self.statements.values()
            if record.ending is Ending.ANSWERED
        )

    def stop_around(self, vm: str, moment: float) -> StopRecord | None:
        """Return a VM's last stop that a moment belongs to, until 1 s after its grace period."""
        for stop in reversed(self.stops):
            if stop.vm == vm and stop.sent_at <= moment <= stop.sent_at + stop.grace_period_s + 1.0:
                return stop
        return None

    def is_disrupted(
        self, begin: float, end: float, contact_s: float, subject: str | None = None
    ) -> bool:
        """Return whether a disruption lasted at any time from `contact_s` before `begin`.

        With a subject, only its disruptions count.
        """
        return any(
            item.began_at <= end and item.ended_at >= begin - contact_s
            for item in self.disruptions
            if subject is None or item.subject == subject
        )
