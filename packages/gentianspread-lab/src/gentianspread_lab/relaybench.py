"""Measures a VM's throughput, added latency and memory against the passthrough proxy."""

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

LOAD_PROCESSES = 2
CONNECTIONS_PER_PROCESS = 8
LOAD_DURATION_S = 4.0
ROUNDS = 3
OPEN_CALLER_COUNT = 1000
IDLE_DURATION_S = 8.0
PROXY_ADDRESS = "127.0.1.250:23000"
WORKSPACE_KEY = "a key of the relay bench"
WARM_UP_WAIT_S = 4.0


class ProxyComparison:
    """Results of one comparison; rates in statements per second, times in microseconds.

    "Proxy" is the passthrough proxy of the relay module.
    """

    __slots__ = ("ratios", "vm_rates", "vm_rate", "proxy_rate", "added_p50_us", "memory_mb")

    def __init__(self) -> None:
        self.ratios: list[float] = []
        self.vm_rates: list[float] = []
        self.vm_rate = 0.0
        self.proxy_rate = 0.0
        self.added_p50_us = 0.0
        self.memory_mb = 0.0

    def ratio(self) -> float:
        """Return the median ratio of the VM's rate to the proxy's."""
        return statistics.median(self.ratios)


def run_proxy_bench() -> ProxyComparison:
    """Measure a VM and the proxy alternately, with the same endpoints."""
    deployment = Deployment.single_zone()
    fleet = Fleet(deployment)
    comparison = ProxyComparison()
    try:
        fleet.start()
        vm = deployment.vms[0].address
        _create_workspace(fleet)
        replicas = _replica_addresses(fleet)
        fleet.start_process("relay", "gentianspread_lab.relay", _proxy_arguments(replicas))
        time.sleep(WARM_UP_WAIT_S)
        proxy_rates = []
        for _ in range(ROUNDS):
            proxy_rates.append(_throughput(PROXY_ADDRESS, ""))
            comparison.vm_rates.append(_throughput(vm, WORKSPACE_KEY))
            comparison.ratios.append(comparison.vm_rates[-1] / proxy_rates[-1])
        comparison.vm_rate = statistics.median(comparison.vm_rates)
        comparison.proxy_rate = statistics.median(proxy_rates)
        comparison.added_p50_us = _p50_us(vm, WORKSPACE_KEY) - _p50_us(PROXY_ADDRESS, "")
        comparison.memory_mb = _memory_mb(fleet, deployment.vms[1].name, deployment.vms[1].address)
    finally:
        fleet.stop()
    return comparison


def _create_workspace(fleet: Fleet) -> None:
    change = fleet.operator.change
    change("create_workspace", {"name": "bench", "rate": 1_000_000, "burst": 1_000_000})
    change("give_key", {"workspace": "bench", "name": "bench", "key_hash": hash_key(WORKSPACE_KEY)})


def _replica_addresses(fleet: Fleet) -> list[str]:
    primary = fleet.operator.status()["groups"][0]["primary"]
    return [plan.address for plan in fleet.deployment.endpoints if plan.name != primary]


def _proxy_arguments(replicas: list[str]) -> list[str]:
    return [f"--listen={PROXY_ADDRESS}", f"--endpoints={','.join(replicas)}"]


def _start_load(address: str, key: str, connections: int, *options: str) -> subprocess.Popen[bytes]:
    arguments = [
        f"--address={address}",
        f"--key={key}",
        f"--connections={connections}",
        *options,
    ]
    return subprocess.Popen(
        [sys.executable, "-m", "gentianspread_lab.load", *arguments], stdout=subprocess.PIPE
    )


def _read_report(process: subprocess.Popen[bytes]) -> dict[str, Any]:
    output, _ = process.communicate()
    report: dict[str, Any] = orjson.loads(output)
    if report["failed"]:
        raise RuntimeError(f"{report['failed']} requests failed: {report['reason']}")
    return report


def _throughput(address: str, key: str) -> float:
    """Return the statements per second that all load processes reach together."""
    loads = [
        _start_load(address, key, CONNECTIONS_PER_PROCESS, f"--seconds={LOAD_DURATION_S}")
        for _ in range(LOAD_PROCESSES)
    ]
    return sum(_read_report(load)["per_second"] for load in loads)


def _p50_us(address: str, key: str) -> float:
    return float(
        _read_report(_start_load(address, key, 1, f"--seconds={LOAD_DURATION_S}"))["p50_us"]
    )


def _memory_mb(fleet: Fleet, name: str, address: str) -> float:
    """Return a VM's resident memory while many callers hold idle connections to it."""
    load = _start_load(
        address, WORKSPACE_KEY, OPEN_CALLER_COUNT, f"--seconds={IDLE_DURATION_S}", "--idle"
    )
    time.sleep(IDLE_DURATION_S - 1.0)
    memory = resident_mb(fleet.processes[name].pid)
    _read_report(load)
    return memory
