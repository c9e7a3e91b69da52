"""Promotion controller: changes the primary of groups whose terms the database assigns.

Runs on the control leader only. In these groups a commit is acknowledged once one replica has it.
Every replica is therefore paused first, that is, it stops receiving; the one that has received most
then has every acknowledged commit and is promoted. If a replica is unreachable, the promotion
waits, unless that replica is proved to have terminated and another one has everything that the
primary had at some moment after that. A promote call that got no answer may still take effect
later; only a call with a higher fencing token, which the control log grants, rules that out.
"""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.commands import ChangeOutcome, Command, CommandKind
from ..blackboard.configuration import Group
from ..blackboard.election import Role
from ..blackboard.groups import Promotion
from ..blackboard.messages import Proposal
from ..blackboard.outbox import EndpointCommand, EndpointCommandKind
from ..blackboard.registrations import Registration
from ..blackboard.timeline import EventKind
from .groupview import PROBE_FAILURE_THRESHOLD, GroupView, has_terminated
from .successors import Successors

PROMOTION_COOLDOWN_S = 1.5  # an endpoint becomes primary some hundred milliseconds after the call
COMMAND_TIMEOUT_S = 0.5  # a command waits for a slot, which a statement may hold for 60 ms
PROMOTE_TIMEOUT_S = 1.5  # a promotion takes up to 0.6 s
ATTEMPT_TIMEOUT_S = 3.0  # covers all rounds of an attempt with their timeouts
RETRY_DELAY_S = 0.2  # between two attempts
CATCH_UP_POLL_INTERVAL_S = 0.02  # replicas lag 20 ms behind the primary


