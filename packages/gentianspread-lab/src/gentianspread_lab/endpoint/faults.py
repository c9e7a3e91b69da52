"""Faults that the endpoint stand-in can be told to show, each for a number of seconds."""

from __future__ import annotations

import time
from enum import Enum


class FaultKind(Enum):
    """What goes wrong."""

    ISOLATE = "isolate"
    STALL = "stall"
    LATE = "late"
    CROSSED = "crossed"
    SHORT = "short"
    FORGET = "forget"


class Faults:
    """Until when each fault lasts, in seconds of the monotonic clock."""

    __slots__ = ("_until", "forgotten_before")

    def __init__(self) -> None:
        self._until: dict[FaultKind, float] = {}
        self.forgotten_before = 0.0

    def begin(self, kind: FaultKind, seconds: float) -> None:
        """Show a fault from now on."""
        now = time.monotonic()
        if kind is FaultKind.FORGET:
            self.forgotten_before = now
        self._until[kind] = now + seconds

    def shows(self, kind: FaultKind) -> bool:
        """Tell whether a fault is shown now."""
        return time.monotonic() < self._until.get(kind, 0.0)

    def left(self, kind: FaultKind) -> float:
        """Return for how many more seconds a fault is shown."""
        return max(0.0, self._until.get(kind, 0.0) - time.monotonic())
