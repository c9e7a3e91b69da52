"""Timer loop: runs a board's controllers whenever one of its timers is due."""

from __future__ import annotations

from gentianspread_core.blackboard import Board
from gevent.event import Event

from .guards import run_for_ever

MAX_SLEEP_S = 1.0  # bounds the delay of due timers after the machine was suspended


def run_timer_loop(board: Board, timer_changed: Event) -> None:
    """Run the board whenever a timer is due; `timer_changed` interrupts the sleep."""
    run_for_ever(board, "timers", lambda: _run_next_timer(board, timer_changed))


def _run_next_timer(board: Board, timer_changed: Event) -> None:
    due = board.changes.next_due()
    now = board.clock.now()
    delay = MAX_SLEEP_S if due is None else min(MAX_SLEEP_S, due - now)
    if delay > 0:
        timer_changed.clear()
        timer_changed.wait(delay)
    board.run_pending()
