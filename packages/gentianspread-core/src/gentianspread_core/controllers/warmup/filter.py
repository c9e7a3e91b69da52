"""Excludes cold endpoints that have no token for another request at present."""

from __future__ import annotations

from ...blackboard import Board
from ...blackboard.endpoints import Endpoint
from ...blackboard.sessions import SessionRequest


class WarmupFilter:
    """An endpoint filter; statements that other VMs relayed are left to the gate.

    With `checks_relayed` these statements are treated like the others.
    """

    reason = "cold and at the limit"
    __slots__ = ("board", "checks_relayed")

    def __init__(self, board: Board, checks_relayed: bool = False) -> None:
        self.board = board
        self.checks_relayed = checks_relayed

    def allows(self, request: SessionRequest, endpoint: Endpoint) -> bool:
        """Return whether the endpoint is warm, or may have a token."""
        if request.relayed_statement is not None and not self.checks_relayed:
            return True
        return not self.board.warmups.is_exhausted(endpoint.name, self.board.clock.now())
