"""Measures the slopes of the capacity page: the cost of one more VM, endpoint, key or change."""

from __future__ import annotations

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable

import orjson
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.configuration import Configuration, to_snapshot
from gentianspread_core.blackboard.log import LogEntry
from gentianspread_core.state_machine import apply_command
from gentianspread_server.connections import build_request_head
from gentianspread_server.reports import MemberReport

from .client import get
from .deployments import Deployment
from .fleet import Fleet
from .processes import cpu_seconds, resident_mb

SMALL_COUNT = 500
LARGE_COUNT = 2500
REPETITIONS = 3
IDLE_MEASUREMENT_S = 15.0
SETTLE_WAIT_S = 3.0


class Slope:
    """The marginal cost of one more item: median, minimum and maximum of the repetitions."""

    __slots__ = ("name", "unit", "median", "minimum", "maximum")

    def __init__(self, name: str, unit: str, values: list[float]) -> None:
        self.name = name
        self.unit = unit
        self.median = statistics.median(values)
        self.minimum = min(values)
        self.maximum = max(values)


class IdleFleetUsage:
    """Resource usage of an idle fleet: bytes per second, share of a CPU core (0 to 1) and MB.

    `voter_cpu` is that of a control voter that is not the leader; `poller_count` is of the
    VMs that poll it.
    """

    __slots__ = (
        "vm_count",
        "endpoint_count",
        "poller_count",
        "entry_bytes_per_s",
        "entry_cpu",
        "leader_cpu",
        "voter_cpu",
        "entry_mb",
    )

    def __init__(
        self, vm_count: int, endpoint_count: int, poller_count: int, rates: list[float], mb: float
    ):
        self.vm_count = vm_count
        self.endpoint_count = endpoint_count
        self.poller_count = poller_count
        self.entry_bytes_per_s, self.entry_cpu, self.leader_cpu, self.voter_cpu = rates
        self.entry_mb = mb


def make_commands(kind: CommandKind, count: int) -> list[Command]:
    """Return commands that each add one item to a configuration."""
    return [Command(kind, _command_fields(kind, number)) for number in range(count)]


def state_slopes() -> list[Slope]:
    """Return the bytes in a snapshot and in memory of one more item of each kind."""
    slopes = []
    kinds = {
        "member": CommandKind.REGISTER_MEMBER,
        "endpoint": CommandKind.REGISTER_ENDPOINT,
        "workspace": CommandKind.CREATE_WORKSPACE,
        "key": CommandKind.GIVE_KEY,
    }
    for name, kind in kinds.items():
        snapshot_bytes = [
            _marginal_cost(lambda count, kind=kind: _snapshot_bytes(kind, count))
            for _ in range(REPETITIONS)
        ]
        slopes.append(Slope(f"snapshot, per {name}", "bytes", snapshot_bytes))
        heap_bytes = [
            _marginal_cost(lambda count, kind=kind: _heap_bytes(kind, count))
            for _ in range(REPETITIONS)
        ]
        slopes.append(Slope(f"memory, per {name}", "bytes", heap_bytes))
    return slopes


def change_slopes() -> list[Slope]:
    """Return the log bytes and the CPU time of one more configuration change."""
    entry = LogEntry(1, 1, make_commands(CommandKind.GIVE_KEY, 1)[0])
    entry_bytes = float(len(orjson.dumps(entry.to_record())))
    apply_times = [_apply_microseconds() for _ in range(REPETITIONS)]
    return [
        Slope("log entry, per change", "bytes", [entry_bytes]),
        Slope("applying, per change", "us", apply_times),
    ]


def message_slopes() -> list[Slope]:
    """Return the bytes of a VM's report and of a probe, without the response's HTTP head."""
    report = MemberReport("node-000001", "10.1.2.3:7000", "region1-zone1", False, 123456, 0.25)
    report_bytes = float(len(orjson.dumps(report.to_record())))
    status = {"term": 15, "position": [15, 123456], "is_primary": False, "follows": True}
    probe_bytes = len(build_request_head("/status", "10.1.2.3:7000")) + len(orjson.dumps(status))
    return [
        Slope("message, of a VM's report", "bytes", [report_bytes]),
        Slope("message, of a probe", "bytes", [float(probe_bytes)]),
    ]


