"""Assembles the two programs of the platform: entry VMs and control VMs."""

from __future__ import annotations

import logging
import os
import random
from typing import Any

import gevent
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.election import Role
from gentianspread_core.blackboard.timeline import EventKind
from gentianspread_core.engine import Engine
from gentianspread_core.errors import GentianspreadError
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from ..announcements import Announcements
from ..clocks import BootClock, wall_ms
from ..control import ControlLoop
from ..declarations import Declarations
from ..distribution import Distribution
from ..front import Front
from ..intents import IntentRunner
from ..logs import log_event
from ..peerroutes import add_peer_routes
from ..peers import Addresses, FleetSigner, PeerClient
from ..proposals import Proposer
from ..session_metrics import SessionMetrics
from ..sessions import SessionRunner
from ..storage import ControlStorage
from ..timers import run_timers
from .bootfile import BootFile
from .callers import CallerServer
from .calls import PlatformCalls
from .control_api import ControlApi, MetricsApi, ReadyApi
from .endpoints import WireDriver

log = logging.getLogger(__name__)

SECRET_VARIABLE = "GENTIANSPREAD_FLEET_SECRET"
METRICS_PORT_VARIABLE = "GENTIANSPREAD_METRICS_PORT"
BALANCER_NOTICE_S = 2.2  # seconds; two missed checks, a second apart, take a VM out
STOP_CHECK_S = 0.05  # seconds between two looks at what still runs
STOP_SHARE = 0.85  # of the time before a kill in which statements may finish
FILE_CHECK_S = 1.0  # seconds between two looks at the settings file


class PlatformVM:
    """What both programs share: the engine, its links to other VMs, and the settings file."""

    def __init__(self, boot: BootFile) -> None:
        self.boot = boot
        self.engine = Engine.for_sessions(boot.to_core(), BootClock(), random.Random(), wall_ms)
        self.board = self.engine.board
        self.board.timeline.sink = log_event
        signer = FleetSigner(os.environ.get(SECRET_VARIABLE, ""))
        client = PeerClient(signer)
        seeds = {seed: seed for seed in boot.seeds}
        addresses = Addresses(self.board, seeds, names_are_addresses=True)
        self.client = client
        self.signer = signer
        self.addresses = addresses
        self.driver = WireDriver(self.board, PlatformCalls(boot.calls_address, boot.name))
        self.intents = IntentRunner(self.board, self.driver, addresses, client)
        self.distribution = Distribution(self.board, self.engine.configuration, addresses, client)
        self.metrics = SessionMetrics(self.engine)
        self._metrics_server = _metrics_server(boot, self.metrics)
        self.stopped = Event()
        self._timer_moved = Event()
        self._file_time = _modified(boot.path)

    @classmethod
    def from_boot(cls, boot: BootFile) -> PlatformVM:
        """Build the program that the settings file asks for."""
        return ControlVM(boot) if boot.control else EntryVM(boot)

    def run(self) -> None:
        """Serve until a planned stop has ended."""
        self.board.changes.on_timer = self._timer_moved.set
        self.start()
        gevent.spawn(run_timers, self.board, self._timer_moved)
        gevent.spawn(self._watch_file)
        self.board.timeline.record(EventKind.STARTED, self.boot.name, "start of the process")
        self.stopped.wait()

    def start(self) -> None:
        """Begin to serve."""
        self.distribution.start()
        if self._metrics_server is not None:
            self._metrics_server.start()

    def stop(self) -> None:
        """Begin a planned stop."""
        self.board.timeline.record(EventKind.STOPPING, self.boot.name, "planned stop")
        self.stopped.set()

    def reload(self) -> None:
        """Take over the seeds that the settings file names now."""
        try:
            boot = BootFile.from_file(self.boot.path)
        except GentianspreadError as error:
            log.warning("settings kept as they were: %s", error.message)
            return
        self.addresses.seeds = {seed: seed for seed in boot.seeds}
        log.info("settings reloaded", extra={"details": {"seeds": boot.seeds}})

    def _watch_file(self) -> None:
        while True:
            gevent.sleep(FILE_CHECK_S)
            modified = _modified(self.boot.path)
            if modified != self._file_time:
                self._file_time = modified
                self.reload()


class EntryVM(PlatformVM):
    """Serves callers; holds nothing that must survive."""

    def __init__(self, boot: BootFile) -> None:
        super().__init__(boot)
        self.runner = SessionRunner(self.board, self.driver, self.metrics)
        self.callers = CallerServer(boot.callers, self.runner)
        self._ready_server = _http_server(boot.ready, ReadyApi(self.is_ready))

    def start(self) -> None:
        """Begin to poll, to answer checks and to accept callers."""
        super().start()
        self._ready_server.start()
        self.callers.start()

    def is_ready(self) -> bool:
        """Tell whether new callers are served."""
        if self.callers.closing or self.board.configuration.declaration is None:
            return False
        return self.board.is_fresh()

    def stop(self) -> None:
        """Fail the checks first, then let what runs finish."""
        if not self.callers.closing:
            self.callers.closing = True
            gevent.spawn(self._drain)

    def _drain(self) -> None:
        self.board.timeline.record(EventKind.STOPPING, self.boot.name, "planned stop")
        began_at = self.board.clock.now()
        gevent.sleep(BALANCER_NOTICE_S)
        self.board.stopping = True
        give_up_at = began_at + self.boot.stop_limit * STOP_SHARE
        while self.callers.close_resting() and self.board.clock.now() < give_up_at:
            gevent.sleep(STOP_CHECK_S)
        self.callers.stop_accepting()
        self.stopped.set()


class ControlVM(PlatformVM):
    """Takes part in the control log; serves operators, endpoints and the other VMs."""

    def __init__(self, boot: BootFile) -> None:
        super().__init__(boot)
        os.makedirs(boot.data_dir, exist_ok=True)
        storage = ControlStorage(boot.data_dir)
        self.control = ControlLoop(self.board, storage, self.addresses, self.client)
        self.proposer = Proposer(self.board, self.distribution, self.addresses, self.client)
        announcements = Announcements(self.board, self.proposer)
        self.front = Front(self.board, None, None, self.signer, "", None)
        self.front.extension = ControlApi(
            self.board, Declarations(self.board, self.proposer), announcements
        )
        add_peer_routes(self.front, self.board, self.distribution, self.proposer)
        self._server = _http_server(boot.control, self.front)

    def start(self) -> None:
        """Recover the control log, begin to serve and to take part."""
        stored = self.control.recover()
        self.board.settings.lost_votes = stored is None and not self.boot.is_first_start
        self.board.changes.on_settled = self.control.wake
        self.board.changes.subscribe(Topic.LEADERSHIP_CHANGED, self._on_leadership)
        self._server.start()
        self.control.start(stored)
        super().start()

    def _on_leadership(self, _entry: None) -> None:
        if self.board.election.role is Role.LEADER:
            gevent.spawn_later(0.1, self.distribution.register_self)


def _metrics_server(boot: BootFile, metrics: SessionMetrics) -> WSGIServer | None:
    port = os.environ.get(METRICS_PORT_VARIABLE, "")
    return _http_server(f"{boot.address}:{port}", MetricsApi(metrics.text)) if port else None


def _http_server(address: str, application: Any) -> WSGIServer:
    host, _, port = address.rpartition(":")
    return WSGIServer((host, int(port)), application, log=None, error_log=log, backlog=512)


def _modified(path: str) -> float:
    try:
        return os.stat(path).st_mtime
    except OSError as error:
        log.warning("the settings file cannot be looked at: %s", error)
        return 0.0
