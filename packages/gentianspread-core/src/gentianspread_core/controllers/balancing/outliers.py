"""Outlier controller: ejects endpoints and home VMs that are slower or fail more than their peers.

An ejected endpoint gets single statements as probes. After a probe succeeds it gets new work in
steps. The state is exchanged with the load reports; see `blackboard.outliers`.
"""

from __future__ import annotations

import statistics
from typing import Any

from ...blackboard import Board, Topic
from ...blackboard.endpoints import Endpoint
from ...blackboard.outliers import Ejection, ExchangeStatistics
from ...blackboard.relays import RelayedStatement
from ...blackboard.requests import ExchangeStatus
from ...blackboard.sessions import SessionExchange, SessionReply, SessionRequest
from ...blackboard.timeline import EventKind
from ...interfaces import LoadEstimator, Randomness

MIN_RESULTS = 5.0  # fewer exchanges within the window of the statistics prove nothing
MIN_FAILURE_SHARE = 0.3  # two attempts in a row then fail more often than callers accept
MAX_PEER_RATIO = 3.0  # of failure shares and of service times; a primary also commits writes
SLOW_MARGIN_S = 0.03  # a shorter delay costs callers less than moving the work does
MAX_EJECTED_SHARE = 0.5  # of a group's endpoints, rounded down; the others must carry the load
RECOVERY_SHARES = (0.0, 0.25, 0.5, 1.0)  # of the usual work, one step for each good reply
STEP_S = 0.5  # between steps; with 100 statements a second a step is judged by dozens
EJECTION_S = 0.5  # before the first probe, for each ejection in a row
MAX_EJECTION_COUNT = 4  # callers get a recovered endpoint back within a few seconds
PROBES_PER_S = 2.0  # of the whole fleet to one endpoint; each may cost a caller a retry
MAX_STATE_AGE_S = 10.0  # a state that no VM has confirmed for so long has no effect
HOME_EJECTION_S = 2.0  # a VM that is short of processor time is checked again after it
UNSENT_CODES = frozenset({"LAGGING", "READONLY", "WRONGNODE"})  # say nothing of health


