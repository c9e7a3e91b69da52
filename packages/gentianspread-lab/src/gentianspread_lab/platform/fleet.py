"""Starts control and entry VMs as processes on loopback, with simulated endpoints and cloud API."""

from __future__ import annotations

import logging
import os
import shutil
import signal
import subprocess
import sys
import tempfile
from functools import partial
from typing import Any

import gevent
import orjson
from gentianspread_server.connections import Connection, RequestNotSentError, ResponseLostError
from gevent.pywsgi import WSGIServer

from .database import DatabaseGroup
from .endpoint import SimulatedEndpoint
from .links import FaultyLink
from .owners import find_process
from .ports import PortBlock

log = logging.getLogger(__name__)

GROUP = "db1"
ZONES = ("z1", "z2", "z3")
WORKSPACE_KEYS = {"w1": ["key-1"], "w2": ["key-2"]}
HEARTBEAT_INTERVAL_S = 0.4
CALL_TIMEOUT_S = 2.0
START_TIMEOUT_S = 30.0  # a start takes half a second on an idle machine
MAX_CONNECTIONS = 100
KEPT_LOGS_FOLDER = os.path.join("out", "fleets")
STOP_TIMEOUT_S = 12.0  # the grace period in the settings is 6 s


class PlatformFleet:
    """Control and entry VMs as processes, and in this process three endpoints and the cloud API.

    `slots` is how many statements each endpoint says that it runs at once.
    """

    def __init__(self, entry_count: int = 3, slots: int = 3) -> None:
        self.slots = slots
        self.folder = tempfile.mkdtemp(prefix="gentianspread-platform-")
        self._ports = PortBlock.reserve()
        free_address = self._ports.next_address
        self.control_addresses = [free_address() for _ in ZONES]
        self.entry_addresses = {
            f"entry-{number}": free_address() for number in range(1, entry_count + 1)
        }
        self.ready_addresses = {name: free_address() for name in self.entry_addresses}
        self.peer_addresses = {name: free_address() for name in self.entry_addresses}
        self.cloud_api_address = free_address()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.names_by_pid: dict[int, str] = {}
        names = ["e1", "e2", "e3"]
        self.database = DatabaseGroup(names)
        self.endpoints = {
            name: SimulatedEndpoint(name, GROUP, self.database, free_address()) for name in names
        }
        self.links = {
            name: FaultyLink(free_address(), endpoint.address)
            for name, endpoint in self.endpoints.items()
        }
        for name, endpoint in self.endpoints.items():
            endpoint.find_vm = partial(self._find_vm, name)
        self._heartbeat_sequence = 0
        self._server = WSGIServer(
            (
                self.cloud_api_address.partition(":")[0],
                int(self.cloud_api_address.partition(":")[2]),
            ),
            self._handle_promote_call,
            log=None,
        )
        self._stopped = False

    def start(self) -> None:
        """Start everything and return once every entry VM is ready for callers."""
        self._server.start()
        for endpoint in self.endpoints.values():
            endpoint.start()
        for link in self.links.values():
            link.start()
        for index in range(len(self.control_addresses)):
            self.start_control(index, is_first=True)
        for name in self.entry_addresses:
            self.start_entry(name)
        gevent.spawn(self._send_heartbeats)
        self.declare(1, WORKSPACE_KEYS)
        for name in self.entry_addresses:
            self.wait_until_ready(name)

    def start_control(self, index: int, is_first: bool = False) -> None:
        """Start a control VM; index 0 is control-1."""
        name = f"control-{index + 1}"
        settings = self._settings(name, ZONES[index], is_first)
        settings["listenAddrs.control"] = self.control_addresses[index]
        settings["dataDir"] = os.path.join(self.folder, name)
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

    def restart_endpoint(self, name: str) -> None:
        """Start a crashed endpoint with its own log, or with the log of a newer primary."""
        self.database.rejoin(name)
        self.endpoints[name].start()

    def kill(self, name: str) -> None:
        """Kill a process of this fleet."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def terminate(self, name: str) -> int:
        """Stop a process gracefully and return its exit code."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        timeout = gevent.Timeout(STOP_TIMEOUT_S)
        with timeout:
            while process.poll() is None:
                gevent.sleep(0.05)
        return process.returncode

    def declare(self, version: int, keys: dict[str, list[str]]) -> None:
        """Declare a version of the configuration; retry until it is acknowledged.

        `keys` gives the keys by workspace; a key that the version no longer has is withdrawn.
        """
        document = {
            "version": version,
            "routes": [
                _route("latest", "primary", None),
                _route("bounded", "bounded_stale", 1500),
                _route("own", "read_own", 2500),
                _route("slow", "primary", None, timeout_ms=2000, objective_ms=1900),
            ],
            "services": [{"name": GROUP, "maxConns": MAX_CONNECTIONS, "syncReplicas": 1}],
            "limits": {"txIdleMs": 3000},
            "tenants": [
                {"name": name, "apiKeys": items, "ratePerS": 2000, "burstSize": 2000}
                for name, items in keys.items()
            ],
        }
        body = orjson.dumps(document)
        with gevent.Timeout(START_TIMEOUT_S):
            while not any(
                self.post(address, "/Config.Replace", body) for address in self.control_addresses
            ):
                gevent.sleep(0.1)

    def post(self, address: str, path: str, body: bytes) -> bool:
        """Post a body to a control VM and return whether the response has status 200."""
        connection = Connection(address)
        head = f"POST {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {len(body)}\r\n\r\n"
        try:
            connection.open(CALL_TIMEOUT_S)
            return connection.request(head.encode() + body, CALL_TIMEOUT_S).status == 200
        except (RequestNotSentError, ResponseLostError) as error:
            log.debug("no response from %s: %s", address, error)
            return False
        finally:
            connection.close()

    def stop(self, keep_logs: bool = False) -> None:
        """Kill every process of this fleet and remove its folder.

        With `keep_logs`, copy the logs of the processes to a folder under `KEPT_LOGS_FOLDER` first.
        """
        self._stopped = True
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        for endpoint in self.endpoints.values():
            endpoint.crash()
        for link in self.links.values():
            link.stop()
        self._server.close()
        self._ports.release()
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
        with open(os.path.join(self.folder, f"{name}.log"), "rb") as file:
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
            "bounds.graceS": "6",
            "bounds.revokeMs": "5000",
            "cloudApi.address": self.cloud_api_address,
        }
        settings.update({f"zones.{item}": "region" for item in ZONES})
        return settings

    def _start_process(self, name: str, settings: dict[str, str]) -> None:
        path = os.path.join(self.folder, f"{name}.conf")
        with open(path, "w", encoding="utf-8") as file:
            file.writelines(f"{key}={value}\n" for key, value in settings.items())
        environment = {
            **os.environ,
            "GENTIANSPREAD_BOOT": path,
            "GENTIANSPREAD_FLEET_SECRET": "a-secret-of-the-stand-in",
        }
        with open(os.path.join(self.folder, f"{name}.log"), "ab") as output:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "gentianspread_server.platform"],
                env=environment,
                stdout=output,
                stderr=output,
            )
        self.names_by_pid[self.processes[name].pid] = name

    def is_entry_ready(self, name: str) -> bool:
        """Return whether an entry VM answers that it accepts new callers."""
        host, _, port = self.ready_addresses[name].rpartition(":")
        return _is_ready(host, int(port))

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

    def _find_vm(self, endpoint: str, link_port: int) -> str:
        """Return the VM whose connection a link forwards to an endpoint, or an empty name."""
        link = self.links[endpoint]
        port = int(link.address.rpartition(":")[2])
        return find_process(link.client_ports.get(link_port, 0), port, self.names_by_pid)

    def _send_heartbeats(self) -> None:
        while not self._stopped:
            self._heartbeat_sequence += 1
            for name, endpoint in self.endpoints.items():
                if self.database.copies[name].alive:
                    self._send_heartbeat(name, endpoint)
            gevent.sleep(HEARTBEAT_INTERVAL_S)

    def _send_heartbeat(self, name: str, endpoint: SimulatedEndpoint) -> None:
        message = {
            "service": GROUP,
            "address": self.links[name].address,
            "zone": ZONES[int(name[1:]) - 1],
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "dbRole": "primary" if self.database.is_primary(name) else "replica",
            "sequence": self._heartbeat_sequence,
            "born": 1_700_000_000_000,
        }
        body = orjson.dumps(message)
        for address in self.control_addresses:
            if self.post(address, f"/Instances.Heartbeat/{name}", body):
                return

    def _handle_promote_call(self, environ: Any, start_response: Any) -> list[bytes]:
        body = orjson.loads(environ["wsgi.input"].read())
        fencing_token = int(environ["HTTP_X_FENCE_TOKEN"])
        is_promoted = self.database.promote(body["id"], fencing_token)
        start_response("200 OK" if is_promoted else "409 Conflict", [("Content-Length", "2")])
        return [b"{}"]


def _route(
    host: str,
    kind: str,
    max_age_ms: int | None,
    timeout_ms: int = 1000,
    objective_ms: int = 400,
) -> dict[str, Any]:
    route = {
        "name": f"r-{host}",
        "host": host,
        "pathPrefix": "/",
        "routeType": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": objective_ms,
        "priority": 1,
        "service": GROUP,
    }
    if max_age_ms is not None:
        route["maxStalenessMs"] = max_age_ms
    return route


def _is_ready(host: str, port: int) -> bool:
    connection = Connection(f"{host}:{port}")
    try:
        connection.open(CALL_TIMEOUT_S)
        request = f"GET /ready HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()
        return connection.request(request, CALL_TIMEOUT_S).status == 200
    except (RequestNotSentError, ResponseLostError) as error:
        log.debug("not ready yet: %s", error)
        return False
    finally:
        connection.close()
