"""Protocols of the environment: time and randomness."""

from __future__ import annotations

from typing import Protocol


class Clock(Protocol):
    """A monotonic clock."""

    def now(self) -> float:
        """Return the time in seconds."""


class Randomness(Protocol):
    """A source of random numbers."""

    def uniform(self, low: float, high: float) -> float:
        """Return a random float between `low` and `high`."""

    def random(self) -> float:
        """Return a random float in [0.0, 1.0)."""
