"""Stand-ins for the scripts of review 3: a small fleet on loopback, and everything around it.

Only the standard library is used. The control and entry VMs are the project's own program, started
with the command of the deploy file. Databases, platform, operator and clients live in this process,
so that one monotonic clock orders all that they see.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any, Callable

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
COMMAND = ["python3", "-S", "-m", "gentianspread_server.platform"]  # as in deploy/system.toml
SECRET = "change-me-before-real-use"
ZONES = ("kochi", "kozhikode", "thrissur")
FRONT_PORT, READY_PORT, CONTROL_PORT, FIRST_PORT, METRICS_PORT = 8465, 8460, 8462, 7560, 9464
DB_PORT, CLOUD_PORT = 8080, 8466
HEARTBEAT_S = 1.2
PROMOTE_S = 0.3
LAG_S = 0.02
RECEIVE_S = 0.003
HANDSHAKE_S = 0.005
WORK_S = 0.004
ROLLBACK_S = 0.2
SERVICE = "dahu75a"
KEY, TENANT = "u6wsjnbanfqasnmgkcuy", "nypu920"
HOSTS = {"primary": "lepu270", "bounded_stale": "xapu221", "read_own": "fiti832"}
MAX_AGE_MS = {"bounded_stale": 1500, "read_own": 2500}


def trouble() -> bool:
    """Return whether the script is to bring about its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to record.txt in the script's folder."""

    def __init__(self, folder: str) -> None:
        self.started_at = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def add(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.started_at:9.4f} {text}\n")

    def say(self, text: str) -> None:
        print(text, flush=True)
        self.add(text)

    def close(self) -> None:
        self.file.close()


class Backend:
    """One database backend, as PROTOCOL.md describes it.

    `log` has (statement id, term) as received; `applied` says from when each entry is applied.
    """

    def __init__(self, group: Group, name: str, address: str, zone: str) -> None:
        self.group, self.name, self.address, self.zone = group, name, address, zone
        self.log: list[tuple[str, int]] = []
        self.applied_at: list[float] = []
        self.term = 1
        self.paused_term = 0
        self.lag_s = LAG_S
        self.is_deaf = False
        self.alive = False
        self.state = "ready"
        self.born = 0
        self.sequence = 0
        self.busy_until = 0.0
        self.cut_from: set[int] = set()  # processes whose packets do not arrive, nor answers leave
        self.heartbeats_cut = False
        self.has_announced = True
        self.last_owner = 0  # the process that sent the last statement of a client
        self.server: Any = None
        self.writers: set[Any] = set()
        self.health_server: Any = None

    @property
    def leads(self) -> bool:
        return self.group.primary is self

    def applied(self) -> int:
        """Return how many entries of the log are applied."""
        if self.leads:
            return len(self.log)
        now = time.monotonic()
        count = len(self.log)
        while count and self.applied_at[count - 1] > now:
            count -= 1
        return count

    def position(self, length: int) -> str:
        return f"{self.log[length - 1][1] if length else 0}.{length}"

    def receive(self, entries: list[tuple[str, int]]) -> None:
        at = time.monotonic() + self.lag_s
        for entry in entries:
            self.log.append(entry)
            self.applied_at.append(at)

    def cut_back(self, length: int) -> None:
        if length < len(self.log):
            del self.log[length:]
            del self.applied_at[length:]
            self.busy_until = time.monotonic() + ROLLBACK_S

    async def start(self, announced: bool = True) -> None:
        host, port = self.address.split(":")
        self.alive, self.born, self.sequence = True, int(time.time() * 1000), 0
        self.has_announced = announced
        self.server = await asyncio.start_server(self._serve, host, int(port), backlog=512)
        self.group.pull(self)

    def crash(self) -> None:
        """End at once: connections break and nothing is announced."""
        self.alive = False
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.writers.add(writer)
        try:
            owner = self.group.fleet.owner_of(writer.get_extra_info("peername")[1])
            await _Connection(self, reader, writer, owner).run()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def announce(self) -> None:
        """Send heartbeats until the backend crashes; to the next node after a failure."""
        while self.alive:
            if self.has_announced and not self.heartbeats_cut:
                await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def beat(self) -> bool:
        self.sequence += 1
        body = {
            "service": SERVICE, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": 4, "state": self.state, "coldRemainingMs": 0,
            "dbRole": "primary" if self.leads else "replica",
            "sequence": self.sequence, "born": self.born,
        }
        return await self.group.fleet.post_to_control(f"/Instances.Heartbeat/{self.name}", body)


