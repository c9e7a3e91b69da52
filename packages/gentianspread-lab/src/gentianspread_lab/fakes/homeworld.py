"""Several VMs that serve callers and hand statements over to each other, over fake endpoints."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.homes import ServingVM
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
from gentianspread_core.controllers.observations import ReceivedObservation
from gentianspread_core.engine import Engine
from gentianspread_core.settings import CoreSettings

from .session_simulation import GROUP, LATENCY_S, NoWaiter, SessionSimulation

POLL_S = 0.1


class AnswerWaiter:
    """Stands in for the greenlet that serves a relay: acts once the answer is there."""

    __slots__ = ("order", "action")

    def __init__(self, order: RelayedStatement, action: Callable[[SessionReply], None]) -> None:
        self.order = order
        self.action = action

    def wake(self) -> None:
        """Give the answer back."""
        if self.order.reply is not None:
            self.action(self.order.reply)

    def assign(self, request: Any) -> None:
        """Do nothing: the world carries out exchanges itself."""


class HomeSimulation(SessionSimulation):
    """VMs h1 to hN in the endpoints' zones; the lone VM of the base class leads the control log."""

    def __init__(self, vms: int = 6, seed: int = 1, slots: int = 3, work: float = 0.005) -> None:
        self.vms: dict[str, Engine] = {}
        self.unreachable_vms: set[str] = set()
        self.relayed_count = 0
        super().__init__(seed, slots=slots, work=work)
        for number in range(1, vms + 1):
            self._add_vm(f"h{number}", f"z{(number - 1) % 3 + 1}")
        self._poll()
        self.update_serving_vms()
        self.run(1.0)

    def update_serving_vms(self, *without: str) -> None:
        """Have every VM know the VMs that serve callers."""
        listed = [
            ServingVM(name, name, engine.board.settings.zone)
            for name, engine in self.vms.items()
            if name not in without
        ]
        version = ",".join(vm.name for vm in listed)
        for engine in self.vms.values():
            engine.board.post(Topic.HOMES_RECEIVED, ServingVMList(version, listed))

    def open_session_at(self, name: str, database: str, key_hash: str = "k1") -> Session:
        """Open a session at a VM."""
        self._sessions += 1
        session = Session(self._sessions, database, key_hash)
        self.vms[name].board.post(Topic.SESSION_OPENED, session)
        return session

    def send_statement_at(
        self, name: str, session: Session, statement: SessionStatement
    ) -> StatementCall:
        """Send a statement at a VM; its answer comes with time."""
        call = StatementCall(session, statement, self.clock.now(), NoWaiter())
        self.vms[name].board.post(Topic.STATEMENT_ARRIVED, call)
        return call

    def opened(self) -> int:
        """Return how many connections the endpoints have seen."""
        return sum(backend.opened for backend in self.backends.values())

    def _add_vm(self, name: str, zone: str) -> None:
        settings = CoreSettings(name, zone, name)
        settings.zones = ["z1", "z2", "z3"]
        settings.max_configuration_age_s = 3.8
        engine = Engine.for_sessions(settings, self.clock, self.randomness, self.clock.wall_ms)
        board = engine.board
        board.members.entry_vm_count = 6
        changes = board.changes
        changes.subscribe(Topic.EXCHANGE_SCHEDULED, lambda request: self._ordered(board, request))
        changes.subscribe(Topic.INTENT_POSTED, lambda intent: self._intended(board, intent))
        changes.subscribe(Topic.RELAY_ANSWERED, lambda order: order.waiter.wake())
        self.vms[name] = engine
        self.boards.append(board)

    def _poll(self) -> None:
        """Give every VM the configuration, its confirmation and the primary's position."""
        now = self.clock.now()
        seen = self.board.observations.newest(GROUP)
        for name, engine in self.vms.items():
            held = engine.board.configuration.revision
            update = self.engine.configuration.build_update(held, name)
            copy = ConfigurationUpdate(update.entries, update.snapshot, update.revision, now)
            engine.board.post(Topic.CONFIGURATION_RECEIVED, copy)
            if seen is not None:
                received = ReceivedObservation(GROUP, seen.position, seen.taken_at)
                engine.board.post(Topic.OBSERVATION_RECEIVED, received)
        self.later(self._poll, POLL_S)

    def _intended(self, board: Board, intent: Any) -> None:
        if isinstance(intent, TokenRequest):
            self.later(lambda: self._ask_tokens(board, intent), LATENCY_S)
        else:
            self.carry_out(board, intent)

    def _ask_tokens(self, board: Board, ask: TokenRequest) -> None:
        asked = self.vms[ask.member].board if ask.member in self.vms else self.board
        sent = TokenRequest(
            ask.workspace, ask.zone, ask.member, ask.wanted, ask.sent_at, ask.address
        )
        asked.post(Topic.TOKENS_REQUESTED, sent)
        ask.granted, ask.answered = sent.granted, sent.answered
        ask.next_token_delay = sent.next_token_delay
        board.post(Topic.TOKENS_RECEIVED, ask)

    def _ordered(self, board: Board, request: SessionRequest) -> None:
        connection = request.exchange.connection
        if connection.home is None:
            self.exchange(board, request)
            return
        self.relayed_count += 1
        reply = SessionReply(ExchangeStatus.LOST)
        request.exchange.reply = reply
        if connection.home.name in self.unreachable_vms:
            reply.home_failed = True
            reply.was_sent = True
            self.later(lambda: board.post(Topic.EXCHANGE_ENDED, request), request.exchange.limit)
            return
        handle = f"{board.settings.member}/{connection.number}"
        sent = RelayedStatement.from_request(request, handle, self.clock.now())
        order = RelayedStatement.from_record(sent.to_record())
        order.waiter = AnswerWaiter(
            order, lambda answer: self._answered(board, request, reply, answer)
        )
        home = self.vms[connection.home.name].board
        self.later(lambda: home.post(Topic.RELAY_ARRIVED, order), LATENCY_S)

    def _answered(
        self, board: Board, request: SessionRequest, reply: SessionReply, answer: SessionReply
    ) -> None:
        load_reply(reply, reply_to_record(answer))
        self.later(lambda: board.post(Topic.EXCHANGE_ENDED, request), LATENCY_S)
