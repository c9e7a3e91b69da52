"""In-memory endpoint of the session simulation, which keeps the session state of connections.

The simulation promotes it, reserves its slots, and withholds its replies if it is unresponsive.
"""

from __future__ import annotations

import string
from collections.abc import Callable

from gentianspread_core.blackboard.requests import ExchangeStatus
from gentianspread_core.blackboard.sessions import SessionExchange, SessionReply
from gentianspread_core.blackboard.steps import SETUP_KINDS, Step, StepKind
from gentianspread_core.positions import Position

ENDPOINT_PORT = 5432


def endpoint_address(name: str) -> str:
    """Return the address that an endpoint announces; its name ends with a number up to 255."""
    return f"10.0.0.{int(name.lstrip(string.ascii_letters))}:{ENDPOINT_PORT}"


class FakeEndpointSession:
    """An endpoint's state of one connection, as opposed to a caller's session at a VM.

    `writes` holds the ids of the write statements of the open transaction, `term` the endpoint's
    term when it began.
    """

    __slots__ = (
        "workspace",
        "values",
        "prepared",
        "in_transaction",
        "is_read_only",
        "writes",
        "term",
    )

    def __init__(self, workspace: str) -> None:
        self.workspace = workspace
        self.values: dict[str, str] = {}
        self.prepared: dict[str, str] = {}
        self.in_transaction = False
        self.is_read_only = False
        self.writes: list[str] = []
        self.term = 0


class ExecutedStatement:
    """An executed statement: its session state, and how many log entries were applied then."""

    __slots__ = ("statement_id", "text", "workspace", "values", "in_transaction", "applied_count")

    def __init__(
        self, statement_id: str, text: str, session: FakeEndpointSession, applied_count: int
    ) -> None:
        self.statement_id = statement_id
        self.text = text
        self.workspace = session.workspace
        self.values = dict(session.values)
        self.in_transaction = session.in_transaction
        self.applied_count = applied_count


