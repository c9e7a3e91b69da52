"""Promotion controller: changes the primary of groups whose terms the database assigns.

Runs on the control leader only. In these groups a commit is acknowledged once one replica has it,
and that replica may be one that no VM has heard of. A promotion therefore begins with a grant in
the control log, and only when no VM can hand on a commit without knowing of it (`leases`) are the
replicas paused, that is, they stop receiving; the one that has received most then has every commit
that was handed on, and is promoted. Until it is certain that no call can take effect any more, the
promotion is under way and VMs withhold what the endpoints confirm.

`proofs` decides whether it may go ahead without a replica. A promote call that got no answer may
still take effect; only one with a higher fencing token rules that out.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ...blackboard import Board, Topic
from ...blackboard.commands import ChangeOutcome, Command, CommandKind
from ...blackboard.configuration import Group
from ...blackboard.groups import Promotion, PromotionPhase
from ...blackboard.messages import Proposal
from ...blackboard.outbox import EndpointCommand, EndpointCommandKind
from ..groupview import GroupView
from ..successors import Successors
from .announcing import Announcement
from .calls import PROMOTION_EFFECT_S, PromoteCalls
from .commands import PromotionCommands
from .handover import Handover
from .log import PromotionLog
from .naming import PrimaryNaming
from .pausing import RETRY_DELAY_S, PausedReplicas, PauseStep
from .proofs import PromotionProofs
from .resuming import PausedSuspects
from .triggers import PromotionTriggers

PROMOTION_COOLDOWN_S = 1.5  # an endpoint becomes primary some hundred milliseconds after the call
ATTEMPT_TIMEOUT_S = 3.0  # covers all rounds of an attempt with their timeouts


def _ignore_outcome(outcome: ChangeOutcome | None) -> None:
    """Ignore the outcome: the next check reads it from the configuration."""


class PromotionController:
    """Owns the promotions of groups whose terms the database assigns."""

    __slots__ = (
        "board",
        "view",
        "successors",
        "proofs",
        "triggers",
        "commands",
        "calls",
        "paused",
        "announcement",
        "handover",
        "naming",
        "suspects",
        "log",
        "_next_attempt_at",
    )

    def __init__(self, board: Board) -> None:
        self.board = board
        self.view = GroupView(board)
        self.successors = Successors(board, self.view)
        self.proofs = PromotionProofs(board, self.view)
        self.log = PromotionLog(board)
        self.triggers = PromotionTriggers(board, self.view, self.successors, self.proofs, self.log)
        self.commands = PromotionCommands(board, self.view)
        self.calls = PromoteCalls(board.clock)
        self.paused = PausedReplicas(board, self.view, self.successors, self.calls, self.proofs)
        self.announcement = Announcement(board)
        self.handover = Handover(board, self.view, self.commands)
        self.naming = PrimaryNaming(board, self.view)
        self.suspects = PausedSuspects(board, self.view)
        self._next_attempt_at: dict[str, float] = {}

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.LEADERSHIP_CHANGED: self.on_leadership,
            Topic.FAILOVER_CHECK_DUE: self.on_failover_due,
            Topic.HEALTH_UPDATED: self.on_health_updated,
            Topic.ENDPOINT_COMMAND_ENDED: self.on_command_ended,
            Topic.CONFIGURATION_CHANGED: self.on_configuration,
            Topic.VMS_INFORMED: self.on_informed,
        }

    def on_leadership(self, _entry: None) -> None:
        """Drop the promotions that belong to another leader's term."""
        self.board.groups.promotions.clear()
        self._next_attempt_at.clear()
        parts = (self.commands, self.calls, self.successors, self.proofs, self.triggers)
        for part in (*parts, self.naming, self.suspects):
            part.reset()

    def on_failover_due(self, _entry: None) -> None:
        """Start, continue or abort the promotion of every group."""
        if not self.board.leads_with_quorum():
            return
        for group in list(self.board.configuration.groups.values()):
            self._check_group(group)
        self.commands.retry_resumes()

    def on_health_updated(self, group_name: str) -> None:
        """Check a group after one of its endpoints was probed."""
        group = self.board.configuration.groups.get(group_name)
        if group is not None:
            self._check_group(group)

    def on_configuration(self, _revision: int) -> None:
        """Proceed with a promotion once the control log granted its fencing token."""
        for promotion in list(self.board.groups.promotions.values()):
            group = self.board.configuration.groups.get(promotion.group)
            is_current = group is not None and group.granted_term == promotion.fencing_token
            if promotion.phase is PromotionPhase.GRANTING and promotion.is_granted and is_current:
                self._begin(promotion, group)

    def on_informed(self, _revision: int) -> None:
        """Proceed with the promotions that waited for the VMs to know of them."""
        for promotion in list(self.board.groups.promotions.values()):
            if promotion.phase is PromotionPhase.ANNOUNCING:
                self._proceed_if_known(promotion)

    def on_command_ended(self, command: EndpointCommand) -> None:
        """Handle the result of a command to an endpoint."""
        promotion = self.board.groups.promotions.get(command.group)
        is_resume = command.kind is EndpointCommandKind.RESUME_REPLICATION
        if promotion is None and is_resume:
            self.commands.note_resume(command)
            self.log.resumed(command)
        if command.kind is EndpointCommandKind.PROMOTE and (
            promotion is None or promotion.fencing_token != command.fencing_token
        ):
            self.calls.note_result(command)
        if promotion is None or promotion.fencing_token != command.fencing_token:
            return
        promotion.pending_endpoints.discard(command.endpoint)
        if self.commands.repeat_with_newer_term(promotion, command):
            return
        if command.kind is EndpointCommandKind.PROMOTE:
            self._handle_promote_result(promotion, command)
        elif command.kind is EndpointCommandKind.STEP_DOWN:
            self._handle_step_down(promotion, command)
        else:
            self._handle_position(promotion, command)

    def _handle_position(self, promotion: Promotion, command: EndpointCommand) -> None:
        """Record a replica's position, or that it has terminated."""
        if command.kind is EndpointCommandKind.PAUSE_REPLICATION:
            self.log.paused(promotion, command)
        failure = self.paused.record(promotion, command)
        group = self.board.configuration.groups[promotion.group]
        if failure:
            self._abort(promotion, failure)
        elif promotion.phase is PromotionPhase.PAUSING:
            self._continue_pausing(promotion, group)
        elif promotion.phase is PromotionPhase.CATCHING_UP:
            successor = self.handover.caught_up(promotion, group)
            if successor is not None:
                self._send_promote(promotion, successor)

    def _check_group(self, group: Group) -> None:
        """Start, continue or abort a group's promotion according to the endpoints' health."""
        if not group.counts_own_terms or not self.board.leads_with_quorum():
            return
        promotion = self.board.groups.promotions.get(group.name)
        if promotion is not None:
            self._check_promotion(promotion, group)
            return
        confirmation = self.naming.confirmation(group)
        if confirmation is not None:
            self._propose(CommandKind.NAME_PRIMARY, confirmation)
        for replica in self.suspects.due(group):
            self.commands.resume(replica, group.granted_term)
        if self.board.clock.now() < self._next_attempt_at.get(group.name, 0.0):
            return
        adoption = self.naming.adoption(group)
        reason = self.triggers.reason_for(group)
        if adoption is not None:
            self._delay_next_attempt(group.name, RETRY_DELAY_S)
            self.log.adopted(group, adoption["endpoint"])
            self._propose(CommandKind.NAME_PRIMARY, adoption)
        elif reason:
            self._start_promotion(group, reason)

    def _check_promotion(self, promotion: Promotion, group: Group) -> None:
        """Continue or abort a promotion."""
        now = self.board.clock.now()
        if now - promotion.began_at > ATTEMPT_TIMEOUT_S:
            self._end_attempt(promotion, group)
        elif promotion.phase is PromotionPhase.ANNOUNCING:
            leading = self.view.leading_endpoint(group)
            if leading is not None and not promotion.is_planned:
                self._confirm_primary(promotion, group, leading.name)
            else:
                self._proceed_if_known(promotion)
        elif promotion.phase is PromotionPhase.CATCHING_UP and now >= promotion.due:
            self.handover.request_positions(promotion)
        elif promotion.phase is PromotionPhase.CONFIRMING and now >= promotion.due:
            self._check_confirmed(promotion, group)

    def _end_attempt(self, promotion: Promotion, group: Group) -> None:
        """Abort an attempt that timed out; reinstate a primary that stepped down for it.

        It stepped down under this fencing token, so no other endpoint was promoted since.
        """
        is_intact = self.handover.has_kept_log(promotion, group)
        if promotion.phase is not PromotionPhase.CATCHING_UP or not is_intact:
            self._abort(promotion, "the attempt timed out")
            return
        promotion.began_at = self.board.clock.now()
        self._send_promote(promotion, group.primary or "")

    def _start_promotion(self, group: Group, reason: str) -> None:
        fencing_token = group.granted_term + 1
        promotion = Promotion(group.name, fencing_token, self.board.clock.now())
        promotion.follows_attempt = group.granted_term != group.term
        self.calls.begin(group, self.board.configuration.has_led(group))
        self.board.groups.promotions[group.name] = promotion
        self.log.started(promotion, group, reason)
        fields = {"group": group.name, "term": fencing_token}
        self._propose(
            CommandKind.GRANT_TERM, fields, lambda outcome: self._note_grant(promotion, outcome)
        )

    def _note_grant(self, promotion: Promotion, outcome: ChangeOutcome | None) -> None:
        """Note whose grant was applied: another leader may have been granted the same token."""
        if outcome is not None and outcome.accepted:
            promotion.is_granted = True
        elif self.board.groups.promotions.get(promotion.group) is promotion:
            self._drop(promotion)

    def _begin(self, promotion: Promotion, group: Group) -> None:
        """Decide what to do with a granted fencing token.

        A handover begins only if no earlier attempt is open, so that an attempt that failed while
        the primary works does not keep VMs from answering commits.
        """
        leading = self.view.leading_endpoint(group)
        if leading is not None:
            is_primary = leading.name == group.primary and not promotion.follows_attempt
            if not (is_primary and self.successors.handover_reason(group, leading)):
                self._confirm_primary(promotion, group, leading.name)
                return
            promotion.is_planned = True
        self.announcement.begin(promotion)
        self._proceed_if_known(promotion)

    def _proceed_if_known(self, promotion: Promotion) -> None:
        """Send the first commands once no VM hands on commits without knowing of the promotion."""
        if not self.announcement.is_known_to_all(promotion):
            return
        group = self.board.configuration.groups[promotion.group]
        promotion.began_at = self.board.clock.now()
        leading = self.view.leading_endpoint(group)
        if promotion.is_planned and leading is not None and leading.name == group.primary:
            promotion.phase = PromotionPhase.STEPPING_DOWN
            self.commands.send(EndpointCommandKind.STEP_DOWN, leading, promotion)
            return
        promotion.is_planned = False
        promotion.phase = PromotionPhase.PAUSING
        self._continue_pausing(promotion, group)

    def _confirm_primary(self, promotion: Promotion, group: Group, leading: str) -> None:
        """End the promotion with the endpoint that leads; no call may take effect after that."""
        promotion.confirms_primary = True
        promotion.is_planned = False
        promotion.began_at = self.board.clock.now()
        if leading == group.primary and not self.calls.may_take_effect(group.name):
            promotion.target = leading
            self._finish(promotion, group)
        else:
            self._send_promote(promotion, leading)

    def _check_confirmed(self, promotion: Promotion, group: Group) -> None:
        """Finish once the target was seen to lead after earlier calls can no longer take effect."""
        leader = self.naming.leader_after_calls(promotion, group)
        if leader == promotion.target:
            self._finish(promotion, group)
        elif leader is not None:
            self._abort(promotion, f"{leader} leads after an earlier call")

    def _handle_step_down(self, promotion: Promotion, command: EndpointCommand) -> None:
        self.log.stepped_down(promotion, command)
        if not command.accepted or command.position is None:
            self._abort(promotion, "the primary did not step down")
            return
        promotion.step_down_position = command.position
        promotion.received_positions[command.endpoint] = command.position
        self.handover.request_positions(promotion)

    def _continue_pausing(self, promotion: Promotion, group: Group) -> None:
        for endpoint in self.paused.unasked(promotion, group):
            promotion.asked_endpoints.add(endpoint.name)
            self.commands.send(EndpointCommandKind.PAUSE_REPLICATION, endpoint, promotion)
        decision = self.paused.decide(promotion, group)
        if decision.step is PauseStep.CONFIRM:
            self._confirm_primary(promotion, group, decision.endpoint)
        elif decision.step is PauseStep.PROMOTE:
            self._send_promote(promotion, decision.endpoint)
        elif decision.step is PauseStep.FAIL:
            self._abort(promotion, decision.reason)

    def _send_promote(self, promotion: Promotion, target: str) -> None:
        promotion.phase = PromotionPhase.CALLING
        promotion.target = target
        registration = self.board.configuration.endpoints.get(target)
        if registration is None:
            self._abort(promotion, f"{target} is not registered any more")
            return
        promotion.began_at = self.board.clock.now()
        promotion.is_only_call = not self.calls.may_take_effect(promotion.group, target)
        self.calls.add(promotion, target)
        self.log.called(promotion, target)
        self.commands.promote(registration, promotion)

    def _handle_promote_result(self, promotion: Promotion, command: EndpointCommand) -> None:
        self.log.call_ended(promotion, command)
        self.calls.note_result(command)
        if not command.accepted:
            self._abort(promotion, "the promote call was refused or got no answer")
            return
        group = self.board.configuration.groups[promotion.group]
        if promotion.is_only_call:
            self._finish(promotion, group)
            return
        promotion.phase = PromotionPhase.CONFIRMING
        promotion.began_at = self.board.clock.now()
        promotion.due = promotion.began_at + PROMOTION_EFFECT_S

    def _finish(self, promotion: Promotion, group: Group) -> None:
        """Name the primary in the control log, which ends the promotion."""
        del self.board.groups.promotions[promotion.group]
        target = promotion.target or ""
        if promotion.is_planned:
            self.successors.note_handover(group.name, is_done=target != group.primary)
        self._delay_next_attempt(group.name, PROMOTION_COOLDOWN_S)
        self.board.changes.post(Topic.PROMOTION_ENDED, group.name)
        if promotion.confirms_primary or promotion.phase is PromotionPhase.CONFIRMING:
            self.commands.resume_replicas(promotion, target)
        fields = self.naming.result(promotion, group)
        self.calls.end(group.name)
        self._propose(CommandKind.NAME_PRIMARY, fields)
        self.log.finished(promotion, "kept" in fields)

    def _abort(self, promotion: Promotion, reason: str) -> None:
        """End an attempt; if the primary still leads and no call was made, also the promotion."""
        self.log.failed(promotion, reason)
        if promotion.is_planned:
            self.successors.note_handover(promotion.group, is_done=False)
        group = self.board.configuration.groups[promotion.group]
        leading = self.view.leading_endpoint(group)
        is_granted = promotion.phase is not PromotionPhase.GRANTING
        is_unchanged = leading is not None and leading.name == group.primary
        if is_granted and is_unchanged and not self.calls.may_take_effect(group.name):
            self._confirm_primary(promotion, group, leading.name)
        elif promotion.phase is PromotionPhase.PAUSING and self.calls.may_take_effect(group.name):
            self._pause_again_later(promotion, group)
        elif promotion.phase is PromotionPhase.PAUSING:
            self._withdraw(promotion, group)
        else:
            self._drop(promotion)

    def _withdraw(self, promotion: Promotion, group: Group) -> None:
        """End a promotion without a call; VMs that still reach the primary can go on."""
        promotion.confirms_primary = True
        promotion.target = group.primary
        self._finish(promotion, group)
        self._delay_next_attempt(group.name, RETRY_DELAY_S)

    def _pause_again_later(self, promotion: Promotion, group: Group) -> None:
        """Repeat the pauses, or after some time ask the platform to keep the named primary.

        That call supersedes the earlier ones, so that VMs that reach the primary can go on.
        """
        if self.paused.is_blocked(group):
            self._confirm_primary(promotion, group, group.primary)
        else:
            self.paused.begin_again(promotion)

    def _drop(self, promotion: Promotion) -> None:
        """Forget an attempt; the next one has a higher fencing token and supersedes its calls."""
        self.board.groups.promotions.pop(promotion.group, None)
        self._delay_next_attempt(promotion.group, RETRY_DELAY_S)

    def _delay_next_attempt(self, group_name: str, delay_s: float) -> None:
        self._next_attempt_at[group_name] = self.board.clock.now() + delay_s

    def _propose(
        self,
        kind: CommandKind,
        fields: dict[str, Any],
        done: Callable[[ChangeOutcome | None], None] = _ignore_outcome,
    ) -> None:
        self.board.changes.post(Topic.COMMAND_PROPOSED, Proposal(Command(kind, fields), done))
