"""One VM: the engine and its adapters, from startup to graceful shutdown."""

from __future__ import annotations

import logging
import random
import socket as stdlib_socket
from typing import Any

import gevent
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.election import Role
from gentianspread_core.blackboard.shutdown import ShutdownPhase, ShutdownPlan
from gentianspread_core.blackboard.timeline import EventKind
from gentianspread_core.engine import Engine
from gentianspread_core.errors import ErrorCode, GentianspreadError, Refusal
from gevent.event import Event
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from .announcements import Announcements
from .clocks import MonotonicClock, wall_ms
from .codec import RequestCodec
from .control import ControlLoop
from .distribution import Distribution
from .driver import EndpointDriver
from .forwarding import FORWARD_PATH, Forwarder
from .front import HttpFrontend, RequestRunner
from .guards import record_handler_errors
from .intents import IntentRunner
from .logs import log_event
from .metrics import Metrics
from .operations import Operations
from .peerroutes import add_peer_routes
from .peers import FleetSigner, PeerAddresses, PeerClient
from .proposals import Proposer
from .settings import Settings
from .storage import ControlStorage
from .timers import run_timer_loop
from .tokens import TokenCodec
from .wsgi import decode_json_object, encode_json, http_status_of

log = logging.getLogger(__name__)

CONNECTION_IDLE_TIMEOUT_S = 75.0
LOAD_BALANCER_DELAY_S = 1.0  # time for the load balancer to see the failing readiness check
TRANSACTION_FRACTION = 0.5  # of the limit of a planned stop; open transactions go on in it
LAST_ANSWERS_TIMEOUT_S = 0.5  # for sending them


class HttpConnectionHandler(WSGIHandler):
    """Serves one HTTP connection without Nagle's delay; closes it once it has been idle."""

    def __init__(self, sock: Any, address: Any, server: Any) -> None:
        sock.setsockopt(stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_NODELAY, 1)
        sock.settimeout(CONNECTION_IDLE_TIMEOUT_S)
        super().__init__(sock, address, server)


