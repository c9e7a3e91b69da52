"""Restricts requests to the regions that their route and their workspace allow."""

from __future__ import annotations

from ...blackboard import Board
from ...blackboard.endpoints import Endpoint
from ...blackboard.sessions import SessionRequest


class RegionFilter:
    """An endpoint filter; where both route and workspace name regions, both apply.

    The restrictions of a transaction are those in effect when it began. For a relayed statement the
    sender has applied them.
    """

    reason = "outside the allowed regions"
    __slots__ = ("board",)

    def __init__(self, board: Board) -> None:
        self.board = board

    def allows(self, request: SessionRequest, endpoint: Endpoint) -> bool:
        """Return whether the endpoint is in an allowed region."""
        return request.relayed_statement is not None or is_zone_allowed(
            self.board, request, endpoint.zone
        )


def is_zone_allowed(board: Board, request: SessionRequest, zone: str) -> bool:
    """Return whether a request may be sent to endpoints and VMs of an availability zone."""
    transaction = request.session.transaction
    if transaction is not None:
        by_workspace = transaction.workspace_regions
    else:
        by_workspace = board.configuration.workspace_regions.get(request.workspace, ())
    by_route = request.route.allowed_regions
    if not by_route and not by_workspace:
        return True
    region = board.settings.region_of(zone)
    return (not by_route or region in by_route) and (not by_workspace or region in by_workspace)
