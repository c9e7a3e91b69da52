"""Starts, kills and stops a deployment's processes on loopback."""

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

READY_LIMIT_S = 30.0
READY_PAUSE_S = 0.1
STOP_LIMIT_S = 25.0


class Fleet:
    """The processes of one deployment, by name."""

    def __init__(self, deployment: Deployment, logs: str | None = None) -> None:
        self.deployment = deployment
        self.folder = tempfile.mkdtemp(prefix="gentianspread-")
        self.log_folder = logs or self.folder
        os.makedirs(self.log_folder, exist_ok=True)
        self.fleet_secret = secrets.token_hex(16)
        self.operator_key = secrets.token_hex(16)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.addresses = {plan.name: plan.address for plan in deployment.vms}
        self.operator = OperatorClient(self.operator_key, list(self.addresses.values()))
        self._logs: list[IO[bytes]] = []

    def start(self) -> None:
        """Start all endpoints and VMs, and wait until all are ready and have primaries."""
        for endpoint in self.deployment.endpoints:
            self.start_endpoint(endpoint)
        for vm in self.deployment.vms:
            self.start_vm(vm)
        self.wait_ready(list(self.addresses))
        self.wait_primaries()

    def start_vm(self, plan: VMPlan) -> None:
        """Start one VM; its data folder is kept over restarts."""
        seeds = [vm for vm in self.deployment.vms if vm.is_first_voter]
        arguments = [
            f"--name={plan.name}",
            f"--zone={plan.zone}",
            f"--zones={','.join(self.deployment.zones)}",
            f"--listen={plan.address}",
            f"--seeds={','.join(f'{vm.name}={vm.address}' for vm in seeds)}",
        ]
        if plan.has_disk:
            data = os.path.join(self.folder, plan.name)
            os.makedirs(data, exist_ok=True)
            arguments.append(f"--data_dir={data}")
        environment = {
            **os.environ,
            "GENTIANSPREAD_FLEET_SECRET": self.fleet_secret,
            "GENTIANSPREAD_OPERATOR_KEY": self.operator_key,
        }
        self.start_process(plan.name, "gentianspread_server.main", arguments, environment)

    def start_endpoint(self, plan: EndpointPlan) -> None:
        """Start one endpoint stand-in."""
        deployment = self.deployment
        near = [vm.address for vm in deployment.vms if vm.zone == plan.zone]
        arguments = [
            f"--name={plan.name}",
            f"--listen={plan.address}",
            f"--zone={plan.zone}",
            f"--group={plan.group}",
            f"--announce_to={','.join(near)}",
            f"--connections={deployment.connections}",
            f"--slots={deployment.slots}",
            f"--connect_ms={deployment.connect_ms}",
            f"--lag_ms={deployment.lag_ms}",
            f"--read_ms={deployment.statement_ms}",
            f"--write_ms={deployment.statement_ms}",
        ]
        self.start_process(plan.name, "gentianspread_lab.endpoint", arguments)

    def wait_ready(self, names: list[str], limit: float = READY_LIMIT_S) -> None:
        """Wait until the VMs pass the balancer's check; the limit is in seconds."""
        give_up_at = time.monotonic() + limit
        for name in names:
            while not self.is_ready(name):
                if time.monotonic() > give_up_at:
                    raise TimeoutError(f"{name} was not ready within {limit} s")
                time.sleep(READY_PAUSE_S)

    def wait_primaries(self, limit: float = READY_LIMIT_S) -> None:
        """Wait until every group has a primary; the limit is in seconds."""
        give_up_at = time.monotonic() + limit
        wanted = set(self.deployment.groups)
        while not wanted <= self._groups_with_primary():
            if time.monotonic() > give_up_at:
                raise TimeoutError(f"not every group had a primary within {limit} s")
            time.sleep(READY_PAUSE_S)

    def _groups_with_primary(self) -> set[str]:
        groups = self.operator.status()["groups"]
        return {group["name"] for group in groups if group["primary"] is not None}

    def is_ready(self, name: str) -> bool:
        """Tell whether a VM passes the balancer's check."""
        try:
            return get(self.addresses[name], "/ready").status == 200
        except (RequestNotSentError, ResponseLostError, OSError):
            return False

    def kill(self, name: str) -> None:
        """Kill a process of this fleet at once."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def freeze(self, name: str) -> None:
        """Stop a process from running until it is thawed."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Have a frozen process run again."""
        self.processes[name].send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> int:
        """Stop a process in the planned way and return its exit code."""
        process = self.processes.pop(name)
        process.terminate()
        return process.wait(timeout=STOP_LIMIT_S)

    def stop(self) -> None:
        """End every process and remove the folder."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes.clear()
        for log in self._logs:
            log.close()
        shutil.rmtree(self.folder, ignore_errors=True)

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
        """Start a module of the workspace as a process with a name."""
        log = open(os.path.join(self.log_folder, f"{name}.log"), "ab")  # noqa: SIM115
        self._logs.append(log)
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            env=environment or dict(os.environ),
            stdout=log,
            stderr=log,
        )
