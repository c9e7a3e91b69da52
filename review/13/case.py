"""UNASKED: a front machine that stood still runs relayed statements for the key's former tenant."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import fleet3  # noqa: E402

OTHER_TENANT, OTHER_KEY = "wysa55k", "q7r2mzt5c9ndv3hxk8eb"
MOVED_KEY = "j8pjbvk9m68k7b2ex5wa"
TENANTS = (fleet3.TENANT, OTHER_TENANT)
OWN_KEYS = {fleet3.TENANT: fleet3.KEY, OTHER_TENANT: OTHER_KEY}
DECLARED_AFTER_S = 0.45  # from the beginning of the freeze
MAX_FREEZE_S = 3.4  # the site's days freeze machines for up to 4.0 s
SLACK_S = 0.25  # downgradeSlackMs
WAITED_S = 0.15  # a statement that has no answer for this time waits at the frozen machine
CALLERS = 6
MAX_ROUNDS = 4  # a freeze in which no statement waits at the frozen machine shows nothing
PAUSE_S = 6.0


def configuration(fleet: fleet3.Fleet, version: int, holder: str) -> dict:
    """Return a configuration in which a tenant holds the moved key beside its own."""
    tenants = []
    for name in TENANTS:
        keys = [OWN_KEYS[name]] + ([MOVED_KEY] if name == holder else [])
        tenants.append(
            {"name": name, "apiKeys": keys, "priority": 1, "ratePerS": 1000, "burstSize": 1000}
        )
    return fleet.configuration(version, tenants=tenants)


async def home_of(fleet: fleet3.Fleet, tenant: str) -> tuple[str, str]:
    """Return the front machine that sends a tenant's statements to the primary, and another.

    Both are in the primary's zone.
    """
    primary = fleet.group.primary
    pids = {fleet.processes[name].pid: name for name in fleet.entries}
    entries = [name for name in fleet.entries if primary.zone in name]
    deadline = time.monotonic() + 10.0
    owners: list[str] = []
    while time.monotonic() < deadline:
        for entry in entries:
            client = fleet.client(entry, "primary", OWN_KEYS[tenant])
            if await client.open():
                answer = await client.ask("READ 1")
                client.close()
                if answer is not None and answer.signature:
                    owners.append(pids.get(primary.last_owner, ""))
            await asyncio.sleep(0.1)
        if len(owners) >= 8 and len(set(owners[-8:])) == 1 and owners[-1] in entries:
            return owners[-1], next(name for name in entries if name != owners[-1])
    raise RuntimeError("no machine sends all of the tenant's statements to the primary")


async def play(fleet: fleet3.Fleet, version: int, former: str, holder: str) -> int:
    """Move the key while the holder's home stands still; return how many statements ran wrongly."""
    record, tenants = fleet.record, fleet.group.tenants
    home, entry = await home_of(fleet, holder)
    record.say(f"{home} sends the statements of {holder} to the primary; clients use {entry}")
    running = True
    answers: list[fleet3.Answer] = []
    waiting: dict[int, float] = {}

    async def call(key: str, number: int) -> None:
        client = fleet.client(entry, "primary", key)
        while running:
            if not client.is_open() and not await client.open():
                await asyncio.sleep(0.02)
                continue
            if key == MOVED_KEY:
                waiting[number] = time.monotonic()
            answer = await client.ask(f"READ {number}")
            waiting.pop(number, None)
            if answer is not None and key == MOVED_KEY:
                answers.append(answer)
            if answer is not None and answer.error:
                client.close()
            await asyncio.sleep(0.03)

    def first_run() -> float | None:
        """Return when a statement with the moved key had first run for the new holder."""
        ends = [item.ended_at for item in answers if tenants.get(item.number) == holder]
        return min(ends, default=None)

    fleet.spawn(call(OWN_KEYS[holder], 100))
    await asyncio.sleep(1.0)
    frozen = fleet.processes[home]
    frozen_at = time.monotonic()
    if fleet3.trouble():
        frozen.send_signal(signal.SIGSTOP)
        record.say(f"{home} stands still")
    await asyncio.sleep(DECLARED_AFTER_S)
    if not await fleet.declare(configuration(fleet, version, holder)):
        raise RuntimeError("a configuration was not acknowledged")
    acked_at = time.monotonic()
    record.say(f"a configuration that moves a key from {former} to {holder} is acknowledged")
    for number in range(CALLERS):
        fleet.spawn(call(MOVED_KEY, number))
    while time.monotonic() < frozen_at + MAX_FREEZE_S:
        await asyncio.sleep(0.01)
        since, now = first_run(), time.monotonic()
        if since is not None and any(
            at > since + SLACK_S and now > at + WAITED_S for at in waiting.values()
        ):
            break
    if fleet3.trouble():
        frozen.send_signal(signal.SIGCONT)
        record.say(f"{home} wakes after {time.monotonic() - frozen_at:.2f} s")
    await asyncio.sleep(2.0)
    running = False
    await asyncio.sleep(0.3)

    since = first_run()
    if since is None:
        raise RuntimeError("no statement with the moved key ran for the new holder")
    record.say(f"the first statement with the key ran for {holder} {since - acked_at:.2f} s later")
    broken = 0
    for item in answers:
        if item.sent_at > since + SLACK_S and tenants.get(item.number, holder) != holder:
            broken += 1
            record.say(
                f"UNASKED: {item.number}, sent {item.sent_at - since:.2f} s after that to {entry},"
                f" ran for {tenants[item.number]}: {item.error or 'COMPLETE'}"
            )
    record.say(f"{len(answers)} statements with the key, {broken} ran for the former holder")
    return broken


async def scenario(fleet: fleet3.Fleet) -> bool:
    await fleet.start()
    former, holder = TENANTS
    if not await fleet.declare(configuration(fleet, 2, former)):
        raise RuntimeError("the second configuration was not acknowledged")
    await asyncio.sleep(3.0)
    for number in range(MAX_ROUNDS):
        if await play(fleet, 3 + number, former, holder):
            return True
        former, holder = holder, former
        await asyncio.sleep(PAUSE_S)
    return False


if __name__ == "__main__":
    fleet3.main(FOLDER, scenario, entries=6)
