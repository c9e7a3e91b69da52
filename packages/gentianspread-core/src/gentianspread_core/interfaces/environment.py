"""Protocols of the surroundings: time and randomness."""

from __future__ import annotations

from typing import Protocol


class Clock(Protocol):
    """A monotonic clock."""

    def now(self) -> float:
        """Return the time in seconds."""


class Randomness(Protocol):
    """A source of random numbers."""

    def uniform(self, low: float, high: float) -> float:
        """Return a number between the two limits."""

    def random(self) -> float:
        """Return a number from 0 up to 1."""
