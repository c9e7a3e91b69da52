"""The resources of one process: its memory budget and the limits of its ports."""

from __future__ import annotations

from gentianspread_core.blackboard.timeline import Timeline

from ..clocks import wall_ms
from .budget import MemoryBudget
from .connections import AcceptedConnections, ConnectionLimits
from .limits import ResourceLimits
from .peers import PeerActivity
from .policies import MinimumPace, UnfinishedFirst
from .report import ResourceReport

CALLER_PORT = "callers"
PEER_PORT = "peers"
CONTROL_PORT = "control"
METRICS_PORT = "metrics"
READINESS_PORT = "readiness"
HTTP_PORT = "http"


class ProcessResources:
    """The budget and the ports that one process shares; all its servers use the same one."""

    __slots__ = ("limits", "report", "budget", "accepted")

    def __init__(self, limits: ResourceLimits, timeline: Timeline) -> None:
        self.limits = limits
        self.report = ResourceReport(timeline)
        self.budget = MemoryBudget(limits.budget_bytes, UnfinishedFirst(), self.report)
        self.accepted = AcceptedConnections(limits.max_accepted)

    @classmethod
    def from_settings(
        cls, memory_bytes: int, max_descriptors: int, timeline: Timeline
    ) -> ProcessResources:
        """Build from settings, in which 0 stands for no limit."""
        return cls(ResourceLimits.from_settings(memory_bytes, max_descriptors), timeline)

    @classmethod
    def with_defaults(cls) -> ProcessResources:
        """Build for a process whose settings have no limits, and whose events are not logged."""
        return cls.from_settings(0, 0, Timeline("", wall_ms))

    def caller_port(self) -> ConnectionLimits:
        """Return the limits of the callers' port; sessions in a transaction are never closed."""
        return self._add(CALLER_PORT, self.limits.max_callers, 0, PeerActivity.IDLE)

    def peer_port(self) -> ConnectionLimits:
        """Return the limits of an entry VM's port for other VMs."""
        limits = self.limits
        return self._add(
            PEER_PORT, limits.max_entry_peers, limits.max_entry_trusted, PeerActivity.IDLE
        )

    def control_port(self) -> ConnectionLimits:
        """Return the limits of a control VM's port."""
        limits = self.limits
        return self._add(
            CONTROL_PORT, limits.max_control, limits.max_control_trusted, PeerActivity.IDLE
        )

    def probe_port(self, name: str) -> ConnectionLimits:
        """Return the limits of the port for metrics or readiness checks."""
        return self._add(name, self.limits.max_probes, 0, PeerActivity.IDLE)

    def http_port(self) -> ConnectionLimits:
        """Return the limits of an HTTP port of another kind."""
        return self._add(HTTP_PORT, self.limits.max_control, 0, PeerActivity.IDLE)

    def end_overdue(self) -> None:
        """Close the connections of all ports whose message or answer has taken too long."""
        for port in self.accepted.ports.values():
            port.end_overdue()

    def _add(
        self, name: str, max_open: int, max_trusted: int, last_evicted: PeerActivity
    ) -> ConnectionLimits:
        port = ConnectionLimits(
            name,
            name != CALLER_PORT,
            max_open,
            max_trusted,
            last_evicted,
            self.budget,
            self.accepted,
            UnfinishedFirst(),
            MinimumPace(),
            self.report,
        )
        self.accepted.ports[name] = port
        return port
