"""Positions in the logs of database groups, and the session tokens that carry them."""

from __future__ import annotations


class Position:
    """A position in a group's log; ordered by term, then by index."""

    __slots__ = ("term", "index")

    def __init__(self, term: int, index: int) -> None:
        self.term = term
        self.index = index

    @classmethod
    def from_pair(cls, pair: list[int]) -> Position:
        """Build from the wire format, [term, index]; raises `ValueError` for anything else."""
        if not isinstance(pair, list) or [type(item) for item in pair] != [int, int]:
            raise ValueError("a position must be a list of two whole numbers")
        return cls(pair[0], pair[1])

    def to_pair(self) -> list[int]:
        """Return the wire format, [term, index]."""
        return [self.term, self.index]

    def reaches(self, other: Position) -> bool:
        """Return whether this position is at or after the other."""
        if self.term != other.term:
            return self.term > other.term
        return self.index >= other.index

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Position) and self.term == other.term and self.index == other.index

    def __hash__(self) -> int:
        return hash((self.term, self.index))

    def __repr__(self) -> str:
        return f"Position({self.term}, {self.index})"

    def __str__(self) -> str:
        return f"{self.term}.{self.index}"


LOG_START = Position(0, 0)


def max_position(first: Position, second: Position) -> Position:
    """Return the later of two positions."""
    return first if first.reaches(second) else second


class SessionToken:
    """The newest position that a session has read or written in each database group.

    Reads of the session must reach these positions; a token is valid for one workspace.
    """

    __slots__ = ("workspace", "positions")

    def __init__(self, workspace: str, positions: dict[str, Position]) -> None:
        self.workspace = workspace
        self.positions = positions

    def position(self, group: str) -> Position:
        """Return the minimum position for reads of the group."""
        return self.positions.get(group, LOG_START)

    def with_position(self, group: str, position: Position) -> SessionToken:
        """Return a token that also covers the given position."""
        positions = dict(self.positions)
        positions[group] = max_position(positions.get(group, LOG_START), position)
        return SessionToken(self.workspace, positions)
