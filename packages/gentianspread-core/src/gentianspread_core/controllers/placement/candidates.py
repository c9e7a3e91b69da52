"""Which endpoints may serve a request of a session, and which VM holds the connections to them."""

from __future__ import annotations

from ...blackboard import Board
from ...blackboard.declarations import Consistency
from ...blackboard.endpoints import Endpoint
from ...blackboard.homes import ServingVM
from ...blackboard.requests import StatementKind
from ...blackboard.sessions import SessionRequest
from ...interfaces import EndpointFilter
from ...positions import Position, max_position
from .regions import is_zone_allowed

DISPATCH_DELAY_MARGIN_S = 0.05  # from choosing the endpoint until the request reaches it
MIN_FAILOVER_S = 0.7  # two failed probes, a round of commands to replicas, and the promotion call
MAX_FAILOVER_S = 2.0  # after this time without a primary, no new one is expected


class Candidates:
    """Finds the endpoints that consistency, health and every filter allow for a request."""

    __slots__ = ("board", "filters")

    def __init__(self, board: Board, filters: list[EndpointFilter]) -> None:
        self.board = board
        self.filters = filters

    def of_request(self, request: SessionRequest) -> list[Endpoint]:
        """Return the usable endpoints that may serve a request, and set its `min_position`."""
        return [item for item in self._usable(request) if self._is_allowed(request, item)]

    def _usable(self, request: SessionRequest) -> list[Endpoint]:
        if request.relayed_statement is not None:
            pinned = self.board.endpoints.by_name.get(request.relayed_statement.endpoint)
            return [pinned] if pinned is not None and pinned.is_usable_as_home() else []
        request.min_position = self._min_position(request)
        primary = self.primary_of(request.group)
        if request.min_position is None:
            return [primary] if primary is not None and primary.is_usable() else []
        endpoints = self.board.endpoints.by_group.get(request.group, [])
        return [item for item in endpoints if item.is_usable()]

    def exclusion_reasons(self, request: SessionRequest) -> list[str]:
        """Return why filters exclude every usable endpoint; none if one is left or none usable."""
        usable = self._usable(request)
        if any(self._is_allowed(request, item) for item in usable):
            return []
        return self._reasons(request, usable)

    def reasons_in_group(self, request: SessionRequest) -> list[str]:
        """Return why filters exclude endpoints of the request's group, or its only endpoint."""
        if request.relayed_statement is not None:
            pinned = self.board.endpoints.by_name.get(request.relayed_statement.endpoint)
            return self._reasons(request, [pinned] if pinned is not None else [])
        return self._reasons(request, self.board.endpoints.by_group.get(request.group, []))

    def _reasons(self, request: SessionRequest, endpoints: list[Endpoint]) -> list[str]:
        return [
            getattr(item, "reason", type(item).__name__)
            for item in self.filters
            if not all(item.allows(request, endpoint) for endpoint in endpoints)
        ]

    def _is_allowed(self, request: SessionRequest, endpoint: Endpoint) -> bool:
        return all(item.allows(request, endpoint) for item in self.filters)

    def is_excluded_everywhere(self, request: SessionRequest) -> bool:
        """Return whether filters exclude every endpoint that could serve the request soon.

        An endpoint that they allow could serve a request for the primary after a handover.
        """
        if request.relayed_statement is not None:
            pinned = self.board.endpoints.by_name.get(request.relayed_statement.endpoint)
            return pinned is not None and not self._is_allowed(request, pinned)
        endpoints = self.board.endpoints.by_group.get(request.group, [])
        allowed = [item for item in endpoints if self._is_allowed(request, item)]
        return len(allowed) < len(endpoints) and not any(item.is_usable() for item in allowed)

    def primary_of(self, group: str) -> Endpoint | None:
        """Return the primary of a group, if it is known."""
        configured = self.board.configuration.groups.get(group)
        return self.board.endpoints.by_name.get(configured.primary or "") if configured else None

    def relay_target(self, request: SessionRequest, endpoint: Endpoint) -> ServingVM | None:
        """Return the home VM to relay the request to, or none to use a connection of this VM.

        This VM uses its own connection if it is the first available home of the workspace, or if
        every home is suspected or outside the regions to which the request is restricted. A home
        that is slower than its peers is used if no other is left.
        """
        if request.relayed_statement is not None:
            return None
        now = self.board.clock.now()
        homes = self.board.homes.of_workspace(
            endpoint.name, endpoint.zone, endpoint.slots, request.workspace
        )
        slow_home = None
        for vm in homes:
            if vm.name == self.board.settings.member:
                return None
            if not is_zone_allowed(self.board, request, vm.zone):
                continue
            if self.board.homes.is_suspected(vm.name, now):
                continue
            if not self.board.outliers.is_home_ejected(vm.name, now):
                return vm
            slow_home = slow_home or vm
        return slow_home

    def lacks_usable_primary(self, request: SessionRequest) -> bool:
        """Return whether only a primary may serve the request and none will be available in time.

        Either the primary has been suspected for longer than a failover takes, or no failover can
        end before the request's wait does.
        """
        if request.min_position is not None or request.relayed_statement is not None:
            return False
        primary = self.primary_of(request.group)
        if primary is None or not primary.suspected:
            return False
        since = primary.suspected_since
        ends_before_failover = request.wait_deadline < since + MIN_FAILOVER_S
        return ends_before_failover or self.board.clock.now() - since > MAX_FAILOVER_S

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
        request.observation = observation
        if observation is None:
            return None
        if request.token is None:
            return observation.position
        return max_position(observation.position, request.token.position(request.group))
