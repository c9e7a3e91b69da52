"""Stand-ins for clients, backends, the operator and the platform, and a runner for the programs.

Everything is on loopback addresses. Each machine has an address of its own, so that all machines
use the same ports. The programs of the project are started with the command of the deploy file.
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

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
CONTROL_PORT, FRONT_PORT, READY_PORT, PEER_PORT, METRICS_PORT = 8462, 8465, 8460, 7560, 9464
BACKEND_PORT, CLOUD_PORT = 8080, 8466
ZONES = ("zone-1", "zone-2", "zone-3")
COMMAND = ["python3", "-S", "-m", "gentianspread_server.platform"]  # as in deploy/system.toml
HEARTBEAT_S = 1.2
DRAIN_S = 7.0
HANDSHAKE_S = 0.012
STATEMENT_S = 0.004
PROMOTE_S = 0.3
NETWORK_S = 0.001
CLIENT_WORDS = ("SET", "PREPARE", "READ", "WRITE", "EXECUTE", "COMMIT")
PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT")


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """The record of what was sent, answered and run; times are seconds since its creation."""

    def __init__(self, folder: str) -> None:
        path = os.path.join(folder, "record.txt")
        self.file = open(path, "w", encoding="utf-8", errors="backslashreplace")
        self.started = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.started

    def line(self, text: str) -> None:
        self.file.write(f"{self.now():9.4f}  {text}\n")
        self.file.flush()


class Entry:
    """One commit in a backend's log: its position, its write ids, and when it was received."""

    __slots__ = ("term", "number", "ids", "at")

    def __init__(self, term: int, number: int, ids: tuple, at: float) -> None:
        self.term, self.number, self.ids, self.at = term, number, ids, at


