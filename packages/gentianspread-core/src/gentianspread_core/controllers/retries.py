"""Retry budgets: limit the retries of one VM to a fraction of its requests."""

from __future__ import annotations

from ..blackboard.sessions import SessionRequest
from ..errors import ErrorCode

RETRIES_PER_REQUEST = 0.1  # overloaded endpoints get at most a tenth more, however many the VMs
MAX_SAVED_RETRIES = 10.0  # a VM of a large fleet has fewer statements under way when a zone fails
RETRIES_RESERVED_PER_PRIORITY = 2.0  # for each higher priority; a few requests that fail together
OVERLOAD_CODES = frozenset(
    {ErrorCode.OVERLOADED, ErrorCode.DEADLINE_PASSED, ErrorCode.CONNECTION_LIMIT}
)


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


class UnlimitedRetries:
    """Allows every retry; the wait and the number of attempts of a request still limit it."""

    __slots__ = ()

    def count(self, request: SessionRequest) -> None:
        """Do nothing."""

    def allows(self, request: SessionRequest, code: ErrorCode) -> bool:
        """Return true."""
        return True


class PriorityRetryBudget:
    """Allows a share of the first attempts as retries; lower priorities leave some for higher ones.

    Only retries after a sign of overload count. A replica that lags, an endpoint that has lost the
    lead or one that fails its statements leaves the work to others that have capacity for it.
    Source: "Handling Overload" in "Site Reliability Engineering" (Beyer and others, 2016).
    """

    __slots__ = ("tokens",)

    def __init__(self) -> None:
        self.tokens = MAX_SAVED_RETRIES

    def count(self, request: SessionRequest) -> None:
        """Add the share for the end of a first attempt of this VM's own callers."""
        if request.attempts == 1 and request.relayed_statement is None:
            self.tokens = min(MAX_SAVED_RETRIES, self.tokens + RETRIES_PER_REQUEST)

    def allows(self, request: SessionRequest, code: ErrorCode) -> bool:
        """Return whether to retry after a code; after an overload, take a retry from the budget."""
        if code not in OVERLOAD_CODES:
            return True
        reserved = RETRIES_RESERVED_PER_PRIORITY * max(0, request.route.priority)
        if self.tokens < 1.0 + min(reserved, MAX_SAVED_RETRIES / 2):
            return False
        self.tokens -= 1.0
        return True