class VM:
    """The components of one `gentianspreadd` process."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        clock = MonotonicClock()
        self.engine = Engine.for_requests(settings.to_core(), clock, random.Random(), wall_ms)
        self.board = self.engine.board
        self.board.timeline.sink = log_event
        record_handler_errors(self.board)
        signer = FleetSigner(settings.fleet_secret)
        client = PeerClient(signer)
        addresses = PeerAddresses(self.board, settings.seeds)
        storage = ControlStorage(settings.data_dir) if settings.data_dir else None
        self.control = ControlLoop(self.board, storage, addresses, client)
        self.driver = EndpointDriver(self.board)
        self.intents = IntentRunner(self.board, self.driver, addresses, client)
        self.distribution = Distribution(self.board, self.engine.configuration, addresses, client)
        self.proposer = Proposer(self.board, self.distribution, addresses, client)
        self.announcements = Announcements(self.board, self.proposer)
        self.metrics = Metrics(self.engine, client)
        self.operations = Operations(self.engine, self.proposer, self.distribution)
        self.codec = RequestCodec(TokenCodec(settings.fleet_secret))
        self.runner = RequestRunner(self.board, self.driver, self.metrics)
        forwarder = Forwarder(self.board, addresses, client)
        self.front = HttpFrontend(
            self.board, self.codec, self.runner, signer, settings.operator_key, forwarder
        )
        self._timer_changed = Event()
        self._stopped = Event()
        self._server: WSGIServer | None = None
        self._add_routes()

    @classmethod
    def from_config(cls, settings: Settings) -> VM:
        """Build a VM from checked settings."""
        return cls(settings)

    def run(self) -> None:
        """Serve until a graceful shutdown has completed."""
        self.board.changes.on_timer = self._timer_changed.set
        self.board.changes.on_idle = self.control.wake
        self.board.changes.subscribe(Topic.LEADERSHIP_CHANGED, self._on_leadership_changed)
        self.board.changes.subscribe(Topic.CONFIGURATION_CHANGED, self._on_configuration_changed)
        self.board.changes.subscribe(Topic.SHUTDOWN_PHASE_CHANGED, self._on_shutdown_phase)
        host, _, port = self.settings.listen.rpartition(":")
        self._server = WSGIServer(
            (host, int(port)),
            self.front,
            log=None,
            error_log=log,
            handler_class=HttpConnectionHandler,
            spawn=Pool(int(self.settings.max_callers)),
            backlog=1024,
        )
        self._server.start()
        gevent.spawn(run_timer_loop, self.board, self._timer_changed)
        gevent.spawn(self._join)
        self.board.timeline.record(EventKind.STARTED, self.settings.name, "start of the process")
        self._stopped.wait()

    def stop(self) -> None:
        """Begin a planned stop: fail the readiness check, then let running requests finish."""
        self.front.is_draining = True
        limit_s = self.settings.stop_limit_s
        plan = ShutdownPlan(
            LOAD_BALANCER_DELAY_S,
            LOAD_BALANCER_DELAY_S + TRANSACTION_FRACTION * limit_s,
            LOAD_BALANCER_DELAY_S + limit_s,
        )
        self.board.post(Topic.SHUTDOWN_REQUESTED, plan)

    def _join(self) -> None:
        """Recover the control log and take part in it.

        A VM with an empty disk is a new member, except for the seeds at the fleet's first start.
        """
        self.distribution.start()
        stored = self.control.recover()
        first_start = self.distribution.first_start
        first_start.had_empty_disk = stored is None
        if stored is None:
            seeds = list(self.settings.seeds)
            is_founder = self.settings.name in seeds and first_start.is_founder(seeds)
            stored = self.control.write_first_state(seeds if is_founder else [])
        self.control.start(stored)

    def _on_shutdown_phase(self, phase: ShutdownPhase) -> None:
        if phase is ShutdownPhase.ENDED:
            gevent.spawn(self._finish)

    def _finish(self) -> None:
        """Send the last answers and let `run` return."""
        self.front.wait_until_idle(self.board.shutdown.ends_at - self.board.clock.now())
        if self._server is not None:
            self._server.stop(timeout=LAST_ANSWERS_TIMEOUT_S)
        self._stopped.set()

    def _on_leadership_changed(self, _entry: None) -> None:
        if self.board.election.role is Role.LEADER:
            gevent.spawn_later(0.2, self.distribution.register_self)

    def _on_configuration_changed(self, revision: int) -> None:
        """Begin a graceful shutdown once an operator drains this VM."""
        member = self.board.configuration.members.get(self.settings.name)
        if member is not None and member.draining and not self.front.is_draining:
            gevent.spawn(self.stop)

    def _add_routes(self) -> None:
        add = self.front.add
        add("/ready", self._handle_readiness)
        add("/metrics", lambda body: self.metrics.text())
        add("/announce", self._handle_announcement)
        add("/operator/change", self.operations.change, "operator")
        add("/operator/status", self.operations.status, "operator")
        add("/operator/timeline", self.operations.timeline, "operator")
        add_peer_routes(self.front, self.board, self.distribution, self.proposer)
        add(FORWARD_PATH, self._handle_forwarded, "peer")

    def _handle_readiness(self, body: bytes) -> bytes:
        """Answer the load balancer's readiness check."""
        if self.front.is_draining:
            raise Refusal(ErrorCode.DRAINING, "This VM is stopping.")
        if not self.board.is_fresh():
            cause = f"This VM has no recent configuration. {self.board.explain_staleness()}"
            raise Refusal(ErrorCode.CONFIGURATION_NOT_FRESH, cause)
        if self.board.failing_loops:
            loops = ", ".join(sorted(self.board.failing_loops))
            raise Refusal(ErrorCode.OVERLOADED, f"Loops of this VM fail: {loops}.")
        return encode_json({"ready": True, "revision": self.board.configuration.revision})

    def _handle_announcement(self, body: bytes) -> bytes:
        self.announcements.accept(decode_json_object(body))
        return encode_json({"taken": True})

    def _handle_forwarded(self, body: bytes) -> bytes:
        message = decode_json_object(body)
        try:
            request = self.codec.decode(
                message["body"].encode(), message["authorization"], self.board.clock.now()
            )
        except GentianspreadError as error:
            raise Refusal(error.code, error.message) from error
        self.runner.run(request)
        outcome = request.outcome
        if outcome is None:
            raise Refusal(ErrorCode.OVERLOADED, "The request got no outcome.")
        return encode_json(
            {"status": http_status_of(outcome), "body": self.codec.encode(outcome).decode()}
        )
