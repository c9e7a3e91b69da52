"""A control machine that lost its disk votes again, after it heard an old list of voters."""

import asyncio
import json
import os
import shutil
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from standin import CONTROL_PORT, CannotRun, Fleet, document, http, main, route  # noqa: E402

FREEZE_LIMIT_S = 7.9
ROUTES = [route("r-cards", "cards", "primary", "db1")]


async def read_version(address):
    """Return the version that a control answers to a read, or none."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                f"GET /Config.Get HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n".encode()
            )
            data = await reader.read(-1)
            writer.close()
        head, _, body = data.partition(b"\r\n\r\n")
        return json.loads(body)["version"] if b" 200 " in head.split(b"\r\n")[0] else None
    except (OSError, TimeoutError, ValueError, KeyError):
        return None


async def case(folder, trouble, fleets):
    fleet = Fleet(folder, {}, control_count=4)
    fleets.append(fleet)
    record = fleet.record
    addresses = {name: f"{ip}:{CONTROL_PORT}" for name, ip in fleet.control_ips.items()}
    tenants = {"one": ["key-of-tenant-one"]}
    await fleet.start(document(1, ROUTES, ["db1"], tenants))
    await asyncio.sleep(4.0)
    leader = fleet.leader()
    followers = [name for name in ("control-1", "control-2", "control-3") if name != leader]
    behind, third = followers
    newcomer = "control-4"
    record.line(f"the leader is {leader}; {behind} will freeze, {third} and {newcomer} go on")
    frozen_at = time.monotonic()
    if trouble:
        fleet.signal(behind, signal.SIGSTOP)
        fleet.stopped.add(behind)
        while True:
            await asyncio.sleep(0.1)
            changes = [event["details"]["voters"] for event in fleet.events(leader, "voters_changed")]
            if changes and len(changes[-1]) == 3 and addresses[behind] not in changes[-1]:
                break
            if time.monotonic() - frozen_at > 6.0:
                raise CannotRun(f"the frozen voter was not replaced: {changes}")
        record.line("the frozen machine's vote has gone to control-4")
        await asyncio.sleep(0.5)
        fleet.kill(third)
        fleet.stopped.add(third)
    version = 2
    status = await http(
        addresses[newcomer], "POST", "/Config.Replace", document(2, ROUTES, ["db1"], tenants), 1.5
    )
    record.line(f"operator: version 2 to {newcomer}: {status}")
    if status != 200:
        raise CannotRun("version 2 was not acknowledged")
    acked_at = record.now()
    if trouble:
        fleet.kill(newcomer)
        shutil.rmtree(os.path.join(fleet.folder, newcomer))
        record.line(f"{newcomer} has lost its disk")
        fleet.kill(leader)
        fleet.signal(behind, signal.SIGCONT)
        frozen_s = time.monotonic() - frozen_at
        record.line(f"{behind} was frozen for {frozen_s:.1f} s")
        if frozen_s > FREEZE_LIMIT_S:
            raise CannotRun("the freeze took too long")
        await asyncio.sleep(0.5)
        fleet.start_process(newcomer)
        await asyncio.sleep(1.5)
        fleet.start_process(third)
        await asyncio.sleep(2.5)
        fleet.start_process(leader)
        fleet.stopped.clear()
    lines, oldest = [], version
    until = record.now() + 16.0
    while record.now() < until:
        for name, address in addresses.items():
            sent_at = record.now()
            read = await read_version(address)
            record.line(f"operator: reads version {read} at {name}")
            if read is not None and read < version and sent_at > acked_at + 3.0:
                if oldest == version:
                    lines.append(
                        f"CONFIG: {name} answers version {read} to a read sent"
                        f" {sent_at - acked_at:.1f} s after version {version} was acknowledged"
                    )
                oldest = read
        await asyncio.sleep(0.3)
    last = [await read_version(address) for address in addresses.values()]
    lines.append(f"read back at the end: {last}")
    if any(read is not None and read < version for read in last):
        lines.insert(0, f"CONFIG: version {version} was acknowledged and isn't read back at the end")
    for line in lines:
        record.line(line)
    if all(read is None for read in last):
        raise CannotRun("no control answers a read at the end")
    return len(lines) > 1, lines


main(case, FOLDER, os.environ.get("TROUBLE", "1") != "0")