class _Connection:
    """One connection of a VM to a backend."""

    def __init__(self, backend: Backend, reader: Any, writer: Any, owner: int) -> None:
        self.backend, self.reader, self.writer, self.owner = backend, reader, writer, owner
        self.born = backend.born
        self.workspace = ""
        self.values: dict[str, str] = {}
        self.prepared: dict[str, str] = {}
        self.state = "I"
        self.read_only = False
        self.term = 0
        self.writes: list[str] = []

    async def run(self) -> None:
        backend = self.backend
        words = (await self._line()).split(" ")
        await self._hold_if_cut()
        if words[:2] != ["OPEN", SERVICE] or (words[3:] and words[3] != backend.name):
            self.writer.write(b"ERROR WRONGNODE %s\r\n" % backend.name.encode())
            await self.writer.drain()
            return
        self.workspace = words[2]
        await asyncio.sleep(HANDSHAKE_S)
        self.writer.write(self._ready())
        while True:
            line = await self._line()
            await self._hold_if_cut()
            if line == "CLOSE":
                return
            _, number, text = line.split(" ", 2)
            rows, signature, error = await self._run(number, text)
            await self._hold_if_cut()
            if not backend.alive or backend.born != self.born:
                return
            out = b""
            if error:
                if self.state == "T":
                    self.state = "E"
                out = f"ERROR {error} {backend.name}\r\n".encode()
            else:
                out = "".join(f"ROW {row}\r\n" for row in rows).encode()
                out += f"COMPLETE {signature}\r\n".encode()
            self.writer.write(out + self._ready())
            await self.writer.drain()

    async def _hold_if_cut(self) -> None:
        """Keep the packets of a partition back; connections that lasted through it go on."""
        while self.owner in self.backend.cut_from:
            await asyncio.sleep(0.05)

    async def _line(self) -> str:
        line = await self.reader.readuntil(b"\r\n")
        return line[:-2].decode("utf-8", "surrogateescape")

    def _ready(self) -> bytes:
        backend = self.backend
        return f"READY {self.state} {backend.position(backend.applied())}\r\n".encode()

    async def _run(self, number: str, text: str) -> tuple[list[str], str, str]:
        backend, group = self.backend, self.backend.group
        if text.startswith("WAITPOS "):
            _, wanted, text = text.split(" ", 2)
            at = tuple(map(int, backend.position(backend.applied()).split(".")))
            if at < tuple(map(int, wanted.split("."))):
                return [], "", "LAGGING"
        word, _, rest = text.partition(" ")
        if word == "RESET":
            self.values.clear()
            self.prepared.clear()
            return [], "-", ""
        if word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            return [], "-", ""
        if word == "PREPARE":
            name, _, shape = rest.partition(" ")
            self.prepared[name] = shape
            return [], "-", ""
        if word in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return group.command(backend, word, rest)
        if word == "BEGIN":
            self.read_only = rest == "READ"
            if not self.read_only and not backend.leads:
                return [], "", "READONLY"
            self.state, self.term, self.writes = "T", backend.term, []
            return [], "-", ""
        if word == "ROLLBACK":
            self.state, self.writes = "I", []
            return [], "-", ""
        if self.state == "E":
            return [], "", "MALFORMED"
        await asyncio.sleep(WORK_S)
        if backend.busy_until > time.monotonic():
            return [], "", "BUSY"
        writes = word == "WRITE"
        if word == "EXECUTE":
            shape = self.prepared.get(rest.split(" ")[0])
            if shape is None:
                return [], "", "NOSTMT"
            writes = shape.startswith("WRITE")
        if word == "COMMIT" and not self.writes:
            # Allowed also after the backend lost the lead.
            self.state = "I"
            group.fleet.record.add(f"run {number} COMMIT (nothing written) on {backend.name}"
                                   f" {backend.position(backend.applied())}")
            return [], f"sig.{backend.name}.{number}", ""
        plain = self.state == "T" and not self.read_only
        if (writes and not backend.leads) or (
            plain and not (backend.leads and self.term == backend.term)
        ):
            return [], "", "READONLY"
        if word == "COMMIT":
            done, self.writes, self.state = self.writes, [], "I"
            return await group.commit(backend, done, number)
        length = backend.applied()
        backend.last_owner = self.owner
        group.tenants[number] = self.workspace
        group.ran(number, text, backend, length, writes)
        if writes and self.state == "T":
            self.writes.append(number)
            return [], f"sig.{backend.name}.{number}", ""
        if writes:
            return await group.commit(backend, [number], number)
        return [str(length)], f"sig.{backend.name}.{number}", ""


