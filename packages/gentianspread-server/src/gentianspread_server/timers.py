"""Settles a board whenever one of its timers is due."""

from __future__ import annotations

from gentianspread_core.blackboard import Board
from gevent.event import Event

LONGEST_SLEEP_S = 1.0  # seconds; bounds how late a settle is after a suspension


def run_timer_loop(board: Board, timer_moved: Event) -> None:
    """Sleep until the earliest timer, or until an earlier one was set, and settle."""
    while True:
        due = board.changes.next_due()
        now = board.clock.now()
        pause = LONGEST_SLEEP_S if due is None else min(LONGEST_SLEEP_S, due - now)
        if pause > 0:
            timer_moved.clear()
            timer_moved.wait(pause)
        board.settle()
