"""What to do next while the replicas of a group are being paused."""

from __future__ import annotations

from enum import Enum, auto

from ...blackboard import Board, Topic
from ...blackboard.configuration import Group
from ...blackboard.groups import Promotion, PromotionPhase, PromotionProof
from ...blackboard.outbox import EndpointCommand
from ...blackboard.registrations import Registration
from ..groupview import GroupView
from ..successors import Successors
from .calls import PromoteCalls
from .proofs import PromotionProofs

RETRY_DELAY_S = 0.2  # between two attempts, or two rounds of pauses
MAX_BLOCKED_S = 4.0  # two attempts with a call each; VMs withhold commits meanwhile


class PauseStep(Enum):
    """What to do next."""

    WAIT = auto()
    CONFIRM = auto()
    PROMOTE = auto()
    FAIL = auto()


class PauseDecision:
    """A step with the endpoint that it is about, or the reason of a failure."""

    __slots__ = ("step", "endpoint", "reason")

    def __init__(self, step: PauseStep, endpoint: str = "", reason: str = "") -> None:
        self.step = step
        self.endpoint = endpoint
        self.reason = reason


class PausedReplicas:
    """Decides by the positions of paused endpoints, and what is known of the others."""

    __slots__ = ("board", "view", "successors", "calls", "proofs")

    def __init__(
        self,
        board: Board,
        view: GroupView,
        successors: Successors,
        calls: PromoteCalls,
        proofs: PromotionProofs,
    ) -> None:
        self.board = board
        self.view = view
        self.successors = successors
        self.calls = calls
        self.proofs = proofs

    def unasked(self, promotion: Promotion, group: Group) -> list[Registration]:
        """Return the endpoints to pause that were not asked yet, also those that have just joined.

        A former primary that answers is one of them.
        """
        endpoints = {item.name: item for item in self.view.replicas(group)}
        primary = self.board.configuration.endpoints.get(group.primary)
        health = self.board.groups.health.get(group.primary)
        if primary is not None and self.view.is_healthy(primary.name) and not health.is_primary:
            endpoints[primary.name] = primary
        return [item for name, item in endpoints.items() if name not in promotion.asked_endpoints]

    def record(self, promotion: Promotion, command: EndpointCommand) -> str:
        """Record an endpoint's answer; return why the attempt cannot go on, or an empty text."""
        health = self.board.groups.health.get(command.endpoint)
        if command.accepted and health is not None and health.has_lost_log(command.position):
            return f"{command.endpoint} has lost its log"
        if command.accepted and command.position is not None:
            promotion.received_positions[command.endpoint] = command.position
        elif command.unreachable_reason and command.unreachable_reason.proves_termination():
            promotion.terminated_endpoints.add(command.endpoint)
        return ""

    def decide(self, promotion: Promotion, group: Group) -> PauseDecision:
        """Return the next step."""
        if self.view.has_primary_recovered(group, promotion):
            return PauseDecision(PauseStep.CONFIRM, group.primary or "")
        received, terminated = promotion.received_positions, promotion.terminated_endpoints
        proof = self.proofs.find(group, received, terminated)
        if self._may_answer_more(promotion, proof):
            return PauseDecision(PauseStep.WAIT)
        if proof is None and self._reaches_earlier_target(promotion):
            proof = PromotionProof.EARLIER_TARGET
        self.board.groups.proof_counts[proof] += 1
        if proof is not None:
            promotion.proof = proof
            return PauseDecision(PauseStep.PROMOTE, self.successors.most_advanced(promotion))
        self.proofs.note_failure(group)
        reason = self.proofs.explain(group, received, terminated)
        return PauseDecision(PauseStep.FAIL, reason=reason)

    def begin_again(self, promotion: Promotion) -> None:
        """Repeat the pauses after a delay, under the same fencing token as no call was made."""
        promotion.phase = PromotionPhase.ANNOUNCING
        promotion.asked_endpoints.clear()
        promotion.received_positions.clear()
        promotion.terminated_endpoints.clear()
        promotion.due = promotion.began_at = self.board.clock.now() + RETRY_DELAY_S
        self.board.changes.post_at(promotion.due, Topic.FAILOVER_CHECK_DUE)

    def is_blocked(self, group: Group) -> bool:
        """Return whether pauses have not sufficed for so long that the primary is better kept."""
        opening = self.board.leases.openings.get(group.name)
        is_long = opening and self.board.clock.now() - opening.opened_at > MAX_BLOCKED_S
        return bool(is_long) and group.primary in self.board.configuration.endpoints

    def _may_answer_more(self, promotion: Promotion, proof: PromotionProof | None) -> bool:
        """Return whether to wait for pauses without an answer.

        An endpoint that is ahead of all that was handed on has commits that VMs withhold.
        """
        if proof is PromotionProof.HANDED_ON:
            return any(self.view.is_healthy(name) for name in promotion.pending_endpoints)
        return proof is None and bool(promotion.pending_endpoints)

    def _reaches_earlier_target(self, promotion: Promotion) -> bool:
        """Return whether a paused endpoint has what an earlier attempt found sufficient.

        No commit was handed on since, whatever has departed or lost its log meanwhile.
        """
        sufficient = self.calls.sufficient_position(promotion.group)
        positions = promotion.received_positions.values()
        return sufficient is not None and any(item.reaches(sufficient) for item in positions)