class PromotionController:
    """Owns the promotions of groups whose terms the database assigns."""

    __slots__ = ("board", "view", "successors", "_next_attempt_at", "_failed_resumes")

    def __init__(self, board: Board) -> None:
        self.board = board
        self.view = GroupView(board)
        self.successors = Successors(board, self.view)
        self._next_attempt_at: dict[str, float] = {}
        self._failed_resumes: list[EndpointCommand] = []

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.LEADERSHIP_CHANGED: self.on_leadership,
            Topic.FAILOVER_CHECK_DUE: self.on_failover_due,
            Topic.HEALTH_UPDATED: self.on_health_updated,
            Topic.ENDPOINT_COMMAND_ENDED: self.on_command_ended,
            Topic.CONFIGURATION_CHANGED: self.on_configuration,
        }

    def on_leadership(self, _entry: None) -> None:
        """Drop the promotions that belong to another leader's term."""
        self.board.groups.promotions.clear()
        self._next_attempt_at.clear()
        self._failed_resumes.clear()
        self.successors.reset()

    def on_failover_due(self, _entry: None) -> None:
        """Start, continue or abort the promotion of every group."""
        if not self._is_leader():
            return
        for group in list(self.board.configuration.groups.values()):
            self._check_group(group)
        self._retry_resumes()

    def on_health_updated(self, group_name: str) -> None:
        """Check a group after one of its endpoints was probed."""
        group = self.board.configuration.groups.get(group_name)
        if group is not None and self._is_leader():
            self._check_group(group)

    def on_configuration(self, _revision: int) -> None:
        """Send the first commands of a promotion once the control log granted its fencing token."""
        for promotion in list(self.board.groups.promotions.values()):
            group = self.board.configuration.groups.get(promotion.group)
            is_granted = group is not None and group.granted_term == promotion.fencing_token
            if promotion.phase == "granting" and is_granted:
                self._send_first_commands(promotion, group)

    def on_command_ended(self, command: EndpointCommand) -> None:
        """Handle the result of a command to an endpoint."""
        promotion = self.board.groups.promotions.get(command.group)
        if (
            promotion is None
            and command.kind is EndpointCommandKind.RESUME_REPLICATION
            and not command.accepted
        ):
            self._failed_resumes.append(command)
        if promotion is None or promotion.fencing_token != command.fencing_token:
            return
        promotion.pending_endpoints.discard(command.endpoint)
        if command.kind is EndpointCommandKind.PROMOTE:
            self._handle_promote_result(promotion, command)
        elif command.kind is EndpointCommandKind.STEP_DOWN:
            self._handle_step_down(promotion, command)
        else:
            self._handle_position(promotion, command)

    def _handle_position(self, promotion: Promotion, command: EndpointCommand) -> None:
        """Record a replica's position, or that it has terminated."""
        health = self.board.groups.health.get(command.endpoint)
        self._record_position(promotion, command)
        if command.accepted and health is not None and health.has_lost_log(command.position):
            self._abort(promotion, f"{command.endpoint} has lost its log")
            return
        if command.accepted and command.position is not None:
            promotion.received_positions[command.endpoint] = command.position
        elif self._has_terminated(command):
            promotion.terminated_endpoints.add(command.endpoint)
        elif promotion.pending_endpoints:
            return
        self._try_promote(promotion)

    def _record_position(self, promotion: Promotion, command: EndpointCommand) -> None:
        if command.kind is not EndpointCommandKind.PAUSE_REPLICATION:
            return
        self.board.timeline.record(
            EventKind.REPLICATION_PAUSED,
            f"endpoint {command.endpoint}",
            "" if command.accepted else "it did not answer or refused",
            group=command.group,
            fence=promotion.fencing_token,
            term=command.term,
            position=str(command.position) if command.position is not None else "",
        )

    def _has_terminated(self, command: EndpointCommand) -> bool:
        registration = self.board.configuration.endpoints.get(command.endpoint)
        return registration is None or has_terminated(registration, command.unreachable_reason)

    def _is_leader(self) -> bool:
        return self.board.election.role is Role.LEADER

    def _check_group(self, group: Group) -> None:
        """Start, continue or abort a group's promotion according to the endpoints' health."""
        if not group.counts_own_terms or not self.board.is_fresh():
            return
        promotion = self.board.groups.promotions.get(group.name)
        now = self.board.clock.now()
        if promotion is not None:
            if now - promotion.began_at > ATTEMPT_TIMEOUT_S:
                self._end_attempt(promotion, group)
            elif promotion.phase == "catching up" and now >= promotion.due:
                self._request_positions(promotion)
            return
        if now < self._next_attempt_at.get(group.name, 0.0):
            return
        if self._adopt_reported_primary(group):
            return
        reason = self._promotion_reason(group)
        if reason:
            self._start_promotion(group, reason)

    def _end_attempt(self, promotion: Promotion, group: Group) -> None:
        """Abort an attempt that timed out; reinstate a primary that stepped down for it.

        It stepped down under this fencing token, so no other endpoint was promoted since.
        """
        if promotion.phase != "catching up":
            self._abort(promotion, "the attempt timed out")
            return
        promotion.began_at = self.board.clock.now()
        self._send_promote(promotion, group.primary or "")

    def _adopt_reported_primary(self, group: Group) -> bool:
        """Propose the endpoint that reports itself as primary if the log has another or none.

        Returns whether it was proposed.
        """
        if group.granted_term != group.term:
            return False
        reported = self.successors.reported_primary(group.name)
        if reported is None or reported == group.primary:
            return False
        self._delay_next_attempt(group.name, RETRY_DELAY_S)
        self._propose_primary(group.name, group.term, reported)
        return True

    def _promotion_reason(self, group: Group) -> str:
        """Return why the group needs a promotion, or an empty text."""
        if group.primary is None:
            return ""
        registration = self.board.configuration.endpoints.get(group.primary)
        health = self.board.groups.health.get(group.primary)
        if registration is None:
            return f"the primary {group.primary} is not registered any more"
        if health is None or not health.probed:
            return ""
        if health.failures >= PROBE_FAILURE_THRESHOLD:
            return f"the primary {group.primary} did not answer {health.failures} probes"
        if health.failures == 0 and health.not_primary_answers >= PROBE_FAILURE_THRESHOLD:
            return f"the primary {group.primary} reports that it does not lead"
        if self.successors.is_delayed(registration):
            return ""
        if group.granted_term != group.term:
            return "the outcome of an earlier promotion is unknown"
        return self.successors.handover_reason(group, registration)

    def _start_promotion(self, group: Group, reason: str) -> None:
        fencing_token = group.granted_term + 1
        promotion = Promotion(group.name, fencing_token, self.board.clock.now())
        self.board.groups.promotions[group.name] = promotion
        self.board.timeline.record(
            EventKind.FAILOVER_STARTED,
            f"group {group.name}",
            reason,
            fence=fencing_token,
            primary=group.primary or "",
        )
        self._propose(CommandKind.GRANT_TERM, {"group": group.name, "term": fencing_token})

    def _send_first_commands(self, promotion: Promotion, group: Group) -> None:
        health = self.board.groups.health.get(group.primary or "")
        is_alive = health is not None and health.probed and health.failures == 0
        registration = self.board.configuration.endpoints.get(group.primary or "")
        if is_alive and health.is_primary and registration is not None:
            if self.successors.handover_reason(group, registration):
                promotion.is_planned = True
                promotion.phase = "stepping down"
                self._send_command(EndpointCommandKind.STEP_DOWN, registration, promotion)
            else:
                promotion.only_supersedes = True
                self._send_promote(promotion, group.primary or "")
            return
        promotion.phase = "holding"
        for endpoint in self._endpoints_to_pause(group, is_alive):
            self._send_command(EndpointCommandKind.PAUSE_REPLICATION, endpoint, promotion)
        self._try_promote(promotion)

    def _endpoints_to_pause(self, group: Group, primary_answers: bool) -> list[Registration]:
        """Return all that may have confirmed a commit, and a former primary that answers."""
        return self.view.endpoints_of(group.name) if primary_answers else self.view.replicas(group)

    def _handle_step_down(self, promotion: Promotion, command: EndpointCommand) -> None:
        if not command.accepted or command.position is None:
            self._abort(promotion, "the primary did not step down")
            return
        promotion.step_down_position = command.position
        promotion.received_positions[command.endpoint] = command.position
        self._request_positions(promotion)

    def _request_positions(self, promotion: Promotion) -> None:
        """Ask the replicas that stay for their positions."""
        promotion.phase = "catching up"
        promotion.due = self.board.clock.now() + CATCH_UP_POLL_INTERVAL_S
        group = self.board.configuration.groups[promotion.group]
        for replica in self.view.replicas(group):
            is_pending = replica.name in promotion.pending_endpoints
            if self.view.is_staying(replica) and not is_pending:
                self._send_command(EndpointCommandKind.RESUME_REPLICATION, replica, promotion)
        self.board.changes.post_at(promotion.due, Topic.FAILOVER_CHECK_DUE)

    def _try_promote(self, promotion: Promotion) -> None:
        group = self.board.configuration.groups[promotion.group]
        if promotion.phase == "holding":
            missing = [
                replica
                for replica in self.view.replicas(group)
                if replica.name not in promotion.received_positions
            ]
            if self.view.has_primary_recovered(group, promotion):
                self._abort(promotion, f"the primary {group.primary} answers again")
            elif promotion.received_positions and self._can_promote_without_missing(
                group, promotion, missing
            ):
                self._send_promote(promotion, self.successors.most_advanced(promotion))
            elif not promotion.pending_endpoints:
                reason = f"{len(missing)} replicas did not answer, {len(group.departed)} departed"
                self._abort(promotion, reason)
        elif promotion.phase == "catching up" and promotion.step_down_position is not None:
            for name, position in promotion.received_positions.items():
                if name != group.primary and position.reaches(promotion.step_down_position):
                    self._send_promote(promotion, name)
                    return

    def _can_promote_without_missing(
        self, group: Group, promotion: Promotion, missing: list[Registration]
    ) -> bool:
        """Return whether the paused endpoints have all that the others may have confirmed.

        The others are the missing and the departed replicas.
        """
        positions = list(promotion.received_positions.values())
        departed_at = self.view.last_departure_at(group)
        # A paused primary has every commit, also those that only departed replicas confirmed.
        has_departed_commits = departed_at is None or group.primary in promotion.received_positions
        if not has_departed_commits and not self.view.reaches_primary_since(
            group.name, departed_at, positions
        ):
            return False
        return all(
            self.view.can_promote_without(promotion, replica, positions) for replica in missing
        )

    def _send_promote(self, promotion: Promotion, target: str) -> None:
        promotion.phase = "calling"
        promotion.target = target
        registration = self.board.configuration.endpoints.get(target)
        if registration is None:
            self._abort(promotion, f"{target} is not registered any more")
            return
        command = EndpointCommand(
            EndpointCommandKind.PROMOTE,
            target,
            registration.address,
            promotion.group,
            promotion.fencing_token,
            "",
            PROMOTE_TIMEOUT_S,
            promotion.fencing_token,
        )
        position = promotion.received_positions.get(target)
        self.board.timeline.record(
            EventKind.PROMOTE_CALLED,
            f"group {promotion.group}",
            "supersedes earlier calls" if promotion.only_supersedes else "",
            endpoint=target,
            fence=promotion.fencing_token,
            position=str(position) if position is not None else "",
        )
        self.board.changes.post(Topic.INTENT_POSTED, command)

    def _handle_promote_result(self, promotion: Promotion, command: EndpointCommand) -> None:
        self.board.timeline.record(
            EventKind.PROMOTE_ENDED,
            f"group {promotion.group}",
            "accepted" if command.accepted else "refused, or no answer",
            endpoint=command.endpoint,
            fence=promotion.fencing_token,
        )
        if not command.accepted:
            self._abort(promotion, "the promote call was refused or got no answer")
            return
        del self.board.groups.promotions[promotion.group]
        if promotion.is_planned:
            is_done = promotion.target != self.board.configuration.groups[promotion.group].primary
            self.successors.note_handover(promotion.group, is_done)
        self._delay_next_attempt(promotion.group, PROMOTION_COOLDOWN_S)
        self.board.changes.post(Topic.PROMOTION_ENDED, promotion.group)
        if promotion.only_supersedes:
            self._resume_replicas(promotion)
        self._propose_primary(promotion.group, promotion.fencing_token, command.endpoint)
        elapsed = self.board.clock.now() - promotion.began_at
        self.board.timeline.record(
            EventKind.PRIMARY_PROMOTED,
            f"group {promotion.group}",
            "already the primary" if promotion.only_supersedes else "the most advanced endpoint",
            endpoint=command.endpoint,
            fence=promotion.fencing_token,
            decision_ms=round(elapsed * 1000),
        )

    def _resume_replicas(self, promotion: Promotion) -> None:
        """Resume the replicas that an earlier attempt may have paused."""
        group = self.board.configuration.groups[promotion.group]
        for replica in self.view.replicas(group):
            self._send_command(EndpointCommandKind.RESUME_REPLICATION, replica, promotion)

    def _retry_resumes(self) -> None:
        """Resend failed resume commands, unless a newer promotion may have paused the replica."""
        commands, self._failed_resumes = self._failed_resumes, []
        for command in commands:
            group = self.board.configuration.groups.get(command.group)
            registration = self.board.configuration.endpoints.get(command.endpoint)
            is_current = group is not None and group.granted_term == command.fencing_token
            if is_current and registration is not None:
                repeated = EndpointCommand(
                    EndpointCommandKind.RESUME_REPLICATION,
                    command.endpoint,
                    registration.address,
                    command.group,
                    command.term,
                    "",
                    COMMAND_TIMEOUT_S,
                    command.fencing_token,
                )
                self.board.changes.post(Topic.INTENT_POSTED, repeated)

    def _abort(self, promotion: Promotion, reason: str) -> None:
        """End an attempt; the next one has a higher fencing token and supersedes its calls."""
        self.board.groups.promotions.pop(promotion.group, None)
        if promotion.is_planned or promotion.only_supersedes:
            self.successors.note_handover(promotion.group, is_done=False)
        self._delay_next_attempt(promotion.group, RETRY_DELAY_S)
        self.board.timeline.record(
            EventKind.FENCE_FAILED,
            f"group {promotion.group}",
            reason,
            fence=promotion.fencing_token,
        )

    def _send_command(
        self, kind: EndpointCommandKind, registration: Registration, promotion: Promotion
    ) -> None:
        promotion.pending_endpoints.add(registration.name)
        command = EndpointCommand(
            kind,
            registration.name,
            registration.address,
            registration.group,
            self.view.next_term(registration.group),
            "",
            COMMAND_TIMEOUT_S,
            promotion.fencing_token,
        )
        self.board.changes.post(Topic.INTENT_POSTED, command)

    def _delay_next_attempt(self, group_name: str, delay_s: float) -> None:
        self._next_attempt_at[group_name] = self.board.clock.now() + delay_s

    def _propose_primary(self, group_name: str, fencing_token: int, endpoint: str) -> None:
        fields = {"group": group_name, "term": fencing_token, "endpoint": endpoint}
        self._propose(CommandKind.NAME_PRIMARY, fields)

    def _propose(self, kind: CommandKind, fields: dict[str, Any]) -> None:
        proposal = Proposal(Command(kind, fields), _ignore_outcome)
        self.board.changes.post(Topic.COMMAND_PROPOSED, proposal)


def _ignore_outcome(outcome: ChangeOutcome | None) -> None:
    """Ignore the outcome: the next check reads it from the configuration."""
