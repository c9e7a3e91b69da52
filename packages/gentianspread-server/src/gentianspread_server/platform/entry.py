"""The program of VMs that serve callers."""

from __future__ import annotations

import gevent
from gentianspread_core.blackboard.timeline import EventKind

from ..clocks import wall_ms
from ..front import HttpFrontend
from ..intents import TOKENS_PATH
from ..peerroutes import PEER, answer_tokens
from ..relays import RelayingRunner, RelayServer
from ..sessions import SessionRunner
from ..webserver import WebServer
from .bootfile import BootFile
from .callers import CallerServer
from .health import ReadyApi
from .vm import PlatformVM

BALANCER_NOTICE_S = 2.2  # seconds; two missed checks, a second apart, take a VM out
STOP_CHECK_S = 0.05  # seconds between two looks at what still runs
STOP_SHARE = 0.85  # of the time before a kill in which statements may finish


class EntryVM(PlatformVM):
    """Serves callers; holds nothing that must survive."""

    def __init__(self, boot: BootFile) -> None:
        super().__init__(boot)
        exchanges = RelayingRunner(self.board, self.driver, self.client, wall_ms())
        self.runner = SessionRunner(self.board, exchanges, self.metrics)
        self.front = HttpFrontend(self.board, None, None, self.signer, "", None)
        self.relays = RelayServer(self.board, self.driver)
        self.relays.add_to(self.front)
        self.front.add(TOKENS_PATH, self._answer_tokens, PEER)
        address = boot.peer_address()
        self._peer_server = WebServer(address, self.front) if address else None
        self.callers = CallerServer(boot.callers, self.runner)
        self._ready_server = WebServer(boot.ready, ReadyApi(self.is_ready))

    def start(self) -> None:
        """Begin to poll, to answer checks and to accept callers."""
        super().start()
        self._ready_server.start()
        if self._peer_server is not None:
            self._peer_server.start()
        self.callers.start()

    def _answer_tokens(self, body: bytes) -> bytes:
        return answer_tokens(self.board, body)

    def is_ready(self) -> bool:
        """Tell whether new callers are served."""
        if self.callers.closing or self.board.configuration.declaration is None:
            return False
        return self.board.is_fresh()

    def stop(self) -> None:
        """Fail the checks first, then let what runs finish."""
        if not self.callers.closing:
            self.callers.closing = True
            self.board.leaving = True
            gevent.spawn(self._drain)

    def _drain(self) -> None:
        self.board.timeline.record(EventKind.STOPPING, self.boot.name, "planned stop")
        began_at = self.board.clock.now()
        gevent.sleep(BALANCER_NOTICE_S)
        self.board.stopping = True
        give_up_at = began_at + self.boot.stop_limit * STOP_SHARE
        while self._is_busy() and self.board.clock.now() < give_up_at:
            gevent.sleep(STOP_CHECK_S)
        self.callers.stop_accepting()
        self.stopped.set()

    def _is_busy(self) -> bool:
        """Close the callers' connections that rest; tell whether anything else is under way."""
        return bool(self.callers.close_resting()) or self.relays.is_busy()
