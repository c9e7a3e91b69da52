"""Section of this VM's planned stop, `Shutdown`. Owned by the shutdown controller."""

from __future__ import annotations

from enum import Enum

TRANSACTION_FRACTION = 0.5  # of the grace period, for open transactions to end
ANSWER_FRACTION = 0.85  # of the grace period; the rest is for the last answers and for exiting


class ShutdownPhase(Enum):
    """Phases of a planned stop, in their order.

    `LEAVING`: the readiness check fails, and new work is still accepted until the load balancer has
    noticed. `DRAINING`: new work is refused, open transactions go on. `FINISHING`: a transaction
    only gets statements that are certain to be answered before the end. `ENDED`: nothing is
    accepted any more, and the process may exit.
    """

    SERVING = 0
    LEAVING = 1
    DRAINING = 2
    FINISHING = 3
    ENDED = 4


class ShutdownPlan:
    """When the phases of a planned stop begin, in seconds after the request to stop."""

    __slots__ = ("draining_after_s", "finishing_after_s", "ended_after_s")

    def __init__(
        self, draining_after_s: float, finishing_after_s: float, ended_after_s: float
    ) -> None:
        self.draining_after_s = draining_after_s
        self.finishing_after_s = finishing_after_s
        self.ended_after_s = ended_after_s

    @classmethod
    def from_grace_period(cls, grace_period_s: float, load_balancer_delay_s: float) -> ShutdownPlan:
        """Build the plan of a process that is killed at the end of the grace period.

        New work is accepted until the load balancer has noticed the stop.
        """
        return cls(
            load_balancer_delay_s,
            TRANSACTION_FRACTION * grace_period_s,
            ANSWER_FRACTION * grace_period_s,
        )


class Shutdown:
    """The phase of the planned stop.

    `requested_at` and `ends_at`, by when every request must be answered, are in seconds of the VM's
    clock; `ends_at` is infinite until a stop is requested. `running_requests` is how many requests
    have no outcome yet.
    """

    __slots__ = ("phase", "requested_at", "ends_at", "running_requests")

    def __init__(self) -> None:
        self.phase = ShutdownPhase.SERVING
        self.requested_at = 0.0
        self.ends_at = float("inf")
        self.running_requests = 0

    def is_requested(self) -> bool:
        """Return whether a planned stop has begun."""
        return self.phase is not ShutdownPhase.SERVING

    def accepts_new_work(self) -> bool:
        """Return whether sessions, transactions and statements outside them are accepted."""
        return self.phase.value < ShutdownPhase.DRAINING.value

    def accepts_in_transaction(self, deadline: float) -> bool:
        """Return whether an open transaction may run a statement with this deadline."""
        if self.phase is ShutdownPhase.FINISHING:
            return deadline <= self.ends_at
        return self.phase is not ShutdownPhase.ENDED
