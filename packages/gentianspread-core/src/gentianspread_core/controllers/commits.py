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
from ..errors import ErrorCode

# After this time without a lease, a commit would probably wait until its deadline: a lost poll is
# repeated within it.
MAX_EXPIRED_LEASE_S = 0.5


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
        group = self.board.configuration.groups.get(request.group)
        if group is None or not group.counts_own_terms or request.relayed_statement is not None:
            return False  # the VM that relayed a statement decides
        transaction = request.session.transaction
        if request.kind is StatementKind.WRITE:
            return transaction is None
        return (
            request.kind is StatementKind.COMMIT
            and transaction is not None
            and transaction.has_written
        )

    def refuse_without_lease(self, request: SessionRequest) -> bool:
        """Refuse a commit before it is sent if this VM is out of touch; return whether it was."""
        if not self.concerns(request) or self._lease_age() <= COMMIT_LEASE_S + MAX_EXPIRED_LEASE_S:
            return False
        message = "No quorum confirmed in time that no promotion is under way."
        if request.kind is StatementKind.COMMIT:
            request.refuse(
                ErrorCode.TRANSACTION_UNKNOWN, message + " The transaction is rolled back."
            )
        else:
            request.refuse(ErrorCode.CONFIGURATION_NOT_FRESH, message)
        return True

    def state_of(self, request: SessionRequest) -> CommitState:
        """Return what is known of a commit whose success the endpoint has reported."""
        configuration, exchange = self.board.configuration, request.exchange
        group = configuration.groups.get(request.group)
        if group is None or not group.counts_own_terms or not isinstance(exchange, SessionExchange):
            return CommitState.KEPT
        if group.granted_term != group.term or self._lease_age() > COMMIT_LEASE_S:
            return CommitState.UNDECIDED
        succession = configuration.successions.get(group.name)
        changed_at = succession.revision if succession is not None else 0
        if exchange.endpoint == group.primary and changed_at <= exchange.revision:
            return CommitState.KEPT
        position = exchange.reply.position if exchange.reply is not None else None
        if succession is None or position is None or not succession.keeps(position):
            return CommitState.DOUBTFUL
        return CommitState.KEPT if succession.is_confirmed else CommitState.UNDECIDED

    def reason(self, request: SessionRequest) -> str:
        """Return why a commit is undecided."""
        group = self.board.configuration.groups[request.group]
        if group.granted_term != group.term:
            return "a promotion is under way"
        if self._lease_age() > COMMIT_LEASE_S:
            return "the lease on commits has expired"
        return "the promoted endpoint was not seen to lead yet"

    def _lease_age(self) -> float:
        """Return the seconds since a quorum last confirmed this VM's configuration."""
        return self.board.clock.now() - self.board.configuration.confirmed_at
