"""Which promote calls may still take effect.

A call without an answer may be carried out seconds later, until the platform has seen a higher
fencing token; and an endpoint leads only some time after its call was carried out.
"""

from __future__ import annotations

from ...blackboard.configuration import Group
from ...blackboard.outbox import EndpointCommand
from ...interfaces import Clock
from ...positions import Position

PROMOTION_EFFECT_S = 1.0  # an endpoint leads some hundred milliseconds after its call


class PromoteCalls:
    """The promote calls of the promotions that are under way, on the control leader.

    `_effective_at` is by group when the last call that was answered has taken effect, in seconds.
    `_begun` are the groups whose promotion began under this leader, so that it knows of every call;
    `_unanswered` has the fencing tokens of calls by group, `_sufficient` the position of the first
    target: it had every commit that was handed on, and none is before the promotion has ended.
    """

    __slots__ = ("clock", "_begun", "_unanswered", "_sufficient", "_effective_at")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._effective_at: dict[str, float] = {}
        self._begun: set[str] = set()
        self._unanswered: dict[str, set[int]] = {}
        self._sufficient: dict[str, Position] = {}

    def reset(self) -> None:
        """Forget all calls: another leader may make some."""
        self._begun.clear()
        self._unanswered.clear()
        self._sufficient.clear()
        self._effective_at.clear()

    def begin(self, group: Group, has_led: bool) -> None:
        """Note the first attempt of a promotion, or another one after an attempt that failed.

        The call for a named primary that has not led may still take effect.
        """
        if group.granted_term == group.term and has_led:
            self._begun.add(group.name)
            self._unanswered.pop(group.name, None)
            self._sufficient.pop(group.name, None)

    def add(self, group: str, fencing_token: int, position: Position | None) -> None:
        """Note a call that is being sent, and the target's position if it was paused for it."""
        self._unanswered.setdefault(group, set()).add(fencing_token)
        if position is not None:
            self._sufficient.setdefault(group, position)

    def sufficient_position(self, group: str) -> Position | None:
        """Return a position that covers every commit handed on, if one is known."""
        return self._sufficient.get(group)

    def note_result(self, command: EndpointCommand) -> None:
        """Note that a call was answered, and so takes effect soon, or was refused."""
        if command.accepted:
            self._effective_at[command.group] = self.clock.now() + PROMOTION_EFFECT_S
        if command.accepted or command.is_refused:
            self._unanswered.get(command.group, set()).discard(command.fencing_token)

    def may_take_effect(self, group: str) -> bool:
        """Return whether a call without an answer, or one of an earlier leader, may exist.

        One that was answered after its attempt had been given up counts as well.
        """
        is_effective = self.clock.now() >= self._effective_at.get(group, float("-inf"))
        return group not in self._begun or bool(self._unanswered.get(group)) or not is_effective

    def end(self, group: str) -> None:
        """Note that the promotion has ended and nothing can come of its calls."""
        self._begun.discard(group)
        self._unanswered.pop(group, None)
        self._sufficient.pop(group, None)
        self._effective_at.pop(group, None)
