"""Which endpoints of evacuated zones may still serve a request."""

from __future__ import annotations

from collections.abc import Sequence

from ...blackboard import Board
from ...blackboard.endpoints import Endpoint
from ...blackboard.sessions import SessionRequest
from ...interfaces import EndpointFilter


class EvacuationFilter:
    """Excludes the endpoints of evacuated zones, at once where another endpoint can serve.

    Requests that only the primary can run, and reads for which no usable endpoint elsewhere is
    allowed by the `others`, are allowed until the evacuation's `requests_end_at`. For a relayed
    statement these filters have to tell where its sender could send it instead.
    """

    __slots__ = ("board", "others")

    reason = "in an evacuated zone"

    def __init__(self, board: Board, others: Sequence[EndpointFilter] = ()) -> None:
        self.board = board
        self.others = others

    def allows(self, request: SessionRequest, endpoint: Endpoint) -> bool:
        """Return whether the endpoint may serve the request."""
        evacuation = self.board.evacuations.by_zone.get(endpoint.zone)
        if evacuation is None:
            return True
        if self.board.clock.now() >= evacuation.requests_end_at:
            return False
        needs_primary = request.min_position is None
        return needs_primary or not self._has_endpoint_outside(request, endpoint.group)

    def _has_endpoint_outside(self, request: SessionRequest, group: str) -> bool:
        evacuated = self.board.evacuations.by_zone
        endpoints = self.board.endpoints.by_group.get(group, ())
        return any(
            item.zone not in evacuated
            and item.is_usable()
            and all(other.allows(request, item) for other in self.others)
            for item in endpoints
        )
