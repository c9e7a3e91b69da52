"""CONFIG: a front machine that stood still refuses relayed statements by its old configuration."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import fleet3  # noqa: E402

NEW_KEYS = (
    "j8pjbvk9m68k7b2ex5wa",
    "q7r2mzt5c9ndv3hxk8eb",
    "w4h8gsn2tqa7yfd3m6rc",
    "p3kx9bvu5jz8e2hwg7mt",
)
DECLARED_AFTER_S = 0.45  # from the beginning of the freeze
MAX_FREEZE_S = 3.4  # the site's days freeze machines for up to 4.0 s
SLACK_S = 0.25  # downgradeSlackMs
WAITED_S = 0.15  # a statement that has no answer for this time waits at the frozen machine
CALLERS = 6
PAUSE_S = 6.0


async def home_of_primary(fleet: fleet3.Fleet) -> tuple[str, str]:
    """Return the front machine that sends the tenant's statements to the primary, and another.

    Both are in the primary's zone.
    """
    zone = fleet.group.primary.zone
    pids = {fleet.processes[name].pid: name for name in fleet.entries}
    entries = [name for name in fleet.entries if zone in name]
    deadline = time.monotonic() + 10.0
    owners: list[str] = []
    while time.monotonic() < deadline:
        for entry in entries:
            client = fleet.client(entry, "primary")
            if await client.open():
                answer = await client.ask("READ 1")
                client.close()
                if answer is not None and answer.signature:
                    owners.append(pids.get(fleet.group.primary.last_owner, ""))
            await asyncio.sleep(0.1)
        if len(owners) >= 8 and len(set(owners[-8:])) == 1 and owners[-1] in entries:
            return owners[-1], next(name for name in entries if name != owners[-1])
    raise RuntimeError("no machine sends all of the tenant's statements to the primary")


async def play(fleet: fleet3.Fleet, version: int, new_key: str, keys: list[str]) -> int:
    """Add a key while the tenant's home stands still; return how many statements were refused."""
    record = fleet.record
    home, entry = await home_of_primary(fleet)
    record.say(f"{home} sends the tenant's statements to the primary; callers use {entry}")
    running = True
    answers: list[fleet3.Answer] = []
    waiting: dict[int, float] = {}

    async def call(key: str, number: int) -> None:
        client = fleet.client(entry, "primary", key)
        while running:
            if not client.is_open() and not await client.open():
                await asyncio.sleep(0.02)
                continue
            if key == new_key:
                waiting[number] = time.monotonic()
            answer = await client.ask(f"READ {number}")
            waiting.pop(number, None)
            if answer is not None and key == new_key:
                answers.append(answer)
            if answer is not None and answer.error:
                client.close()
            await asyncio.sleep(0.03)

    def first_success() -> float | None:
        return min((item.ended_at for item in answers if item.signature), default=None)

    fleet.spawn(call(fleet3.KEY, 100))
    await asyncio.sleep(1.0)
    frozen = fleet.processes[home]
    frozen_at = time.monotonic()
    if fleet3.trouble():
        frozen.send_signal(signal.SIGSTOP)
        record.say(f"{home} stands still")
    await asyncio.sleep(DECLARED_AFTER_S)
    tenant = dict(fleet.configuration(1)["tenants"][0], apiKeys=[*keys, new_key])
    if not await fleet.declare(fleet.configuration(version, tenants=[tenant])):
        raise RuntimeError("a configuration was not acknowledged")
    acked_at = time.monotonic()
    record.say("a configuration with another key of the tenant is acknowledged")
    for number in range(CALLERS):
        fleet.spawn(call(new_key, number))
    while time.monotonic() < frozen_at + MAX_FREEZE_S:
        await asyncio.sleep(0.01)
        since, now = first_success(), time.monotonic()
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

    since = first_success()
    if since is None:
        raise RuntimeError("no statement with the new key succeeded")
    record.say(f"the first statement with the new key succeeded {since - acked_at:.2f} s later")
    broken = 0
    for item in answers:
        if item.error == "AUTHFAIL" and item.sent_at > since + SLACK_S:
            broken += 1
            record.say(
                f"CONFIG: {item.number}, sent {item.sent_at - since:.2f} s after that to {entry},"
                " got AUTHFAIL"
            )
    record.say(f"{len(answers)} statements with the new key, {broken} refused by the old version")
    return broken


async def scenario(fleet: fleet3.Fleet) -> bool:
    await fleet.start()
    await asyncio.sleep(3.0)
    keys = [fleet3.KEY]
    for new_key in NEW_KEYS:  # a freeze in which no statement waits there shows nothing
        if await play(fleet, 1 + len(keys), new_key, keys):
            return True
        keys.append(new_key)
        await asyncio.sleep(PAUSE_S)
    return False


if __name__ == "__main__":
    fleet3.main(FOLDER, scenario, entries=6)
