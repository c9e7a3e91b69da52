"""Endpoint controller: what this VM knows of each endpoint, and whether it may get work.

An exchange that got no answer leads to a probe on a fresh connection: if it succeeds, only the old
connections are closed; if it fails, the endpoint is suspected.
"""

from __future__ import annotations

import math
from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.configuration import Registration
from ..blackboard.declarations import Declaration
from ..blackboard.endpoints import Endpoint
from ..blackboard.outbox import PoolFlush, ProbeOrder
from ..blackboard.requests import Exchange, ExchangeStatus, Reply, Request
from ..blackboard.sessions import SessionExchange
from ..blackboard.timeline import EventKind
from ..errors import ErrorCode
from ..positions import max_position

LONGEST_SUSPICION_S = 2.0
LAG_SMOOTHING = 0.2
LATENCY_SMOOTHING = 0.1  # share of the newest exchange; follows a change within ten exchanges
RESERVED_CONNECTIONS = 4  # of each endpoint; for probes by the leader, its successor, and checks
PROBE_PURPOSE = "endpoint"
LAGGING_CODE = "LAGGING"
CROWDED_CODE = "CONNLIMIT"
CROWDED_S = 0.5  # seconds; endpoints forget the connections of a VM without power after three
FULL_CODES = frozenset({"BUSY", ErrorCode.OVERLOADED.value})
IN_FLIGHT_PER_SLOT = 6  # statements; five wait for each that runs, most end in the objective
HOMES_SHARE = 0.8  # of an endpoint's connections; the rest is for VMs that reach none of its homes
LATE_SHARE = 0.5  # of the objective; the other half is for waiting here and for another endpoint
WINDOW_DECREASE = 0.7  # usual for a gentle decrease; three of them make a third
BEHIND_S = 0.25  # seconds; a replica that is behind by more is asked four times a second
FULL_S = 0.05  # seconds; the time in which an endpoint's slots finish a few statements
MINIMUM_CONNECTIONS = 1
WATCH_CONNECTIONS = 1
MOST_LOST_IN_A_ROW = 3


