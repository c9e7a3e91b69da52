"""Clocks of the machine, used outside of tests and simulations."""

from __future__ import annotations

import time


class MonotonicClock:
    """The monotonic clock, which stops while the machine is suspended."""

    __slots__ = ()

    def now(self) -> float:
        """Return the time in seconds."""
        return time.monotonic()


class BootTimeClock:
    """The boot-time clock, which also counts the time in which the machine is suspended."""

    __slots__ = ()

    def now(self) -> float:
        """Return the time in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Return the wall-clock time in milliseconds since the Unix epoch."""
    return int(time.time() * 1000)
