"""Simulation of promotions under faults of endpoints, links, commands, VMs and the control leader.

The endpoints do what the platform's protocol allows. Three limits keep to what it promises: the
last endpoint that led keeps its log when it crashes; a replica that a call may still promote is not
started with an empty log; and a replica crashes only while another one has every acknowledged
write. One that leaves may end without that, as the last endpoint that led has every write.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum, auto
from typing import Any

from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.leases import COMMIT_LEASE_S, CommitLease
from gentianspread_core.blackboard.outbox import EndpointCommand, EndpointCommandKind
from gentianspread_core.blackboard.rate_limits import TokenRequest
from gentianspread_core.blackboard.sessions import (
    Session,
    SessionExchange,
    SessionRequest,
    StatementCall,
)
from gentianspread_core.controllers.configuration import ConfigurationUpdate
from gentianspread_core.controllers.leases import handed_on_reports
from gentianspread_core.controllers.observations import ReceivedObservation
from gentianspread_server.platform.wire import decode_statement

from .home_simulation import POLL_INTERVAL_S, TOKENS_TIMEOUT_S, newest_observation
from .promotion_simulation import EFFECT_DELAY_S, PromotionSimulation
from .session_endpoint import FakeSessionEndpoint, endpoint_address
from .session_simulation import GROUP, LATENCY_S, connection_name

ANNOUNCEMENT_INTERVAL_S = 0.1
CALL_MARGIN_S = 0.01  # after the effect of a call


class CommandFate(Enum):
    """What happens to a command that gets no answer."""

    NEVER_RUN = auto()
    ANSWER_LOST = auto()
    LATE = auto()


class Announcement:
    """What an endpoint announces from `due` on, until the control log has it."""

    __slots__ = ("due", "leaving", "is_gone")

    def __init__(self, due: float, leaving: bool = False, is_gone: bool = False) -> None:
        self.due = due
        self.leaving = leaving
        self.is_gone = is_gone


class PromotionFaults(PromotionSimulation):
    """The VMs and endpoints of `PromotionSimulation`, with more faults.

    `blocked_links` are pairs of a VM and an endpoint that it does not reach, `poll_delays_s` the
    delays of answers to polls by VM. `fates` has the fates of the next commands by kind, with the
    delay of late ones. `last_leader` is the last endpoint that led, `ending` those that leave,
    `gone` those that ended for good, and `unprotected` those that end whatever the other replicas
    have. `commits` gives by statement the writes that it commits,
    `unrun_writes` those that callers were told not to have run. `faults` collects violations that
    are noticed when they happen.
    """

    def __init__(self, vm_count: int = 3, seed: int = 1) -> None:
        self.blocked_links: set[tuple[str, str]] = set()
        self.poll_delays_s: dict[str, float] = {}
        self.fates: dict[EndpointCommandKind, list[tuple[CommandFate, float]]] = {}
        self.last_leader = "b1"
        self.commits: dict[str, list[str]] = {}
        self.unrun_writes: set[str] = set()
        self.faults: list[str] = []
        self.ending: set[str] = set()
        self.gone: set[str] = set()
        self.unprotected: set[str] = set()
        self._announcements: dict[str, Announcement] = {}
        self._incarnations: dict[str, int] = {}
        self._sequence = 10
        self._open_targets: Counter[str] = Counter()
        self._kept_logs: set[str] = set()
        self._broken_connections: set[str] = set()
        self._token_holders: dict[int, Board] = {}
        self._newest_sent_token = 0
        super().__init__(vm_count=vm_count, seed=seed)
        self._announce_due()

    def staying(self) -> list[str]:
        """Return the endpoints that neither left nor announced that they leave."""
        leaving = {name for name, item in self._announcements.items() if item.leaving}
        registered = self.board.configuration.endpoints
        leaving |= {name for name, item in registered.items() if item.leaving}
        return [name for name in self.endpoints if name not in leaving and name not in self.gone]

    def is_announced_as_leaving(self, name: str) -> bool:
        """Return whether the control log has an endpoint as leaving."""
        registration = self.board.configuration.endpoints.get(name)
        return registration is not None and registration.leaving

    def add_replica(self, zone: str, announced_after_s: float | None) -> None:
        """Add a replica, which receives the primary's log at once; it may never announce itself."""
        endpoint = FakeSessionEndpoint(f"b{len(self.endpoints) + 1}", zone)
        endpoint.call_later = self.call_later
        endpoint.term, endpoint.log_term = 0, 0
        self.endpoints[endpoint.name] = endpoint
        self._rejoin(endpoint)
        self._announce_after(endpoint.name, announced_after_s)

    def crash(self, name: str, needs_copy: bool = True) -> None:
        """End an endpoint's process; callers of its connections get no answer.

        With `needs_copy`, it is left alone if no other replica would have all acknowledged writes.
        """
        may_end = name == self.last_leader or not needs_copy or self.may_lose_log(name)
        if self.endpoints[name].alive and may_end:
            self._end(name)

    def _end(self, name: str) -> None:
        endpoint = self.endpoints[name]
        self._broken_connections |= {
            connection
            for connection, session in endpoint.sessions.items()
            if session.in_transaction
        }
        if name == self.last_leader:
            self._kept_logs.add(name)
        super().crash(name)

    def may_start(self, name: str) -> bool:
        """Return whether an endpoint may be started again."""
        is_ending = name in self.gone or (name in self.ending and name != self.last_leader)
        is_called = name not in self._kept_logs and self._open_targets[name] > 0
        return not (self.endpoints[name].alive or is_ending or is_called)

    def may_lose_log(self, name: str) -> bool:
        """Return whether another replica that runs has every acknowledged write."""
        return any(
            item.alive and self.acknowledged.keys() <= set(item.log)
            for item in self.endpoints.values()
            if item.name not in (name, self.last_leader)
        )

    def start(self, name: str, announced_after_s: float | None) -> None:
        """Start an endpoint again, with an empty log unless it led when it crashed."""
        endpoint = self.endpoints[name]
        endpoint.alive = True
        endpoint.is_primary |= name in self._stepped_down
        self._stepped_down.discard(name)
        self._crashed_primaries.discard(name)
        endpoint.replication_paused = endpoint.ignores_replication = False
        if name in self._kept_logs:
            self._kept_logs.discard(name)
        else:
            endpoint.log, endpoint.applied = [], 0
            endpoint.term = endpoint.log_term = 0
        if endpoint.is_primary:
            self._rejoin_replicas()
        else:
            self._rejoin(endpoint)
        self._incarnations[name] = self._incarnations.get(name, 1) + 1
        self._announce_after(name, announced_after_s)

    def receive(self, name: str, receives: bool) -> None:
        """Let an endpoint receive from the primary, or not."""
        self.endpoints[name].ignores_replication = not receives
        if receives and self.endpoints[name].alive and not self.endpoints[name].is_primary:
            self._rejoin(self.endpoints[name])

    def leave(self, name: str) -> None:
        """Announce that an endpoint leaves."""
        self._announcements[name] = Announcement(self.clock.now(), leaving=True)

    def announce_if_unknown(self, name: str) -> None:
        """Have an endpoint that never announced its present start do so."""
        registration = self.board.configuration.endpoints.get(name)
        incarnation = self._incarnations.get(name, 1)
        is_known = registration is not None and registration.incarnation == incarnation
        if not is_known and name not in self._announcements:
            self._announce_after(name, 0.0)

    def terminate(
        self,
        name: str,
        deregisters: bool,
        lingers_s: float,
        is_replaced: bool,
        needs_copy: bool = True,
    ) -> None:
        """End an endpoint for good; without an acknowledgement it lingers after deregistering.

        The endpoint that leads does neither until another one does, as its log would be lost. With
        `needs_copy`, a replica waits until another one has every acknowledged write.
        """
        self.ending.add(name)
        if not needs_copy:
            self.unprotected.add(name)
        self._announcements.pop(name, None)
        if deregisters:
            self._announcements[name] = Announcement(self.clock.now(), is_gone=True)
        self.call_later(lambda: self._end_process(name, is_replaced), lingers_s)

    def promote(self, name: str) -> None:
        """Have an endpoint lead the next term; a process that runs adopts that term."""
        newest = max(endpoint.term for endpoint in self.endpoints.values())
        ended_terms = {item.name: item.term for item in self.endpoints.values() if not item.alive}
        super().promote(name)
        self.last_leader = name
        for endpoint in self.endpoints.values():
            endpoint.term = ended_terms.get(endpoint.name, newest + 1)

    def send_text(self, vm: str, session: Session, statement_id: str, text: str) -> StatementCall:
        """Send a statement of a caller."""
        return self.send_statement_at(vm, session, decode_statement(statement_id, text))

    def execute_intent(self, board: Board, intent: Any) -> None:
        """Execute an intent; commands are answered to the process that sent them."""
        if isinstance(intent, EndpointCommand):
            self.call_later(lambda: self._send_command(board, intent), LATENCY_S)
        else:
            super().execute_intent(board, intent)

    def execute_exchange(self, board: Board, request: SessionRequest) -> None:
        """Execute an exchange, unless its VM does not reach the endpoint."""
        exchange = request.exchange
        if not isinstance(exchange, SessionExchange):
            return
        connection = connection_name(board, exchange.connection.number)
        if (board.settings.member, exchange.endpoint) in self.blocked_links:
            delay_s = exchange.timeout_s
        elif connection in self._broken_connections:
            delay_s = LATENCY_S
        else:
            super().execute_exchange(board, request)
            return
        self.call_later(lambda: self._lose_exchange(board, request, exchange), delay_s)

    def _on_answered(self, call: Any) -> None:
        """Note the writes that a caller was told to be committed, or not to have run."""
        writes = self.commits.get(call.statement.statement_id, [])
        if call.answer is None or not writes:
            return
        refusal = call.answer.refusal
        if refusal is not None:
            if refusal.result.value == "not run":
                self.unrun_writes.update(writes)
            return
        log = self.endpoints[self.last_leader].log
        for write in writes:
            self.acknowledged[write] = self.clock.now()
            if write not in log:
                self.lost_writes.add(write)

    def _send_command(self, board: Board, command: EndpointCommand) -> None:
        if board not in self.boards:
            return
        is_call = command.kind is EndpointCommandKind.PROMOTE
        if is_call:
            self._check_token(board, command)
            self._open_targets[command.endpoint] += 1
        fates = self.fates.get(command.kind)
        fate, late_s = fates.pop(0) if fates else (None, 0.0)
        if not is_call and command.endpoint in self.cut_off_endpoints:
            fate = fate or CommandFate.NEVER_RUN
        delay_s = late_s if fate is CommandFate.LATE else 0.0
        if is_call:
            settled_s = delay_s + EFFECT_DELAY_S + CALL_MARGIN_S
            self.call_later(lambda: self._settle(command.endpoint), settled_s)
        if fate is CommandFate.LATE:
            self.call_later(lambda: self._carry_out(command), delay_s)
        elif fate is not CommandFate.NEVER_RUN:
            self._carry_out(command)
        if fate is None:
            self.call_later(lambda: board.post(Topic.ENDPOINT_COMMAND_ENDED, command), LATENCY_S)
        else:
            self._end_later(command, board)

    def _settle(self, target: str) -> None:
        self._open_targets[target] -= 1

    def _check_token(self, board: Board, command: EndpointCommand) -> None:
        """Check that tokens rise, and that each is used by one process."""
        token = command.fencing_token
        if token < self._newest_sent_token:
            self.faults.append(f"fencing token {token} was sent after {self._newest_sent_token}")
        self._newest_sent_token = max(token, self._newest_sent_token)
        if self._token_holders.setdefault(token, board) is not board:
            self.faults.append(f"two processes sent the fencing token {token}")

    def _rejoin_replicas(self) -> None:
        for endpoint in self.endpoints.values():
            if endpoint.alive and not endpoint.is_primary:
                self._rejoin(endpoint)

    def _end_process(self, name: str, is_replaced: bool) -> None:
        """End a process that leaves."""
        is_needed = name not in self.unprotected and not self.may_lose_log(name)
        if self._may_lead(name) or is_needed:
            self.call_later(lambda: self._end_process(name, is_replaced), POLL_INTERVAL_S)
            return
        self.gone.add(name)
        self._end(name)
        self.endpoints[name].log, self.endpoints[name].applied = [], 0
        self.endpoints[name].is_replaced = is_replaced

    def _may_lead(self, name: str) -> bool:
        return name == self.last_leader or self._open_targets[name] > 0

    def _announce_after(self, name: str, delay_s: float | None) -> None:
        if delay_s is not None:
            self._announcements[name] = Announcement(self.clock.now() + delay_s)

    def _announce_due(self) -> None:
        """Send the announcements that are due, again until the control log has them."""
        now = self.clock.now()
        for name, announcement in list(self._announcements.items()):
            is_held = announcement.is_gone and self._may_lead(name)
            if now < announcement.due or self.is_control_down or is_held:
                continue
            if self._is_registered(name, announcement):
                del self._announcements[name]
            else:
                self._announce(self.endpoints[name], announcement)
        self.call_later(self._announce_due, ANNOUNCEMENT_INTERVAL_S)

    def _is_registered(self, name: str, announcement: Announcement) -> bool:
        registration = self.board.configuration.endpoints.get(name)
        if announcement.is_gone:
            return registration is None
        return (
            registration is not None
            and registration.incarnation == self._incarnations.get(name, 1)
            and registration.leaving == announcement.leaving
        )

    def _announce(self, endpoint: FakeSessionEndpoint, announcement: Announcement) -> None:
        incarnation = self._incarnations.get(endpoint.name, 1)
        if announcement.is_gone:
            fields = {"name": endpoint.name, "incarnation": incarnation}
            self.propose(Command(CommandKind.ENDPOINT_GONE, fields))
            return
        if not endpoint.alive:
            return
        self._sequence += 1
        fields = {
            "name": endpoint.name,
            "address": endpoint_address(endpoint.name),
            "zone": endpoint.zone,
            "group": GROUP,
            "leaving": announcement.leaving,
            "connections": 1,
            "slots": endpoint.slots,
            "group_size": 0,
            "incarnation": incarnation,
            "sequence": self._sequence,
            "claims_primary": endpoint.is_primary,
        }
        self.propose(Command(CommandKind.REGISTER_ENDPOINT, fields))

    def _poll(self) -> None:
        """Have every VM poll the control leader, one poll after the other."""
        for name in self.vms:
            self._poll_from(name)

    def _poll_from(self, name: str) -> None:
        if self.is_control_down or name in self.cut_off_vms or name in self.unpolled_vms:
            self.call_later(lambda: self._poll_from(name), POLL_INTERVAL_S)
            return
        self.board.post(Topic.POLL_RECEIVED, name)
        revision = self.vms[name].board.configuration.revision
        update = self.engine.configuration.build_update(revision, name)
        reports = handed_on_reports(self.vms[name].board)
        lease = CommitLease(name, revision, update.confirmed_at + COMMIT_LEASE_S, reports)
        self.board.post(Topic.LEASE_PASSED_ON, lease)
        observation = newest_observation(self.board)
        delay_s = self.poll_delays_s.get(name, 0.0) + LATENCY_S
        self.call_later(lambda: self._end_poll(name, update, observation), delay_s)

    def _end_poll(
        self, name: str, update: ConfigurationUpdate, observation: ReceivedObservation | None
    ) -> None:
        """Pass the answer to a poll on to its VM, unless the link broke meanwhile."""
        if name not in self.cut_off_vms and name not in self.unpolled_vms:
            board = self.vms[name].board
            board.post(Topic.CONFIGURATION_RECEIVED, update)
            if observation is not None:
                board.post(Topic.OBSERVATION_RECEIVED, observation)
        self.call_later(lambda: self._poll_from(name), POLL_INTERVAL_S)

    def _request_tokens(self, board: Board, request: TokenRequest) -> None:
        if request.member not in self.vms and self.is_control_down:
            self.call_later(lambda: board.post(Topic.TOKENS_RECEIVED, request), TOKENS_TIMEOUT_S)
        else:
            super()._request_tokens(board, request)