class Group:
    """The three copies of one database, and its log."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.backends: dict[str, Backend] = {}
        self.primary: Backend | None = None
        self.source: Backend | None = None
        self.term = 1
        self.pending: list[tuple[int, asyncio.Future]] = []
        self.committed_at: dict[str, float] = {}
        self.reads: list[tuple[str, float, Backend, set[str]]] = []
        self.tenants: dict[str, str] = {}  # that the backends were told, by statement id
        self.promotions: list[tuple[float, str, int]] = []
        self.fence = 0

    def pull(self, backend: Backend) -> None:
        """Let a replica receive what it lacks of the primary's log, a moment later."""
        born = backend.born

        def receive() -> None:
            source = self.source
            is_receiving = backend.alive and backend.born == born and source is not None
            if not is_receiving or backend is source or not source.alive:
                return
            if backend.paused_term or backend.is_deaf:
                return
            shared = min(len(backend.log), len(source.log))
            while shared and backend.log[shared - 1] != source.log[shared - 1]:
                shared -= 1
            backend.cut_back(shared)
            backend.receive(source.log[shared:])
            for item in [item for item in self.pending if item[0] <= len(backend.log)]:
                self.pending.remove(item)
                if not item[1].done():
                    item[1].set_result(True)

        asyncio.get_running_loop().call_later(RECEIVE_S, receive)

    async def commit(
        self, backend: Backend, writes: list[str], number: str
    ) -> tuple[list[str], str, str]:
        """Append writes, and answer once a replica has received them."""
        for item in writes:
            backend.receive([(item, backend.term)])
        future = asyncio.get_running_loop().create_future()
        entry = (len(backend.log), future)
        self.pending.append(entry)
        for other in self.backends.values():
            self.pull(other)
        try:
            await asyncio.wait_for(future, 3.0)
        except asyncio.TimeoutError:
            if entry in self.pending:
                self.pending.remove(entry)
            return [], "", "TIMEOUT"
        if not future.result():
            return [], "", "TIMEOUT"
        now = time.monotonic()
        for item in writes:
            self.committed_at[item] = now
        self.fleet.record.add(f"run {number} committed {writes} on {backend.name}"
                              f" {backend.position(len(backend.log))}")
        return [], f"sig.{backend.name}.{number}", ""

    def ran(self, number: str, text: str, backend: Backend, length: int, writes: bool) -> None:
        self.fleet.record.add(
            f"run {number} {text} on {backend.name} {backend.position(length)}"
        )
        if not writes:
            known = {item for item, _ in backend.log[:length]}
            self.reads.append((number, time.monotonic(), backend, known))

    def command(self, backend: Backend, word: str, rest: str) -> tuple[list[str], str, str]:
        if backend.busy_until > time.monotonic():
            return [], "", "BUSY"
        if word == "PAUSE" and int(rest) > backend.term:
            backend.paused_term = max(backend.paused_term, int(rest))
        elif word == "RESUME":
            backend.paused_term = 0
            self.pull(backend)
        elif word == "STEPDOWN" and backend.leads and int(rest) > backend.term:
            self.primary = None
        if word != "STATUS":
            self.fleet.record.add(f"command {word} {rest} on {backend.name}")
        role = "primary" if backend.leads else "replica"
        received = backend.position(len(backend.log))
        row = f"{role} {backend.term} {received} {backend.paused_term} 0 0 1"
        return [row], "-", ""

    def promote(self, name: str, fence: int) -> int:
        """Handle a call; the endpoint leads some hundred milliseconds later."""
        if fence < self.fence:
            return 409
        self.fence = fence
        backend = self.backends.get(name)
        if backend is None or not backend.alive:
            return 409
        if not backend.leads:
            asyncio.get_running_loop().call_later(PROMOTE_S, self.lead, backend)
        return 200

    def lead(self, backend: Backend) -> None:
        if not backend.alive or backend.leads:
            return
        self.term += 1
        self.primary = self.source = backend
        backend.paused_term = 0
        for _, future in self.pending:
            if not future.done():
                future.set_result(False)
        self.pending.clear()
        for other in self.backends.values():
            if other.alive:
                other.term = self.term
                other.paused_term = 0
                self.pull(other)
        self.promotions.append((time.monotonic(), backend.name, self.term))
        self.fleet.record.say(f"{backend.name} leads term {self.term}")


