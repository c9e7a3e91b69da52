"""Stand-ins for the scripts in review/7 to review/10: backends, platform, operator and clients.

Everything runs in one process with the standard library only. The project's own programs are
started as separate processes with the command of deploy/system.toml, on loopback addresses.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ZONES = ("za", "zb", "zc")
LAG_S = 0.02  # the sheets: replicas 20 ms behind
RECEIPT_S = 0.002
PROMOTE_S = 0.3  # the sheets: 300 ms a promote
READ_S = 0.004
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: str) -> None:
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def write(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def close(self) -> None:
        self.file.close()


class Backend:
    """A database backend: its log, and the sessions that it serves."""
    def __init__(self, service: Service, name: str, zone: str) -> None:
        self.service, self.name, self.zone = service, name, zone
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.log: list[tuple[int, int, str]] = []  # term, number, id of the write
        self.due: list[float] = []  # when an entry is applied
        self.lag_s = LAG_S
        self.paused = 0
        self.is_deaf = False  # it receives nothing from the primary
        self.is_cut_off = False
        self.term = service.term
        self.alive = False
        self.server = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.acknowledged_draining = False

    def is_primary(self) -> bool:
        return self.service.primary is self

    def receive(self, entries: list[tuple[int, int, str]]) -> None:
        now = time.monotonic()
        for entry in entries:
            due = now + self.lag_s
            if self.due:
                due = max(due, self.due[-1])
            self.log.append(entry)
            self.due.append(due)

    def applied(self) -> int:
        if self.is_primary():
            return len(self.log)
        now, count = time.monotonic(), len(self.log)
        while count and self.due[count - 1] > now:
            count -= 1
        return count

    def position(self, length: int | None = None) -> tuple[int, int]:
        length = self.applied() if length is None else length
        return self.log[length - 1][:2] if length else (0, 0)

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.alive = True
        self.is_cut_off = False

    def cut_off(self) -> None:
        """Refuse connections, and send no heartbeats; the primary still reaches it."""
        self.is_cut_off = True
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def stop(self) -> None:
        self.alive = False
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self.serve_session(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_session(self, reader, writer) -> None:
        words = (await read_line(reader)).split(" ")
        if words[0] != "OPEN" or words[1] != self.service.name or words[3:4] not in ([], [self.name]):
            writer.write(b"ERROR WRONGNODE other\r\n")
            return
        session = Session(words[2])
        await asyncio.sleep(0.005)
        writer.write(b"READY I %d.%d\r\n" % self.position())
        while True:
            line = await read_line(reader)
            if not line.startswith("QUERY "):
                return
            _, number, text = line.split(" ", 2)
            rows, signature, error = await self.run(session, number, text)
            if not self.alive:
                return
            lines = [f"ROW {row}" for row in rows]
            if error:
                session.state = "E" if session.state != "I" else "I"
                lines = [f"ERROR {error} {self.name}"]
            else:
                lines.append(f"COMPLETE {signature}")
            term, index = self.position()
            if number != "-":
                self.service.record.write(
                    f"backend {self.name} {session.who} ran {number} {text} -> {lines[-1]} "
                    f"READY {session.state} {term}.{index}"
                )
            lines.append(f"READY {session.state} {term}.{index}")
            writer.write("".join(item + "\r\n" for item in lines).encode())

    async def run(self, session, number: str, text: str):
        service = self.service
        if text.startswith("WAITPOS "):
            _, wanted, text = text.split(" ", 2)
            if self.position() < tuple(int(part) for part in wanted.split(".")):
                return [], "", "LAGGING"
        words = text.split(" ")
        verb = words[0]
        if verb == "ROLLBACK":
            session.end()
            return [], "-", ""
        if session.state == "E":
            if verb == "COMMIT":
                session.end()
                return [], "-", ""
            return [], "", "MALFORMED"
        if verb in ("RESET", "SET", "PREPARE", "DEALLOC"):
            session.set_up(verb, words)
            return [], "-", ""
        if verb in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return self.command(verb, int(words[1]) if len(words) > 1 else 0)
        if verb == "BEGIN":
            session.read_only = words[1:] == ["READ"]
            if not session.read_only and not self.is_primary():
                return [], "", "READONLY"
            session.state, session.term, session.writes = "T", self.term, []
            return [], "-", ""
        await asyncio.sleep(READ_S)
        lost_lead = not self.is_primary() or session.term != self.term
        is_plain = session.state == "T" and not session.read_only
        if verb == "EXECUTE" and words[1] not in session.prepared:
            return [], "", "NOSTMT"
        is_write = verb == "WRITE" or (
            verb == "EXECUTE" and session.prepared[words[1]] == "WRITE"
        )
        if verb == "COMMIT":
            if not session.writes:
                session.end()
                service.runs.append((number, text, session.who, dict(session.values), self, None))
                return [], self.signature(number), ""
            if lost_lead:
                return [], "", "READONLY"
            writes = session.writes
            session.end()
            return await self.commit(number, text, session, writes)
        if is_plain and lost_lead:
            return [], "", "READONLY"
        if is_write and not self.is_primary():
            return [], "", "READONLY"
        if is_write and session.state == "T":
            session.writes.append(number)
            service.runs.append((number, text, session.who, dict(session.values), self, None))
            return [], self.signature(number), ""
        if is_write:
            return await self.commit(number, text, session, [number])
        applied = self.applied()
        service.runs.append(
            (number, text, session.who, dict(session.values), self, self.log[:applied])
        )
        return [f"value-{number}"], self.signature(number), ""

    def signature(self, number: str) -> str:
        return f"{self.name}.{number}"

    async def commit(self, number: str, text: str, session, writes: list[str]):
        service = self.service
        first = self.log[-1][1] + 1 if self.log else 1
        entries = [(self.term, first + i, item) for i, item in enumerate(writes)]
        self.receive(entries)
        service.runs.append((number, text, session.who, dict(session.values), self, None))
        length = len(self.log)
        await asyncio.sleep(RECEIPT_S)
        deadline = time.monotonic() + 3.0
        while time.monotonic() < deadline:
            service.replicate()
            if not self.is_primary():
                await asyncio.sleep(3.0)  # no replica confirms it any more
                break
            if any(
                item.alive and item is not self and item.log[:length] == self.log[:length]
                for item in service.backends.values()
            ):
                return [], self.signature(number), ""
            await asyncio.sleep(0.005)
        return [], "", "TIMEOUT"

    def command(self, verb: str, term: int):
        if verb == "PAUSE" and not self.is_primary() and term > self.term:
            self.paused = max(self.paused, term)
        elif verb == "RESUME":
            self.paused = 0
        elif verb == "STEPDOWN" and self.is_primary() and term > self.term:
            self.service.record.write(f"backend {self.name} steps down, {self.position()}")
            self.service.primary = None
        self.service.replicate()
        received = self.position(len(self.log))
        role = "primary" if self.is_primary() else "replica"
        row = f"{role} {self.term} {received[0]}.{received[1]} {self.paused} 0 0 1"
        return [row], "-", ""


class Session:
    """A connection to a backend."""

    def __init__(self, who: str) -> None:
        self.who = who
        self.state = "I"
        self.read_only = False
        self.term = 0
        self.writes: list[str] = []
        self.values: dict[str, str] = {}
        self.prepared: dict[str, str] = {}

    def end(self) -> None:
        self.state, self.writes = "I", []

    def set_up(self, verb: str, words: list[str]) -> None:
        if verb == "RESET":
            self.values.clear()
            self.prepared.clear()
        elif verb == "SET":
            self.values[words[1]] = " ".join(words[2:])
        elif verb == "PREPARE":
            self.prepared[words[1]] = words[2]
        else:
            self.prepared.pop(words[1], None)


class Service:
    """One service: a primary and its replicas. `runs` has what the backends ran for clients."""

    def __init__(self, name: str, record: Record) -> None:
        self.name, self.record = name, record
        self.term = 1
        self.backends: dict[str, Backend] = {}
        self.primary: Backend | None = None
        self.source: Backend | None = None
        self.runs: list[tuple] = []
        self.promotions: list[tuple] = []
        self.fence = 0

    def add(self, name: str, zone: str) -> Backend:
        backend = self.backends[name] = Backend(self, name, zone)
        return backend

    def replicate(self) -> None:
        """Let the replicas receive what the primary, or the last one, has."""
        source = self.primary or self.source
        if source is None or not source.alive:
            return
        self.source = source
        for item in self.backends.values():
            if item is source or not item.alive or item.paused or item.is_deaf:
                continue
            same = 0
            limit = min(len(item.log), len(source.log))
            if limit and item.log[limit - 1] == source.log[limit - 1]:
                same = limit
            else:
                while same < limit and item.log[same] == source.log[same]:
                    same += 1
            del item.log[same:], item.due[same:]
            item.receive(source.log[same:])

    async def run(self) -> None:
        while True:
            self.replicate()
            await asyncio.sleep(RECEIPT_S)

    def lead(self, backend: Backend) -> None:
        if not backend.alive:
            self.record.write(f"{backend.name} does not run, so it does not lead")
            return
        lacking = []
        if self.source is not None:
            held = {entry[2] for entry in backend.log}
            lacking = [entry[2] for entry in self.source.log if entry[2] not in held]
        self.term += 1
        self.primary = self.source = backend
        for item in self.backends.values():
            item.term, item.paused = self.term, 0
        self.promotions.append((time.monotonic(), backend.name, {e[2] for e in backend.log}))
        self.record.write(
            f"{backend.name} leads term {self.term} with {len(backend.log)} entries, "
            f"{len(lacking)} of the former primary are lacking"
        )
        self.replicate()


class Fleet:
    """The programs as processes, with their settings files; the platform's service."""

    def __init__(self, record: Record, entry_zones=("zb", "zc")) -> None:
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes: dict[str, subprocess.Popen] = {}
        self.services: dict[str, Service] = {}
        self.control = [f"127.0.0.1:{free_port()}" for _ in ZONES]
        self.front = [f"127.0.0.1:{free_port()}" for _ in entry_zones]
        self.ready = [f"127.0.0.1:{free_port()}" for _ in entry_zones]
        self.entry_zones = entry_zones
        self.peer_ports = [free_port() for _ in entry_zones]
        self.cloud_port = free_port()
        self.on_promote = None
        self.is_stopped = False
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.tasks: list[asyncio.Task] = []

    def add_service(self, name: str, zones=ZONES) -> Service:
        service = self.services[name] = Service(name, self.record)
        for index, zone in enumerate(zones):
            service.add(f"i-{name}{index + 1}", zone)
        service.primary = service.source = next(iter(service.backends.values()))
        return service

    async def start(self, document: dict) -> None:
        await asyncio.start_server(self.serve_cloud, "127.0.0.1", self.cloud_port)
        for index in range(len(ZONES)):
            self.start_control(index, True)
        for index in range(len(self.front)):
            self.start_entry(index)
        await self.declare(document)
        for service in self.services.values():
            self.tasks.append(asyncio.create_task(service.run()))
            for backend in service.backends.values():
                await backend.start()
                self.tasks.append(asyncio.create_task(self.beat(backend)))
        for address in self.ready:
            await self.wait_ready(address)
        self.record.write("the fleet is ready")

    def start_control(self, index: int, bootstrap: bool = False) -> None:
        name = f"control-{index + 1}"
        folder = os.path.join(self.folder, name)
        os.makedirs(folder, exist_ok=True)
        extra = {"listenAddrs.control": self.control[index], "dataDir": folder}
        self.start_process(name, "control", ZONES[index], "core", bootstrap, extra)

    def start_entry(self, index: int) -> None:
        port = self.peer_ports[index]
        extra = {
            "listenAddrs.front": self.front[index],
            "listenAddrs.ready": self.ready[index],
            "portRange": f"{port},{port}",
        }
        self.start_process(f"front-{index + 1}", "entry", self.entry_zones[index], "front", True, extra)

    def start_process(self, name, role, zone, node_class, bootstrap, extra) -> None:
        settings = {
            "nodeName": name,
            "role": role,
            "nodeClass": node_class,
            "serves": "control" if node_class == "core" else "front",
            "ip": "127.0.0.1",
            "zone": zone,
            "region": "r",
            **{f"zones.{item}": "r" for item in ZONES},
            "seedNodes": ",".join(self.control),
            "bootstrap": "true" if bootstrap else "false",
            "inTolerance": "true" if node_class == "core" else "false",
            "limits.cpuShare": "0.731",
            "limits.cores": "1",
            "limits.memoryMb": "222" if node_class == "front" else "296",
            "limits.maxFds": "1605",
            "discovery": "registry",
            "heartbeatMs": "1200",
            "contracts": "base,drain,config,cost,recover,sql,tenants,quota",
            "faultTolerance.machines": "1",
            "faultTolerance.zones": "1",
            "bounds.contactMs": "4000",
            "bounds.drainMs": "7000",
            "bounds.graceS": "6",
            "bounds.configApplyMs": "3000",
            "bounds.strictRevoke": "true",
            "bounds.revokeMs": "5000",
            "bounds.quotaWindowS": "5",
            "bounds.quotaOverage": "0.1",
            "bounds.quotaSlack": "20",
            "bounds.fencingEnforced": "true",
            "cloudApi.address": f"127.0.0.1:{self.cloud_port}",
            "cloudApi.duties": "promotion",
            **extra,
        }
        path = os.path.join(self.folder, f"{name}.conf")
        with open(path, "w", encoding="utf-8") as file:
            file.writelines(f"{key}={value}\n" for key, value in settings.items())
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": os.path.join(ROOT, "target", "deps"),
            "GENTIANSPREAD_BOOT": path,
            **self.roles[role].get("env", {}),
            "GENTIANSPREAD_METRICS_PORT": str(free_port()),
        }
        with open(os.path.join(self.folder, f"{name}.log"), "ab") as output:
            self.processes[name] = subprocess.Popen(
                self.roles[role]["run"].split(" "),
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        self.record.write(f"started {name}")

    def signal(self, name: str, number: int) -> None:
        self.record.write(f"signal {signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    async def beat(self, backend: Backend) -> None:
        while backend.alive and not backend.is_cut_off and not self.is_stopped:
            await self.heartbeat(backend)
            await asyncio.sleep(1.2)

    async def heartbeat(self, backend: Backend) -> None:
        backend.sequence += 1
        message = {
            "service": backend.service.name,
            "address": backend.address,
            "zone": backend.zone,
            "version": "v1",
            "slots": 3,
            "state": backend.state,
            "coldRemainingMs": 0,
            "dbRole": "primary" if backend.is_primary() else "replica",
            "sequence": backend.sequence,
            "born": backend.born,
        }
        state = backend.state
        for address in self.control:
            status, _ = await call(address, "POST", f"/Instances.Heartbeat/{backend.name}", message)
            if 200 <= status < 300:
                if state == "draining" and not backend.acknowledged_draining:
                    backend.acknowledged_draining = True
                    self.record.write(f"the draining of {backend.name} is acknowledged")
                return

    async def declare(self, document: dict) -> None:
        deadline = time.monotonic() + 30
        while time.monotonic() < deadline:
            for address in self.control:
                status, _ = await call(address, "POST", "/Config.Replace", document)
                if status == 200:
                    self.record.write(f"operator: version {document['version']} is acknowledged")
                    return
            await asyncio.sleep(0.2)
        raise CannotRunError("the configuration was not acknowledged")

    async def wait_ready(self, address: str) -> None:
        deadline = time.monotonic() + 30
        while time.monotonic() < deadline:
            if (await call(address, "GET", "/ready"))[0] == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRunError("a front node was not ready")

    async def serve_cloud(self, reader, writer) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            headers = dict(
                line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line
            )
            body = json.loads(await reader.readexactly(int(headers["content-length"])))
            status = await self.promote(headers, body)
            writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 2\r\n\r\n{}" % status)
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def promote(self, headers: dict, body: dict) -> int:
        service = self.services[body["service"]]
        token = int(headers["x-fence-token"])
        backend = service.backends.get(body["id"])
        status = 200
        if token < service.fence or backend is None or not backend.alive:
            status = 409
        service.fence = max(service.fence, token)
        self.record.write(
            f"platform: promote {body['id']} holder {headers['x-lease-holder']} "
            f"fence {token} -> {status}"
        )
        if status == 200 and not backend.is_primary():
            asyncio.get_running_loop().call_later(PROMOTE_S, service.lead, backend)
        return status

    def stop(self) -> None:
        self.is_stopped = True
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        for service in self.services.values():
            for backend in service.backends.values():
                backend.stop()
        for task in self.tasks:
            task.cancel()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRunError(Exception):
    """The case could not run."""


class SessionClosedError(Exception):
    """The session ended."""


class Client:
    """A client's session at a front node."""

    count = 0

    def __init__(self, fleet: Fleet, database: str, key: str, front: int = 0) -> None:
        self.fleet, self.database, self.key, self.front = fleet, database, key, front
        self.reader = self.writer = None
        self.state = "I"

    async def open(self) -> str:
        host, port = self.fleet.front[self.front].split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=2**21)
        self.writer.write(f"OPEN {self.database} {self.key}\r\n".encode())
        line = await asyncio.wait_for(read_line(self.reader), 2.0)
        return line

    async def query(self, text: str, log: bool = True) -> tuple[str, list[str], str, float, float]:
        """Return id, rows, the final word with its field, and when it was sent and answered."""
        Client.count += 1
        number = f"{Client.count:08x}"
        sent_at = time.monotonic()
        self.writer.write(f"QUERY {number} {text}\r\n".encode())
        rows: list[str] = []
        final = ""
        while True:
            line = await asyncio.wait_for(read_line(self.reader), 10.0)
            if line.startswith("ROW "):
                rows.append(line[4:])
            elif line.startswith("READY "):
                self.state = line.split(" ")[1]
                break
            else:
                final = line
        if log:
            self.fleet.record.write(
                f"client {self.database} sent {number} {text} at "
                f"{sent_at - self.fleet.record.began:.3f}, answered {final} {self.state}"
            )
        return number, rows, final, sent_at, time.monotonic()

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()


async def read_line(reader: asyncio.StreamReader) -> str:
    line = await reader.readuntil(b"\r\n")
    return line[:-2].decode()


async def call(address: str, method: str, path: str, message: dict | None = None):
    """Make an HTTP call; return its status, 0 without an answer, and the body."""
    body = json.dumps(message).encode() if message is not None else b""
    host, port = address.split(":")
    writer = None
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json"
                f"\r\nConnection: close\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
            )
            answer = await reader.read()
        head, _, content = answer.partition(b"\r\n\r\n")
        return int(head.split(b" ")[1]), content
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


