"""The program of entry VMs, which serve callers."""

from __future__ import annotations

from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.shutdown import ShutdownPhase, ShutdownPlan

from ..clocks import wall_ms
from ..front import HttpFrontend
from ..intents import TOKENS_PATH
from ..peerroutes import PEER_CREDENTIAL, answer_tokens
from ..relays import RelayingRunner, RelayServer
from ..resources.process import READINESS_PORT
from ..sessions import SessionRunner
from ..webserver import WebServer
from .bootfile import PlatformSettings
from .callers import CallerServer
from .health import ReadyApi
from .vm import MAX_PROBE_BODY_BYTES, PlatformVM

LOAD_BALANCER_DELAY_S = 2.2  # two failed checks, one second apart, remove a VM
LAST_ANSWERS_TIMEOUT_S = 0.2  # for sending them, which takes a few milliseconds


class EntryVM(PlatformVM):
    """A VM that serves callers; it has no state that must survive a restart."""

    def __init__(self, settings: PlatformSettings) -> None:
        super().__init__(settings)
        exchange_runner = RelayingRunner(self.board, self.driver, self.client, wall_ms())
        self.runner = SessionRunner(self.board, exchange_runner, self.metrics)
        self.front = HttpFrontend(self.board, None, None, self.signer, "", None)
        self.relay_server = RelayServer(self.board, self.driver)
        self.relay_server.add_to(self.front)
        self.front.add(TOKENS_PATH, self._answer_tokens, PEER_CREDENTIAL)
        peer_address = settings.peer_address()
        self._peer_server = (
            WebServer(peer_address, self.front, self.resources.peer_port())
            if peer_address
            else None
        )
        self.caller_server = CallerServer(
            settings.caller_address, self.runner, self.resources.caller_port()
        )
        self._ready_server = WebServer(
            settings.readiness_address,
            ReadyApi(self.is_ready),
            self.resources.probe_port(READINESS_PORT),
            MAX_PROBE_BODY_BYTES,
        )
        self.board.changes.subscribe(Topic.SHUTDOWN_PHASE_CHANGED, self._on_draining)

    def start(self) -> None:
        """Start polling the configuration, answering readiness checks and accepting callers."""
        super().start()
        self._ready_server.start()
        if self._peer_server is not None:
            self._peer_server.start()
        self.caller_server.start()

    def _answer_tokens(self, body: bytes) -> bytes:
        return answer_tokens(self.board, body)

    def is_ready(self) -> bool:
        """Return whether new callers are accepted."""
        if self.board.shutdown.is_requested() or self.board.configuration.declaration is None:
            return False
        return self.board.is_fresh() and not self.board.failing_loops

    def shutdown_plan(self) -> ShutdownPlan:
        """Return when the phases of a planned stop begin; the check of readiness fails at once."""
        return ShutdownPlan.from_grace_period(self.settings.grace_period_s, LOAD_BALANCER_DELAY_S)

    def finish(self) -> None:
        """Send the last answers to callers and to other VMs."""
        self.caller_server.close_all(LAST_ANSWERS_TIMEOUT_S)
        if self._peer_server is not None:
            self._peer_server.drain(LAST_ANSWERS_TIMEOUT_S)

    def _on_draining(self, phase: ShutdownPhase) -> None:
        if phase is ShutdownPhase.DRAINING:
            self.caller_server.close_idle()
