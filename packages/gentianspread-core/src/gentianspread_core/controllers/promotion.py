"""Promotion controller: changes of primary by fenced calls, on the control leader only.

For groups whose endpoints number their terms themselves. A commit is acknowledged once one replica
has it. So every replica must first stop receiving, and then the one that has received most is
promoted: it holds whatever was acknowledged. With one replica out of reach the choice is to wait,
unless that one has certainly ended and another has all that the primary had after its end.
A call that got no answer may still be carried out later; only a call with a higher fencing number
settles it.
"""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.commands import ChangeOutcome, Command, CommandKind
from ..blackboard.configuration import Group, Registration
from ..blackboard.election import Role
from ..blackboard.groups import Promotion
from ..blackboard.messages import Proposal
from ..blackboard.outbox import EndpointCommand, EndpointCommandKind
from ..blackboard.timeline import EventKind
from ..positions import Position
from .groupview import LOST_AFTER_FAILURES, GroupView, has_ended

SETTLING_S = 1.5  # seconds after a call; the endpoint leads some hundred milliseconds later
ORDER_LIMIT_S = 0.5  # seconds; an order takes a slot, which statements may hold for 60 ms
CALL_LIMIT_S = 1.5  # seconds; a promotion takes up to 0.6 s
ATTEMPT_LIMIT_S = 3.0  # seconds; all rounds of an attempt with their limits
RETRY_PAUSE_S = 0.2  # seconds between two attempts
CATCH_UP_PAUSE_S = 0.02  # seconds; replicas are 20 ms behind


