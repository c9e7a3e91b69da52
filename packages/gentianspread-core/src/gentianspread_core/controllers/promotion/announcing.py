"""The wait until no VM can hand on a commit without knowing of a promotion."""

from __future__ import annotations

from ...blackboard import Board, Topic
from ...blackboard.groups import Promotion, PromotionPhase
from ...blackboard.leases import MAX_LEASE_WAIT_S
from ..leases import every_vm_knows


class Announcement:
    """Begins the wait, and tells when it is over."""

    __slots__ = ("board",)

    def __init__(self, board: Board) -> None:
        self.board = board

    def begin(self, promotion: Promotion) -> None:
        """Begin the wait, which ends by itself when the leases on commits have expired."""
        promotion.phase = PromotionPhase.ANNOUNCING
        opening = self.board.leases.openings.get(promotion.group)
        if opening is not None:
            due = opening.opened_at + MAX_LEASE_WAIT_S
            self.board.changes.post_at(due, Topic.FAILOVER_CHECK_DUE)

    def is_known_to_all(self, promotion: Promotion) -> bool:
        """Return whether pauses may be sent, also after the delay of an earlier round."""
        is_due = self.board.clock.now() >= promotion.due
        return is_due and every_vm_knows(self.board, promotion.group)
