"""Retry budget: limits the retries of one VM to a fraction of its requests."""

from __future__ import annotations


class RetryBudget:
    """Token bucket of retries, refilled by every exchange that ends; one token is one retry."""

    __slots__ = ("tokens", "max_tokens")

    TOKENS_PER_EXCHANGE = 0.1

    def __init__(self, max_tokens: float = 50.0) -> None:
        self.max_tokens = max_tokens
        self.tokens = max_tokens

    def refill(self) -> None:
        """Add the tokens for one ended exchange."""
        self.tokens = min(self.max_tokens, self.tokens + self.TOKENS_PER_EXCHANGE)

    def try_acquire(self) -> bool:
        """Take one token; return false if less than one is left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
