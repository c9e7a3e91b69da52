"""Declared configurations: applies one through the control log, and reads back the newest."""

from __future__ import annotations

import hashlib

import gevent
from gentianspread_core.blackboard import Board
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.declarations import Declaration
from gentianspread_core.errors import ErrorCode, Refusal

from .proposals import Proposer

APPLY_LIMIT_S = 0.9  # seconds; operators' tools wait 1 s before they turn to another VM
READ_LIMIT_S = 0.8  # seconds; likewise
READ_CHECK_S = 0.02  # seconds between two looks at the configuration's confirmation


class Declarations:
    """Applies and reads declared configurations on one VM."""

    __slots__ = ("board", "proposer")

    def __init__(self, board: Board, proposer: Proposer) -> None:
        self.board = board
        self.proposer = proposer

    def apply(self, declaration: Declaration) -> None:
        """Return once the declaration is in the log; one that is not newer changes nothing.

        Raises a refusal if that is not known in time; the same may be applied again anywhere.
        """
        held = self.board.configuration.declaration
        if held is not None and held.version >= declaration.version:
            return
        digest = hashlib.sha256(declaration.document.encode()).hexdigest()
        change_id = f"declaration {declaration.version} {digest}"
        command = Command(CommandKind.DECLARE, declaration.to_record(), change_id)
        self.proposer.propose(command, APPLY_LIMIT_S)

    def read(self) -> Declaration:
        """Return the newest declaration, confirmed by a quorum after the call began.

        Raises a refusal if there is none, or if no quorum confirms it in time.
        """
        began_at = self.board.clock.now()
        configuration = self.board.configuration
        while configuration.confirmed_at < began_at:
            if self.board.clock.now() - began_at > READ_LIMIT_S:
                raise Refusal(
                    ErrorCode.CONFIGURATION_NOT_FRESH, "No quorum confirmed the configuration."
                )
            gevent.sleep(READ_CHECK_S)
        if configuration.declaration is None:
            raise Refusal(ErrorCode.CONFIGURATION_NOT_FRESH, "No configuration was declared yet.")
        return configuration.declaration
