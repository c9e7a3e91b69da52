"""State of a group's endpoints, as the control leader knows it."""

from __future__ import annotations

import math

from ..blackboard import Board
from ..blackboard.configuration import Group
from ..blackboard.groups import Promotion
from ..blackboard.registrations import Registration
from ..positions import Position

PROBE_FAILURE_THRESHOLD = 2  # one probe may fail only because its connection had silently broken


class GroupView:
    """Queries on the board for groups whose terms the database assigns, not the control log.

    `_by_group` are the registered endpoints of each group at the revision `_revision`.
    """

    __slots__ = ("board", "_by_group", "_revision")

    def __init__(self, board: Board) -> None:
        self.board = board
        self._by_group: dict[str, list[Registration]] = {}
        self._revision = -1

    def endpoints_of(self, group_name: str) -> list[Registration]:
        """Return the registered endpoints of a group."""
        configuration = self.board.configuration
        if configuration.revision != self._revision:
            self._revision = configuration.revision
            self._by_group = {}
            for endpoint in configuration.endpoints.values():
                self._by_group.setdefault(endpoint.group, []).append(endpoint)
        return self._by_group.get(group_name, [])

    def replicas(self, group: Group) -> list[Registration]:
        """Return the registered endpoints but the primary.

        A named primary that has not led yet is a replica: its log is lost if it terminates.
        """
        has_led = self.board.configuration.has_led(group)
        return [
            endpoint
            for endpoint in self.endpoints_of(group.name)
            if endpoint.name != group.primary or not has_led
        ]

    def is_healthy(self, name: str) -> bool:
        """Return whether an endpoint answered the last probe."""
        health = self.board.groups.health.get(name)
        return health is not None and health.probed and health.failures == 0

    def is_staying(self, endpoint: Registration) -> bool:
        """Return whether an endpoint is neither leaving nor in an evacuated zone."""
        return not endpoint.leaving and not self.board.configuration.is_evacuated(endpoint.zone)

    def leading_endpoint(self, group: Group) -> Registration | None:
        """Return the endpoint that answered its last probe as primary, if any.

        If several did, it is the registered primary, or else the one with the newest position.
        """
        leading = [
            endpoint
            for endpoint in self.endpoints_of(group.name)
            if self.is_healthy(endpoint.name) and self.board.groups.health[endpoint.name].is_primary
        ]
        best: Registration | None = None
        for endpoint in leading:
            if endpoint.name == group.primary:
                return endpoint
            position = self.board.groups.health[endpoint.name].position
            best_position = self.board.groups.health[best.name].position if best else None
            if best_position is None or (position is not None and position.reaches(best_position)):
                best = endpoint
        return best

    def leading_since(self, group: Group, since: float) -> str | None:
        """Return an endpoint that answered a probe sent at or after `since` as primary, if any."""
        for endpoint in self.endpoints_of(group.name):
            health = self.board.groups.health.get(endpoint.name)
            if health is not None and health.is_primary and health.answered_at >= since:
                return endpoint.name
        return None

    def next_term(self, group_name: str) -> int:
        """Return a term above every term that the group's endpoints have reported.

        The term of a position is that of the last commit, which may be older than the endpoint's.
        """
        newest = 0
        for endpoint in self.endpoints_of(group_name):
            health = self.board.groups.health.get(endpoint.name)
            if health is not None:
                newest = max(newest, health.term, health.position.term if health.position else 0)
        return newest + 1

    def has_primary_recovered(self, group: Group, promotion: Promotion) -> bool:
        """Return whether the primary works again, without having been paused."""
        if group.primary not in self.board.configuration.endpoints:
            return False
        health = self.board.groups.health.get(group.primary)
        is_paused = group.primary in promotion.received_positions
        return not is_paused and health is not None and health.failures == 0 and health.is_primary

    def last_end_at(self, group: Group, except_for: str | None = None) -> float | None:
        """Return when the last of the departed replicas counted as ended, or none.

        It is infinite if one may still run. A replica that lost its log counts as ended when that
        was seen.
        """
        ended_at = self.board.groups.departures_ended_at.get(group.name, {})
        excepted = f"{except_for}/"
        times = [
            ended_at.get(name, math.inf) for name in group.departed if not name.startswith(excepted)
        ]
        lost_at = self.board.groups.lost_logs_at.get(group.name, {})
        times += [at for name, at in lost_at.items() if name not in (group.primary, except_for)]
        return max(times, default=None)

    def reaches_primary_since(
        self, group_name: str, since: float, positions: list[Position | None]
    ) -> bool:
        """Return whether a position reaches one that the primary had at or after `since`.

        `positions` are what endpoints have received; none stands for an unknown one.
        """
        observed = self.board.observations.oldest_since(group_name, since)
        if observed is None:
            return False
        return any(
            position is not None and position.reaches(observed.position) for position in positions
        )

    def explain_departures(self, group: Group) -> list[tuple[str, str]]:
        """Return what is known of each departed replica's end."""
        ended_at = self.board.groups.departures_ended_at.get(group.name, {})
        now = self.board.clock.now()
        return [
            (
                name,
                f"ended {now - ended_at[name]:.1f} s ago" if name in ended_at else "may still run",
            )
            for name in group.departed
        ]
