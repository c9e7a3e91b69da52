"""A clock that moves only when a simulation advances it."""

from __future__ import annotations


class FakeClock:
    """Simulated time, in seconds."""

    __slots__ = ("time",)

    def __init__(self, time: float = 1000.0) -> None:
        self.time = time

    def now(self) -> float:
        """Return the time in seconds."""
        return self.time

    def wall_ms(self) -> int:
        """Return the time in milliseconds."""
        return int(self.time * 1000)
