"""Metrics of one VM in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Iterator

from gentianspread_core.blackboard.requests import Request
from gentianspread_core.engine import Engine
from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)

from .peers import PeerClient

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000
QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """Counts answered requests by workspace and result, and records their latencies."""

    __slots__ = (
        "engine",
        "client",
        "latency",
        "results",
        "replica_reads",
        "primary_reads",
        "registry",
    )

    def __init__(self, engine: Engine, client: PeerClient) -> None:
        self.engine = engine
        self.client = client
        self.latency = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.results: dict[str, dict[str, int]] = {}
        self.replica_reads = 0
        self.primary_reads = 0
        self.registry = CollectorRegistry()
        self.registry.register(self)

    def count(self, request: Request, now: float) -> None:
        """Count an answered request; `now` is the VM's clock in seconds."""
        outcome = request.outcome
        if outcome is None:
            return
        self.latency.record_value(max(MIN_LATENCY_US, int((now - request.arrived_at) * US_PER_S)))
        label = outcome.refusal.code.value if outcome.refusal else "ok"
        counts = self.results.setdefault(request.workspace or "none", {})
        counts[label] = counts.get(label, 0) + 1
        if outcome.refusal is None and request.is_read():
            self._count_read(request)

    def _count_read(self, request: Request) -> None:
        group = self.engine.board.configuration.groups.get(request.group)
        if group is not None and group.primary == request.endpoint:
            self.primary_reads += 1
        else:
            self.replica_reads += 1

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def collect(self) -> Iterator[Metric]:
        """Yield the metric families for the registry."""
        yield self._request_counts()
        yield self._read_counts()
        yield self._latency_summary()
        yield self._event_counts()
        yield self._error_counts()
        yield self._peer_bytes()
        yield from self._gauges()

    def _request_counts(self) -> Metric:
        family = CounterMetricFamily(
            "gentianspread_requests", "Answered requests.", labels=["workspace", "code"]
        )
        for workspace, counts in self.results.items():
            for code, count in counts.items():
                family.add_metric([workspace, code], count)
        return family

    def _read_counts(self) -> Metric:
        family = CounterMetricFamily(
            "gentianspread_reads", "Answered reads by kind of endpoint.", labels=["endpoint"]
        )
        family.add_metric(["replica"], self.replica_reads)
        family.add_metric(["primary"], self.primary_reads)
        return family

    def _latency_summary(self) -> Metric:
        family = SummaryMetricFamily("gentianspread_latency_seconds", "Time to the answer.")
        total = self.latency.get_total_count()
        mean = self.latency.get_mean_value() if total else 0.0
        family.add_metric([], total, mean * total / US_PER_S)
        for quantile in QUANTILES:
            value = self.latency.get_value_at_percentile(quantile) / US_PER_S
            family.add_sample(
                "gentianspread_latency_seconds", {"quantile": f"{quantile / 100:g}"}, value
            )
        return family

    def _event_counts(self) -> Metric:
        family = CounterMetricFamily(
            "gentianspread_events", "Events of the time line.", labels=["kind"]
        )
        for kind, count in self.engine.board.timeline.counts.items():
            family.add_metric([kind.value], count)
        return family

    def _error_counts(self) -> Metric:
        family = CounterMetricFamily(
            "gentianspread_errors", "Errors after which the work went on.", labels=["place"]
        )
        for place, count in self.engine.board.timeline.errors.items():
            family.add_metric([place], count)
        return family

    def _peer_bytes(self) -> Metric:
        family = CounterMetricFamily(
            "gentianspread_peer_bytes",
            "Bytes of the exchanges that this VM began with other VMs.",
            labels=["direction"],
        )
        totals = self.client.traffic.totals()
        family.add_metric(["sent"], totals.sent)
        family.add_metric(["received"], totals.received)
        return family

    def _gauges(self) -> Iterator[Metric]:
        board = self.engine.board
        yield GaugeMetricFamily(
            "gentianspread_revision",
            "Revision of the configuration.",
            value=board.configuration.revision,
        )
        yield GaugeMetricFamily(
            "gentianspread_fresh", "Whether keyed work is served.", value=float(board.is_fresh())
        )
        yield GaugeMetricFamily(
            "gentianspread_open_transactions",
            "Open transactions.",
            value=len(board.transactions.by_name),
        )
        yield GaugeMetricFamily(
            "gentianspread_invariant_breaks",
            "Broken rules.",
            value=sum(self.engine.invariants.violations.values()),
        )
