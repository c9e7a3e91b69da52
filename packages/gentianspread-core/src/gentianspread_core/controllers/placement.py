"""Placement controller: chooses an endpoint and a connection for each request of a session.

A request in a transaction stays on the transaction's connection. Any other request goes to the
eligible endpoint with the lowest expected latency, or waits in a fair queue until one has capacity.

The homes of an endpoint are the VMs that hold the connections to it; see `blackboard.homes`. The
other VMs relay statements to them.
"""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.connections import BackendConnection, ConnectionState
from ..blackboard.declarations import Consistency
from ..blackboard.endpoints import Endpoint
from ..blackboard.homes import ServingVM
from ..blackboard.outbox import ConnectionClose, PoolFlush
from ..blackboard.queues import WaitingQueue
from ..blackboard.requests import StatementKind
from ..blackboard.sessions import (
    SessionExchange,
    SessionReply,
    SessionRequest,
    SessionTransaction,
)
from ..errors import ErrorCode
from ..positions import Position, max_position
from .costs import EndpointCosts
from .keys import check_key
from .policies import FairQueue
from .steps import plan_rounds

MAX_QUEUE_LENGTH = 512  # requests per queue of a group; bounds the memory of a VM under overload
MAX_QUEUED_PER_WORKSPACE = 64  # requests per queue of a group; same as in the ordinary preset
DISPATCH_DELAY_MARGIN_S = 0.05  # from choosing the endpoint until the request reaches it
OVERLOAD_WAIT_FRACTION = 0.5  # of the objective, missed if the exchange then takes the other half
READ_TIMEOUT_FRACTION = 0.5  # of the objective; the other half is left for another endpoint
MIN_READ_TIMEOUT_LATENCIES = 5.0  # times the endpoint's latency; a slow endpoint is not a dead one
MIN_FAILOVER_S = 0.7  # two failed probes, a round of commands to replicas, and the promotion call
MAX_FAILOVER_S = 2.0  # after this time without a primary, no new one is expected


