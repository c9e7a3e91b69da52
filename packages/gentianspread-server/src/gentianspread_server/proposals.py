"""Proposals: sends commands to the control leader and waits for their outcomes."""

from __future__ import annotations

from typing import Any

import gevent
from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.commands import ChangeOutcome, Command, CommandKind
from gentianspread_core.blackboard.election import Role
from gentianspread_core.blackboard.messages import Proposal
from gentianspread_core.errors import ErrorCode, ExecutionResult, Refusal
from gevent.event import AsyncResult

from .connections import RequestNotSentError, ResponseLostError
from .distribution import Distribution
from .peers import PeerAddresses, PeerClient

PROPOSE_PATH = "/peer/propose"
PROPOSAL_TIMEOUT_S = 5.0
ATTEMPT_TIMEOUT_S = 2.0
RETRY_INTERVAL_S = 0.1


class Proposer:
    """Proposes commands locally if this VM is the control leader, else to the leader.

    A command with a change id is retried until it has an outcome or the timeout passes, as the log
    applies it only once; any other command is proposed once.
    """

    __slots__ = ("board", "distribution", "addresses", "client")

    def __init__(
        self,
        board: Board,
        distribution: Distribution,
        addresses: PeerAddresses,
        client: PeerClient,
    ) -> None:
        self.board = board
        self.distribution = distribution
        self.addresses = addresses
        self.client = client

    def propose(self, command: Command, timeout_s: float = PROPOSAL_TIMEOUT_S) -> ChangeOutcome:
        """Return the outcome, or raise a refusal that has the result as far as it is known."""
        deadline = self.board.clock.now() + timeout_s
        was_tried = False
        while self.board.clock.now() < deadline:
            outcome = self._propose_once(command)
            if outcome is not None:
                return outcome
            was_tried = True
            gevent.sleep(RETRY_INTERVAL_S)
            if not command.change_id:
                break
        result = ExecutionResult.UNKNOWN if was_tried else ExecutionResult.NOT_RUN
        raise Refusal(ErrorCode.NO_LEADER, "No control leader took the change in time.", result)

    def propose_locally(self, command: Command) -> ChangeOutcome | None:
        """Propose on this VM; return none if it is not the leader or the outcome is unknown."""
        if self.board.election.role is not Role.LEADER:
            return None
        result: AsyncResult = AsyncResult()
        self.board.post(Topic.COMMAND_PROPOSED, Proposal(command, result.set))
        return result.get(timeout=ATTEMPT_TIMEOUT_S) if self._wait_for(result) else None

    def answer(self, message: dict[str, Any]) -> dict[str, Any]:
        """Answer another VM's proposal."""
        command = Command.from_record(message)
        if command.kind is CommandKind.UNREADABLE:
            raise Refusal(ErrorCode.BAD_REQUEST, "The command cannot be read.")
        outcome = self.propose_locally(command)
        return {"outcome": outcome.to_record() if outcome else None}

    def _wait_for(self, result: AsyncResult) -> bool:
        result.wait(ATTEMPT_TIMEOUT_S)
        return result.ready()

    def _propose_once(self, command: Command) -> ChangeOutcome | None:
        leader = self.distribution.leader()
        if leader == self.board.settings.member:
            return self.propose_locally(command)
        address = self.addresses.resolve(leader) if leader else None
        if address is None:
            return None
        try:
            response = self.client.request(
                address, PROPOSE_PATH, command.to_record(), ATTEMPT_TIMEOUT_S + 0.5
            )
            record = response["outcome"]
            return ChangeOutcome.from_record(record) if record else None
        except (RequestNotSentError, ResponseLostError):
            return None
        except (KeyError, TypeError) as error:
            self.board.timeline.record_error("proposal", error)
            return None
