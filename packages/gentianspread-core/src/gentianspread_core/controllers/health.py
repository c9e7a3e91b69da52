"""Health controller: probes the endpoints of groups whose terms the database assigns.

Runs on the control leader only. It also proposes to the control log to remove leaving endpoints
that refuse connections without having deregistered, and to clear a group's departed endpoints once
a replica has every commit that those may have confirmed.
"""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.commands import ChangeOutcome, Command, CommandKind
from ..blackboard.configuration import Group
from ..blackboard.departures import DepartureEvidence
from ..blackboard.election import Role
from ..blackboard.groups import Health
from ..blackboard.messages import Proposal
from ..blackboard.outbox import EndpointProbe
from ..blackboard.registrations import Registration
from ..blackboard.timeline import EventKind
from .configuration import AppliedCommand
from .departures import DepartureTimes
from .groupview import PROBE_FAILURE_THRESHOLD, GroupView

PROBE_PURPOSE = "promotion"
PROBE_INTERVAL_S = 0.2  # with two failed probes, a crash is detected within half a second
PROBE_TIMEOUT_S = 0.3  # an endpoint that is not overloaded answers within 2 ms
REFUSAL_CONFIRM_S = 1.0  # five probes in a row must be refused by a leaving endpoint


class HealthController:
    """Owns endpoints' health and the times of their departures."""

    __slots__ = ("board", "view", "departures", "_timer")

    def __init__(self, board: Board) -> None:
        self.board = board
        self.view = GroupView(board)
        self.departures = DepartureTimes(board)
        self._timer: Any = None

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.LEADERSHIP_CHANGED: self.on_leadership,
            Topic.HEALTH_CHECK_DUE: self.on_health_due,
            Topic.PROBE_ENDED: self.on_probe_ended,
            Topic.PROMOTION_ENDED: self.on_promotion_ended,
            Topic.COMMAND_APPLIED: self.on_applied,
        }

    def on_leadership(self, _entry: None) -> None:
        """Drop all health; start to probe the endpoints if this VM became the leader."""
        self.board.groups.health.clear()
        self.departures.reset()
        self.board.groups.lost_logs_at.clear()
        if self._is_leader():
            self._schedule_probes()

    def on_health_due(self, _entry: None) -> None:
        """Probe every endpoint, and propose to remove refusing and to clear departed ones."""
        if not self._is_leader():
            return
        self._forget_refusals()
        for registration in list(self.board.configuration.endpoints.values()):
            self._probe(registration)
            self._remove_if_refusing(registration)
        for group in list(self.board.configuration.groups.values()):
            self._check_departures(group)
        self.board.changes.post(Topic.FAILOVER_CHECK_DUE)
        self._schedule_probes()

    def on_probe_ended(self, probe: EndpointProbe) -> None:
        """Update an endpoint's health."""
        health = self.board.groups.health.get(probe.endpoint)
        if probe.purpose != PROBE_PURPOSE or health is None or not self._is_leader():
            return
        # A probe of before the last change of leadership may end now.
        health.probes_in_flight = max(0, health.probes_in_flight - 1)
        health.probed = True
        registration = self.board.configuration.endpoints.get(probe.endpoint)
        if registration is None:
            return
        if probe.alive:
            health.failures = 0
            health.answered_at = probe.sent_at
            if health.has_lost_log(probe.position):
                self._record_lost_log(health, probe, registration)
            if probe.is_primary and not health.is_primary:
                self._record_primary(probe, registration)
            health.position = probe.position
            health.is_primary = probe.is_primary
            health.not_primary_answers = 0 if probe.is_primary else health.not_primary_answers + 1
            health.refused_since = health.terminated_since = None
        else:
            self._record_failure(health, probe)
            if health.failures < PROBE_FAILURE_THRESHOLD:
                self._probe(registration)
        self.board.changes.post(Topic.HEALTH_UPDATED, registration.group)

    def on_promotion_ended(self, group_name: str) -> None:
        """Require new probes of a group's endpoints after a promotion."""
        for endpoint in self.view.endpoints_of(group_name):
            health = self.board.groups.health.get(endpoint.name)
            if health is not None:
                health.probed = False
                health.not_primary_answers = 0

    def on_applied(self, applied: AppliedCommand) -> None:
        """Note the deregistrations that endpoints send again."""
        command = applied.entry.command
        is_call = command.kind is CommandKind.ENDPOINT_GONE and "evidence" not in command.fields
        if is_call and self._is_leader():
            self.departures.note_call(command.fields["name"], command.fields["incarnation"])

    def _record_primary(self, probe: EndpointProbe, registration: Registration) -> None:
        group = self.board.configuration.groups[registration.group]
        self.board.timeline.record(
            EventKind.PRIMARY_OBSERVED,
            f"endpoint {registration.name}",
            "it answers a probe as primary",
            group=registration.group,
            position=str(probe.position),
            fence=group.granted_term,
            registered_primary=group.primary or "",
        )

    def _record_lost_log(
        self, health: Health, probe: EndpointProbe, registration: Registration
    ) -> None:
        lost_at = self.board.groups.lost_logs_at.setdefault(registration.group, {})
        lost_at[registration.name] = self.board.clock.now()
        self.board.timeline.record(
            EventKind.LOG_LOST,
            f"endpoint {registration.name}",
            "its position is before an earlier one",
            group=registration.group,
            before=str(health.position),
            now=str(probe.position),
        )

    def _record_failure(self, health: Health, probe: EndpointProbe) -> None:
        health.failures += 1
        health.is_primary = False
        reason, now = probe.unreachable_reason, self.board.clock.now()
        if reason is None:
            health.refused_since = None
        elif health.refused_since is None:
            health.refused_since = now
        if reason is None or not reason.proves_termination():
            health.terminated_since = None
        elif health.terminated_since is None:
            health.terminated_since = now

    def _is_leader(self) -> bool:
        return self.board.election.role is Role.LEADER

    def _schedule_probes(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        due = self.board.clock.now() + PROBE_INTERVAL_S
        self._timer = self.board.changes.post_at(due, Topic.HEALTH_CHECK_DUE)

    def _probe(self, registration: Registration) -> None:
        health = self.board.groups.health.setdefault(registration.name, Health())
        if health.probes_in_flight:
            return
        health.probes_in_flight += 1
        now = self.board.clock.now()
        probe = EndpointProbe(
            registration.name, registration.address, PROBE_TIMEOUT_S, PROBE_PURPOSE, now
        )
        self.board.changes.post(Topic.INTENT_POSTED, probe)

    def _forget_refusals(self) -> None:
        """Let removed endpoints that register again count as reachable until they are probed."""
        for name, health in self.board.groups.health.items():
            if name not in self.board.configuration.endpoints:
                health.refused_since = health.terminated_since = None

    def _remove_if_refusing(self, registration: Registration) -> None:
        """Propose to remove a leaving endpoint that most probably ended without deregistering."""
        health = self.board.groups.health.get(registration.name)
        if not registration.leaving or health is None or health.refused_since is None:
            return
        if self.board.clock.now() - health.refused_since < REFUSAL_CONFIRM_S:
            return
        other_positions = [
            self.board.groups.health[endpoint.name].position
            for endpoint in self.view.endpoints_of(registration.group)
            if endpoint.name != registration.name and self.view.is_healthy(endpoint.name)
        ]
        if self.view.reaches_primary_since(
            registration.group, health.refused_since, other_positions
        ):
            is_replaced = health.terminated_since is not None
            evidence = DepartureEvidence.REPLACED if is_replaced else DepartureEvidence.REFUSED
            fields = {
                "name": registration.name,
                "incarnation": registration.incarnation,
                "evidence": evidence.value,
            }
            self._propose(CommandKind.ENDPOINT_GONE, fields)

    def _check_departures(self, group: Group) -> None:
        """Propose to clear departed endpoints once a replica has all they may have confirmed."""
        self.departures.update(group)
        last_end_at = self.view.last_end_at(group)
        if last_end_at is None:
            return
        replicas = [
            replica for replica in self.view.replicas(group) if self.view.is_healthy(replica.name)
        ]
        positions = [self.board.groups.health[replica.name].position for replica in replicas]
        if not self.view.reaches_primary_since(group.name, last_end_at, positions):
            return
        self.board.groups.lost_logs_at.pop(group.name, None)
        if group.departed:
            fields = {"group": group.name, "names": group.departed}
            self._propose(CommandKind.DEPARTURES_COVERED, fields)

    def _propose(self, kind: CommandKind, fields: dict[str, Any]) -> None:
        proposal = Proposal(Command(kind, fields), _ignore_outcome)
        self.board.changes.post(Topic.COMMAND_PROPOSED, proposal)


def _ignore_outcome(outcome: ChangeOutcome | None) -> None:
    """Ignore the outcome: the next check reads it from the configuration."""
