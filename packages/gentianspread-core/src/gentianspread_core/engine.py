"""Assembles the blackboard and the controllers of one VM."""

from __future__ import annotations

from typing import Any

from .blackboard import Board
from .blackboard.timeline import Timeline
from .controllers.acknowledgement import AcknowledgementController
from .controllers.admission import AccountingController, QueueingDelayLimit, ReportedAdmission
from .controllers.allocator import AllocatorController
from .controllers.balancing import (
    LoadController,
    OutlierController,
    SpreadOption,
    StaleLoadEstimator,
)
from .controllers.completion import CompletionController
from .controllers.configuration import ConfigurationController
from .controllers.dispatch import DispatchController
from .controllers.election import ElectionController
from .controllers.endpoints import EndpointController
from .controllers.evacuation import EvacuationController, EvacuationFilter
from .controllers.failover import FailoverController
from .controllers.health import HealthController
from .controllers.homes import HomeController
from .controllers.keys import KeyController
from .controllers.leases import LeaseController
from .controllers.limits import LimitController
from .controllers.observations import ObservationController
from .controllers.placement import PlacementController
from .controllers.placement.priority import PriorityWaiting
from .controllers.placement.regions import RegionFilter
from .controllers.policies import NearestReplica
from .controllers.promotion import PromotionController
from .controllers.registrationlog import RegistrationLogController
from .controllers.relays import RelayController
from .controllers.repair import RepairController
from .controllers.replication import ReplicationController
from .controllers.retries import PriorityRetryBudget, RetryBudget, UnlimitedRetries
from .controllers.routing import RoutingController
from .controllers.sessions import SessionController
from .controllers.shutdown import ShutdownController
from .controllers.transactions import TransactionController
from .controllers.warmup import (
    WarmupAllocatorController,
    WarmupController,
    WarmupFilter,
    WarmupGate,
)
from .interfaces import (
    Clock,
    Controller,
    DispatchGate,
    EndpointFilter,
    EndpointSelector,
    LoadEstimator,
    QueuePolicy,
    Randomness,
    ReplicaSelector,
)
from .invariants import InvariantController
from .invariants.session_rules import SESSION_COMPLETION_RULES, SESSION_DISPATCH_RULES
from .settings import CoreSettings


def _placement(
    board: Board, selector: EndpointSelector, estimator: LoadEstimator, gate: DispatchGate
) -> PlacementController:
    """Build the placement controller with the policies that the settings ask for."""
    others: list[EndpointFilter] = [
        RegionFilter(board, checks_relayed=True),
        WarmupFilter(board, checks_relayed=True),
    ]
    filters: list[EndpointFilter] = [
        EvacuationFilter(board, others),
        RegionFilter(board),
        WarmupFilter(board),
    ]
    if not board.settings.schedules_by_priority:
        return PlacementController(
            board, filters, selector=selector, estimator=estimator, gate=gate
        )
    return PlacementController(
        board,
        filters,
        selector=selector,
        estimator=estimator,
        waiting=PriorityWaiting(board),
        admission=ReportedAdmission(board),
        gate=gate,
    )


class Engine:
    """The blackboard and its controllers.

    Controllers subscribe in the order given, which is the order in which they handle a change.
    """

    __slots__ = ("board", "configuration", "invariants", "routing", "controllers")

    def __init__(
        self,
        board: Board,
        configuration: ConfigurationController,
        invariants: InvariantController,
        routing: RoutingController | None,
        controllers: list[Controller],
    ) -> None:
        self.board = board
        self.configuration = configuration
        self.invariants = invariants
        self.routing = routing
        self.controllers = controllers
        for controller in controllers:
            self._subscribe(controller)

    @classmethod
    def for_requests(
        cls,
        settings: CoreSettings,
        clock: Clock,
        randomness: Randomness,
        wall_clock: Any,
        replica_selector: ReplicaSelector | None = None,
        queue_policy: QueuePolicy | None = None,
    ) -> Engine:
        """Build the engine of a VM whose callers send independent requests.

        `wall_clock` returns milliseconds since the Unix epoch.
        """
        board = Board(settings, clock, Timeline(settings.member, wall_clock))
        configuration = ConfigurationController(board)
        invariants = InvariantController(board)
        routing = RoutingController(board, replica_selector or NearestReplica(board), queue_policy)
        controllers: list[Controller] = [
            ElectionController(board, randomness),
            ReplicationController(board),
            configuration,
            invariants,
            KeyController(board),
            LimitController(board, randomness),
            AllocatorController(board),
            EndpointController(board),
            TransactionController(board),
            routing,
            DispatchController(board),
            AcknowledgementController(board, RetryBudget()),
            FailoverController(board),
            RepairController(board),
            ShutdownController(board),
        ]
        return cls(board, configuration, invariants, routing, controllers)

    @classmethod
    def for_sessions(
        cls, settings: CoreSettings, clock: Clock, randomness: Randomness, wall_clock: Any
    ) -> Engine:
        """Build the engine of a VM whose callers open sessions on declared routes.

        `wall_clock` returns milliseconds since the Unix epoch.
        """
        board = Board(settings, clock, Timeline(settings.member, wall_clock))
        configuration = ConfigurationController(board)
        invariants = InvariantController(board, SESSION_DISPATCH_RULES, SESSION_COMPLETION_RULES)
        estimator = StaleLoadEstimator(board)
        selector = SpreadOption(board, estimator, randomness)
        gate = WarmupGate(board)
        controllers: list[Controller] = [
            ElectionController(board, randomness),
            ReplicationController(board),
            configuration,
            invariants,
            KeyController(board),
            LimitController(board, randomness),
            AllocatorController(board),
            LeaseController(board),
            HomeController(board),
            LoadController(board),
            OutlierController(board, estimator, randomness),
            EndpointController(
                board, QueueingDelayLimit(board) if settings.schedules_by_priority else None
            ),
            ObservationController(board),
            EvacuationController(board),
            WarmupAllocatorController(board),
            WarmupController(board, gate),
            _placement(board, selector, estimator, gate),
            CompletionController(
                board,
                PriorityRetryBudget() if settings.schedules_by_priority else UnlimitedRetries(),
            ),
            SessionController(board),
            AccountingController(board),
            RelayController(board),
            HealthController(board),
            PromotionController(board),
            RegistrationLogController(board),
            RepairController(board),
            ShutdownController(board),
        ]
        return cls(board, configuration, invariants, None, controllers)

    def _subscribe(self, controller: Controller) -> None:
        for topic, handler in controller.subscriptions().items():
            self.board.changes.subscribe(topic, handler)
