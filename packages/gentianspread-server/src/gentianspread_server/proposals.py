"""Proposals: brings a change to the control leader and waits for its outcome."""

from __future__ import annotations

from typing import Any

import gevent
from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.commands import ChangeOutcome, Command
from gentianspread_core.blackboard.election import Role
from gentianspread_core.blackboard.messages import Proposal
from gentianspread_core.errors import ErrorCode, ExecutionResult, Refusal
from gevent.event import AsyncResult

from .connections import RequestNotSentError, ResponseLostError
from .distribution import Distribution
from .peers import Addresses, PeerClient

PROPOSE_PATH = "/peer/propose"
PROPOSAL_LIMIT_S = 5.0
ATTEMPT_LIMIT_S = 2.0
ATTEMPT_PAUSE_S = 0.1


class Proposer:
    """Proposes commands here if this VM leads, else at the leader.

    A command with a change id is tried again until it has an outcome, since the log applies it
    once; any other is tried once.
    """

    __slots__ = ("board", "distribution", "addresses", "client")

    def __init__(
        self,
        board: Board,
        distribution: Distribution,
        addresses: Addresses,
        client: PeerClient,
    ) -> None:
        self.board = board
        self.distribution = distribution
        self.addresses = addresses
        self.client = client

    def propose(self, command: Command, limit: float = PROPOSAL_LIMIT_S) -> ChangeOutcome:
        """Return the outcome, or raise a refusal that says what is known; `limit` in seconds."""
        give_up_at = self.board.clock.now() + limit
        was_sent = False
        while self.board.clock.now() < give_up_at:
            outcome = self._try_once(command)
            if outcome is not None:
                return outcome
            was_sent = True
            gevent.sleep(ATTEMPT_PAUSE_S)
            if not command.change_id:
                break
        result = ExecutionResult.UNKNOWN if was_sent else ExecutionResult.NOT_RUN
        raise Refusal(ErrorCode.NO_LEADER, "No control leader took the change in time.", result)

    def propose_here(self, command: Command) -> ChangeOutcome | None:
        """Propose on this VM; return none if it does not lead or the outcome is not known."""
        if self.board.election.role is not Role.LEADER:
            return None
        result: AsyncResult = AsyncResult()
        self.board.post(Topic.COMMAND_PROPOSED, Proposal(command, result.set))
        return result.get(timeout=ATTEMPT_LIMIT_S) if self._await(result) else None

    def answer(self, message: dict[str, Any]) -> dict[str, Any]:
        """Answer another VM's proposal."""
        outcome = self.propose_here(Command.from_record(message))
        return {"outcome": outcome.to_record() if outcome else None}

    def _await(self, result: AsyncResult) -> bool:
        result.wait(ATTEMPT_LIMIT_S)
        return result.ready()

    def _try_once(self, command: Command) -> ChangeOutcome | None:
        leader = self.distribution.leader()
        if leader == self.board.settings.member:
            return self.propose_here(command)
        address = self.addresses.of(leader) if leader else None
        if address is None:
            return None
        try:
            answer = self.client.ask(
                address, PROPOSE_PATH, command.to_record(), ATTEMPT_LIMIT_S + 0.5
            )
        except (RequestNotSentError, ResponseLostError):
            return None
        record = answer["outcome"]
        return ChangeOutcome.from_record(record) if record else None
