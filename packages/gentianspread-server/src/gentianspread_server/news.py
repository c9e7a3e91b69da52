"""News that polls wait for: a change of the configuration, freshness, contact with a leader."""

from __future__ import annotations

from typing import Any

from gentianspread_core.blackboard import Board, Topic
from gevent.event import Event


class News:
    """Wakes the polls that this VM answers, and the greenlet that polls other VMs."""

    __slots__ = ("board", "_changed", "_leader_found")

    def __init__(self, board: Board) -> None:
        self.board = board
        self._changed = Event()
        self._leader_found = Event()
        board.changes.subscribe(Topic.CONFIGURATION_CHANGED, self._on_change)
        board.changes.subscribe(Topic.FRESHNESS_REGAINED, self._on_change)
        board.changes.subscribe(Topic.LEADER_FOUND, self._on_leader_found)

    def wait_for(self, revision: int, is_control_vm: bool, deadline: float) -> None:
        """Wait for a revision above the poller's, or for freshness while this VM starts.

        A VM that is not fresh long after its start returns at once, so that the poller asks
        another. So it does for a control VM: two of them would wait for each other.
        """
        clock = self.board.clock
        if self.board.is_fresh():
            if self.board.configuration.revision <= revision:
                self._changed.wait(max(0.0, deadline - clock.now()))
            return
        if is_control_vm:
            return
        deadline = min(deadline, self.board.startup_deadline())
        while clock.now() < deadline and not self.board.is_fresh():
            self._changed.wait(deadline - clock.now())

    def wait_for_leader(self, timeout_s: float) -> None:
        """Wait until a new leader makes contact, at most for the timeout."""
        self._leader_found.wait(timeout_s)
        self._leader_found.clear()

    def _on_change(self, _entry: Any) -> None:
        self._changed.set()
        self._changed.clear()

    def _on_leader_found(self, _leader: str) -> None:
        self._leader_found.set()
