"""Starts control and entry VMs as processes on loopback, with simulated endpoints and cloud API."""

from __future__ import annotations

import os
import random
import shutil
import subprocess
import sys
import tempfile
from typing import Any

import gevent
import orjson
from gentianspread_server.connections import OK
from gevent.pywsgi import WSGIServer

from .announcer import ZONES, EndpointAnnouncer
from .database import DatabaseGroup
from .links import FaultyLink
from .operators import FIRST_KEYS, Configuration, Operator, call
from .owners import find_process
from .ports import PortBlock
from .promotionservice import LateDelivery, PromotionService
from .routedvm import ROUTES_VARIABLE

GRACE_PERIOD_S = 6.0
START_MESSAGE = b'"message":"started"'
PROGRAM = "gentianspread_server.platform"
ROUTED_PROGRAM = "gentianspread_lab.platform.routedvm"
START_TIMEOUT_S = 60.0  # of a whole fleet; a start takes half a second on an idle machine
KEPT_LOGS_FOLDER = os.path.join("out", "fleets")


class PlatformFleet:
    """Control and entry VMs as processes, and in this process three endpoints and the cloud API.

    With `traces_owners`, endpoints know which VM a connection comes from; finding it reads the
    descriptors of all processes. `slots` is how many statements each endpoint says that it runs at
    once. `limits` are settings that every process gets besides the others, `extra_settings` are
    those of processes that are started after they were added. With `links_control_vms`, entry VMs
    reach control VMs through `control_links`, by entry VM and by the control VM's address.
    """

    def __init__(
        self,
        entry_count: int = 3,
        slots: int = 3,
        traces_owners: bool = False,
        limits: dict[str, str] | None = None,
        links_control_vms: bool = False,
    ) -> None:
        self.folder = tempfile.mkdtemp(prefix="gentianspread-platform-")
        self.limits = limits or {}
        self.traces_owners = traces_owners
        self.extra_settings: dict[str, str] = {}
        self._blocks: list[PortBlock] = []
        self.control_addresses = [self.free_address() for _ in ZONES]
        self.entry_addresses = {
            f"entry-{number}": self.free_address() for number in range(1, entry_count + 1)
        }
        self.ready_addresses = {name: self.free_address() for name in self.entry_addresses}
        self.peer_addresses = {name: self.free_address() for name in self.entry_addresses}
        self.metrics_addresses = {
            name: self.free_address() for name in (*self.control_names(), *self.entry_addresses)
        }
        self.control_links: dict[str, dict[str, FaultyLink]] = {}
        if links_control_vms:
            self.control_links = {
                name: {
                    item: FaultyLink(self.free_address(), item) for item in self.control_addresses
                }
                for name in self.entry_addresses
            }
        self.cloud_api_address = self.free_address()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._log_offsets: dict[str, int] = {}
        self.names_by_pid: dict[int, str] = {}
        self.operator = Operator(self.control_addresses)
        self.database = DatabaseGroup(["e1", "e2", "e3"])
        self.late_commands = LateDelivery(random.Random(entry_count))
        self.late_calls = LateDelivery(random.Random(entry_count))
        self.announcer = EndpointAnnouncer(
            self.database,
            self.late_commands,
            self.control_addresses,
            self.free_address,
            self._find_owner,
            slots,
        )
        self.promotion_service = PromotionService(self.database, self.late_calls)
        self._server = WSGIServer(
            (
                self.cloud_api_address.partition(":")[0],
                int(self.cloud_api_address.partition(":")[2]),
            ),
            self._handle_promote_call,
            log=None,
        )

    def free_address(self) -> str:
        """Return an address with a port that nothing else uses while the fleet runs."""
        if not self._blocks or not self._blocks[-1].has_free_port():
            self._blocks.append(PortBlock.reserve())
        return self._blocks[-1].next_address()

    def control_names(self) -> list[str]:
        """Return the names of the control VMs, in the order of their addresses."""
        return [f"control-{number}" for number in range(1, len(self.control_addresses) + 1)]

    def start(self) -> None:
        """Start everything and return once every entry VM is ready for callers."""
        self._server.start()
        self.announcer.start()
        for links in self.control_links.values():
            for link in links.values():
                link.start()
        for index in range(len(self.control_addresses)):
            self.start_control(index, is_first=True)
        for name in self.entry_addresses:
            self.start_entry(name)
        if not self.operator.declare(Configuration(1, FIRST_KEYS)):
            raise TimeoutError("The first configuration was not acknowledged.")
        for name in self.entry_addresses:
            self.wait_until_ready(name)

    def start_control(self, index: int, is_first: bool = False) -> None:
        """Start a control VM; index 0 is control-1."""
        name = f"control-{index + 1}"
        settings = self._settings(name, ZONES[index], is_first)
        settings["listenAddrs.control"] = self.control_addresses[index]
        settings["dataDir"] = self.data_folder(name)
        self._start_process(name, settings)

    def start_entry(self, name: str) -> None:
        """Start an entry VM."""
        zone = ZONES[(int(name.rpartition("-")[2]) - 1) % len(ZONES)]
        settings = self._settings(name, zone, False)
        settings["listenAddrs.front"] = self.entry_addresses[name]
        settings["listenAddrs.ready"] = self.ready_addresses[name]
        port = self.peer_addresses[name].rpartition(":")[2]
        settings["portRange"] = f"{port},{port}"
        self._start_process(name, settings)

    def start_again(self, name: str) -> None:
        """Start a process that ended."""
        if name in self.entry_addresses:
            self.start_entry(name)
        else:
            self.start_control(self.control_names().index(name))

    def kill(self, name: str) -> None:
        """Kill a process of this fleet."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def has_started(self, name: str) -> bool:
        """Return whether a process has logged its start; from then on it handles signals."""
        with open(self._log_path(name), "rb") as file:
            file.seek(self._log_offsets[name])
            return START_MESSAGE in file.read()

    def log_of(self, name: str) -> str:
        """Return the log of a process."""
        with open(self._log_path(name), encoding="utf-8") as file:
            return file.read()

    def stop(self, keep_logs: bool = False) -> None:
        """Kill every process of this fleet and remove its folder.

        With `keep_logs`, copy the logs of the processes to a folder under `KEPT_LOGS_FOLDER` first.
        """
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.announcer.stop()
        for links in self.control_links.values():
            for link in links.values():
                link.stop()
        self._server.close()
        for block in self._blocks:
            block.release()
        if keep_logs:
            self._keep_logs()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _keep_logs(self) -> None:
        folder = os.path.join(KEPT_LOGS_FOLDER, os.path.basename(self.folder))
        os.makedirs(folder, exist_ok=True)
        for name in os.listdir(self.folder):
            if name.endswith((".log", ".conf")):
                shutil.copy(os.path.join(self.folder, name), folder)
        print(f"The logs of the processes are in {folder}.")

    def last_log_line(self, name: str) -> str:
        """Return the last line of a process's log."""
        with open(self._log_path(name), "rb") as file:
            lines = file.read().splitlines()
        return lines[-1].decode(errors="replace") if lines else "(nothing)"

    def _settings(self, name: str, zone: str, is_first: bool) -> dict[str, str]:
        settings = {
            "nodeName": name,
            "ip": "127.0.0.1",
            "zone": zone,
            "seedNodes": ",".join(self.control_addresses),
            "bootstrap": "true" if is_first else "false",
            "faultTolerance.machines": "1",
            "bounds.graceS": f"{GRACE_PERIOD_S:g}",
            "bounds.revokeMs": "5000",
            "cloudApi.address": self.cloud_api_address,
            **self.limits,
        }
        settings.update({f"zones.{item}": "region" for item in ZONES})
        settings.update(self.extra_settings)
        return settings

    def change_settings(self, name: str, lines: list[str], in_place: bool) -> None:
        """Append lines to a process's settings file, in place or by replacing the file."""
        path = self._settings_path(name)
        with open(path, encoding="utf-8") as file:
            text = file.read() + "".join(f"{line}\n" for line in lines)
        written = path if in_place else f"{path}.new"
        with open(written, "w", encoding="utf-8") as file:
            file.write(text)
        os.replace(written, path)

    def data_folder(self, name: str) -> str:
        """Return the data folder of a control VM."""
        return os.path.join(self.folder, name)

    def _settings_path(self, name: str) -> str:
        return os.path.join(self.folder, f"{name}.conf")

    def _log_path(self, name: str) -> str:
        return os.path.join(self.folder, f"{name}.log")

    def _start_process(self, name: str, settings: dict[str, str]) -> None:
        path = self._settings_path(name)
        with open(path, "w", encoding="utf-8") as file:
            file.writelines(f"{key}={value}\n" for key, value in settings.items())
        environment = {
            **os.environ,
            "GENTIANSPREAD_BOOT": path,
            "GENTIANSPREAD_FLEET_SECRET": "a-secret-of-the-stand-in",
            "GENTIANSPREAD_METRICS_PORT": self.metrics_addresses[name].rpartition(":")[2],
        }
        links = self.control_links.get(name, {})
        if links:
            routes = [f"{address}={link.address}" for address, link in links.items()]
            environment[ROUTES_VARIABLE] = ",".join(routes)
        program = ROUTED_PROGRAM if links else PROGRAM
        with open(self._log_path(name), "ab") as output:
            self._log_offsets[name] = output.tell()
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", program],
                env=environment,
                stdout=output,
                stderr=output,
            )
        self.names_by_pid[self.processes[name].pid] = name

    def is_entry_ready(self, name: str) -> bool:
        """Return whether an entry VM answers that it accepts new callers."""
        response = call(self.ready_addresses[name], "GET", "/ready")
        return response is not None and response.status == OK

    def wait_until_ready(self, name: str) -> None:
        """Wait until an entry VM accepts new callers; raise `TimeoutError` if it does not."""
        try:
            with gevent.Timeout(START_TIMEOUT_S):
                while not self.is_entry_ready(name):
                    gevent.sleep(0.1)
        except gevent.Timeout:
            raise TimeoutError(
                f"{name} was not ready in {START_TIMEOUT_S:g} s; its last log line: "
                f"{self.last_log_line(name)}"
            ) from None

    def cut_off_primary(self) -> str:
        """Cut the primary off from the control VMs only, and return its name."""
        name = self.database.source
        link = self.announcer.links[name]
        link_port = int(link.address.rpartition(":")[2])
        self.announcer.cut_off.add(name)
        link.cut_off(lambda port: self._is_control_vm(port, link_port))
        return name

    def replica_names(self) -> list[str]:
        """Return the names of the endpoints that run and have not led last."""
        return [
            name
            for name in self.announcer.endpoints
            if name != self.database.source and self.database.copies[name].alive
        ]

    def restore(self, name: str) -> None:
        """Connect an endpoint that was cut off."""
        self.announcer.cut_off.discard(name)
        if name in self.announcer.links:
            self.announcer.links[name].restore()

    def _is_control_vm(self, local_port: int, remote_port: int) -> bool:
        control_vms = {
            pid: name for pid, name in self.names_by_pid.items() if name in self.control_names()
        }
        return bool(find_process(local_port, remote_port, control_vms))

    def _find_owner(self, local_port: int, remote_port: int) -> str:
        if not self.traces_owners:
            return ""
        return find_process(local_port, remote_port, self.names_by_pid)

    def _handle_promote_call(self, environ: Any, start_response: Any) -> list[bytes]:
        body = orjson.loads(environ["wsgi.input"].read())
        fencing_token = int(environ["HTTP_X_FENCE_TOKEN"])
        is_carried_out = self.promotion_service.call(body["id"], fencing_token)
        start_response("200 OK" if is_carried_out else "409 Conflict", [("Content-Length", "2")])
        return [b"{}"]
