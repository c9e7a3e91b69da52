"""Base of the platform's two programs: the engine, the client for other VMs, and the settings."""

from __future__ import annotations

import logging
import os
import random

import gevent
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.shutdown import ShutdownPhase, ShutdownPlan
from gentianspread_core.blackboard.timeline import EventKind
from gentianspread_core.engine import Engine
from gentianspread_core.errors import GentianspreadError
from gevent.event import Event

from ..clocks import BootTimeClock, wall_ms
from ..distribution import Distribution
from ..guards import record_handler_errors, run_for_ever
from ..intents import IntentRunner
from ..logs import log_event
from ..peers import FleetSigner, PeerAddresses, PeerClient
from ..resources.process import METRICS_PORT, ProcessResources
from ..session_metrics import SessionMetrics
from ..timers import run_timer_loop
from ..webserver import WebServer
from .bootfile import PlatformSettings
from .calls import PlatformClient
from .endpoints import LineProtocolDriver
from .health import MetricsApi

log = logging.getLogger(__name__)

FLEET_SECRET_VARIABLE = "GENTIANSPREAD_FLEET_SECRET"
METRICS_PORT_VARIABLE = "GENTIANSPREAD_METRICS_PORT"
SETTINGS_CHECK_INTERVAL_S = 1.0
RESOURCE_CHECK_INTERVAL_S = 1.0  # a thirtieth of the time that a message may take
MAX_PROBE_BODY_BYTES = 1024  # of requests for metrics or readiness, which have no body


class PlatformVM:
    """The components that every process has; the programs add their own."""

    def __init__(self, settings: PlatformSettings) -> None:
        self.settings = settings
        self.engine = Engine.for_sessions(
            settings.to_core(), BootTimeClock(), random.Random(), wall_ms
        )
        self.board = self.engine.board
        self.board.timeline.sink = log_event
        record_handler_errors(self.board)
        signer = FleetSigner(os.environ.get(FLEET_SECRET_VARIABLE, ""))
        client = PeerClient(signer)
        self.randomness = random.Random()
        addresses = PeerAddresses.from_seeds(self.board, settings.seeds, self.randomness)
        self.client = client
        self.signer = signer
        self.addresses = addresses
        self.driver = LineProtocolDriver(
            self.board, PlatformClient(settings.platform_service_address, settings.name)
        )
        self.intents = IntentRunner(self.board, self.driver, addresses, client)
        self.distribution = Distribution(self.board, self.engine.configuration, addresses, client)
        self.resources = ProcessResources.from_settings(
            settings.memory_bytes, settings.max_descriptors, self.board.timeline
        )
        self.metrics = SessionMetrics(self.engine, client.traffic, self.resources)
        self._metrics_server = self._build_metrics_server()
        self.stopped = Event()
        self.board.changes.subscribe(Topic.SHUTDOWN_PHASE_CHANGED, self._on_shutdown_phase)
        self._timer_changed = Event()
        self._settings_modified_at = _modification_time(settings.path)

    def run(self) -> None:
        """Serve until a graceful shutdown has completed."""
        self.board.changes.on_timer = self._timer_changed.set
        self.start()
        gevent.spawn(run_timer_loop, self.board, self._timer_changed)
        gevent.spawn(run_for_ever, self.board, "settings", self._check_settings)
        gevent.spawn(run_for_ever, self.board, "resources", self._check_resources)
        self.board.timeline.record(EventKind.STARTED, self.settings.name, "start of the process")
        self.stopped.wait()

    def start(self) -> None:
        """Start polling the configuration and serving the metrics."""
        self.distribution.start()
        if self._metrics_server is not None:
            self._metrics_server.start()

    def shutdown_plan(self) -> ShutdownPlan:
        """Return when the phases of a planned stop begin."""
        return ShutdownPlan.from_grace_period(self.settings.grace_period_s, 0.0)

    def stop(self) -> None:
        """Begin a planned stop, after which `run` returns."""
        self.board.post(Topic.SHUTDOWN_REQUESTED, self.shutdown_plan())

    def finish(self) -> None:
        """Send the last answers; called once the board's part of a planned stop has ended."""

    def _on_shutdown_phase(self, phase: ShutdownPhase) -> None:
        if phase is ShutdownPhase.ENDED:
            gevent.spawn(self._finish)

    def _finish(self) -> None:
        self.finish()
        self.stopped.set()

    def reload(self) -> None:
        """Reload the seeds from the settings file; other settings take effect at the next start."""
        try:
            settings = PlatformSettings.from_file(self.settings.path)
        except GentianspreadError as error:
            log.warning(
                "reloading the settings failed, the old ones stay in effect: %s", error.message
            )
            return
        renewed = PeerAddresses.from_seeds(self.board, settings.seeds, self.randomness)
        self.addresses.seeds = renewed.seeds
        log.info("settings reloaded", extra={"details": {"seeds": settings.seeds}})

    def _check_settings(self) -> None:
        gevent.sleep(SETTINGS_CHECK_INTERVAL_S)
        modified = _modification_time(self.settings.path)
        if modified != self._settings_modified_at:
            self._settings_modified_at = modified
            self.reload()

    def _build_metrics_server(self) -> WebServer | None:
        port = os.environ.get(METRICS_PORT_VARIABLE, "")
        if not port:
            return None
        return WebServer(
            f"{self.settings.ip_address}:{port}",
            MetricsApi(self.metrics.text),
            self.resources.probe_port(METRICS_PORT),
            MAX_PROBE_BODY_BYTES,
        )

    def _check_resources(self) -> None:
        gevent.sleep(RESOURCE_CHECK_INTERVAL_S)
        self.resources.end_overdue()


def _modification_time(path: str) -> float:
    try:
        return os.stat(path).st_mtime
    except OSError as error:
        log.warning("reading the settings file's modification time failed: %s", error)
        return 0.0
