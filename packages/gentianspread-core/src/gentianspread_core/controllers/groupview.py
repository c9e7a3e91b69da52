"""State of a group's endpoints, and whether a promotion may go ahead without one of them.

A commit is acknowledged once the primary and one replica have it. A replica that has terminated
confirms nothing afterwards. So an endpoint that has everything the primary had at some moment after
the termination has every commit that the replica confirmed.
"""

from __future__ import annotations

from ..blackboard import Board
from ..blackboard.configuration import Group, Registration
from ..blackboard.groups import Promotion
from ..blackboard.outbox import UnreachableReason
from ..positions import Position

PROBE_FAILURE_THRESHOLD = 2  # a single probe may fail because its connection went silent


class GroupView:
    """Queries on the board for groups whose endpoints assign their own terms."""

    __slots__ = ("board",)

    def __init__(self, board: Board) -> None:
        self.board = board

    def members(self, group: str) -> list[Registration]:
        """Return the known endpoints of a group."""
        endpoints = self.board.configuration.endpoints.values()
        return [item for item in endpoints if item.group == group]

    def replicas(self, group: Group) -> list[Registration]:
        """Return the endpoints that replicate from the primary."""
        return [item for item in self.members(group.name) if item.name != group.primary]

    def is_healthy(self, name: str) -> bool:
        """Return whether an endpoint answered the last probe."""
        health = self.board.groups.health.get(name)
        return health is not None and health.probed and health.failures == 0

    def departures_known_at(self, group: Group) -> float | None:
        """Return when this leader knew of all departures not yet covered, or none."""
        now = self.board.clock.now()
        known = self.board.groups.departed_since.get(group.name, {})
        return max((known.get(name, now) for name in group.departed), default=None)

    def covers_commits_before(
        self, group: str, time: float, positions: list[Position | None]
    ) -> bool:
        """Return whether a position reaches one that the primary had at or after a time."""
        observed = self.board.observations.oldest_since(group, time)
        if observed is None:
            return False
        return any(item is not None and item.reaches(observed.position) for item in positions)

    def can_skip(
        self, promotion: Promotion, item: Registration, positions: list[Position | None]
    ) -> bool:
        """Return whether a replica terminated and another has all that it may have confirmed."""
        health = self.board.groups.health.get(item.name)
        if (
            item.name not in promotion.ended_endpoints
            or health is None
            or health.ended_since is None
        ):
            return False
        return self.covers_commits_before(promotion.group, health.ended_since, positions)


def has_terminated(
    registration: Registration, unreachable_reason: UnreachableReason | None
) -> bool:
    """Return whether an endpoint's absence proves that it terminated.

    A closed port proves it only for a leaving endpoint, which is expected to terminate.
    """
    if unreachable_reason is UnreachableReason.REPLACED:
        return True
    return unreachable_reason is UnreachableReason.NOT_LISTENING and registration.leaving
