"""Deployments to start on loopback: zones, VMs, endpoints, database groups and workspaces."""

from __future__ import annotations

VM_PORT = 21000
ENDPOINT_PORT = 22000


class WorkspacePlan:
    """A workspace to create: rate limit, burst, and load to send; rate and load in requests/s."""

    __slots__ = ("name", "rate", "burst", "load")

    def __init__(self, name: str, rate: float, burst: float, load: float) -> None:
        self.name = name
        self.rate = rate
        self.burst = burst
        self.load = load


class VMPlan:
    """A VM to start."""

    __slots__ = ("name", "zone", "address", "has_disk", "is_initial_voter")

    def __init__(
        self, name: str, zone: str, address: str, has_disk: bool, is_initial_voter: bool
    ) -> None:
        self.name = name
        self.zone = zone
        self.address = address
        self.has_disk = has_disk
        self.is_initial_voter = is_initial_voter


class EndpointPlan:
    """A simulated endpoint to start."""

    __slots__ = ("name", "zone", "group", "address")

    def __init__(self, name: str, zone: str, group: str, address: str) -> None:
        self.name = name
        self.zone = zone
        self.group = group
        self.address = address


class Deployment:
    """The topology of one user, with the endpoints' slots, connections and simulated latencies.

    `slots` and `connections` are limits of each endpoint.
    """

    __slots__ = (
        "name",
        "zones",
        "vms",
        "endpoints",
        "groups",
        "workspaces",
        "slots",
        "connections",
        "connect_ms",
        "lag_ms",
        "statement_ms",
    )

    def __init__(
        self,
        name: str,
        zones: list[str],
        groups: list[str],
        workspaces: list[WorkspacePlan],
        slots: int,
        connections: int,
        connect_ms: float,
        vm_count: int,
    ) -> None:
        self.name = name
        self.zones = zones
        self.groups = groups
        self.workspaces = workspaces
        self.slots = slots
        self.connections = connections
        self.connect_ms = connect_ms
        self.lag_ms = 200.0
        self.statement_ms = 1.0
        self.vms = plan_vms(zones, vm_count)
        self.endpoints = plan_endpoints(zones, groups)

    @classmethod
    def from_name(cls, name: str) -> Deployment:
        """Return the deployment of the named user."""
        return {"brackwater": _brackwater, "malabar": _malabar}[name]()

    @classmethod
    def idle_fleet(cls, vm_count: int, group_count: int) -> Deployment:
        """Return a fleet of the given size without workspaces, to measure the cost of idle VMs."""
        zones = ["zone1", "zone2", "zone3", "zone4"]
        names = [f"group{number}" for number in range(group_count)]
        return cls("sized", zones, names, [], 3, 45, 10.0, vm_count)

    @classmethod
    def single_zone(cls) -> Deployment:
        """Return three VMs and one group without simulated latencies, to measure VM overhead."""
        deployment = cls("bench", ["zone1"], ["bench"], [], 64, 300, 0.0, 3)
        deployment.lag_ms = 0.0
        deployment.statement_ms = 0.0
        return deployment


def plan_vms(zones: list[str], count: int) -> list[VMPlan]:
    """Distribute VMs over the zones; the first three vote, the next two have a disk but no vote."""
    plans = []
    for number in range(count):
        zone_number = number % len(zones)
        zone = zones[zone_number]
        address = f"127.0.{zone_number + 1}.{number + 1}:{VM_PORT + number}"
        is_initial_voter = number < 3
        has_disk = is_initial_voter or 3 <= number < 5
        plans.append(VMPlan(f"vm{number + 1}", zone, address, has_disk, is_initial_voter))
    return plans


def plan_endpoints(zones: list[str], groups: list[str]) -> list[EndpointPlan]:
    """Give each group three endpoints in three zones, shifted by one zone per group."""
    plans = []
    for group_number, group in enumerate(groups):
        for member in range(3):
            zone_number = (group_number + member) % len(zones)
            number = group_number * 3 + member
            address = f"127.0.{zone_number + 1}.{100 + number}:{ENDPOINT_PORT + number}"
            plans.append(EndpointPlan(f"{group}-{member + 1}", zones[zone_number], group, address))
    return plans


def _workspaces(names: list[str]) -> list[WorkspacePlan]:
    """Give the first two workspaces four times the rate and load, as in the users' deployments."""
    plans = []
    for number, name in enumerate(names):
        scale = 4.0 if number < 2 else 1.0
        plans.append(WorkspacePlan(name, 20.0 * scale, 20.0 * scale, 8.0 * scale))
    return plans


def _brackwater() -> Deployment:
    names = ["ennis", "cork", "limerick", "tralee", "kenmare", "bandon", "youghal", "mallow"]
    return Deployment(
        "brackwater",
        ["south1", "south2", "south3", "south4"],
        ["visits", "bookings", "history"],
        _workspaces(names),
        slots=3,
        connections=45,
        connect_ms=10.0,
        vm_count=13,
    )


def _malabar() -> Deployment:
    names = [
        "kochi",
        "kozhikode",
        "thrissur",
        "kollam",
        "kannur",
        "palakkad",
        "kottayam",
        "alappuzha",
    ]
    return Deployment(
        "malabar",
        ["kerala1", "kerala2", "kerala3"],
        ["tickets", "proofs", "stock"],
        _workspaces(names),
        slots=2,
        connections=60,
        connect_ms=30.0,
        vm_count=13,
    )