_taken: set[int] = set()


def free_port() -> int:
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        if port not in _taken:
            _taken.add(port)
            return port


def document(version: int, service: str, tenants: dict[str, list[str]]) -> dict:
    """Return a configuration like that of the small sheets, with one service."""

    def route(host: str, kind: str, stale_ms: int | None = None) -> dict:
        item = {
            "name": f"r-{host}",
            "host": host,
            "pathPrefix": "/",
            "routeType": kind,
            "timeoutMs": 1500 if kind == "bounded_stale" else 800,
            "targetLatencyMs": 400,
            "priority": 1,
            "service": service,
            "attempts": 2,
            "authExempt": False,
        }
        if stale_ms is not None:
            item["maxStalenessMs"] = stale_ms
        return item

    return {
        "version": version,
        "routes": [
            route("latest", "primary"),
            route("bounded", "bounded_stale", 1500),
            route("own", "read_own", 2500),
        ],
        "services": [
            {
                "name": service,
                "healthPath": "/health",
                "maxConns": 61,
                "protocol": "h1",
                "tls": False,
                "syncReplicas": 1,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
            "txIdleMs": 3000,
        },
        "tenants": [
            {"name": name, "apiKeys": keys, "priority": 1, "ratePerS": 2000, "burstSize": 2000}
            for name, keys in tenants.items()
        ],
    }


def end_early(_number, _frame) -> None:
    """Leave the case when its time is over."""
    raise SystemExit(2)


def main(case) -> None:
    """Run a case: a coroutine that takes the record and returns whether the rule was broken."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    status = 2
    signal.signal(signal.SIGTERM, end_early)  # the processes that were started are ended too
    try:
        status = 1 if asyncio.run(case(record)) else 0
    except Exception as error:  # whatever goes wrong, the case could not run
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
    finally:
        record.write(f"exit status {status}")
        record.close()
    sys.exit(status)
