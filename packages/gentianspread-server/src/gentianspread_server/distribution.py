"""Distribution: long polls by which every VM gets the configuration and its confirmation.

A VM polls a voter of its own availability zone, or the zone's allocator; voters poll the leader.
The age of the confirmation is added up on the way, so that no VM takes itself for fresher than it
is.
"""

from __future__ import annotations

import logging
import math
from typing import Any

import gevent
from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.election import Role
from gentianspread_core.blackboard.log import LogEntry
from gentianspread_core.blackboard.members import MemberContact
from gentianspread_core.blackboard.messages import Proposal
from gentianspread_core.controllers.configuration import (
    ConfigurationController,
    ConfigurationUpdate,
)
from gentianspread_core.controllers.observations import ReceivedObservation
from gentianspread_core.positions import Position
from gevent.event import Event

from .connections import RequestNotSentError, ResponseLostError
from .peers import Addresses, PeerClient
from .reports import SIGHTING_AGE_S, EntryCount, MemberReport
from .serving import ServingVMs

log = logging.getLogger(__name__)

POLL_PATH = "/peer/poll"
POLL_WAIT_S = 0.3
POLL_LIMIT_S = 0.4
POLL_PAUSE_S = 0.05
LONGEST_POLL_PAUSE_S = 0.3  # seconds; 114 VMs that all start anew ask 340 times a second
FIRST_POLL_LIMIT_S = 3.0  # seconds; the whole state takes half a second on a link of 1.4 Mbit/s
OBSERVATION_AGE_S = 5.0  # seconds; no route accepts reads that are older
TOO_OLD_S = 1.2
JOIN_PAUSE_S = 0.2
RETURN_AFTER_S = (
    3.0  # seconds; then the nearest VM is polled again, which saves bytes between zones
)


