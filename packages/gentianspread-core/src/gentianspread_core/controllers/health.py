"""Health controller: probes the endpoints of groups that number their terms.

On the control leader only. It also has the log forget endpoints that left without a word, and the
departures that no longer matter.
"""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.commands import ChangeOutcome, Command, CommandKind
from ..blackboard.configuration import Group, Registration
from ..blackboard.election import Role
from ..blackboard.groups import Health
from ..blackboard.messages import Proposal
from ..blackboard.outbox import EndpointProbe
from .groupview import LOST_AFTER_FAILURES, GroupView, has_ended

PROBE_PURPOSE = "promotion"
PROBE_INTERVAL_S = 0.2  # seconds; with two misses a crash is noticed within half a second
PROBE_LIMIT_S = 0.3  # seconds; an endpoint answers within 2 ms when it is not overloaded
FORGET_GONE_S = 1.0  # seconds; a leaving endpoint ends once, five probes in a row tell it


class HealthController:
    """Owns the endpoints' health and the times of departures, of groups that number their terms."""

    __slots__ = ("board", "view", "_timer")

    def __init__(self, board: Board) -> None:
        self.board = board
        self.view = GroupView(board)
        self._timer: Any = None

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.LEADERSHIP_CHANGED: self.on_leadership,
            Topic.HEALTH_CHECK_DUE: self.on_due,
            Topic.PROBE_ENDED: self.on_probe_ended,
            Topic.PROMOTION_ENDED: self.on_promotion_ended,
        }

    def on_leadership(self, _entry: None) -> None:
        """Begin to watch the endpoints with a new leadership; forget all on its end."""
        self.board.groups.health.clear()
        self.board.groups.departed_since.clear()
        if self._leads():
            self._arm()

    def on_due(self, _entry: None) -> None:
        """Probe every endpoint, and look after those that left."""
        if not self._leads():
            return
        for registration in list(self.board.configuration.endpoints.values()):
            self._probe(registration)
            self._forget_if_gone(registration)
        for group in list(self.board.configuration.groups.values()):
            self._look_at_departed(group)
        self.board.changes.post(Topic.FAILOVER_CHECK_DUE)
        self._arm()

    def on_probe_ended(self, probe: EndpointProbe) -> None:
        """Note an endpoint's health."""
        health = self.board.groups.health.get(probe.endpoint)
        if probe.purpose != PROBE_PURPOSE or health is None or not self._leads():
            return
        health.probes_in_flight -= 1
        health.answered = True
        registration = self.board.configuration.endpoints.get(probe.endpoint)
        if registration is None:
            return
        if probe.alive:
            health.failures = 0
            health.position = probe.position
            health.is_primary = probe.is_primary
            health.not_primary_answers = 0 if probe.is_primary else health.not_primary_answers + 1
            health.ended_since = None
        else:
            self._note_failure(health, probe, registration)
            if health.failures < LOST_AFTER_FAILURES:
                self._probe(registration)
        self.board.changes.post(Topic.HEALTH_UPDATED, registration.group)

    def on_promotion_ended(self, group: str) -> None:
        """Judge a group's endpoints anew once another was made to lead."""
        for item in self.view.members(group):
            health = self.board.groups.health.get(item.name)
            if health is not None:
                health.answered = False
                health.not_primary_answers = 0

    def _note_failure(
        self, health: Health, probe: EndpointProbe, registration: Registration
    ) -> None:
        health.failures += 1
        health.is_primary = False
        if not has_ended(registration, probe.unreachable_reason):
            health.ended_since = None
        elif health.ended_since is None:
            health.ended_since = self.board.clock.now()

    def _leads(self) -> bool:
        return self.board.election.role is Role.LEADER

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancelled = True
        due = self.board.clock.now() + PROBE_INTERVAL_S
        self._timer = self.board.changes.post_at(due, Topic.HEALTH_CHECK_DUE)

    def _probe(self, registration: Registration) -> None:
        health = self.board.groups.health.setdefault(registration.name, Health())
        if health.probes_in_flight:
            return
        health.probes_in_flight += 1
        now = self.board.clock.now()
        order = EndpointProbe(
            registration.name, registration.address, PROBE_LIMIT_S, PROBE_PURPOSE, now
        )
        self.board.changes.post(Topic.INTENT_POSTED, order)

    def _forget_if_gone(self, registration: Registration) -> None:
        """Have the log forget a leaving endpoint that ended without a word."""
        health = self.board.groups.health.get(registration.name)
        if not registration.leaving or health is None or health.ended_since is None:
            return
        if self.board.clock.now() - health.ended_since < FORGET_GONE_S:
            return
        others = [
            self.board.groups.health[item.name].position
            for item in self.view.members(registration.group)
            if item.name != registration.name and self.view.is_healthy(item.name)
        ]
        if self.view.has_all_since(registration.group, health.ended_since, others):
            fields = {"name": registration.name, "incarnation": registration.incarnation}
            self._propose(CommandKind.ENDPOINT_GONE, fields)

    def _look_at_departed(self, group: Group) -> None:
        """Have the log know once a replica has all that a departed endpoint may have confirmed."""
        now = self.board.clock.now()
        known = self.board.groups.departed_since.get(group.name, {})
        since = {name: known.get(name, now) for name in group.departed}
        self.board.groups.departed_since[group.name] = since
        if not since:
            return
        receivers = [item for item in self.view.receivers(group) if self.view.is_healthy(item.name)]
        held = [self.board.groups.health[item.name].position for item in receivers]
        if self.view.has_all_since(group.name, max(since.values()), held):
            fields = {"group": group.name, "names": group.departed}
            self._propose(CommandKind.DEPARTURES_COVERED, fields)

    def _propose(self, kind: CommandKind, fields: dict[str, Any]) -> None:
        proposal = Proposal(Command(kind, fields), _ignore_outcome)
        self.board.changes.post(Topic.COMMAND_PROPOSED, proposal)


def _ignore_outcome(outcome: ChangeOutcome | None) -> None:
    """Leave the outcome to the next look at the configuration."""