def measure_idle(vm_count: int, group_count: int) -> IdleFleetUsage:
    """Run an idle fleet of the given size and measure the resource usage of its VMs."""
    fleet = Fleet(Deployment.idle_fleet(vm_count, group_count))
    plans = fleet.deployment.vms
    try:
        fleet.start()
        time.sleep(SETTLE_WAIT_S)
        leader = fleet.operator.status()["leader"]
        voter = next(plan for plan in plans if plan.is_initial_voter and plan.name != leader)
        before = _read_usage(fleet, leader, voter.name)
        time.sleep(IDLE_MEASUREMENT_S)
        after = _read_usage(fleet, leader, voter.name)
        memory = resident_mb(fleet.processes[plans[-1].name].pid)
    finally:
        fleet.stop()
    rates = [(late - early) / IDLE_MEASUREMENT_S for early, late in zip(before, after, strict=True)]
    poller_count = sum(1 for plan in plans if plan.zone == voter.zone) - 1
    return IdleFleetUsage(vm_count, group_count * 3, poller_count, rates, memory)


def _read_usage(fleet: Fleet, leader: str, voter: str) -> list[float]:
    """Return an entry VM's peer bytes, then the CPU seconds of it, the leader and a voter."""
    entry = fleet.deployment.vms[-1].name
    cpu_times = [cpu_seconds(fleet.processes[name].pid) for name in (entry, leader, voter)]
    return [_peer_bytes(fleet, entry), *cpu_times]


def _command_fields(kind: CommandKind, number: int) -> dict:
    name = f"name-{number:06d}"
    if kind is CommandKind.REGISTER_MEMBER:
        address = f"10.{number % 250}.{number // 250}.1:7000"
        return {"name": name, "address": address, "zone": "region1-zone1", "has_disk": False}
    if kind is CommandKind.CREATE_WORKSPACE:
        return {"name": name, "rate": 100.0, "burst": 200.0}
    if kind is CommandKind.GIVE_KEY:
        return {"workspace": "w", "name": name, "key_hash": f"{number:064x}"}
    return {
        "name": name,
        "address": f"10.{number % 250}.{number // 250}.2:7000",
        "zone": "region1-zone1",
        "group": f"group-{number // 3:06d}",
        "leaving": False,
        "connections": 60,
        "slots": 4,
        "group_size": 3,
    }


def _build_configuration(kind: CommandKind, count: int) -> Configuration:
    configuration = Configuration()
    apply_command(
        configuration,
        1,
        Command(CommandKind.CREATE_WORKSPACE, {"name": "w", "rate": 1.0, "burst": 2.0}),
    )
    for index, command in enumerate(make_commands(kind, count), start=2):
        apply_command(configuration, index, command)
    return configuration


def _marginal_cost(measure: Callable[[int], float]) -> float:
    """Return the growth of a size per item, which excludes its fixed part."""
    return (measure(LARGE_COUNT) - measure(SMALL_COUNT)) / (LARGE_COUNT - SMALL_COUNT)


def _snapshot_bytes(kind: CommandKind, count: int) -> float:
    return float(len(orjson.dumps(to_snapshot(_build_configuration(kind, count)))))


def _heap_bytes(kind: CommandKind, count: int) -> float:
    gc.collect()
    tracemalloc.start()
    configuration = _build_configuration(kind, count)
    gc.collect()
    heap_bytes, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del configuration
    return float(heap_bytes)


def _apply_microseconds() -> float:
    """Return the mean time to apply one command to the configuration."""
    commands = make_commands(CommandKind.REGISTER_MEMBER, LARGE_COUNT)
    configuration = Configuration()
    started = time.perf_counter()
    for index, command in enumerate(commands, start=1):
        apply_command(configuration, index, command)
    return (time.perf_counter() - started) / LARGE_COUNT * 1e6


def _peer_bytes(fleet: Fleet, name: str) -> float:
    text = str(get(fleet.addresses[name], "/metrics").body)
    lines = [
        line for line in text.splitlines() if line.startswith("gentianspread_peer_bytes_total")
    ]
    return sum(float(line.rpartition(" ")[2]) for line in lines)
