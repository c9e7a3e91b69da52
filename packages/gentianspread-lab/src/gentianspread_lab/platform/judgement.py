"""Judges a ledger by what the endpoints received and committed."""

from __future__ import annotations

import math
from enum import Enum

from .database import DatabaseGroup, ReceivedStatement
from .ledger import Ending, Ledger, StatementRecord, StopRecord

NOT_RUN_ERRORS = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT")
LATE_STOP_FRACTION = 5 / 6  # statements that still run in the last sixth of the grace period
EARLY_SENT_S = 3.0  # may be cut if they were sent no later than this after the stop began
CONTACT_S = 4.0  # after a disruption; the fleet's VMs have no setting for it
LOSS_SLACK_S = 0.2  # a statement that reached no endpoint may be cut within this time
TIMEOUTS_S = {
    "slow": 2.0,
    "slow transaction": 2.0,
    "lasting transaction": 2.0,
}  # of the fleet's routes, by shape
DEFAULT_TIMEOUT_S = 1.0


class FindingKind(Enum):
    """Kinds of findings; those that are not in `BROKEN_KINDS` break no guarantee."""

    UNANSWERED = "passed to an endpoint, no complete answer"
    HELD = "not passed to an endpoint, no answer, later than the slack"
    REFUSED_BUT_KEPT = "refused with a promise, but kept"
    ACKNOWLEDGED_BUT_LOST = "acknowledged, but lost"
    LACKED_AT_PROMOTION = "acknowledged, but missing at a promoted endpoint"
    KEPT_UNASKED = "kept without the caller's commit"
    TWICE = "took effect twice"
    EXCUSED = "passed to an endpoint, no complete answer, as allowed"
    LEFT_UNREAD = "reached an open connection, but the VM never read it"
    CROSSED = "crossed the close, never ran"
    OPENING_CLOSED = "opening closed without an answer"


BROKEN_KINDS = (
    FindingKind.UNANSWERED,
    FindingKind.HELD,
    FindingKind.REFUSED_BUT_KEPT,
    FindingKind.ACKNOWLEDGED_BUT_LOST,
    FindingKind.LACKED_AT_PROMOTION,
    FindingKind.KEPT_UNASKED,
    FindingKind.TWICE,
)


class Finding:
    """One finding and its evidence."""

    __slots__ = ("kind", "subject", "evidence")

    def __init__(self, kind: FindingKind, subject: str, evidence: str) -> None:
        self.kind = kind
        self.subject = subject
        self.evidence = evidence

    def is_broken(self) -> bool:
        """Return whether the finding breaks a guarantee."""
        return self.kind in BROKEN_KINDS


def judge(ledger: Ledger, database: DatabaseGroup) -> list[Finding]:
    """Return all findings of a run whose callers and endpoints have ended."""
    received: dict[str, list[ReceivedStatement]] = {}
    for item in database.received_statements:
        received.setdefault(item.statement_id, []).append(item)
    findings = []
    for record in ledger.statements.values():
        if record.is_unanswered():
            finding = _judge_unanswered(ledger, record, received.get(record.statement_id, []))
            if finding is not None:
                findings.append(finding)
    findings += _judge_openings(ledger)
    findings += _judge_log(ledger, database)
    return findings


def count_by_kind(findings: list[Finding]) -> dict[FindingKind, int]:
    """Return how many findings there are of each kind that occurs."""
    counts: dict[FindingKind, int] = {}
    for finding in findings:
        counts[finding.kind] = counts.get(finding.kind, 0) + 1
    return counts


def _judge_unanswered(
    ledger: Ledger, record: StatementRecord, runs: list[ReceivedStatement]
) -> Finding | None:
    stop = ledger.stop_around(record.vm, record.ended_at)
    if stop is None or ledger.is_disrupted(record.sent_at, record.ended_at, CONTACT_S):
        return None
    kind = FindingKind.CROSSED
    if runs:
        is_excused = _is_excused(record, runs, stop)
        kind = FindingKind.EXCUSED if is_excused else FindingKind.UNANSWERED
    elif record.ended_at - record.sent_at > LOSS_SLACK_S:
        kind = _late_kind(record.ending)
    return Finding(kind, record.statement_id, _describe(record, runs, stop))


def _late_kind(ending: Ending) -> FindingKind:
    """Return the kind of a late end; a kernel resets a connection that has unread bytes."""
    return FindingKind.LEFT_UNREAD if ending is Ending.RESET else FindingKind.HELD


def _is_excused(record: StatementRecord, runs: list[ReceivedStatement], stop: StopRecord) -> bool:
    timeout_s = TIMEOUTS_S.get(record.shape, DEFAULT_TIMEOUT_S)
    if record.ended_at - record.sent_at >= timeout_s:
        return True
    last_sixth = stop.sent_at + LATE_STOP_FRACTION * stop.grace_period_s
    was_at_work = any((run.ended_at or math.inf) >= last_sixth for run in runs)
    return was_at_work and record.sent_at <= stop.sent_at + EARLY_SENT_S


