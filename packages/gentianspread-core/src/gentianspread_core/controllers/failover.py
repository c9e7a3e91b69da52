"""Failover controller: finds lost primaries and orders promotions, on the control leader only.

A promotion takes three rounds: the control log grants a new term; a majority of the group's
endpoints accepts it and so takes no more writes of an older one; the most advanced of those is
promoted while the control log names it.
"""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.commands import ChangeOutcome, Command, CommandKind
from ..blackboard.configuration import Group, Registration
from ..blackboard.election import Role
from ..blackboard.groups import Failover, Health
from ..blackboard.messages import Proposal
from ..blackboard.outbox import EndpointOrder, EndpointOrderKind, ProbeOrder
from ..blackboard.timeline import EventKind

PROBE_PURPOSE = "failover"
ORDER_LIMIT_S = 0.4
FAILOVER_LIMIT_S = 2.0
FENCE_PAUSE_S = 0.3
PLANNED_PAUSE_S = 1.0
PROMOTION_PAUSE_S = 0.5
MOST_PROBES_AT_ONCE = 4


class FailoverController:
    """Owns the failovers and the endpoints' health."""

    __slots__ = ("board", "_timer", "_followed", "_not_before")

    def __init__(self, board: Board) -> None:
        self.board = board
        self._timer: Any = None
        self._followed: dict[str, int] = {}
        self._not_before: dict[str, float] = {}

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.LEADERSHIP_CHANGED: self.on_leadership,
            Topic.FAILOVER_DUE: self.on_due,
            Topic.PROBE_ENDED: self.on_probe_ended,
            Topic.ORDER_ENDED: self.on_order_ended,
            Topic.CONFIGURATION_CHANGED: self.on_configuration,
        }

    def on_leadership(self, _entry: None) -> None:
        """Begin to watch the endpoints with a new leadership; forget all on its end."""
        self.board.groups.failovers.clear()
        self.board.groups.health.clear()
        self._followed.clear()
        self._not_before.clear()
        if self._leads():
            self._arm()

    def on_due(self, _entry: None) -> None:
        """Probe every endpoint, and begin the failovers that are due."""
        if not self._leads():
            return
        for registration in self.board.configuration.endpoints.values():
            self._probe(registration)
        for group in self.board.configuration.groups.values():
            self._drop_stalled(group)
            self._begin_if_due(group)
        self._arm()

    def on_probe_ended(self, probe: ProbeOrder) -> None:
        """Note an endpoint's health; begin a failover as soon as its primary counts as lost."""
        health = self.board.groups.health.get(probe.endpoint)
        if probe.purpose != PROBE_PURPOSE or health is None or not self._leads():
            return
        health.probes -= 1
        registration = self.board.configuration.endpoints.get(probe.endpoint)
        if registration is None:
            return
        group = self.board.configuration.groups[registration.group]
        if probe.alive:
            health.failures = 0
            health.position = probe.position
            health.term = probe.term
            self._correct(registration, group, probe)
        else:
            health.failures += 1
            self._followed.pop(probe.endpoint, None)
            self._begin_if_due(group)

    def on_configuration(self, revision: int) -> None:
        """Fence the endpoints once the log has granted the term."""
        for failover in self.board.groups.failovers.values():
            group = self.board.configuration.groups.get(failover.group)
            if group and failover.phase == "granting" and group.granted_term == failover.term:
                self._fence(failover)

    def on_order_ended(self, order: EndpointOrder) -> None:
        """Count fences; have the others follow once the promotion was accepted."""
        if order.kind is EndpointOrderKind.FOLLOW:
            if not order.accepted:
                self._followed.pop(order.endpoint, None)
            return
        failover = self.board.groups.failovers.get(order.group)
        if failover is None or failover.term != order.term:
            return
        if order.kind is EndpointOrderKind.FENCE:
            self._count_fence(failover, order)
        else:
            self._end_promotion(failover, order)

    def _leads(self) -> bool:
        return self.board.election.role is Role.LEADER

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancelled = True
        due = self.board.clock.now() + self.board.settings.probe_interval_s
        self._timer = self.board.changes.post_at(due, Topic.FAILOVER_DUE)

    def _probe(self, registration: Registration) -> None:
        health = self.board.groups.health.setdefault(registration.name, Health())
        if health.probes >= MOST_PROBES_AT_ONCE:
            return
        health.probes += 1
        limit = self.board.settings.probe_timeout_s
        order = ProbeOrder(registration.name, registration.address, limit, PROBE_PURPOSE)
        self.board.changes.post(Topic.INTENT_POSTED, order)

    def _begin_if_due(self, group: Group) -> None:
        if group.name in self.board.groups.failovers or not self.board.is_fresh():
            return
        if self.board.clock.now() < self._not_before.get(group.name, 0.0):
            return
        reason = self._reason(group)
        if not reason or not self._majority_alive(group):
            return
        term = group.granted_term + 1
        failover = Failover(group.name, term, self.board.clock.now())
        self.board.groups.failovers[group.name] = failover
        self.board.timeline.record(
            EventKind.FAILOVER_STARTED, f"group {group.name}", reason, term=term
        )
        self._propose(CommandKind.GRANT_TERM, {"group": group.name, "term": term})

    def _reason(self, group: Group) -> str:
        if group.primary is None or group.granted_term > group.term:
            return "the group has no primary"
        registration = self.board.configuration.endpoints.get(group.primary)
        if registration is None:
            return f"the primary {group.primary} is not known"
        if registration.leaving and self._has_successor(group):
            return f"the primary {group.primary} is leaving"
        health = self.board.groups.health.get(group.primary)
        if health and health.failures >= self.board.settings.probe_failure_threshold:
            return f"the primary {group.primary} did not answer {health.failures} probes"
        return ""

    def _has_successor(self, group: Group) -> bool:
        """Tell whether an endpoint that stays has everything that the leaving primary has."""
        health = self.board.groups.health
        leaving = health.get(group.primary or "")
        if leaving is None or leaving.position is None:
            return False
        return any(
            not item.leaving
            and item.name in health
            and health[item.name].failures == 0
            and health[item.name].position == leaving.position
            for item in self._members(group.name)
        )

    def _pause(self, group: str, seconds: float) -> None:
        """Begin no failover of a group for some seconds."""
        self._not_before[group] = self.board.clock.now() + seconds

    def _members(self, group: str) -> list[Registration]:
        endpoints = self.board.configuration.endpoints.values()
        return [item for item in endpoints if item.group == group]

    def _majority_alive(self, group: Group) -> bool:
        health = self.board.groups.health
        alive = sum(
            1
            for item in self._members(group.name)
            if item.name in health
            and health[item.name].failures == 0
            and health[item.name].position
        )
        return alive >= group.majority()

    def _propose(self, kind: CommandKind, fields: dict[str, Any]) -> None:
        proposal = Proposal(Command(kind, fields), _ignore_outcome)
        self.board.changes.post(Topic.PROPOSED, proposal)

    def _order(
        self, kind: EndpointOrderKind, item: Registration, term: int, primary_address: str
    ) -> None:
        order = EndpointOrder(
            kind, item.name, item.address, item.group, term, primary_address, ORDER_LIMIT_S
        )
        self.board.changes.post(Topic.INTENT_POSTED, order)

    def _fence(self, failover: Failover) -> None:
        failover.phase = "fencing"
        members = self._members(failover.group)
        failover.waiting = {item.name for item in members}
        for item in members:
            self._order(EndpointOrderKind.FENCE, item, failover.term, "")

    def _count_fence(self, failover: Failover, order: EndpointOrder) -> None:
        failover.waiting.discard(order.endpoint)
        if failover.phase != "fencing":
            return
        if order.accepted and order.position is not None:
            failover.accepted[order.endpoint] = order.position
        group = self.board.configuration.groups[failover.group]
        if len(failover.accepted) >= group.majority():
            self._promote(failover)
        elif not failover.waiting:
            del self.board.groups.failovers[failover.group]
            self._pause(failover.group, FENCE_PAUSE_S)
            self.board.timeline.record(
                EventKind.FENCE_FAILED,
                f"group {failover.group}",
                "fewer than a majority of endpoints accepted the term",
                term=failover.term,
            )

    def _pick(self, failover: Failover) -> str:
        """Return the most advanced endpoint; among equals, one that is not leaving."""
        best = next(iter(failover.accepted))
        for name, position in failover.accepted.items():
            is_ahead = not failover.accepted[best].reaches(position)
            is_equal = failover.accepted[best] == position
            if is_ahead or (is_equal and self._is_leaving(best)):
                best = name
        return best

    def _is_leaving(self, name: str) -> bool:
        registration = self.board.configuration.endpoints.get(name)
        return registration is None or registration.leaving

    def _promote(self, failover: Failover) -> None:
        failover.phase = "promoting"
        failover.primary = self._pick(failover)
        registration = self.board.configuration.endpoints[failover.primary]
        self._order(EndpointOrderKind.PROMOTE, registration, failover.term, registration.address)
        self._propose(
            CommandKind.NAME_PRIMARY,
            {"group": failover.group, "term": failover.term, "endpoint": failover.primary},
        )

    def _end_promotion(self, failover: Failover, order: EndpointOrder) -> None:
        del self.board.groups.failovers[failover.group]
        if not order.accepted:
            return
        is_planned = self._is_leaving(order.endpoint)
        self._pause(failover.group, PLANNED_PAUSE_S if is_planned else PROMOTION_PAUSE_S)
        gap = self.board.clock.now() - failover.started_at
        self.board.timeline.record(
            EventKind.PRIMARY_PROMOTED,
            f"group {failover.group}",
            "most advanced of a fenced majority",
            endpoint=order.endpoint,
            term=failover.term,
            decision_ms=round(gap * 1000),
        )
        for item in self._members(failover.group):
            if item.name != order.endpoint:
                self._followed[item.name] = failover.term
                self._order(EndpointOrderKind.FOLLOW, item, failover.term, order.address)

    def _correct(self, item: Registration, group: Group, probe: ProbeOrder) -> None:
        """Bring an endpoint that is not where the log has it back to following, or to leading."""
        if group.primary is None or group.name in self.board.groups.failovers:
            return
        if item.name == group.primary:
            if not probe.is_primary or probe.term != group.term:
                self.board.groups.health[item.name].failures = (
                    self.board.settings.probe_failure_threshold
                )
                self._begin_if_due(group)
            return
        is_behind = probe.term < group.term or probe.is_primary or not probe.follows
        if is_behind and self._followed.get(item.name) != group.term:
            self._followed[item.name] = group.term
            primary = self.board.configuration.endpoints[group.primary]
            self._order(EndpointOrderKind.FOLLOW, item, group.term, primary.address)

    def _drop_stalled(self, group: Group) -> None:
        failover = self.board.groups.failovers.get(group.name)
        limit = FAILOVER_LIMIT_S
        if failover and self.board.clock.now() - failover.started_at > limit:
            del self.board.groups.failovers[group.name]


def _ignore_outcome(outcome: ChangeOutcome | None) -> None:
    """Leave the outcome to the next look at the configuration."""
