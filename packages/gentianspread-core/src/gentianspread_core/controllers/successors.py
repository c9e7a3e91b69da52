"""Which endpoint leads a group next, and when a working primary hands over to another one."""

from __future__ import annotations

from ..blackboard import Board
from ..blackboard.configuration import Group
from ..blackboard.groups import Promotion
from ..blackboard.registrations import Registration
from ..positions import Position
from .groupview import GroupView


class Successors:
    """Chooses the primaries of groups whose terms the database assigns, not the control log."""

    __slots__ = ("board", "view")

    def __init__(self, board: Board, view: GroupView) -> None:
        self.board = board
        self.view = view

    def handover_reason(self, group: Group, primary: Registration) -> str:
        """Return why a working primary hands over to an endpoint that stays, or an empty text."""
        if self.view.is_staying(primary) or not self.has_successor(group):
            return ""
        if primary.leaving:
            return f"the primary {primary.name} is leaving"
        return f"the zone {primary.zone} of the primary {primary.name} is evacuated"

    def has_successor(self, group: Group) -> bool:
        """Return whether an endpoint that stays answers, other than the primary."""
        return any(
            endpoint.name != group.primary
            and self.view.is_staying(endpoint)
            and self.view.is_healthy(endpoint.name)
            for endpoint in self.view.endpoints_of(group.name)
        )

    def reported_primary(self, group_name: str) -> str | None:
        """Return the endpoint with the newest position that reports itself as primary, if any."""
        best: str | None = None
        best_position: Position | None = None
        for endpoint in self.view.endpoints_of(group_name):
            health = self.board.groups.health.get(endpoint.name)
            if health is None or not health.is_primary or health.position is None:
                continue
            if best_position is None or health.position.reaches(best_position):
                best, best_position = endpoint.name, health.position
        return best

    def most_advanced(self, promotion: Promotion) -> str:
        """Return the endpoint that has received most; among equals, one that stays.

        An endpoint of an evacuated zone that does not leave is preferred to one that leaves.
        """
        best = next(iter(promotion.received_positions))
        for name, position in promotion.received_positions.items():
            best_position = promotion.received_positions[best]
            is_ahead = not best_position.reaches(position)
            is_equal = best_position == position
            if is_ahead or (is_equal and self._permanence(name) > self._permanence(best)):
                best = name
        return best

    def _permanence(self, name: str) -> int:
        """Return 0 for an endpoint that leaves, 1 in an evacuated zone, 2 for one that stays."""
        registration = self.board.configuration.endpoints.get(name)
        if registration is None or registration.leaving:
            return 0
        return 2 if self.view.is_staying(registration) else 1
