"""Observation controller: records which positions the primaries had, and at what times."""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.observations import Observation
from ..blackboard.outbox import EndpointProbe
from ..blackboard.requests import ExchangeStatus
from ..blackboard.sessions import SessionExchange, SessionRequest
from ..positions import Position


class ReceivedObservation:
    """A primary's position received from another VM; `taken_at` in seconds of this VM's clock."""

    __slots__ = ("group", "position", "taken_at")

    def __init__(self, group: str, position: Position, taken_at: float) -> None:
        self.group = group
        self.position = position
        self.taken_at = taken_at


class ObservationController:
    """Owns the observations section."""

    __slots__ = ("board",)

    def __init__(self, board: Board) -> None:
        self.board = board

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.EXCHANGE_ENDED: self.on_exchange_ended,
            Topic.PROBE_ENDED: self.on_probe_ended,
            Topic.OBSERVATION_RECEIVED: self.on_received,
        }

    def on_exchange_ended(self, request: SessionRequest) -> None:
        """Add the position of an exchange that only the current primary can have answered."""
        exchange = request.exchange
        if not isinstance(exchange, SessionExchange) or not exchange.proves_primary:
            return
        reply = exchange.reply
        if reply is None or reply.status is not ExchangeStatus.OK or reply.position is None:
            return
        self._add(request.group, reply.position, exchange.sent_at)

    def on_probe_ended(self, probe: EndpointProbe) -> None:
        """Add the position of an endpoint that answered a probe as primary."""
        registration = self.board.configuration.endpoints.get(probe.endpoint)
        if registration is None or not (probe.alive and probe.is_primary):
            return
        if probe.position is not None:
            self._add(registration.group, probe.position, probe.sent_at)

    def on_received(self, received: ReceivedObservation) -> None:
        """Add an observation that another VM sent."""
        self._add(received.group, received.position, received.taken_at)

    def _add(self, group: str, position: Position, taken_at: float) -> None:
        self.board.observations.add(group, Observation(position, taken_at))
