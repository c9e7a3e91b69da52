"""Restricts requests to the regions that their route and their workspace allow."""

from __future__ import annotations

from ...blackboard import Board
from ...blackboard.endpoints import Endpoint
from ...blackboard.sessions import SessionRequest


class RegionFilter:
    """An endpoint filter; where both route and workspace name regions, both apply.

    The restrictions of a transaction are those in effect when it began. For a relayed statement the
    sender has applied them, unless `checks_relayed` is set.
    """

    reason = "outside the allowed regions"
    __slots__ = ("board", "checks_relayed")

    def __init__(self, board: Board, checks_relayed: bool = False) -> None:
        self.board = board
        self.checks_relayed = checks_relayed

    def allows(self, request: SessionRequest, endpoint: Endpoint) -> bool:
        """Return whether the endpoint is in an allowed region."""
        if request.relayed_statement is not None and not self.checks_relayed:
            return True
        return is_zone_allowed(self.board, request, endpoint.zone)


def is_zone_allowed(board: Board, request: SessionRequest, zone: str) -> bool:
    """Return whether a request may be sent to endpoints and VMs of an availability zone."""
    transaction = request.session.transaction
    if transaction is not None:
        by_workspace = transaction.workspace_regions
    else:
        by_workspace = board.configuration.workspace_regions.get(request.workspace, ())
    by_route = request.route.allowed_regions
    if request.relayed_statement is not None:
        by_route = _declared_regions(board, request.route.name)
    if not by_route and not by_workspace:
        return True
    region = board.settings.region_of(zone)
    return (not by_route or region in by_route) and (not by_workspace or region in by_workspace)


def _declared_regions(board: Board, route_name: str) -> list[str]:
    """Return the regions that this VM knows for a route; relayed statements lack them."""
    declaration = board.configuration.declaration
    routes = declaration.routes if declaration is not None else []
    return next((item.allowed_regions for item in routes if item.name == route_name), [])
