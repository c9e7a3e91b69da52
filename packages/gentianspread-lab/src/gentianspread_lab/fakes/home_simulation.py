"""Deterministic simulation of VMs that relay statements to each other's endpoint connections."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.homes import ServingVM
from gentianspread_core.blackboard.leases import COMMIT_LEASE_S, CommitLease
from gentianspread_core.blackboard.rate_limits import TokenRequest
from gentianspread_core.blackboard.relays import RelayedStatement, load_reply, reply_to_record
from gentianspread_core.blackboard.requests import ExchangeStatus
from gentianspread_core.blackboard.sessions import (
    Session,
    SessionReply,
    SessionRequest,
    SessionStatement,
    StatementCall,
)
from gentianspread_core.controllers.configuration import ConfigurationUpdate
from gentianspread_core.controllers.homes import ServingVMList
from gentianspread_core.controllers.leases import handed_on_reports
from gentianspread_core.controllers.observations import ReceivedObservation
from gentianspread_core.engine import Engine
from gentianspread_core.settings import CoreSettings

from .session_simulation import GROUP, LATENCY_S, NoOpWaiter, SessionSimulation

POLL_INTERVAL_S = 0.1
TOKENS_TIMEOUT_S = 0.12
HOME_CONNECT_TIMEOUT_S = 0.1
LOAD_KEYS = frozenset({"load", "outliers"})


class ReplyWaiter:
    """Replaces the greenlet that serves a relayed statement; passes its reply on."""

    __slots__ = ("relayed", "action")

    def __init__(self, relayed: RelayedStatement, action: Callable[[SessionReply], None]) -> None:
        self.relayed = relayed
        self.action = action

    def wake(self) -> None:
        """Pass the reply on, if there is one."""
        if self.relayed.reply is not None:
            self.action(self.relayed.reply)

    def assign(self, request: Any) -> None:
        """Do nothing: the simulation executes exchanges itself."""


class HomeSimulation(SessionSimulation):
    """VMs h1 to hN in the endpoints' zones; the base class's VM leads the control log.

    Requests to an unreachable home VM fail at their timeout. VMs that are cut off receive no
    configuration, and no answer from the VMs that are not. `unpolled_vms` receive no configuration
    either, but reach the other VMs. `sizes` are those of the VMs in cores, in turn;
    `schedules_by_priority` is the setting of all VMs. `relay_delays_s` are the delays of relayed
    statements by home VM; `extra_keys` are those of messages about loads that were sent.
    `unknown_relay_fields` are the fields of relayed statements that senders or homes of an older
    build do not know.
    """

    def __init__(
        self,
        vm_count: int = 6,
        seed: int = 1,
        slots: int = 3,
        statement_cost_s: float = 0.005,
        schedules_by_priority: bool = False,
        sizes: tuple[float, ...] = (1.0,),
    ) -> None:
        self.schedules_by_priority = schedules_by_priority
        self.sizes = sizes
        self.vms: dict[str, Engine] = {}
        self.unreachable_vms: set[str] = set()
        self.cut_off_vms: set[str] = set()
        self.unpolled_vms: set[str] = set()
        self.relayed_count = 0
        self.relay_delays_s: dict[str, float] = {}
        self.extra_keys: set[str] = set()
        self.unknown_relay_fields: set[str] = set()
        super().__init__(
            seed,
            slots=slots,
            statement_cost_s=statement_cost_s,
            schedules_by_priority=schedules_by_priority,
        )
        for number in range(1, vm_count + 1):
            self._add_vm(f"h{number}", f"z{(number - 1) % 3 + 1}")
        self._poll()
        self.update_serving_vms()
        self.run(1.0)

    def add_cut_off_vm(self, name: str, zone: str) -> None:
        """Start a VM that receives no configuration while it is in `cut_off_vms`."""
        self.cut_off_vms.add(name)
        self._add_vm(name, zone)

    def update_serving_vms(self, *excluded: str) -> None:
        """Send every VM the list of the VMs that serve callers."""
        listed = [
            ServingVM(name, name, engine.board.settings.zone, engine.board.settings.size)
            for name, engine in self.vms.items()
            if name not in excluded
        ]
        version = ",".join(vm.name for vm in listed)
        for engine in self.vms.values():
            engine.board.post(Topic.HOMES_RECEIVED, ServingVMList(version, listed))

    def open_session_at(self, name: str, database: str, key_hash: str = "k1") -> Session:
        """Open a session on a VM."""
        self._session_count += 1
        session = Session(self._session_count, database, key_hash)
        self.vms[name].board.post(Topic.SESSION_OPENED, session)
        return session

    def send_statement_at(
        self, name: str, session: Session, statement: SessionStatement
    ) -> StatementCall:
        """Send a statement to a VM; its answer is set as the simulation runs."""
        call = StatementCall(session, statement, self.clock.now(), NoOpWaiter())
        self.vms[name].board.post(Topic.STATEMENT_ARRIVED, call)
        return call

    def connections_opened(self) -> int:
        """Return the number of connections ever opened to the endpoints."""
        return sum(endpoint.connections_opened for endpoint in self.endpoints.values())

    def _add_vm(self, name: str, zone: str) -> None:
        settings = CoreSettings(name, zone, name)
        settings.zones = ["z1", "z2", "z3"]
        settings.max_configuration_age_s = 3.8
        settings.schedules_by_priority = self.schedules_by_priority
        settings.size = self.sizes[len(self.vms) % len(self.sizes)]
        engine = Engine.for_sessions(settings, self.clock, self.randomness, self.clock.wall_ms)
        board = engine.board
        board.members.entry_vm_count = 6
        changes = board.changes
        changes.subscribe(
            Topic.EXCHANGE_SCHEDULED, lambda request: self._on_exchange_scheduled(board, request)
        )
        changes.subscribe(Topic.INTENT_POSTED, lambda intent: self._on_intent(board, intent))
        changes.subscribe(
            Topic.RELAY_ANSWERED, lambda relayed: self._on_relay_answered(board, relayed)
        )
        self.vms[name] = engine
        self.boards.append(board)

    def _poll(self) -> None:
        """Send every VM the configuration, its confirmation time and the primary's position."""
        observation = newest_observation(self.board)
        for name, engine in self.vms.items():
            if name in self.cut_off_vms or name in self.unpolled_vms:
                continue
            self.board.post(Topic.POLL_RECEIVED, name)
            revision = engine.board.configuration.revision
            update = self.engine.configuration.build_update(revision, name)
            reports = handed_on_reports(engine.board)
            lease = CommitLease(name, revision, update.confirmed_at + COMMIT_LEASE_S, reports)
            self.board.post(Topic.LEASE_PASSED_ON, lease)
            copy = ConfigurationUpdate(
                update.entries, update.snapshot, update.revision, update.confirmed_at
            )
            engine.board.post(Topic.CONFIGURATION_RECEIVED, copy)
            if observation is not None:
                engine.board.post(Topic.OBSERVATION_RECEIVED, observation)
        self.call_later(self._poll, POLL_INTERVAL_S)

    def _on_intent(self, board: Board, intent: Any) -> None:
        if isinstance(intent, TokenRequest):
            self.call_later(lambda: self._request_tokens(board, intent), LATENCY_S)
        else:
            self.execute_intent(board, intent)

    def _request_tokens(self, board: Board, request: TokenRequest) -> None:
        if (board.settings.member in self.cut_off_vms) != (request.member in self.cut_off_vms):
            self.call_later(lambda: board.post(Topic.TOKENS_RECEIVED, request), TOKENS_TIMEOUT_S)
            return
        allocator = self.vms[request.member].board if request.member in self.vms else self.board
        received = TokenRequest(
            request.workspace,
            request.zone,
            request.member,
            request.wanted,
            request.sent_at,
            request.address,
        )
        allocator.post(Topic.TOKENS_REQUESTED, received)
        request.granted, request.answered = received.granted, received.answered
        request.reached = True
        request.next_token_delay = received.next_token_delay
        board.post(Topic.TOKENS_RECEIVED, request)

    def _on_exchange_scheduled(self, board: Board, request: SessionRequest) -> None:
        connection = request.exchange.connection
        if connection.home is None:
            self.execute_exchange(board, request)
            return
        self.relayed_count += 1
        reply = SessionReply(ExchangeStatus.LOST)
        request.exchange.reply = reply
        if connection.home.name in self.unreachable_vms:
            reply.home_failed = True
            reply.was_sent = True
            self.call_later(
                lambda: board.post(Topic.EXCHANGE_ENDED, request), request.exchange.timeout_s
            )
            return
        handle = f"{board.settings.member}/{connection.number}"
        sent = RelayedStatement.from_request(
            request, handle, self.clock.now(), board.settings.schedules_by_priority
        )
        record = sent.to_record()
        for field in self.unknown_relay_fields:
            record.pop(field, None)
        self.extra_keys |= LOAD_KEYS & record.keys()
        received = RelayedStatement.from_record(record)
        received.waiter = ReplyWaiter(
            received,
            lambda received_reply: self._on_relay_reply(board, request, reply, received_reply),
        )
        if (board.settings.member in self.cut_off_vms) != (
            connection.home.name in self.cut_off_vms
        ):
            reply.status, reply.home_failed = ExchangeStatus.NOT_SENT, True
            self.call_later(
                lambda: board.post(Topic.EXCHANGE_ENDED, request), HOME_CONNECT_TIMEOUT_S
            )
            return
        home = self.vms[connection.home.name].board
        delay_s = LATENCY_S + self.relay_delays_s.get(connection.home.name, 0.0)
        self.call_later(lambda: home.post(Topic.RELAY_RECEIVED, received), delay_s)

    def _on_relay_answered(self, board: Board, relayed: RelayedStatement) -> None:
        relayed.waiter.wake()
        board.changes.post(Topic.RELAY_ENDED, relayed)

    def _on_relay_reply(
        self, board: Board, request: SessionRequest, reply: SessionReply, received: SessionReply
    ) -> None:
        record = reply_to_record(received)
        self.extra_keys |= LOAD_KEYS & record.keys()
        load_reply(reply, record)
        self.call_later(lambda: board.post(Topic.EXCHANGE_ENDED, request), LATENCY_S)


def newest_observation(board: Board) -> ReceivedObservation | None:
    """Return the newest observation of a VM as it sends it to others, or none."""
    newest = board.observations.newest(GROUP)
    if newest is None:
        return None
    return ReceivedObservation(GROUP, newest.position, newest.taken_at, board.settings.member)
