"""Checks of the guarantees, from what callers, the operator and endpoints saw so far.

All of them also hold while callers and faults go on, except those of the last phase.
"""

from __future__ import annotations

import bisect
import time
from collections.abc import Iterable, Iterator
from typing import Protocol

import gevent

from .announcer import DRAIN_S
from .judgement import BROKEN_KINDS, CONTACT_S, judge
from .ledger import StatementRecord
from .operators import MAX_AGE_S
from .soakboard import SoakBoard, Violation

CHECK_INTERVAL_S = 2.0
KEY_WITHDRAWAL_LIMIT_S = 5.0  # in the fleet's settings
CONFIGURATION_LIMIT_S = 3.0  # until every control VM returns an acknowledged version
MIN_SERVED_SHARE = 0.25  # of the statements of the last phase; the platform's limit
MAX_EXAMPLES = 3


class Check(Protocol):
    """A guarantee, and how to see that it does not hold."""

    guarantee: str

    def find(self, board: SoakBoard) -> Iterator[str]:
        """Yield what shows that the guarantee does not hold, if anything."""


class StatementsCheck:
    """Statements are answered around planned stops, and answers agree with the log."""

    guarantee = "statements are answered, and their answers are true"

    def find(self, board: SoakBoard) -> Iterator[str]:
        """Yield the findings that break a guarantee."""
        for finding in judge(board.ledger, board.fleet.database):
            if finding.kind in BROKEN_KINDS:
                yield f"{finding.kind.value}: {finding.subject} {finding.evidence}"


class CutOffCheck:
    """A VM that is neither stopped nor disrupted cuts off no statement, also after a SIGHUP."""

    guarantee = "a VM that goes on cuts off no statement"

    def find(self, board: SoakBoard) -> Iterator[str]:
        """Yield statements without an answer outside planned stops and disruptions."""
        ledger = board.ledger
        for record in ledger.statements.values():
            if (
                record.is_unanswered()
                and ledger.stop_around(record.vm, record.ended_at) is None
                and not ledger.is_disrupted(record.sent_at, record.ended_at, CONTACT_S)
            ):
                elapsed = board.elapsed(record.ended_at)
                yield f"{record.statement_id} {record.text!r} at {record.vm} at {elapsed:.1f} s"


class UnchangedCheck:
    """Endpoints get only statements that callers sent, with their text."""

    guarantee = "no statement is invented or changed"

    def find(self, board: SoakBoard) -> Iterator[str]:
        """Yield statements that no caller sent so."""
        for item in board.fleet.database.received_statements:
            record = board.ledger.statements.get(item.statement_id)
            if record is None or _comparable(item.text) != _comparable(record.text):
                yield f"{item.statement_id} {item.text!r} at {item.endpoint}"


class SessionCheck:
    """Statements run with the values of their session, for the workspace of its key."""

    guarantee = "statements run with their session's values and workspace"

    def find(self, board: SoakBoard) -> Iterator[str]:
        """Yield statements that ran with other values or for another workspace."""
        values = _values_by_statement(board.ledger.statements.values())
        for item in board.fleet.database.executed_statements:
            record = board.ledger.statements.get(item.statement_id)
            if record is None:
                continue
            key = board.ledger.sessions[record.session].key
            if item.workspace != board.operator.workspace_of(key):
                yield f"{item.statement_id} of {key} ran for {item.workspace}"
            if item.values != values[item.statement_id]:
                yield f"{item.statement_id} ran with {item.values}"


class WithdrawnKeyCheck:
    """No statement runs that was sent after its key had been withdrawn for the limit's time."""

    guarantee = "a withdrawn key stops"

    def find(self, board: SoakBoard) -> Iterator[str]:
        """Yield statements that ran too late."""
        withdrawn = board.operator.withdrawals()
        for item in board.fleet.database.received_statements:
            record = board.ledger.statements.get(item.statement_id)
            if record is None:
                continue
            key = board.ledger.sessions[record.session].key
            late_s = record.sent_at - withdrawn.get(key, record.sent_at) - KEY_WITHDRAWAL_LIMIT_S
            if late_s > 0:
                yield (
                    f"{item.statement_id} {item.text!r} of {key} at {record.vm}, sent "
                    f"{late_s:.2f} s after the limit"
                )


