"""What the platform's two programs share: the engine, links to other VMs, the settings file."""

from __future__ import annotations

import logging
import os
import random

import gevent
from gentianspread_core.blackboard.timeline import EventKind
from gentianspread_core.engine import Engine
from gentianspread_core.errors import GentianspreadError
from gevent.event import Event

from ..clocks import BootTimeClock, wall_ms
from ..distribution import Distribution
from ..intents import IntentRunner
from ..logs import log_event
from ..peers import FleetSigner, PeerAddresses, PeerClient
from ..session_metrics import SessionMetrics
from ..timers import run_timer_loop
from ..webserver import WebServer
from .bootfile import BootFile
from .calls import PlatformCalls
from .endpoints import WireDriver
from .health import MetricsApi

log = logging.getLogger(__name__)

SECRET_VARIABLE = "GENTIANSPREAD_FLEET_SECRET"
METRICS_PORT_VARIABLE = "GENTIANSPREAD_METRICS_PORT"
FILE_CHECK_S = 1.0  # seconds between two looks at the settings file


class PlatformVM:
    """What both programs share: the engine, its links to other VMs, and the settings file."""

    def __init__(self, boot: BootFile) -> None:
        self.boot = boot
        self.engine = Engine.for_sessions(boot.to_core(), BootTimeClock(), random.Random(), wall_ms)
        self.board = self.engine.board
        self.board.timeline.sink = log_event
        signer = FleetSigner(os.environ.get(SECRET_VARIABLE, ""))
        client = PeerClient(signer)
        seeds = {seed: seed for seed in boot.seeds}
        addresses = PeerAddresses(self.board, seeds, names_are_addresses=True)
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

    def run(self) -> None:
        """Serve until a planned stop has ended."""
        self.board.changes.on_timer = self._timer_moved.set
        self.start()
        gevent.spawn(run_timer_loop, self.board, self._timer_moved)
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


def _metrics_server(boot: BootFile, metrics: SessionMetrics) -> WebServer | None:
    port = os.environ.get(METRICS_PORT_VARIABLE, "")
    return WebServer(f"{boot.address}:{port}", MetricsApi(metrics.text)) if port else None


def _modified(path: str) -> float:
    try:
        return os.stat(path).st_mtime
    except OSError as error:
        log.warning("the settings file cannot be looked at: %s", error)
        return 0.0
