"""Endpoint controller: health, lag, load and capacity of each endpoint as this VM sees them.

After an exchange without a reply the endpoint is probed on a fresh connection: if the probe
succeeds, only the old connections are closed; if it fails, the endpoint is suspected.
"""

from __future__ import annotations

import math
from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.declarations import Declaration
from ..blackboard.endpoints import Endpoint
from ..blackboard.outbox import EndpointProbe, PoolFlush
from ..blackboard.registrations import Registration
from ..blackboard.requests import Exchange, ExchangeStatus, Reply, Request
from ..blackboard.sessions import SessionExchange
from ..blackboard.timeline import EventKind
from ..errors import ErrorCode
from ..interfaces import ConcurrencyLimit
from ..positions import max_position
from .admission import LateReplyLimit
from .admission.concurrency import LAGGING_CODE, OVERLOAD_CODES

MAX_PROBE_BACKOFF_S = 2.0
LAG_SMOOTHING_FACTOR = 0.2
LATENCY_SMOOTHING_FACTOR = 0.1  # weight of the newest exchange; adapts within ten exchanges
RESERVED_CONNECTIONS = 4  # of each endpoint; for probes by the leader, its successor, and checks
PROBE_PURPOSE = "endpoint"
CONNECTION_LIMIT_CODE = "CONNLIMIT"
CONNECTION_LIMIT_BACKOFF_S = 0.5  # endpoints drop connections of a VM without power after 3 s
MAX_IN_FLIGHT_PER_SLOT = 6  # statements; with five queued per running one most meet the objective
HOME_CONNECTIONS_FRACTION = 0.8  # of an endpoint's; the rest is for VMs that reach no home
LAG_RECHECK_INTERVAL_S = 0.25  # a replica that is behind for longer gets four requests a second
OVERLOAD_BACKOFF_S = 0.05  # an endpoint's slots finish a few statements in this time
MIN_CONNECTIONS = 1
RESERVED_WATCH_CONNECTIONS = 1
MAX_CONSECUTIVE_LOST = 3


def _is_relayed(exchange: Exchange) -> bool:
    """Return whether an exchange was relayed to another VM."""
    return isinstance(exchange, SessionExchange) and exchange.connection.home is not None