class StaleReadCheck:
    """Reads see the commits that were acknowledged before they were sent.

    A log's index is that of a commit in all copies, since a copy that was ahead of a promoted one
    is rolled back.
    """

    guarantee = "no read misses a commit that it must see"

    def find(self, board: SoakBoard) -> Iterator[str]:
        """Yield reads that missed a commit."""
        database = board.fleet.database
        indexes = {item: index for index, item in enumerate(database.newest_log())}
        commits = AcknowledgedCommits(board, indexes)
        for item in database.executed_statements:
            record = board.ledger.statements.get(item.statement_id)
            if record is None or not record.is_read():
                continue
            begin = board.ledger.statements[record.operation].sent_at
            max_age_s = MAX_AGE_S.get(board.ledger.sessions[record.session].database, 0.0)
            required = commits.newest_index("", begin - max_age_s)
            if board.ledger.sessions[record.session].database == "own":
                required = max(required, commits.newest_index(record.session, begin))
            if item.log_length <= required:
                yield (
                    f"{item.statement_id} {item.text!r} at {record.vm} saw {item.log_length} "
                    f"commits, not that of index {required}"
                )


class AcknowledgedCommits:
    """The acknowledged commits in the order of their acknowledgement, of all and by session."""

    __slots__ = ("_times", "_indexes")

    def __init__(self, board: SoakBoard, indexes: dict[str, int]) -> None:
        self._times: dict[str, list[float]] = {}
        self._indexes: dict[str, list[int]] = {}
        served = [record for record in board.ledger.statements.values() if record.is_served()]
        writes: dict[str, list[str]] = {}
        for record in served:
            writes.setdefault(record.operation, []).append(record.statement_id)
        for record in sorted(served, key=lambda item: item.ended_at):
            if record.text.startswith("BEGIN") or (
                record.in_transaction and record.text != "COMMIT"
            ):
                continue
            committed = [indexes[item] for item in writes[record.operation] if item in indexes]
            if committed:
                self._add("", record.ended_at, max(committed))
                self._add(record.session, record.ended_at, max(committed))

    def newest_index(self, session: str, moment: float) -> int:
        """Return the highest index acknowledged before a moment, to a session or to any; or -1."""
        position = bisect.bisect_left(self._times.get(session, []), moment)
        return self._indexes[session][position - 1] if position else -1

    def _add(self, session: str, moment: float, index: int) -> None:
        indexes = self._indexes.setdefault(session, [])
        self._times.setdefault(session, []).append(moment)
        indexes.append(max(index, indexes[-1] if indexes else -1))


class DrainCheck:
    """Endpoints that have announced their end for the limit's time get no new work.

    Statements in a transaction that was begun before may still reach them.
    """

    guarantee = "a leaving endpoint gets no new work"

    def find(self, board: SoakBoard) -> Iterator[str]:
        """Yield late statements of VMs without a disruption."""
        for item in board.fleet.database.received_statements:
            acknowledged_at = board.fleet.announcer.leaving.get(item.endpoint)
            record = board.ledger.statements.get(item.statement_id)
            if acknowledged_at is None or record is None or record.in_transaction:
                continue
            late_s = item.received_at - acknowledged_at - DRAIN_S
            if late_s > 0 and not board.ledger.is_disrupted(
                record.sent_at, item.received_at, CONTACT_S
            ):
                yield f"{item.statement_id} reached {item.endpoint} {late_s:.2f} s after the limit"


