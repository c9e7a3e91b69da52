"""What it is expected to cost, in seconds, to serve a session's request at each endpoint."""

from __future__ import annotations

from ..blackboard import Board
from ..blackboard.connections import BackendConnection, ConnectionState
from ..blackboard.endpoints import Endpoint
from ..blackboard.homes import ServingVM
from ..blackboard.sessions import SessionRequest
from ..positions import Position

OPENING_COST_S = 0.04  # seconds; 12 to 27 ms of a slot that others wait for, and the wait
OTHER_ZONE_COST_S = 0.06  # seconds; an opening and an eviction in the own zone cost callers less
EVICTION_COST_S = 0.02  # seconds; another workspace's connection must be opened again
TRIED_COST_S = 0.5  # seconds; an endpoint that did not run the request is the last choice
FULL_COST_S = 0.1  # seconds; what an endpoint's queue holds up
BEHIND_COST_S = 0.3  # seconds; a replica that was behind a moment ago most likely still is
LAG_MARGIN_S = 0.1  # seconds; positions of primaries arrive some hundred milliseconds apart
PRIMARY_READ_COST_S = 0.01  # seconds; keeps primaries free for what only they can serve
RELAY_COST_S = 0.003  # seconds; a hop inside the zone, with its processor time at both ends
SHORTEST_WORK_S = 0.005  # seconds; until an endpoint's latency is known


class EndpointCosts:
    """Compares endpoints by the time until an answer, and by what a choice costs others."""

    __slots__ = ("board",)

    def __init__(self, board: Board) -> None:
        self.board = board

    def of(self, request: SessionRequest, endpoint: Endpoint, home: ServingVM | None) -> float:
        """Return the expected seconds to an answer, infinite without room.

        `home` is the VM that the statement would be handed over to, none for this one.
        """
        connections = self.board.connections.of(endpoint.name)
        busy = sum(1 for item in connections if item.state is ConnectionState.BUSY)
        if home is None:
            cost = self._connection_cost(request, endpoint, connections)
        else:
            cost = self._relay_cost(endpoint, connections)
        cost += max(endpoint.latency, SHORTEST_WORK_S) * (busy + 1)
        cost += self._zone_cost(endpoint)
        if endpoint.name in request.tried_endpoints:
            cost += TRIED_COST_S
        now = self.board.clock.now()
        if now < endpoint.busy_until:
            cost += FULL_COST_S
        wanted = request.min_position
        if wanted is not None:
            if endpoint.name == self._primary(request.group):
                cost += PRIMARY_READ_COST_S
            elif not endpoint.position.reaches(wanted):
                cost += BEHIND_COST_S if self._is_behind(endpoint, wanted) else SHORTEST_WORK_S
        return cost

    def _is_behind(self, endpoint: Endpoint, wanted: Position) -> bool:
        """Tell whether a replica that was behind a moment ago most likely lacks a position."""
        now = self.board.clock.now()
        if now >= endpoint.lagging_until:
            return False
        reached_at = self.board.observations.reached_at(endpoint.group, wanted)
        return reached_at is None or now - reached_at < endpoint.apply_lag + LAG_MARGIN_S

    def _zone_cost(self, endpoint: Endpoint) -> float:
        return 0.0 if endpoint.zone == self.board.settings.zone else OTHER_ZONE_COST_S

    def _relay_cost(self, endpoint: Endpoint, connections: list[BackendConnection]) -> float:
        handed_over = sum(
            1
            for item in connections
            if item.home is not None and item.state is ConnectionState.BUSY
        )
        return RELAY_COST_S if handed_over < int(endpoint.relay_window.size) else float("inf")

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
        is_crowded = self.board.clock.now() < endpoint.connection_limit_until
        if len(own) < endpoint.capacity and not is_crowded:
            return OPENING_COST_S
        return OPENING_COST_S + EVICTION_COST_S if idle_others else float("inf")

    def of_waiting(
        self, request: SessionRequest, candidates: list[Endpoint], waiting: int
    ) -> float:
        """Return the expected seconds until a connection of the workspace is free."""
        best = float("inf")
        for endpoint in candidates:
            held = self.board.connections.of(endpoint.name)
            busy = sum(
                1
                for item in held
                if item.state is ConnectionState.BUSY and item.workspace == request.workspace
            )
            if busy:
                latency = max(endpoint.latency, SHORTEST_WORK_S)
                cost = latency * (2.0 + waiting / busy) + self._zone_cost(endpoint)
                best = min(best, cost)
        return best

    def _primary(self, group: str) -> str | None:
        known = self.board.configuration.groups.get(group)
        return known.primary if known else None
