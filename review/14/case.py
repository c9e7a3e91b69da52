"""STALE: a COMMIT without writes on a former primary counts as an observation of the primary."""

from __future__ import annotations

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import fleet3  # noqa: E402

CUT_S = 5.0  # the primary's partition from the core
LAG_FACTOR = 150  # of a replica's 20 ms, for 7 s
LAG_FOR_S = 7.0
IDLE_S = (2.2, 2.32, 2.44, 2.56, 2.68, 2.8)  # of each caller's transaction; txIdleMs is 3,000
READERS = 8
MAX_AGE_S = 1.5


async def open_transaction(fleet: fleet3.Fleet, entry: str) -> fleet3.Client:
    """Return a session with an open transaction that has read; an operation is retried in full."""
    for _ in range(20):
        caller = fleet.client(entry, "primary")
        if await caller.open():
            answers = [await caller.ask("BEGIN")]
            if answers[0] is not None and not answers[0].error:
                answers.append(await caller.ask("READ 3"))
            if all(item is not None and not item.error for item in answers):
                return caller
            caller.close()
        await asyncio.sleep(0.1)
    raise RuntimeError("no transaction could be opened")


async def scenario(fleet: fleet3.Fleet) -> bool:
    await fleet.start()
    group, record = fleet.group, fleet.record
    reading, writing, _ = list(fleet.entries)
    acked: dict[str, float] = {}
    sent: dict[str, float] = {}
    running = True

    async def write() -> None:
        client = fleet.client(writing, "primary")
        count = 0
        while running:
            if not client.is_open() and not await client.open():
                await asyncio.sleep(0.05)
                continue
            count += 1
            answer = await client.ask(f"WRITE {count % 50} d{count}")
            if answer is not None and answer.signature:
                acked[answer.number] = answer.ended_at
            await asyncio.sleep(0.04)

    async def read() -> None:
        client = fleet.client(reading, "bounded_stale")
        while running:
            if not client.is_open() and not await client.open():
                await asyncio.sleep(0.05)
                continue
            answer = await client.ask("READ 7")
            if answer is not None:
                sent[answer.number] = answer.sent_at
            await asyncio.sleep(0.03)

    fleet.spawn(write())
    for _ in range(READERS):
        fleet.spawn(read())
    await asyncio.sleep(3.0)

    former = group.primary
    record.say(f"{former.name} is the primary")
    callers = await asyncio.gather(*(open_transaction(fleet, reading) for _ in IDLE_S))
    last_statement_at = time.monotonic()
    if fleet3.trouble():
        former.cut_from = fleet.control_pids()
        former.heartbeats_cut = True
        record.say(f"{former.name} is partitioned from the core")

        async def heal() -> None:
            await asyncio.sleep(CUT_S)
            former.cut_from, former.heartbeats_cut = set(), False
            record.say("the partition ends")

        async def lag() -> None:
            while not group.promotions:
                await asyncio.sleep(0.005)
            former.lag_s = LAG_FACTOR * fleet3.LAG_S
            record.say(f"{former.name} applies {LAG_FACTOR} times as late")
            await asyncio.sleep(LAG_FOR_S)
            former.lag_s = fleet3.LAG_S

        fleet.spawn(heal())
        fleet.spawn(lag())
    for caller, idle_s in zip(callers, IDLE_S):
        await asyncio.sleep(max(0.0, last_statement_at + idle_s - time.monotonic()))
        answer = await caller.ask("COMMIT")
        result = "no answer" if answer is None else answer.error or "COMPLETE"
        record.say(f"the COMMIT of a transaction that wrote nothing: {result}")
        caller.close()
    await asyncio.sleep(6.0)
    running = False
    await asyncio.sleep(0.3)

    if fleet3.trouble() and not group.promotions:
        raise RuntimeError("no promotion took place")
    kept = {item for item, _ in group.source.log}
    broken = 0
    for number, _, backend, known in group.reads:
        if number not in sent:
            continue
        due = [item for item, at in acked.items() if at < sent[number] - MAX_AGE_S]
        lacking = [item for item in due if item not in known and item in kept]
        if lacking:
            broken += 1
            oldest = sent[number] - min(acked[item] for item in lacking)
            if broken <= 5:
                record.say(
                    f"STALE: {number} ran on {backend.name} without {len(lacking)} commits that"
                    f" were acknowledged up to {oldest:.2f} s before it was sent"
                )
    record.say(f"{len(sent)} reads, {len(acked)} acknowledged writes, {broken} reads too old")
    return broken > 0


if __name__ == "__main__":
    fleet3.main(FOLDER, scenario, entries=3)
