"""Starts, freezes, kills and stops a deployment's processes on loopback."""

from __future__ import annotations

import os
import secrets
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from typing import IO

from gentianspread_cli.client import OperatorClient
from gentianspread_server.connections import RequestNotSentError, ResponseLostError

from .client import get
from .deployments import Deployment, EndpointPlan, VMPlan

READY_TIMEOUT_S = 30.0
READY_POLL_INTERVAL_S = 0.1
STOP_TIMEOUT_S = 25.0


class Fleet:
    """The processes of one deployment, by name of VM or endpoint."""

    def __init__(self, deployment: Deployment, log_dir: str | None = None) -> None:
        self.deployment = deployment
        self.data_root = tempfile.mkdtemp(prefix="gentianspread-")
        self.log_dir = log_dir or self.data_root
        os.makedirs(self.log_dir, exist_ok=True)
        self.fleet_secret = secrets.token_hex(16)
        self.operator_key = secrets.token_hex(16)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.addresses = {plan.name: plan.address for plan in deployment.vms}
        self.operator = OperatorClient(self.operator_key, list(self.addresses.values()))
        self._log_files: list[IO[bytes]] = []

    def start(self) -> None:
        """Start all processes; wait until all VMs are ready and every group has a primary."""
        for endpoint in self.deployment.endpoints:
            self.start_endpoint(endpoint)
        for vm in self.deployment.vms:
            self.start_vm(vm)
        self.wait_until_ready(list(self.addresses))
        self.wait_for_primaries()

    def start_vm(self, plan: VMPlan, flags: tuple[str, ...] = ()) -> None:
        """Start one VM, with more flags if any; its data directory survives restarts."""
        seeds = [vm for vm in self.deployment.vms if vm.is_initial_voter]
        arguments = [
            f"--name={plan.name}",
            f"--zone={plan.zone}",
            f"--zones={','.join(self.deployment.zones)}",
            f"--listen={plan.address}",
            f"--seeds={','.join(f'{vm.name}={vm.address}' for vm in seeds)}",
        ]
        if plan.has_disk:
            data_dir = os.path.join(self.data_root, plan.name)
            os.makedirs(data_dir, exist_ok=True)
            arguments.append(f"--data_dir={data_dir}")
        environment = {
            **os.environ,
            "GENTIANSPREAD_FLEET_SECRET": self.fleet_secret,
            "GENTIANSPREAD_OPERATOR_KEY": self.operator_key,
        }
        self.start_process(
            plan.name, "gentianspread_server.main", [*arguments, *flags], environment
        )

    def start_endpoint(self, plan: EndpointPlan) -> None:
        """Start one simulated endpoint, which registers with the VMs of its zone."""
        deployment = self.deployment
        same_zone_vms = [vm.address for vm in deployment.vms if vm.zone == plan.zone]
        arguments = [
            f"--name={plan.name}",
            f"--listen={plan.address}",
            f"--zone={plan.zone}",
            f"--group={plan.group}",
            f"--announce_to={','.join(same_zone_vms)}",
            f"--connections={deployment.connections}",
            f"--slots={deployment.slots}",
            f"--connect_ms={deployment.connect_ms}",
            f"--lag_ms={deployment.lag_ms}",
            f"--read_ms={deployment.statement_ms}",
            f"--write_ms={deployment.statement_ms}",
        ]
        self.start_process(plan.name, "gentianspread_lab.endpoint", arguments)

    def wait_until_ready(self, names: list[str], timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until the VMs pass the load balancer's readiness check."""
        deadline = time.monotonic() + timeout_s
        for name in names:
            while not self.is_ready(name):
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{name} was not ready within {timeout_s} s")
                time.sleep(READY_POLL_INTERVAL_S)

    def wait_for_primaries(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until every group has a primary."""
        deadline = time.monotonic() + timeout_s
        groups = set(self.deployment.groups)
        while not groups <= self._groups_with_primary():
            if time.monotonic() > deadline:
                raise TimeoutError(f"not every group had a primary within {timeout_s} s")
            time.sleep(READY_POLL_INTERVAL_S)

    def _groups_with_primary(self) -> set[str]:
        groups = self.operator.status()["groups"]
        return {group["name"] for group in groups if group["primary"] is not None}

    def is_ready(self, name: str) -> bool:
        """Return whether a VM passes the load balancer's readiness check."""
        try:
            return get(self.addresses[name], "/ready").status == 200
        except (RequestNotSentError, ResponseLostError, OSError):
            return False

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def freeze(self, name: str) -> None:
        """Freeze a process with SIGSTOP until `resume`."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a frozen process with SIGCONT."""
        self.processes[name].send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> int:
        """Stop a process with SIGTERM, wait for its graceful shutdown and return its exit code."""
        process = self.processes.pop(name)
        process.terminate()
        return process.wait(timeout=STOP_TIMEOUT_S)

    def stop(self) -> None:
        """Kill every process and remove the data directory."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes.clear()
        for log_file in self._log_files:
            log_file.close()
        shutil.rmtree(self.data_root, ignore_errors=True)

    def endpoint_address(self, name: str) -> str:
        """Return the address of an endpoint."""
        return next(plan.address for plan in self.deployment.endpoints if plan.name == name)

    def start_process(
        self,
        name: str,
        module: str,
        arguments: list[str],
        environment: dict[str, str] | None = None,
    ) -> None:
        """Start a Python module as a process under a name; its output goes to NAME.log."""
        log_file = open(os.path.join(self.log_dir, f"{name}.log"), "ab")  # noqa: SIM115
        self._log_files.append(log_file)
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            env=environment or dict(os.environ),
            stdout=log_file,
            stderr=log_file,
        )
