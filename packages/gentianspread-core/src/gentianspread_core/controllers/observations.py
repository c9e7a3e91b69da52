"""Observation controller: what is known of leading primaries' positions, and since when."""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.observations import Observation
from ..blackboard.outbox import EndpointProbe
from ..blackboard.requests import ExchangeStatus
from ..blackboard.sessions import SessionExchange, SessionRequest
from ..positions import Position


class ReceivedObservation:
    """A position that another VM passed on; `taken_at` in seconds of this VM's clock."""

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
        """Take the position of an exchange that only a leading primary could have answered."""
        exchange = request.exchange
        if not isinstance(exchange, SessionExchange) or not exchange.proves_primary:
            return
        reply = exchange.reply
        if reply is None or reply.status is not ExchangeStatus.OK or reply.position is None:
            return
        self._add(request.group, reply.position, exchange.sent_at)

    def on_probe_ended(self, probe: EndpointProbe) -> None:
        """Take the position of a primary that answered as the leader."""
        registration = self.board.configuration.endpoints.get(probe.endpoint)
        if registration is None or not (probe.alive and probe.is_primary):
            return
        if probe.position is not None:
            self._add(registration.group, probe.position, probe.sent_at)

    def on_received(self, received: ReceivedObservation) -> None:
        """Take what another VM passed on."""
        self._add(received.group, received.position, received.taken_at)

    def _add(self, group: str, position: Position, taken_at: float) -> None:
        self.board.observations.add(group, Observation(position, taken_at))
