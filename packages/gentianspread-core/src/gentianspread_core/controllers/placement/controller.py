"""Placement controller: chooses an endpoint and a connection for each request of a session.

A request in a transaction stays on the transaction's connection. Any other request goes to the
eligible endpoint with the lowest expected latency, or waits in a fair queue until one has capacity.

The homes of an endpoint are the VMs that hold the connections to it; see `blackboard.homes`. The
other VMs relay statements to them.
"""

from __future__ import annotations

from typing import Any

from ...blackboard import Board, Topic
from ...blackboard.connections import BackendConnection, ConnectionState
from ...blackboard.endpoints import Endpoint
from ...blackboard.evacuations import ZoneEvacuation
from ...blackboard.outbox import PoolFlush
from ...blackboard.queues import WaitingQueue
from ...blackboard.requests import StatementKind
from ...blackboard.sessions import (
    SessionExchange,
    SessionReply,
    SessionRequest,
    SessionTransaction,
)
from ...errors import ErrorCode
from ...interfaces import (
    AdmissionPolicy,
    DispatchGate,
    EndpointFilter,
    EndpointSelector,
    LoadEstimator,
    WaitingPolicy,
)
from ..admission import AdmitAll
from ..admission.admission import RELAYED_READ_TIMEOUT_FRACTION
from ..commits import CommitGuard
from ..keys import check_key, key_decision
from ..steps import plan_rounds
from .candidates import Candidates
from .costs import EndpointCosts
from .exclusions import Exclusions
from .pool import ConnectionPool
from .selection import CheapestOption, ServingOption
from .waiting import FairWaiting, GroupQueues

READ_TIMEOUT_FRACTION = 0.5  # of the objective; the other half is left for another endpoint
MIN_READ_TIMEOUT_LATENCIES = 5.0  # times the endpoint's latency; a slow endpoint is not a dead one


