"""Deterministic simulation of engines and fake endpoints, with lost and late messages."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.commands import ChangeOutcome, Command, CommandKind
from gentianspread_core.blackboard.election import Role
from gentianspread_core.blackboard.members import MemberContact
from gentianspread_core.blackboard.messages import Message, Proposal
from gentianspread_core.blackboard.outbox import EndpointCommandKind
from gentianspread_core.blackboard.rate_limits import TokenRequest
from gentianspread_core.blackboard.requests import ExchangeStatus, Reply, Request, StatementKind
from gentianspread_core.controllers.configuration import ConfigurationUpdate
from gentianspread_core.interfaces import ReplicaSelector
from gentianspread_core.positions import SessionToken
from gentianspread_core.settings import CoreSettings

from .clock import FakeClock
from .disk import FakeDisk
from .endpoint import FakeEndpoint
from .session_endpoint import endpoint_address
from .vm import FROZEN_RETRY_INTERVAL_S, LATENCY_S, FakeVM

POLL_INTERVAL_S = 0.2
PULL_INTERVAL_S = 0.05
LATE_EXECUTION_DELAY_S = 2.0
GROUP = "g"
WORKSPACE = "w"
KEY_HASH = "key"


class ScheduledEvent:
    """An action scheduled for a simulated time in seconds; `number` breaks ties."""

    __slots__ = ("due", "number", "action")

    def __init__(self, due: float, number: int, action: Callable[[], None]) -> None:
        self.due = due
        self.number = number
        self.action = action

    def __lt__(self, other: ScheduledEvent) -> bool:
        return (self.due, self.number) < (other.due, other.number)


class Simulation:
    """VMs and the endpoints of one group, the blocked links between them, and scheduled events.

    `diskless` counts the VMs without a disk, `standbys` those with one that are no voters yet.
    Commands of `late_command_kinds` are executed after `command_delay_s`, and get no answer.
    `is_first_start` is set until all VMs have started for the first time. With `on_platform`, only
    then are VMs told the initial voters, which the control log records.
    """

    def __init__(
        self,
        seed: int,
        voters: int = 1,
        diskless: int = 1,
        standbys: int = 0,
        selector_factory: Callable[[Board], ReplicaSelector] | None = None,
        on_platform: bool = False,
    ) -> None:
        self.selector_factory = selector_factory
        self.clock = FakeClock()
        self.randomness = random.Random(seed)
        self.incarnation_randomness = random.Random(f"incarnations {seed}")
        self.vms: dict[str, FakeVM] = {}
        self.endpoints: dict[str, FakeEndpoint] = {}
        self.blocked_links: set[frozenset[str]] = set()
        self.reply_loss_probability = 0.0
        self.late_execution_probability = 0.0
        self.token_response_delay_s = 0.0
        self.message_delay_s = 0.0
        self.late_command_kinds: set[EndpointCommandKind] = set()
        self.command_delay_s = 0.0
        self._events: list[ScheduledEvent] = []
        self._event_count = 0
        self._request_count = 0
        self.is_first_start = True
        self._add_vms(voters, diskless, standbys)
        self.is_first_start = False
        if on_platform:
            self._apply_platform_settings(voters)
        self.call_later(self._poll, POLL_INTERVAL_S)
        self.call_later(self._replicate, PULL_INTERVAL_S)

    def call_later(self, action: Callable[[], None], delay: float) -> None:
        """Schedule an action after a delay in seconds."""
        self._event_count += 1
        heapq.heappush(
            self._events, ScheduledEvent(self.clock.now() + delay, self._event_count, action)
        )

    def run(self, seconds: float) -> None:
        """Advance the clock by `seconds`, running everything that falls due."""
        end = self.clock.now() + seconds
        while True:
            self._flush_control_batches()
            due = self._next_due()
            if due is None or due > end:
                break
            self.clock.time = max(self.clock.time, due)
            self._run_due_events()
            for vm in self.vms.values():
                if vm.is_running():
                    vm.board.run_pending()
        self.clock.time = end

    def can_reach(self, first: str, second: str) -> bool:
        """Return whether the link between two processes is open."""
        return frozenset((first, second)) not in self.blocked_links

    def block_link(self, first: str, second: str) -> None:
        """Block the link between two processes."""
        self.blocked_links.add(frozenset((first, second)))

    def isolate(self, name: str) -> None:
        """Block the links between a process and all others."""
        for other in [*self.vms, *self.endpoints]:
            if other != name:
                self.block_link(name, other)

    def heal(self) -> None:
        """Unblock all links; stop losing replies and executing exchanges late."""
        self.blocked_links.clear()
        self.reply_loss_probability = 0.0
        self.late_execution_probability = 0.0

    def add_endpoints(self, count: int = 3) -> None:
        """Add the group's endpoints and register them in the control log."""
        for number in range(1, count + 1):
            name = f"e{number}"
            self.endpoints[name] = FakeEndpoint(name, self.clock)
            self.register_endpoint(name, leaving=False, group_size=count)

    def register_endpoint(self, name: str, leaving: bool, group_size: int = 3) -> None:
        """Register an endpoint in the control log."""
        fields = {
            "name": name,
            "address": endpoint_address(name),
            "zone": f"z{name[1:]}",
            "group": GROUP,
            "leaving": leaving,
            "connections": 45,
            "slots": 3,
            "group_size": group_size,
        }
        self.propose_change(CommandKind.REGISTER_ENDPOINT, fields)

    def leader(self) -> FakeVM | None:
        """Return the live leader of the newest term, if any."""
        leaders = [
            vm
            for vm in self.vms.values()
            if vm.is_running() and vm.board.election.role is Role.LEADER
        ]
        return max(leaders, key=lambda vm: vm.board.election.term, default=None)

    def propose_change(
        self,
        kind: CommandKind,
        fields: dict[str, Any],
        change_id: str = "",
        expected: int | None = None,
        at: FakeVM | None = None,
    ) -> list[ChangeOutcome | None]:
        """Propose a change; its outcome is appended to the returned list."""
        outcomes: list[ChangeOutcome | None] = []
        vm = at or self.leader()
        if vm is not None:
            command = Command(kind, fields, change_id, expected)
            vm.board.post(Topic.COMMAND_PROPOSED, Proposal(command, outcomes.append))
        return outcomes

    def set_up_workspace(self, rate: float = 1000.0, burst: float = 1000.0) -> None:
        """Create a workspace and its key in the control log."""
        fields = {"name": WORKSPACE, "rate": rate, "burst": burst}
        self.propose_change(CommandKind.CREATE_WORKSPACE, fields)
        fields = {"workspace": WORKSPACE, "name": "k", "key_hash": KEY_HASH}
        self.propose_change(CommandKind.GIVE_KEY, fields)

    def send(
        self,
        vm: FakeVM,
        kind: StatementKind,
        statement: str = "",
        token: SessionToken | None = None,
        request_id: str | None = None,
        transaction: str | None = None,
        max_age: float | None = None,
        timeout_s: float = 3.0,
        key_hash: str | None = KEY_HASH,
        open_route: str | None = None,
    ) -> Request:
        """Post a request to a VM; its outcome is set as the simulation runs."""
        self._request_count += 1
        now = self.clock.now()
        request = Request(
            self._request_count,
            kind,
            GROUP,
            statement,
            [],
            False,
            request_id,
            key_hash,
            open_route,
            token,
            max_age,
            now,
            now + timeout_s,
            transaction,
        )
        vm.board.post(Topic.REQUEST_ARRIVED, request)
        return request

    def execute_exchange(self, vm: FakeVM, request: Request) -> None:
        """Execute an exchange; its reply may be lost, or it may be executed after its timeout."""
        exchange = request.exchange
        if exchange is None:
            return
        endpoint = self.endpoints[exchange.endpoint]
        delay = LATENCY_S
        if not self.can_reach(vm.name, exchange.endpoint):
            exchange.reply = Reply(ExchangeStatus.LOST)
            delay = exchange.timeout_s
        elif self.randomness.random() < self.late_execution_probability:
            self.call_later(
                lambda: endpoint.execute(request, exchange) and None, LATE_EXECUTION_DELAY_S
            )
            exchange.reply = Reply(ExchangeStatus.LOST)
            delay = exchange.timeout_s
        else:
            reply = endpoint.execute(request, exchange)
            is_lost = self.randomness.random() < self.reply_loss_probability
            exchange.reply = Reply(ExchangeStatus.LOST) if is_lost else reply
        if request.transaction and exchange.reply.status is not ExchangeStatus.OK:
            endpoint.transactions.pop(request.transaction.partition(".")[2], None)
        vm.call_later(lambda: vm.board.post(Topic.EXCHANGE_ENDED, request), delay)

    def request_tokens(self, vm: FakeVM, request: TokenRequest) -> None:
        """Deliver a token request to its allocator and the response to the VM."""
        allocator = self.vms[request.member]
        if allocator.is_running() and self.can_reach(vm.name, request.member):
            received = TokenRequest(
                request.workspace, request.zone, request.member, request.wanted, request.sent_at
            )
            allocator.board.post(Topic.TOKENS_REQUESTED, received)
            request.granted, request.answered = received.granted, received.answered
            request.reached = True
            request.next_token_delay = received.next_token_delay
        delay = LATENCY_S + self.token_response_delay_s
        vm.call_later(lambda: vm.board.post(Topic.TOKENS_RECEIVED, request), delay)

    def send_message(self, message: Message) -> None:
        """Send a control message; it is dropped if its link is blocked on arrival.

        It is also dropped if sender and receiver were both killed meanwhile, as their connection
        ended and nobody sends the message again.
        """
        sender, receiver = self.vms[message.sender], self.vms[message.receiver]
        starts = (sender.incarnation, receiver.incarnation)

        def deliver() -> None:
            is_sender_gone = not sender.alive or sender.incarnation != starts[0]
            if is_sender_gone and receiver.incarnation != starts[1]:
                return
            if receiver.frozen:
                self.call_later(deliver, FROZEN_RETRY_INTERVAL_S)
            elif receiver.alive and self.can_reach(message.sender, message.receiver):
                copy = Message.from_record(message.to_record())
                receiver.board.post(Topic.MESSAGE_RECEIVED, copy)

        delay = LATENCY_S * self.randomness.uniform(0.5, 2.0) + self.message_delay_s
        self.call_later(deliver, delay)

    def _add_vms(self, voters: int, diskless: int, standbys: int) -> None:
        first = [f"v{number}" for number in range(1, voters + 1)]
        names = first + [f"s{number}" for number in range(1, standbys + 1)]
        names += [f"o{number}" for number in range(1, diskless + 1)]
        for number, name in enumerate(names):
            settings = CoreSettings(name, f"z{number % 3 + 1}", name)
            settings.seeds = list(first)
            settings.initial_voters = list(first)
            settings.zones = ["z1", "z2", "z3"][: max(1, min(3, len(names)))]
            settings.has_disk = not name.startswith("o")
            disk = FakeDisk() if settings.has_disk else None
            self.vms[name] = FakeVM(self, settings, disk)
            self.vms[name].start()

    def _apply_platform_settings(self, voters: int) -> None:
        for vm in self.vms.values():
            vm.settings.initial_voters = []
            vm.settings.records_initial_voters = True
            vm.settings.voter_count = voters

    def _flush_control_batches(self) -> None:
        for vm in self.vms.values():
            vm.flush_control_batch()

    def _next_due(self) -> float | None:
        due_times = [vm.board.changes.next_due() for vm in self.vms.values() if vm.is_running()]
        if self._events:
            due_times.append(self._events[0].due)
        pending = [due for due in due_times if due is not None]
        return min(pending) if pending else None

    def _run_due_events(self) -> None:
        while self._events and self._events[0].due <= self.clock.now():
            heapq.heappop(self._events).action()

    def _poll(self) -> None:
        """Have every VM but the leader poll the leader, or a random VM once it is fresh."""
        for vm in self.vms.values():
            if vm.is_running() and vm.board.election.role is not Role.LEADER:
                self._poll_for(vm)
        self._register_members()
        self.call_later(self._poll, POLL_INTERVAL_S)

    def _poll_for(self, vm: FakeVM) -> None:
        peers = [
            item
            for item in self.vms.values()
            if item is not vm and item.is_running() and self.can_reach(vm.name, item.name)
        ]
        if not peers:
            return
        leader = self.leader()
        is_fresh = vm.board.is_fresh()
        self.poll(vm, leader if leader in peers and not is_fresh else self.randomness.choice(peers))
        if leader in peers:
            contact = MemberContact(
                vm.name,
                self.clock.now(),
                vm.board.configuration.revision,
                vm.board.log.incarnation,
            )
            leader.board.post(Topic.MEMBER_REPORTED, contact)

    def poll(self, vm: FakeVM, peer: FakeVM) -> None:
        """Have a VM take over what another one knows, however old that is."""
        peer.board.post(Topic.POLL_RECEIVED)
        has_log = vm.board.election.role is not Role.OBSERVER
        update = peer.engine.configuration.build_update(
            vm.board.configuration.revision, vm.name, has_log
        )
        copy = ConfigurationUpdate(
            update.entries, update.snapshot, update.revision, update.confirmed_at
        )
        vm.board.post(Topic.CONFIGURATION_RECEIVED, copy)

    def _register_members(self) -> None:
        leader = self.leader()
        if leader is None:
            return
        for vm in self.vms.values():
            if vm.alive and vm.name not in leader.board.configuration.members:
                fields = {
                    "name": vm.name,
                    "address": vm.name,
                    "zone": vm.settings.zone,
                    "has_disk": vm.settings.has_disk,
                }
                self.propose_change(CommandKind.REGISTER_MEMBER, fields)

    def _replicate(self) -> None:
        """Have every replica pull from its primary."""
        by_address = {endpoint_address(name): item for name, item in self.endpoints.items()}
        for endpoint in self.endpoints.values():
            primary = by_address.get(endpoint.primary_address)
            if primary is not None and self.can_reach(endpoint.name, primary.name):
                endpoint.pull(primary, self.randomness.randint(1, 8))
        self.call_later(self._replicate, PULL_INTERVAL_S)
