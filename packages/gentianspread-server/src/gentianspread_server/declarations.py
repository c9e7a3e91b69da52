"""Declared configurations: applies them through the control log, and reads the newest one."""

from __future__ import annotations

import hashlib

import gevent
from gentianspread_core.blackboard import Board
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.declarations import Declaration
from gentianspread_core.errors import ErrorCode, Refusal

from .proposals import Proposer

APPLY_TIMEOUT_S = 0.9  # operators' tools switch to another VM after 1 s
READ_TIMEOUT_S = 0.8  # likewise
CONFIRMATION_CHECK_INTERVAL_S = 0.02


class Declarations:
    """Applies and reads declared configurations on one VM."""

    __slots__ = ("board", "proposer")

    def __init__(self, board: Board, proposer: Proposer) -> None:
        self.board = board
        self.proposer = proposer

    def apply(self, declaration: Declaration) -> None:
        """Return once the declaration is committed; one that is not newer changes nothing.

        Raises a refusal if the outcome is not known in time; the same declaration may then be
        applied again through any VM.
        """
        current = self.board.configuration.declaration
        if current is not None and current.version >= declaration.version:
            return
        digest = hashlib.sha256(declaration.document.encode()).hexdigest()
        change_id = f"declaration {declaration.version} {digest}"
        command = Command(CommandKind.DECLARE, declaration.to_record(), change_id)
        self.proposer.propose(command, APPLY_TIMEOUT_S)

    def read(self) -> Declaration:
        """Return the newest declaration, confirmed by a quorum after the call began.

        Raises a refusal if there is none, or if no quorum confirms it in time.
        """
        started_at = self.board.clock.now()
        configuration = self.board.configuration
        while configuration.confirmed_at < started_at:
            if self.board.clock.now() - started_at > READ_TIMEOUT_S:
                raise Refusal(ErrorCode.CONFIGURATION_NOT_FRESH, self.board.explain_staleness())
            gevent.sleep(CONFIRMATION_CHECK_INTERVAL_S)
        if configuration.declaration is None:
            raise Refusal(ErrorCode.CONFIGURATION_NOT_FRESH, "No configuration was declared yet.")
        return configuration.declaration
