"""What is known of a group's endpoints, and whether one may be done without.

A commit is acknowledged once the primary and one replica have it. A replica that has ended can have
confirmed nothing later, so whoever has all that the primary had at some moment after its end has
all that it confirmed.
"""

from __future__ import annotations

from ..blackboard import Board
from ..blackboard.configuration import Group, Registration
from ..blackboard.groups import Promotion
from ..blackboard.outbox import UnreachableReason
from ..positions import Position

LOST_AFTER_FAILURES = 2  # probes; one can be lost with a connection that went silent


class GroupView:
    """Reads the board on behalf of the controllers of groups that number their terms."""

    __slots__ = ("board",)

    def __init__(self, board: Board) -> None:
        self.board = board

    def members(self, group: str) -> list[Registration]:
        """Return the known endpoints of a group."""
        endpoints = self.board.configuration.endpoints.values()
        return [item for item in endpoints if item.group == group]

    def receivers(self, group: Group) -> list[Registration]:
        """Return the endpoints that receive from the primary."""
        return [item for item in self.members(group.name) if item.name != group.primary]

    def is_healthy(self, name: str) -> bool:
        """Tell whether an endpoint answered the last probe."""
        health = self.board.groups.health.get(name)
        return health is not None and health.answered and health.failures == 0

    def departed_at(self, group: Group) -> float | None:
        """Return when this leader knew of all departures that are not covered, or none."""
        now = self.board.clock.now()
        known = self.board.groups.departed_since.get(group.name, {})
        return max((known.get(name, now) for name in group.departed), default=None)

    def has_all_since(self, group: str, since: float, held: list[Position | None]) -> bool:
        """Tell whether one of the positions covers what the primary had at some later moment."""
        seen = self.board.observations.oldest_since(group, since)
        if seen is None:
            return False
        return any(item is not None and item.reaches(seen.position) for item in held)

    def is_made_up(
        self, promotion: Promotion, item: Registration, held: list[Position | None]
    ) -> bool:
        """Tell whether a replica has ended, and another has all that it may have confirmed."""
        health = self.board.groups.health.get(item.name)
        if (
            item.name not in promotion.ended_endpoints
            or health is None
            or health.ended_since is None
        ):
            return False
        return self.has_all_since(promotion.group, health.ended_since, held)


def has_ended(registration: Registration, unreachable_reason: UnreachableReason | None) -> bool:
    """Tell whether an endpoint's absence proves that it ended; one that leaves is expected to."""
    if unreachable_reason is UnreachableReason.REPLACED:
        return True
    return unreachable_reason is UnreachableReason.NOT_LISTENING and registration.leaving