class ConfigurationCheck:
    """Valid versions are accepted, and what is read back is not older than acknowledged ones."""

    guarantee = "an acknowledged configuration is read back"

    def find(self, board: SoakBoard) -> Iterator[str]:
        """Yield refused versions, and readings that are too old or differ from what was sent."""
        operator = board.operator
        yield from (f"a valid version was refused: {item}" for item in operator.refused)
        for reading in operator.readings:
            version = reading.document["version"]
            newest = operator.newest_acknowledged(reading.sent_at - CONFIGURATION_LIMIT_S)
            if version < newest:
                yield f"{reading.address} returned version {version} after {newest}"
            if reading.document != operator.declared[version].document:
                yield f"{reading.address} returned another content of version {version}"


class OwnEndCheck:
    """No process ends unless it is stopped or killed."""

    guarantee = "no process ends by itself"

    def find(self, board: SoakBoard) -> Iterator[str]:
        """Yield processes that ended."""
        for item in board.exits:
            if item.expected_codes is None:
                yield f"{item.name} ended with {item.code} at {board.elapsed(item.time):.1f} s"


class StopCheck:
    """Planned stops end within the grace period, with the exit code 0."""

    guarantee = "planned stops end in time"

    def find(self, board: SoakBoard) -> Iterator[str]:
        """Yield stops with other exit codes."""
        for item in board.exits:
            if item.expected_codes is not None and item.code not in item.expected_codes:
                yield f"{item.name} ended with {item.code} at {board.elapsed(item.time):.1f} s"


class ServedCheck:
    """Callers are served in the last phase, and every VM accepts new ones."""

    guarantee = "callers are served after the faults"

    def find(self, board: SoakBoard) -> Iterator[str]:
        """Yield the share that was served, if it is too low, and VMs that are not ready."""
        if board.last_phase_at is None or not board.is_finished:
            return
        ended = [
            record
            for record in board.ledger.statements.values()
            if record.sent_at >= board.last_phase_at and record.ended_at
        ]
        served = [record for record in ended if record.is_served()]
        if not ended or len(served) < MIN_SERVED_SHARE * len(ended):
            yield f"{len(served)} of {len(ended)} statements served"
        for name in board.fleet.entry_addresses:
            if not board.fleet.is_entry_ready(name):
                yield f"{name} is not ready"


ALL_CHECKS: list[Check] = [
    StatementsCheck(),
    CutOffCheck(),
    UnchangedCheck(),
    SessionCheck(),
    WithdrawnKeyCheck(),
    StaleReadCheck(),
    DrainCheck(),
    ConfigurationCheck(),
    OwnEndCheck(),
    StopCheck(),
    ServedCheck(),
]


def run_checks(board: SoakBoard) -> None:
    """Run all checks once; record and print guarantees that are seen violated the first time."""
    for check in ALL_CHECKS:
        evidence = list(check.find(board))
        if not evidence:
            continue
        if check.guarantee not in board.violations:
            violation = Violation(check.guarantee, time.monotonic())
            board.violations[check.guarantee] = violation
            moment = board.elapsed(violation.time)
            print(f"  {moment:.1f} s BROKEN {check.guarantee}: {evidence[0]}", flush=True)
        board.violations[check.guarantee].evidence = evidence


def run_checks_regularly(board: SoakBoard) -> None:
    """Run the checks again and again, until the calling greenlet is killed."""
    while True:
        gevent.sleep(CHECK_INTERVAL_S)
        run_checks(board)


def _comparable(text: str) -> str:
    """Return a statement's text without a required position or the name of a prepared statement."""
    if text.startswith("WAITPOS "):
        text = text.split(" ", 2)[2]
    return "EXECUTE " + text.split(" ", 2)[2] if text.startswith("EXECUTE ") else text


def _values_by_statement(records: Iterable[StatementRecord]) -> dict[str, dict[str, str]]:
    """Return by statement the values that its session had set when it was sent."""
    by_session: dict[str, dict[str, str]] = {}
    by_statement: dict[str, dict[str, str]] = {}
    for record in records:
        values = by_session.get(record.session, {})
        by_statement[record.statement_id] = values
        if record.text.startswith("SET ") and record.is_served():
            _, name, value = record.text.split(" ", 2)
            by_session[record.session] = {**values, name: value}
    return by_statement
