"""Statements a second, added latency and memory of a VM, beside the bare relay in one run."""

from __future__ import annotations

import statistics
import subprocess
import sys
import time
from typing import Any

import orjson
from gentianspread_server.codec import hash_key

from .deployments import Deployment
from .fleet import Fleet
from .processes import resident_mb

LOADERS = 2
CONNECTIONS = 8
SECONDS = 4.0
ROUNDS = 3
OPEN_CALLERS = 1000
IDLE_SECONDS = 8.0
RELAY_ADDRESS = "127.0.1.250:23000"
KEY = "a key of the relay bench"
WARM_UP_S = 4.0


class RelayFigures:
    """What one run measured; rates in statements a second, times in microseconds."""

    __slots__ = ("ratios", "vm_rates", "vm_rate", "relay_rate", "added_p50_us", "memory_mb")

    def __init__(self) -> None:
        self.ratios: list[float] = []
        self.vm_rates: list[float] = []
        self.vm_rate = 0.0
        self.relay_rate = 0.0
        self.added_p50_us = 0.0
        self.memory_mb = 0.0

    def ratio(self) -> float:
        """Return the median ratio of the VM's rate to the relay's."""
        return statistics.median(self.ratios)


def run_relay_bench() -> RelayFigures:
    """Measure a VM and the relay in turns, before the same three endpoints."""
    deployment = Deployment.single_zone()
    fleet = Fleet(deployment)
    figures = RelayFigures()
    try:
        fleet.start()
        vm = deployment.vms[0].address
        _prepare(fleet)
        replicas = _replicas(fleet)
        fleet.start_process("relay", "gentianspread_lab.relay", _relay_arguments(replicas))
        time.sleep(WARM_UP_S)
        relay_rates = []
        for _ in range(ROUNDS):
            relay_rates.append(_rate(RELAY_ADDRESS, ""))
            figures.vm_rates.append(_rate(vm, KEY))
            figures.ratios.append(figures.vm_rates[-1] / relay_rates[-1])
        figures.vm_rate = statistics.median(figures.vm_rates)
        figures.relay_rate = statistics.median(relay_rates)
        figures.added_p50_us = _p50(vm, KEY) - _p50(RELAY_ADDRESS, "")
        figures.memory_mb = _memory(fleet, deployment.vms[1].name, deployment.vms[1].address)
    finally:
        fleet.stop()
    return figures


def _prepare(fleet: Fleet) -> None:
    change = fleet.operator.change
    change("create_workspace", {"name": "bench", "rate": 1_000_000, "burst": 1_000_000})
    change("give_key", {"workspace": "bench", "name": "bench", "key_hash": hash_key(KEY)})


def _replicas(fleet: Fleet) -> list[str]:
    primary = fleet.operator.status()["groups"][0]["primary"]
    return [plan.address for plan in fleet.deployment.endpoints if plan.name != primary]


def _relay_arguments(replicas: list[str]) -> list[str]:
    return [f"--listen={RELAY_ADDRESS}", f"--endpoints={','.join(replicas)}"]


def _start_load(address: str, key: str, connections: int, *more: str) -> subprocess.Popen[bytes]:
    arguments = [
        f"--address={address}",
        f"--key={key}",
        f"--connections={connections}",
        *more,
    ]
    return subprocess.Popen(
        [sys.executable, "-m", "gentianspread_lab.load", *arguments], stdout=subprocess.PIPE
    )


def _result(process: subprocess.Popen[bytes]) -> dict[str, Any]:
    output, _ = process.communicate()
    report: dict[str, Any] = orjson.loads(output)
    if report["failed"]:
        raise RuntimeError(f"{report['failed']} requests failed: {report['reason']}")
    return report


def _rate(address: str, key: str) -> float:
    loads = [_start_load(address, key, CONNECTIONS, f"--seconds={SECONDS}") for _ in range(LOADERS)]
    return sum(_result(load)["per_second"] for load in loads)


def _p50(address: str, key: str) -> float:
    return float(_result(_start_load(address, key, 1, f"--seconds={SECONDS}"))["p50_us"])


def _memory(fleet: Fleet, name: str, address: str) -> float:
    load = _start_load(address, KEY, OPEN_CALLERS, f"--seconds={IDLE_SECONDS}", "--idle")
    time.sleep(IDLE_SECONDS - 1.0)
    memory = resident_mb(fleet.processes[name].pid)
    _result(load)
    return memory
