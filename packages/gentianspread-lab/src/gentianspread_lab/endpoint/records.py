"""Log records of the simulated endpoint."""

from __future__ import annotations

from typing import Any

from gentianspread_core.positions import Position


class Record:
    """One committed transaction: its position, its statements and the request that it answers.

    `request_id` is unique within its workspace, or empty if the request has none.
    """

    __slots__ = ("term", "index", "statements", "workspace", "request_id", "changed")

    def __init__(
        self,
        term: int,
        index: int,
        statements: list[list[Any]],
        workspace: str,
        request_id: str,
        changed: int,
    ) -> None:
        self.term = term
        self.index = index
        self.statements = statements
        self.workspace = workspace
        self.request_id = request_id
        self.changed = changed

    @classmethod
    def from_wire(cls, values: list[Any]) -> Record:
        """Build from the list encoding used on the wire."""
        return cls(*values)

    def to_wire(self) -> list[Any]:
        """Return the list encoding used on the wire: the slots in order."""
        return [getattr(self, slot) for slot in self.__slots__]

    def position(self) -> Position:
        """Return the record's position in the log."""
        return Position(self.term, self.index)


def last_position(log: list[Record]) -> Position:
    """Return the position of a log's last record."""
    return log[-1].position() if log else Position(0, 0)


def term_ends(log: list[Record]) -> list[list[int]]:
    """Return the last index of each term in a log, oldest first."""
    ends: list[list[int]] = []
    for record in log:
        if ends and ends[-1][0] == record.term:
            ends[-1][1] = record.index
        else:
            ends.append([record.term, record.index])
    return ends


def common_index(log: list[Record], ends: list[list[int]]) -> int:
    """Return the last index up to which a log agrees with another, given that one's term ends."""
    own = {term: index for term, index in term_ends(log)}
    common = 0
    for term, index in ends:
        if term not in own:
            break
        common = min(own[term], index)
        if own[term] != index:
            break
    return common