class Backend:
    """One backend of a service. Its log starts at the service's first number."""

    def __init__(self, service: "Service", name: str, zone: str, ip: str) -> None:
        self.service, self.name, self.zone = service, name, zone
        self.address = f"{ip}:{BACKEND_PORT}"
        self.record = service.record
        self.log: list[Entry] = []
        self.term = service.term
        self.paused = 0
        self.is_deaf = False  # receives nothing from the primary
        self.lag_s = 0.02  # applies commits so late
        self.grey = 0.0  # fails this part of what clients ask, with `grey_code`
        self.grey_code = "FAILED"
        self.is_draining = False
        self.is_up = False
        self.born = 0
        self.sequence = 0
        self.server = None
        self.writers: set = set()
        self.holds_history = True  # whether it has what was committed before its start

    # -- log ---------------------------------------------------------------------------------

    def is_primary(self) -> bool:
        return self.service.primary == self.name

    def received(self) -> int:
        if self.log:
            return self.log[-1].number
        return self.service.first if self.holds_history else 0

    def visible(self) -> int:
        """Return the number up to which the log is applied."""
        if self.is_primary():
            return self.received()
        now = time.monotonic()
        number = self.service.first if self.holds_history else 0
        for entry in self.log:
            if entry.at + self.lag_s > now:
                break
            number = entry.number
        return number

    def position(self) -> str:
        return f"{self.term}.{self.visible()}"

    def receives(self) -> bool:
        return self.is_up and not self.is_deaf and not self.paused and not self.is_primary()

    def catch_up(self) -> None:
        primary = self.service.backends.get(self.service.primary or "")
        if primary is None or not primary.is_up or not self.receives():
            return
        self.holds_history = True
        self.term = primary.term
        now = time.monotonic()
        have = self.received()
        for entry in primary.log:
            if entry.number > have:
                self.log.append(Entry(entry.term, entry.number, entry.ids, now))

    # -- life --------------------------------------------------------------------------------

    async def start(self) -> None:
        host, _, port = self.address.rpartition(":")
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.is_up = True
        self.service.tasks.append(asyncio.ensure_future(self.beat()))
        self.record.line(f"backend {self.name} of {self.service.name} starts, born {self.born}")

    def crash(self) -> None:
        """End the process: close the listening socket and all connections."""
        self.is_up = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.record.line(f"backend {self.name} of {self.service.name} crashes")

    def restart_empty(self) -> None:
        """Forget everything of before."""
        self.log, self.holds_history = [], False
        self.paused, self.term = 0, 1

    async def drain(self) -> None:
        """Report draining, serve on for a while, then deregister and exit."""
        self.is_draining = True
        await self.send_beat()
        self.record.line(f"backend {self.name} is draining, acknowledged")
        await asyncio.sleep(DRAIN_S + 1.0)
        body = {"born": self.born}
        await self.service.fleet.call_control(f"/Instances.Deregister/{self.name}", body)
        if self.is_up:
            self.crash()

    async def beat(self) -> None:
        born = self.born
        while self.is_up and self.born == born:
            await self.send_beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def send_beat(self) -> None:
        self.sequence += 1
        body = {
            "service": self.service.name,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 3,
            "state": "draining" if self.is_draining else "ready",
            "coldRemainingMs": 0,
            "dbRole": "primary" if self.is_primary() else "replica",
            "sequence": self.sequence,
            "born": self.born,
        }
        await self.service.fleet.call_control(f"/Instances.Heartbeat/{self.name}", body)

    # -- wire --------------------------------------------------------------------------------

    async def serve(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            await self.serve_session(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_session(self, reader, writer) -> None:
        line = decode_line(await reader.readuntil(b"\r\n"))
        words = line.split(" ")
        if words[0] != "OPEN" or words[1] != self.service.name or words[3:] not in ([], [self.name]):
            writer.write(f"ERROR WRONGNODE {self.name}\r\n".encode())
            return
        await asyncio.sleep(HANDSHAKE_S)
        session = {
            "who": words[2],
            "state": "I",
            "read": False,
            "writes": [],
            "prepared": {},
            "values": {},
        }
        writer.write(f"READY I {self.position()}\r\n".encode())
        while True:
            line = decode_line(await reader.readuntil(b"\r\n"))
            if line == "CLOSE":
                return
            _, statement_id, text = line.split(" ", 2)
            rows, signature, error = await self.execute(session, statement_id, text)
            if error:
                if session["state"] == "T":
                    session["state"] = "E"
                answer = f"ERROR {error} {self.name}\r\n"
            else:
                answer = "".join(f"ROW {row}\r\n" for row in rows) + f"COMPLETE {signature}\r\n"
            answer += f"READY {session['state']} {self.position()}\r\n"
            writer.write(answer.encode("utf-8", "surrogateescape"))
            await writer.drain()

    async def execute(self, session: dict, statement_id: str, text: str) -> tuple:
        if session["state"] == "E" and text not in ("ROLLBACK", "COMMIT"):
            return [], "", "MALFORMED"
        if text.startswith("WAITPOS "):
            _, position, text = text.split(" ", 2)
            required = tuple(int(part) for part in position.split("."))
            if (self.term, self.visible()) < required:
                self.record.line(f"  {self.name} refuses {statement_id} LAGGING for {position}")
                return [], "", "LAGGING"
        word, _, rest = text.partition(" ")
        if word in CLIENT_WORDS and random.random() < self.grey:
            self.record.line(f"  {self.name} fails {statement_id} {text} with {self.grey_code}")
            return [], "", self.grey_code
        if word == "SET":
            name, _, value = rest.partition(" ")
            session["values"][name] = value
            return [], "-", ""
        if word == "RESET":
            session["values"].clear()
            session["prepared"].clear()
            return [], "-", ""
        if word == "DEALLOC":
            return ([], "-", "") if session["prepared"].pop(rest, None) else ([], "", "NOSTMT")
        if word == "PREPARE":
            name, _, shape = rest.partition(" ")
            session["prepared"][name] = shape
            return [], "-", ""
        if word in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return self.command(word, rest)
        if word == "BEGIN":
            if rest != "READ" and not self.is_primary():
                return [], "", "READONLY"
            session.update(state="T", read=rest == "READ", writes=[])
            return [], "-", ""
        if word == "ROLLBACK":
            session.update(state="I", writes=[])
            return [], "-", ""
        return await self.run(session, statement_id, text)

    def command(self, word: str, rest: str) -> tuple:
        if word == "PAUSE" and int(rest) > self.term and not self.is_primary():
            self.paused = int(rest)
        elif word == "RESUME":
            self.paused = 0
        elif word == "STEPDOWN" and self.is_primary() and self.term < int(rest):
            self.service.primary = None
        role = "primary" if self.is_primary() else "replica"
        row = f"{role} {self.term} {self.term}.{self.received()} {self.paused} 0 0 1"
        self.record.line(f"  {self.name} {word} {rest}: {row}")
        return [row], "-", ""

    async def run(self, session: dict, statement_id: str, text: str) -> tuple:
        word = text.split(" ")[0]
        is_write = word == "WRITE"
        if word == "EXECUTE":
            kind = session["prepared"].get(text.split(" ")[1])
            if kind is None:
                return [], "", "NOSTMT"
            is_write = kind.startswith("WRITE")
        if session["state"] == "E":  # a commit of a failed transaction rolls back
            session.update(state="I", writes=[])
            return [], "", "ABORTED"
        await asyncio.sleep(STATEMENT_S)
        in_plain = session["state"] == "T" and not session["read"]
        is_empty_commit = word == "COMMIT" and not session["writes"]
        if (is_write or (in_plain and not is_empty_commit)) and not self.is_primary():
            return [], "", "READONLY"
        signature = f"{self.name}.{statement_id}"
        if word == "COMMIT":
            writes = tuple(session["writes"])
            session.update(state="I", writes=[])
            if writes:
                await self.service.commit(self, writes)
            self.record.line(f"  {self.name} runs {statement_id} COMMIT {writes}")
            return [], signature, ""
        number = self.visible()
        self.service.runs.append(Run(self.record.now(), self, statement_id, text, number, session))
        self.record.line(
            f"  {self.name} runs {statement_id} {text} for {session['who']},"
            f" log {self.term}.{number} {session['values'] or ''}"
        )
        if is_write and session["state"] == "T":
            session["writes"].append(statement_id)
        elif is_write:
            await self.service.commit(self, (statement_id,))
        return ([] if is_write else [str(number)]), signature, ""


class Run:
    """A statement that a backend ran, and the last number of the log that it saw."""

    def __init__(self, at, backend, statement_id, text, number, session) -> None:
        self.at, self.backend, self.statement_id = at, backend, statement_id
        self.text, self.number, self.who = text, number, session["who"]
        self.values = dict(session["values"])
        words = text.split(" ")
        self.shape = session["prepared"].get(words[1]) if words[0] == "EXECUTE" else None


class Service:
    """A primary and its replicas; commits are acknowledged once one replica has received them."""

    def __init__(self, fleet: "Fleet", name: str, first: int = 100) -> None:
        self.fleet, self.name, self.first = fleet, name, first
        self.record = fleet.record
        self.term = 1
        self.primary: str | None = None
        self.backends: dict[str, Backend] = {}
        self.runs: list[Run] = []
        self.committed: list[tuple] = []  # write ids, term, number
        self.promoted: list[tuple] = []  # time, backend, token, the write ids in its log
        self.tasks: list = []
        self.token = 0

    def add(self, name: str, zone: str) -> Backend:
        backend = Backend(self, name, zone, self.fleet.next_ip())
        self.backends[name] = backend
        if self.primary is None:
            self.primary = name
        return backend

    async def start(self) -> None:
        for backend in self.backends.values():
            await backend.start()
        self.tasks.append(asyncio.ensure_future(self.replicate()))

    async def replicate(self) -> None:
        while True:
            await asyncio.sleep(0.005)
            for backend in self.backends.values():
                backend.catch_up()

    async def commit(self, primary: Backend, ids: tuple) -> None:
        """Append a commit, and return once one replica has received it."""
        number = primary.received() + 1
        primary.log.append(Entry(primary.term, number, ids, time.monotonic()))
        while True:
            await asyncio.sleep(NETWORK_S)
            if not primary.is_up or not primary.is_primary():
                raise ConnectionError("the primary ended")
            for backend in self.backends.values():
                backend.catch_up()
            holders = [
                backend.name
                for backend in self.backends.values()
                if backend is not primary and backend.is_up and backend.received() >= number
            ]
            if holders:
                self.committed.append((ids, primary.term, number))
                self.record.line(
                    f"  {primary.name} commits {','.join(ids)} at {primary.term}.{number},"
                    f" received by {','.join(holders)}"
                )
                return

    async def promote(self, name: str, token: int, holder: str) -> int:
        """Carry out a call to the platform; return its HTTP status."""
        backend = self.backends.get(name)
        if token < self.token or backend is None or not backend.is_up:
            self.record.line(f"  platform: promote {name} token {token} by {holder}: 409")
            return 409
        self.token = token
        if backend.is_primary():
            self.record.line(f"  platform: promote {name} token {token} by {holder}: is primary")
            return 200
        await asyncio.sleep(PROMOTE_S)
        self.term += 1
        self.primary = name
        backend.term = self.term
        backend.paused = 0
        held = {item for entry in backend.log for item in entry.ids}
        last = backend.received()
        for other in self.backends.values():
            if other is not backend:
                other.paused = 0
                other.log = [entry for entry in other.log if entry.number <= last]
        self.promoted.append((self.record.now(), name, token, held))
        self.record.line(
            f"  platform: promote {name} token {token} by {holder}: leads term {self.term}"
            f" from {last}"
        )
        return 200


class Fleet:
    """The machines: three control processes, front processes, the platform and the operator."""

    def __init__(self, folder: str, fronts: dict[str, str], control_count: int = 3) -> None:
        self.record = Record(folder)
        self.fronts = fronts  # name -> zone
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.network = self._free_network()
        self.control_ips = {
            f"control-{n}": f"{self.network}.{n}" for n in range(1, control_count + 1)
        }
        self.front_ips = {name: f"{self.network}.{n}" for n, name in enumerate(fronts, 5)}
        self.ip_count = 5 + len(fronts)
        self.cloud = f"{self.network}.250:{CLOUD_PORT}"
        self.processes: dict[str, subprocess.Popen] = {}
        self.services: dict[str, Service] = {}
        self.stopped: set[str] = set()
        self.servers: list = []
        self.clients: list[Client] = []

    @staticmethod
    def _free_network() -> str:
        for _ in range(50):
            network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            probe = socket.socket()
            try:
                probe.bind((f"{network}.1", CONTROL_PORT))
                return network
            except OSError:
                continue
            finally:
                probe.close()
        raise CannotRun("no free addresses")

    def next_ip(self) -> str:
        self.ip_count += 1
        return f"{self.network}.{self.ip_count}"

    def controls(self) -> list[str]:
        return [f"{ip}:{CONTROL_PORT}" for ip in self.control_ips.values()]

    def zone_of(self, name: str) -> str:
        return self.fronts.get(name) or ZONES[(int(name[-1]) - 1) % 3]

    def settings(self, name: str, is_first: bool) -> dict[str, str]:
        is_control = name in self.control_ips
        ip = self.control_ips[name] if is_control else self.front_ips[name]
        values = {
            "nodeName": name,
            "role": "control" if is_control else "entry",
            "nodeClass": "core" if is_control else "front",
            "serves": "control" if is_control else "front",
            "ip": ip,
            "zone": self.zone_of(name),
            "region": "region",
            "portRange": f"{PEER_PORT},{PEER_PORT + 15}",
            "seedNodes": ",".join(self.controls()[:3]),
            "bootstrap": "true" if is_first else "false",
            "inTolerance": "true" if is_control else "false",
            "limits.cpuShare": "1.29" if is_control else "0.731",
            "limits.cores": "1",
            "limits.memoryMb": "296" if is_control else "222",
            "limits.maxFds": "4096" if is_control else "1605",
            "limits.linkMbps": "1000.0" if is_control else "350.0",
            "limits.diskMb": "128" if is_control else "0",
            "discovery": "registry",
            "entryMode": "vip",
            "heartbeatMs": "1200",
            "contracts": "base,drain,config,cost,recover,sql,tenants,quota",
            "faultTolerance.machines": "1",
            "faultTolerance.zones": "1",
            "faultTolerance.regions": "0",
            "bounds.seedLagS": "3",
            "bounds.addrReuseS": "2",
            "bounds.contactMs": "4000",
            "bounds.ackMs": "5000",
            "bounds.catchUpS": "4",
            "bounds.drainMs": "7000",
            "bounds.graceS": "6",
            "bounds.lossSlackMs": "200",
            "bounds.configApplyMs": "3000",
            "bounds.downgradeSlackMs": "250",
            "bounds.maxSkewMs": "12000",
            "bounds.strictRevoke": "true",
            "bounds.revokeMs": "5000",
            "bounds.quotaWindowS": "5",
            "bounds.quotaOverage": "0.1",
            "bounds.quotaSlack": "20",
            "bounds.recoveryS": "12",
            "bounds.fencingEnforced": "true",
            "bounds.thawSlackMs": "300",
            "config_mode": "highest",
            "cloudApi.address": self.cloud,
            "cloudApi.ratePerS": "50.0",
            "cloudApi.duties": "promotion",
            "cloudApi.dutyPerS": "50.0",
        }
        values.update({f"zones.{zone}": "region" for zone in ZONES})
        if is_control:
            values["listenAddrs.control"] = f"{ip}:{CONTROL_PORT}"
            values["dataDir"] = os.path.join(self.folder, name)
            os.makedirs(values["dataDir"], exist_ok=True)
        else:
            values["listenAddrs.front"] = f"{ip}:{FRONT_PORT}"
            values["listenAddrs.ready"] = f"{ip}:{READY_PORT}"
        return values

    def start_process(self, name: str, is_first: bool = False) -> None:
        path = os.path.join(self.folder, f"{name}.conf")
        with open(path, "w", encoding="utf-8") as file:
            file.writelines(f"{k}={v}\n" for k, v in self.settings(name, is_first).items())
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": os.path.join(ROOT, "target", "deps"),
            "GENTIANSPREAD_BOOT": path,
            "GENTIANSPREAD_FLEET_SECRET": "change-me-before-real-use",
            "GENTIANSPREAD_METRICS_PORT": str(METRICS_PORT),
        }
        output = open(os.path.join(self.folder, f"{name}.log"), "ab")
        self.processes[name] = subprocess.Popen(
            COMMAND, cwd=ROOT, env=environment, stdout=output, stderr=output
        )
        output.close()
        self.record.line(f"process {name} starts, pid {self.processes[name].pid}")

    def signal(self, name: str, number: int) -> None:
        self.processes[name].send_signal(number)
        self.record.line(f"process {name} gets {signal.Signals(number).name}")

    def kill(self, name: str) -> None:
        process = self.processes.pop(name)
        process.kill()
        process.wait()
        self.record.line(f"process {name} is killed")

    async def start(self, document: dict) -> None:
        """Start all, send the first configuration and wait until the fronts are ready."""
        host, _, port = self.cloud.rpartition(":")
        self.servers.append(await asyncio.start_server(self._serve_cloud, host, int(port)))
        for name in self.control_ips:
            self.start_process(name, True)
        for name in self.fronts:
            self.start_process(name, True)
        deadline = time.monotonic() + 25
        while not await self.replace(document):
            if time.monotonic() > deadline:
                raise CannotRun("the first configuration was not acknowledged")
            await asyncio.sleep(0.2)
        for service in self.services.values():
            await service.start()
        for name in self.fronts:
            while await http(f"{self.front_ips[name]}:{READY_PORT}", "GET", "/ready") != 200:
                if time.monotonic() > deadline:
                    raise CannotRun(f"{name} is not ready")
                await asyncio.sleep(0.1)

    async def wait_served(self, databases: list[str], key: str) -> None:
        """Return once every front has served ten reads of each database in a row."""
        deadline = time.monotonic() + 15
        for front in self.fronts:
            for database in databases:
                count = 0
                while count < 10:
                    if time.monotonic() > deadline:
                        raise CannotRun(f"{front} doesn't serve {database}")
                    client = Client(self, front, "setup")
                    try:
                        error = await client.open(database, key)
                        error = error or (await client.query("READ a1")).error
                    except (OSError, TimeoutError, asyncio.IncompleteReadError):
                        error = "NONE"
                    client.close()
                    count = 0 if error else count + 1
                    await asyncio.sleep(0.02)

    async def replace(self, document: dict, tries: int = 10) -> bool:
        """Send a configuration to one control after the other until it is acknowledged."""
        for number in range(tries):
            index = number % len(self.control_ips)
            address = self.controls()[index]
            if index + 1 in self.skipped_controls():
                continue
            status = await http(address, "POST", "/Config.Replace", document, 1.0)
            self.record.line(f"operator: version {document['version']} to {address}: {status}")
            if status == 200:
                return True
            await asyncio.sleep(0.05)
        return False

    def skipped_controls(self) -> set[int]:
        return {int(name[-1]) for name in self.stopped}

    async def call_control(self, path: str, body: dict) -> None:
        """Send a backend's call to one control after the other until it is acknowledged."""
        for number in range(9):
            index = number % len(self.control_ips)
            address = self.controls()[index]
            if index + 1 in self.skipped_controls():
                continue
            if await http(address, "POST", path, body, 1.0) == 200:
                return
            await asyncio.sleep(0.05)

    async def _serve_cloud(self, reader, writer) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            headers = dict(
                line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line
            )
            headers = {name.lower(): value for name, value in headers.items()}
            body = json.loads(await reader.readexactly(int(headers["content-length"])))
            service = self.services[body["service"]]
            status = await self.handle_promote(
                service, body["id"], int(headers["x-fence-token"]), headers["x-lease-holder"]
            )
            if status:
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n{{}}".encode())
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, KeyError):
            pass
        finally:
            writer.close()

    async def handle_promote(self, service, name, token, holder) -> int:
        return await service.promote(name, token, holder)

    def events(self, name: str, message: str) -> list[dict]:
        """Return the lines of a process's log with a message; they only steer a case."""
        found = []
        with open(os.path.join(self.folder, f"{name}.log"), encoding="utf-8") as file:
            for line in file:
                if f'"message":"{message}"' in line:
                    found.append(json.loads(line))
        return found

    def leader(self) -> str:
        """Return the control that was elected last."""
        elected = [
            (event["time_ms"], name)
            for name in self.control_ips
            for event in self.events(name, "leader_elected")
        ]
        if not elected:
            raise CannotRun("no control was elected")
        return max(elected)[1]

    def end(self) -> None:
        """End every process that was started, and remove the folder."""
        for client in self.clients:
            client.close()
        for service in self.services.values():
            for task in service.tasks:
                task.cancel()
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def http(address, method, path, body=None, timeout_s=1.0) -> int:
    """Send a request over a new connection; return the status, or 0 without a response."""
    host, _, port = address.rpartition(":")
    data = json.dumps(body).encode() if body is not None else b""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(
                    f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
                    "Content-Type: application/json\r\nConnection: close\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                return int((await reader.readline()).split(b" ")[1])
            finally:
                writer.close()
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0


def decode_line(line: bytes) -> str:
    """Return a line of the wire without its end; bytes that aren't UTF-8 are kept."""
    return line[:-2].decode("utf-8", "surrogateescape")


class Answer:
    """A complete answer: rows, signature or error code, state, and when it came."""

    def __init__(self, rows, signature, error, state, sent_at, at) -> None:
        self.rows, self.signature, self.error, self.state = rows, signature, error, state
        self.sent_at, self.at = sent_at, at


class Client:
    """A session at one front. Statement ids are unique in the run."""

    count = 0

    def __init__(self, fleet: Fleet, front: str, label: str) -> None:
        self.fleet, self.front, self.label = fleet, front, label
        self.record = fleet.record
        self.writer = None
        fleet.clients.append(self)

    async def open(self, database: str, key: str, timeout_s: float = 2.0) -> str:
        """Open the session; return an error code or an empty text."""
        ip = self.fleet.front_ips[self.front]
        async with asyncio.timeout(timeout_s):
            self.reader, self.writer = await asyncio.open_connection(ip, FRONT_PORT)
            self.writer.write(f"OPEN {database} {key}\r\n".encode())
            line = (await self.reader.readuntil(b"\r\n")).decode().strip()
        self.record.line(f"{self.label} at {self.front}: OPEN {database}: {line}")
        return line.split(" ")[1] if line.startswith("ERROR") else ""

    async def query(self, text: str, timeout_s: float = 4.0, statement_id: str = "") -> Answer:
        """Send a statement and return the answer; an answer that is missing has the error NONE."""
        Client.count += 1
        self.statement_id = statement_id or f"{self.label}-{Client.count}"
        rows, signature, error = [], "", ""
        sent_at = self.record.now()
        try:
            async with asyncio.timeout(timeout_s):
                self.writer.write(f"QUERY {self.statement_id} {text}\r\n".encode())
                while True:
                    line = (await self.reader.readuntil(b"\r\n")).decode()[:-2]
                    word, _, rest = line.partition(" ")
                    if word == "ROW":
                        rows.append(rest)
                    elif word == "COMPLETE":
                        signature = rest
                    elif word == "ERROR":
                        error = rest.split(" ")[0]
                    elif word == "READY":
                        state = rest.split(" ")[0]
                        break
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            error, state = "NONE", ""
        answer = Answer(rows, signature, error, state, sent_at, self.record.now())
        self.record.line(
            f"{self.label} at {self.front}: {self.statement_id} {text}"
            f" sent {sent_at:.4f}: {error or signature or 'ok'} {rows or ''} {state}"
        )
        return answer

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()


def route(name, host, kind, service, age_ms=None, timeout_ms=800) -> dict:
    """Return a route of the configuration document."""
    item = {
        "name": name,
        "host": host,
        "pathPrefix": "/",
        "routeType": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "authExempt": False,
    }
    if age_ms is not None:
        item["maxStalenessMs"] = age_ms
    return item


def document(version, routes, services, tenants) -> dict:
    """Return a configuration document; `tenants` gives the keys by name."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthPath": "/health",
                "maxConns": 61,
                "protocol": "h1",
                "tls": False,
                "syncReplicas": 1,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
            "txIdleMs": 3000,
        },
        "tenants": [
            {"name": name, "apiKeys": keys, "priority": 1, "ratePerS": 400, "burstSize": 400}
            for name, keys in tenants.items()
        ],
    }


def main(case, folder: str, trouble: bool) -> None:
    """Run a case and exit with 1 if it returned broken rules, 0 if not, 2 if it couldn't run.

    Without `trouble`, the case does the same without its disruption.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # so that the processes are ended

    async def run() -> tuple:
        fleets: list[Fleet] = []
        try:
            async with asyncio.timeout(100):
                return await case(folder, trouble, fleets)
        finally:
            for fleet in fleets:
                fleet.end()

    try:
        broken, lines = asyncio.run(run())
    except (CannotRun, TimeoutError, OSError) as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
    for line in lines:
        print(line)
    print("BROKEN" if broken else "held")
    sys.exit(1 if broken else 0)
