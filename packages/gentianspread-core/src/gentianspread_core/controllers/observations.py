"""Observation controller: records which positions the primaries had, and at what times."""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.observations import LeadEvidence, Observation
from ..blackboard.outbox import EndpointProbe
from ..blackboard.requests import ExchangeStatus
from ..blackboard.sessions import SessionExchange, SessionRequest
from ..blackboard.timeline import EventKind
from ..positions import Position


class ReceivedObservation:
    """A primary's position that the VM `vm` sent; `taken_at` in seconds of this VM's clock."""

    __slots__ = ("group", "position", "taken_at", "vm")

    def __init__(self, group: str, position: Position, taken_at: float, vm: str) -> None:
        self.group = group
        self.position = position
        self.taken_at = taken_at
        self.vm = vm


class ObservationController:
    """Owns the observations section.

    An answer counts only if it proves that its endpoint led, and if this VM knows that endpoint as
    the primary. `_ignored` has by group the endpoint whose answers were last ignored, and the known
    primary, so that each pair is logged once.
    """

    __slots__ = ("board", "_ignored")

    def __init__(self, board: Board) -> None:
        self.board = board
        self._ignored: dict[str, tuple[str, str | None]] = {}

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
        self._add_answer(
            request.group,
            Observation(
                reply.position, exchange.sent_at, exchange.endpoint, LeadEvidence.STATEMENT
            ),
        )

    def on_probe_ended(self, probe: EndpointProbe) -> None:
        """Add the position of an endpoint that answered a probe as primary."""
        registration = self.board.configuration.endpoints.get(probe.endpoint)
        if registration is None or not (probe.alive and probe.is_primary):
            return
        if probe.position is not None:
            self._add_answer(
                registration.group,
                Observation(probe.position, probe.sent_at, probe.endpoint, LeadEvidence.PROBE),
            )

    def on_received(self, received: ReceivedObservation) -> None:
        """Add an observation that another VM sent."""
        observation = Observation(
            received.position, received.taken_at, received.vm, LeadEvidence.VM
        )
        self.board.observations.add(received.group, observation)

    def _add_answer(self, group_name: str, observation: Observation) -> None:
        """Add what an endpoint answered, unless another one is known as the primary."""
        group = self.board.configuration.groups.get(group_name)
        primary = group.primary if group is not None else None
        if primary == observation.source:
            self.board.observations.add(group_name, observation)
            return
        self.board.observations.ignored_count += 1
        ignored = (observation.source, primary)
        if primary is not None and self._ignored.get(group_name) != ignored:
            self._ignored[group_name] = ignored
            self.board.timeline.log_only(
                EventKind.OBSERVATION_IGNORED,
                f"endpoint {observation.source}",
                "another endpoint is known as the primary",
                group=group_name,
                primary=primary,
                position=str(observation.position),
                evidence=observation.evidence.value,
            )
