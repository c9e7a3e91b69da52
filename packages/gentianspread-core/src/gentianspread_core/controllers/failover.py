"""Failover controller: detects lost primaries and promotes replicas, on the control leader only.

A failover takes three rounds: the control log grants a new term; a majority of the group's
endpoints accepts it, which fences them against writes of older terms; the most advanced of those is
promoted and recorded as primary in the control log.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.commands import ChangeOutcome, Command, CommandKind
from ..blackboard.configuration import Group
from ..blackboard.election import Role
from ..blackboard.groups import Failover, Health
from ..blackboard.messages import Proposal
from ..blackboard.outbox import EndpointCommand, EndpointCommandKind, EndpointProbe
from ..blackboard.registrations import Registration
from ..blackboard.timeline import EventKind

PROBE_PURPOSE = "failover"
COMMAND_TIMEOUT_S = 0.4
FAILOVER_TIMEOUT_S = 2.0
FENCE_RETRY_DELAY_S = 0.3
PLANNED_PROMOTION_COOLDOWN_S = 1.0
PROMOTION_COOLDOWN_S = 0.5
MAX_CONCURRENT_PROBES = 4


class FailoverController:
    """Owns the failovers and the endpoints' health.

    `_follow_terms` has the term of the `FOLLOW` command under way to each endpoint, `_followed_at`
    when the last one ended: probes that were sent before do not show its effect.
    `_next_failover_at` the earliest time of each group's next failover.
    """

    __slots__ = ("board", "_timer", "_follow_terms", "_followed_at", "_next_failover_at")

    def __init__(self, board: Board) -> None:
        self.board = board
        self._timer: Any = None
        self._follow_terms: dict[str, int] = {}
        self._followed_at: dict[str, float] = {}
        self._next_failover_at: dict[str, float] = {}

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.LEADERSHIP_CHANGED: self.on_leadership,
            Topic.FAILOVER_CHECK_DUE: self.on_failover_due,
            Topic.PROBE_ENDED: self.on_probe_ended,
            Topic.ENDPOINT_COMMAND_ENDED: self.on_command_ended,
        }

    def on_leadership(self, _entry: None) -> None:
        """Drop all failovers and health; start to probe if this VM became the leader."""
        self.board.groups.failovers.clear()
        self.board.groups.health.clear()
        self._follow_terms.clear()
        self._followed_at.clear()
        self._next_failover_at.clear()
        if self._is_leader():
            self._schedule_probes()

    def on_failover_due(self, _entry: None) -> None:
        """Probe every endpoint, and start the failovers that are needed."""
        if not self._is_leader():
            return
        for registration in self.board.configuration.endpoints.values():
            self._probe(registration)
        for group in self.board.configuration.groups.values():
            self._drop_timed_out(group)
            self._start_if_needed(group)
        self._schedule_probes()

    def on_probe_ended(self, probe: EndpointProbe) -> None:
        """Update an endpoint's health, and start a failover if its group's primary is lost."""
        health = self.board.groups.health.get(probe.endpoint)
        if probe.purpose != PROBE_PURPOSE or health is None or not self._is_leader():
            return
        health.probes_in_flight = max(0, health.probes_in_flight - 1)
        registration = self.board.configuration.endpoints.get(probe.endpoint)
        if registration is None:
            return
        group = self.board.configuration.groups[registration.group]
        if probe.alive:
            health.failures = 0
            health.position = probe.position
            health.term = probe.term
            self._reconcile(registration, group, probe)
        else:
            health.failures += 1
            self._follow_terms.pop(probe.endpoint, None)
            self._start_if_needed(group)

    def on_command_ended(self, command: EndpointCommand) -> None:
        """Count accepted fences; command the others to follow once the promotion was accepted."""
        if command.kind is EndpointCommandKind.FOLLOW:
            self._followed_at[command.endpoint] = self.board.clock.now()
            if self._follow_terms.get(command.endpoint) == command.term:
                del self._follow_terms[command.endpoint]
            return
        failover = self.board.groups.failovers.get(command.group)
        if failover is None or failover.term != command.term:
            return
        if command.kind is EndpointCommandKind.FENCE:
            self._count_fence(failover, command)
        else:
            self._handle_promote_result(failover, command)

    def _is_leader(self) -> bool:
        return self.board.election.role is Role.LEADER

    def _schedule_probes(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        due = self.board.clock.now() + self.board.settings.probe_interval_s
        self._timer = self.board.changes.post_at(due, Topic.FAILOVER_CHECK_DUE)

    def _probe(self, registration: Registration) -> None:
        health = self.board.groups.health.setdefault(registration.name, Health())
        if health.probes_in_flight >= MAX_CONCURRENT_PROBES:
            return
        health.probes_in_flight += 1
        timeout_s, now = self.board.settings.probe_timeout_s, self.board.clock.now()
        probe = EndpointProbe(
            registration.name, registration.address, timeout_s, PROBE_PURPOSE, now
        )
        self.board.changes.post(Topic.INTENT_POSTED, probe)

    def _start_if_needed(self, group: Group) -> None:
        if group.name in self.board.groups.failovers or not self.board.leads_with_quorum():
            return
        if self.board.clock.now() < self._next_failover_at.get(group.name, 0.0):
            return
        reason = self._failover_reason(group)
        if not reason or not self._has_live_majority(group):
            return
        term = group.granted_term + 1
        failover = Failover(group.name, term, self.board.clock.now())
        self.board.groups.failovers[group.name] = failover
        self.board.timeline.record(
            EventKind.FAILOVER_STARTED, f"group {group.name}", reason, term=term
        )
        fields = {"group": group.name, "term": term, "settled_term": self._settled_term(group)}
        command = Command(CommandKind.GRANT_TERM, fields)
        proposal = Proposal(command, lambda outcome: self._handle_grant(failover, outcome))
        self.board.changes.post(Topic.COMMAND_PROPOSED, proposal)

    def _handle_grant(self, failover: Failover, outcome: ChangeOutcome | None) -> None:
        """Fence the endpoints once the control log has granted the term to this failover.

        The group's granted term does not tell: an earlier leader may have proposed the same one.
        """
        if self.board.groups.failovers.get(failover.group) is not failover:
            return
        if outcome is not None and outcome.accepted:
            self._fence(failover)
        else:
            del self.board.groups.failovers[failover.group]

    def _failover_reason(self, group: Group) -> str:
        if group.primary is None or group.granted_term > group.term:
            return "the group has no primary"
        registration = self.board.configuration.endpoints.get(group.primary)
        if registration is None:
            return f"the primary {group.primary} is not registered"
        if registration.leaving and self._has_successor(group):
            return f"the primary {group.primary} is leaving"
        health = self.board.groups.health.get(group.primary)
        if health and health.failures >= self.board.settings.probe_failure_threshold:
            return f"the primary {group.primary} did not answer {health.failures} probes"
        return "endpoints have joined" if self._has_joined(group) else ""

    def _has_successor(self, group: Group) -> bool:
        """Return whether a remaining endpoint has everything that the leaving primary has."""
        health = self.board.groups.health
        leaving = health.get(group.primary or "")
        if leaving is None or leaving.position is None:
            return False
        return any(
            not endpoint.leaving
            and endpoint.name in health
            and health[endpoint.name].failures == 0
            and health[endpoint.name].position == leaving.position
            for endpoint in self._endpoints_of(group.name)
        )

    def _delay_next_failover(self, group_name: str, delay_s: float) -> None:
        """Start no failover of a group during a delay."""
        self._next_failover_at[group_name] = self.board.clock.now() + delay_s

    def _endpoints_of(self, group_name: str) -> list[Registration]:
        endpoints = self.board.configuration.endpoints.values()
        return [endpoint for endpoint in endpoints if endpoint.group == group_name]

    def _has_live_majority(self, group: Group) -> bool:
        health = self.board.groups.health
        alive = [
            endpoint.name
            for endpoint in self._endpoints_of(group.name)
            if endpoint.name in health
            and health[endpoint.name].failures == 0
            and health[endpoint.name].position
        ]
        return self._may_fence(group, alive)

    def _may_fence(self, group: Group, names: Collection[str]) -> bool:
        """Return whether a fence by some endpoints excludes any write that was acknowledged."""
        members = self.board.configuration.voting_members.get(group.name)
        if members is None:
            return len(names) >= group.majority()
        return members.has_fence_majority(names)

    def _up_to_date(self, group: Group, term: int) -> list[str]:
        """Return the endpoints that answer and have a record of a term or a later one."""
        health = self.board.groups.health
        return [
            endpoint.name
            for endpoint in self._endpoints_of(group.name)
            if endpoint.name in health
            and health[endpoint.name].failures == 0
            and health[endpoint.name].position is not None
            and health[endpoint.name].position.term >= term
        ]

    def _settled_term(self, group: Group) -> int:
        """Return the term in which the voting members last changed if that is settled, else 0."""
        members = self.board.configuration.voting_members.get(group.name)
        if members is None:
            return 0
        has_record = self._up_to_date(group, members.term)
        return members.term if members.has_majority(has_record) else 0

    def _has_joined(self, group: Group) -> bool:
        """Return whether endpoints that joined should count, which takes a new term."""
        members = self.board.configuration.voting_members.get(group.name)
        if members is None or not self._settled_term(group):
            return False
        up_to_date = self._up_to_date(group, group.term)
        joined = [name for name in up_to_date if name not in members.names]
        return bool(joined) and len(up_to_date) >= group.majority()

    def _send_command(
        self, kind: EndpointCommandKind, registration: Registration, term: int, primary_address: str
    ) -> None:
        command = EndpointCommand(
            kind,
            registration.name,
            registration.address,
            registration.group,
            term,
            primary_address,
            COMMAND_TIMEOUT_S,
        )
        self.board.changes.post(Topic.INTENT_POSTED, command)

    def _fence(self, failover: Failover) -> None:
        failover.phase = "fencing"
        endpoints = self._endpoints_of(failover.group)
        failover.pending_endpoints = {endpoint.name for endpoint in endpoints}
        for endpoint in endpoints:
            self._send_command(EndpointCommandKind.FENCE, endpoint, failover.term, "")

    def _count_fence(self, failover: Failover, command: EndpointCommand) -> None:
        failover.pending_endpoints.discard(command.endpoint)
        if failover.phase != "fencing":
            return
        if command.accepted and command.position is not None:
            failover.accepted[command.endpoint] = command.position
        group = self.board.configuration.groups[failover.group]
        if self._may_fence(group, failover.accepted):
            self._promote(failover)
        elif not failover.pending_endpoints:
            del self.board.groups.failovers[failover.group]
            self._delay_next_failover(failover.group, FENCE_RETRY_DELAY_S)
            self.board.timeline.record(
                EventKind.FENCE_FAILED,
                f"group {failover.group}",
                "no majority of endpoints accepted the term",
                term=failover.term,
            )

    def _most_advanced(self, failover: Failover) -> str:
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
        failover.primary = self._most_advanced(failover)
        registration = self.board.configuration.endpoints[failover.primary]
        self._send_command(
            EndpointCommandKind.PROMOTE, registration, failover.term, registration.address
        )
        fields = {"group": failover.group, "term": failover.term, "endpoint": failover.primary}
        proposal = Proposal(Command(CommandKind.NAME_PRIMARY, fields), _ignore_outcome)
        self.board.changes.post(Topic.COMMAND_PROPOSED, proposal)

    def _handle_promote_result(self, failover: Failover, command: EndpointCommand) -> None:
        del self.board.groups.failovers[failover.group]
        if not command.accepted:
            return
        is_planned = self._is_leaving(command.endpoint)
        self._delay_next_failover(
            failover.group, PLANNED_PROMOTION_COOLDOWN_S if is_planned else PROMOTION_COOLDOWN_S
        )
        elapsed = self.board.clock.now() - failover.started_at
        self.board.timeline.record(
            EventKind.PRIMARY_PROMOTED,
            f"group {failover.group}",
            "the most advanced endpoint of a fenced majority",
            endpoint=command.endpoint,
            term=failover.term,
            decision_ms=round(elapsed * 1000),
        )
        for endpoint in self._endpoints_of(failover.group):
            if endpoint.name != command.endpoint:
                self._follow_terms[endpoint.name] = failover.term
                self._send_command(
                    EndpointCommandKind.FOLLOW, endpoint, failover.term, command.address
                )

    def _reconcile(self, endpoint: Registration, group: Group, probe: EndpointProbe) -> None:
        """Correct an endpoint whose role or term differs from the control log.

        A primary that does not lead in the logged term counts as lost; any other endpoint is
        commanded to follow.
        """
        if group.primary is None or group.name in self.board.groups.failovers:
            return
        if endpoint.name == group.primary:
            if not probe.is_primary or probe.term != group.term:
                self.board.groups.health[endpoint.name].failures = (
                    self.board.settings.probe_failure_threshold
                )
                self._start_if_needed(group)
            return
        differs = probe.term < group.term or probe.is_primary or not probe.follows
        is_current = probe.sent_at >= self._followed_at.get(endpoint.name, 0.0)
        if differs and is_current and self._follow_terms.get(endpoint.name) != group.term:
            self._follow_terms[endpoint.name] = group.term
            primary = self.board.configuration.endpoints[group.primary]
            self._send_command(EndpointCommandKind.FOLLOW, endpoint, group.term, primary.address)

    def _drop_timed_out(self, group: Group) -> None:
        failover = self.board.groups.failovers.get(group.name)
        timeout_s = FAILOVER_TIMEOUT_S
        if failover and self.board.clock.now() - failover.started_at > timeout_s:
            del self.board.groups.failovers[group.name]


def _ignore_outcome(outcome: ChangeOutcome | None) -> None:
    """Ignore the outcome: the next check reads it from the configuration."""
