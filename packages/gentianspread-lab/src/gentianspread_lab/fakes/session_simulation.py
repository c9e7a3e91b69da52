"""Deterministic simulation of a VM that serves sessions and of the endpoints behind it."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.log import SyncedRecords
from gentianspread_core.blackboard.messages import Proposal
from gentianspread_core.blackboard.outbox import (
    ConnectionClose,
    EndpointCommand,
    EndpointCommandKind,
    EndpointProbe,
    UnreachableReason,
)
from gentianspread_core.blackboard.requests import ExchangeStatus
from gentianspread_core.blackboard.sessions import (
    Session,
    SessionExchange,
    SessionReply,
    SessionRequest,
    SessionStatement,
    StatementCall,
)
from gentianspread_core.engine import Engine
from gentianspread_core.settings import CoreSettings

from .clock import FakeClock
from .declarations import GROUP, build_declaration
from .disk import FakeDisk
from .session_endpoint import FakeSessionEndpoint, endpoint_address

LATENCY_S = 0.001
PROMOTION_DURATION_S = 0.3


class ScheduledEvent:
    """An action scheduled for a simulated time in seconds; `number` breaks ties."""

    __slots__ = ("due", "number", "action")

    def __init__(self, due: float, number: int, action: Callable[[], None]) -> None:
        self.due = due
        self.number = number
        self.action = action

    def __lt__(self, other: ScheduledEvent) -> bool:
        return (self.due, self.number) < (other.due, other.number)


class NoOpWaiter:
    """Replaces the waiting greenlet, since the simulation executes exchanges itself."""

    __slots__ = ()

    def wake(self) -> None:
        """Do nothing."""

    def assign(self, request: Any) -> None:
        """Do nothing."""


class SessionSimulation:
    """A single VM that leads its own control log, and the endpoints of one group."""

    def __init__(
        self,
        seed: int = 1,
        endpoint_count: int = 3,
        slots: int = 3,
        statement_cost_s: float = 0.005,
        schedules_by_priority: bool = False,
    ):
        self.schedules_by_priority = schedules_by_priority
        self.clock = FakeClock()
        self.randomness = random.Random(seed)
        self.endpoints: dict[str, FakeSessionEndpoint] = {}
        self.promotions: list[tuple[str, int]] = []
        self.promotion_replies_to_lose = 0
        self.resume_commands_to_lose = 0
        self.disk = FakeDisk()
        self._events: list[ScheduledEvent] = []
        self._event_count = 0
        self._session_count = 0
        self.engine = self._new_engine()
        self.board = self.engine.board
        self.boards = [self.board]
        self._start()
        self.declare(1)
        for number in range(1, endpoint_count + 1):
            self.add_endpoint(
                FakeSessionEndpoint(f"b{number}", f"z{number}", slots, statement_cost_s)
            )
        next(iter(self.endpoints.values())).is_primary = True
        self._connect_replicas()
        self.run(2.0)

    def run(self, seconds: float) -> None:
        """Advance the clock by `seconds`, running everything that falls due."""
        end = self.clock.now() + seconds
        while True:
            self._flush_control_batches()
            due = self._next_due()
            if due is None or due > end:
                break
            self.clock.time = max(self.clock.time, due)
            while self._events and self._events[0].due <= self.clock.time:
                heapq.heappop(self._events).action()
            for board in self.boards:
                board.run_pending()
        self.clock.time = end

    def call_later(self, action: Callable[[], None], delay: float) -> None:
        """Schedule an action after a delay in seconds."""
        self._event_count += 1
        heapq.heappush(
            self._events, ScheduledEvent(self.clock.now() + delay, self._event_count, action)
        )

    def declare(
        self,
        version: int,
        rate: float = 10_000.0,
        burst: float = 10_000.0,
        keys: dict[str, list[str]] | None = None,
        timeout_s: float = 1.0,
        max_connections: int = 46,
        objectives_s: dict[str, float] | None = None,
        groups: dict[str, str] | None = None,
        priorities: dict[str, int] | None = None,
    ) -> None:
        """Declare the three databases, and the workspaces with the hashes of their keys.

        A route's objective is half of its timeout if `objectives_s` does not have its database.
        `groups` are by database, which are left out otherwise; the default is one for all.
        `priorities` are by database; those that are not of `DATABASES` are bounded."""
        declaration = build_declaration(
            version,
            rate,
            burst,
            keys if keys is not None else {"w1": ["k1"], "w2": ["k2"]},
            timeout_s,
            max_connections,
            objectives_s or {},
            groups or {},
            priorities or {},
        )
        self.propose(Command(CommandKind.DECLARE, declaration.to_record()))
        self.run(0.1)

    def add_endpoint(self, endpoint: FakeSessionEndpoint, leaving: bool = False) -> None:
        """Add an endpoint and register it in the control log."""
        self.endpoints[endpoint.name] = endpoint
        endpoint.call_later = self.call_later
        self.announce(endpoint, leaving, sequence=1)

    def announce(
        self,
        endpoint: FakeSessionEndpoint,
        leaving: bool,
        sequence: int,
        incarnation: int = 1,
        address: str = "",
    ) -> None:
        """Register an endpoint's announcement in the control log."""
        fields = {
            "name": endpoint.name,
            "address": address or endpoint_address(endpoint.name),
            "zone": endpoint.zone,
            "group": GROUP,
            "leaving": leaving,
            "connections": 1,
            "slots": endpoint.slots,
            "group_size": 0,
            "incarnation": incarnation,
            "sequence": sequence,
            "claims_primary": endpoint.is_primary,
        }
        self.propose(Command(CommandKind.REGISTER_ENDPOINT, fields))
        self.run(0.1)

    def propose(self, command: Command) -> list[Any]:
        """Propose a command; its outcome is appended to the returned list."""
        outcomes: list[Any] = []
        self.board.post(Topic.COMMAND_PROPOSED, Proposal(command, outcomes.append))
        return outcomes

    def open_session(self, database: str, key_hash: str = "k1") -> Session:
        """Open a session."""
        self._session_count += 1
        session = Session(self._session_count, database, key_hash)
        self.board.post(Topic.SESSION_OPENED, session)
        return session

    def send(self, session: Session, statement: SessionStatement) -> StatementCall:
        """Send a statement; its answer is set as the simulation runs."""
        call = StatementCall(session, statement, self.clock.now(), NoOpWaiter())
        self.board.post(Topic.STATEMENT_ARRIVED, call)
        return call

    def primary(self) -> FakeSessionEndpoint:
        """Return the primary."""
        return next(item for item in self.endpoints.values() if item.is_primary)

    def promote(self, name: str) -> None:
        """Make an endpoint the primary of the next term, as the platform's promotion call does."""
        for endpoint in self.endpoints.values():
            endpoint.is_primary = False
        target = self.endpoints[name]
        target.is_primary = True
        target.replication_paused = False
        for endpoint in self.endpoints.values():
            endpoint.term += 1
            endpoint.log, endpoint.log_term = list(target.log), target.log_term
            endpoint.applied = len(endpoint.log)
        self._connect_replicas()

    def _connect_replicas(self) -> None:
        for endpoint in self.endpoints.values():
            others = [item for item in self.endpoints.values() if item is not endpoint]
            endpoint.replicas = others if endpoint.is_primary else []

    def _new_engine(self) -> Engine:
        settings = CoreSettings("vm", "z1", "vm")
        settings.has_disk = True
        settings.initial_voters = ["vm"]
        settings.zones = ["z1"]
        settings.max_configuration_age_s = 3.8
        settings.records_initial_voters = True
        settings.voter_count = 1
        settings.schedules_by_priority = self.schedules_by_priority
        return Engine.for_sessions(settings, self.clock, self.randomness, self.clock.wall_ms)

    def _start(self) -> None:
        changes = self.board.changes
        changes.subscribe(
            Topic.INTENT_POSTED, lambda intent: self.execute_intent(self.board, intent)
        )
        changes.subscribe(
            Topic.EXCHANGE_SCHEDULED, lambda item: self.execute_exchange(self.board, item)
        )
        self.board.members.entry_vm_count = 4
        self.board.post(Topic.LOG_RECOVERED, self.disk.recover())
        self.board.post(Topic.CONTROL_STARTED, self.disk.hard_state)
        self.run(3.0)
        fields = {"name": "vm", "address": "vm", "zone": "z1", "has_disk": True}
        self.propose(Command(CommandKind.REGISTER_MEMBER, fields))
        self.run(5.0)

    def _flush_control_batches(self) -> None:
        while True:
            batch = self.board.outbox.take_control_batch()
            if batch.is_empty():
                return
            self.disk.write(batch)
            if batch.entries:
                last = batch.entries[-1]
                self.board.post(Topic.RECORDS_SYNCED, SyncedRecords(last.index, last.term))

    def _next_due(self) -> float | None:
        due_times = [board.changes.next_due() for board in self.boards]
        if self._events:
            due_times.append(self._events[0].due)
        pending = [due for due in due_times if due is not None]
        return min(pending) if pending else None

    def execute_exchange(self, board: Board, request: SessionRequest) -> None:
        """Execute an exchange of a board on the endpoint connection that it names."""
        exchange = request.exchange
        if not isinstance(exchange, SessionExchange):
            return
        endpoint = self.endpoints.get(exchange.endpoint)
        if endpoint is None or not endpoint.alive:
            reply = SessionReply(ExchangeStatus.NOT_SENT)
            self.call_later(lambda: self._end_exchange(board, request, exchange, reply), LATENCY_S)
            return
        if endpoint.is_unresponsive:
            self.call_later(
                lambda: self._lose_exchange(board, request, exchange), exchange.timeout_s
            )
            return
        now = self.clock.now()
        connection = connection_name(board, exchange.connection.number)
        for evicted in exchange.evicted:
            self.endpoints[evicted.endpoint].close(connection_name(board, evicted.number))
        start = now
        if connection not in endpoint.sessions:
            start = endpoint.reserve_slot(now, endpoint.connect_cost_s)
        done = endpoint.reserve_slot(start, endpoint.statement_cost_s)
        self.call_later(
            lambda: self._end_exchange(
                board, request, exchange, endpoint.execute(connection, exchange)
            ),
            max(done - now, 0.0) + LATENCY_S,
        )

    def _end_exchange(
        self,
        board: Board,
        request: SessionRequest,
        exchange: SessionExchange,
        reply: SessionReply,
    ) -> None:
        if self.clock.now() - exchange.sent_at > exchange.timeout_s:
            reply = SessionReply(ExchangeStatus.LOST)
            reply.was_sent = True
        exchange.reply = reply
        board.post(Topic.EXCHANGE_ENDED, request)

    def _lose_exchange(
        self, board: Board, request: SessionRequest, exchange: SessionExchange
    ) -> None:
        reply = SessionReply(ExchangeStatus.LOST)
        reply.was_sent = True
        exchange.reply = reply
        board.post(Topic.EXCHANGE_ENDED, request)

    def execute_intent(self, board: Board, intent: Any) -> None:
        """Execute an intent of a board."""
        if isinstance(intent, EndpointProbe):
            self.call_later(lambda: self._probe(board, intent), LATENCY_S)
        elif isinstance(intent, EndpointCommand):
            self.call_later(lambda: self._execute_command(intent), LATENCY_S)
        elif isinstance(intent, ConnectionClose):
            for endpoint in self.endpoints.values():
                endpoint.close(connection_name(board, intent.number))

    def _probe(self, board: Board, probe: EndpointProbe) -> None:
        endpoint = self.endpoints.get(probe.endpoint)
        if endpoint is not None and endpoint.alive and not endpoint.is_unresponsive:
            probe.alive = True
            probe.is_primary = endpoint.is_primary
            probe.position = endpoint.position()
            probe.sent_at = self.clock.now()
        probe.unreachable_reason = self._unreachable_reason(probe.endpoint)
        board.post(Topic.PROBE_ENDED, probe)

    def _unreachable_reason(self, name: str) -> UnreachableReason | None:
        endpoint = self.endpoints[name]
        if endpoint.alive:
            return None
        return (
            UnreachableReason.REPLACED if endpoint.is_replaced else UnreachableReason.NOT_LISTENING
        )

    def _execute_command(self, command: EndpointCommand) -> None:
        endpoint = self.endpoints[command.endpoint]
        if command.kind is EndpointCommandKind.PROMOTE:
            self.promotions.append((command.endpoint, command.fencing_token))
            self.call_later(lambda: self._end_promotion(command), PROMOTION_DURATION_S)
            return
        is_lost = (
            command.kind is EndpointCommandKind.RESUME_REPLICATION
            and self.resume_commands_to_lose > 0
        )
        if is_lost:
            self.resume_commands_to_lose -= 1
        elif not endpoint.alive:
            command.unreachable_reason = self._unreachable_reason(command.endpoint)
        else:
            command.accepted = True
            command.position = endpoint.position()
            if command.kind is EndpointCommandKind.PAUSE_REPLICATION:
                endpoint.replication_paused = True
            elif command.kind is EndpointCommandKind.RESUME_REPLICATION:
                endpoint.replication_paused = False
            else:
                endpoint.is_primary = False
        self.board.post(Topic.ENDPOINT_COMMAND_ENDED, command)

    def _end_promotion(self, command: EndpointCommand) -> None:
        newest = max(token for _, token in self.promotions)
        is_current = command.fencing_token >= newest and self.endpoints[command.endpoint].alive
        if is_current and not self.endpoints[command.endpoint].is_primary:
            self.promote(command.endpoint)
        command.accepted = is_current and not self.promotion_replies_to_lose
        if self.promotion_replies_to_lose:
            self.promotion_replies_to_lose -= 1
        self.board.post(Topic.ENDPOINT_COMMAND_ENDED, command)


def connection_name(board: Board, number: int) -> str:
    """Return the name of a VM's connection, unique among all VMs."""
    return f"{board.settings.member}-{number}"
