"""Shutdown controller: leads this VM through a planned stop and sees that all work is answered."""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.requests import Request
from ..blackboard.sessions import Session, SessionState, StatementAnswer, Verb
from ..blackboard.shutdown import ShutdownPhase, ShutdownPlan
from ..blackboard.timeline import EventKind
from ..errors import ErrorCode, ExecutionResult, Refusal

PLANNED_STOP = "planned stop"


class ShutdownController:
    """Owns the shutdown section."""

    __slots__ = ("board",)

    def __init__(self, board: Board) -> None:
        self.board = board

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.SHUTDOWN_REQUESTED: self.on_requested,
            Topic.SHUTDOWN_PHASE_DUE: self.on_due,
            Topic.REQUEST_ARRIVED: self.on_request_arrived,
            Topic.REQUEST_DONE: self.on_request_done,
            Topic.SESSION_CLOSED: self.on_work_ended,
            Topic.RELAY_ENDED: self.on_work_ended,
            Topic.TRANSACTION_ENDED: self.on_work_ended,
        }

    def on_requested(self, plan: ShutdownPlan) -> None:
        """Begin a planned stop; a repeated request changes nothing."""
        shutdown = self.board.shutdown
        if shutdown.is_requested():
            self._record(EventKind.STOPPING, "a stop is already under way")
            return
        now = self.board.clock.now()
        shutdown.requested_at = now
        shutdown.ends_at = now + plan.ended_after_s
        self._record(EventKind.STOPPING, PLANNED_STOP)
        for phase, delay_s in (
            (ShutdownPhase.DRAINING, plan.draining_after_s),
            (ShutdownPhase.FINISHING, plan.finishing_after_s),
            (ShutdownPhase.ENDED, plan.ended_after_s),
        ):
            self.board.changes.post_at(now + delay_s, Topic.SHUTDOWN_PHASE_DUE, phase)
        self._enter(ShutdownPhase.LEAVING)

    def on_due(self, phase: ShutdownPhase) -> None:
        """Enter a phase whose time has come, unless the stop has already gone beyond it."""
        if phase.value > self.board.shutdown.phase.value:
            self._enter(phase)

    def on_request_arrived(self, _request: Request) -> None:
        """Count a request."""
        self.board.shutdown.running_requests += 1

    def on_request_done(self, _request: Request) -> None:
        """Count the end of a request."""
        self.board.shutdown.running_requests -= 1
        self.on_work_ended(None)

    def on_work_ended(self, _entry: Any) -> None:
        """End the stop once no work is left."""
        phase = self.board.shutdown.phase
        if phase in (ShutdownPhase.DRAINING, ShutdownPhase.FINISHING) and not self._has_work():
            self._enter(ShutdownPhase.ENDED)

    def _enter(self, phase: ShutdownPhase) -> None:
        self.board.shutdown.phase = phase
        if phase is ShutdownPhase.ENDED:
            self._record(EventKind.STOPPED, PLANNED_STOP)
        self.board.changes.post(Topic.SHUTDOWN_PHASE_CHANGED, phase)
        self.on_work_ended(None)

    def _has_work(self) -> bool:
        sessions, relays = self.board.sessions, self.board.relays
        return bool(
            self.board.shutdown.running_requests
            or self.board.transactions.by_name
            or sessions.by_number
            or sessions.opening
            or relays.running
            or relays.transactions
        )

    def _record(self, kind: EventKind, cause: str) -> None:
        """Record an event with the work that is left."""
        sessions = self.board.sessions.by_number.values()
        shutdown, relays = self.board.shutdown, self.board.relays
        elapsed_s = self.board.clock.now() - shutdown.requested_at
        self.board.timeline.record(
            kind,
            self.board.settings.member,
            cause,
            since_stop_ms=round(elapsed_s * 1000),
            sessions=len(sessions),
            transactions=sum(1 for item in sessions if item.transaction is not None)
            + len(self.board.transactions.by_name),
            requests=shutdown.running_requests,
            relayed_transactions=len(relays.transactions),
            relayed_statements=len(relays.running),
        )


def answer_at_end(session: Session) -> StatementAnswer:
    """Return the answer to a statement that is still running when the stop ends.

    The end of the process closes the connection to the endpoint, which rolls back the transaction,
    but a commit or a single write may have run.
    """
    call = session.call
    is_commit = call is not None and call.statement.verb is Verb.COMMIT
    if session.transaction is not None and not is_commit:
        refusal = Refusal(
            ErrorCode.TRANSACTION_UNKNOWN, "This VM stopped; the transaction was rolled back."
        )
        return StatementAnswer([], "", refusal, SessionState.FAILED)
    refusal = Refusal(
        ErrorCode.OUTCOME_UNKNOWN,
        "This VM stopped before the endpoint answered.",
        ExecutionResult.UNKNOWN,
    )
    return StatementAnswer([], "", refusal, SessionState.IDLE)
