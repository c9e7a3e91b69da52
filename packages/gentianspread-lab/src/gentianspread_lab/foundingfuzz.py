"""Stateful property-based test that begins with the first start of the simulated fleet."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import rule

from .fakes import Simulation
from .fakes.simulation import GROUP, WORKSPACE
from .fuzz import BURST_REQUESTS, RATE_PER_S, FleetMachine


class FoundingMachine(FleetMachine):
    """Begins with the first start of the fleet; its changes are proposed while it is founded."""

    def create_simulation(self) -> Simulation:
        """Return a fleet whose VMs know the initial voters only at the first start."""
        return Simulation(7, voters=3, diskless=2, standbys=1, on_platform=True)

    def begin(self) -> None:
        """Begin before the first leader is elected; the endpoints run but are not registered."""
        self.simulation.add_endpoints()
        self.history.check_vms()

    @rule(seconds=st.sampled_from([0.002, 0.01, 0.02]))
    def wait_briefly(self, seconds: float) -> None:
        """Let so little time pass that messages are under way."""
        self._run(seconds)

    @rule()
    def register_once(self) -> None:
        """Register the endpoints and create the workspace, unless the leader knows them."""
        leader = self.simulation.leader()
        if leader is not None and GROUP not in leader.board.configuration.groups:
            self.register_all()

    def register_all(self) -> None:
        """Register every endpoint as staying, and create the workspace if there is none."""
        super().register_all()
        leader = self.simulation.leader()
        if leader is not None and WORKSPACE not in leader.board.configuration.workspaces:
            self.simulation.set_up_workspace(RATE_PER_S, BURST_REQUESTS)
