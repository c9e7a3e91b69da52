"""Decisions which connections to close when a limit is met; they need no network."""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import Protocol

from .peers import HeldConnection, PeerActivity

MESSAGE_TIMEOUT_S = 30.0  # for any message or answer, however short; a caller needs a second
MIN_BYTES_PER_S = 32 * 1024  # of a peer that moves a long message; a slow mobile link has more


class EvictionPolicy(Protocol):
    """Orders the connections to close."""

    def victims(
        self, connections: Iterable[HeldConnection], last: PeerActivity, count: int
    ) -> list[HeldConnection]:
        """Return at most `count` connections to close, the first one first.

        Connections whose activity comes after `last` stay open.
        """


class OverduePolicy(Protocol):
    """Limits the time that a message or an answer may take."""

    def is_overdue(self, connection: HeldConnection, now: float) -> bool:
        """Return whether a connection is to be closed; `now` is of the monotonic clock."""


class UnfinishedFirst:
    """Closes those first that opened no session, then unfinished and slow ones, the oldest first.

    Connections of other VMs come after all others. A peer that sends or reads at an ordinary pace
    has begun recently and therefore comes late.
    """

    __slots__ = ()

    def victims(
        self, connections: Iterable[HeldConnection], last: PeerActivity, count: int
    ) -> list[HeldConnection]:
        """Return the connections to close, by activity and age."""
        candidates = [
            (item.is_trusted, activity, item.since(), position, item)
            for position, item in enumerate(connections)
            if (activity := item.activity()) <= last and not item.is_ended
        ]
        return [item for *_, item in heapq.nsmallest(count, candidates)]


class MinimumPace:
    """Gives each message and each answer some seconds, and more for the bytes that have moved.

    Sessions that are idle between messages have no limit.
    """

    __slots__ = ()

    def is_overdue(self, connection: HeldConnection, now: float) -> bool:
        """Return whether the peer is slower than the minimum pace."""
        if connection.activity() not in (PeerActivity.UNFINISHED, PeerActivity.UNREAD):
            return False
        allowed_s = MESSAGE_TIMEOUT_S + connection.expected_bytes() / MIN_BYTES_PER_S
        return now - connection.since() > allowed_s
