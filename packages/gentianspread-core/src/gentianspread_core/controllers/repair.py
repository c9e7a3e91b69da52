"""Repair controller: replaces lost allocators and lost voters, on the control leader only.

One membership change is made at a time: a standby first catches up as a learner, then becomes a
voter, then the lost voter is removed. The repair is reported as complete only once every voter has
every committed entry.
"""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.commands import ChangeOutcome, Command, CommandKind
from ..blackboard.configuration import Member
from ..blackboard.election import Role
from ..blackboard.members import MemberContact
from ..blackboard.messages import Proposal
from ..blackboard.timeline import EventKind

REPAIR_INTERVAL_S = 0.25
CONTACT_TIMEOUT_S = 1.0  # a VM without contact for longer does not count as alive
MAX_LEARNER_LAG_ENTRIES = 2
LOST_DISK_SILENCE_S = 0.5  # a present voter answers within it; a report may have been under way


class RepairController:
    """Owns the members section."""

    __slots__ = ("board", "_leader_since", "_timer", "_is_change_pending", "_is_repairing")

    def __init__(self, board: Board) -> None:
        self.board = board
        self._leader_since = 0.0
        self._timer: Any = None
        self._is_change_pending = False
        self._is_repairing = False

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.LEADERSHIP_CHANGED: self.on_leadership,
            Topic.REPAIR_CHECK_DUE: self.on_repair_due,
            Topic.MEMBER_REPORTED: self.on_member_reported,
        }

    def on_leadership(self, _entry: None) -> None:
        """Start the repair checks if this VM became the leader."""
        self._is_change_pending = False
        self._leader_since = self.board.clock.now()
        if self._is_leader():
            self._schedule_repair()

    def on_member_reported(self, contact: MemberContact) -> None:
        """Update the last contact with a VM."""
        previous = self.board.members.last_contacts.get(contact.member)
        if previous is None or contact.at > previous.at:
            self.board.members.last_contacts[contact.member] = contact

    def on_repair_due(self, _entry: None) -> None:
        """Replace lost allocators and voters, one change at a time."""
        if not self._is_leader():
            return
        if self.board.leads_with_quorum() and not self._is_change_pending:
            self._repair_allocators()
            self._repair_voters()
            self._repair_warmup_allocators()
        self._schedule_repair()

    def _is_leader(self) -> bool:
        return self.board.election.role is Role.LEADER

    def _schedule_repair(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        due = self.board.clock.now() + REPAIR_INTERVAL_S
        self._timer = self.board.changes.post_at(due, Topic.REPAIR_CHECK_DUE)

    def _seconds_since_contact(self, name: str) -> float:
        """Return the seconds since the last contact with a VM."""
        if name == self.board.settings.member:
            return 0.0
        contact = self.board.members.last_contacts.get(name)
        last_contact = max(self._leader_since, contact.at if contact else 0.0)
        peer = self.board.log.peers.get(name)
        if peer is not None:
            last_contact = max(last_contact, peer.last_response_at)
        return self.board.clock.now() - last_contact

    def _is_alive(self, member: Member) -> bool:
        was_seen = member.name in self.board.members.last_contacts
        is_self = member.name == self.board.settings.member
        return (was_seen or is_self) and self._seconds_since_contact(
            member.name
        ) <= CONTACT_TIMEOUT_S

    def _repair_allocators(self) -> None:
        configuration = self.board.configuration
        for zone in self.board.settings.zones:
            allocator = configuration.allocators.get(zone)
            if allocator is not None and self._can_allocate(allocator.member):
                continue
            candidate = self._allocator_candidate(zone)
            if candidate is None:
                continue
            self.board.timeline.record(
                EventKind.ALLOCATOR_NAMED,
                f"zone {zone}",
                "the allocator is lost or draining" if allocator else "the zone has no allocator",
                member=candidate,
            )
            self._propose(CommandKind.NAME_ALLOCATOR, {"zone": zone, "member": candidate})
            return

    def _repair_warmup_allocators(self) -> None:
        """Name a VM that grants tokens for the cold endpoints of each zone, if one may need them.

        It is of the endpoints' zone if possible, and stays until it is lost: each change costs the
        time until the predecessor can no longer be fresh, in which nobody grants.
        """
        configuration = self.board.configuration
        if self._is_change_pending or not configuration.cold_groups:
            return
        endpoints = configuration.endpoints.values()
        zones = {item.zone for item in endpoints if item.group in configuration.cold_groups}
        for zone in sorted(zones):
            allocator = configuration.warmup_allocators.get(zone)
            if allocator is not None and self._can_allocate(allocator.member):
                continue
            nearby = [zone, *self.board.settings.zones, self.board.settings.zone]
            candidate = next(filter(None, map(self._allocator_candidate, nearby)), None)
            if candidate is None:
                return
            self.board.timeline.record(
                EventKind.ALLOCATOR_NAMED,
                f"cold endpoints of zone {zone}",
                "the allocator is lost or draining" if allocator else "the zone has no allocator",
                member=candidate,
            )
            fields = {"zone": zone, "member": candidate}
            self._propose(CommandKind.NAME_WARMUP_ALLOCATOR, fields)
            return

    def _can_allocate(self, name: str) -> bool:
        member = self.board.configuration.members.get(name)
        if member is None or member.draining:
            return False
        return self._seconds_since_contact(name) <= CONTACT_TIMEOUT_S

    def _allocator_candidate(self, zone: str) -> str | None:
        members = self.board.configuration.members.values()
        alive = [
            item.name
            for item in members
            if item.zone == zone and not item.draining and self._is_alive(item)
        ]
        return min(alive) if alive else None

    def _repair_voters(self) -> None:
        log = self.board.log
        if self._is_repairing:
            self._report_if_complete()
        lost = self._lost_voter()
        target_count = self.board.settings.target_voter_count()
        if not self.board.configuration.voters and self.board.settings.records_initial_voters:
            self._change_voters(list(log.voters), [])
        elif log.learners:
            self._promote_learner(log.learners[0])
        elif len(log.voters) > target_count > 0:
            self._remove_voter(lost or self._surplus_voter())
        elif lost is not None or len(log.voters) < target_count:
            self._add_learner(lost)

    def _lost_voter(self) -> str | None:
        timeout_s = self.board.settings.voter_loss_timeout_s
        now = self.board.clock.now()
        for name in self.board.log.voters:
            if self._has_lost_disk(name):
                return name
            peer = self.board.log.peers.get(name)
            if (
                peer is not None
                and now - max(peer.last_response_at, self._leader_since) > timeout_s
            ):
                return name
        return None

    def _has_lost_disk(self, name: str) -> bool:
        """Return whether a VM runs with another disk than the one that is in the control log."""
        contact = self.board.members.last_contacts.get(name)
        peer = self.board.log.peers.get(name)
        if contact is None or peer is None:
            return False
        if contact.incarnation in (None, peer.incarnation):
            return False
        return contact.at - peer.last_response_at > LOST_DISK_SILENCE_S

    def _surplus_voter(self) -> str:
        """Return the voter to remove when all voters answer but there are too many.

        A lost voter may answer again after its replacement got a vote. It is the other voter that
        has the fewest entries and, among those, has not answered for the longest time.
        """
        log = self.board.log
        others = [name for name in log.voters if name != self.board.settings.member]
        return min(
            others,
            key=lambda name: (log.peers[name].match_index, log.peers[name].last_response_at, name),
        )

    def _add_learner(self, lost: str | None) -> None:
        """Add a standby as a learner.

        Without a standby, a lost voter whose VM is alive is removed, so that it can be added again.
        """
        log = self.board.log
        standby = self._select_standby(lost or "")
        if standby is None:
            if lost is not None and self._was_seen_recently(lost) and len(log.voters) > 2:
                self._is_repairing = True
                self._remove_voter(lost)
            return
        self._is_repairing = True
        self.board.timeline.record(
            EventKind.VOTER_LOST, lost or "", "the voter did not answer in time", standby=standby
        )
        self._change_voters(list(log.voters), [standby])

    def _was_seen_recently(self, name: str) -> bool:
        contact = self.board.members.last_contacts.get(name)
        return contact is not None and self.board.clock.now() - contact.at <= CONTACT_TIMEOUT_S

    def _select_standby(self, lost: str) -> str | None:
        members = self.board.configuration.members
        lost_zone = members[lost].zone if lost in members else ""
        voters = self.board.log.voters
        alive = [
            item
            for item in members.values()
            if item.has_disk
            and item.name not in voters
            and self._is_alive(item)
            and self._incarnation_of(item.name) is not None
        ]
        if not alive:
            return None
        return min(alive, key=lambda item: (item.zone != lost_zone, item.name)).name

    def _promote_learner(self, learner: str) -> None:
        log = self.board.log
        peer = log.peers.get(learner)
        timeout_s = self.board.settings.voter_loss_timeout_s
        is_silent = peer is not None and self.board.clock.now() - peer.last_response_at > timeout_s
        if is_silent or self._has_lost_disk(learner):
            self._change_voters(list(log.voters), [])
        elif peer is not None and peer.match_index + MAX_LEARNER_LAG_ENTRIES >= log.commit_index:
            self._change_voters([*log.voters, learner], [])

    def _remove_voter(self, lost: str) -> None:
        voters = [name for name in self.board.log.voters if name != lost]
        self._change_voters(voters, [])

    def _report_if_complete(self) -> None:
        log = self.board.log
        if log.learners or len(log.voters) != self.board.settings.target_voter_count():
            return
        for name in log.voters:
            if name == self.board.settings.member:
                continue
            peer = log.peers.get(name)
            if peer is None or peer.match_index < log.commit_index:
                return
            if self.board.clock.now() - peer.last_response_at > CONTACT_TIMEOUT_S:
                return
        self._is_repairing = False
        self.board.timeline.record(
            EventKind.REDUNDANCY_RESTORED, "control log", "every voter has every committed entry"
        )

    def _change_voters(self, voters: list[str], learners: list[str]) -> None:
        self.board.timeline.record(
            EventKind.VOTERS_CHANGED, "control log", "repair", voters=voters, learners=learners
        )
        incarnations = {name: self._incarnation_of(name) for name in [*voters, *learners]}
        fields = {
            "voters": voters,
            "learners": learners,
            "incarnations": {name: value for name, value in incarnations.items() if value},
        }
        self._propose(CommandKind.CHANGE_VOTERS, fields)

    def _incarnation_of(self, name: str) -> str | None:
        """Return the incarnation in the control log, or that which a new learner reported."""
        log = self.board.log
        contact = self.board.members.last_contacts.get(name)
        if name in log.voters or name in log.learners or contact is None:
            return log.incarnation_of(name)
        return contact.incarnation

    def _propose(self, kind: CommandKind, fields: dict[str, Any]) -> None:
        self._is_change_pending = True
        proposal = Proposal(Command(kind, fields), self._finish_change)
        self.board.changes.post(Topic.COMMAND_PROPOSED, proposal)

    def _finish_change(self, outcome: ChangeOutcome | None) -> None:
        self._is_change_pending = False
