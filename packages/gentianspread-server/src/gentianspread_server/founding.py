"""The first start of a fleet, at which its seeds become the first voters of the control log."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import gevent
from gentianspread_core.blackboard import Board

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.2


class FirstStart:
    """Finds out whether this VM, whose disk is empty, is a voter of the first start.

    `had_empty_disk` is whether this process started with an empty disk, none until that is known.
    `ask` sends the question to another VM and returns its answer, or none if there is none.
    """

    __slots__ = ("board", "ask", "had_empty_disk")

    def __init__(self, board: Board, ask: Callable[[str], dict[str, Any] | None]) -> None:
        self.board = board
        self.ask = ask
        self.had_empty_disk: bool | None = None

    def is_founder(self, seeds: list[str]) -> bool:
        """Ask the other seeds until any of them denies the first start or all have confirmed it."""
        others = [name for name in seeds if name != self.board.settings.member]
        reported: list[str] = []
        while True:
            responses = [self.ask(name) for name in others]
            answers = [
                None if response is None else response.get("first_start", False)
                for response in responses
            ]
            if any(answer not in (None, True) for answer in answers):
                return False
            if None not in answers:
                return True
            awaited = [name for name, answer in zip(others, answers, strict=True) if answer is None]
            if awaited != reported:
                log.info("the first start waits until all seeds run; missing: %s", awaited)
                reported = awaited
            gevent.sleep(CHECK_INTERVAL_S)

    def confirms(self, sender: str) -> bool | None:
        """Return whether this is the first start and a VM has not voted in it; none if unknown."""
        if sender in self.board.election.heard:
            return False
        return self.had_empty_disk
