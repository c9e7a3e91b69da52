"""Counters and latencies of a VM that serves sessions, in the usual text format.

The libraries for the histogram and the format are loaded at the first read, so that a VM whose
metrics nobody reads does not hold them in memory.
"""

from __future__ import annotations

from collections import deque

from gentianspread_core.blackboard.connections import ConnectionState
from gentianspread_core.blackboard.sessions import StatementCall
from gentianspread_core.engine import Engine

LOWEST_US = 1  # microseconds; the least that the histogram holds
HIGHEST_US = 60_000_000  # microseconds; longer than any deadline
DIGITS = 2  # significant digits of the histogram
US_PER_S = 1_000_000
MOST_LATENCIES = 2048  # answers kept for the histogram, about a minute of one VM
QUANTILES = (50.0, 90.0, 99.0, 99.9)


class SessionMetrics:
    """Counts answered statements by code, and keeps the newest latencies in microseconds."""

    __slots__ = ("engine", "counts", "latencies")

    def __init__(self, engine: Engine) -> None:
        self.engine = engine
        self.counts: dict[str, int] = {}
        self.latencies: deque[int] = deque(maxlen=MOST_LATENCIES)

    def count(self, call: StatementCall, now: float) -> None:
        """Count an answered statement; `now` is the clock in seconds."""
        answer = call.answer
        refusal = answer.refusal if answer else None
        label = refusal.code.value if refusal else "ok"
        self.counts[label] = self.counts.get(label, 0) + 1
        self.latencies.append(max(LOWEST_US, int((now - call.arrived_at) * US_PER_S)))

    def text(self) -> bytes:
        """Return all metrics in the text format."""
        from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

        registry = CollectorRegistry()
        statements = Counter(
            "gentianspread_statements", "Answered statements.", ["code"], registry=registry
        )
        for code, count in self.counts.items():
            statements.labels(code).inc(count)
        events = Counter(
            "gentianspread_events", "Events of the time line.", ["kind"], registry=registry
        )
        for kind, count in self.engine.board.timeline.counts.items():
            events.labels(kind.value).inc(count)
        violations = Counter(
            "gentianspread_invariant_breaks", "Broken rules.", ["rule"], registry=registry
        )
        for rule, count in self.engine.invariants.violations.items():
            violations.labels(rule).inc(count)
        latency = Gauge(
            "gentianspread_latency_seconds",
            "Time to the answer of the newest statements.",
            ["quantile"],
            registry=registry,
        )
        for quantile, seconds in self._quantiles():
            latency.labels(f"{quantile / 100:g}").set(seconds)
        for name, text, value in self._levels():
            Gauge(f"gentianspread_{name}", text, registry=registry).set(value)
        return generate_latest(registry)

    def _quantiles(self) -> list[tuple[float, float]]:
        from hdrh.histogram import HdrHistogram

        histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        for value in self.latencies:
            histogram.record_value(value)
        return [
            (quantile, histogram.get_value_at_percentile(quantile) / US_PER_S)
            for quantile in QUANTILES
        ]

    def _levels(self) -> list[tuple[str, str, float]]:
        board = self.engine.board
        connections = [item for held in board.connections.by_endpoint.values() for item in held]
        busy = sum(1 for item in connections if item.state is ConnectionState.BUSY)
        queues = [*board.queues.reads.values(), *board.queues.writes.values()]
        suspected = sum(1 for item in board.endpoints.by_name.values() if item.suspected)
        return [
            ("revision", "Revision of the configuration.", board.configuration.revision),
            ("fresh", "Whether keyed work is served.", float(board.is_fresh())),
            ("sessions", "Open sessions.", len(board.sessions.by_number)),
            ("connections", "Connections to endpoints.", len(connections)),
            ("busy_connections", "Connections with a statement under way.", busy),
            ("waiting", "Requests that wait for an endpoint.", sum(q.length for q in queues)),
            ("suspected_endpoints", "Endpoints that get no new work.", suspected),
            ("promotions", "Promotions under way.", len(board.groups.promotions)),
        ]