class PlacementController:
    """Owns the connections, the queues, and the `endpoint` and `exchange` fields of requests."""

    __slots__ = ("board", "_costs", "_fair_queue", "_connection_count")

    def __init__(self, board: Board) -> None:
        self.board = board
        self._costs = EndpointCosts(board)
        self._fair_queue = FairQueue(MAX_QUEUED_PER_WORKSPACE)
        self._connection_count = 0

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
            self._start_exchange(request, transaction.connection, [])
        elif request.kind is StatementKind.ROLLBACK:
            self.board.changes.post(Topic.REQUEST_NEEDS_NO_ENDPOINT, request)
        elif not self._try_place(request):
            self._enqueue(request)

    def on_expired(self, request: SessionRequest) -> None:
        """Refuse a request that was still queued when its time to wait ended."""
        if request.outcome is None and request.refusal is None and not request.holds_connection:
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
        if not isinstance(reply, SessionReply) or not reply.is_reusable:
            self._remove_connection(connection)
        self._update_running(request, -1)
        transaction = request.session.transaction
        if transaction is not None and not request.session.closed:
            self._bind_transaction(transaction, connection, reply)
        elif isinstance(reply, SessionReply) and reply.keeps_transaction:
            self._close_connection(connection)
        else:
            self._release_connection(connection)
        self._drain_group(request.group)

    def on_transaction_ended(self, transaction: SessionTransaction) -> None:
        """Detach a transaction's connection; close it if the transaction may be open on it."""
        connection = transaction.connection
        transaction.connection = None
        if connection is None or connection.state is ConnectionState.CLOSED:
            return
        if connection.state is ConnectionState.IN_TRANSACTION:
            self._close_connection(connection)
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
                    self._close_connection(connection)
        for group in {*self.board.queues.reads, *self.board.queues.writes}:
            self._drain_group(group)
        for queue in self.board.queues.pinned.values():
            self._drain_queue(queue)

    def on_homes(self, _entry: None) -> None:
        """Close idle connections to endpoints that this VM is not a home of."""
        for connections in list(self.board.connections.by_endpoint.values()):
            for connection in list(connections):
                if connection.state is ConnectionState.IDLE and not self._is_home(connection):
                    self._close_connection(connection)

    def on_intent(self, intent: object) -> None:
        """Close an endpoint's idle connections that were last used before a flush."""
        if not isinstance(intent, PoolFlush):
            return
        for connection in list(self.board.connections.of(intent.endpoint)):
            is_idle = connection.state is ConnectionState.IDLE
            if is_idle and connection.last_used < intent.before:
                self._close_connection(connection)

    def _check_deadline_and_key(self, request: SessionRequest) -> bool:
        if request.kind is StatementKind.ROLLBACK:
            return True
        now = self.board.clock.now()
        is_late = now >= (
            request.deadline if request.has_bound_transaction() else request.wait_deadline
        )
        if is_late:
            request.refuse(ErrorCode.DEADLINE_PASSED, "The deadline passed before dispatch.")
            return False
        return request.open_route is not None or check_key(self.board, request)

    def _try_place(self, request: SessionRequest) -> bool:
        """Start the request on the cheapest endpoint; return false if it must wait.

        It waits if no endpoint has capacity, or if a connection of its workspace is expected to
        become free sooner than any other way could serve it.
        """
        candidates = self._candidates(request)
        best: Endpoint | None = None
        best_home: ServingVM | None = None
        best_cost = float("inf")
        for endpoint in candidates:
            home = self._relay_target(request, endpoint)
            cost = self._costs.serving_cost(request, endpoint, home)
            if cost < best_cost:
                best, best_home, best_cost = endpoint, home, cost
        workspace_queue = self._queue_for(request).by_workspace.get(request.workspace)
        waiting = len(workspace_queue) if workspace_queue else 0
        if best is None or self._costs.waiting_cost(request, candidates, waiting) < best_cost:
            return False
        if best_home is not None:
            self._start_exchange(request, self._relay_connection(request, best, best_home), [])
            return True
        connection, evicted = self._acquire_connection(request, best)
        self._start_exchange(request, connection, evicted)
        return True

    def _relay_target(self, request: SessionRequest, endpoint: Endpoint) -> ServingVM | None:
        """Return the home VM to relay the request to, or none to use a connection of this VM.

        This VM uses its own connection if it is the first available home of the workspace, or if
        every home is suspected.
        """
        if request.relayed_statement is not None:
            return None
        now = self.board.clock.now()
        homes = self.board.homes.of_workspace(
            endpoint.name, endpoint.zone, endpoint.slots, request.workspace
        )
        for vm in homes:
            if vm.name == self.board.settings.member:
                return None
            if not self.board.homes.is_suspected(vm.name, now):
                return vm
        return None

    def _relay_connection(
        self, request: SessionRequest, endpoint: Endpoint, home: ServingVM
    ) -> BackendConnection:
        """Return an entry that stands for the home's connection for one exchange or transaction."""
        connection = self._new_connection(request, endpoint)
        connection.home = home
        self.board.connections.of(endpoint.name).append(connection)
        return connection

    def _candidates(self, request: SessionRequest) -> list[Endpoint]:
        """Return the usable endpoints that may serve a request, and set its `min_position`."""
        if request.relayed_statement is not None:
            pinned = self.board.endpoints.by_name.get(request.relayed_statement.endpoint)
            return [pinned] if pinned is not None and pinned.is_usable_as_home() else []
        request.min_position = self._min_position(request)
        primary = self._primary(request.group)
        if request.min_position is None:
            return [primary] if primary is not None and primary.is_usable() else []
        endpoints = self.board.endpoints.by_group.get(request.group, [])
        return [item for item in endpoints if item.is_usable()]

    def _primary(self, group: str) -> Endpoint | None:
        configured = self.board.configuration.groups.get(group)
        return self.board.endpoints.by_name.get(configured.primary or "") if configured else None

    def _min_position(self, request: SessionRequest) -> Position | None:
        """Return the position that a replica must have reached, or none if only the primary may.

        It covers the route's maximum staleness and the session's own writes.
        """
        transaction = request.session.transaction
        is_read = request.kind is StatementKind.READ
        if transaction is not None:
            is_read = transaction.is_read_only
        route = request.route
        if not is_read or route.consistency is Consistency.LATEST or route.max_age is None:
            return None
        began = transaction.began_at if transaction is not None else request.arrived_at
        since = began - route.max_age + DISPATCH_DELAY_MARGIN_S
        observation = self.board.observations.oldest_since(request.group, since)
        if observation is None:
            return None
        if request.token is None:
            return observation.position
        return max_position(observation.position, request.token.position(request.group))

    def _acquire_connection(
        self, request: SessionRequest, endpoint: Endpoint
    ) -> tuple[BackendConnection, list[BackendConnection]]:
        """Return an idle or new connection for the workspace, and the idle ones evicted for it."""
        connections = self.board.connections.of(endpoint.name)
        own = [item for item in connections if item.home is None]
        idle = [item for item in connections if item.state is ConnectionState.IDLE]
        matching = [item for item in idle if item.workspace == request.workspace]
        if matching:
            return min(matching, key=lambda item: _setup_message_count(item, request)), []
        evicted: list[BackendConnection] = []
        at_connection_limit = self.board.clock.now() < endpoint.connection_limit_until
        if len(own) >= endpoint.capacity or at_connection_limit:
            oldest = min(idle, key=lambda item: item.last_used)
            self._remove_connection(oldest)
            evicted.append(oldest)
        connection = self._new_connection(request, endpoint)
        connections.append(connection)
        return connection, evicted

    def _new_connection(self, request: SessionRequest, endpoint: Endpoint) -> BackendConnection:
        self._connection_count += 1
        return BackendConnection(
            self._connection_count,
            endpoint.name,
            endpoint.address,
            endpoint.group,
            request.workspace,
            self.board.clock.now(),
        )

    def _start_exchange(
        self,
        request: SessionRequest,
        connection: BackendConnection,
        evicted: list[BackendConnection],
    ) -> None:
        now = self.board.clock.now()
        rounds, proves_primary = plan_rounds(request, connection)
        number = f"{self.board.settings.member}-{request.number}-{request.attempts}"
        timeout_s = self._exchange_timeout(request, connection.endpoint, now)
        exchange = SessionExchange(
            number, connection.endpoint, now, timeout_s, connection, evicted, rounds
        )
        exchange.proves_primary = proves_primary
        transaction = request.session.transaction
        exchange.opens_transaction = transaction is not None and transaction.connection is None
        connection.state = ConnectionState.BUSY
        request.endpoint = connection.endpoint
        request.exchange = exchange
        request.attempts += 1
        request.holds_connection = True
        self._update_running(request, 1)
        self.board.changes.post(Topic.EXCHANGE_SCHEDULED, request)

    def _exchange_timeout(self, request: SessionRequest, name: str, now: float) -> float:
        """Return the timeout of an exchange; that of a read leaves time for another endpoint.

        It ends before a planned stop does, so that the caller is answered.
        """
        remaining = min(request.deadline, self.board.shutdown.ends_at) - now
        endpoint = self.board.endpoints.by_name.get(name)
        if not request.is_standalone_read() or endpoint is None:
            return remaining
        timeout = READ_TIMEOUT_FRACTION * request.route.objective
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
            self._release_connection(connection)
            transaction.connection = None

    def _update_running(self, request: SessionRequest, change: int) -> None:
        running = self._queue_for(request).running
        count = running.get(request.workspace, 0) + change
        if count > 0:
            running[request.workspace] = count
        else:
            running.pop(request.workspace, None)

    def _release_connection(self, connection: BackendConnection) -> None:
        """Return a connection to the pool, or remove it if it stands for a home's connection.

        It is closed if this VM is not a home of the endpoint, to leave the endpoint's connection
        slot to the homes.
        """
        if connection.home is not None:
            self._remove_connection(connection)
        elif connection.state is not ConnectionState.CLOSED:
            connection.state = ConnectionState.IDLE
            if not self._is_home(connection):
                self._close_connection(connection)

    def _is_home(self, connection: BackendConnection) -> bool:
        """Return whether this VM is a home of the connection's endpoint, or no homes are known."""
        endpoint = self.board.endpoints.by_name.get(connection.endpoint)
        if endpoint is None:
            return False
        homes = self.board.homes.of_endpoint(endpoint.name, endpoint.zone, endpoint.slots)
        return not homes or any(vm.name == self.board.settings.member for vm in homes)

    def _remove_connection(self, connection: BackendConnection) -> None:
        """Remove a connection that the adapter has closed or will close."""
        connection.state = ConnectionState.CLOSED
        connections = self.board.connections.of(connection.endpoint)
        if connection in connections:
            connections.remove(connection)

    def _close_connection(self, connection: BackendConnection) -> None:
        self._remove_connection(connection)
        self.board.changes.post(Topic.INTENT_POSTED, ConnectionClose(connection.number))

    def _enqueue(self, request: SessionRequest) -> None:
        if request.timer is None:
            request.timer = self.board.changes.post_at(
                request.wait_deadline, Topic.REQUEST_EXPIRED, request
            )
        if request.relayed_statement is not None and not self._candidates(request):
            request.refuse(
                ErrorCode.NO_ENDPOINT, f"{request.relayed_statement.endpoint} gives no answer."
            )
            self.board.changes.post(Topic.REQUEST_REFUSED, request)
            return
        if self._lacks_usable_primary(request):
            request.refuse(ErrorCode.NO_ENDPOINT, f"{request.group} has no primary at present.")
            self.board.changes.post(Topic.REQUEST_REFUSED, request)
            return
        rejected = self._fair_queue.push(self._queue_for(request), request)
        if rejected is not None:
            rejected.refuse(ErrorCode.OVERLOADED, f"Too many requests wait for {request.group}.")
            self.board.changes.post(Topic.REQUEST_REFUSED, rejected)

    def _drain_group(self, group: str) -> None:
        """Retry the queued requests; requests for the primary do not block the others."""
        for queue in (
            self._write_queue(group),
            self._read_queue(group),
            *self._pinned_queues(group),
        ):
            self._drain_queue(queue)

    def _drain_queue(self, queue: WaitingQueue) -> None:
        """Dispatch queued requests round-robin over workspaces until none can be placed."""
        is_placed = queue.length > 0
        while is_placed:
            is_placed = False
            for workspace in self._fair_queue.workspaces_by_load(queue):
                is_placed = self._dispatch_next(queue, workspace) or is_placed

    def _dispatch_next(self, queue: WaitingQueue, workspace: str) -> bool:
        """Dispatch one queued request of a workspace; return false if it must stay queued.

        The order is FIFO while the oldest request can meet its objective, and LIFO under overload:
        serving requests that are already late would make all later ones late too.
        """
        workspace_queue = queue.by_workspace[workspace]
        is_overloaded = self._has_exceeded_wait(workspace_queue[0])
        request = workspace_queue.pop() if is_overloaded else workspace_queue.popleft()
        queue.length -= 1
        if request.outcome is not None or request.refusal is not None:
            return True
        if not self._check_deadline_and_key(request):
            self.board.changes.post(Topic.REQUEST_REFUSED, request)
            return True
        if self._try_place(request):
            return True
        if is_overloaded:
            workspace_queue.append(request)
        else:
            workspace_queue.appendleft(request)
        queue.length += 1
        return False

    def _has_exceeded_wait(self, request: SessionRequest) -> bool:
        waited = self.board.clock.now() - request.arrived_at
        return waited > OVERLOAD_WAIT_FRACTION * request.route.objective

    def _lacks_usable_primary(self, request: SessionRequest) -> bool:
        """Return whether only a primary may serve the request and none will be available in time.

        Either the primary has been suspected for longer than a failover takes, or no failover can
        end before the request's wait does.
        """
        if request.min_position is not None or request.relayed_statement is not None:
            return False
        primary = self._primary(request.group)
        if primary is None or not primary.suspected:
            return False
        since = primary.suspected_since
        ends_before_failover = request.wait_deadline < since + MIN_FAILOVER_S
        return ends_before_failover or self.board.clock.now() - since > MAX_FAILOVER_S

    def _pinned_queues(self, group: str) -> list[WaitingQueue]:
        pinned = self.board.queues.pinned
        endpoints = self.board.endpoints.by_group.get(group, ())
        return [pinned[item.name] for item in endpoints if item.name in pinned]

    def _queue_for(self, request: SessionRequest) -> WaitingQueue:
        if request.relayed_statement is not None:
            name = request.relayed_statement.endpoint
            return self.board.queues.pinned.setdefault(name, WaitingQueue(MAX_QUEUE_LENGTH))
        if request.min_position is None:
            return self._write_queue(request.group)
        return self._read_queue(request.group)

    def _read_queue(self, group: str) -> WaitingQueue:
        return self.board.queues.reads.setdefault(group, WaitingQueue(MAX_QUEUE_LENGTH))

    def _write_queue(self, group: str) -> WaitingQueue:
        return self.board.queues.writes.setdefault(group, WaitingQueue(MAX_QUEUE_LENGTH))


def _setup_message_count(connection: BackendConnection, request: SessionRequest) -> int:
    """Return how many messages set a connection to the session's values."""
    required, current = request.session.values, connection.values
    missing = sum(1 for name, value in required.items() if current.get(name) != value)
    return missing + (len(required) + 1 if any(name not in required for name in current) else 0)