class OutlierController:
    """Owns the outliers section."""

    __slots__ = ("board", "estimator", "randomness")

    def __init__(self, board: Board, estimator: LoadEstimator, randomness: Randomness) -> None:
        self.board = board
        self.estimator = estimator
        self.randomness = randomness

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.EXCHANGE_SCHEDULED: self.on_exchange_scheduled,
            Topic.EXCHANGE_ENDED: self.on_exchange_ended,
            Topic.RELAY_RECEIVED: self.on_relay_received,
            Topic.HOMES_CHANGED: self.on_homes,
        }

    def on_exchange_scheduled(self, request: SessionRequest) -> None:
        """Delay this VM's next probe of an ejected endpoint; tell a home VM of the ejections."""
        exchange, now = request.exchange, self.board.clock.now()
        if isinstance(exchange, SessionExchange) and exchange.connection.home is not None:
            exchange.outliers = self.board.outliers.to_record(now)
        ejection = self.board.outliers.ejections.get(request.endpoint or "")
        if ejection is not None and request.relayed_statement is None:
            self._schedule_probe(ejection)

    def on_homes(self, _entry: None) -> None:
        """Forget removed home VMs and endpoints, and everything where loads are not reported."""
        outliers = self.board.outliers
        is_reported = self.board.loads.is_reported
        vms = {vm.name for listed in self.board.homes.by_zone.values() for vm in listed}
        endpoints = set(self.board.endpoints.by_name)
        for items, known in (
            (outliers.homes, vms),
            (outliers.ejected_homes, vms),
            (outliers.endpoints, endpoints),
            (outliers.ejections, endpoints),
        ):
            for name in [name for name in items if not is_reported or name not in known]:
                del items[name]

    def on_relay_received(self, relayed: RelayedStatement) -> None:
        """Adopt the states that came with another VM's statement."""
        if self.board.loads.is_reported and relayed.outliers:
            self._merge(relayed.outliers, self.board.clock.now())

    def on_exchange_ended(self, request: SessionRequest) -> None:
        """Learn from a reply: what the home VM reports, and how the endpoint served it."""
        exchange = request.exchange
        if not self.board.loads.is_reported or not isinstance(exchange, SessionExchange):
            return
        reply = exchange.reply
        endpoint = self.board.endpoints.by_name.get(exchange.endpoint)
        if not isinstance(reply, SessionReply) or endpoint is None:
            return
        now = self.board.clock.now()
        if reply.outliers:
            self._merge(reply.outliers, now)
        self._expire(now)
        is_failure = _is_failure(reply)
        if is_failure is None:
            return
        wait_s = float(reply.load[2]) if reply.load else 0.0
        latency_s = max(0.0, now - exchange.sent_at - wait_s)
        self._add(self.board.outliers.endpoints, endpoint.name, is_failure, latency_s)
        if self.board.outliers.share_of(endpoint.name) < 1.0:
            self._judge_probe(endpoint, is_failure, latency_s, exchange.sent_at)
        else:
            self._judge(endpoint)
        if exchange.connection.home is not None and reply.load and not is_failure:
            delay_s = max(0.0, latency_s - float(reply.load[3]))
            self._judge_home(endpoint, exchange.connection.home.name, delay_s, now)

    def _judge(self, endpoint: Endpoint) -> None:
        """Eject an endpoint that is an outlier, within the bound on the share ejected."""
        reason = self._reason(endpoint)
        if not reason or not self._may_eject(endpoint):
            return
        previous = self.board.outliers.ejections.get(endpoint.name)
        version = previous.version + 1 if previous else 1
        count = min(MAX_EJECTION_COUNT, previous.count + 1) if previous else 1
        self.board.timeline.record(
            EventKind.ENDPOINT_EJECTED, endpoint.name, reason, **self._inputs(endpoint)
        )
        self._replace(endpoint.name, Ejection(0.0, version, self.board.clock.now(), count))

    def _may_eject(self, endpoint: Endpoint) -> bool:
        """Return whether one more endpoint of the group may be ejected."""
        group = self.board.endpoints.by_group.get(endpoint.group, [])
        ejected = sum(
            1
            for peer in group
            if peer is not endpoint and self.board.outliers.share_of(peer.name) < 1.0
        )
        return ejected + 1 <= int(MAX_EJECTED_SHARE * len(group))

    def _reason(self, endpoint: Endpoint) -> str:
        """Return why an endpoint is an outlier among its peers, or an empty text."""
        known = self.board.outliers.endpoints
        own = known[endpoint.name]
        if own.results < MIN_RESULTS:
            return ""
        peers = self._peers(endpoint)
        if not peers:
            return ""
        shares = [known[peer.name].failure_share() for peer in peers if peer.name in known]
        peer_share = statistics.median(shares) if shares else 0.0
        if own.failure_share() >= max(MIN_FAILURE_SHARE, MAX_PEER_RATIO * peer_share):
            return "more of its statements fail than of its peers'"
        limit_s = self._slow_limit_s(peers)
        if limit_s is not None and self.estimator.service_s(endpoint) > limit_s:
            return "its statements take longer than its peers'"
        return ""

    def _slow_limit_s(self, peers: list[Endpoint]) -> float | None:
        """Return the service time above which an endpoint is slow, none if no peer is known."""
        known = self.board.outliers.endpoints
        times = [
            self.estimator.service_s(peer)
            for peer in peers
            if self.estimator.age_s(peer) is not None or peer.name in known
        ]
        return MAX_PEER_RATIO * statistics.median(times) + SLOW_MARGIN_S if times else None

    def _judge_probe(
        self, endpoint: Endpoint, is_failure: bool, latency_s: float, sent_at: float
    ) -> None:
        """Continue or end an ejection by the reply to a statement sent since it was decided."""
        ejection = self.board.outliers.ejections[endpoint.name]
        if sent_at < ejection.changed_at:
            return
        now = self.board.clock.now()
        if is_failure or self._is_slow_reply(endpoint, ejection, latency_s):
            count = ejection.count + (1 if ejection.share else 0)
            count = min(MAX_EJECTION_COUNT, count)
            self._replace(endpoint.name, Ejection(0.0, ejection.version + 1, now, count))
        elif now - ejection.changed_at >= STEP_S:
            share = next(item for item in RECOVERY_SHARES if item > ejection.share)
            recovered = Ejection(share, ejection.version + 1, now, ejection.count)
            self._replace(endpoint.name, recovered)
            self.board.timeline.record(
                EventKind.ENDPOINT_READMITTED,
                endpoint.name,
                "a statement succeeded in time",
                share=share,
                **self._inputs(endpoint),
            )

    def _is_slow_reply(self, endpoint: Endpoint, ejection: Ejection, latency_s: float) -> bool:
        """Return whether an endpoint in recovery is still slow.

        A probe runs without a wait. Later replies may have waited for a slot and are judged by the
        time without it.
        """
        if ejection.share > 0.0:
            return bool(self._reason(endpoint))
        limit_s = self._slow_limit_s(self._peers(endpoint))
        return limit_s is not None and latency_s > limit_s

    def _peers(self, endpoint: Endpoint) -> list[Endpoint]:
        group = self.board.endpoints.by_group.get(endpoint.group, ())
        return [peer for peer in group if peer is not endpoint and peer.is_usable()]

    def _merge(self, record: dict[str, Any], now: float) -> None:
        """Adopt newer states that another VM has reported."""
        outliers = self.board.outliers
        try:
            states = {name: Ejection.from_record(item, now) for name, item in record.items()}
        except (AttributeError, TypeError, ValueError) as error:
            self.board.timeline.record_error("outliers", error)
            return
        for name, reported in states.items():
            if name not in self.board.endpoints.by_name:
                continue
            if _is_expired(reported, now):
                continue
            if reported.share < 1.0 and not self._may_eject(self.board.endpoints.by_name[name]):
                continue
            if reported.is_newer_than(outliers.ejections.get(name)):
                self._replace(name, reported)

    def _replace(self, name: str, ejection: Ejection) -> None:
        """Apply a state; what was measured before it does not count any more."""
        outliers = self.board.outliers
        outliers.ejections[name] = ejection
        outliers.endpoints.pop(name, None)
        earliest = ejection.changed_at + EJECTION_S * ejection.count
        ejection.probe_at = earliest + self.randomness.uniform(0.0, self._probe_interval_s())
        endpoint = self.board.endpoints.by_name.get(name)
        if endpoint is not None:
            self.board.changes.post(Topic.ENDPOINT_CHANGED, endpoint)

    def _schedule_probe(self, ejection: Ejection) -> None:
        interval_s = self._probe_interval_s()
        jitter_s = self.randomness.uniform(0.5 * interval_s, 1.5 * interval_s)
        ejection.probe_at = self.board.clock.now() + jitter_s

    def _probe_interval_s(self) -> float:
        """Return the interval of one VM's probes that gives `PROBES_PER_S` over the fleet."""
        serving = sum(len(vms) for vms in self.board.homes.by_zone.values())
        return max(1, serving) / PROBES_PER_S

    def _expire(self, now: float) -> None:
        ejections = self.board.outliers.ejections
        for name in [name for name, item in ejections.items() if _is_expired(item, now)]:
            del ejections[name]

    def _judge_home(self, endpoint: Endpoint, name: str, delay_s: float, now: float) -> None:
        """Prefer other home VMs to one whose own part of the latency is longer than its peers'."""
        outliers = self.board.outliers
        own = self._add(outliers.homes, name, False, delay_s)
        homes = self.board.homes.of_endpoint(endpoint.name, endpoint.zone, endpoint.slots)
        peers = [peer for peer in outliers.homes if peer != name]
        if own.results < MIN_RESULTS or not peers or outliers.is_home_ejected(name, now):
            return
        ejected = sum(1 for vm in homes if outliers.is_home_ejected(vm.name, now))
        if ejected + 1 > int(MAX_EJECTED_SHARE * len(homes)):
            return
        median_s = statistics.median(outliers.homes[peer].latency_s for peer in peers)
        if own.latency_s > MAX_PEER_RATIO * median_s + SLOW_MARGIN_S:
            outliers.ejected_homes[name] = now + HOME_EJECTION_S
            del outliers.homes[name]
            self.board.timeline.record(
                EventKind.HOME_EJECTED,
                name,
                "its relayed statements are delayed longer than its peers'",
                delay_ms=round(own.latency_s * 1000),
                peers_ms=round(median_s * 1000),
            )

    def _add(
        self,
        known: dict[str, ExchangeStatistics],
        name: str,
        is_failure: bool,
        latency_s: float,
    ) -> ExchangeStatistics:
        item = known.setdefault(name, ExchangeStatistics())
        item.add(is_failure, latency_s, self.board.clock.now())
        return item

    def _inputs(self, endpoint: Endpoint) -> dict[str, Any]:
        """Return what a decision on an endpoint rests on, for its log line."""
        known = self.board.outliers.endpoints.get(endpoint.name)
        age_s = self.estimator.age_s(endpoint)
        return {
            "failure_share": round(known.failure_share(), 2) if known else None,
            "results": round(known.results) if known else None,
            "service_ms": round(self.estimator.service_s(endpoint) * 1000),
            "load_age_ms": None if age_s is None else round(age_s * 1000),
        }


def _is_failure(reply: SessionReply) -> bool | None:
    """Return whether the endpoint failed a statement; none if the reply says nothing of it."""
    if reply.home_failed or reply.status is ExchangeStatus.REFUSED or reply.code in UNSENT_CODES:
        return None
    return reply.status is not ExchangeStatus.OK


def _is_expired(ejection: Ejection, now: float) -> bool:
    return now - ejection.changed_at > MAX_STATE_AGE_S
