"""Invariant controller: checks the blackboard as it changes, and records every violation."""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.requests import Request
from ..blackboard.timeline import EventKind, request_label
from .rules import COMPLETION_RULES, DISPATCH_RULES, LastSeenState, Rule


class InvariantController:
    """Checks requests at dispatch and completion, and the replicated state at each change.

    A violation is recorded as an event of the timeline and counted under the name of its rule.
    """

    __slots__ = ("board", "last_seen", "violations", "_dispatch_rules", "_completion_rules")

    def __init__(
        self,
        board: Board,
        dispatch_rules: tuple[Rule, ...] = DISPATCH_RULES,
        completion_rules: tuple[Rule, ...] = COMPLETION_RULES,
    ) -> None:
        self.board = board
        self._dispatch_rules = dispatch_rules
        self._completion_rules = completion_rules
        self.last_seen = LastSeenState()
        self.violations: dict[str, int] = {}

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.EXCHANGE_SCHEDULED: self.on_exchange_scheduled,
            Topic.REQUEST_DONE: self.on_done,
            Topic.CONFIGURATION_CHANGED: self.on_configuration,
        }

    def on_exchange_scheduled(self, request: Request) -> None:
        """Check a request when it is sent to an endpoint."""
        self._check(self._dispatch_rules, request)

    def on_done(self, request: Request) -> None:
        """Check a request when its caller gets the answer."""
        self._check(self._completion_rules, request)

    def on_configuration(self, revision: int) -> None:
        """Check that the revision and the terms have not decreased."""
        for rule in self.last_seen.check_and_update(self.board.configuration):
            self._record(rule, f"revision {revision}")

    def _check(self, rules: tuple[Rule, ...], request: Request) -> None:
        for rule in rules:
            if not rule.holds(self.board, request):
                self._record(rule.name, request_label(request.request_id or request.number))

    def _record(self, rule: str, subject: str) -> None:
        self.violations[rule] = self.violations.get(rule, 0) + 1
        self.board.timeline.record(EventKind.INVARIANT_VIOLATED, subject, rule)
