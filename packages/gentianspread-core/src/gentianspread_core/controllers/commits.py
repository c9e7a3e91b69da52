"""Whether the success of a commit at an endpoint may be handed on to its caller.

A promotion keeps what the promoted endpoint has received, and a commit may have been confirmed by a
replica that it has not heard of. So a success is withheld while a promotion is under way, or might
be without this VM knowing: the answer then waits until the outcome is known.
"""

from __future__ import annotations

from enum import Enum, auto

from ..blackboard import Board
from ..blackboard.leases import COMMIT_LEASE_S
from ..blackboard.requests import StatementKind
from ..blackboard.sessions import SessionExchange, SessionRequest


class CommitState(Enum):
    """What this VM knows of a commit that succeeded at an endpoint."""

    KEPT = auto()
    UNDECIDED = auto()
    DOUBTFUL = auto()


class CommitGuard:
    """Decides by the configuration and its age; it sends nothing."""

    __slots__ = ("board",)

    def __init__(self, board: Board) -> None:
        self.board = board

    def concerns(self, request: SessionRequest) -> bool:
        """Return whether a success of the request commits writes, for a caller of this VM."""
        if request.relayed_statement is not None:
            return False  # the VM that relayed it decides
        transaction = request.session.transaction
        if request.kind is StatementKind.WRITE:
            return transaction is None
        return (
            request.kind is StatementKind.COMMIT
            and transaction is not None
            and transaction.has_written
        )

    def state_of(self, request: SessionRequest) -> CommitState:
        """Return what is known of a commit whose success the endpoint has reported."""
        configuration, exchange = self.board.configuration, request.exchange
        group = configuration.groups.get(request.group)
        if group is None or not group.counts_own_terms or not isinstance(exchange, SessionExchange):
            return CommitState.KEPT
        if group.granted_term != group.term or not self._has_lease():
            return CommitState.UNDECIDED
        succession = configuration.successions.get(group.name)
        changed_at = succession.revision if succession is not None else 0
        if exchange.endpoint == group.primary and changed_at <= exchange.revision:
            return CommitState.KEPT
        position = exchange.reply.position if exchange.reply is not None else None
        if succession is not None and position is not None and succession.keeps(position):
            return CommitState.KEPT
        return CommitState.DOUBTFUL

    def _has_lease(self) -> bool:
        age_s = self.board.clock.now() - self.board.configuration.confirmed_at
        return age_s <= COMMIT_LEASE_S
