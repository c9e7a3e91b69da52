"""Log positions of database groups and session tokens made of them."""

from __future__ import annotations


class Position:
    """A place in a group's log; ordered first by term, then by index."""

    __slots__ = ("term", "index")

    def __init__(self, term: int, index: int) -> None:
        self.term = term
        self.index = index

    @classmethod
    def from_pair(cls, pair: list[int]) -> Position:
        """Build from the wire's [term, index]."""
        return cls(pair[0], pair[1])

    def to_pair(self) -> list[int]:
        """Return the wire's [term, index]."""
        return [self.term, self.index]

    def reaches(self, other: Position) -> bool:
        """Tell whether this position is at or after the other."""
        if self.term != other.term:
            return self.term > other.term
        return self.index >= other.index

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Position) and self.term == other.term and self.index == other.index

    def __hash__(self) -> int:
        return hash((self.term, self.index))

    def __repr__(self) -> str:
        return f"Position({self.term}, {self.index})"


LOG_START = Position(0, 0)


def later(first: Position, second: Position) -> Position:
    """Return the later of two positions."""
    return first if first.reaches(second) else second


class SessionToken:
    """What a session has written and read: one position a database group, for one workspace."""

    __slots__ = ("workspace", "positions")

    def __init__(self, workspace: str, positions: dict[str, Position]) -> None:
        self.workspace = workspace
        self.positions = positions

    def position(self, group: str) -> Position:
        """Return the position that a read of the group must reach."""
        return self.positions.get(group, LOG_START)

    def with_position(self, group: str, position: Position) -> SessionToken:
        """Return a token that also covers the given position."""
        positions = dict(self.positions)
        positions[group] = later(positions.get(group, LOG_START), position)
        return SessionToken(self.workspace, positions)