class PromotionController:
    """Owns the promotions of groups that number their terms."""

    __slots__ = ("board", "view", "_not_before", "_unanswered")

    def __init__(self, board: Board) -> None:
        self.board = board
        self.view = GroupView(board)
        self._not_before: dict[str, float] = {}
        self._unanswered: list[EndpointCommand] = []

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.LEADERSHIP_CHANGED: self.on_leadership,
            Topic.FAILOVER_CHECK_DUE: self.on_due,
            Topic.HEALTH_UPDATED: self.on_health,
            Topic.ENDPOINT_COMMAND_ENDED: self.on_order_ended,
            Topic.CONFIGURATION_CHANGED: self.on_configuration,
        }

    def on_leadership(self, _entry: None) -> None:
        """Forget the promotions of another leadership."""
        self.board.groups.promotions.clear()
        self._not_before.clear()
        self._unanswered.clear()

    def on_due(self, _entry: None) -> None:
        """Move every group's promotion on."""
        if not self._leads():
            return
        for group in list(self.board.configuration.groups.values()):
            self._look_at(group)
        self._resume_again()

    def on_health(self, name: str) -> None:
        """Look at a group of which an endpoint was probed."""
        group = self.board.configuration.groups.get(name)
        if group is not None and self._leads():
            self._look_at(group)

    def on_configuration(self, _revision: int) -> None:
        """Send the first orders of a promotion once the log has granted its number."""
        for promotion in list(self.board.groups.promotions.values()):
            group = self.board.configuration.groups.get(promotion.group)
            is_granted = group is not None and group.granted_term == promotion.fence
            if promotion.phase == "granting" and is_granted:
                self._begin_orders(promotion, group)

    def on_order_ended(self, order: EndpointCommand) -> None:
        """Take an endpoint's answer, or the answer to the call."""
        promotion = self.board.groups.promotions.get(order.group)
        if (
            promotion is None
            and order.kind is EndpointCommandKind.RESUME_REPLICATION
            and not order.accepted
        ):
            self._unanswered.append(order)
        if promotion is None or promotion.fence != order.fencing_token:
            return
        promotion.pending_endpoints.discard(order.endpoint)
        if order.kind is EndpointCommandKind.PROMOTE:
            self._end_call(promotion, order)
        elif order.kind is EndpointCommandKind.STEP_DOWN:
            self._take_step_down(promotion, order)
        else:
            self._take_position(promotion, order)

    def _take_position(self, promotion: Promotion, order: EndpointCommand) -> None:
        """Note what a replica has received, or that it is gone."""
        if order.accepted and order.position is not None:
            promotion.received_positions[order.endpoint] = order.position
        elif self._is_absent(order):
            promotion.ended_endpoints.add(order.endpoint)
        elif promotion.pending_endpoints:
            return
        self._choose_target(promotion)

    def _is_absent(self, order: EndpointCommand) -> bool:
        registration = self.board.configuration.endpoints.get(order.endpoint)
        return registration is None or has_ended(registration, order.unreachable_reason)

    def _leads(self) -> bool:
        return self.board.election.role is Role.LEADER

    def _look_at(self, group: Group) -> None:
        """Begin, repeat or give up a promotion as the endpoints' health demands."""
        if not group.counts_own_terms or not self.board.is_fresh():
            return
        promotion = self.board.groups.promotions.get(group.name)
        now = self.board.clock.now()
        if promotion is not None:
            if now - promotion.began_at > ATTEMPT_LIMIT_S:
                self._give_up(promotion, "the attempt took too long")
            elif promotion.phase == "catching up" and now >= promotion.due:
                self._ask_positions(promotion)
            return
        if now < self._not_before.get(group.name, 0.0):
            return
        if self._takes_over_name(group):
            return
        reason = self._reason(group)
        if reason:
            self._begin(group, reason)

    def _takes_over_name(self, group: Group) -> bool:
        """Name the endpoint that leads, where the log names none or another."""
        if group.granted_term != group.term:
            return False
        leading = self._leading(group.name)
        if leading is None or leading == group.primary:
            return False
        self._pause(group.name, RETRY_PAUSE_S)
        self._name(group.name, group.term, leading)
        return True

    def _leading(self, group: str) -> str | None:
        """Return the endpoint that answered as primary with the newest position, if any."""
        best: str | None = None
        best_position: Position | None = None
        for item in self.view.members(group):
            health = self.board.groups.health.get(item.name)
            if health is None or not health.is_primary or health.position is None:
                continue
            if best_position is None or health.position.reaches(best_position):
                best, best_position = item.name, health.position
        return best

    def _reason(self, group: Group) -> str:
        if group.primary is None:
            return ""
        registration = self.board.configuration.endpoints.get(group.primary)
        health = self.board.groups.health.get(group.primary)
        if registration is None:
            return f"the primary {group.primary} is gone"
        if health is None or not health.answered:
            return ""
        if health.failures >= LOST_AFTER_FAILURES:
            return f"the primary {group.primary} did not answer {health.failures} probes"
        if health.failures == 0 and health.not_primary_answers >= LOST_AFTER_FAILURES:
            return f"the primary {group.primary} does not lead"
        if group.granted_term != group.term:
            return "an earlier promotion has no known end"
        if registration.leaving and self._has_successor(group):
            return f"the primary {group.primary} is leaving"
        return ""

    def _has_successor(self, group: Group) -> bool:
        return any(
            not item.leaving and item.name != group.primary and self.view.is_healthy(item.name)
            for item in self.view.members(group.name)
        )

    def _begin(self, group: Group, reason: str) -> None:
        fence = group.granted_term + 1
        promotion = Promotion(group.name, fence, self.board.clock.now())
        self.board.groups.promotions[group.name] = promotion
        self.board.timeline.record(
            EventKind.FAILOVER_STARTED,
            f"group {group.name}",
            reason,
            fence=fence,
            primary=group.primary or "",
        )
        self._propose(CommandKind.GRANT_TERM, {"group": group.name, "term": fence})

    def _begin_orders(self, promotion: Promotion, group: Group) -> None:
        health = self.board.groups.health.get(group.primary or "")
        is_alive = health is not None and health.answered and health.failures == 0
        registration = self.board.configuration.endpoints.get(group.primary or "")
        if is_alive and health.is_primary and registration is not None:
            if registration.leaving and self._has_successor(group):
                promotion.is_planned = True
                promotion.phase = "stepping down"
                self._order(EndpointCommandKind.STEP_DOWN, registration, promotion)
            else:
                promotion.only_supersedes = True
                self._call(promotion, group.primary or "")
            return
        promotion.phase = "holding"
        for item in self._hold_members(group, is_alive):
            self._order(EndpointCommandKind.PAUSE_REPLICATION, item, promotion)
        self._choose_target(promotion)

    def _hold_members(self, group: Group, primary_answers: bool) -> list[Registration]:
        """Return all that may have acknowledged a commit; a former primary that answers too."""
        return self.view.members(group.name) if primary_answers else self.view.receivers(group)

    def _take_step_down(self, promotion: Promotion, order: EndpointCommand) -> None:
        if not order.accepted or order.position is None:
            self._give_up(promotion, "the leaving primary did not step down")
            return
        promotion.step_down_position = order.position
        promotion.received_positions[order.endpoint] = order.position
        self._ask_positions(promotion)

    def _ask_positions(self, promotion: Promotion) -> None:
        """Ask the replicas that stay what they have received."""
        promotion.phase = "catching up"
        promotion.due = self.board.clock.now() + CATCH_UP_PAUSE_S
        group = self.board.configuration.groups[promotion.group]
        for item in self.view.receivers(group):
            if not item.leaving and item.name not in promotion.pending_endpoints:
                self._order(EndpointCommandKind.RESUME_REPLICATION, item, promotion)
        self.board.changes.post_at(promotion.due, Topic.FAILOVER_CHECK_DUE)

    def _choose_target(self, promotion: Promotion) -> None:
        group = self.board.configuration.groups[promotion.group]
        if promotion.phase == "holding":
            missing = [
                item
                for item in self.view.receivers(group)
                if item.name not in promotion.received_positions
            ]
            if self._leads_again(group, promotion):
                self._give_up(promotion, f"the primary {group.primary} answers again")
            elif promotion.received_positions and self._may_leave_out(group, promotion, missing):
                self._call(promotion, self._most_advanced(promotion))
            elif not promotion.pending_endpoints:
                reason = f"{len(missing)} replicas did not answer, {len(group.departed)} left"
                self._give_up(promotion, reason)
        elif promotion.phase == "catching up" and promotion.step_down_position is not None:
            for name, position in promotion.received_positions.items():
                if name != group.primary and position.reaches(promotion.step_down_position):
                    self._call(promotion, name)
                    return

    def _leads_again(self, group: Group, promotion: Promotion) -> bool:
        health = self.board.groups.health.get(group.primary or "")
        is_asked = group.primary in promotion.received_positions
        return not is_asked and health is not None and health.failures == 0 and health.is_primary

    def _may_leave_out(
        self, group: Group, promotion: Promotion, missing: list[Registration]
    ) -> bool:
        """Tell whether all that was acknowledged is on the replicas that were heard of."""
        held = list(promotion.received_positions.values())
        departed_at = self.view.departed_at(group)
        is_covered = departed_at is None or group.primary in promotion.received_positions
        if not is_covered and not self.view.has_all_since(group.name, departed_at, held):
            return False
        return all(self.view.is_made_up(promotion, item, held) for item in missing)

    def _most_advanced(self, promotion: Promotion) -> str:
        """Return the endpoint that received most; among equals one that stays."""
        best = next(iter(promotion.received_positions))
        for name, position in promotion.received_positions.items():
            is_ahead = not promotion.received_positions[best].reaches(position)
            is_equal = promotion.received_positions[best] == position
            if is_ahead or (is_equal and self._is_leaving(best)):
                best = name
        return best

    def _is_leaving(self, name: str) -> bool:
        registration = self.board.configuration.endpoints.get(name)
        return registration is None or registration.leaving

    def _call(self, promotion: Promotion, target: str) -> None:
        promotion.phase = "calling"
        promotion.target = target
        registration = self.board.configuration.endpoints.get(target)
        if registration is None:
            self._give_up(promotion, f"{target} is gone")
            return
        order = EndpointCommand(
            EndpointCommandKind.PROMOTE,
            target,
            registration.address,
            promotion.group,
            promotion.fence,
            "",
            CALL_LIMIT_S,
            promotion.fence,
        )
        self.board.changes.post(Topic.INTENT_POSTED, order)

    def _end_call(self, promotion: Promotion, order: EndpointCommand) -> None:
        if not order.accepted:
            self._give_up(promotion, "the call was refused or got no answer")
            return
        del self.board.groups.promotions[promotion.group]
        self._pause(promotion.group, SETTLING_S)
        self.board.changes.post(Topic.PROMOTION_ENDED, promotion.group)
        if promotion.only_supersedes:
            self._resume_replicas(promotion)
        self._name(promotion.group, promotion.fence, order.endpoint)
        gap = self.board.clock.now() - promotion.began_at
        self.board.timeline.record(
            EventKind.PRIMARY_PROMOTED,
            f"group {promotion.group}",
            "it has received most" if not promotion.only_supersedes else "it leads already",
            endpoint=order.endpoint,
            fence=promotion.fence,
            decision_ms=round(gap * 1000),
        )

    def _resume_replicas(self, promotion: Promotion) -> None:
        """Let replicas receive that an earlier attempt may have held."""
        group = self.board.configuration.groups[promotion.group]
        for item in self.view.receivers(group):
            self._order(EndpointCommandKind.RESUME_REPLICATION, item, promotion)

    def _resume_again(self) -> None:
        """Repeat releases that got no answer, unless a newer promotion may hold the replica."""
        orders, self._unanswered = self._unanswered, []
        for order in orders:
            group = self.board.configuration.groups.get(order.group)
            registration = self.board.configuration.endpoints.get(order.endpoint)
            is_current = group is not None and group.granted_term == order.fencing_token
            if is_current and registration is not None:
                repeated = EndpointCommand(
                    EndpointCommandKind.RESUME_REPLICATION,
                    order.endpoint,
                    registration.address,
                    order.group,
                    order.term,
                    "",
                    ORDER_LIMIT_S,
                    order.fencing_token,
                )
                self.board.changes.post(Topic.INTENT_POSTED, repeated)

    def _give_up(self, promotion: Promotion, reason: str) -> None:
        """End an attempt; the next one has a higher number and settles this one."""
        self.board.groups.promotions.pop(promotion.group, None)
        self._pause(promotion.group, RETRY_PAUSE_S)
        self.board.timeline.record(
            EventKind.FENCE_FAILED, f"group {promotion.group}", reason, fence=promotion.fence
        )

    def _order(self, kind: EndpointCommandKind, item: Registration, promotion: Promotion) -> None:
        promotion.pending_endpoints.add(item.name)
        order = EndpointCommand(
            kind,
            item.name,
            item.address,
            item.group,
            self._next_term(item.group),
            "",
            ORDER_LIMIT_S,
            promotion.fence,
        )
        self.board.changes.post(Topic.INTENT_POSTED, order)

    def _next_term(self, group: str) -> int:
        """Return a term above every one that the group's endpoints have shown."""
        newest = 0
        for item in self.view.members(group):
            health = self.board.groups.health.get(item.name)
            if health is not None and health.position is not None:
                newest = max(newest, health.position.term)
        return newest + 1

    def _pause(self, group: str, seconds: float) -> None:
        self._not_before[group] = self.board.clock.now() + seconds

    def _name(self, group: str, fence: int, endpoint: str) -> None:
        fields = {"group": group, "term": fence, "endpoint": endpoint}
        self._propose(CommandKind.NAME_PRIMARY, fields)

    def _propose(self, kind: CommandKind, fields: dict[str, Any]) -> None:
        proposal = Proposal(Command(kind, fields), _ignore_outcome)
        self.board.changes.post(Topic.COMMAND_PROPOSED, proposal)


def _ignore_outcome(outcome: ChangeOutcome | None) -> None:
    """Leave the outcome to the next look at the configuration."""
