"""Timer loop: runs a board's controllers whenever one of its timers is due."""

from __future__ import annotations

from gentianspread_core.blackboard import Board
from gevent.event import Event

MAX_SLEEP_S = 1.0  # bounds the delay of due timers after the machine was suspended


def run_timer_loop(board: Board, timer_changed: Event) -> None:
    """Run the board whenever a timer is due; `timer_changed` interrupts the sleep."""
    while True:
        due = board.changes.next_due()
        now = board.clock.now()
        delay = MAX_SLEEP_S if due is None else min(MAX_SLEEP_S, due - now)
        if delay > 0:
            timer_changed.clear()
            timer_changed.wait(delay)
        board.run_pending()
