"""Distribution: long polls that bring the configuration and its confirmation to every VM.

A VM polls a voter of its own availability zone, or the zone's allocator; voters poll the leader.
Each hop adds its delay to the age of the confirmation, so no VM overestimates its freshness.
"""

from __future__ import annotations

import logging
import math
from typing import Any

import gevent
from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.election import Role
from gentianspread_core.blackboard.leases import COMMIT_LEASE_S, CommitLease
from gentianspread_core.blackboard.log import LogEntry
from gentianspread_core.blackboard.members import MemberContact
from gentianspread_core.blackboard.messages import Proposal
from gentianspread_core.controllers.configuration import (
    ConfigurationController,
    ConfigurationUpdate,
)
from gentianspread_core.controllers.leases import (
    applied_revision,
    handed_on_reports,
    has_recent_opening,
)
from gentianspread_core.controllers.observations import ReceivedObservation
from gentianspread_core.controllers.warmup import endpoints_to_doubt
from gentianspread_core.positions import Position

from .connections import RequestNotSentError, ResponseLostError
from .founding import FirstStart
from .guards import run_for_ever
from .handedon import decode_handed_on, encode_handed_on
from .news import News
from .peers import PeerAddresses, PeerClient
from .reports import (
    DEFAULT_SIZE,
    MAX_REPORT_AGE_S,
    POLL_RESPONSE_FIELDS,
    EntryVMCounter,
    MemberReport,
)
from .serving import ServingVMRegistry

log = logging.getLogger(__name__)

POLL_PATH = "/peer/poll"
LOOP_NAME = "polling"
LONG_POLL_WAIT_S = 0.3
SHORT_POLL_WAIT_S = 0.05  # while a promotion waits until all VMs know of it
POLL_TIMEOUT_S = 0.4  # in addition to the wait
POLL_BACKOFF_STEP_S = 0.05
MAX_POLL_BACKOFF_S = 0.3  # with 114 VMs that all restart at once, 340 polls a second
FIRST_POLL_TIMEOUT_S = 3.0  # a full snapshot takes half a second on a 1.4 Mbit/s link
MAX_OBSERVATION_AGE_S = 5.0  # no route accepts reads of older data
MAX_UPSTREAM_AGE_S = 1.2
PREFERRED_UPSTREAM_RETRY_S = 3.0  # returning to the preferred upstream saves traffic between zones


