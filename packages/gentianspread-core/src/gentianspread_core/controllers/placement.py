"""Placement controller: chooses endpoint and connection for each request of a session.

A request in a transaction stays on its connection. Any other goes to the endpoint that is expected
to answer first among those that may serve it, or waits in a fair queue until one has room.
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
from .steps import steps_for

QUEUE_LIMIT = 512  # requests a group; bounds the memory of a VM under overload
WORKSPACE_QUEUE_LIMIT = 64  # requests a workspace and group; as the ordinary preset has
OBSERVATION_MARGIN_S = 0.05  # seconds; covers the time from the choice to the endpoint
OVERLOAD_SHARE = 0.5  # of the objective; with the other half spent at the endpoint it is missed
READ_PATIENCE_SHARE = 0.5  # of the objective; the other half is for another endpoint
READ_PATIENCE_LATENCIES = 5.0  # an endpoint's usual answers; a slow one is not taken for silent
SHORTEST_CHANGE_S = 0.7  # seconds from a primary's loss: two probes, a round of orders, the call
LONGEST_CHANGE_S = 2.0  # seconds from a primary's loss to the next; after it none is expected


class PlacementController:
    """Owns the connections, the queues, and the `endpoint` and `exchange` columns of requests."""

    __slots__ = ("board", "_costs", "_queue_policy", "_count")

    def __init__(self, board: Board) -> None:
        self.board = board
        self._costs = EndpointCosts(board)
        self._queue_policy = FairQueue(WORKSPACE_QUEUE_LIMIT)
        self._count = 0

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
        """Order the exchange of a request, or have it wait."""
        if request.outcome is not None or request.kind is StatementKind.BEGIN:
            return
        if not self._may_run(request):
            self.board.changes.post(Topic.REQUEST_REFUSED, request)
            return
        transaction = request.session.transaction
        if transaction is not None and transaction.connection is not None:
            self._order(request, transaction.connection, [])
        elif request.kind is StatementKind.ROLLBACK:
            self.board.changes.post(Topic.REQUEST_DUE_LOCALLY, request)
        elif not self._place(request):
            self._wait(request)

    def on_expired(self, request: SessionRequest) -> None:
        """Refuse a request whose deadline passed while it waited."""
        if request.outcome is None and request.refusal is None and not request.holds:
            request.refuse(
                ErrorCode.DEADLINE_PASSED, f"No endpoint of {request.group} was free in time."
            )
            self.board.changes.post(Topic.REQUEST_REFUSED, request)

    def on_exchange_ended(self, request: SessionRequest) -> None:
        """Keep, free or drop the connection by how its exchange ended."""
        exchange = request.exchange
        if not isinstance(exchange, SessionExchange):
            return
        reply = exchange.reply
        connection = exchange.connection
        request.holds = False
        connection.last_used = self.board.clock.now()
        if not isinstance(reply, SessionReply) or not reply.is_reusable:
            self._drop(connection)
        self._note_running(request, -1)
        transaction = request.session.transaction
        if transaction is not None and not request.session.closed:
            self._keep_transaction(transaction, connection, reply)
        elif isinstance(reply, SessionReply) and reply.keeps_transaction:
            self._close(connection)
        else:
            self._free(connection)
        self._drain(request.group)

    def on_transaction_ended(self, transaction: SessionTransaction) -> None:
        """Free a transaction's connection; one that may still be in it is closed."""
        connection = transaction.connection
        transaction.connection = None
        if connection is None or connection.state is ConnectionState.CLOSED:
            return
        if connection.state is ConnectionState.HELD:
            self._close(connection)
        self._drain(connection.group)

    def on_endpoint_changed(self, endpoint: Endpoint) -> None:
        """Try the waiting requests of the endpoint's group again."""
        self._drain(endpoint.group)

    def on_configuration(self, revision: int) -> None:
        """Close idle connections to endpoints that left; try the waiting requests again."""
        known = self.board.configuration.endpoints
        for name, connections in list(self.board.connections.by_endpoint.items()):
            registration = known.get(name)
            for connection in list(connections):
                is_gone = registration is None or registration.address != connection.address
                is_unwanted = is_gone or registration.leaving
                if is_unwanted and connection.state is ConnectionState.IDLE:
                    self._close(connection)
        for group in {*self.board.queues.reads, *self.board.queues.writes}:
            self._drain(group)
        for queue in self.board.queues.pinned.values():
            self._drain_queue(queue)

    def on_homes(self, _entry: None) -> None:
        """Close idle connections to endpoints that this VM is no home of."""
        for connections in list(self.board.connections.by_endpoint.values()):
            for connection in list(connections):
                if connection.state is ConnectionState.IDLE and not self._keeps(connection):
                    self._close(connection)

    def on_intent(self, intent: object) -> None:
        """Close an endpoint's idle connections once they count as silent."""
        if not isinstance(intent, PoolFlush):
            return
        for connection in list(self.board.connections.of(intent.endpoint)):
            is_idle = connection.state is ConnectionState.IDLE
            if is_idle and connection.last_used < intent.before:
                self._close(connection)

    def _may_run(self, request: SessionRequest) -> bool:
        if request.kind is StatementKind.ROLLBACK:
            return True
        now = self.board.clock.now()
        is_late = now >= (request.deadline if request.in_transaction() else request.wait_until)
        if is_late:
            request.refuse(ErrorCode.DEADLINE_PASSED, "The deadline passed before dispatch.")
            return False
        return request.open_route is not None or check_key(self.board, request)

    def _place(self, request: SessionRequest) -> bool:
        """Choose endpoint and connection; return false if none has room."""
        candidates = self._candidates(request)
        best: Endpoint | None = None
        best_home: ServingVM | None = None
        best_cost = float("inf")
        for endpoint in candidates:
            home = self._home(request, endpoint)
            cost = self._costs.of(request, endpoint, home)
            if cost < best_cost:
                best, best_home, best_cost = endpoint, home, cost
        line = self._queue(request).by_workspace.get(request.workspace)
        waiting = len(line) if line else 0
        if best is None or self._costs.of_waiting(request, candidates, waiting) < best_cost:
            return False
        if best_home is not None:
            self._order(request, self._hand_over(request, best, best_home), [])
            return True
        connection, evicted = self._take(request, best)
        self._order(request, connection, evicted)
        return True

    def _home(self, request: SessionRequest, endpoint: Endpoint) -> ServingVM | None:
        """Return the VM that holds the workspace's connections, none if that is this one.

        Also none if no home answers: then this VM opens a connection of its own.
        """
        if request.order is not None:
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

    def _hand_over(
        self, request: SessionRequest, endpoint: Endpoint, home: ServingVM
    ) -> BackendConnection:
        """Return what stands for the home's connection here, for one exchange or transaction."""
        connection = self._new_connection(request, endpoint)
        connection.home = home
        self.board.connections.of(endpoint.name).append(connection)
        return connection

    def _candidates(self, request: SessionRequest) -> list[Endpoint]:
        """Return the usable endpoints that may serve a request; the position demanded is noted."""
        if request.order is not None:
            pinned = self.board.endpoints.by_name.get(request.order.endpoint)
            return [pinned] if pinned is not None and pinned.is_usable() else []
        request.min_position = self._min_position(request)
        primary = self._primary(request.group)
        if request.min_position is None:
            return [primary] if primary is not None and primary.is_usable() else []
        endpoints = self.board.endpoints.by_group.get(request.group, [])
        return [item for item in endpoints if item.is_usable()]

    def _primary(self, group: str) -> Endpoint | None:
        known = self.board.configuration.groups.get(group)
        return self.board.endpoints.by_name.get(known.primary or "") if known else None

    def _min_position(self, request: SessionRequest) -> Position | None:
        """Return what a replica's log must hold, or none if only the primary may serve."""
        transaction = request.session.transaction
        is_read = request.kind is StatementKind.READ
        if transaction is not None:
            is_read = transaction.is_read_only
        route = request.route
        if not is_read or route.consistency is Consistency.LATEST or route.max_age is None:
            return None
        began = transaction.began_at if transaction is not None else request.arrived_at
        since = began - route.max_age + OBSERVATION_MARGIN_S
        seen = self.board.observations.covering(request.group, since)
        if seen is None:
            return None
        if request.token is None:
            return seen.position
        return max_position(seen.position, request.token.position(request.group))

    def _take(
        self, request: SessionRequest, endpoint: Endpoint
    ) -> tuple[BackendConnection, list[BackendConnection]]:
        """Return a connection of the request's workspace, and those closed to make room."""
        connections = self.board.connections.of(endpoint.name)
        held = [item for item in connections if item.home is None]
        idle = [item for item in connections if item.state is ConnectionState.IDLE]
        own = [item for item in idle if item.workspace == request.workspace]
        if own:
            return min(own, key=lambda item: _differences(item, request)), []
        evicted: list[BackendConnection] = []
        is_crowded = self.board.clock.now() < endpoint.crowded_until
        if len(held) >= endpoint.capacity or is_crowded:
            oldest = min(idle, key=lambda item: item.last_used)
            self._drop(oldest)
            evicted.append(oldest)
        connection = self._new_connection(request, endpoint)
        connections.append(connection)
        return connection, evicted

    def _new_connection(self, request: SessionRequest, endpoint: Endpoint) -> BackendConnection:
        self._count += 1
        return BackendConnection(
            self._count,
            endpoint.name,
            endpoint.address,
            endpoint.group,
            request.workspace,
            self.board.clock.now(),
        )

    def _order(
        self,
        request: SessionRequest,
        connection: BackendConnection,
        evicted: list[BackendConnection],
    ) -> None:
        now = self.board.clock.now()
        rounds, proves_primary = steps_for(request, connection)
        number = f"{self.board.settings.member}-{request.number}-{request.attempts}"
        limit = self._exchange_limit(request, connection.endpoint, now)
        exchange = SessionExchange(
            number, connection.endpoint, now, limit, connection, evicted, rounds
        )
        exchange.proves_primary = proves_primary
        transaction = request.session.transaction
        exchange.opens_transaction = transaction is not None and transaction.connection is None
        connection.state = ConnectionState.BUSY
        request.endpoint = connection.endpoint
        request.exchange = exchange
        request.attempts += 1
        request.holds = True
        self._note_running(request, 1)
        self.board.changes.post(Topic.EXCHANGE_ORDERED, request)

    def _exchange_limit(self, request: SessionRequest, name: str, now: float) -> float:
        """Return the seconds to wait for an answer; a read leaves time to try another endpoint."""
        left = request.deadline - now
        endpoint = self.board.endpoints.by_name.get(name)
        if not request.is_single_read() or endpoint is None:
            return left
        patience = READ_PATIENCE_SHARE * request.route.objective
        return min(left, max(patience, READ_PATIENCE_LATENCIES * endpoint.latency))

    def _keep_transaction(
        self, transaction: SessionTransaction, connection: BackendConnection, reply: Any
    ) -> None:
        """Bind the connection to its transaction for as long as the endpoint keeps that open."""
        if connection.state is ConnectionState.CLOSED:
            transaction.connection = None
        elif reply.keeps_transaction:
            connection.state = ConnectionState.HELD
            transaction.connection = connection
        else:
            self._free(connection)
            transaction.connection = None

    def _note_running(self, request: SessionRequest, change: int) -> None:
        running = self._queue(request).running
        count = running.get(request.workspace, 0) + change
        if count > 0:
            running[request.workspace] = count
        else:
            running.pop(request.workspace, None)

    def _free(self, connection: BackendConnection) -> None:
        """Keep a connection for the next request; a home's goes back to the home.

        One that another VM is the home of is closed: its place is the home's.
        """
        if connection.home is not None:
            self._drop(connection)
        elif connection.state is not ConnectionState.CLOSED:
            connection.state = ConnectionState.IDLE
            if not self._keeps(connection):
                self._close(connection)

    def _keeps(self, connection: BackendConnection) -> bool:
        """Tell whether this VM is a home of the connection's endpoint, or homes are not known."""
        endpoint = self.board.endpoints.by_name.get(connection.endpoint)
        if endpoint is None:
            return False
        homes = self.board.homes.of_endpoint(endpoint.name, endpoint.zone, endpoint.slots)
        return not homes or any(vm.name == self.board.settings.member for vm in homes)

    def _drop(self, connection: BackendConnection) -> None:
        """Forget a connection that its adapter closes or has closed."""
        connection.state = ConnectionState.CLOSED
        connections = self.board.connections.of(connection.endpoint)
        if connection in connections:
            connections.remove(connection)

    def _close(self, connection: BackendConnection) -> None:
        self._drop(connection)
        self.board.changes.post(Topic.INTENT_POSTED, ConnectionClose(connection.number))

    def _wait(self, request: SessionRequest) -> None:
        if request.timer is None:
            request.timer = self.board.changes.post_at(
                request.wait_until, Topic.REQUEST_EXPIRED, request
            )
        if request.order is not None and not self._candidates(request):
            request.refuse(ErrorCode.NO_ENDPOINT, f"{request.order.endpoint} gives no answer.")
            self.board.changes.post(Topic.REQUEST_REFUSED, request)
            return
        if self._cannot_be_served(request):
            request.refuse(ErrorCode.NO_ENDPOINT, f"{request.group} has no primary at present.")
            self.board.changes.post(Topic.REQUEST_REFUSED, request)
            return
        dropped = self._queue_policy.push(self._queue(request), request)
        if dropped is not None:
            dropped.refuse(ErrorCode.OVERLOADED, f"Too many requests wait for {request.group}.")
            self.board.changes.post(Topic.REQUEST_REFUSED, dropped)

    def _drain(self, group: str) -> None:
        """Place waiting requests; those for the primary hold up no others."""
        for queue in (self._writes(group), self._reads(group), *self._pinned(group)):
            self._drain_queue(queue)

    def _drain_queue(self, queue: WaitingQueue) -> None:
        """Place waiting requests, one a workspace in turn, until none finds room."""
        is_placed = queue.length > 0
        while is_placed:
            is_placed = False
            for workspace in self._queue_policy.workspaces(queue):
                is_placed = self._serve_first(queue, workspace) or is_placed

    def _serve_first(self, queue: WaitingQueue, workspace: str) -> bool:
        """Take a request of a workspace out of the queue, unless it must wait on.

        The oldest is next while it can meet its objective. Beyond that the newest is: those that
        are late already would make every other one late too.
        """
        line = queue.by_workspace[workspace]
        is_overloaded = self._has_waited_long(line[0])
        request = line.pop() if is_overloaded else line.popleft()
        queue.length -= 1
        if request.outcome is not None or request.refusal is not None:
            return True
        if not self._may_run(request):
            self.board.changes.post(Topic.REQUEST_REFUSED, request)
            return True
        if self._place(request):
            return True
        if is_overloaded:
            line.append(request)
        else:
            line.appendleft(request)
        queue.length += 1
        return False

    def _has_waited_long(self, request: SessionRequest) -> bool:
        waited = self.board.clock.now() - request.arrived_at
        return waited > OVERLOAD_SHARE * request.route.objective

    def _cannot_be_served(self, request: SessionRequest) -> bool:
        """Tell whether only a primary may serve, and none will in time.

        It has been away for longer than a change takes, or a change will not be over in time.
        """
        if request.min_position is not None or request.order is not None:
            return False
        primary = self._primary(request.group)
        if primary is None or not primary.suspected:
            return False
        since = primary.suspected_since
        is_too_soon = request.wait_until < since + SHORTEST_CHANGE_S
        return is_too_soon or self.board.clock.now() - since > LONGEST_CHANGE_S

    def _pinned(self, group: str) -> list[WaitingQueue]:
        pinned = self.board.queues.pinned
        endpoints = self.board.endpoints.by_group.get(group, ())
        return [pinned[item.name] for item in endpoints if item.name in pinned]

    def _queue(self, request: SessionRequest) -> WaitingQueue:
        if request.order is not None:
            name = request.order.endpoint
            return self.board.queues.pinned.setdefault(name, WaitingQueue(QUEUE_LIMIT))
        if request.min_position is None:
            return self._writes(request.group)
        return self._reads(request.group)

    def _reads(self, group: str) -> WaitingQueue:
        return self.board.queues.reads.setdefault(group, WaitingQueue(QUEUE_LIMIT))

    def _writes(self, group: str) -> WaitingQueue:
        return self.board.queues.writes.setdefault(group, WaitingQueue(QUEUE_LIMIT))


def _differences(connection: BackendConnection, request: SessionRequest) -> int:
    """Return how many messages bring a connection to the session's values."""
    wanted, held = request.session.values, connection.values
    missing = sum(1 for name, value in wanted.items() if held.get(name) != value)
    return missing + (len(wanted) + 1 if any(name not in wanted for name in held) else 0)
