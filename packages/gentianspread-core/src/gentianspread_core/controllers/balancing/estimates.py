"""Estimates of the load of endpoints from reports that have an age.

Source: Dahlin, "Interpreting Stale Load Information", 2000. A report is trusted less the older it
is: its difference from the mean of the group decays. This VM's own statements that no report
includes yet are added in full.
"""

from __future__ import annotations

import math

from ...blackboard import Board
from ...blackboard.connections import BackendConnection, ConnectionState
from ...blackboard.endpoints import Endpoint
from ...blackboard.homes import ServingVM
from ...blackboard.loads import EndpointLoad

RELAXATION_S = 0.5  # a queue of one objective's length has drained or grown by then
MIN_SERVICE_S = 0.005  # assumed until a report or an exchange gives the time


class StaleLoadEstimator:
    """Estimates an endpoint's statements from the aged reports of its home VMs."""

    __slots__ = ("board",)

    def __init__(self, board: Board) -> None:
        self.board = board

    def expected_wait_s(self, endpoint: Endpoint, home: ServingVM | None) -> float | None:
        """Return the seconds that a new statement would wait before the endpoint runs it.

        The wait is that of the endpoint's slots or of the home VM, whichever is longer. None if no
        recent report on the endpoint and none of its connections here tell anything.
        """
        if not self._reports(endpoint) and not self._own_part(endpoint):
            return None
        statements = self.statements(endpoint)
        excess = statements + 1.0 - endpoint.slots
        service_s = self.service_s(endpoint, statements)
        wait_s = max(0.0, excess) / max(1, endpoint.slots) * service_s
        return max(wait_s, self._home_wait_s(endpoint, home))

    def statements(self, endpoint: Endpoint) -> float:
        """Return how many statements the endpoint and its home VMs are expected to have now."""
        now = self.board.clock.now()
        reports = self._reports(endpoint)
        prior = self._mean_part(endpoint)
        homes = self.board.homes.of_endpoint(endpoint.name, endpoint.zone, endpoint.slots)
        total = 0.0
        for vm in homes:
            report = reports.get(vm.name)
            if vm.name == self.board.settings.member:
                total += self._own_part(endpoint)
            elif report is None:
                total += prior
            else:
                part = report.running + report.waiting
                total += prior + (part - prior) * self.weight(now - report.measured_at)
        if not homes:
            total = self._own_part(endpoint)
        return total + self.unreported(endpoint)

    def unreported(self, endpoint: Endpoint) -> int:
        """Return how many statements this VM has relayed that no report includes yet."""
        reports = self._reports(endpoint)
        return sum(
            1 for item in self._busy(endpoint) if item.home and _is_unreported(item, reports)
        )

    def weight(self, age_s: float) -> float:
        """Return how much a report of this age says about the present, from 1 down to 0."""
        return math.exp(-max(0.0, age_s) / RELAXATION_S)

    def service_s(self, endpoint: Endpoint, statements: float | None = None) -> float:
        """Return the seconds that the endpoint takes for a statement, without waiting for a slot.

        Reports give the time with the wait; by Little's law it grows with the statements per slot.
        `statements` is the result of the method of this name, if the caller has it.
        """
        times = [item.service_s for item in self._reports(endpoint).values() if item.service_s]
        if times:
            mean_s = sum(times) / len(times)
        else:
            mean_s = self.board.outliers.latency_of(endpoint.name, self.board.clock.now())
        count = self.statements(endpoint) if statements is None else statements
        return max(MIN_SERVICE_S, mean_s / max(1.0, count / max(1, endpoint.slots)))

    def age_s(self, endpoint: Endpoint) -> float | None:
        """Return the age of the newest report on an endpoint, none without a recent one."""
        reports = self._reports(endpoint).values()
        now = self.board.clock.now()
        return min((now - item.measured_at for item in reports), default=None)

    def _home_wait_s(self, endpoint: Endpoint, home: ServingVM | None) -> float:
        report = self._reports(endpoint).get(home.name) if home is not None else None
        if report is None or not report.waiting:
            return 0.0
        return report.wait_s * self.weight(self.board.clock.now() - report.measured_at)

    def _reports(self, endpoint: Endpoint) -> dict[str, EndpointLoad]:
        reports = self.board.loads.recent(endpoint.name, self.board.clock.now())
        changed_at = self.board.outliers.changed_at(endpoint.name)
        return {name: item for name, item in reports.items() if item.measured_at >= changed_at}

    def _mean_part(self, endpoint: Endpoint) -> float:
        """Return the mean part of a home VM over the reports on the group's endpoints."""
        parts = [
            report.running + report.waiting
            for peer in self.board.endpoints.by_group.get(endpoint.group, ())
            for report in self._reports(peer).values()
        ]
        return sum(parts) / len(parts) if parts else 0.0

    def _own_part(self, endpoint: Endpoint) -> int:
        """Return how many statements this VM runs or holds back as a home VM of the endpoint."""
        queue = self.board.queues.pinned.get(endpoint.name)
        running = sum(1 for item in self._busy(endpoint) if item.home is None)
        return running + (queue.length if queue else 0)

    def _busy(self, endpoint: Endpoint) -> list[BackendConnection]:
        connections = self.board.connections.of(endpoint.name)
        return [item for item in connections if item.state is ConnectionState.BUSY]


def _is_unreported(connection: BackendConnection, reports: dict[str, EndpointLoad]) -> bool:
    report = reports.get(connection.home.name)
    return report is None or connection.last_used >= report.measured_at
