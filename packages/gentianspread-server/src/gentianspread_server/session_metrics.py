"""Metrics of a VM that serves callers' sessions, in the Prometheus text format.

The histogram and Prometheus libraries are imported when the metrics are first read, so that a VM
whose metrics are never read does not keep them in memory.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from gentianspread_core.blackboard.connections import ConnectionState
from gentianspread_core.blackboard.sessions import StatementCall
from gentianspread_core.engine import Engine

from .resources.process import ProcessResources
from .traffic import TrafficCounters

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

MIN_LATENCY_US = 1  # the smallest value that the histogram can record
MAX_LATENCY_US = 60_000_000  # longer than any deadline
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000
MAX_LATENCY_SAMPLES = 2048  # about the last minute of one VM's statements
MIN_BUILD_INTERVAL_S = 1.0  # building takes milliseconds; collectors read every few seconds
QUANTILES = (50.0, 90.0, 99.0, 99.9)


class SessionMetrics:
    """Counts answered statements by code and keeps their latest latencies, in microseconds."""

    __slots__ = ("engine", "traffic", "resources", "counts", "latencies", "_text", "_built_at")

    def __init__(
        self, engine: Engine, traffic: TrafficCounters, resources: ProcessResources
    ) -> None:
        self.engine = engine
        self.traffic = traffic
        self.resources = resources
        self.counts: dict[str, int] = {}
        self.latencies: deque[int] = deque(maxlen=MAX_LATENCY_SAMPLES)
        self._text = b""
        self._built_at = 0.0

    def count(self, call: StatementCall, now: float) -> None:
        """Count an answered statement; `now` is the VM's clock in seconds."""
        answer = call.answer
        refusal = answer.refusal if answer else None
        label = refusal.code.value if refusal else "ok"
        self.counts[label] = self.counts.get(label, 0) + 1
        self.latencies.append(max(MIN_LATENCY_US, int((now - call.arrived_at) * US_PER_S)))

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format, at most a second old."""
        now = self.engine.board.clock.now()
        if not self._text or now - self._built_at >= MIN_BUILD_INTERVAL_S:
            self._text = self._build_text()
            self._built_at = now
        return self._text

    def _build_text(self) -> bytes:
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
        errors = Counter(
            "gentianspread_errors",
            "Errors after which the work went on.",
            ["place"],
            registry=registry,
        )
        for place, count in self.engine.board.timeline.errors.items():
            errors.labels(place).inc(count)
        violations = Counter(
            "gentianspread_invariant_breaks", "Broken rules.", ["rule"], registry=registry
        )
        for rule, count in self.engine.invariants.violations.items():
            violations.labels(rule).inc(count)
        peer_bytes = Counter(
            "gentianspread_peer_bytes",
            "Bytes of the exchanges that this VM began with other VMs.",
            ["path", "zone", "direction"],
            registry=registry,
        )
        sums = self.traffic.by_purpose_and_zone(self._zones_by_address())
        for (path, zone), counters in sums.items():
            peer_bytes.labels(path, zone, "sent").inc(counters.sent)
            peer_bytes.labels(path, zone, "received").inc(counters.received)
        self._add_resources(registry)
        self._add_overload(registry)
        latency = Gauge(
            "gentianspread_latency_seconds",
            "Time to the answer of the newest statements.",
            ["quantile"],
            registry=registry,
        )
        for quantile, seconds in self._quantiles():
            latency.labels(f"{quantile / 100:g}").set(seconds)
        cold = Counter(
            "gentianspread_cold_requests",
            "Requests to cold endpoints: sent with a token, or not sent for want of one.",
            ["decision"],
            registry=registry,
        )
        cold.labels("passed").inc(self.engine.board.warmups.passed)
        cold.labels("refused").inc(self.engine.board.warmups.refused)
        excluded = Counter(
            "gentianspread_excluded_requests",
            "Requests that were refused because every endpoint was excluded.",
            ["reason"],
            registry=registry,
        )
        for reason, count in self.engine.board.queues.excluded.items():
            excluded.labels(reason).inc(count)
        commits = Counter(
            "gentianspread_commits",
            "Commits that succeeded at an endpoint: withheld, or answered as unknown.",
            ["decision"],
            registry=registry,
        )
        commits.labels("withheld").inc(self.engine.board.groups.withheld_count)
        commits.labels("left_unknown").inc(self.engine.board.groups.left_unknown_count)
        proofs = Counter(
            "gentianspread_promotion_proofs",
            "Decisions after the pauses of a promotion, by what proved that the endpoint has all.",
            ["proof"],
            registry=registry,
        )
        for proof, count in self.engine.board.groups.proof_counts.items():
            proofs.labels(proof.name.lower() if proof is not None else "none").inc(count)
        newer = Counter(
            "gentianspread_newer_key_decisions",
            "Relayed statements whose key was decided by the sender's newer declaration.",
            registry=registry,
        )
        newer.inc(self.engine.board.relays.newer_decisions)
        ignored = Counter(
            "gentianspread_ignored_observations",
            "Answers that seemed to prove a primary, of endpoints not known as the primary.",
            registry=registry,
        )
        ignored.inc(self.engine.board.observations.ignored_count)
        for name, text, value in self._gauges():
            Gauge(f"gentianspread_{name}", text, registry=registry).set(value)
        return generate_latest(registry)

    def _add_resources(self, registry: CollectorRegistry) -> None:
        """Add what limits of resources closed, and the open connections of each port."""
        from prometheus_client import Counter, Gauge

        closed = Counter(
            "gentianspread_peers_closed",
            "Connections refused or closed, and messages refused, at a limit of resources.",
            ["reason", "activity", "port"],
            registry=registry,
        )
        for labels, count in self.resources.report.counts.items():
            closed.labels(*labels).inc(count)
        opened = Gauge(
            "gentianspread_port_connections",
            "Open connections of a port.",
            ["port", "kind"],
            registry=registry,
        )
        for name, port in self.resources.accepted.ports.items():
            opened.labels(name, "open").set(len(port.open))
            opened.labels(name, "trusted").set(len(port.trusted))
            opened.labels(name, "limit").set(port.max_open)

    def _add_overload(self, registry: CollectorRegistry) -> None:
        """Add who waited and who was refused, if requests are scheduled by priority."""
        from prometheus_client import Counter

        board = self.engine.board
        if not board.settings.schedules_by_priority:
            return
        labels = ["priority", "workspace", "zone"]
        waiting_s = Counter(
            "gentianspread_queued_seconds",
            "Time until callers' requests were sent, in all.",
            labels,
            registry=registry,
        )
        sent = Counter(
            "gentianspread_queued", "Callers' requests that were sent.", labels, registry=registry
        )
        for (priority, workspace), counts in board.overload.waits.items():
            waiting_s.labels(priority, workspace, board.settings.zone).inc(counts.seconds)
            sent.labels(priority, workspace, board.settings.zone).inc(counts.requests)
        refused = Counter(
            "gentianspread_refused",
            "Callers' requests that were refused.",
            [*labels, "cause"],
            registry=registry,
        )
        for (priority, workspace, cause), count in board.overload.refusals.items():
            refused.labels(priority, workspace, board.settings.zone, cause).inc(count)

    def _zones_by_address(self) -> dict[str, str]:
        """Return the availability zones of the other VMs by address, as far as they are known."""
        board = self.engine.board
        zones = {item.address: item.zone for item in board.configuration.members.values()}
        for zone, vms in board.homes.by_zone.items():
            zones.update((vm.address, zone) for vm in vms)
        return zones

    def _quantiles(self) -> list[tuple[float, float]]:
        from hdrh.histogram import HdrHistogram

        histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        for value in self.latencies:
            histogram.record_value(value)
        return [
            (quantile, histogram.get_value_at_percentile(quantile) / US_PER_S)
            for quantile in QUANTILES
        ]

    def _cold_count(self) -> float:
        board = self.engine.board
        now = board.clock.now()
        return sum(1 for name in board.warmups.states if board.warmups.is_cold(name, now))

    def _gauges(self) -> list[tuple[str, str, float]]:
        board = self.engine.board
        connections = [item for held in board.connections.by_endpoint.values() for item in held]
        busy = sum(1 for item in connections if item.state is ConnectionState.BUSY)
        queues = [*board.queues.reads.values(), *board.queues.writes.values()]
        suspected = sum(1 for item in board.endpoints.by_name.values() if item.suspected)
        return [
            *self._evacuation_gauges(),
            *self._balancing_gauges(),
            *self._promotion_gauges(),
            ("revision", "Revision of the configuration.", board.configuration.revision),
            ("fresh", "Whether keyed work is served.", float(board.is_fresh())),
            ("sessions", "Open sessions.", len(board.sessions.by_number)),
            ("connections", "Connections to endpoints.", len(connections)),
            ("busy_connections", "Connections with a statement under way.", busy),
            ("waiting", "Requests that wait for an endpoint.", sum(q.length for q in queues)),
            ("suspected_endpoints", "Endpoints that get no new work.", suspected),
            ("cold_endpoints", "Cold endpoints with a limit of requests.", self._cold_count()),
            ("promotions", "Promotions under way.", len(board.groups.promotions)),
            ("peer_bytes_held", "Bytes charged for peers.", self.resources.budget.charged_bytes),
            ("peer_bytes_limit", "The memory budget.", self.resources.budget.limit_bytes),
        ]

    def _promotion_gauges(self) -> list[tuple[str, str, float]]:
        """Return what this VM knows of promotions, and the commits that wait for them."""
        board = self.engine.board
        withheld = [item for items in board.groups.withheld.values() for item in items]
        groups = board.configuration.groups.values()
        return [
            (
                "withheld_commits",
                "Commits that succeeded at an endpoint and whose answer waits.",
                sum(1 for request in withheld if request.outcome is None),
            ),
            (
                "groups_in_promotion",
                "Groups with a promotion under way, as this VM knows.",
                sum(1 for group in groups if group.granted_term != group.term),
            ),
        ]

    def _evacuation_gauges(self) -> list[tuple[str, str, float]]:
        board = self.engine.board
        if not board.settings.evacuation_timeout_s:
            return []
        evacuations = board.evacuations
        return [
            ("evacuated_zones", "Zones whose evacuation is in force.", len(evacuations.by_zone)),
            (
                "evacuation_ended_transactions",
                "Transactions that evacuations have ended.",
                evacuations.ended_transactions,
            ),
            (
                "evacuation_refused_requests",
                "Requests refused as no endpoint outside evacuated zones can serve them.",
                evacuations.refused_requests,
            ),
        ]

    def _balancing_gauges(self) -> list[tuple[str, str, float]]:
        """Return the gauges of load balancing, none where loads are not reported."""
        board = self.engine.board
        if not board.loads.is_reported:
            return []
        outliers, now = board.outliers, board.clock.now()
        endpoints = sum(1 for name in outliers.ejections if outliers.share_of(name) < 1.0)
        homes = sum(1 for name in outliers.ejected_homes if outliers.is_home_ejected(name, now))
        return [
            ("ejected_endpoints", "Endpoints with a reduced share of new work.", endpoints),
            ("ejected_homes", "Home VMs that others are preferred to.", homes),
            ("load_migrations", "Requests moved because of the load.", board.loads.migrations),
            (
                "load_age_seconds",
                "Age of the load information that last moved a request.",
                board.loads.decided_age_s,
            ),
        ]
