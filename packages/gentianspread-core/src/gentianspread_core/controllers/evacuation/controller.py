"""Evacuation controller: ends what this VM still does at the endpoints of evacuated zones.

The bound counts from the acknowledgement, which this VM does not see. It is no earlier than the
last confirmation of a configuration without the evacuation, so this VM counts from there. A VM that
had no such confirmation, as one that has just started, sends nothing to the zone from the start.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from ...blackboard import Board, Topic
from ...blackboard.configuration import Evacuation
from ...blackboard.connections import BackendConnection, ConnectionState
from ...blackboard.evacuations import ZoneEvacuation
from ...blackboard.outbox import PoolFlush
from ...blackboard.sessions import Session, SessionRequest, SessionTransaction
from ...blackboard.timeline import EventKind
from ...errors import ErrorCode

TRANSACTION_FRACTION = 0.5  # of the bound; operators are promised that they end within this part
# Of the bound, 1 s of 5 s: an exchange may wait for a slot of a busy endpoint between its messages.
REQUEST_FRACTION = 0.8


class EvacuationController:
    """Owns the evacuations section."""

    __slots__ = ("board",)

    def __init__(self, board: Board) -> None:
        self.board = board

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.EVACUATIONS_CHANGED: self.on_changed,
            Topic.EVACUATION_PHASE_DUE: self.on_phase_due,
            Topic.REQUEST_DONE: self.on_done,
            Topic.REQUEST_REFUSED: self.on_refused,
        }

    def on_changed(self, confirmed_at: float) -> None:
        """Take over the evacuations in force; `confirmed_at` is the confirmation before them."""
        by_zone = self.board.evacuations.by_zone
        configured = self.board.configuration.evacuations
        for zone in [zone for zone in by_zone if not self.board.configuration.is_evacuated(zone)]:
            self._finish(by_zone.pop(zone))
        for evacuation in configured.values():
            known = by_zone.get(evacuation.zone)
            if evacuation.is_active and (known is None or known.revision != evacuation.revision):
                self._begin(evacuation, confirmed_at)

    def on_phase_due(self, evacuation: ZoneEvacuation) -> None:
        """End the open transactions at the zone's endpoints, and then everything else there."""
        if self.board.evacuations.by_zone.get(evacuation.zone) is not evacuation:
            return
        now = self.board.clock.now()
        ended_count = self._end_transactions(evacuation)
        self.board.evacuations.ended_transactions += ended_count
        is_over = now >= evacuation.requests_end_at
        if is_over:
            self._flush_connections(evacuation)
        self.board.timeline.record(
            EventKind.EVACUATION_ENFORCED,
            f"zone {evacuation.zone}",
            _ended_phase(evacuation, now),
            transactions=ended_count,
            since_learned_ms=round((now - evacuation.learned_at) * 1000),
            revision=evacuation.revision,
        )
        self.board.changes.post(Topic.EVACUATION_PHASE_BEGAN, evacuation)

    def on_done(self, request: SessionRequest) -> None:
        """End a transaction that had a statement under way when its time ended."""
        if not self.board.evacuations.by_zone:
            return
        transaction = request.session.transaction
        evacuation = self._evacuation_of(transaction)
        if evacuation is None or not self._is_over(transaction, evacuation):
            return
        if request.relayed_statement is not None:
            self.board.changes.post(Topic.RELAY_RELEASED, request.relayed_statement.handle)
        else:
            self.board.changes.post(Topic.TRANSACTION_REVOKED, request.session)
        self.board.evacuations.ended_transactions += 1

    def on_refused(self, request: SessionRequest) -> None:
        """Count the requests that no endpoint outside the evacuated zones can serve."""
        if request.refusal is not None and request.refusal.code is ErrorCode.ZONE_EVACUATED:
            self.board.evacuations.refused_requests += 1

    def _begin(self, configured: Evacuation, confirmed_at: float) -> None:
        bound_s = self.board.settings.evacuation_timeout_s
        now = self.board.clock.now()
        evacuation = ZoneEvacuation(
            configured.zone,
            configured.revision,
            confirmed_at,
            now,
            confirmed_at + TRANSACTION_FRACTION * bound_s,
            confirmed_at + REQUEST_FRACTION * bound_s,
            confirmed_at + bound_s,
        )
        self.board.evacuations.by_zone[configured.zone] = evacuation
        has_confirmation = confirmed_at > float("-inf")
        self.board.timeline.record(
            EventKind.EVACUATION_BEGUN,
            f"zone {configured.zone}",
            "the configuration says so",
            revision=configured.revision,
            confirmed_before_ms=round((now - confirmed_at) * 1000) if has_confirmation else -1,
        )
        for due in {
            evacuation.transactions_end_at,
            evacuation.requests_end_at,
            evacuation.bound_ends_at,
        }:
            if due > now:
                self.board.changes.post_at(due, Topic.EVACUATION_PHASE_DUE, evacuation)
        if evacuation.transactions_end_at <= now:
            self.board.changes.post(Topic.EVACUATION_PHASE_DUE, evacuation)

    def _finish(self, evacuation: ZoneEvacuation) -> None:
        lasted_s = self.board.clock.now() - evacuation.learned_at
        self.board.timeline.record(
            EventKind.EVACUATION_FINISHED,
            f"zone {evacuation.zone}",
            "the configuration says so",
            revision=self.board.configuration.revision,
            lasted_ms=round(lasted_s * 1000),
        )

    def _end_transactions(self, evacuation: ZoneEvacuation) -> int:
        """End the transactions without a statement under way; return how many."""
        count = 0
        for session in self._sessions_in(evacuation):
            self.board.changes.post(Topic.TRANSACTION_REVOKED, session)
            count += 1
        for handle, relayed in self.board.relays.transactions.items():
            transaction = relayed.session.transaction
            if self._evacuation_of(transaction) is evacuation and _is_idle(transaction.connection):
                self.board.changes.post(Topic.RELAY_RELEASED, handle)
                count += 1
        return count

    def _sessions_in(self, evacuation: ZoneEvacuation) -> Iterator[Session]:
        for session in self.board.sessions.by_number.values():
            if session.call is not None:
                continue  # a statement under way, or one that waits for a token
            transaction = session.transaction
            if self._evacuation_of(transaction) is evacuation and _is_idle(transaction.connection):
                yield session

    def _evacuation_of(self, transaction: SessionTransaction | None) -> ZoneEvacuation | None:
        """Return the evacuation of the zone that a transaction's connection leads to, if any."""
        if transaction is None or transaction.connection is None:
            return None
        endpoint = self.board.endpoints.by_name.get(transaction.connection.endpoint)
        return self.board.evacuations.by_zone.get(endpoint.zone) if endpoint else None

    def _is_over(self, transaction: SessionTransaction, evacuation: ZoneEvacuation) -> bool:
        now = self.board.clock.now()
        if now >= evacuation.requests_end_at:
            return True
        return now >= evacuation.transactions_end_at > transaction.began_at

    def _flush_connections(self, evacuation: ZoneEvacuation) -> None:
        """Close idle connections: the endpoints may be stopped or moved while the zone is empty."""
        now = self.board.clock.now()
        for endpoint in self.board.endpoints.by_name.values():
            if endpoint.zone == evacuation.zone:
                self.board.changes.post(Topic.INTENT_POSTED, PoolFlush(endpoint.name, now))


def _is_idle(connection: BackendConnection) -> bool:
    """Return whether a transaction's connection has no statement under way."""
    return connection.state is ConnectionState.IN_TRANSACTION


def _ended_phase(evacuation: ZoneEvacuation, now: float) -> str:
    if now >= evacuation.bound_ends_at:
        return "the bound ended"
    if now >= evacuation.requests_end_at:
        return "the time for requests ended"
    return "the time for transactions ended"
