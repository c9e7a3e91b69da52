"""Handovers from a primary that has stepped down: the replicas catch up with it."""

from __future__ import annotations

from ...blackboard import Board, Topic
from ...blackboard.configuration import Group
from ...blackboard.groups import Promotion, PromotionPhase, PromotionProof
from ...blackboard.outbox import EndpointCommandKind
from ..groupview import GroupView
from .commands import PromotionCommands

CATCH_UP_POLL_INTERVAL_S = 0.02  # replicas lag 20 ms behind the primary


class Handover:
    """Asks the replicas that stay for their positions until one has what the primary had."""

    __slots__ = ("board", "view", "commands")

    def __init__(self, board: Board, view: GroupView, commands: PromotionCommands) -> None:
        self.board = board
        self.view = view
        self.commands = commands

    def request_positions(self, promotion: Promotion) -> None:
        """Ask the replicas that stay for their positions."""
        promotion.phase = PromotionPhase.CATCHING_UP
        promotion.due = self.board.clock.now() + CATCH_UP_POLL_INTERVAL_S
        group = self.board.configuration.groups[promotion.group]
        for replica in self.view.replicas(group):
            is_pending = replica.name in promotion.pending_endpoints
            if self.view.is_staying(replica) and not is_pending:
                self.commands.send(EndpointCommandKind.RESUME_REPLICATION, replica, promotion)
        self.board.changes.post_at(promotion.due, Topic.FAILOVER_CHECK_DUE)

    def has_kept_log(self, promotion: Promotion, group: Group) -> bool:
        """Return whether the former primary still has what it had when it stepped down."""
        health = self.board.groups.health.get(group.primary or "")
        position = promotion.step_down_position
        is_known = health is not None and health.position is not None and position is not None
        return is_known and health.failures == 0 and health.position.reaches(position)

    def caught_up(self, promotion: Promotion, group: Group) -> str | None:
        """Return a replica that has everything that the primary had when it stepped down."""
        for name, position in promotion.received_positions.items():
            if name != group.primary and position.reaches(promotion.step_down_position):
                promotion.proof = PromotionProof.STEPPED_DOWN_PRIMARY
                return name
        return None
