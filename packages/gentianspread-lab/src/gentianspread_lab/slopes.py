"""Slopes for the capacity page: what one more VM, endpoint, key, change or caller costs."""

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
from .processes import processor_seconds, resident_mb

SMALL = 500
LARGE = 2500
REPEATS = 3
IDLE_S = 15.0
SETTLE_S = 3.0


class Slope:
    """What one more of something costs: median, least and most of the repeats, with its unit."""

    __slots__ = ("name", "unit", "median", "least", "most")

    def __init__(self, name: str, unit: str, values: list[float]) -> None:
        self.name = name
        self.unit = unit
        self.median = statistics.median(values)
        self.least = min(values)
        self.most = max(values)


class IdleFigures:
    """An idle fleet: an entry VM's bytes a second, processor shares (0 to 1), memory in MB.

    `voter_core` is of a voter that does not lead, `pollers` the VMs that poll it.
    """

    __slots__ = (
        "vms",
        "endpoints",
        "pollers",
        "entry_bytes",
        "entry_core",
        "leader_core",
        "voter_core",
        "entry_mb",
    )

    def __init__(self, vms: int, endpoints: int, pollers: int, rates: list[float], mb: float):
        self.vms = vms
        self.endpoints = endpoints
        self.pollers = pollers
        self.entry_bytes, self.entry_core, self.leader_core, self.voter_core = rates
        self.entry_mb = mb


def commands_of(kind: CommandKind, count: int) -> list[Command]:
    """Return commands that each add one thing of a kind to a configuration."""
    return [Command(kind, _fields(kind, number)) for number in range(count)]


def state_slopes() -> list[Slope]:
    """Return bytes on the wire and in memory of one more thing of each kind."""
    slopes = []
    kinds = {
        "member": CommandKind.REGISTER_MEMBER,
        "endpoint": CommandKind.REGISTER_ENDPOINT,
        "workspace": CommandKind.CREATE_WORKSPACE,
        "key": CommandKind.GIVE_KEY,
    }
    for name, kind in kinds.items():
        wire = [_slope(lambda count, kind=kind: _wire_bytes(kind, count)) for _ in range(REPEATS)]
        slopes.append(Slope(f"snapshot, per {name}", "bytes", wire))
        held = [_slope(lambda count, kind=kind: _held_bytes(kind, count)) for _ in range(REPEATS)]
        slopes.append(Slope(f"memory, per {name}", "bytes", held))
    return slopes


def change_slopes() -> list[Slope]:
    """Return bytes and processor time of one more change of the configuration."""
    entry = LogEntry(1, 1, commands_of(CommandKind.GIVE_KEY, 1)[0])
    size = float(len(orjson.dumps(entry.to_record())))
    times = [_apply_microseconds() for _ in range(REPEATS)]
    return [
        Slope("log entry, per change", "bytes", [size]),
        Slope("applying, per change", "us", times),
    ]


def message_slopes() -> list[Slope]:
    """Return the bytes of single messages, without the answer's HTTP head."""
    report = MemberReport("node-000001", "10.1.2.3:7000", "region1-zone1", False, 123456, 0.25)
    report_bytes = float(len(orjson.dumps(report.to_record())))
    status = {"term": 15, "position": [15, 123456], "is_primary": False, "follows": True}
    probe = len(build_request_head("/status", "10.1.2.3:7000")) + len(orjson.dumps(status))
    return [
        Slope("message, of a VM's report", "bytes", [report_bytes]),
        Slope("message, of a probe", "bytes", [float(probe)]),
    ]


def measure_idle(vms: int, groups: int) -> IdleFigures:
    """Run an idle fleet of a size and read what its VMs use."""
    fleet = Fleet(Deployment.of_size(vms, groups))
    plans = fleet.deployment.vms
    try:
        fleet.start()
        time.sleep(SETTLE_S)
        leader = fleet.operator.status()["leader"]
        voter = next(plan for plan in plans if plan.is_first_voter and plan.name != leader)
        before = _use(fleet, leader, voter.name)
        time.sleep(IDLE_S)
        after = _use(fleet, leader, voter.name)
        memory = resident_mb(fleet.processes[plans[-1].name].pid)
    finally:
        fleet.stop()
    rates = [(late - early) / IDLE_S for early, late in zip(before, after, strict=True)]
    pollers = sum(1 for plan in plans if plan.zone == voter.zone) - 1
    return IdleFigures(vms, groups * 3, pollers, rates, memory)


def _use(fleet: Fleet, leader: str, voter: str) -> list[float]:
    """Return an entry VM's bytes, and processor seconds of it, the leader and a voter."""
    entry = fleet.deployment.vms[-1].name
    cores = [processor_seconds(fleet.processes[name].pid) for name in (entry, leader, voter)]
    return [_bytes(fleet, entry), *cores]


def _fields(kind: CommandKind, number: int) -> dict:
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


def _build(kind: CommandKind, count: int) -> Configuration:
    configuration = Configuration()
    apply_command(
        configuration,
        1,
        Command(CommandKind.CREATE_WORKSPACE, {"name": "w", "rate": 1.0, "burst": 2.0}),
    )
    for index, command in enumerate(commands_of(kind, count), start=2):
        apply_command(configuration, index, command)
    return configuration


def _slope(measure: Callable[[int], float]) -> float:
    return (measure(LARGE) - measure(SMALL)) / (LARGE - SMALL)


def _wire_bytes(kind: CommandKind, count: int) -> float:
    return float(len(orjson.dumps(to_snapshot(_build(kind, count)))))


def _held_bytes(kind: CommandKind, count: int) -> float:
    gc.collect()
    tracemalloc.start()
    configuration = _build(kind, count)
    gc.collect()
    held, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del configuration
    return float(held)


def _apply_microseconds() -> float:
    commands = commands_of(CommandKind.REGISTER_MEMBER, LARGE)
    configuration = Configuration()
    started = time.perf_counter()
    for index, command in enumerate(commands, start=1):
        apply_command(configuration, index, command)
    return (time.perf_counter() - started) / LARGE * 1e6


def _bytes(fleet: Fleet, name: str) -> float:
    text = str(get(fleet.addresses[name], "/metrics").body)
    lines = [
        line for line in text.splitlines() if line.startswith("gentianspread_peer_bytes_total")
    ]
    return sum(float(line.rpartition(" ")[2]) for line in lines)
