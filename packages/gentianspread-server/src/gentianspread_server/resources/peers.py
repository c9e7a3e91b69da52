"""What the decisions about a peer's connection are made from."""

from __future__ import annotations

from enum import IntEnum
from typing import Protocol


class PeerActivity(IntEnum):
    """What a peer is doing, in the order in which connections are closed when a limit is met."""

    UNOPENED = 0  # it has opened no session, or no request of it was complete yet
    UNFINISHED = 1  # it is in the middle of a message
    UNREAD = 2  # it does not read its answer
    IDLE = 3  # it has a session, or has sent requests, and nothing is under way
    WORKING = 4  # a statement or request of it is being served


class EndReason(IntEnum):
    """Why a connection was refused or closed."""

    CONNECTIONS = 0  # the limit of connections of its port
    MEMORY = 1  # the memory budget
    TIME = 2  # the time for a message or for reading an answer
    SIZE = 3  # the size of a message

    def text(self) -> str:
        """Return the label in metrics and the cause in log lines."""
        return self.name.lower()


class HeldConnection(Protocol):
    """A connection of a peer, as the policies and limits see it.

    `charged_bytes` is what the memory budget counts for it; only the budget changes it. `is_ended`
    is set once the connection is to be closed, `is_trusted` if another VM has signed a message.
    """

    charged_bytes: int
    is_ended: bool
    is_trusted: bool

    def activity(self) -> PeerActivity:
        """Return what the peer is doing."""

    def since(self) -> float:
        """Return when that began, in seconds of the monotonic clock."""

    def expected_bytes(self) -> int:
        """Return how long the message or answer under way is, as far as that is known."""

    def end(self) -> None:
        """Close the connection at once and drop what is held for it; never blocks."""
