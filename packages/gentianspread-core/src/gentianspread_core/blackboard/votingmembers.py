"""Rows of the configuration about the endpoints that count in a group's majorities.

They change only with the group's term: whoever acknowledges a write of a term knows the endpoints
that count in it, and a fence counts the same ones. Only for groups with terms of the control log.
"""

from __future__ import annotations

from collections.abc import Iterable


class VotingMembers:
    """The endpoints of a group that count in majorities, by name, and how many places they have.

    A place that is free goes to the next endpoint that registers. `term` is the first one in which
    these endpoints count. Until a majority of them has a record of that term or a later one, a
    fence also needs a majority of those before, `previous_names`; they are empty once that is so.
    """

    __slots__ = ("group", "term", "names", "size", "previous_names", "previous_size")

    def __init__(
        self,
        group: str,
        term: int,
        names: list[str],
        size: int,
        previous_names: list[str],
        previous_size: int,
    ) -> None:
        self.group = group
        self.term = term
        self.names = names
        self.size = size
        self.previous_names = previous_names
        self.previous_size = previous_size

    def has_majority(self, names: Iterable[str]) -> bool:
        """Return whether some endpoints are a majority of those that count."""
        return _is_majority(names, self.names, self.size)

    def has_fence_majority(self, names: Iterable[str]) -> bool:
        """Return whether a fence by some endpoints excludes any write that was acknowledged."""
        fenced = set(names)
        is_settled = not self.previous_names
        return self.has_majority(fenced) and (
            is_settled or _is_majority(fenced, self.previous_names, self.previous_size)
        )

    def add(self, name: str) -> None:
        """Give an endpoint a free place, if there is one."""
        if name not in self.names and len(self.names) < self.size:
            self.names = [*self.names, name]

    def successor(self, term: int, names: list[str], size: int) -> VotingMembers:
        """Return those that count from a new term on.

        They stay as they are while the last change is not settled, or if nothing changes.
        """
        is_same = set(names) == set(self.names) and size == self.size
        if is_same or self.previous_names:
            return self
        return VotingMembers(self.group, term, names, size, self.names, self.size)

    def settle(self, term: int) -> None:
        """Note that a majority has a record of a term, if it is the one of the last change."""
        if term == self.term:
            self.previous_names, self.previous_size = [], 0


def _is_majority(names: Iterable[str], members: list[str], size: int) -> bool:
    return len(set(names) & set(members)) >= size // 2 + 1