class Fleet:
    """The project's processes, and the stand-ins around them."""

    def __init__(self, folder: str, entries: int = 2, controls: int = 3, backends: int = 3) -> None:
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review3-")
        self.network = self._free_network()
        self.controls = {f"core-{ZONES[i % 3]}-{i}": self._ip(10 + i) for i in range(controls)}
        self.entries = {f"front-{ZONES[i % 3]}-{i}": self._ip(30 + i) for i in range(entries)}
        self.seeds = [f"{ip}:{CONTROL_PORT}" for ip in list(self.controls.values())[:3]]
        self.processes: dict[str, subprocess.Popen] = {}
        self.group = Group(self)
        for i in range(backends):
            self.add_backend(ZONES[i % 3])
        self.cloud = f"{self._ip(200)}:{CLOUD_PORT}"
        self.cloud_down = False
        self.settings: dict[str, str] = {}
        self.document: dict[str, Any] = {}
        self._tasks: list[asyncio.Task] = []
        self._statement = 0
        self.control_list = list(self.seeds)

    def add_backend(self, zone: str) -> Backend:
        count = len(self.group.backends)
        backend = Backend(
            self.group, f"i-{count:08x}", f"{self._ip(100 + count)}:{DB_PORT}", zone
        )
        self.group.backends[backend.name] = backend
        if self.group.primary is None and count == 0:
            self.group.primary = self.group.source = backend
        return backend

    def _free_network(self) -> str:
        """Return a prefix of loopback addresses on which the ports are free."""
        while True:
            prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                for last in (10, 30, 100, 200):
                    for port in (FRONT_PORT, CONTROL_PORT, METRICS_PORT, DB_PORT, FIRST_PORT):
                        with socket.socket() as probe:
                            probe.bind((f"{prefix}.{last}", port))
            except OSError:
                continue
            return prefix

    def _ip(self, last: int) -> str:
        return f"{self.network}.{last}"

    def spawn(self, work: Any) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.append(task)
        return task

    def start_process(self, name: str, first: bool = False) -> None:
        is_core = name in self.controls
        ip = self.controls[name] if is_core else self.entries[name]
        zone = name.split("-")[1]
        lines = {
            "nodeName": name, "role": "control" if is_core else "entry",
            "nodeClass": "core" if is_core else "front",
            "serves": "control" if is_core else "front", "ip": ip, "zone": zone,
            "region": "kerala", **{f"zones.{item}": "kerala" for item in ZONES},
            "portRange": f"{FIRST_PORT},{FIRST_PORT + 15}", "seedNodes": ",".join(self.seeds),
            "bootstrap": "true" if first else "false",
            "inTolerance": "true" if is_core else "false",
            "limits.cpuShare": "0.731", "limits.cores": "1",
            "limits.memoryMb": "296" if is_core else "222",
            "limits.maxFds": "4096" if is_core else "1605", "limits.linkMbps": "350.0",
            "limits.diskMb": "128" if is_core else "0", "discovery": "registry",
            "entryMode": "vip", "heartbeatMs": "1200",
            "contracts": "base,drain,config,cost,recover,sql,tenants,quota",
            "faultTolerance.machines": "1", "faultTolerance.zones": "1",
            "faultTolerance.regions": "0", "bounds.seedLagS": "3", "bounds.addrReuseS": "2",
            "bounds.contactMs": "4000", "bounds.ackMs": "5000", "bounds.catchUpS": "4",
            "bounds.drainMs": "7000", "bounds.graceS": "6", "bounds.lossSlackMs": "200",
            "bounds.configApplyMs": "3000", "bounds.downgradeSlackMs": "250",
            "bounds.maxSkewMs": "12000", "bounds.strictRevoke": "true",
            "bounds.revokeMs": "5000", "bounds.quotaWindowS": "5",
            "bounds.quotaOverage": "0.1", "bounds.quotaSlack": "20", "bounds.recoveryS": "12",
            "bounds.fencingEnforced": "true", "bounds.thawSlackMs": "300",
            "config_mode": "highest", "cloudApi.address": self.cloud,
            "cloudApi.ratePerS": "50.0", "cloudApi.duties": "promotion",
            "cloudApi.dutyPerS": "50.0", **self.settings,
        }
        if is_core:
            lines["listenAddrs.control"] = f"{ip}:{CONTROL_PORT}"
            lines["dataDir"] = os.path.join(self.folder, name)
            os.makedirs(lines["dataDir"], exist_ok=True)
        else:
            lines["listenAddrs.front"] = f"{ip}:{FRONT_PORT}"
            lines["listenAddrs.ready"] = f"{ip}:{READY_PORT}"
        path = os.path.join(self.folder, f"{name}.conf")
        with open(path, "w", encoding="utf-8") as file:
            file.writelines(f"{key}={value}\n" for key, value in lines.items())
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment.update({
            "PYTHONPATH": "target/deps", "GENTIANSPREAD_BOOT": path,
            "GENTIANSPREAD_FLEET_SECRET": SECRET, "GENTIANSPREAD_METRICS_PORT": str(METRICS_PORT),
        })
        with open(os.path.join(self.folder, f"{name}.log"), "ab") as output:
            self.processes[name] = subprocess.Popen(
                COMMAND, cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    def kill(self, name: str) -> None:
        process = self.processes.pop(name)
        process.send_signal(signal.SIGCONT)
        process.kill()
        process.wait()

    def owner_of(self, port: int) -> int:
        """Return the pid of the process of this fleet that has a connection from a port, or 0."""
        wanted = f":{port:04X}"
        inode = ""
        with open("/proc/net/tcp", encoding="ascii") as file:
            for line in file.readlines()[1:]:
                fields = line.split()
                if fields[1].endswith(wanted) and fields[1].split(":")[1] == wanted[1:]:
                    if fields[9] != "0":
                        inode = fields[9]
                        break
        if not inode:
            return 0
        for process in list(self.processes.values()):
            folder = f"/proc/{process.pid}/fd"
            try:
                for item in os.listdir(folder):
                    try:
                        if os.readlink(f"{folder}/{item}") == f"socket:[{inode}]":
                            return process.pid
                    except OSError:
                        continue
            except OSError:
                continue
        return 0

    def control_pids(self) -> set[int]:
        return {self.processes[name].pid for name in self.controls if name in self.processes}

    async def start(self) -> None:
        """Start everything; return once every entry VM is ready."""
        host, port = self.cloud.split(":")
        self._cloud_server = await asyncio.start_server(self._serve_cloud, host, int(port))
        for backend in self.group.backends.values():
            await backend.start()
            self.spawn(backend.announce())
        for name in self.controls:
            self.start_process(name, first=True)
        for name in self.entries:
            self.start_process(name)
        if not await self.declare(self.configuration(1)):
            raise RuntimeError("the first configuration was not acknowledged")
        for name in self.entries:
            await self.wait_ready(name)

    async def wait_ready(self, name: str, timeout_s: float = 30.0) -> None:
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            status, _ = await http(f"{self.entries[name]}:{READY_PORT}", "GET", "/ready")
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{name} was not ready")

    def configuration(self, version: int, **changes: Any) -> dict[str, Any]:
        routes = []
        for kind, host in HOSTS.items():
            route = {
                "name": f"r-{host}", "host": host, "pathPrefix": "/", "routeType": kind,
                "timeoutMs": 1500, "targetLatencyMs": 400, "priority": 1, "service": SERVICE,
                "attempts": 2, "authExempt": False,
            }
            if kind in MAX_AGE_MS:
                route["maxStalenessMs"] = MAX_AGE_MS[kind]
            routes.append(route)
        document = {
            "version": version, "routes": routes,
            "services": [{
                "name": SERVICE, "healthPath": "/health", "maxConns": 61, "protocol": "h1",
                "tls": False, "syncReplicas": 1,
            }],
            "limits": {
                "maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000, "txIdleMs": 3000,
            },
            "tenants": [{
                "name": TENANT, "apiKeys": [KEY], "priority": 1, "ratePerS": 1000,
                "burstSize": 1000,
            }],
        }
        document.update(changes)
        return document

    async def declare(self, document: dict[str, Any], timeout_s: float = 20.0) -> bool:
        """Send a configuration to one node after another until it is acknowledged."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            for address in random.sample(self.control_list, len(self.control_list)):
                status, _ = await http(address, "POST", "/Config.Replace", document, 1.0)
                self.record.add(f"operator: version {document['version']} at {address}: {status}")
                if status == 200:
                    return True
                if status in (400, 409, 412, 413, 422):
                    return False
            await asyncio.sleep(0.2)
        return False

    async def post_to_control(self, path: str, body: dict[str, Any]) -> bool:
        for address in random.sample(self.control_list, len(self.control_list)):
            status, _ = await http(address, "POST", path, body, 1.0)
            if 200 <= status < 300:
                return True
        return False

    async def _serve_cloud(self, reader: Any, writer: Any) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            headers = {}
            for line in head.split("\r\n")[1:]:
                name, _, value = line.partition(": ")
                headers[name.lower()] = value
            body = json.loads(await reader.readexactly(int(headers["content-length"])))
            fence = int(headers["x-fence-token"])
            if self.cloud_down:
                status = 503
            else:
                status = self.group.promote(body["id"], fence)
            self.record.add(f"POST /promote {body['id']} fence {fence}: {status}")
            writer.write(f"HTTP/1.1 {status} x\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{{}}".encode())
            await writer.drain()
        except (OSError, ValueError, KeyError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def client(self, entry: str, kind: str, key: str = KEY) -> Client:
        return Client(self, entry, HOSTS[kind], key)

    def next_id(self) -> str:
        self._statement += 1
        return f"{self._statement:016x}"

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        for name in list(self.processes):
            self.kill(name)
        for backend in self.group.backends.values():
            backend.crash()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


class Answer:
    def __init__(self) -> None:
        self.rows: list[str] = []
        self.signature = ""
        self.error = ""
        self.state = ""
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.number = ""


class Client:
    """One session of a caller; it sends one statement at a time."""

    def __init__(self, fleet: Fleet, entry: str, host: str, key: str) -> None:
        self.fleet, self.entry, self.host, self.key = fleet, entry, host, key
        self.reader: Any = None
        self.writer: Any = None

    async def open(self) -> bool:
        address = self.fleet.entries[self.entry]
        try:
            self.reader, self.writer = await asyncio.open_connection(address, FRONT_PORT)
            self.writer.get_extra_info("socket").setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
            )
            self.writer.write(f"OPEN {self.host} {self.key}\r\n".encode())
            line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 2.0)).decode()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            self.close()
            return False
        if not line.startswith("READY"):
            self.fleet.record.add(f"open {self.host} at {self.entry}: {line.strip()}")
            self.close()
            return False
        return True

    def is_open(self) -> bool:
        return self.writer is not None

    async def ask(self, text: str, timeout_s: float = 6.0) -> Answer | None:
        """Send one statement and return its whole answer, or none if the connection breaks."""
        answer = Answer()
        answer.number = self.fleet.next_id()
        answer.sent_at = time.monotonic()
        self.fleet.record.add(f"send {answer.number} {text} to {self.entry} ({self.host})")
        try:
            self.writer.write(f"QUERY {answer.number} {text}\r\n".encode())
            while not answer.state:
                raw = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), timeout_s)
                line = raw.decode("utf-8", "surrogateescape")[:-2]
                word, _, rest = line.partition(" ")
                if word == "ROW":
                    answer.rows.append(rest)
                elif word == "COMPLETE":
                    answer.signature = rest
                elif word == "ERROR":
                    answer.error = rest.split(" ")[0]
                elif word == "READY":
                    answer.state = rest.split(" ")[0]
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            self.fleet.record.add(f"answer {answer.number}: none ({type(error).__name__})")
            self.close()
            return None
        answer.ended_at = time.monotonic()
        self.fleet.record.add(
            f"answer {answer.number}: {answer.error or 'COMPLETE ' + answer.signature}"
            f" {answer.rows} {answer.state}"
        )
        return answer

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
            self.writer = None


async def http(
    address: str, method: str, path: str, body: Any = None, timeout_s: float = 1.0
) -> tuple[int, bytes]:
    """Send one request; return the status, 0 without a whole response, and the body."""
    host, port = address.split(":")
    content = b"" if body is None else json.dumps(body).encode()
    try:
        return await asyncio.wait_for(_http(host, int(port), method, path, content), timeout_s)
    except (OSError, ValueError, IndexError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, b""


async def _http(host: str, port: int, method: str, path: str, content: bytes) -> tuple[int, bytes]:
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {host}:{port}\r\nContent-Type: application/json\r\n"
            f"Connection: close\r\nContent-Length: {len(content)}\r\n\r\n".encode() + content
        )
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        status = int(head.split(" ")[1])
        length = 0
        for line in head.split("\r\n")[1:]:
            name, _, value = line.partition(":")
            if name.lower() == "content-length":
                length = int(value)
        return status, await reader.readexactly(length)
    finally:
        writer.close()


def main(folder: str, scenario: Callable[[Fleet], Any], limit_s: float = 110.0, **named: Any) -> None:
    """Run a scenario, which returns whether the rule was broken; exit with 1, 0 or 2."""

    async def run() -> int:
        fleet = Fleet(folder, **named)
        try:
            return int(await asyncio.wait_for(scenario(fleet), limit_s))
        except (RuntimeError, OSError, asyncio.TimeoutError) as error:
            fleet.record.say(f"the case could not run: {type(error).__name__} {error}")
            return 2
        finally:
            await fleet.stop()

    sys.exit(asyncio.run(run()))
