"""Guards of the loops that run as long as the process: an error ends one step, not the loop."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gentianspread_core.blackboard import Board
from gentianspread_core.blackboard.changes import Change

MAX_FAILURES = 20  # in a row; 2 s and more
ERROR_PAUSE_S = 0.1  # so that a step that always fails does not take the processor


def run_for_ever(board: Board, name: str, run_step: Callable[[], None]) -> None:
    """Run a step again and again; record its errors under the name of the loop.

    The board lists the loop as failing while its steps have done nothing but fail for some time.
    """
    failures = 0
    while True:
        try:
            run_step()
            failures = 0
            board.failing_loops.discard(name)
        except (Exception, gevent.Timeout) as error:
            board.timeline.record_error(name, error)
            failures += 1
            if failures >= MAX_FAILURES:
                board.failing_loops.add(name)
            gevent.sleep(ERROR_PAUSE_S)


def record_handler_errors(board: Board) -> None:
    """Let the board go on after an error of a handler, and record it under the handler's topic."""

    def on_error(change: Change, error: Exception) -> None:
        board.timeline.record_error(f"handler of {change.topic.name.lower()}", error)

    board.changes.on_error = on_error
