"""A leaving replica is cut off from the system's machines, and goes on confirming commits."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standin2 import TROUBLE, CannotRunError, Client, Fleet, document, main  # noqa: E402

CUT_S = 5.0  # the cut refuses connections
DEAF_AFTER_S = 2.0  # after the cut began
DEAF_S = 6.0
CRASH_S = 7.0


async def case(record) -> bool:
    fleet = Fleet(record)
    service = fleet.add_service("svc")
    try:
        await fleet.start(document(1, "svc", {"acme": ["key-1"]}))
        return await play(fleet, service, record)
    finally:
        fleet.stop()


async def play(fleet, service, record) -> bool:
    commits = []
    writers = [asyncio.create_task(write(fleet, commits, front)) for front in range(2)]
    primary, leaving, other = service.backends.values()
    await asyncio.sleep(2.0)
    leaving.state = "draining"
    record.write(f"{leaving.name} announces that it is draining")
    await fleet.heartbeat(leaving)
    if not leaving.acknowledged_draining:
        raise CannotRunError("the announcement was not acknowledged")
    await asyncio.sleep(1.0)
    if TROUBLE:
        record.write(f"{leaving.name} is cut off: connections to it are refused")
        leaving.cut_off()
        await asyncio.sleep(DEAF_AFTER_S)
        other.is_deaf = True
        record.write(f"{other.name} receives nothing")
        await asyncio.sleep(1.0)
        record.write(f"{primary.name} crashes")
        primary.stop()
        await asyncio.sleep(CUT_S - DEAF_AFTER_S - 1.0)
        await leaving.start()
        fleet.tasks.append(asyncio.create_task(fleet.beat(leaving)))
        record.write(f"{leaving.name} can be reached again")
        await asyncio.sleep(DEAF_S + DEAF_AFTER_S - CUT_S)
        other.is_deaf = False
        await asyncio.sleep(CRASH_S - DEAF_S + 1.0)
        primary.born = int(time.time() * 1000)
        primary.sequence = 0
        await primary.start()
        fleet.tasks.append(asyncio.create_task(fleet.beat(primary)))
        record.write(f"{primary.name} is back with its log")
    await asyncio.sleep(2.0)
    for task in writers:
        task.cancel()
    return judge(service, commits, record)


async def write(fleet, commits, front) -> None:
    client, count = None, 0
    while True:
        try:
            if client is None:
                client = Client(fleet, "latest", "key-1", front)
                await client.open()
            count += 1
            number, _, final, _, ended = await client.query(f"WRITE 2b{count % 9} d{count}")
            if final.startswith("COMPLETE"):
                commits.append((number, ended))
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            client = None
        await asyncio.sleep(0.05)


def judge(service, commits, record) -> bool:
    """Every commit acknowledged before a promotion has to be in the log that is promoted."""
    lost = 0
    for promoted_at, name, held in service.promotions:
        for number, ended in commits:
            if ended < promoted_at and number not in held:
                lost += 1
                record.write(
                    f"LOST: {number}, acknowledged at {ended - record.began:.3f}, is not in the log "
                    f"of {name}, which was promoted at {promoted_at - record.began:.3f}"
                )
    record.write(f"{len(commits)} commits, {len(service.promotions)} promotions, {lost} lost")
    print(f"{len(commits)} commits, {len(service.promotions)} promotions, {lost} lost")
    if not commits:
        raise CannotRunError("nothing was served")
    return lost > 0


main(case)