class FakeSessionEndpoint:
    """One endpoint; `log` holds the ids of committed writes, the first `applied` of them applied.

    The simulation reserves one of `slots` for the cost in seconds of each statement or new
    connection, and sets `replication_paused` by a VM's command. The fault fields: with
    `is_unresponsive` the simulation sends no reply, with `ignores_replication` the log does not
    grow, `next_statement_errors` fails the next statements and `next_setup_errors` the next
    messages that set values or prepare statements, `replies_to_lose` loses the next replies.
    `commits_under_way` are appended after each commit of a caller and before the reply to it; no
    replica has them before the next commit.
    """

    def __init__(
        self, name: str, zone: str, slots: int = 3, statement_cost_s: float = 0.005
    ) -> None:
        self.name = name
        self.zone = zone
        self.slots = slots
        self.statement_cost_s = statement_cost_s
        self.connect_cost_s = 0.012
        self.is_primary = False
        self.alive = True
        self.is_replaced = False
        self.replication_paused = False
        self.ignores_replication = False
        self.apply_lag_s = 0.0
        self.call_later: Callable[[Callable[[], None], float], None] | None = None
        self.is_unresponsive = False
        self.replicas: list[FakeSessionEndpoint] = []
        self.term = 1
        self.log_term = 1
        self.log: list[str] = []
        self.applied = 0
        self.max_connections = 46
        self.sessions: dict[str, FakeEndpointSession] = {}
        self.executed_statements: list[ExecutedStatement] = []
        self.connections_opened = 0
        self.lagging_refusals = 0
        self.next_statement_errors: list[str] = []
        self.next_setup_errors: list[str] = []
        self.replies_to_lose = 0
        self.commits_under_way = 0
        self.slot_free_at = [0.0] * slots

    def position(self) -> Position:
        """Return the position of the last applied log entry, with the term that it is from."""
        return Position(self.log_term, self.applied)

    def reserve_slot(self, now: float, seconds: float) -> float:
        """Reserve the slot that is free first; return the time at which the work is done."""
        slot = min(range(self.slots), key=lambda number: self.slot_free_at[number])
        done = max(now, self.slot_free_at[slot]) + seconds
        self.slot_free_at[slot] = done
        return done

    def close(self, connection: str) -> None:
        """Close a connection; its open transaction is rolled back."""
        self.sessions.pop(connection, None)

    def execute(self, connection: str, exchange: SessionExchange) -> SessionReply:
        """Execute the rounds of an exchange and return the reply."""
        reply = SessionReply(ExchangeStatus.LOST)
        if not self.alive:
            reply.was_sent = True
            return reply
        session = self.sessions.get(connection)
        if session is None:
            if len(self.sessions) >= self.max_connections:
                reply.status, reply.code = ExchangeStatus.REFUSED, "CONNLIMIT"
                return reply
            session = FakeEndpointSession(exchange.connection.workspace)
            self.sessions[connection] = session
            self.connections_opened += 1
        for steps in exchange.rounds:
            results = [(step, self._run(session, step, reply)) for step in steps]
            for step, error in results:
                if error:
                    session.in_transaction = False
                    session.writes.clear()
                    is_failed = error == "FAILED"
                    reply.status = ExchangeStatus.FAILED if is_failed else ExchangeStatus.REFUSED
                    reply.code = error
                    reply.position = self.position()
                    reply.is_reusable = step.kind not in SETUP_KINDS and error != "NOSTMT"
                    reply.keeps_transaction = False
                    return reply
        reply.status = ExchangeStatus.OK
        reply.position = self.position()
        reply.keeps_transaction = session.in_transaction
        reply.is_reusable = True
        if self.replies_to_lose:
            self.replies_to_lose -= 1
            self.close(connection)
            lost = SessionReply(ExchangeStatus.LOST)
            lost.was_sent = True
            return lost
        return reply

    def _run(self, session: FakeEndpointSession, step: Step, reply: SessionReply) -> str:
        if step.kind in SETUP_KINDS and self.next_setup_errors:
            return self.next_setup_errors.pop(0)
        if step.kind is StepKind.RESET:
            session.values.clear()
            session.prepared.clear()
        elif step.kind is StepKind.SET:
            session.values[step.name] = step.value
        elif step.kind is StepKind.PREPARE:
            session.prepared[step.name] = ("WRITE " if step.writes else "READ ") + step.value
        elif step.kind in (StepKind.BEGIN, StepKind.BEGIN_READ):
            return self._begin(session, step)
        elif step.kind is StepKind.ROLLBACK:
            session.in_transaction = False
            session.writes.clear()
        else:
            reply.was_sent = True
            return self._statement(session, step, reply)
        return ""

    def _begin(self, session: FakeEndpointSession, step: Step) -> str:
        if step.kind is StepKind.BEGIN and not self.is_primary:
            return "READONLY"
        if step.position is not None and not self.position().reaches(step.position):
            return "LAGGING"
        session.in_transaction = True
        session.is_read_only = step.kind is StepKind.BEGIN_READ
        session.term = self.term
        return ""

    def _statement(self, session: FakeEndpointSession, step: Step, reply: SessionReply) -> str:
        if self.next_statement_errors:
            return self.next_statement_errors.pop(0)
        if step.position is not None and not self.position().reaches(step.position):
            self.lagging_refusals += 1
            return "LAGGING"
        if step.name and step.name not in session.prepared:
            return "NOSTMT"
        text = session.prepared[step.name] if step.name else step.text
        is_write = text.startswith("WRITE")
        is_plain = session.in_transaction and not session.is_read_only
        has_lost_lead = not self.is_primary or (is_plain and session.term != self.term)
        is_empty_commit = step.text == "COMMIT" and not session.writes
        if (is_write or is_plain) and has_lost_lead and not is_empty_commit:
            return "READONLY"
        self.executed_statements.append(
            ExecutedStatement(step.statement_id, step.text, session, self.applied)
        )
        reply.rows = [] if is_write or step.text == "COMMIT" else ["row"]
        reply.signature = f"signed-{step.statement_id}"
        if step.text == "COMMIT":
            session.in_transaction = False
            self._append(session.writes)
            session.writes = []
        elif is_write and session.in_transaction:
            session.writes.append(step.statement_id)
        elif is_write:
            self._append([step.statement_id])
        return ""

    def _append(self, writes: list[str]) -> None:
        self.log.extend(writes)
        self.log_term = self.term if writes else self.log_term
        self.applied = len(self.log)
        for replica in self.replicas:
            if replica.alive and not (replica.replication_paused or replica.ignores_replication):
                replica.log, replica.log_term = list(self.log), self.log_term
                replica.apply(self.applied)
        for _ in range(self.commits_under_way):
            self.log.append(f"under-way-{len(self.log)}")
        self.applied = len(self.log)

    def apply(self, count: int) -> None:
        """Apply the first `count` entries of the log, after this endpoint's lag."""
        if self.apply_lag_s and self.call_later is not None:
            self.call_later(lambda: self._apply_now(count), self.apply_lag_s)
        else:
            self._apply_now(count)

    def _apply_now(self, count: int) -> None:
        self.applied = max(self.applied, count)
