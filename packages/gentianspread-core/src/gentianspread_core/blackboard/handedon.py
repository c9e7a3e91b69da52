"""Section of the commits that this VM handed on to callers; owned by the completion controller."""

from __future__ import annotations

from ..positions import Position, max_position


class HandedOnReport:
    """What a VM, and all that have a lease from it, handed on in a group before a promotion.

    `after_term` is the group's term before the promotion. Each commit that they handed on at or
    after `unreported_until`, in seconds of this VM's clock, is at `position` or before it; none if
    there was no such commit.
    """

    __slots__ = ("after_term", "position", "unreported_until")

    def __init__(self, after_term: int, position: Position | None, unreported_until: float) -> None:
        self.after_term = after_term
        self.position = position
        self.unreported_until = unreported_until

    def add_position(self, position: Position | None) -> None:
        """Cover the commits up to a position, if there is one."""
        if position is not None:
            self.position = max_position(self.position or position, position)

    def add_unreported(self, until: float) -> None:
        """Cover no commit that was handed on before a time."""
        self.unreported_until = max(self.unreported_until, until)


class HandedOn:
    """The newest positions by group.

    The position beside a success is that of the primary's log, and may include commits that are
    still under way: it is never before the commit. `unknown_until` has by group when a success
    without a position was last handed on, in seconds.
    """

    __slots__ = ("positions", "unknown_until")

    def __init__(self) -> None:
        self.positions: dict[str, Position] = {}
        self.unknown_until: dict[str, float] = {}

    def add(self, group: str, position: Position | None, now: float) -> None:
        """Note a commit that is handed on."""
        if position is None:
            self.unknown_until[group] = now
        else:
            self.positions[group] = max_position(self.positions.get(group, position), position)
