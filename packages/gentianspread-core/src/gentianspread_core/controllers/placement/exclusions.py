"""Refuses the requests that filters leave no endpoint for, with the reasons of these filters."""

from __future__ import annotations

from ...blackboard import Board, Topic
from ...blackboard.sessions import SessionRequest
from ...errors import ErrorCode
from ..evacuation import EvacuationFilter
from .candidates import Candidates


class Exclusions:
    """Decides for a request that cannot be placed whether it is refused or may wait."""

    __slots__ = ("board", "candidates")

    def __init__(self, board: Board, candidates: Candidates) -> None:
        self.board = board
        self.candidates = candidates

    def refuse_unusable(self, request: SessionRequest) -> bool:
        """Refuse a request if filters exclude every usable endpoint; return whether they do."""
        reasons = self.candidates.exclusion_reasons(request)
        if not reasons or reasons == [EvacuationFilter.reason]:
            return False  # a primary in an evacuated zone may hand over in time
        self._refuse_for(request, reasons)
        return True

    def refuse_hopeless(self, request: SessionRequest) -> bool:
        """Refuse a request if filters allow no endpoint for it that may be usable in time.

        From the end of an evacuation's bound on, this includes requests that only a primary in the
        zone can run. Returns whether the request was refused.
        """
        lacks_primary = self._needs_evacuated_primary(request)
        if not lacks_primary and not self.candidates.is_excluded_everywhere(request):
            return False
        reasons = self.candidates.reasons_in_group(request)
        if lacks_primary or EvacuationFilter.reason in reasons:
            message = f"No endpoint of {request.group} outside the evacuated zones can serve this."
            request.refuse(ErrorCode.ZONE_EVACUATED, message)
            self.board.changes.post(Topic.REQUEST_REFUSED, request)
        else:
            self._refuse_for(request, reasons)
        return True

    def refuse_overdue_transaction(self, request: SessionRequest, endpoint_name: str) -> bool:
        """Refuse a statement of a transaction at an endpoint that gets no more requests."""
        endpoint = self.board.endpoints.by_name.get(endpoint_name)
        evacuation = self.board.evacuations.by_zone.get(endpoint.zone) if endpoint else None
        if evacuation is None or self.board.clock.now() < evacuation.requests_end_at:
            return False
        request.refuse(ErrorCode.TRANSACTION_UNKNOWN, "The transaction was rolled back.")
        self.board.changes.post(Topic.REQUEST_REFUSED, request)
        return True

    def _refuse_for(self, request: SessionRequest, reasons: list[str]) -> None:
        reason = ", ".join(reasons)
        excluded = self.board.queues.excluded
        excluded[reason] = excluded.get(reason, 0) + 1
        message = f"All endpoints of {request.group} are excluded at present: {reason}."
        request.refuse(ErrorCode.NO_ENDPOINT, message)
        self.board.changes.post(Topic.REQUEST_REFUSED, request)

    def _needs_evacuated_primary(self, request: SessionRequest) -> bool:
        if request.min_position is not None or request.relayed_statement is not None:
            return False
        primary = self.candidates.primary_of(request.group)
        now = self.board.clock.now()
        return primary is not None and self.board.evacuations.is_past_bound(primary.zone, now)
