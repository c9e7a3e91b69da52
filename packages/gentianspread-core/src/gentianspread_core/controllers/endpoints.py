"""Endpoint controller: what this VM knows of each endpoint, and whether it may get work.

An exchange that got no answer leads to a probe on a fresh connection: if it succeeds, only the old
connections are closed; if it fails, the endpoint is suspected.
"""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.configuration import Registration
from ..blackboard.declarations import Declaration
from ..blackboard.endpoints import Endpoint
from ..blackboard.outbox import PoolFlush, ProbeOrder
from ..blackboard.requests import ExchangeStatus, Reply, Request
from ..blackboard.timeline import EventKind
from ..positions import later

LONGEST_SUSPICION_S = 2.0
LAG_SMOOTHING = 0.2
LATENCY_SMOOTHING = 0.1  # share of the newest exchange; follows a change within ten exchanges
RESERVED_CONNECTIONS = 4  # of each endpoint; for probes by the leader, its successor, and checks
PROBE_PURPOSE = "endpoint"
LAGGING_CODE = "LAGGING"
BUSY_CODE = "BUSY"
LATE_SHARE = 0.5  # of the objective; the other half is for waiting here and for another endpoint
WINDOW_DECREASE = 0.7  # usual for a gentle decrease; three of them make a third
BEHIND_S = 0.25  # seconds; a replica that is behind by more is asked four times a second
FULL_S = 0.05  # seconds; the time in which an endpoint's slots finish a few statements
MINIMUM_CONNECTIONS = 1
WATCH_CONNECTIONS = 1
MOST_LOST_IN_A_ROW = 3