def _describe(record: StatementRecord, runs: list[ReceivedStatement], stop: StopRecord) -> str:
    def offset(moment: float) -> str:
        return f"{moment - stop.sent_at:+.3f}" if moment else "never"

    ran = ", ".join(
        f"{run.endpoint} via {run.vm or 'unknown'} {offset(run.received_at)}.."
        f"{offset(run.ended_at)} {run.error or 'ok'}"
        for run in runs
    )
    place = "in a transaction" if record.in_transaction else "single"
    return (
        f"{record.shape}, {place}, {record.text!r} at {record.vm}: sent {offset(record.sent_at)}, "
        f"{record.ending.value} {offset(record.ended_at)}; ran: {ran or 'nowhere'}; "
        f"process ended {offset(stop.exited_at)}"
    )


def _judge_openings(ledger: Ledger) -> list[Finding]:
    findings = []
    for opening in ledger.openings:
        stop = ledger.stop_around(opening.vm, opening.ended_at)
        is_disrupted = ledger.is_disrupted(opening.sent_at, opening.ended_at, CONTACT_S)
        if opening.is_unanswered() and stop is not None and not is_disrupted:
            waited_s = opening.ended_at - opening.sent_at
            kind = FindingKind.OPENING_CLOSED
            if waited_s > LOSS_SLACK_S:
                kind = _late_kind(opening.ending)
            evidence = (
                f"{opening.shape} at {opening.vm}: sent {opening.sent_at - stop.sent_at:+.3f}, "
                f"{opening.ending.value} after {waited_s:.3f} s"
            )
            findings.append(Finding(kind, opening.session, evidence))
    return findings


def _judge_log(ledger: Ledger, database: DatabaseGroup) -> list[Finding]:
    log = database.newest_log()
    committed = set(log)
    findings = [
        Finding(FindingKind.TWICE, statement_id, f"{log.count(statement_id)} entries in the log")
        for statement_id in committed
        if len(log) != len(committed) and log.count(statement_id) > 1
    ]
    operations: dict[str, list[StatementRecord]] = {}
    for record in ledger.statements.values():
        operations.setdefault(record.operation, []).append(record)
    for operation, records in operations.items():
        findings += _judge_operation(operation, records, committed)
    findings += _judge_promotions(operations, database)
    return findings


def _judge_promotions(
    operations: dict[str, list[StatementRecord]], database: DatabaseGroup
) -> list[Finding]:
    """Find writes that a promoted endpoint lacked and that were acknowledged, before or after."""
    acknowledged = {
        item.statement_id: records[-1]
        for records in operations.values()
        if _is_answered(records[-1]) and _asks_to_commit(records)
        for item in records
    }
    findings = []
    for promotion in database.promotions:
        for statement_id in promotion.lacking:
            record = acknowledged.get(statement_id)
            if record is not None:
                evidence = (
                    f"{promotion.endpoint} led term {promotion.term}; acknowledged at {record.vm} "
                    f"{record.ended_at - promotion.time:+.3f} s from then, sent "
                    f"{record.sent_at - promotion.time:+.3f} s"
                )
                findings.append(Finding(FindingKind.LACKED_AT_PROMOTION, statement_id, evidence))
    return findings


def _judge_operation(
    operation: str, records: list[StatementRecord], committed: set[str]
) -> list[Finding]:
    """Compare what an operation's caller was told with what was committed."""
    is_acknowledged = _is_answered(records[-1])
    asked_to_commit = _asks_to_commit(records)
    writes = [item for item in records if item.text.startswith(("WRITE", "EXECUTE w"))]
    kept = [item.statement_id for item in writes if item.statement_id in committed]
    written = [item.statement_id for item in writes if _is_answered(item)]
    promised = any(item.error in NOT_RUN_ERRORS for item in records)
    findings = []
    if kept and promised:
        findings.append(Finding(FindingKind.REFUSED_BUT_KEPT, operation, ", ".join(kept)))
    if kept and not asked_to_commit:
        findings.append(Finding(FindingKind.KEPT_UNASKED, operation, ", ".join(kept)))
    lost = sorted(set(written) - set(kept))
    if asked_to_commit and is_acknowledged and lost:
        findings.append(Finding(FindingKind.ACKNOWLEDGED_BUT_LOST, operation, ", ".join(lost)))
    return findings


def _asks_to_commit(records: list[StatementRecord]) -> bool:
    """Return whether an operation is a single statement or a transaction that was committed."""
    return not records[0].text.startswith("BEGIN") or records[-1].text == "COMMIT"


def _is_answered(record: StatementRecord) -> bool:
    return record.ending is Ending.ANSWERED and not record.error
