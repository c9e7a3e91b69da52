"""Cost model of placement: the expected seconds to serve a session's request at an endpoint.

A cost is the expected latency of the request, plus the delay that it causes for other requests.
"""

from __future__ import annotations

from ...blackboard import Board
from ...blackboard.connections import BackendConnection, ConnectionState
from ...blackboard.endpoints import Endpoint
from ...blackboard.homes import ServingVM
from ...blackboard.sessions import SessionRequest
from ...interfaces import LoadEstimator
from ...positions import Position

CONNECT_COST_S = 0.04  # 12 to 27 ms of an endpoint slot that others need, plus the wait for it
CROSS_ZONE_COST_S = 0.06  # connecting and evicting in the own zone cost callers less than this
EVICTION_COST_S = 0.02  # another workspace's connection must be opened again
REPEATED_ENDPOINT_COST_S = 0.5  # an endpoint that did not run the request is the last choice
OVERLOADED_COST_S = 0.1  # delay in the queue of an overloaded endpoint
LAGGING_COST_S = 0.3  # a replica that was behind a moment ago most likely still is
LAG_MARGIN_S = 0.1  # positions of primaries arrive some hundred milliseconds apart
PRIMARY_READ_COST_S = 0.01  # keeps primaries free for requests that only they can serve
RELAY_COST_S = 0.003  # a network hop inside the zone, plus processor time at both ends
MIN_LATENCY_S = 0.005  # assumed until an endpoint's latency is known


class EndpointCosts:
    """Estimates what it costs to serve a request at an endpoint, or to wait for a connection.

    Where load is reported, the estimator gives the expected wait, otherwise this VM's own
    statements.
    """

    __slots__ = ("board", "estimator")

    def __init__(self, board: Board, estimator: LoadEstimator | None = None) -> None:
        self.board = board
        self.estimator = estimator

    def serving_cost(
        self,
        request: SessionRequest,
        endpoint: Endpoint,
        home: ServingVM | None,
        load_s: float | None = None,
    ) -> float:
        """Return the cost of serving a request, infinite if the endpoint has no capacity for it.

        `home` is the VM that the statement would be relayed to, or none to serve it from this VM.
        `load_s` is the result of `reported_load_s`.
        """
        connections = self.board.connections.of(endpoint.name)
        busy = sum(1 for item in connections if item.state is ConnectionState.BUSY)
        if home is None:
            cost = self._connection_cost(request, endpoint, connections)
        else:
            cost = self._relay_cost(endpoint, connections)
        if load_s is None:
            load_s = max(endpoint.latency, MIN_LATENCY_S) * (busy + 1)
        cost += load_s + self._zone_cost(endpoint)
        if endpoint.name in request.tried_endpoints:
            cost += REPEATED_ENDPOINT_COST_S
        now = self.board.clock.now()
        if now < endpoint.busy_until:
            cost += OVERLOADED_COST_S
        required = request.min_position
        if required is not None:
            if endpoint.name == self._primary(request.group):
                cost += PRIMARY_READ_COST_S
            elif not endpoint.position.reaches(required):
                cost += LAGGING_COST_S if self._is_lagging(endpoint, required) else MIN_LATENCY_S
        return cost

    def reported_load_s(
        self, request: SessionRequest, endpoint: Endpoint, home: ServingVM | None
    ) -> float | None:
        """Return the expected time for a statement, none where loads are not reported.

        Without a recent report it follows from this VM's own statements. A relayed statement has no
        other endpoint to go to, and the load includes the queue that it waits in.
        """
        if self.estimator is None or not self.board.loads.is_reported:
            return None
        if request.relayed_statement is not None:
            return None
        wait_s = self.estimator.expected_wait_s(endpoint, home)
        service_s = self.estimator.service_s(endpoint)
        if wait_s is not None:
            return wait_s + service_s
        connections = self.board.connections.of(endpoint.name)
        busy = sum(1 for item in connections if item.state is ConnectionState.BUSY)
        return service_s * (busy + 1)

    def without_lagging(
        self, request: SessionRequest, candidates: list[Endpoint]
    ) -> list[Endpoint]:
        """Leave out the replicas that refused this read for their lag and have not caught up.

        None is left out if there is no other candidate. A busy primary may otherwise cost more than
        a replica, and the read goes to and fro between replicas until its time has passed.
        """
        if request.min_position is None or not request.tried_endpoints:
            return candidates
        others = [item for item in candidates if not self._refused_for_lag(request, item)]
        return others or candidates

    def _refused_for_lag(self, request: SessionRequest, endpoint: Endpoint) -> bool:
        return (
            endpoint.name in request.tried_endpoints
            and endpoint.name != self._primary(request.group)
            and not endpoint.position.reaches(request.min_position)
        )

    def _is_lagging(self, endpoint: Endpoint, required: Position) -> bool:
        """Return whether a replica that was behind a moment ago most likely lacks a position."""
        now = self.board.clock.now()
        if now >= endpoint.lagging_until:
            return False
        reached_at = self.board.observations.reached_at(endpoint.group, required)
        return reached_at is None or now - reached_at < endpoint.apply_lag + LAG_MARGIN_S

    def _zone_cost(self, endpoint: Endpoint) -> float:
        return 0.0 if endpoint.zone == self.board.settings.zone else CROSS_ZONE_COST_S

    def _relay_cost(self, endpoint: Endpoint, connections: list[BackendConnection]) -> float:
        relayed = sum(
            1
            for item in connections
            if item.home is not None and item.state is ConnectionState.BUSY
        )
        return RELAY_COST_S if relayed < int(endpoint.relay_window.size) else float("inf")

    def _connection_cost(
        self, request: SessionRequest, endpoint: Endpoint, connections: list[BackendConnection]
    ) -> float:
        own = [item for item in connections if item.home is None]
        busy = sum(1 for item in own if item.state is ConnectionState.BUSY)
        if busy >= int(endpoint.window.size):
            return float("inf")
        idle_others = 0
        for connection in own:
            if connection.state is ConnectionState.IDLE:
                if connection.workspace == request.workspace:
                    return 0.0
                idle_others += 1
        at_connection_limit = self.board.clock.now() < endpoint.connection_limit_until
        if len(own) < endpoint.capacity and not at_connection_limit:
            return CONNECT_COST_S
        return CONNECT_COST_S + EVICTION_COST_S if idle_others else float("inf")

    def waiting_cost(
        self, request: SessionRequest, candidates: list[Endpoint], waiting: int
    ) -> float:
        """Return the cost of waiting until a connection of the workspace is free.

        `waiting` is the number of the workspace's requests that are queued before this one.
        """
        best = float("inf")
        outliers = self.board.outliers
        healthy = [item for item in candidates if outliers.share_of(item.name) >= 1.0]
        for endpoint in healthy or candidates:
            connections = self.board.connections.of(endpoint.name)
            busy = sum(
                1
                for item in connections
                if item.state is ConnectionState.BUSY and item.workspace == request.workspace
            )
            if busy:
                load_s = self.reported_load_s(request, endpoint, None)
                latency = max(endpoint.latency if load_s is None else load_s, MIN_LATENCY_S)
                cost = latency * (2.0 + waiting / busy) + self._zone_cost(endpoint)
                best = min(best, cost)
        return best

    def _primary(self, group: str) -> str | None:
        configured = self.board.configuration.groups.get(group)
        return configured.primary if configured else None
