"""Injects random faults from outside into the platform's real programs and checks the promises.

Faults come in series and overlap: processes are killed, paused, stopped in turn and started again,
links to endpoints are slowed, reset, cut one way or silenced, endpoints crash, and configurations
change. At most one control VM and one endpoint are lost at a time, as the programs must bear.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import random  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
from collections.abc import Callable  # noqa: E402

import gevent  # noqa: E402

from .callers import Caller, Record  # noqa: E402
from .demo import CALLERS, verdicts  # noqa: E402
from .fleet import PlatformFleet  # noqa: E402
from .links import LinkState  # noqa: E402

LONGEST_FAULT_S = 3.0  # seconds; primaries are replaced within 1.5 s
LONGEST_PAUSE_S = 1.5  # seconds between two faults, so that they overlap
SETTLING_S = 8.0  # seconds after the last fault; the platform's own bound is 12


class Soak:
    """One seeded run over a fleet."""

    def __init__(self, fleet: PlatformFleet, seed: int) -> None:
        self.fleet = fleet
        self.randomness = random.Random(seed)
        self.version = 1
        self.log: list[str] = []
        self.busy: set[str] = set()
        self.exit_codes: list[int] = [0]
        self._faults: list[Callable[[], None]] = [
            self._kill_entry,
            self._pause_entry,
            self._stop_entry,
            self._kill_control,
            self._pause_control,
            self._crash_endpoint,
            self._harm_link,
            self._reset_link,
            self._silence_link,
            self._declare,
        ]

    def run(self, seconds: float) -> None:
        """Inject faults for some seconds, each in a greenlet of its own."""
        greenlets = []
        elapsed = 0.0
        while elapsed < seconds:
            fault = self.randomness.choice(self._faults)
            self.log.append(f"{elapsed:.1f} s {fault.__name__.strip('_')}")
            greenlets.append(gevent.spawn(fault))
            pause = self.randomness.uniform(0.1, LONGEST_PAUSE_S)
            gevent.sleep(pause)
            elapsed += pause
        gevent.joinall(greenlets)

    def _take(self, kind: str, names: list[str]) -> str | None:
        """Return a name of a kind that no other fault holds, or none while one of it is held."""
        if any(item.startswith(kind) for item in self.busy):
            return None
        name = self.randomness.choice(names)
        self.busy.add(kind + name)
        return name

    def _hold(self) -> None:
        gevent.sleep(self.randomness.uniform(0.2, LONGEST_FAULT_S))

    def _kill_entry(self) -> None:
        name = self._take("vm ", list(self.fleet.entries))
        if name is not None:
            self.fleet.kill(name)
            self._hold()
            self.fleet.start_entry(name)
            self.busy.discard("vm " + name)

    def _pause_entry(self) -> None:
        name = self._take("vm ", list(self.fleet.entries))
        if name is not None:
            self._pause(name)
            self.busy.discard("vm " + name)

    def _stop_entry(self) -> None:
        name = self._take("vm ", list(self.fleet.entries))
        if name is not None:
            self.exit_codes.append(self.fleet.terminate(name))
            self.fleet.start_entry(name)
            self.busy.discard("vm " + name)

    def _kill_control(self) -> None:
        name = self._take("control ", ["1", "2", "3"])
        if name is not None:
            self.fleet.kill(f"control-{name}")
            self._hold()
            self.fleet.start_control(int(name) - 1)
            self._hold()
            self.busy.discard("control " + name)

    def _pause_control(self) -> None:
        name = self._take("control ", ["1", "2", "3"])
        if name is not None:
            self._pause(f"control-{name}")
            self._hold()
            self.busy.discard("control " + name)

    def _pause(self, name: str) -> None:
        process = self.fleet.processes[name]
        process.send_signal(signal.SIGSTOP)
        self._hold()
        process.send_signal(signal.SIGCONT)

    def _crash_endpoint(self) -> None:
        name = self._take("endpoint ", list(self.fleet.endpoints))
        if name is not None:
            self.fleet.endpoints[name].crash()
            self._hold()
            self.fleet.restart_endpoint(name)
            self._hold()
            self.busy.discard("endpoint " + name)

    def _harm_link(self) -> None:
        name = self._take("endpoint ", list(self.fleet.links))
        if name is not None:
            states = [LinkState.SLOW, LinkState.SILENT, LinkState.ONE_WAY]
            self.fleet.links[name].state = self.randomness.choice(states)
            self._hold()
            self.fleet.links[name].state = LinkState.WHOLE
            self.busy.discard("endpoint " + name)

    def _reset_link(self) -> None:
        self.fleet.links[self.randomness.choice(list(self.fleet.links))].reset()

    def _silence_link(self) -> None:
        self.fleet.links[self.randomness.choice(list(self.fleet.links))].silence_open()

    def _declare(self) -> None:
        self.version += self.randomness.randint(1, 3)
        self.fleet.declare(self.version, {"w1": ["key-1"], "w2": ["key-2"]})


def soak(seed: int, seconds: float) -> bool:
    """Play one seed, print its verdicts if any is broken, and return whether all held."""
    fleet = PlatformFleet()
    record = Record()
    try:
        fleet.start()
        callers = [
            Caller(f"c{number}", f"key-{number % 2 + 1}", list(fleet.entries.values()), record)
            for number in range(CALLERS)
        ]
        greenlets = [gevent.spawn(caller.run) for caller in callers]
        run = Soak(fleet, seed)
        run.run(seconds)
        gevent.sleep(SETTLING_S)
        served_before = record.served
        gevent.sleep(2.0)
        for caller in callers:
            caller.stopping = True
        gevent.joinall(greenlets, timeout=10.0)
        results = verdicts(fleet, record, max(run.exit_codes), 0, served_before)
        results = [item for item in results if item.promise != "a lost primary is replaced"]
    finally:
        fleet.stop()
    broken = [item for item in results if not item.holds]
    print(f"seed {seed}: {record.served} served, {len(run.log)} faults, {len(broken)} broken")
    for verdict in broken:
        print(f"  BROKEN {verdict.promise} ({verdict.figure})")
    if broken:
        print("  " + "; ".join(run.log))
    return not broken


def main() -> int:
    """Play one or more seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--count", type=int, default=1, help="how many seeds")
    parser.add_argument("--seconds", type=float, default=12.0, help="time with faults")
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.count)
    held = [soak(seed, options.seconds) for seed in seeds]
    return 0 if all(held) else 1


if __name__ == "__main__":
    sys.exit(main())
