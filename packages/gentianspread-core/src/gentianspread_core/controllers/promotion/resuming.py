"""Which replicas may still be paused though no promotion is under way.

A pause without an answer may be carried out seconds after its attempt, a resume may be lost, and a
new control leader does not know whom the one before had paused.
"""

from __future__ import annotations

from ...blackboard import Board
from ...blackboard.configuration import Group
from ...blackboard.registrations import Registration
from ..groupview import GroupView

MAX_LAG_S = 0.4  # a replica that receives is a tenth of a second behind
RESUME_INTERVAL_S = 2.0  # a replica that is behind for another reason is not asked more often


class PausedSuspects:
    """Finds replicas that do not follow a working primary.

    `_resumed_at` is when each of them was last told to resume, in seconds.
    """

    __slots__ = ("board", "view", "_resumed_at")

    def __init__(self, board: Board, view: GroupView) -> None:
        self.board = board
        self.view = view
        self._resumed_at: dict[str, float] = {}

    def reset(self) -> None:
        """Forget who was told to resume."""
        self._resumed_at.clear()

    def due(self, group: Group) -> list[Registration]:
        """Return the replicas to resume now."""
        if group.granted_term != group.term or not self.view.is_healthy(group.primary or ""):
            return []
        now = self.board.clock.now()
        suspects = [
            replica
            for replica in self.view.replicas(group)
            if self.view.is_healthy(replica.name)
            and now - self._resumed_at.get(replica.name, float("-inf")) >= RESUME_INTERVAL_S
            and self._is_behind(replica, now)
        ]
        for replica in suspects:
            self._resumed_at[replica.name] = now
        return suspects

    def _is_behind(self, replica: Registration, now: float) -> bool:
        """Return whether the primary was seen past the replica's position some time ago."""
        position = self.board.groups.health[replica.name].position
        if position is None:
            return False
        passed_at = self.board.observations.passed_at(replica.group, position)
        return passed_at is not None and now - passed_at > MAX_LAG_S
