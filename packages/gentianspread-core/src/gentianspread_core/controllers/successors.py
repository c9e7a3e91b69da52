"""Which endpoint leads a group next, and when a working primary hands over to another one."""

from __future__ import annotations

from ..blackboard import Board
from ..blackboard.configuration import Group
from ..blackboard.groups import Promotion
from ..blackboard.registrations import Registration
from .groupview import GroupView

MAX_SUCCESSOR_LAG_S = 1.5  # half of an attempt, in which it catches up; the call needs the rest
MIN_HANDOVER_DELAY_S = 0.2  # after the first failed handover, doubled with each further one
MAX_HANDOVER_DELAY_S = 5.0  # how much later a primary may leave an evacuated zone


class Successors:
    """Chooses the primaries of groups whose terms the database assigns, not the control log.

    `_failed_handovers` counts by group the failed attempts while the primary works, and
    `_next_handover_at` is when the next one may begin, in seconds.
    """

    __slots__ = ("board", "view", "_failed_handovers", "_next_handover_at")

    def __init__(self, board: Board, view: GroupView) -> None:
        self.board = board
        self.view = view
        self._failed_handovers: dict[str, int] = {}
        self._next_handover_at: dict[str, float] = {}

    def reset(self) -> None:
        """Forget the failed handovers."""
        self._failed_handovers.clear()
        self._next_handover_at.clear()

    def note_handover(self, group_name: str, is_done: bool) -> None:
        """Note the end of a handover, or of a call that supersedes an earlier one."""
        if is_done:
            self._failed_handovers.pop(group_name, None)
            self._next_handover_at.pop(group_name, None)
            return
        count = self._failed_handovers.get(group_name, 0)
        self._failed_handovers[group_name] = count + 1
        delay_s = min(MAX_HANDOVER_DELAY_S, MIN_HANDOVER_DELAY_S * 2.0**count)
        self._next_handover_at[group_name] = self.board.clock.now() + delay_s

    def is_delayed(self, primary: Registration) -> bool:
        """Return whether a working primary is left alone after a failed handover.

        One that is leaving is not, since it may stop soon.
        """
        next_at = self._next_handover_at.get(primary.group, 0.0)
        return not primary.leaving and self.board.clock.now() < next_at

    def handover_reason(self, group: Group, primary: Registration) -> str:
        """Return why a working primary hands over to an endpoint that stays, or an empty text."""
        if self.view.is_staying(primary) or not self.has_successor(group):
            return ""
        if primary.leaving:
            return f"the primary {primary.name} is leaving"
        if not self.has_close_successor(group):
            return ""
        return f"the zone {primary.zone} of the primary {primary.name} is evacuated"

    def has_successor(self, group: Group) -> bool:
        """Return whether an endpoint that stays answers, other than the primary."""
        return bool(self._successor_names(group))

    def has_close_successor(self, group: Group) -> bool:
        """Return whether a successor has what the primary had a moment before.

        Otherwise nobody could follow within an attempt once the primary has stepped down.
        """
        health = self.board.groups.health
        positions = [health[name].position for name in self._successor_names(group)]
        since = self.board.clock.now() - MAX_SUCCESSOR_LAG_S
        return self.view.reaches_primary_since(group.name, since, positions)

    def _successor_names(self, group: Group) -> list[str]:
        return [
            endpoint.name
            for endpoint in self.view.endpoints_of(group.name)
            if endpoint.name != group.primary
            and self.view.is_staying(endpoint)
            and self.view.is_healthy(endpoint.name)
        ]

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
