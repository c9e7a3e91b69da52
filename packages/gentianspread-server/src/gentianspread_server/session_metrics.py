"""Counters and latencies of the sessions of one VM."""

from __future__ import annotations

from collections import deque

from gentianspread_core.blackboard.sessions import StatementCall
from gentianspread_core.engine import Engine

LOWEST_US = 1  # microseconds; the least that the histogram holds
US_PER_S = 1_000_000


class SessionMetrics:
    """Counts answered statements by code, and their latency in microseconds.

    The histogram is built at the first read, so that a VM whose metrics nobody reads holds none.
    """

    __slots__ = ("engine", "counts", "latencies")

    MOST_KEPT = 2048

    def __init__(self, engine: Engine) -> None:
        self.engine = engine
        self.counts: dict[str, int] = {}
        self.latencies: deque[int] = deque(maxlen=self.MOST_KEPT)

    def count(self, call: StatementCall, now: float) -> None:
        """Count an answered statement; `now` is the clock in seconds."""
        answer = call.answer
        refusal = answer.refusal if answer else None
        label = refusal.code.value if refusal else "ok"
        self.counts[label] = self.counts.get(label, 0) + 1
        self.latencies.append(max(LOWEST_US, int((now - call.arrived_at) * US_PER_S)))
