"""The lines that tell from logs alone what became of a promotion."""

from __future__ import annotations

from typing import Any

from ...blackboard import Board
from ...blackboard.configuration import Group
from ...blackboard.groups import Promotion
from ...blackboard.outbox import EndpointCommand
from ...blackboard.timeline import EventKind
from ...positions import Position
from ..leases import handed_on_report


class PromotionLog:
    """Records each step of a promotion on the timeline."""

    __slots__ = ("board",)

    def __init__(self, board: Board) -> None:
        self.board = board

    def started(self, promotion: Promotion, group: Group, reason: str) -> None:
        """Record an attempt and why it is made."""
        self._record(EventKind.FAILOVER_STARTED, promotion, reason, primary=group.primary or "")

    def blocked(self, group: Group, loss: str, reason: str) -> None:
        """Record that a lost primary is left in place, as no endpoint could be promoted."""
        self.board.timeline.record(
            EventKind.PROMOTION_BLOCKED,
            f"group {group.name}",
            loss,
            fence=group.granted_term,
            reason=reason,
        )

    def paused(self, promotion: Promotion, command: EndpointCommand) -> None:
        """Record the result of a pause."""
        self.board.timeline.record(
            EventKind.REPLICATION_PAUSED,
            f"endpoint {command.endpoint}",
            "" if command.accepted else "it did not answer or refused",
            group=command.group,
            fence=promotion.fencing_token,
            term=command.term,
            position=_text(command.position),
        )

    def resumed(self, command: EndpointCommand) -> None:
        """Record the result of a resume outside a promotion."""
        self.board.timeline.record(
            EventKind.REPLICATION_RESUMED,
            f"endpoint {command.endpoint}",
            "" if command.accepted else "it did not answer or refused",
            group=command.group,
            fence=command.fencing_token,
            position=_text(command.position),
        )

    def stepped_down(self, promotion: Promotion, command: EndpointCommand) -> None:
        """Record the result of a step-down."""
        self._record(
            EventKind.PRIMARY_STEPPED_DOWN,
            promotion,
            "" if command.accepted else "it did not answer or refused",
            endpoint=command.endpoint,
            term=command.term,
            position=_text(command.position),
        )

    def adopted(self, group: Group, endpoint: str) -> None:
        """Record that an endpoint is named because it reports that it leads."""
        self.board.timeline.record(
            EventKind.PRIMARY_PROMOTED,
            f"group {group.name}",
            "it reports that it leads",
            endpoint=endpoint,
            fence=group.term,
            kept="",
        )

    def called(self, promotion: Promotion, endpoint: str) -> None:
        """Record a promote call, its proof, and what VMs said of the last commits."""
        cause = "supersedes earlier calls" if promotion.confirms_primary else ""
        if promotion.proof is not None and not promotion.confirms_primary:
            cause = promotion.proof.value
        report = handed_on_report(self.board, self.board.configuration.groups[promotion.group])
        self._record(
            EventKind.PROMOTE_CALLED,
            promotion,
            cause,
            endpoint=endpoint,
            position=_text(promotion.received_positions.get(endpoint)),
            counted=" ".join(
                f"{name}:{position}" for name, position in promotion.received_positions.items()
            ),
            left_out=" ".join(
                sorted(promotion.asked_endpoints - promotion.received_positions.keys())
            ),
            commits=report.describe(self.board.clock.now()),
        )

    def call_ended(self, promotion: Promotion, command: EndpointCommand) -> None:
        """Record the result of a promote call."""
        cause = "refused" if command.is_refused else "no answer"
        cause = "accepted" if command.accepted else cause
        self._record(EventKind.PROMOTE_ENDED, promotion, cause, endpoint=command.endpoint)

    def failed(self, promotion: Promotion, reason: str) -> None:
        """Record why an attempt failed, once for each reason."""
        if reason != promotion.failure:
            promotion.failure = reason
            self._record(EventKind.FENCE_FAILED, promotion, reason)

    def finished(self, promotion: Promotion, knows_kept: bool) -> None:
        """Record the end of a promotion, and up to where the new primary has the log."""
        kept = promotion.received_positions.get(promotion.target or "") if knows_kept else None
        elapsed = self.board.clock.now() - promotion.began_at
        self._record(
            EventKind.PRIMARY_PROMOTED,
            promotion,
            "already the primary" if promotion.confirms_primary else "the most advanced endpoint",
            endpoint=promotion.target or "",
            kept=_text(kept),
            decision_ms=round(elapsed * 1000),
        )

    def _record(self, kind: EventKind, promotion: Promotion, cause: str, **details: Any) -> None:
        subject = f"group {promotion.group}"
        self.board.timeline.record(kind, subject, cause, fence=promotion.fencing_token, **details)


def _text(position: Position | None) -> str:
    return str(position) if position is not None else ""
