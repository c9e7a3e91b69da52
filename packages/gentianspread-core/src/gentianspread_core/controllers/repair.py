"""Repair controller: replaces lost allocators and lost voters, on the control leader only.

One membership change is made at a time: a standby first catches up without a vote, then gets one,
then the lost voter loses its own. The repair is reported done only once every voter has every
committed entry.
"""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.commands import ChangeOutcome, Command, CommandKind
from ..blackboard.configuration import Member
from ..blackboard.election import Role
from ..blackboard.members import Sighting
from ..blackboard.messages import Proposal
from ..blackboard.timeline import EventKind

REPAIR_INTERVAL_S = 0.25
ALLOCATOR_LOSS_S = 1.0
LEARNER_LAG_ENTRIES = 2


class RepairController:
    """Owns the members section."""

    __slots__ = ("board", "_since", "_timer", "_changing", "_repairing")

    def __init__(self, board: Board) -> None:
        self.board = board
        self._since = 0.0
        self._timer: Any = None
        self._changing = False
        self._repairing = False

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.LEADERSHIP_CHANGED: self.on_leadership,
            Topic.REPAIR_DUE: self.on_due,
            Topic.MEMBER_SEEN: self.on_seen,
        }

    def on_leadership(self, _entry: None) -> None:
        """Begin to watch the VMs with a new leadership."""
        self._changing = False
        self._since = self.board.clock.now()
        if self._is_leader():
            self._arm()

    def on_seen(self, sighting: Sighting) -> None:
        """Note that a VM was heard of."""
        known = self.board.members.sightings.get(sighting.member)
        if known is None or sighting.at > known.at:
            self.board.members.sightings[sighting.member] = sighting

    def on_due(self, _entry: None) -> None:
        """Replace what is lost, one change at a time."""
        if not self._is_leader():
            return
        if self.board.is_fresh() and not self._changing:
            self._repair_allocators()
            self._repair_voters()
        self._arm()

    def _is_leader(self) -> bool:
        return self.board.election.role is Role.LEADER

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancelled = True
        due = self.board.clock.now() + REPAIR_INTERVAL_S
        self._timer = self.board.changes.post_at(due, Topic.REPAIR_DUE)

    def _silence(self, name: str) -> float:
        """Return for how many seconds a VM was not heard of."""
        if name == self.board.settings.member:
            return 0.0
        sighting = self.board.members.sightings.get(name)
        heard = max(self._since, sighting.at if sighting else 0.0)
        peer = self.board.log.peers.get(name)
        if peer is not None:
            heard = max(heard, peer.last_heard)
        return self.board.clock.now() - heard

    def _is_alive(self, member: Member) -> bool:
        seen = member.name in self.board.members.sightings
        is_self = member.name == self.board.settings.member
        return (seen or is_self) and self._silence(member.name) <= ALLOCATOR_LOSS_S

    def _repair_allocators(self) -> None:
        configuration = self.board.configuration
        for zone in self.board.settings.zones:
            allocator = configuration.allocators.get(zone)
            if allocator is not None and self._serves(allocator.member):
                continue
            candidate = self._candidate(zone)
            if candidate is None:
                continue
            self.board.timeline.record(
                EventKind.ALLOCATOR_NAMED,
                f"zone {zone}",
                "the allocator was silent or draining" if allocator else "the zone had none",
                member=candidate,
            )
            self._propose(CommandKind.NAME_ALLOCATOR, {"zone": zone, "member": candidate})
            return

    def _serves(self, name: str) -> bool:
        member = self.board.configuration.members.get(name)
        if member is None or member.draining:
            return False
        return self._silence(name) <= ALLOCATOR_LOSS_S

    def _candidate(self, zone: str) -> str | None:
        members = self.board.configuration.members.values()
        alive = [
            item.name
            for item in members
            if item.zone == zone and not item.draining and self._is_alive(item)
        ]
        return min(alive) if alive else None

    def _repair_voters(self) -> None:
        log = self.board.log
        if self._repairing:
            self._report_when_whole()
        lost = self._lost_voter()
        wanted = self.board.settings.target_voter_count()
        if not self.board.configuration.voters and self.board.settings.records_initial_voters:
            self._change_voters(list(log.voters), [])
        elif log.learners:
            self._promote_learner(log.learners[0])
        elif lost is not None and len(log.voters) > wanted:
            self._remove_voter(lost)
        elif lost is not None or len(log.voters) < wanted:
            self._add_learner(lost)
        else:
            self._note_joined()

    def _lost_voter(self) -> str | None:
        limit = self.board.settings.voter_loss_timeout_s
        now = self.board.clock.now()
        for name in self.board.log.voters:
            sighting = self.board.members.sightings.get(name)
            if sighting is not None and sighting.lost_votes and now - sighting.at < limit:
                return name
            peer = self.board.log.peers.get(name)
            if peer is not None and now - max(peer.last_heard, self._since) > limit:
                return name
        return None

    def _note_joined(self) -> None:
        """Record a voter that has answered, so that it never votes again after losing its disk."""
        joined = self.board.configuration.joined_voters
        for name in self.board.log.voters:
            peer = self.board.log.peers.get(name)
            has_answered = peer is not None and peer.match_index > 0
            is_self = name == self.board.settings.member
            if name not in joined and (has_answered or is_self):
                self._propose(CommandKind.VOTER_JOINED, {"name": name})
                return

    def _add_learner(self, lost: str | None) -> None:
        """Take in a standby; without one, a lost voter whose VM is alive leaves to come back."""
        log = self.board.log
        standby = self._standby(lost or "")
        if standby is None:
            if lost is not None and self._is_sighted(lost) and len(log.voters) > 2:
                self._repairing = True
                self._remove_voter(lost)
            return
        self._repairing = True
        self.board.timeline.record(
            EventKind.VOTER_LOST, lost or "", "silent for too long", standby=standby
        )
        self._change_voters(list(log.voters), [standby])

    def _is_sighted(self, name: str) -> bool:
        sighting = self.board.members.sightings.get(name)
        return sighting is not None and self.board.clock.now() - sighting.at <= ALLOCATOR_LOSS_S

    def _standby(self, lost: str) -> str | None:
        members = self.board.configuration.members
        lost_zone = members[lost].zone if lost in members else ""
        voters = self.board.log.voters
        alive = [
            item
            for item in members.values()
            if item.has_disk and item.name not in voters and self._is_alive(item)
        ]
        if not alive:
            return None
        return min(alive, key=lambda item: (item.zone != lost_zone, item.name)).name

    def _promote_learner(self, learner: str) -> None:
        log = self.board.log
        peer = log.peers.get(learner)
        now = self.board.clock.now()
        if peer is not None and now - peer.last_heard > self.board.settings.voter_loss_timeout_s:
            self._change_voters(list(log.voters), [])
        elif peer is not None and peer.match_index + LEARNER_LAG_ENTRIES >= log.commit_index:
            self._change_voters([*log.voters, learner], [])

    def _remove_voter(self, lost: str) -> None:
        voters = [name for name in self.board.log.voters if name != lost]
        self._change_voters(voters, [])

    def _report_when_whole(self) -> None:
        log = self.board.log
        if log.learners or len(log.voters) != self.board.settings.target_voter_count():
            return
        for name in log.voters:
            if name == self.board.settings.member:
                continue
            peer = log.peers.get(name)
            if peer is None or peer.match_index < log.commit_index:
                return
            if self.board.clock.now() - peer.last_heard > ALLOCATOR_LOSS_S:
                return
        self._repairing = False
        self.board.timeline.record(
            EventKind.REDUNDANCY_WHOLE, "control log", "every voter has every committed entry"
        )

    def _change_voters(self, voters: list[str], learners: list[str]) -> None:
        self.board.timeline.record(
            EventKind.VOTERS_CHANGED, "control log", "repair", voters=voters, learners=learners
        )
        fields = {"voters": voters, "learners": learners}
        self._propose(CommandKind.CHANGE_VOTERS, fields)

    def _propose(self, kind: CommandKind, fields: dict[str, Any]) -> None:
        self._changing = True
        proposal = Proposal(Command(kind, fields), self._end_change)
        self.board.changes.post(Topic.PROPOSED, proposal)

    def _end_change(self, outcome: ChangeOutcome | None) -> None:
        self._changing = False
