"""Guards of the loops that run as long as the process: an error ends one step, not the loop."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gentianspread_core.blackboard import Board
from gentianspread_core.blackboard.changes import Change

ERROR_PAUSE_S = 0.1  # so that a step that always fails does not take the processor


def run_for_ever(board: Board, name: str, run_step: Callable[[], None]) -> None:
    """Run a step again and again; record its errors under the name of the loop."""
    while True:
        try:
            run_step()
        except (Exception, gevent.Timeout) as error:
            board.timeline.record_error(name, error)
            gevent.sleep(ERROR_PAUSE_S)


def record_handler_errors(board: Board) -> None:
    """Let the board go on after an error of a handler, and record it under the handler's topic."""

    def on_error(change: Change, error: Exception) -> None:
        board.timeline.record_error(f"handler of {change.topic.name.lower()}", error)

    board.changes.on_error = on_error