class EndpointController:
    """Owns the endpoints section, except for the `in_use` field."""

    __slots__ = ("board", "limit")

    def __init__(self, board: Board, limit: ConcurrencyLimit | None = None) -> None:
        self.board = board
        self.limit = limit or LateReplyLimit(board)

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.CONFIGURATION_CHANGED: self.on_configuration,
            Topic.EXCHANGE_SCHEDULED: self.on_exchange_scheduled,
            Topic.EXCHANGE_ENDED: self.on_exchange_ended,
            Topic.PROBE_ENDED: self.on_probe_ended,
            Topic.ENDPOINT_CHECK_DUE: self.on_check_due,
            Topic.ENTRY_VMS_COUNTED: self.on_configuration,
            Topic.HOMES_CHANGED: self.on_configuration,
        }

    def on_configuration(self, _entry: int | None) -> None:
        """Apply the registrations: add, update and remove endpoints."""
        members = self.board.configuration.members.values()
        serving = sum(1 for item in members if not item.draining)
        self._remove_unregistered()
        for registration in self.board.configuration.endpoints.values():
            self._apply_registration(registration, self._capacity(registration, serving))

    def on_exchange_scheduled(self, request: Request) -> None:
        """Let one request at a time check whether a lagging endpoint has caught up."""
        endpoint = self.board.endpoints.by_name.get(request.endpoint or "")
        required_position = getattr(request, "min_position", None)
        if endpoint is None or required_position is None or not endpoint.lagging_until:
            return
        now = self.board.clock.now()
        if now >= endpoint.lagging_until and not endpoint.position.reaches(required_position):
            endpoint.lagging_until = now + LAG_RECHECK_INTERVAL_S

    def on_exchange_ended(self, request: Request) -> None:
        """Update the endpoint's position, lag, latency, load window and failures."""
        exchange = request.exchange
        endpoint = self.board.endpoints.by_name.get(request.endpoint or "")
        if exchange is None or exchange.reply is None or endpoint is None:
            return
        reply = exchange.reply
        if _is_relayed(exchange):
            self._update_from_relay(endpoint, reply)
        elif reply.status is ExchangeStatus.NOT_SENT:
            endpoint.uses_passive_checks = False
            self._suspect(endpoint, "connection refused")
        elif reply.status is ExchangeStatus.LOST:
            self._handle_lost_reply(endpoint)
        else:
            endpoint.failures = 0
            endpoint.consecutive_losses = 0
        self._update_lag(endpoint, exchange, reply)
        self._update_from_refusal(endpoint, reply)
        self.limit.adapt(endpoint, request, reply)
        if reply.status in (ExchangeStatus.OK, ExchangeStatus.LOST):
            elapsed = self.board.clock.now() - exchange.sent_at
            endpoint.latency += (elapsed - endpoint.latency) * LATENCY_SMOOTHING_FACTOR
        if reply.status is ExchangeStatus.OK and reply.position is not None:
            endpoint.position = max_position(endpoint.position, reply.position)
            if request.is_read():
                endpoint.lag += (reply.age - endpoint.lag) * LAG_SMOOTHING_FACTOR

    def _update_from_relay(self, endpoint: Endpoint, reply: Reply) -> None:
        """Suspect an endpoint that its home VM cannot reach; the next relayed use checks it.

        A suspicion from this VM's own exchanges stays, and ends by a probe.
        """
        is_suspected_here = endpoint.suspected and not endpoint.uses_passive_checks
        if getattr(reply, "home_failed", False) or is_suspected_here:
            return
        is_unreachable = reply.code == ErrorCode.NO_ENDPOINT.value
        if is_unreachable or reply.status is ExchangeStatus.NOT_SENT:
            endpoint.uses_passive_checks = True
            self._suspect(endpoint, "its home VM cannot reach it")
        elif reply.status is not ExchangeStatus.LOST:
            endpoint.failures = 0

    def _update_lag(self, endpoint: Endpoint, exchange: Exchange, reply: Reply) -> None:
        """Update the lag of a replica's log from the position in its reply."""
        group = self.board.configuration.groups.get(endpoint.group)
        if reply.position is None or group is None or group.primary == endpoint.name:
            return
        passed_at = self.board.observations.passed_at(endpoint.group, reply.position)
        if passed_at is None:
            endpoint.apply_lag = endpoint.lagging_until = 0.0
        else:
            endpoint.apply_lag = max(0.0, exchange.sent_at - passed_at)
            endpoint.lagging_until = self.board.clock.now() + LAG_RECHECK_INTERVAL_S

    def _update_from_refusal(self, endpoint: Endpoint, reply: Reply) -> None:
        """Update lag, connection limit and overload of the endpoint from the code of a refusal."""
        now = self.board.clock.now()
        if getattr(reply, "cold_s", None) is not None:
            return
        if reply.code == LAGGING_CODE:
            endpoint.lagging_until = now + LAG_RECHECK_INTERVAL_S
            if reply.position is None:
                endpoint.apply_lag = math.inf
        elif reply.code == CONNECTION_LIMIT_CODE:
            endpoint.connection_limit_until = now + CONNECTION_LIMIT_BACKOFF_S
        elif reply.code in OVERLOAD_CODES:
            endpoint.busy_until = now + OVERLOAD_BACKOFF_S

    def on_probe_ended(self, probe: EndpointProbe) -> None:
        """Suspect an endpoint whose probe failed; else end its backoff or close old connections."""
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
                EventKind.POOL_FLUSHED, endpoint.name, "an exchange was lost, a probe succeeded"
            )
        self.board.changes.post(Topic.ENDPOINT_CHANGED, endpoint)

    def on_check_due(self, endpoint: Endpoint) -> None:
        """Probe a suspected endpoint again, or end its backoff if its next use checks it."""
        if endpoint.suspected and endpoint.uses_passive_checks:
            endpoint.suspected = False
            self.board.changes.post(Topic.ENDPOINT_CHANGED, endpoint)
        elif endpoint.suspected:
            self._probe(endpoint)

    def _apply_registration(self, registration: Registration, capacity: int) -> None:
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
            if self.limit.starts_low:
                endpoint.window.size = 1.0
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
        limit = self._window_limit(registration, capacity)
        endpoint.window.set_limit(limit, keeps_size=self.limit.starts_low)
        endpoint.address = registration.address

    def _capacity(self, registration: Registration, serving: int) -> int:
        """Return this VM's equal share of the endpoint's connections, without the reserved ones."""
        declaration = self.board.configuration.declaration
        if declaration is not None:
            return self._declared_capacity(registration, declaration)
        share = registration.connections // max(1, serving)
        return max(MIN_CONNECTIONS, share - RESERVED_WATCH_CONNECTIONS)

    def _declared_capacity(self, registration: Registration, declaration: Declaration) -> int:
        """Return this VM's share of the endpoint's connections; most of them go to its homes."""
        group = next((item for item in declaration.groups if item.name == registration.group), None)
        if group is None:
            return MIN_CONNECTIONS
        usable = group.max_connections - RESERVED_CONNECTIONS
        homes = self.board.homes.of_endpoint(
            registration.name, registration.zone, registration.slots
        )
        if not homes:
            return max(MIN_CONNECTIONS, usable // max(1, self.board.members.entry_vm_count))
        if any(vm.name == self.board.settings.member for vm in homes):
            share = self.board.homes.work_share(homes, self.board.settings.member)
            return max(MIN_CONNECTIONS, math.floor(HOME_CONNECTIONS_FRACTION * usable * share))
        return MIN_CONNECTIONS

    def _window_limit(self, registration: Registration, capacity: int) -> float:
        """Return the concurrency limit at which all homes together fill the endpoint's queue."""
        homes = self.board.homes.of_endpoint(
            registration.name, registration.zone, registration.slots
        )
        if not homes:
            return float(capacity)
        part = self.board.homes.work_share(homes, self.board.settings.member)
        share = MAX_IN_FLIGHT_PER_SLOT * registration.slots * part
        if self.limit.starts_low:
            # The limit adapts to the endpoint's queue, so one busy home may fill all slots.
            share = max(share, float(registration.slots))
        return max(1.0, min(float(capacity), share))

    def _remove_unregistered(self) -> None:
        """Remove the endpoints that are no longer in the configuration."""
        known = self.board.configuration.endpoints
        endpoints = self.board.endpoints
        for name in [name for name in endpoints.by_name if name not in known]:
            removed = endpoints.by_name.pop(name)
            endpoints.by_group[removed.group].remove(removed)

    def _suspect(self, endpoint: Endpoint, reason: str) -> None:
        now = self.board.clock.now()
        if endpoint.failures == 0:
            endpoint.suspected_since = now
        endpoint.failures += 1
        backoff = self.board.settings.initial_backoff_s * 2 ** min(endpoint.failures - 1, 4)
        endpoint.suspected = True
        due = now + min(MAX_PROBE_BACKOFF_S, backoff)
        self.board.changes.post_at(due, Topic.ENDPOINT_CHECK_DUE, endpoint)
        if endpoint.failures == 1:
            self.board.timeline.record(EventKind.ENDPOINT_SUSPECTED, endpoint.name, reason)

    def _handle_lost_reply(self, endpoint: Endpoint) -> None:
        """Probe after a lost reply; suspect the endpoint after several in a row."""
        endpoint.consecutive_losses += 1
        if endpoint.consecutive_losses >= MAX_CONSECUTIVE_LOST:
            endpoint.consecutive_losses = 0
            endpoint.uses_passive_checks = False
            self._suspect(endpoint, "several answers in a row were lost")
        else:
            self._probe(endpoint)

    def _probe(self, endpoint: Endpoint) -> None:
        if endpoint.probing:
            return
        endpoint.probing = True
        endpoint.uses_passive_checks = False
        timeout_s = self.board.settings.probe_timeout_s
        probe = EndpointProbe(endpoint.name, endpoint.address, timeout_s, PROBE_PURPOSE)
        self.board.changes.post(Topic.INTENT_POSTED, probe)
