"""One VM over fakes: an engine that can be killed, frozen, and started again from its disk."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.outbox import (
    EndpointCommand,
    EndpointProbe,
    ReplicaWatch,
    TransactionRelease,
)
from gentianspread_core.blackboard.rate_limits import TokenRequest
from gentianspread_core.blackboard.requests import Request
from gentianspread_core.controllers.replication import SyncedRecords
from gentianspread_core.engine import Engine
from gentianspread_core.settings import CoreSettings

from .disk import FakeDisk

if TYPE_CHECKING:
    from .simulation import Simulation

LATENCY_S = 0.001
THAW_CHECK_S = 0.05


class FakeVM:
    """One VM: an engine that can be killed and started again from its disk."""

    def __init__(
        self, simulation: Simulation, settings: CoreSettings, disk: FakeDisk | None
    ) -> None:
        self.simulation = simulation
        self.settings = settings
        self.disk = disk
        self.name = settings.member
        self.alive = False
        self.frozen = False
        self.has_failed = False
        self.incarnation = 0
        self.engine: Engine

    @property
    def board(self) -> Board:
        """Return the engine's board."""
        return self.engine.board

    def start(self) -> None:
        """Start with what the disk holds."""
        simulation = self.simulation
        self.alive = True
        self.frozen = False
        self.has_failed = False
        self.incarnation += 1
        self.settings.lost_votes = self._lost_votes()
        self.engine = Engine.for_requests(
            self.settings, simulation.clock, simulation.randomness, simulation.clock.wall_ms
        )
        if simulation.choice is not None:
            self.engine.routing.choice = simulation.choice(self.board)
        changes = self.board.changes
        changes.subscribe(Topic.INTENT_POSTED, self._on_intent)
        changes.subscribe(Topic.EXCHANGE_SCHEDULED, self._on_ordered)
        disk = self.disk or FakeDisk()
        self.board.post(Topic.LOG_RECOVERED, disk.recover())
        self.board.post(Topic.CONTROL_STARTED, disk.hard_state)

    def kill(self) -> None:
        """End at once; whatever was not synced is lost, and open transactions roll back."""
        self.alive = False
        for endpoint in self.simulation.endpoints.values():
            endpoint.drop_transactions(f"{self.name}-")

    def runs(self) -> bool:
        """Tell whether this VM does anything now."""
        return self.alive and not self.frozen

    def pump(self) -> None:
        """Sync the gathered control batch, then send its messages."""
        if not self.runs():
            return
        batch = self.board.outbox.take_control_batch()
        if batch.needs_sync() and (self.disk is None or not self.disk.write(batch)):
            self.has_failed = True
        if self.has_failed:
            return
        for message in batch.messages:
            self.simulation.send_message(message)
        if batch.entries:
            last = batch.entries[-1]
            self.board.post(Topic.RECORDS_SYNCED, SyncedRecords(last.index, last.term))

    def later(self, action: Callable[[], None], delay: float = LATENCY_S) -> None:
        """Do something later, unless this VM was killed meanwhile."""
        incarnation = self.incarnation

        def run() -> None:
            if self.frozen:
                self.simulation.later(run, THAW_CHECK_S)
            elif self.alive and self.incarnation == incarnation:
                action()

        self.simulation.later(run, delay)

    def _lost_votes(self) -> bool:
        """Tell whether a blank disk stands for votes that were given before."""
        if self.disk is None or not self.disk.is_blank():
            return False
        others = [vm for vm in self.simulation.vms.values() if vm is not self and vm.alive]
        return any(self.name in vm.board.configuration.joined_voters for vm in others)

    def _on_ordered(self, request: Request) -> None:
        self.later(lambda: self.simulation.exchange(self, request))

    def _on_intent(self, intent: Any) -> None:
        if isinstance(intent, EndpointProbe):
            self.later(lambda: self._probe(intent))
        elif isinstance(intent, EndpointCommand):
            self.later(lambda: self._order(intent))
        elif isinstance(intent, ReplicaWatch):
            self.later(lambda: self._watch(intent))
        elif isinstance(intent, TokenRequest):
            self.later(lambda: self.simulation.ask_tokens(self, intent))
        elif isinstance(intent, TransactionRelease) and intent.close:
            endpoint = self.simulation.endpoints[intent.endpoint]
            endpoint.transactions.pop(intent.transaction.partition(".")[2], None)

    def _probe(self, order: EndpointProbe) -> None:
        if self.simulation.reaches(self.name, order.endpoint):
            self.simulation.endpoints[order.endpoint].probe(order)
        self.later(lambda: self.board.post(Topic.PROBE_ENDED, order))

    def _order(self, order: EndpointCommand) -> None:
        if self.simulation.reaches(self.name, order.endpoint):
            self.simulation.endpoints[order.endpoint].obey(order)
        if not self.simulation.reaches(self.name, order.endpoint):
            order.accepted = False
        self.later(lambda: self.board.post(Topic.ENDPOINT_COMMAND_ENDED, order))

    def _watch(self, order: ReplicaWatch) -> None:
        if self.simulation.reaches(self.name, order.endpoint):
            order.reached = self.simulation.endpoints[order.endpoint].watch(order.term)
        self.later(lambda: self.board.post(Topic.REPLICA_WATCH_ENDED, order))
