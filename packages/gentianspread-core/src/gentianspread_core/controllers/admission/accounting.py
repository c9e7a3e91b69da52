"""Accounting controller: counts who waited and who was refused, by priority and workspace."""

from __future__ import annotations

from typing import Any

from ...blackboard import Board, Topic
from ...blackboard.overload import WaitCounts
from ...blackboard.sessions import SessionRequest


class AccountingController:
    """Owns the overload section."""

    __slots__ = ("board",)

    def __init__(self, board: Board) -> None:
        self.board = board

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {Topic.REQUEST_DONE: self.on_done}

    def on_done(self, request: SessionRequest) -> None:
        """Count a request of this VM's own callers."""
        is_counted = self.board.settings.schedules_by_priority
        if not is_counted or request.relayed_statement is not None or request.outcome is None:
            return
        overload = self.board.overload
        priority, workspace = request.route.priority, request.workspace
        if request.exchange is not None:
            counts = overload.waits.setdefault((priority, workspace), WaitCounts())
            counts.requests += 1
            counts.seconds += max(0.0, request.exchange.sent_at - request.arrived_at)
        refusal = request.outcome.refusal
        if refusal is not None:
            key = (priority, workspace, refusal.code.value)
            overload.refusals[key] = overload.refusals.get(key, 0) + 1
