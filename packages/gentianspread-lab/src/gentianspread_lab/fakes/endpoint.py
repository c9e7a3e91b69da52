"""In-memory endpoint with terms set by the VMs: a write appends a value, a read returns all."""

from __future__ import annotations

from gentianspread_core.blackboard.outbox import EndpointCommand, EndpointCommandKind, EndpointProbe
from gentianspread_core.blackboard.requests import (
    COMMIT_NEVER_RUNS,
    Exchange,
    ExchangeStatus,
    Reply,
    Request,
    StatementKind,
)
from gentianspread_core.positions import Position

from ..endpoint.records import Record, common_index, last_position, term_ends
from .clock import FakeClock


class FakeEndpoint:
    """One member of a group; the statement of a write is the value to append."""

    __slots__ = (
        "name",
        "clock",
        "log",
        "term",
        "role",
        "applied",
        "current_as_of",
        "primary_address",
        "transactions",
        "execution_counts",
        "leaving",
    )

    def __init__(self, name: str, clock: FakeClock) -> None:
        self.name = name
        self.clock = clock
        self.log: list[Record] = []
        self.term = 0
        self.role = "idle"
        self.applied = 0
        self.current_as_of = float("-inf")
        self.primary_address = ""
        self.transactions: dict[str, list[str]] = {}
        self.execution_counts: dict[str, int] = {}
        self.leaving = False

    def values(self) -> list[str]:
        """Return the visible values."""
        return [value for record in self.log[: self.applied] for value in record.statements]

    def execute(self, request: Request, exchange: Exchange) -> Reply:
        """Execute one exchange and return its reply."""
        if request.is_read():
            return self._read(request)
        if not (self.role == "primary" and self.term == exchange.term):
            return Reply(ExchangeStatus.REFUSED, code="not_primary")
        if request.kind is StatementKind.BEGIN:
            self.transactions[exchange.number] = []
            return Reply(ExchangeStatus.OK)
        if request.transaction is not None:
            return self._run_in_transaction(request)
        return self._write(request, [request.statement])

    def probe(self, probe: EndpointProbe) -> None:
        """Fill in the result of a probe."""
        probe.alive = True
        probe.term = self.term
        probe.position = last_position(self.log)
        probe.is_primary = self.role == "primary"
        probe.follows = self.role == "follower"

    def execute_command(self, command: EndpointCommand) -> None:
        """Execute a command and fill in its result."""
        if command.kind is EndpointCommandKind.FENCE:
            command.accepted = self._fence(command.term)
        elif command.kind is EndpointCommandKind.PROMOTE:
            command.accepted = self._promote(command.term)
        else:
            command.accepted = self._follow(command.term, command.primary_address)
        command.position = last_position(self.log)

    def position_in_term(self, term: int) -> Position | None:
        """Return the last record's position; none in another term or without records."""
        return last_position(self.log) if self.term == term and self.log else None

    def pull(self, primary: FakeEndpoint, count: int) -> None:
        """Receive up to `count` records from the primary and apply those received before."""
        if not (self.role == "follower" and primary.role == "primary"):
            return
        if primary.term != self.term:
            return
        self.applied = len(self.log)
        common = common_index(primary.log, term_ends(self.log))
        if common < len(self.log):
            del self.log[common:]
            self.applied = common
        self.log.extend(primary.log[common : common + count])
        if len(self.log) == len(primary.log):
            self.current_as_of = self.clock.now()

    def roll_back_transactions(self, prefix: str) -> None:
        """Roll back the transactions whose connection names start with a prefix."""
        for name in [name for name in self.transactions if name.startswith(prefix)]:
            del self.transactions[name]

    def crash(self) -> None:
        """Crash and restart: the log and the term survive, the role and the transactions do not."""
        self.role = "idle"
        self.transactions.clear()

    def _read(self, request: Request) -> Reply:
        visible = last_position(self.log[: self.applied])
        wanted = request.token.position(request.group) if request.token else Position(0, 0)
        if not visible.reaches(wanted):
            return Reply(ExchangeStatus.REFUSED, code="lagging")
        age = 0.0 if self.role == "primary" else self.clock.now() - self.current_as_of
        return Reply(ExchangeStatus.OK, rows=self.values(), position=visible, age=age)

    def _write(self, request: Request, values: list[str]) -> Reply:
        request_id = request.request_id or ""
        recorded = self._recorded_change_count(request.workspace, request_id)
        if recorded is not None:
            position = last_position(self.log)
            return Reply(ExchangeStatus.OK, changed=recorded, position=position, repeated=True)
        if request.kind is StatementKind.RESOLVE_COMMIT:
            self._append([], request.workspace, request_id, COMMIT_NEVER_RUNS)
            position = last_position(self.log)
            return Reply(ExchangeStatus.OK, changed=COMMIT_NEVER_RUNS, position=position)
        for value in values:
            self.execution_counts[value] = self.execution_counts.get(value, 0) + 1
        self._append(values, request.workspace, request_id)
        return Reply(ExchangeStatus.OK, changed=len(values), position=last_position(self.log))

    def _run_in_transaction(self, request: Request) -> Reply:
        name = (request.transaction or "").partition(".")[2]
        values = self.transactions.get(name)
        if values is None:
            return Reply(ExchangeStatus.REFUSED, code="no_transaction")
        if request.kind is StatementKind.COMMIT:
            del self.transactions[name]
            return self._write(request, values) if values else Reply(ExchangeStatus.OK)
        if request.kind is StatementKind.ROLLBACK:
            del self.transactions[name]
        elif request.kind is StatementKind.WRITE:
            values.append(request.statement)
        return Reply(ExchangeStatus.OK, rows=self.values() + values)

    def _recorded_change_count(self, workspace: str, request_id: str) -> int | None:
        """Return the number of values that a recorded request changed, or none."""
        for record in self.log:
            if request_id and (record.workspace, record.request_id) == (workspace, request_id):
                return record.changed
        return None

    def _append(
        self, values: list[str], workspace: str, request_id: str, changed: int | None = None
    ) -> None:
        count = len(values) if changed is None else changed
        record = Record(self.term, len(self.log) + 1, list(values), workspace, request_id, count)
        self.log.append(record)
        self.applied = len(self.log)

    def _fence(self, term: int) -> bool:
        if term <= self.term:
            return term == self.term and self.role == "fenced"
        self.term = term
        self.role = "fenced"
        self.transactions.clear()
        return True

    def _promote(self, term: int) -> bool:
        if term != self.term or self.role != "fenced":
            return self.role == "primary" and self.term == term
        self.role = "primary"
        self._append([], "", "")
        return True

    def _follow(self, term: int, primary_address: str) -> bool:
        if term < self.term or (self.role == "primary" and self.term == term):
            return False
        self.term = term
        self.role = "follower"
        self.primary_address = primary_address
        self.transactions.clear()
        return True
