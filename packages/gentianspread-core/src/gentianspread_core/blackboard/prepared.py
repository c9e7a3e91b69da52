"""Prepared statements of sessions, and the memory that a session's texts take."""

from __future__ import annotations

import hashlib

MAX_SHAPE_IN_NAME_CHARS = 64
SHAPE_HASH_BYTES = 16
ENTRY_BYTES = 300  # of the objects for a name and its text, and of their place in a dictionary
CHARACTER_BYTES = 4  # of a text in which one character needs them


class PreparedStatement:
    """A prepared statement: whether it writes, and its shape.

    The shape is the text after `PREPARE name READ` or `WRITE`; only endpoints interpret it.
    """

    __slots__ = ("writes", "shape")

    def __init__(self, writes: bool, shape: str) -> None:
        self.writes = writes
        self.shape = shape

    def shared_name(self) -> str:
        """Return the name that it has at endpoints, so that sessions can share a connection.

        It is derived from the content: equal statements have one name, whatever callers name them.
        A shape that is no single short word is hashed, with a mark that no other name has.
        """
        kind = "w" if self.writes else "r"
        is_word = self.shape.isascii() and self.shape.isalnum()
        if is_word and len(self.shape) <= MAX_SHAPE_IN_NAME_CHARS:
            return f"{kind}{self.shape}"
        content = self.shape.encode("utf-8", "surrogateescape")
        return f"{kind}-{hashlib.blake2b(content, digest_size=SHAPE_HASH_BYTES).hexdigest()}"


def entry_bytes(name: str, text: str) -> int:
    """Return the most memory that a name and its text take."""
    return ENTRY_BYTES + sum(
        len(item) if item.isascii() else CHARACTER_BYTES * len(item) for item in (name, text)
    )