class EndpointController:
    """Owns the endpoints section, but for the `in_use` column."""

    __slots__ = ("board",)

    def __init__(self, board: Board) -> None:
        self.board = board

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.CONFIGURATION_CHANGED: self.on_configuration,
            Topic.EXCHANGE_ORDERED: self.on_ordered,
            Topic.EXCHANGE_ENDED: self.on_exchange_ended,
            Topic.PROBE_ENDED: self.on_probe_ended,
            Topic.ENDPOINT_CHECK_DUE: self.on_check_due,
            Topic.ENTRIES_COUNTED: self.on_configuration,
        }

    def on_configuration(self, _entry: int | None) -> None:
        """Take over new endpoints, changed addresses and endpoints that are leaving or gone."""
        members = self.board.configuration.members.values()
        serving = sum(1 for item in members if not item.draining)
        self._forget_gone()
        for registration in self.board.configuration.endpoints.values():
            self._take_over(registration, self._capacity(registration, serving))

    def on_ordered(self, request: Request) -> None:
        """Have one request at a time find out whether an endpoint is still behind."""
        endpoint = self.board.endpoints.by_name.get(request.endpoint or "")
        wanted = getattr(request, "min_position", None)
        if endpoint is None or wanted is None or not endpoint.behind_until:
            return
        if not endpoint.position.reaches(wanted):
            endpoint.behind_until = self.board.clock.now() + BEHIND_S

    def on_exchange_ended(self, request: Request) -> None:
        """Learn from an exchange: position, lag, failures."""
        exchange = request.exchange
        endpoint = self.board.endpoints.by_name.get(request.endpoint or "")
        if exchange is None or exchange.reply is None or endpoint is None:
            return
        reply = exchange.reply
        if reply.status is ExchangeStatus.NOT_SENT:
            self._suspect(endpoint, "connection refused")
        elif reply.status is ExchangeStatus.LOST:
            self._note_lost(endpoint)
        else:
            endpoint.failures = 0
            endpoint.lost_in_a_row = 0
        self._note_refusal(endpoint, reply)
        self._adapt_window(endpoint, request, reply)
        if reply.status in (ExchangeStatus.OK, ExchangeStatus.LOST):
            elapsed = self.board.clock.now() - exchange.sent_at
            endpoint.latency += (elapsed - endpoint.latency) * LATENCY_SMOOTHING
        if reply.status is ExchangeStatus.OK and getattr(request, "min_position", None):
            endpoint.behind_until = 0.0
        if reply.status is ExchangeStatus.OK and reply.position is not None:
            endpoint.position = later(endpoint.position, reply.position)
            if request.is_read():
                endpoint.lag += (reply.age - endpoint.lag) * LAG_SMOOTHING

    def _adapt_window(self, endpoint: Endpoint, request: Request, reply: Reply) -> None:
        """Run fewer statements at once on an endpoint that answers late, and more on others.

        Additive increase, multiplicative decrease; at most one decrease for the statements that
        were under way together.
        """
        exchange, route = request.exchange, getattr(request, "route", None)
        if exchange is None or route is None or reply.code == LAGGING_CODE:
            return
        now = self.board.clock.now()
        is_late = now - exchange.sent_at > LATE_SHARE * route.objective
        if is_late or reply.status is ExchangeStatus.LOST or reply.code == BUSY_CODE:
            if exchange.sent_at >= endpoint.window_cut_at:
                endpoint.window = max(1.0, endpoint.window * WINDOW_DECREASE)
                endpoint.window_cut_at = now
        elif reply.status is ExchangeStatus.OK:
            grown = endpoint.window + 1.0 / endpoint.window
            endpoint.window = min(float(endpoint.capacity), grown)

    def _note_refusal(self, endpoint: Endpoint, reply: Reply) -> None:
        """Learn from a refusal that the endpoint is behind, or has no room."""
        now = self.board.clock.now()
        if reply.code == LAGGING_CODE:
            endpoint.behind_until = now + BEHIND_S
        elif reply.code == BUSY_CODE:
            endpoint.full_until = now + FULL_S

    def on_probe_ended(self, probe: ProbeOrder) -> None:
        """Decide between dead connections and a dead endpoint."""
        endpoint = self.board.endpoints.by_name.get(probe.endpoint)
        if endpoint is None or probe.purpose != PROBE_PURPOSE:
            return
        endpoint.probing = False
        if not probe.alive:
            self._suspect(endpoint, "no answer on a fresh connection")
            return
        now = self.board.clock.now()
        was_suspected = endpoint.suspected
        endpoint.failures = 0
        endpoint.suspected = False
        if was_suspected:
            self.board.timeline.record(EventKind.ENDPOINT_RECOVERED, endpoint.name)
        else:
            self.board.changes.post(Topic.INTENT_POSTED, PoolFlush(endpoint.name, now))
            self.board.timeline.record(
                EventKind.POOL_FLUSHED, endpoint.name, "an exchange was lost, a probe was not"
            )
        self.board.changes.post(Topic.ENDPOINT_CHANGED, endpoint)

    def on_check_due(self, endpoint: Endpoint) -> None:
        """Probe a suspected endpoint again."""
        if endpoint.suspected:
            self._probe(endpoint)

    def _take_over(self, registration: Registration, capacity: int) -> None:
        endpoints = self.board.endpoints
        endpoint = endpoints.by_name.get(registration.name)
        if endpoint is None:
            endpoint = Endpoint(
                registration.name,
                registration.address,
                registration.zone,
                registration.group,
                capacity,
            )
            endpoints.by_name[registration.name] = endpoint
            endpoints.by_group.setdefault(registration.group, []).append(endpoint)
            self.board.changes.post(Topic.ENDPOINT_CHANGED, endpoint)
        if endpoint.leaving and not registration.leaving:
            self.board.changes.post(Topic.ENDPOINT_CHANGED, endpoint)
        if registration.address != endpoint.address:
            endpoint.suspected = False
            endpoint.failures = 0
        endpoint.leaving = registration.leaving
        endpoint.capacity = capacity
        endpoint.address = registration.address

    def _capacity(self, registration: Registration, serving: int) -> int:
        """Return this VM's equal part of the endpoint's connections, less those kept back."""
        declaration = self.board.configuration.declaration
        if declaration is not None:
            return self._declared_capacity(registration.group, declaration)
        part = registration.connections // max(1, serving)
        return max(MINIMUM_CONNECTIONS, part - WATCH_CONNECTIONS)

    def _declared_capacity(self, name: str, declaration: Declaration) -> int:
        entries = max(1, self.board.members.entries)
        for group in declaration.groups:
            if group.name == name:
                part = (group.max_connections - RESERVED_CONNECTIONS) // entries
                return max(MINIMUM_CONNECTIONS, part)
        return MINIMUM_CONNECTIONS

    def _forget_gone(self) -> None:
        """Drop the endpoints that the configuration no longer knows."""
        known = self.board.configuration.endpoints
        endpoints = self.board.endpoints
        for name in [name for name in endpoints.by_name if name not in known]:
            gone = endpoints.by_name.pop(name)
            endpoints.by_group[gone.group].remove(gone)

    def _suspect(self, endpoint: Endpoint, reason: str) -> None:
        now = self.board.clock.now()
        endpoint.failures += 1
        pause = self.board.settings.suspicion * 2 ** min(endpoint.failures - 1, 4)
        if not endpoint.suspected:
            endpoint.suspected_since = now
        endpoint.suspected = True
        due = now + min(LONGEST_SUSPICION_S, pause)
        self.board.changes.post_at(due, Topic.ENDPOINT_CHECK_DUE, endpoint)
        if endpoint.failures == 1:
            self.board.timeline.record(EventKind.ENDPOINT_SUSPECTED, endpoint.name, reason)

    def _note_lost(self, endpoint: Endpoint) -> None:
        """Probe after a lost answer; suspect an endpoint that loses one after the other."""
        endpoint.lost_in_a_row += 1
        if endpoint.lost_in_a_row >= MOST_LOST_IN_A_ROW:
            endpoint.lost_in_a_row = 0
            self._suspect(endpoint, "several answers in a row were lost")
        else:
            self._probe(endpoint)

    def _probe(self, endpoint: Endpoint) -> None:
        if endpoint.probing:
            return
        endpoint.probing = True
        limit = self.board.settings.probe_limit
        order = ProbeOrder(endpoint.name, endpoint.address, limit, PROBE_PURPOSE)
        self.board.changes.post(Topic.INTENT_POSTED, order)
