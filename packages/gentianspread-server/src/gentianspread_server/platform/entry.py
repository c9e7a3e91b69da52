"""The program of entry VMs, which serve callers."""

from __future__ import annotations

import gevent
from gentianspread_core.blackboard.timeline import EventKind

from ..clocks import wall_ms
from ..front import HttpFrontend
from ..intents import TOKENS_PATH
from ..peerroutes import PEER_CREDENTIAL, answer_tokens
from ..relays import RelayingRunner, RelayServer
from ..sessions import SessionRunner
from ..webserver import WebServer
from .bootfile import PlatformSettings
from .callers import CallerServer
from .health import ReadyApi
from .vm import PlatformVM

LOAD_BALANCER_DELAY_S = 2.2  # two failed checks, one second apart, remove a VM
DRAIN_CHECK_INTERVAL_S = 0.05
DRAIN_FRACTION = 0.85  # of the grace period; running statements may finish in it


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
        self._peer_server = WebServer(peer_address, self.front) if peer_address else None
        self.caller_server = CallerServer(settings.caller_address, self.runner)
        self._ready_server = WebServer(settings.readiness_address, ReadyApi(self.is_ready))

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
        if self.caller_server.closing or self.board.configuration.declaration is None:
            return False
        return self.board.is_fresh()

    def stop(self) -> None:
        """Begin a graceful shutdown: fail the readiness check, then let running work finish."""
        if not self.caller_server.closing:
            self.caller_server.closing = True
            self.board.leaving = True
            gevent.spawn(self._drain)

    def _drain(self) -> None:
        self.board.timeline.record(EventKind.STOPPING, self.settings.name, "planned stop")
        started_at = self.board.clock.now()
        gevent.sleep(LOAD_BALANCER_DELAY_S)
        self.board.stopping = True
        deadline = started_at + self.settings.grace_period_s * DRAIN_FRACTION
        while self._has_running_work() and self.board.clock.now() < deadline:
            gevent.sleep(DRAIN_CHECK_INTERVAL_S)
        self.caller_server.stop_accepting()
        self._record_stopped(started_at)
        self.stopped.set()

    def _record_stopped(self, started_at: float) -> None:
        """Record how long the shutdown took, and which work it leaves unfinished."""
        self.caller_server.record_running()
        running = [item for item in self.caller_server.connections if item.statement is not None]
        self.board.timeline.record(
            EventKind.STOPPED,
            self.settings.name,
            "planned stop",
            duration_ms=round((self.board.clock.now() - started_at) * 1000),
            callers=len(self.caller_server.connections),
            running_statements=len(running),
            relayed_statements=self.relay_server.running_count,
            relayed_transactions=len(self.board.relays.transactions),
        )

    def _has_running_work(self) -> bool:
        """Close the callers' idle connections; return whether any work is still running."""
        return bool(self.caller_server.close_idle()) or self.relay_server.is_busy()
