"""The program of control VMs, which replicate the control log."""

from __future__ import annotations

import os

import gevent
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.election import Role

from ..announcements import Announcements
from ..control import ControlLoop
from ..declarations import Declarations
from ..evacuations import Evacuations
from ..front import HttpFrontend
from ..pauses import PauseDetector
from ..peerroutes import add_peer_routes
from ..proposals import Proposer
from ..storage import ControlStorage
from ..webserver import WebServer
from .bootfile import PlatformSettings
from .control_api import ControlApi
from .vm import PlatformVM

LAST_ANSWERS_TIMEOUT_S = 0.5  # for polls of other VMs, which may wait for news


class ControlVM(PlatformVM):
    """A VM that replicates the control log and serves operators, endpoints and the other VMs."""

    def __init__(self, settings: PlatformSettings) -> None:
        super().__init__(settings)
        os.makedirs(settings.data_dir, exist_ok=True)
        storage = ControlStorage(settings.data_dir)
        self.control = ControlLoop(self.board, storage, self.addresses, self.client)
        self.proposer = Proposer(self.board, self.distribution, self.addresses, self.client)
        announcements = Announcements(self.board, self.proposer)
        self.front = HttpFrontend(self.board, None, None, self.signer, "", None)
        self.front.fallback_application = ControlApi(
            self.board,
            Declarations(self.board, self.proposer),
            announcements,
            self._new_evacuations(),
        )
        add_peer_routes(self.front, self.board, self.distribution, self.proposer)
        self._server = WebServer(
            settings.control_address, self.front, self.resources.control_port()
        )

    def _new_evacuations(self) -> Evacuations | None:
        if not self.board.settings.evacuation_timeout_s:
            return None
        pauses = PauseDetector(self.board.clock)
        pauses.start()
        return Evacuations(self.board, self.proposer, pauses)

    def start(self) -> None:
        """Recover the control log from disk, then start the server and the log's replication."""
        stored = self.control.recover()
        if stored is None:
            stored = self.control.write_first_state(self.board.settings.initial_voters)
        self.board.changes.on_idle = self.control.wake
        self.board.changes.subscribe(Topic.LEADERSHIP_CHANGED, self._on_leadership_changed)
        self._server.start()
        self.control.start(stored)
        super().start()

    def finish(self) -> None:
        """Answer the requests that were received; this takes part in the control log meanwhile."""
        self.front.is_draining = True
        self.front.wait_until_idle(self.board.shutdown.ends_at - self.board.clock.now())
        self._server.drain(LAST_ANSWERS_TIMEOUT_S)

    def _on_leadership_changed(self, _entry: None) -> None:
        if self.board.election.role is Role.LEADER:
            gevent.spawn_later(0.1, self.distribution.register_self)
