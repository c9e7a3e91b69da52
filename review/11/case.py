"""LOST: a commit that only a leaving replica confirmed, which was cut off as it deregistered."""

from __future__ import annotations

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import fleet3  # noqa: E402

DRAIN_S = 7.0  # drainMs
RUNS_ON_S = 5.0  # without an acknowledgement, a leaving backend exits some seconds later
CRASHES_AFTER_S = 4.5  # from the call to deregister
CRASH_FOR_S = 7.0
DEAF_FOR_S = 6.0
BETWEEN_S = 0.03  # the two writes


async def write(client: fleet3.Client) -> fleet3.Answer:
    """Write once; an operation is retried in full after a promise."""
    for _ in range(20):
        if client.is_open() or await client.open():
            answer = await client.ask("WRITE 5 d")
            if answer is not None and answer.signature:
                return answer
            client.close()
        await asyncio.sleep(0.1)
    raise RuntimeError("no write was acknowledged")


async def deregister(fleet: fleet3.Fleet, leaving: fleet3.Backend) -> None:
    """Send the call to one node; its answer is lost, as the partition begins."""
    host, port = fleet.control_list[0].split(":")
    _, writer = await asyncio.open_connection(host, int(port))
    body = b'{"born":%d}' % leaving.born
    writer.write(
        f"POST /Instances.Deregister/{leaving.name} HTTP/1.1\r\nHost: {host}:{port}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
    )
    await writer.drain()
    fleet.record.say(f"{leaving.name} sends its call to deregister")
    if fleet3.trouble():
        await asyncio.sleep(0.05)
        leaving.cut_from = fleet.control_pids()
        fleet.record.say(f"{leaving.name} is partitioned from the core; the answer is lost")
        await asyncio.sleep(1.0)
    else:
        await asyncio.sleep(0.2)
    writer.close()


async def scenario(fleet: fleet3.Fleet) -> bool:
    await fleet.start()
    group, record = fleet.group, fleet.record
    first, second = (fleet.client(name, "primary") for name in list(fleet.entries)[:2])
    acked: list[str] = []
    for client in (first, second) * 5:
        acked.append((await write(client)).number)
        await asyncio.sleep(0.3)
    primary = group.primary
    leaving, other = (item for item in group.backends.values() if item is not primary)
    leaving.state = "draining"
    while not await leaving.beat():
        await asyncio.sleep(0.1)
    record.say(f"{leaving.name} leaves, and is acknowledged; {primary.name} is the primary")
    await asyncio.sleep(DRAIN_S)
    acked.append((await write(first)).number)
    called_at = time.monotonic()
    leaving.heartbeats_cut = True
    await deregister(fleet, leaving)
    if not fleet3.trouble():
        leaving.crash()
        record.say(f"{leaving.name} exits")
    await asyncio.sleep(max(0.0, called_at + CRASHES_AFTER_S - time.monotonic()))

    acked.append((await write(first)).number)
    await asyncio.sleep(BETWEEN_S)
    if fleet3.trouble():
        other.is_deaf = True
        record.say(f"{other.name} receives nothing any more")
    acked.append((await write(second)).number)
    if fleet3.trouble():
        primary.crash()
        crashed_at = time.monotonic()
        record.say(f"{primary.name} crashes")
        await asyncio.sleep(max(0.0, called_at + RUNS_ON_S - time.monotonic()))
        leaving.crash()
        record.say(f"{leaving.name} exits")
        await asyncio.sleep(max(0.0, crashed_at + DEAF_FOR_S - time.monotonic()))
        other.is_deaf = False
        group.pull(other)
        record.say(f"{other.name} receives again")
        await asyncio.sleep(max(0.0, crashed_at + CRASH_FOR_S - time.monotonic()))
        await primary.start()
        fleet.spawn(primary.announce())
        record.say(f"{primary.name} comes back with its log")
    await asyncio.sleep(3.0)
    acked.append((await write(second)).number)

    kept = {item for item, _ in group.source.log}
    lost = [number for number in acked if number not in kept]
    for number in lost:
        record.say(f"LOST: {number} was acknowledged, and {group.source.name} lacks it")
    record.say(f"{len(acked)} writes, {len(group.promotions)} promotions, {len(lost)} lost")
    return bool(lost)


if __name__ == "__main__":
    fleet3.main(FOLDER, scenario, entries=3)
