"""Which promote calls may still take effect.

A call without an answer may be carried out seconds later, until the platform has seen a higher
fencing token; and an endpoint leads only some time after its call was carried out.
"""

from __future__ import annotations

import math

from ...blackboard.configuration import Group
from ...blackboard.groups import Promotion
from ...blackboard.outbox import EndpointCommand
from ...interfaces import Clock
from ...positions import Position

PROMOTION_EFFECT_S = 1.0  # an endpoint leads some hundred milliseconds after its call


class OpenCall:
    """A call to promote `target`; `effective_at` is infinite until it was answered, in seconds."""

    __slots__ = ("target", "effective_at")

    def __init__(self, target: str) -> None:
        self.target = target
        self.effective_at = math.inf


class PromoteCalls:
    """The promote calls of the promotions that are under way, on the control leader.

    `_begun` are the groups whose promotion began under this leader, so that it knows of every call;
    `_open` has their calls by fencing token, `_sufficient` the position of the first target: it had
    every commit that was handed on, and none is before the promotion has ended.
    """

    __slots__ = ("clock", "_begun", "_open", "_sufficient")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._begun: set[str] = set()
        self._open: dict[str, dict[int, OpenCall]] = {}
        self._sufficient: dict[str, Position] = {}

    def reset(self) -> None:
        """Forget all calls: another leader may make some."""
        self._begun.clear()
        self._open.clear()
        self._sufficient.clear()

    def begin(self, group: Group, has_led: bool) -> None:
        """Note the first attempt of a promotion, or another one after an attempt that failed.

        The call for a named primary that has not led may still take effect.
        """
        if group.granted_term == group.term and has_led:
            self.end(group.name)
            self._begun.add(group.name)

    def add(self, promotion: Promotion, target: str) -> None:
        """Note a call that is being sent, and the target's position if it was paused for it."""
        calls = self._open.setdefault(promotion.group, {})
        calls[promotion.fencing_token] = OpenCall(target)
        position = promotion.received_positions.get(target)
        if position is not None:
            self._sufficient.setdefault(promotion.group, position)

    def sufficient_position(self, group: str) -> Position | None:
        """Return a position that covers every commit handed on, if one is known."""
        return self._sufficient.get(group)

    def note_result(self, command: EndpointCommand) -> None:
        """Note that a call was answered, and so takes effect soon, or was refused."""
        calls = self._open.get(command.group, {})
        if command.is_refused:
            calls.pop(command.fencing_token, None)
        elif command.accepted and command.fencing_token in calls:
            calls[command.fencing_token].effective_at = self.clock.now() + PROMOTION_EFFECT_S

    def may_take_effect(self, group: str, except_for: str = "") -> bool:
        """Return whether a call may still make another endpoint than one the primary.

        It may be a call without an answer, an answered one or one of an earlier leader.
        """
        now = self.clock.now()
        return group not in self._begun or any(
            call.effective_at > now and call.target != except_for
            for call in self._open.get(group, {}).values()
        )

    def end(self, group: str) -> None:
        """Note that the promotion has ended and nothing can come of its calls."""
        self._begun.discard(group)
        self._open.pop(group, None)
        self._sufficient.pop(group, None)
