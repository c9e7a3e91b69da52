"""Invariant controller: checks the board as it changes, and records every break."""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.requests import Request
from ..blackboard.timeline import EventKind
from .rules import COMPLETION_RULES, DISPATCH_RULES, Rule, StateWitness


class InvariantController:
    """Owns the witness of the newest state seen; a break is an event and a count."""

    __slots__ = ("board", "witness", "violations", "_dispatch_rules", "_completion_rules")

    def __init__(
        self,
        board: Board,
        dispatch_rules: tuple[Rule, ...] = DISPATCH_RULES,
        completion_rules: tuple[Rule, ...] = COMPLETION_RULES,
    ) -> None:
        self.board = board
        self._dispatch_rules = dispatch_rules
        self._completion_rules = completion_rules
        self.witness = StateWitness()
        self.violations: dict[str, int] = {}

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.EXCHANGE_ORDERED: self.on_ordered,
            Topic.REQUEST_DONE: self.on_done,
            Topic.CONFIGURATION_CHANGED: self.on_configuration,
        }

    def on_ordered(self, request: Request) -> None:
        """Check a request as it is sent to an endpoint."""
        self._check(self._dispatch_rules, request)

    def on_done(self, request: Request) -> None:
        """Check a request as its caller is answered."""
        self._check(self._completion_rules, request)

    def on_configuration(self, revision: int) -> None:
        """Check that revisions and terms only grow."""
        for broken in self.witness.advance(self.board.configuration):
            self._record(broken, f"revision {revision}")

    def _check(self, rules: tuple[Rule, ...], request: Request) -> None:
        for rule in rules:
            if not rule.holds(self.board, request):
                self._record(rule.name, f"request {request.request_id or request.number}")

    def _record(self, rule: str, subject: str) -> None:
        self.violations[rule] = self.violations.get(rule, 0) + 1
        self.board.timeline.record(EventKind.INVARIANT_BROKEN, subject, rule)
