"""Deterministic simulation of many VMs whose requests go to endpoints that may be cold."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.configuration import Configuration
from gentianspread_core.blackboard.declarations import Declaration
from gentianspread_core.blackboard.requests import ExchangeStatus, StatementKind
from gentianspread_core.blackboard.sessions import (
    Session,
    SessionExchange,
    SessionReply,
    SessionRequest,
)
from gentianspread_core.blackboard.warmups import EndpointTokenRequest
from gentianspread_core.controllers.warmup import (
    announced_warmup,
    doubt_command,
    endpoints_to_doubt,
)
from gentianspread_core.settings import WarmupTolerance

from .home_simulation import TOKENS_TIMEOUT_S, HomeSimulation
from .session_endpoint import endpoint_address
from .session_simulation import GROUP, LATENCY_S

COLD_TOLERANCE = WarmupTolerance(1.5, 5.0)
WORKSPACE_COUNT = 6  # as many as an endpoint has homes, of which there are two for each slot
NAMING_S = 4.0  # until the control leader has named an allocator for each zone in turn


class SentRequest:
    """A request that a VM sent to an endpoint, and when, in seconds of the simulation."""

    __slots__ = ("sent_at", "endpoint", "vm", "kind", "in_transaction")

    def __init__(self, sent_at: float, endpoint: str, vm: str, request: SessionRequest) -> None:
        self.sent_at = sent_at
        self.endpoint = endpoint
        self.vm = vm
        self.kind = request.kind
        self.in_transaction = request.session.transaction is not None


class ColdSimulation(HomeSimulation):
    """VMs that serve callers, whose requests to each endpoint are recorded as they are sent.

    `sent` leaves out rollbacks, which end what a refused statement left behind; `relayed_to` has
    the sender and the receiver of each relayed statement. The VM that leads the control log grants
    the tokens; it does not answer while `allocator_is_silent`, and its answers are lost while
    `loses_tokens`.
    """

    def __init__(self, vm_count: int = 12, seed: int = 1) -> None:
        self.sent: list[SentRequest] = []
        self.relayed_to: list[tuple[str, str]] = []
        self.token_requests: list[EndpointTokenRequest] = []
        self.doubts: list[Command] = []
        self.allocator_is_silent = False
        self.loses_tokens = False
        self.announcement_count = 1
        super().__init__(vm_count, seed)
        for board in self.boards:
            board.settings.warmup_tolerance = COLD_TOLERANCE
        self.declare(2, keys={f"w{n}": [f"k{n}"] for n in range(1, WORKSPACE_COUNT + 1)})

    def redeclare(self, change: Callable[[Declaration], None]) -> None:
        """Declare a changed copy of the declaration under the next version."""
        current = self.board.configuration.declaration
        declaration = Declaration.from_record(current.to_record())
        declaration.version += 1
        change(declaration)
        self.propose(Command(CommandKind.DECLARE, declaration.to_record()))
        self.run(0.3)

    def limit_cold_endpoints(self, rate: float, cold_start_s: float) -> None:
        """Declare what cold endpoints take, and for how long they are cold after an evacuation."""

        def change(declaration: Declaration) -> None:
            for group in declaration.groups:
                group.cold_rate, group.cold_start_s = rate, cold_start_s

        self.redeclare(change)
        self.run(NAMING_S)

    def announce_warmup(
        self, name: str, remaining_s: float | None, incarnation: int = 1
    ) -> Command | None:
        """Announce an endpoint as the platform's API does; return the command for its warm-up."""
        endpoint = self.endpoints[name]
        self.announcement_count += 1
        fields = {
            "name": name,
            "address": endpoint_address(name),
            "zone": endpoint.zone,
            "group": GROUP,
            "leaving": False,
            "connections": 1,
            "slots": endpoint.slots,
            "group_size": 0,
            "incarnation": incarnation,
            "sequence": self.announcement_count,
            "claims_primary": endpoint.is_primary,
        }
        command = announced_warmup(self.board, fields, remaining_s)
        if command is not None:
            self.propose(command)
        if incarnation != self.board.configuration.endpoints[name].incarnation:
            self.propose(Command(CommandKind.REGISTER_ENDPOINT, fields))
        self.run(0.3)
        return command

    def set_evacuation(self, zone: str, is_active: bool) -> None:
        """Begin or finish an evacuation through the control log, and wait until all VMs know it."""
        kind = CommandKind.BEGIN_EVACUATION if is_active else CommandKind.FINISH_EVACUATION
        expected = self.board.configuration.evacuation_revision(zone)
        self.propose(Command(kind, {"zone": zone, "expected_revision": expected}))
        self.run(0.3)

    def open_sessions(
        self, database: str, count: int, workspaces: int = 1
    ) -> list[tuple[str, Session]]:
        """Open sessions at each VM that serves callers, of some workspaces in turn."""
        return [
            (name, self.open_session_at(name, database, f"k{number % workspaces + 1}"))
            for name in self.vms
            for number in range(count)
        ]

    def max_in_any_second(self, endpoint: str) -> int:
        """Return the most requests that were sent to an endpoint within a second."""
        times = [item.sent_at for item in self.sent if item.endpoint == endpoint]
        return max(
            (sum(1 for at in times if start <= at <= start + 1.0) for start in times), default=0
        )

    def configurations(self) -> list[Configuration]:
        """Return the configuration of each VM that serves callers."""
        return [engine.board.configuration for engine in self.vms.values()]

    def execute_exchange(self, board: Board, request: SessionRequest) -> None:
        """Record and execute an exchange."""
        if request.kind is not StatementKind.ROLLBACK:
            name = request.exchange.endpoint
            now = self.clock.now()
            self.sent.append(SentRequest(now, name, board.settings.member, request))
        super().execute_exchange(board, request)

    def _on_exchange_scheduled(self, board: Board, request: SessionRequest) -> None:
        home = request.exchange.connection.home
        if home is not None:
            self.relayed_to.append((board.settings.member, home.name))
        super()._on_exchange_scheduled(board, request)

    def close_connection(
        self, board: Board, request: SessionRequest, exchange: SessionExchange
    ) -> None:
        """End an exchange as if the endpoint had closed the connection."""
        reply = SessionReply(ExchangeStatus.LOST)
        reply.connection_lost = True
        exchange.reply = reply
        board.post(Topic.EXCHANGE_ENDED, request)

    def _poll(self) -> None:
        for engine in self.vms.values():
            for name, incarnation in endpoints_to_doubt(engine.board).items():
                command = doubt_command(self.board, name, incarnation)
                if command is not None:
                    self.doubts.append(command)
                    self.propose(command)
        super()._poll()

    def _on_intent(self, board: Board, intent: Any) -> None:
        if isinstance(intent, EndpointTokenRequest):
            self.token_requests.append(intent)
            self.call_later(lambda: self._request_endpoint_tokens(board, intent), LATENCY_S)
        else:
            super()._on_intent(board, intent)

    def _request_endpoint_tokens(self, board: Board, request: EndpointTokenRequest) -> None:
        received = EndpointTokenRequest(
            request.endpoint, request.zone, request.member, request.wanted, self.clock.now()
        )
        if not self.allocator_is_silent:
            self.board.post(Topic.ENDPOINT_TOKENS_REQUESTED, received)
        if self.allocator_is_silent or self.loses_tokens:
            self.call_later(
                lambda: board.post(Topic.ENDPOINT_TOKENS_RECEIVED, request), TOKENS_TIMEOUT_S
            )
            return
        request.granted, request.answered = received.granted, received.answered
        request.next_token_delay = received.next_token_delay
        self.call_later(lambda: board.post(Topic.ENDPOINT_TOKENS_RECEIVED, request), LATENCY_S)
