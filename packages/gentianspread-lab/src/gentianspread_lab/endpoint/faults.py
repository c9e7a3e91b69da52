"""Faults that can be injected into the simulated endpoint, each for a number of seconds."""

from __future__ import annotations

import time
from enum import Enum


class FaultKind(Enum):
    """The kinds of faults.

    ISOLATE: no response, no replication pulls and no announcements.
    STALL: responses only once the fault has ended.
    LATE_RESPONSE: responses to statements are delayed after the execution.
    WRONG_EXCHANGE: responses to statements carry the id of another exchange.
    TRUNCATED_RESPONSE: responses to statements end after half of the body.
    LOST_CONNECTIONS: no response on connections that were opened before the fault.
    """

    ISOLATE = "isolate"
    STALL = "stall"
    LATE_RESPONSE = "late"
    WRONG_EXCHANGE = "crossed"
    TRUNCATED_RESPONSE = "short"
    LOST_CONNECTIONS = "forget"


class Faults:
    """Active faults, with their end times on the monotonic clock."""

    __slots__ = ("_ends_at", "connections_lost_at")

    def __init__(self) -> None:
        self._ends_at: dict[FaultKind, float] = {}
        self.connections_lost_at = 0.0

    def start(self, kind: FaultKind, seconds: float) -> None:
        """Activate a fault for `seconds` from now."""
        now = time.monotonic()
        if kind is FaultKind.LOST_CONNECTIONS:
            self.connections_lost_at = now
        self._ends_at[kind] = now + seconds

    def is_active(self, kind: FaultKind) -> bool:
        """Return whether a fault is active."""
        return time.monotonic() < self._ends_at.get(kind, 0.0)

    def remaining_s(self, kind: FaultKind) -> float:
        """Return the remaining duration of a fault, in seconds."""
        return max(0.0, self._ends_at.get(kind, 0.0) - time.monotonic())
