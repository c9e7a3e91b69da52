"""Admission of statements to home VMs, from the waits that the homes report."""

from __future__ import annotations

from ...blackboard import Board
from ...blackboard.endpoints import Endpoint
from ...blackboard.homes import ServingVM
from ...blackboard.relays import WAIT_TIMEOUT_FRACTION
from ...blackboard.sessions import SessionRequest

RELAYED_READ_TIMEOUT_FRACTION = 0.75  # of the objective; a home that refuses early may wait longer


class AdmitAll:
    """Admits every statement."""

    __slots__ = ()

    def admits(self, request: SessionRequest, endpoint: Endpoint, home: ServingVM | None) -> bool:
        """Return true."""
        return True


class ReportedAdmission:
    """Admits a statement unless the home reports a wait that is longer than it may wait there.

    The level is carried back on replies, as in "Overload Control for Scaling WeChat Microservices"
    (DAGOR; Zhou and others, 2018), but as a time for each priority instead of a lowest priority.
    Without a recent report, everything is admitted.
    """

    __slots__ = ("board",)

    def __init__(self, board: Board) -> None:
        self.board = board

    def admits(self, request: SessionRequest, endpoint: Endpoint, home: ServingVM | None) -> bool:
        """Return whether the statement may be sent to an endpoint through a home VM."""
        if home is None:
            return True
        now = self.board.clock.now()
        report = self.board.loads.of_home(endpoint.name, home.name, now)
        if report is None:
            return True
        limit_s = request.wait_deadline - now
        if request.is_standalone_read():
            fraction = WAIT_TIMEOUT_FRACTION * RELAYED_READ_TIMEOUT_FRACTION
            limit_s = min(limit_s, fraction * request.route.objective)
        return report.expected_wait_s(request.route.priority, now) <= limit_s
