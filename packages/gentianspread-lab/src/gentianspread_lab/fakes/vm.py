"""A simulated VM: an engine that can be killed, frozen, and restarted from its fake disk."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.log import SyncedRecords
from gentianspread_core.blackboard.outbox import (
    ControlBatch,
    EndpointCommand,
    EndpointProbe,
    HardState,
    ReplicaWatch,
    TransactionRelease,
)
from gentianspread_core.blackboard.rate_limits import TokenRequest
from gentianspread_core.blackboard.requests import Request
from gentianspread_core.engine import Engine
from gentianspread_core.settings import CoreSettings

from .disk import FakeDisk

if TYPE_CHECKING:
    from .simulation import Simulation

LATENCY_S = 0.001
FROZEN_RETRY_INTERVAL_S = 0.05


class FakeVM:
    """One VM; a frozen one keeps its state but runs nothing, like a process after SIGSTOP."""

    def __init__(
        self, simulation: Simulation, settings: CoreSettings, disk: FakeDisk | None
    ) -> None:
        self.simulation = simulation
        self.settings = settings
        self.disk = disk
        self.name = settings.member
        self.alive = False
        self.frozen = False
        self.unwritten_batch: ControlBatch | None = None
        self.incarnation = 0
        self.engine: Engine

    @property
    def board(self) -> Board:
        """Return the engine's board."""
        return self.engine.board

    def start(self) -> None:
        """Start a new engine from the state on the disk."""
        simulation = self.simulation
        self.alive = True
        self.frozen = False
        self.unwritten_batch = None
        self.incarnation += 1
        self.engine = Engine.for_requests(
            self.settings, simulation.clock, simulation.randomness, simulation.clock.wall_ms
        )
        if simulation.selector_factory is not None:
            self.engine.routing.replica_selector = simulation.selector_factory(self.board)
        changes = self.board.changes
        changes.subscribe(Topic.INTENT_POSTED, self._on_intent)
        changes.subscribe(Topic.EXCHANGE_SCHEDULED, self._on_exchange_scheduled)
        disk = self.disk or FakeDisk()
        if self.disk is not None and disk.is_blank():
            if simulation.is_first_start and self.name in self.settings.initial_voters:
                disk.hard_state = HardState.for_founder(self.settings.initial_voters)
            else:
                disk.hard_state = HardState.for_new_member(simulation.incarnation_randomness)
        self.board.post(Topic.LOG_RECOVERED, disk.recover())
        self.board.post(Topic.CONTROL_STARTED, disk.hard_state)

    def lose_disk(self) -> None:
        """Kill this VM and replace its disk with a blank one; it is started again separately."""
        self.kill()
        self.disk = FakeDisk()

    def kill(self) -> None:
        """Stop at once: unsynced state is lost, and open transactions are rolled back."""
        self.alive = False
        for endpoint in self.simulation.endpoints.values():
            endpoint.roll_back_transactions(f"{self.name}-")

    def is_running(self) -> bool:
        """Return whether this VM is neither killed nor frozen."""
        return self.alive and not self.frozen

    def flush_control_batch(self) -> None:
        """Sync the pending control batch, then send its messages.

        A batch that fails is written again at each call, and nothing is sent until it is synced.
        """
        if not self.is_running():
            return
        batch = self.unwritten_batch or self.board.outbox.take_control_batch()
        if batch.needs_sync() and (self.disk is None or not self.disk.write(batch)):
            self.unwritten_batch = batch
            return
        self.unwritten_batch = None
        for message in batch.messages:
            self.simulation.send_message(message)
        if batch.entries:
            last = batch.entries[-1]
            self.board.post(Topic.RECORDS_SYNCED, SyncedRecords(last.index, last.term))

    def call_later(self, action: Callable[[], None], delay: float = LATENCY_S) -> None:
        """Schedule an action for this VM; it waits while frozen and is dropped after a kill."""
        incarnation = self.incarnation

        def run() -> None:
            if self.frozen:
                self.simulation.call_later(run, FROZEN_RETRY_INTERVAL_S)
            elif self.alive and self.incarnation == incarnation:
                action()

        self.simulation.call_later(run, delay)

    def _on_exchange_scheduled(self, request: Request) -> None:
        self.call_later(lambda: self.simulation.execute_exchange(self, request))

    def _on_intent(self, intent: Any) -> None:
        if isinstance(intent, EndpointProbe):
            self.call_later(lambda: self._probe(intent))
        elif isinstance(intent, EndpointCommand):
            self.call_later(lambda: self._execute_command(intent))
        elif isinstance(intent, ReplicaWatch):
            self.call_later(lambda: self._watch(intent))
        elif isinstance(intent, TokenRequest):
            self.call_later(lambda: self.simulation.request_tokens(self, intent))
        elif isinstance(intent, TransactionRelease) and intent.close:
            endpoint = self.simulation.endpoints[intent.endpoint]
            endpoint.transactions.pop(intent.transaction.partition(".")[2], None)

    def _probe(self, probe: EndpointProbe) -> None:
        if self.simulation.can_reach(self.name, probe.endpoint):
            self.simulation.endpoints[probe.endpoint].probe(probe)
        self.call_later(lambda: self.board.post(Topic.PROBE_ENDED, probe))

    def _execute_command(self, command: EndpointCommand) -> None:
        """Have an endpoint execute a command, or execute it late and without an answer."""
        if not self.simulation.can_reach(self.name, command.endpoint):
            command.accepted = False
        elif command.kind in self.simulation.late_command_kinds:
            self.simulation.call_later(
                lambda: self._execute_late(command), self.simulation.command_delay_s
            )
            command.accepted = False
            self.call_later(
                lambda: self.board.post(Topic.ENDPOINT_COMMAND_ENDED, command), command.timeout_s
            )
            return
        else:
            self.simulation.endpoints[command.endpoint].execute_command(command)
        self.call_later(lambda: self.board.post(Topic.ENDPOINT_COMMAND_ENDED, command))

    def _execute_late(self, command: EndpointCommand) -> None:
        """Execute a copy of a command, as its sender has given it up."""
        late = EndpointCommand(
            command.kind,
            command.endpoint,
            command.address,
            command.group,
            command.term,
            command.primary_address,
            command.timeout_s,
        )
        self.simulation.endpoints[command.endpoint].execute_command(late)

    def _watch(self, watch: ReplicaWatch) -> None:
        if self.simulation.can_reach(self.name, watch.endpoint):
            watch.reached = self.simulation.endpoints[watch.endpoint].position_in_term(watch.term)
        self.call_later(lambda: self.board.post(Topic.REPLICA_WATCH_ENDED, watch))
