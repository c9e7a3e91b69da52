"""Retry budget: bounds the retries of one VM to a part of its requests."""

from __future__ import annotations


class RetryBudget:
    """Retries that may still be made; each ended exchange earns a tenth of one."""

    __slots__ = ("left", "limit")

    EARNED_PER_EXCHANGE = 0.1

    def __init__(self, limit: float = 50.0) -> None:
        self.limit = limit
        self.left = limit

    def refill(self) -> None:
        """Add the part of a retry that an exchange earns."""
        self.left = min(self.limit, self.left + self.EARNED_PER_EXCHANGE)

    def try_acquire(self) -> bool:
        """Take one retry; return false if none is left."""
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True
