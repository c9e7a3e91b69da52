"""Evacuations of availability zones: begins and finishes them through the control log."""

from __future__ import annotations

from gentianspread_core.blackboard import Board
from gentianspread_core.blackboard.commands import ChangeOutcome, Command, CommandKind
from gentianspread_core.blackboard.timeline import EventKind
from gentianspread_core.errors import ErrorCode, ExecutionResult, Refusal

from .pauses import PauseDetector
from .proposals import Proposer

CHANGE_TIMEOUT_S = 0.9  # operators' tools switch to another VM after 1 s


class Evacuations:
    """Begins and finishes evacuations on one VM.

    A command carries the revision at which its zone last changed, as known to this VM when the
    request was read. The log rejects it if the zone has changed since, so a command that is delayed
    anywhere does not undo a newer one.
    """

    __slots__ = ("board", "proposer", "pauses")

    def __init__(self, board: Board, proposer: Proposer, pauses: PauseDetector) -> None:
        self.board = board
        self.proposer = proposer
        self.pauses = pauses

    def knows_zone(self, zone: str) -> bool:
        """Return whether the settings name the zone."""
        return zone in self.board.settings.zones

    def change(self, kind: CommandKind, zone: str) -> None:
        """Return once a majority holds the change, or the zone was in the requested state.

        Raises a refusal if the outcome is not known in time, if the zone has changed meanwhile, or
        if the request may be an old one; the operator then sends it again.
        """
        expected = self.board.configuration.evacuation_revision(zone)
        subject = f"{kind.value} of {zone}"
        if self.pauses.has_just_resumed():
            message = "This VM did not run when the request came, which may be an old one."
            self._record(EventKind.CHANGE_REJECTED, subject, message, expected)
            raise Refusal(ErrorCode.CONFIGURATION_NOT_FRESH, message)
        command = Command(kind, {"zone": zone, "expected_revision": expected})
        try:
            outcome = self._propose(command)
        except Refusal as refusal:
            self._record(EventKind.CHANGE_REJECTED, subject, refusal.message, expected)
            raise
        if not outcome.accepted:
            self._record(EventKind.CHANGE_REJECTED, subject, outcome.message, expected)
            raise Refusal(ErrorCode(outcome.code), outcome.message)
        self._record(EventKind.CHANGE_ACCEPTED, subject, "a majority holds it", expected)

    def _propose(self, command: Command) -> ChangeOutcome:
        """Propose until there is an outcome; a repeated command changes nothing further."""
        deadline = self.board.clock.now() + CHANGE_TIMEOUT_S
        while True:
            remaining_s = deadline - self.board.clock.now()
            if remaining_s <= 0:
                message = "No majority of the control VMs confirmed the change in time."
                raise Refusal(ErrorCode.NO_LEADER, message, ExecutionResult.UNKNOWN)
            try:
                return self.proposer.propose(command, remaining_s)
            except Refusal as refusal:
                if refusal.code is not ErrorCode.NO_LEADER:
                    raise

    def _record(self, kind: EventKind, subject: str, cause: str, expected: int) -> None:
        self.board.timeline.record(
            kind, subject, cause, expected=expected, revision=self.board.configuration.revision
        )