class PlacementController:
    """Owns the connections, the queues, and the `endpoint` and `exchange` fields of requests."""

    __slots__ = (
        "board",
        "candidates",
        "exclusions",
        "gate",
        "pool",
        "queues",
        "selector",
        "waiting",
        "admission",
        "commits",
        "_costs",
    )

    def __init__(
        self,
        board: Board,
        filters: list[EndpointFilter] | None = None,
        selector: EndpointSelector | None = None,
        waiting: WaitingPolicy | None = None,
        admission: AdmissionPolicy | None = None,
        estimator: LoadEstimator | None = None,
        gate: DispatchGate | None = None,
    ) -> None:
        self.board = board
        self.candidates = Candidates(board, filters or [])
        self.exclusions = Exclusions(board, self.candidates)
        self.pool = ConnectionPool(board)
        self.queues = GroupQueues(board)
        self.selector = selector or CheapestOption()
        self.waiting = waiting or FairWaiting(board)
        self.gate = gate
        self.admission = admission or AdmitAll()
        self.commits = CommitGuard(board)
        self._costs = EndpointCosts(board, estimator)

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.REQUEST_PERMITTED: self.on_permitted,
            Topic.REQUEST_RETRIED: self.on_permitted,
            Topic.REQUEST_EXPIRED: self.on_expired,
            Topic.EXCHANGE_ENDED: self.on_exchange_ended,
            Topic.TRANSACTION_ENDED: self.on_transaction_ended,
            Topic.ENDPOINT_CHANGED: self.on_endpoint_changed,
            Topic.CONFIGURATION_CHANGED: self.on_configuration,
            Topic.INTENT_POSTED: self.on_intent,
            Topic.HOMES_CHANGED: self.on_homes,
            Topic.EVACUATION_PHASE_BEGAN: self.on_evacuation_phase,
        }

    def on_permitted(self, request: SessionRequest) -> None:
        """Start the exchange of a request, or enqueue the request."""
        if request.outcome is not None or request.kind is StatementKind.BEGIN:
            return
        if not self._check_deadline_and_key(request):
            self.board.changes.post(Topic.REQUEST_REFUSED, request)
            return
        transaction = request.session.transaction
        if transaction is not None and transaction.connection is not None:
            bound = transaction.connection
            if self.exclusions.refuse_overdue_transaction(request, bound.endpoint):
                return
            if bound.home is not None or self._may_send(request, bound.endpoint):
                self._start_exchange(request, bound, [])
        elif request.kind is StatementKind.ROLLBACK:
            self.board.changes.post(Topic.REQUEST_NEEDS_NO_ENDPOINT, request)
        elif not self._try_place(request):
            self._enqueue(request)

    def on_expired(self, request: SessionRequest) -> None:
        """Refuse a request that was still queued when its time to wait ended."""
        has_run = request.holds_connection or request.is_withheld
        if request.outcome is None and request.refusal is None and not has_run:
            request.refuse(
                ErrorCode.DEADLINE_PASSED, f"No endpoint of {request.group} was free in time."
            )
            self.board.changes.post(Topic.REQUEST_REFUSED, request)

    def on_exchange_ended(self, request: SessionRequest) -> None:
        """Bind, release or close the connection, depending on how its exchange ended."""
        exchange = request.exchange
        if not isinstance(exchange, SessionExchange):
            return
        reply = exchange.reply
        connection = exchange.connection
        request.holds_connection = False
        connection.last_used = self.board.clock.now()
        connection.is_opening = False
        if not isinstance(reply, SessionReply) or not reply.is_reusable:
            self.pool.remove(connection)
        self._update_running(request, -1)
        transaction = request.session.transaction
        if transaction is not None and not request.session.closed:
            self._bind_transaction(transaction, connection, reply)
        elif isinstance(reply, SessionReply) and reply.keeps_transaction:
            self.pool.close(connection)
        else:
            self.pool.release(connection)
        self._drain_group(request.group)

    def on_transaction_ended(self, transaction: SessionTransaction) -> None:
        """Detach a transaction's connection; close it if the transaction may be open on it."""
        connection = transaction.connection
        transaction.connection = None
        if connection is None or connection.state is ConnectionState.CLOSED:
            return
        if connection.state is ConnectionState.IN_TRANSACTION:
            self.pool.close(connection)
        self._drain_group(connection.group)

    def on_endpoint_changed(self, endpoint: Endpoint) -> None:
        """Retry the queued requests of the endpoint's group."""
        self._drain_group(endpoint.group)

    def on_configuration(self, revision: int) -> None:
        """Close idle connections to leaving, removed or moved endpoints; retry queued requests."""
        known = self.board.configuration.endpoints
        for name, connections in list(self.board.connections.by_endpoint.items()):
            registration = known.get(name)
            for connection in list(connections):
                is_gone = registration is None or registration.address != connection.address
                should_close = is_gone or registration.leaving
                if should_close and connection.state is ConnectionState.IDLE:
                    self.pool.close(connection)
        self._drain_all()

    def on_evacuation_phase(self, _evacuation: ZoneEvacuation) -> None:
        """Place the queued requests elsewhere, or refuse them if no endpoint is allowed."""
        self._drain_all()

    def on_homes(self, _entry: None) -> None:
        """Close idle connections to endpoints that this VM is not a home of."""
        for connections in list(self.board.connections.by_endpoint.values()):
            for connection in list(connections):
                if connection.state is ConnectionState.IDLE and not self.pool.is_home(connection):
                    self.pool.close(connection)

    def on_intent(self, intent: object) -> None:
        """Close an endpoint's idle connections that were last used before a flush."""
        if not isinstance(intent, PoolFlush):
            return
        for connection in list(self.board.connections.of(intent.endpoint)):
            is_idle = connection.state is ConnectionState.IDLE
            if is_idle and connection.last_used < intent.before:
                self.pool.close(connection)

    def _check_deadline_and_key(self, request: SessionRequest) -> bool:
        if request.kind is StatementKind.ROLLBACK:
            return True
        if request.session.closed:
            # Its transaction has ended, and outside it a write would be committed.
            request.refuse(ErrorCode.TRANSACTION_UNKNOWN, "The caller has left.")
            return False
        now = self.board.clock.now()
        is_late = now >= (
            request.deadline if request.has_bound_transaction() else request.wait_deadline
        )
        if is_late:
            request.refuse(ErrorCode.DEADLINE_PASSED, "The deadline passed before dispatch.")
            return False
        is_allowed = request.open_route is not None or check_key(self.board, request)
        return is_allowed and not self.commits.refuse_without_lease(request)

    def _try_place(self, request: SessionRequest) -> bool:
        """Start the request on the cheapest endpoint, or refuse it; return false if it must wait.

        It is left to the gate if that does not let it pass. It is refused if filters exclude all
        endpoints, or if every home VM would keep it too long. It waits if no endpoint has capacity,
        or if a connection of its workspace is expected to become free sooner than any other way
        could serve it.
        """
        candidates = self.candidates.of_request(request)
        if self.board.loads.is_reported:
            candidates = self._costs.without_lagging(request, candidates)
        options = self._options(request, candidates)
        if candidates and not options:
            reason = f"Every home VM of {request.group} reports a wait that is too long."
            self._refuse_overloaded([request], reason)
            return True
        option = self.selector.choose(request, options)
        waiting = self.waiting.count_before(self.queues.of_request(request), request)
        if option is None:
            return not candidates and self.exclusions.refuse_unusable(request)
        waits_at_home = option.home is not None and self.board.settings.schedules_by_priority
        if (
            not waits_at_home
            and self._costs.waiting_cost(request, candidates, waiting) < option.cost
        ):
            return False
        if option.home is not None:
            connection = self.pool.add_relayed(request, option.endpoint, option.home)
            self._start_exchange(request, connection, [])
            return True
        if not self._may_send(request, option.endpoint.name):
            return True
        connection, evicted = self.pool.acquire(request, option.endpoint)
        self._start_exchange(request, connection, evicted)
        return True

    def _may_send(self, request: SessionRequest, endpoint: str) -> bool:
        return self.gate is None or self.gate.try_pass(request, endpoint)

    def _options(self, request: SessionRequest, candidates: list[Endpoint]) -> list[ServingOption]:
        """Return the ways that admission allows to serve a request now, with expected costs."""
        options = []
        for endpoint in candidates:
            home = self.candidates.relay_target(request, endpoint)
            if not self.admission.admits(request, endpoint, home):
                continue
            load_s = self._costs.reported_load_s(request, endpoint, home)
            cost = self._costs.serving_cost(request, endpoint, home, load_s)
            options.append(ServingOption(endpoint, home, cost, load_s or 0.0))
        return options

    def _start_exchange(
        self,
        request: SessionRequest,
        connection: BackendConnection,
        evicted: list[BackendConnection],
    ) -> None:
        now = self.board.clock.now()
        rounds, proves_primary = plan_rounds(request, connection)
        number = f"{self.board.settings.member}-{request.number}-{request.attempts}"
        timeout_s = self._exchange_timeout(request, connection, now)
        exchange = SessionExchange(
            number, connection.endpoint, now, timeout_s, connection, evicted, rounds
        )
        exchange.revision = self.board.configuration.revision
        exchange.position_before = self.board.observations.newest_position(request.group)
        exchange.proves_primary = proves_primary
        exchange.key_decision = key_decision(self.board, request)
        transaction = request.session.transaction
        exchange.opens_transaction = transaction is not None and transaction.connection is None
        connection.state = ConnectionState.BUSY
        request.endpoint = connection.endpoint
        request.exchange = exchange
        request.attempts += 1
        request.holds_connection = True
        self._update_running(request, 1)
        self.board.changes.post(Topic.EXCHANGE_SCHEDULED, request)

    def _exchange_timeout(
        self, request: SessionRequest, connection: BackendConnection, now: float
    ) -> float:
        """Return the timeout of an exchange; that of a read leaves time for another endpoint.

        It ends before a planned stop does, so that the caller is answered.
        """
        remaining = min(request.deadline, self.board.shutdown.ends_at) - now
        endpoint = self.board.endpoints.by_name.get(connection.endpoint)
        if not request.is_standalone_read() or endpoint is None:
            return remaining
        waits_in_order = self.board.settings.schedules_by_priority and connection.home is not None
        fraction = RELAYED_READ_TIMEOUT_FRACTION if waits_in_order else READ_TIMEOUT_FRACTION
        timeout = fraction * request.route.objective
        return min(remaining, max(timeout, MIN_READ_TIMEOUT_LATENCIES * endpoint.latency))

    def _bind_transaction(
        self, transaction: SessionTransaction, connection: BackendConnection, reply: Any
    ) -> None:
        """Keep the connection bound to its transaction while that is open at the endpoint."""
        if connection.state is ConnectionState.CLOSED:
            transaction.connection = None
        elif reply.keeps_transaction:
            connection.state = ConnectionState.IN_TRANSACTION
            transaction.connection = connection
        else:
            self.pool.release(connection)
            transaction.connection = None

    def _update_running(self, request: SessionRequest, change: int) -> None:
        running = self.queues.of_request(request).running
        count = running.get(request.workspace, 0) + change
        if count > 0:
            running[request.workspace] = count
        else:
            running.pop(request.workspace, None)

    def _enqueue(self, request: SessionRequest) -> None:
        if request.timer is None:
            request.timer = self.board.changes.post_at(
                request.wait_deadline, Topic.REQUEST_EXPIRED, request
            )
        if self.exclusions.refuse_hopeless(request):
            return
        if request.relayed_statement is not None and not self.candidates.of_request(request):
            request.refuse(
                ErrorCode.NO_ENDPOINT, f"{request.relayed_statement.endpoint} gives no answer."
            )
            self.board.changes.post(Topic.REQUEST_REFUSED, request)
            return
        if self.candidates.lacks_usable_primary(request):
            request.refuse(ErrorCode.NO_ENDPOINT, f"{request.group} has no primary at present.")
            self.board.changes.post(Topic.REQUEST_REFUSED, request)
            return
        queue = self.queues.of_request(request)
        reason = f"Too many requests wait for {request.group}."
        self._refuse_overloaded(self.waiting.push(queue, request), reason)
        self._refuse_overdue(queue)

    def _refuse_overdue(self, queue: WaitingQueue) -> None:
        """Refuse what waits in a queue and cannot be served in time any more."""
        overdue = self.waiting.drop_overdue(queue)
        self._refuse_overloaded(
            overdue, "More urgent or earlier requests take until it is too late."
        )

    def _refuse_overloaded(self, requests: list[SessionRequest], reason: str) -> None:
        for request in requests:
            request.refuse(ErrorCode.OVERLOADED, reason)
            self.board.changes.post(Topic.REQUEST_REFUSED, request)

    def _drain_all(self) -> None:
        for group in {*self.board.queues.reads, *self.board.queues.writes}:
            self._drain_group(group)
        for queue in self.board.queues.pinned.values():
            self._drain_queues([queue])

    def _drain_group(self, group: str) -> None:
        """Retry the queued requests of a group."""
        for queues in self.waiting.merge(self.queues.of_group(group)):
            self._drain_queues(queues)

    def _drain_queues(self, queues: list[WaitingQueue]) -> None:
        """Dispatch queued requests, one of each key in turn, until none can be placed."""
        for queue in queues:
            self._refuse_overdue(queue)
        is_placed = any(queue.length > 0 for queue in queues)
        while is_placed:
            is_placed = False
            for queue, key in self.waiting.turns(queues):
                is_placed = self._dispatch_next(queue, key) or is_placed

    def _dispatch_next(self, queue: WaitingQueue, key: str) -> bool:
        """Dispatch one queued request; return false if it must stay queued."""
        request = self.waiting.take(queue, key)
        if request.outcome is not None or request.refusal is not None:
            return True
        if not self._check_deadline_and_key(request):
            self.board.changes.post(Topic.REQUEST_REFUSED, request)
            return True
        if self._try_place(request) or self.exclusions.refuse_hopeless(request):
            return True
        self.waiting.put_back(queue, key, request)
        return False
