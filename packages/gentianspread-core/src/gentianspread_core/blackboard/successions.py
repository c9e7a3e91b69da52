"""Rows of the configuration about how groups got their primaries."""

from __future__ import annotations

from ..positions import LOG_START, Position


class Succession:
    """How a group whose terms the database assigns got its present primary.

    `revision` is the index of the log entry that named it. A commit of term `kept_term` with an
    index up to `kept_index` is in its log; both are 0 if that is not known of any commit. It is
    named when its promote call is answered, and `is_confirmed` once it was seen to lead.
    """

    __slots__ = ("group", "revision", "kept_term", "kept_index", "is_confirmed")

    def __init__(
        self,
        group: str,
        revision: int,
        kept_term: int,
        kept_index: int,
        is_confirmed: bool = True,
    ) -> None:
        self.group = group
        self.revision = revision
        self.kept_term = kept_term
        self.kept_index = kept_index
        self.is_confirmed = is_confirmed

    def kept(self) -> Position | None:
        """Return the position up to which commits are known to be kept, or none."""
        position = Position(self.kept_term, self.kept_index)
        return None if position == LOG_START else position

    def keeps(self, position: Position) -> bool:
        """Return whether the log holds a commit at a position before the succession."""
        return position.term == self.kept_term and position.index <= self.kept_index
