"""The real clock and randomness."""

from __future__ import annotations

import time


class MonotonicClock:
    """The machine's monotonic clock, in seconds."""

    __slots__ = ()

    def now(self) -> float:
        """Return the time in seconds."""
        return time.monotonic()


class BootTimeClock:
    """The machine's clock that also counts the time in which it was suspended, in seconds."""

    __slots__ = ()

    def now(self) -> float:
        """Return the time in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Return the wall time in milliseconds since the epoch."""
    return int(time.time() * 1000)