class Distribution:
    """Polls other VMs for the configuration, and answers their polls."""

    __slots__ = (
        "board",
        "configuration",
        "addresses",
        "client",
        "_changed",
        "_reports",
        "_leader",
        "_registering",
        "_entries",
        "serving",
    )

    def __init__(
        self,
        board: Board,
        configuration: ConfigurationController,
        addresses: Addresses,
        client: PeerClient,
    ) -> None:
        self.board = board
        self.configuration = configuration
        self.addresses = addresses
        self.client = client
        self._changed = Event()
        self._reports: dict[str, MemberReport] = {}
        self._leader: str | None = None
        self._registering: set[str] = set()
        self._entries = EntryCount()
        self.serving = ServingVMs(board)
        board.changes.subscribe(Topic.CONFIGURATION_CHANGED, self._on_changed)

    def start(self) -> None:
        """Begin to poll."""
        gevent.spawn(self._run)

    def leader(self) -> str | None:
        """Return the name of the control leader, as far as this VM knows."""
        election = self.board.election
        if election.role is Role.LEADER:
            return self.board.settings.member
        if election.role is not Role.OBSERVER and election.leader is not None:
            return election.leader
        return self._leader

    def answer_poll(self, message: dict[str, Any]) -> dict[str, Any]:
        """Answer a VM once there is news for it, or after the wait that it asked for."""
        started = self.board.clock.now()
        self.board.post(Topic.POLL_RECEIVED)
        for record in message["reports"]:
            report = MemberReport.from_record(record)
            if report.has_disk or self.board.settings.registers_diskless_members:
                self._take_report(report)
            else:
                heard_at = self.board.clock.now() - report.age
                self._entries.note(report.name, heard_at)
                self.serving.note(report, heard_at)
        teller = message["reports"][0]["name"]
        told = message.get("serving")
        is_taken = told is not None and self.serving.take(teller, told)
        after = message["revision"]
        if self.board.configuration.revision <= after and self.board.is_fresh():
            self._changed.wait(min(message["wait_s"], POLL_WAIT_S))
        only_serves = message.get("only_serves", False)
        update = self.configuration.build_update(
            after, teller, message.get("has_log", False), only_serves
        )
        age = self.board.clock.now() - update.confirmed_at
        timeline = self.board.timeline
        return {
            "revision": update.revision,
            "entries": [entry.to_record() for entry in update.entries],
            "snapshot": update.snapshot,
            "age_s": age if math.isfinite(age) else None,
            "waited_s": self.board.clock.now() - started,
            "leader": self.leader(),
            "joined": self.board.configuration.joined_voters,
            "stamp": [timeline.wall_ms, timeline.counter],
            "entry_vms": self._count_entries(),
            "serving_taken": is_taken,
            "homes": self.serving.answer(message.get("homes", "")),
            "observations": self._observations(),
        }

    def may_vote_blank(self) -> bool:
        """Tell whether a VM with an empty disk may vote: only if it never did before.

        Waits until a VM with a fresh configuration says so, or until all other first voters say
        that they know of no vote.
        """
        me = self.board.settings.member
        while True:
            answers = [self._poll_once(name) for name in self.addresses.seeds if name != me]
            known = [answer for answer in answers if answer is not None]
            if any(me in answer["joined"] for answer in known):
                return False
            fresh = [answer for answer in known if answer["age_s"] is not None]
            if len(known) == len(answers) or fresh:
                return True
            gevent.sleep(JOIN_PAUSE_S)

    def _on_changed(self, revision: int) -> None:
        self._changed.set()
        self._changed.clear()

    def _run(self) -> None:
        turn = 0
        turned_at = self.board.clock.now()
        leader: str | None = None
        while True:
            if self.board.election.role is Role.LEADER:
                gevent.sleep(POLL_WAIT_S)
                continue
            is_over = turn and self.board.clock.now() - turned_at > RETURN_AFTER_S
            if is_over or leader != self.leader():
                turn, leader = 0, self.leader()
            candidates = self.upstreams()
            name = candidates[turn % len(candidates)] if candidates else ""
            if not name or not self._poll(name):
                turn += 1
                turned_at = self.board.clock.now()
                gevent.sleep(min(POLL_PAUSE_S * turn, LONGEST_POLL_PAUSE_S))

    def upstreams(self) -> list[str]:
        """Return whom to poll, the best first.

        That is the leader for voters, and for others a VM of the own zone; the leader comes next,
        as it is the first to be fresh after control VMs restarted.
        """
        settings = self.board.settings
        configuration = self.board.configuration
        leader = self.leader()
        voters = configuration.voters or self.board.log.voters or list(self.addresses.seeds)
        near = [name for name in voters if self._zone_of(name) == settings.zone]
        if not settings.registers_diskless_members:
            members = configuration.members.values()
            near += [item.name for item in members if item.zone == settings.zone and item.has_disk]
        allocator = configuration.allocators.get(settings.zone)
        if allocator is not None:
            near.append(allocator.member)
        near = [name for name in near if name != settings.member]
        is_first = 0 if settings.member in voters else 1
        names = [*near[:is_first], *([leader] if leader else []), *near[is_first:]]
        names += voters
        names += list(self.addresses.seeds)
        names += [item.name for item in configuration.members.values() if item.has_disk]
        return [name for name in dict.fromkeys(names) if name != settings.member]

    def _zone_of(self, name: str) -> str:
        member = self.board.configuration.members.get(name)
        return member.zone if member else ""

    def _poll(self, name: str) -> bool:
        """Poll a VM; tell whether it answered and is itself fresh enough to stay with."""
        sent_at = self.board.clock.now()
        answer = self._poll_once(name, POLL_WAIT_S)
        if answer is None:
            return False
        if answer["leader"] is not None:
            self._leader = answer["leader"]
        self.board.timeline.observe(*answer["stamp"])
        age = answer["age_s"]
        confirmed_at = float("-inf")
        if age is not None:
            confirmed_at = sent_at + answer["waited_s"] - age
        entries = [LogEntry.from_record(record) for record in answer["entries"]]
        update = ConfigurationUpdate(entries, answer["snapshot"], answer["revision"], confirmed_at)
        self.board.post(Topic.CONFIGURATION_RECEIVED, update)
        self._take_entries(answer["entry_vms"])
        self.serving.receive(answer["homes"])
        for group, position, position_age in answer["observations"]:
            taken_at = sent_at + answer["waited_s"] - position_age
            received = ReceivedObservation(group, Position.from_pair(position), taken_at)
            self.board.post(Topic.OBSERVATION_RECEIVED, received)
        return age is not None and age < TOO_OLD_S

    def _poll_once(self, name: str, wait: float = 0.0) -> dict[str, Any] | None:
        address = self.addresses.of(name)
        settings = self.board.settings
        if address is None:
            return None
        message = {
            "revision": self.board.configuration.revision,
            "wait_s": wait,
            "only_serves": not (settings.has_disk or settings.registers_diskless_members),
            "has_log": self.board.election.role is not Role.OBSERVER,
            "reports": [report.to_record() for report in self._reports_to_send()],
            "homes": self.board.homes.version,
        }
        told = self.serving.to_tell(name) if settings.has_disk else None
        if told is not None:
            message["serving"] = told
        limit = POLL_LIMIT_S if self.board.configuration.revision else FIRST_POLL_LIMIT_S
        try:
            answer = self.client.ask(address, POLL_PATH, message, limit + wait)
        except (RequestNotSentError, ResponseLostError):
            return None
        if told is not None:
            self.serving.note_told(name, told["version"] if answer["serving_taken"] else "")
        return answer

    def _observations(self) -> list[list[Any]]:
        """Return the newest position seen at each group's primary, with its age in seconds."""
        now = self.board.clock.now()
        newest = [
            (group, self.board.observations.newest(group))
            for group in self.board.configuration.groups
        ]
        return [
            [group, seen.position.to_pair(), now - seen.taken_at]
            for group, seen in newest
            if seen is not None and now - seen.taken_at < OBSERVATION_AGE_S
        ]

    def _count_entries(self) -> int:
        """Return how many VMs hold connections to endpoints, as far as this VM knows."""
        if self.board.election.role is Role.LEADER:
            now = self.board.clock.now()
            fresh = [item for item in self._reports.values() if now - item.age < SIGHTING_AGE_S]
            total = self._entries.count(now) + sum(item.entries for item in fresh)
            self._take_entries(total)
        return self.board.members.entry_vm_count

    def _take_entries(self, count: int) -> None:
        """Take over a count; a lower one only once it has lasted, as a new leader counts anew."""
        if self._entries.accepts(count, self.board.members.entry_vm_count, self.board.clock.now()):
            self.board.members.entry_vm_count = count
            self.board.post(Topic.ENTRY_VMS_COUNTED)

    def _reports_to_send(self) -> list[MemberReport]:
        settings = self.board.settings
        revision = self.board.configuration.revision
        now = self.board.clock.now()
        own = MemberReport(
            settings.member,
            settings.address,
            settings.zone,
            settings.has_disk,
            revision,
            0.0,
            self.board.election.barred,
            self._entries.count(now),
            bool(settings.address) and not settings.has_disk and not self.board.leaving,
        )
        reports = [own]
        for report in self._reports.values():
            age = now - report.age
            if age < SIGHTING_AGE_S:
                reports.append(
                    MemberReport(
                        report.name,
                        report.address,
                        report.zone,
                        report.has_disk,
                        report.revision,
                        age,
                        report.lost_votes,
                        report.entries,
                    )
                )
        return reports

    def _take_report(self, report: MemberReport) -> None:
        seen_at = self.board.clock.now() - report.age
        known = self._reports.get(report.name)
        if report.name == self.board.settings.member or (known and known.age >= seen_at):
            return
        report.age = seen_at
        self._reports[report.name] = report
        sighting = MemberContact(report.name, seen_at, report.revision, report.lost_votes)
        self.board.post(Topic.MEMBER_REPORTED, sighting)
        if self.board.election.role is Role.LEADER:
            self.register(report)

    def register(self, report: MemberReport) -> None:
        """On the leader, have the log know a VM that it does not know as it is."""
        member = self.board.configuration.members.get(report.name)
        is_known = member is not None and (member.address, member.has_disk) == (
            report.address,
            report.has_disk,
        )
        if is_known or report.name in self._registering:
            return
        fields = {
            "name": report.name,
            "address": report.address,
            "zone": report.zone,
            "has_disk": report.has_disk,
        }
        self._registering.add(report.name)

        def done(outcome: object) -> None:
            self._registering.discard(report.name)

        command = Command(CommandKind.REGISTER_MEMBER, fields)
        self.board.post(Topic.COMMAND_PROPOSED, Proposal(command, done))

    def register_self(self) -> None:
        """On the leader, have the log know this VM."""
        settings = self.board.settings
        self.register(
            MemberReport(
                settings.member, settings.address, settings.zone, settings.has_disk, 0, 0.0
            )
        )