class Distribution:
    """Polls other VMs for the configuration, and answers their polls.

    `_reports` holds the newest report of each VM; the `age` of a stored report is not an age but
    the time of the report on this VM's clock, in seconds.
    """

    __slots__ = (
        "board",
        "configuration",
        "addresses",
        "client",
        "_news",
        "_reports",
        "_reported_leader",
        "_registering",
        "_entry_vm_counter",
        "_failed_polls",
        "_last_failure_at",
        "_polled_leader",
        "serving_vms",
        "first_start",
    )

    def __init__(
        self,
        board: Board,
        configuration: ConfigurationController,
        addresses: PeerAddresses,
        client: PeerClient,
    ) -> None:
        self.board = board
        self.configuration = configuration
        self.addresses = addresses
        self.client = client
        self._news = News(board)
        self._reports: dict[str, MemberReport] = {}
        self._reported_leader: str | None = None
        self._registering: set[str] = set()
        self._entry_vm_counter = EntryVMCounter()
        self._failed_polls = 0
        self._last_failure_at = float("-inf")
        self._polled_leader: str | None = None
        self.serving_vms = ServingVMRegistry(board)
        self.first_start = FirstStart(
            board, lambda name: self._poll_once(name, asks_first_start=True)
        )

    def start(self) -> None:
        """Start polling."""
        gevent.spawn(self._run)

    def leader(self) -> str | None:
        """Return the name of the control leader that this VM knows of, or none."""
        election = self.board.election
        if election.role is Role.LEADER:
            return self.board.settings.member
        if election.role is not Role.OBSERVER and election.leader is not None:
            return election.leader
        return self._reported_leader

    def answer_poll(self, message: dict[str, Any]) -> dict[str, Any]:
        """Answer a poll, after a wait for news if there is none yet."""
        started = self.board.clock.now()
        sender_report = message["reports"][0]
        sender_vm = None if sender_report["has_disk"] else sender_report["name"]
        self.board.post(Topic.POLL_RECEIVED, sender_vm)
        for record in message["reports"]:
            report = MemberReport.from_record(record)
            if report.has_disk or self.board.settings.registers_diskless_members:
                self._store_report(report)
            else:
                polled_at = self.board.clock.now() - report.age
                self._entry_vm_counter.record_poll(report.name, polled_at)
                self.serving_vms.record_poll(report, polled_at)
        sender = message["reports"][0]["name"]
        serving_list = message.get("serving")
        is_list_stored = serving_list is not None and self.serving_vms.receive_control_vm_list(
            sender, serving_list
        )
        if message.get("lost"):
            self.board.post(Topic.ENDPOINTS_DOUBTED, message["lost"])
        sender_revision = message["revision"]
        deadline = started + min(message["wait_s"], LONG_POLL_WAIT_S)
        self._news.wait_for(sender_revision, sender_report["has_disk"], deadline)
        only_serves = message.get("only_serves", False)
        update = self.configuration.build_update(
            sender_revision, sender, message.get("has_log", False), only_serves
        )
        # The poller subtracts the age from the wait; the VM may freeze between two readings.
        now = self.board.clock.now()
        age = now - update.confirmed_at
        # An older build that passes leases on says nothing of the VMs that have one from it.
        passes_on = sender_report["has_disk"] or self.board.settings.registers_diskless_members
        applied = message.get("applied", 0 if passes_on else sender_revision)
        reports = decode_handed_on(message.get("handed_on", {}), started)
        lease = CommitLease(sender, applied, update.confirmed_at + COMMIT_LEASE_S, reports)
        self.board.post(Topic.LEASE_PASSED_ON, lease)
        timeline = self.board.timeline
        answer = {
            "revision": update.revision,
            "entries": [entry.to_record() for entry in update.entries],
            "snapshot": update.snapshot,
            "age_s": age if math.isfinite(age) else None,
            "waited_s": now - started,
            "leader": self.leader(),
            "joined": self.board.log.voters,  # required by older builds
            "stamp": [timeline.wall_ms, timeline.counter],
            "entry_vms": self._count_entry_vms(),
            "serving_taken": is_list_stored,
            "homes": self.serving_vms.build_fleet_list(message.get("homes", "")),
            "observations": self._recent_observations(),
        }
        if message.get("asks_first_start"):
            answer["first_start"] = self.first_start.confirms(sender)
        return answer

    def _run(self) -> None:
        run_for_ever(self.board, LOOP_NAME, self._poll_next)

    def _poll_next(self) -> None:
        """Poll the next upstream, or wait while this VM is the leader."""
        if self.board.election.role is Role.LEADER:
            gevent.sleep(LONG_POLL_WAIT_S)
            return
        now = self.board.clock.now()
        is_retry_due = self._failed_polls and now - self._last_failure_at > (
            PREFERRED_UPSTREAM_RETRY_S
        )
        if is_retry_due or self._polled_leader != self.leader():
            self._failed_polls, self._polled_leader = 0, self.leader()
        upstreams = self.upstreams()
        name = upstreams[self._failed_polls % len(upstreams)] if upstreams else ""
        if not name or not self._poll_safely(name):
            self._failed_polls += 1
            self._last_failure_at = self.board.clock.now()
            backoff = min(POLL_BACKOFF_STEP_S * self._failed_polls, MAX_POLL_BACKOFF_S)
            self._news.wait_for_leader(backoff)

    def _poll_safely(self, name: str) -> bool:
        """Poll a VM; a response that cannot be read counts as none, so that another is polled."""
        try:
            return self._poll(name)
        except (KeyError, TypeError, ValueError, AttributeError, IndexError) as error:
            self.board.timeline.record_error(LOOP_NAME, error)
            return False

    def upstreams(self) -> list[str]:
        """Return the VMs to poll, in order of preference.

        Voters prefer the leader. Other VMs prefer a VM of their own zone and then the leader, which
        is the first to be fresh after a restart of the control VMs.
        """
        settings = self.board.settings
        configuration = self.board.configuration
        leader = self.leader()
        voters = configuration.voters or self.board.log.voters or list(self.addresses.seeds)
        nearby = [name for name in voters if self._zone_of(name) == settings.zone]
        if not settings.registers_diskless_members:
            members = configuration.members.values()
            nearby += [
                item.name for item in members if item.zone == settings.zone and item.has_disk
            ]
        allocator = configuration.allocators.get(settings.zone)
        if allocator is not None:
            nearby.append(allocator.member)
        nearby = [name for name in nearby if name != settings.member]
        leader_position = 0 if settings.member in voters else 1
        names = [
            *nearby[:leader_position],
            *([leader] if leader else []),
            *nearby[leader_position:],
        ]
        names += voters
        names += list(self.addresses.seeds)
        names += [item.name for item in configuration.members.values() if item.has_disk]
        return [name for name in dict.fromkeys(names) if name != settings.member]

    def _zone_of(self, name: str) -> str:
        member = self.board.configuration.members.get(name)
        return member.zone if member else ""

    def _poll(self, name: str) -> bool:
        """Poll a VM; return whether it answered and is fresh enough to be polled again."""
        sent_at = self.board.clock.now()
        is_promoting = has_recent_opening(self.board)
        response = self._poll_once(name, SHORT_POLL_WAIT_S if is_promoting else LONG_POLL_WAIT_S)
        if response is None:
            return False
        if response["leader"] is not None:
            self._reported_leader = response["leader"]
        self.board.timeline.observe(*response["stamp"])
        age = response["age_s"]
        confirmed_at = float("-inf")
        if age is not None:
            confirmed_at = sent_at + response["waited_s"] - age
        entries = [LogEntry.from_record(record) for record in response["entries"]]
        update = ConfigurationUpdate(
            entries, response["snapshot"], response["revision"], confirmed_at
        )
        self.board.post(Topic.CONFIGURATION_RECEIVED, update)
        self._update_entry_vm_count(response["entry_vms"])
        self.serving_vms.receive_fleet_list(response["homes"])
        for group, position, observation_age in response["observations"]:
            observed_at = sent_at + response["waited_s"] - observation_age
            received = ReceivedObservation(group, Position.from_pair(position), observed_at, name)
            self.board.post(Topic.OBSERVATION_RECEIVED, received)
        return age is not None and age < MAX_UPSTREAM_AGE_S

    def _poll_once(
        self, name: str, wait_s: float = 0.0, asks_first_start: bool = False
    ) -> dict[str, Any] | None:
        address = self.addresses.resolve(name)
        settings = self.board.settings
        if address is None:
            return None
        message = {
            "revision": self.board.configuration.revision,
            "wait_s": wait_s,
            "only_serves": not (settings.has_disk or settings.registers_diskless_members),
            "has_log": self.board.election.role is not Role.OBSERVER,
            "reports": [report.to_record() for report in self._reports_to_send()],
            "homes": self.board.homes.version,
        }
        if settings.has_disk or settings.registers_diskless_members:
            message["applied"] = applied_revision(self.board)
        reports = handed_on_reports(self.board)
        if reports:
            message["handed_on"] = encode_handed_on(reports, self.board.clock.now())
        if asks_first_start:
            message["asks_first_start"] = True
        lost = endpoints_to_doubt(self.board)
        if lost:
            message["lost"] = lost
        serving_list = self.serving_vms.build_own_list_for(name) if settings.has_disk else None
        if serving_list is not None:
            message["serving"] = serving_list
        timeout_s = POLL_TIMEOUT_S if self.board.configuration.revision else FIRST_POLL_TIMEOUT_S
        try:
            response = self.client.request(address, POLL_PATH, message, timeout_s + wait_s)
        except (RequestNotSentError, ResponseLostError):
            return None
        if not isinstance(response, dict) or not response.keys() >= POLL_RESPONSE_FIELDS:
            error = ValueError(f"the response of {name} lacks fields")
            self.board.timeline.record_error(LOOP_NAME, error)
            return None
        if serving_list is not None:
            self.serving_vms.mark_sent(
                name, serving_list["version"] if response["serving_taken"] else ""
            )
        return response

    def _recent_observations(self) -> list[list[Any]]:
        """Return the newest recent position of each group's primary, with its age in seconds."""
        now = self.board.clock.now()
        newest = [
            (group, self.board.observations.newest(group))
            for group in self.board.configuration.groups
        ]
        return [
            [group, observation.position.to_pair(), now - observation.taken_at]
            for group, observation in newest
            if observation is not None and now - observation.taken_at < MAX_OBSERVATION_AGE_S
        ]

    def _count_entry_vms(self) -> int:
        """Return the number of VMs without a disk in the fleet, as the leader counts them."""
        if self.board.election.role is Role.LEADER:
            now = self.board.clock.now()
            fresh = [item for item in self._reports.values() if now - item.age < MAX_REPORT_AGE_S]
            total = self._entry_vm_counter.count(now) + sum(item.entries for item in fresh)
            self._update_entry_vm_count(total)
        return self.board.members.entry_vm_count

    def _update_entry_vm_count(self, count: int) -> None:
        """Apply a count; a decrease only after a delay, as a new leader starts counting at zero."""
        if self._entry_vm_counter.should_replace(
            count, self.board.members.entry_vm_count, self.board.clock.now()
        ):
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
            self._entry_vm_counter.count(now),
            bool(settings.address)
            and not settings.has_disk
            and not self.board.shutdown.is_requested(),
            self.board.log.incarnation,
            DEFAULT_SIZE if settings.has_disk else settings.size,
        )
        reports = [own]
        for report in self._reports.values():
            age = now - report.age
            if age < MAX_REPORT_AGE_S:
                reports.append(
                    MemberReport(
                        report.name,
                        report.address,
                        report.zone,
                        report.has_disk,
                        report.revision,
                        age,
                        report.entries,
                        incarnation=report.incarnation,
                    )
                )
        return reports

    def _store_report(self, report: MemberReport) -> None:
        """Store a report that is newer than the stored one, and register its VM on the leader."""
        reported_at = self.board.clock.now() - report.age
        stored = self._reports.get(report.name)
        if report.name == self.board.settings.member or (stored and stored.age >= reported_at):
            return
        report.age = reported_at
        self._reports[report.name] = report
        contact = MemberContact(report.name, reported_at, report.revision, report.incarnation)
        self.board.post(Topic.MEMBER_REPORTED, contact)
        if self.board.election.role is Role.LEADER:
            self.register(report)

    def register(self, report: MemberReport) -> None:
        """On the leader, propose to register a VM that the log lacks or holds with other fields."""
        member = self.board.configuration.members.get(report.name)
        is_up_to_date = member is not None and (member.address, member.has_disk) == (
            report.address,
            report.has_disk,
        )
        if is_up_to_date or report.name in self._registering:
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
        """On the leader, propose to register this VM itself."""
        settings = self.board.settings
        self.register(
            MemberReport(
                settings.member, settings.address, settings.zone, settings.has_disk, 0, 0.0
            )
        )