def _is_handed_over(exchange: Exchange) -> bool:
    """Tell whether another VM carried out an exchange."""
    return isinstance(exchange, SessionExchange) and exchange.connection.home is not None


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
            Topic.HOMES_CHANGED: self.on_configuration,
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
        now = self.board.clock.now()
        if now >= endpoint.behind_until and not endpoint.position.reaches(wanted):
            endpoint.behind_until = now + BEHIND_S

    def on_exchange_ended(self, request: Request) -> None:
        """Learn from an exchange: position, lag, failures."""
        exchange = request.exchange
        endpoint = self.board.endpoints.by_name.get(request.endpoint or "")
        if exchange is None or exchange.reply is None or endpoint is None:
            return
        reply = exchange.reply
        if _is_handed_over(exchange):
            self._note_handed_over(endpoint, reply)
        elif reply.status is ExchangeStatus.NOT_SENT:
            self._suspect(endpoint, "connection refused")
        elif reply.status is ExchangeStatus.LOST:
            self._note_lost(endpoint)
        else:
            endpoint.failures = 0
            endpoint.lost_in_a_row = 0
        self._note_lag(endpoint, exchange, reply)
        self._note_refusal(endpoint, reply)
        self._adapt_window(endpoint, request, reply)
        if reply.status in (ExchangeStatus.OK, ExchangeStatus.LOST):
            elapsed = self.board.clock.now() - exchange.sent_at
            endpoint.latency += (elapsed - endpoint.latency) * LATENCY_SMOOTHING
        if reply.status is ExchangeStatus.OK and reply.position is not None:
            endpoint.position = max_position(endpoint.position, reply.position)
            if request.is_read():
                endpoint.lag += (reply.age - endpoint.lag) * LAG_SMOOTHING

    def _note_handed_over(self, endpoint: Endpoint, reply: Reply) -> None:
        """Suspect an endpoint that its home cannot reach, until the next use."""
        if getattr(reply, "home_failed", False):
            return
        is_away = reply.code == ErrorCode.NO_ENDPOINT.value
        if is_away or reply.status is ExchangeStatus.NOT_SENT:
            endpoint.checks_by_use = True
            self._suspect(endpoint, "its home does not reach it")
        elif reply.status is not ExchangeStatus.LOST:
            endpoint.failures = 0

    def _adapt_window(self, endpoint: Endpoint, request: Request, reply: Reply) -> None:
        """Run fewer statements at once on an endpoint that answers late, and more on others.

        Additive increase, multiplicative decrease; at most one decrease for the statements that
        were under way together.
        """
        exchange, route = request.exchange, getattr(request, "route", None)
        if exchange is None or route is None or reply.code == LAGGING_CODE:
            return
        now = self.board.clock.now()
        window = endpoint.relay_window if _is_handed_over(exchange) else endpoint.window
        is_late = now - exchange.sent_at > LATE_SHARE * route.objective
        if is_late or reply.status is ExchangeStatus.LOST or reply.code in FULL_CODES:
            window.lower(WINDOW_DECREASE, exchange.sent_at, now)
        elif reply.status is ExchangeStatus.OK:
            window.raise_once()

    def _note_lag(self, endpoint: Endpoint, exchange: Exchange, reply: Reply) -> None:
        """Learn how far a replica's log is behind from the position that it told."""
        known = self.board.configuration.groups.get(endpoint.group)
        if reply.position is None or known is None or known.primary == endpoint.name:
            return
        passed_at = self.board.observations.passed_at(endpoint.group, reply.position)
        if passed_at is None:
            endpoint.apply_lag = endpoint.behind_until = 0.0
        else:
            endpoint.apply_lag = max(0.0, exchange.sent_at - passed_at)
            endpoint.behind_until = self.board.clock.now() + BEHIND_S

    def _note_refusal(self, endpoint: Endpoint, reply: Reply) -> None:
        """Learn from a refusal that the endpoint is behind, or has no room."""
        now = self.board.clock.now()
        if reply.code == LAGGING_CODE:
            endpoint.behind_until = now + BEHIND_S
            if reply.position is None:
                endpoint.apply_lag = math.inf
        elif reply.code == CROWDED_CODE:
            endpoint.crowded_until = now + CROWDED_S
        elif reply.code in FULL_CODES:
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
        if endpoint.suspected and endpoint.checks_by_use:
            endpoint.suspected = False
            self.board.changes.post(Topic.ENDPOINT_CHANGED, endpoint)
        elif endpoint.suspected:
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
        endpoint.slots = registration.slots
        endpoint.capacity = capacity
        endpoint.window.set_limit(self._window_limit(registration, capacity))
        endpoint.address = registration.address

    def _capacity(self, registration: Registration, serving: int) -> int:
        """Return this VM's equal part of the endpoint's connections, less those kept back."""
        declaration = self.board.configuration.declaration
        if declaration is not None:
            return self._declared_capacity(registration, declaration)
        part = registration.connections // max(1, serving)
        return max(MINIMUM_CONNECTIONS, part - WATCH_CONNECTIONS)

    def _declared_capacity(self, registration: Registration, declaration: Declaration) -> int:
        """Return this VM's part: a large one of the endpoints that it is a home of."""
        group = next((item for item in declaration.groups if item.name == registration.group), None)
        if group is None:
            return MINIMUM_CONNECTIONS
        most = group.max_connections - RESERVED_CONNECTIONS
        homes = self.board.homes.of_endpoint(
            registration.name, registration.zone, registration.slots
        )
        if not homes:
            return max(MINIMUM_CONNECTIONS, most // max(1, self.board.members.entries))
        if any(vm.name == self.board.settings.member for vm in homes):
            return max(MINIMUM_CONNECTIONS, int(HOMES_SHARE * most) // len(homes))
        return MINIMUM_CONNECTIONS

    def _window_limit(self, registration: Registration, capacity: int) -> float:
        """Return how many statements to run at once, so that all homes together fill the queue."""
        homes = self.board.homes.of_endpoint(
            registration.name, registration.zone, registration.slots
        )
        if not homes:
            return float(capacity)
        part = IN_FLIGHT_PER_SLOT * registration.slots / len(homes)
        return max(1.0, min(float(capacity), part))

    def _forget_gone(self) -> None:
        """Drop the endpoints that the configuration no longer knows."""
        known = self.board.configuration.endpoints
        endpoints = self.board.endpoints
        for name in [name for name in endpoints.by_name if name not in known]:
            gone = endpoints.by_name.pop(name)
            endpoints.by_group[gone.group].remove(gone)

    def _suspect(self, endpoint: Endpoint, reason: str) -> None:
        now = self.board.clock.now()
        if endpoint.failures == 0:
            endpoint.suspected_since = now
        endpoint.failures += 1
        pause = self.board.settings.min_suspicion_s * 2 ** min(endpoint.failures - 1, 4)
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
        endpoint.checks_by_use = False
        limit = self.board.settings.probe_timeout_s
        order = ProbeOrder(endpoint.name, endpoint.address, limit, PROBE_PURPOSE)
        self.board.changes.post(Topic.INTENT_POSTED, order)
