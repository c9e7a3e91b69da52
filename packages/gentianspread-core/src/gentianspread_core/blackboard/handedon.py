"""Section of the commits that this VM handed on to callers; owned by the completion controller."""

from __future__ import annotations

from ..positions import Position, max_position


class HandedOnReport:
    """What a VM, and all that have a lease from it, handed on in a group before a promotion.

    `after_term` is the group's term before the promotion. Each commit that they handed on at or
    after `unreported_until`, in seconds of this VM's clock, is at `position` or before it; none if
    there was no such commit. `passed` is a position after which a commit was certainly handed on,
    none if that is not known of any.
    """

    __slots__ = ("after_term", "position", "unreported_until", "passed")

    def __init__(
        self,
        after_term: int,
        position: Position | None,
        unreported_until: float,
        passed: Position | None = None,
    ) -> None:
        self.after_term = after_term
        self.position = position
        self.unreported_until = unreported_until
        self.passed = passed

    def add_positions(self, position: Position | None, passed: Position | None) -> None:
        """Cover the commits up to a position, and note that some are after another one."""
        self.position = _later(self.position, position)
        self.passed = _later(self.passed, passed)

    def add_unreported(self, until: float) -> None:
        """Cover no commit that was handed on before a time."""
        self.unreported_until = max(self.unreported_until, until)

    def describe(self, now: float) -> str:
        """Return the bounds of the last commits that were handed on, for the logs."""
        return (
            f"VMs handed on up to {self.position or 'nothing'}"
            f" and certainly past {self.passed or 'nothing'}"
            f", commits are unreported until {now - self.unreported_until:.2f} s ago"
        )


class HandedOn:
    """The newest positions by group.

    The position beside a success is that of the primary's log, and may include commits that are
    still under way: it is never before the commit. `passed` has those that the primary was known to
    have before it got the commit. `unknown_until` has by group when a success without a position
    was last handed on, in seconds.
    """

    __slots__ = ("positions", "passed", "unknown_until")

    def __init__(self) -> None:
        self.positions: dict[str, Position] = {}
        self.passed: dict[str, Position] = {}
        self.unknown_until: dict[str, float] = {}

    def add(
        self, group: str, position: Position | None, passed: Position | None, now: float
    ) -> None:
        """Note a commit that is handed on."""
        if passed is not None:
            self.passed[group] = max_position(self.passed.get(group, passed), passed)
        if position is None:
            self.unknown_until[group] = now
        else:
            self.positions[group] = max_position(self.positions.get(group, position), position)


def _later(first: Position | None, second: Position | None) -> Position | None:
    if first is None or second is None:
        return first or second
    return max_position(first, second)
