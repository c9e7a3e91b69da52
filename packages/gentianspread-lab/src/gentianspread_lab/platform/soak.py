"""Fault soak: injects random faults into control and entry VMs and checks their guarantees.

Faults overlap: processes are killed, frozen, or stopped gracefully, and started again; links to
endpoints are slowed, reset, cut one way or silenced; endpoints crash; and configurations change. At
most one VM of each kind and one endpoint are lost at a time, which the programs must tolerate.
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

from .callers import Caller, CallerResults  # noqa: E402
from .demo import CALLER_COUNT, Verdict, check_guarantees  # noqa: E402
from .fleet import PlatformFleet  # noqa: E402
from .links import LinkState  # noqa: E402

MAX_FAULT_S = 3.0  # long enough to replace a primary, which takes up to 1.5 s
MAX_FAULT_INTERVAL_S = 1.5  # short enough that faults overlap
RECOVERY_TIME_S = 8.0  # the platform requires recovery within 12 s


class FaultInjector:
    """Injects the faults of one seed into a fleet.

    `faulty` names what has a fault now, by kind and name; `injected` lists the faults with times.
    """

    def __init__(self, fleet: PlatformFleet, seed: int) -> None:
        self.fleet = fleet
        self.randomness = random.Random(seed)
        self.version = 1
        self.injected: list[str] = []
        self.faulty: set[str] = set()
        self.exit_codes: list[int] = [0]
        self._faults: list[Callable[[], None]] = [
            self._kill_entry,
            self._freeze_entry,
            self._stop_entry,
            self._kill_control,
            self._freeze_control,
            self._crash_endpoint,
            self._degrade_link,
            self._reset_link,
            self._silence_connections,
            self._declare,
        ]

    def run(self, seconds: float) -> None:
        """Inject faults for some seconds, each in its own greenlet."""
        greenlets = []
        elapsed = 0.0
        while elapsed < seconds:
            fault = self.randomness.choice(self._faults)
            self.injected.append(f"{elapsed:.1f} s {fault.__name__.strip('_')}")
            greenlets.append(gevent.spawn(fault))
            interval = self.randomness.uniform(0.1, MAX_FAULT_INTERVAL_S)
            gevent.sleep(interval)
            elapsed += interval
        gevent.joinall(greenlets)

    def _claim(self, kind: str, names: list[str]) -> str | None:
        """Mark a random name of a kind as faulty and return it, or none if the kind has a fault."""
        if any(item.startswith(kind) for item in self.faulty):
            return None
        name = self.randomness.choice(names)
        self.faulty.add(kind + name)
        return name

    def _wait_fault_duration(self) -> None:
        gevent.sleep(self.randomness.uniform(0.2, MAX_FAULT_S))

    def _kill_entry(self) -> None:
        name = self._claim("vm ", list(self.fleet.entry_addresses))
        if name is not None:
            self.fleet.kill(name)
            self._wait_fault_duration()
            self.fleet.start_entry(name)
            self.faulty.discard("vm " + name)

    def _freeze_entry(self) -> None:
        name = self._claim("vm ", list(self.fleet.entry_addresses))
        if name is not None:
            self._freeze(name)
            self.faulty.discard("vm " + name)

    def _stop_entry(self) -> None:
        name = self._claim("vm ", list(self.fleet.entry_addresses))
        if name is not None:
            self.exit_codes.append(self.fleet.terminate(name))
            self.fleet.start_entry(name)
            self.faulty.discard("vm " + name)

    def _kill_control(self) -> None:
        name = self._claim("control ", ["1", "2", "3"])
        if name is not None:
            self.fleet.kill(f"control-{name}")
            self._wait_fault_duration()
            self.fleet.start_control(int(name) - 1)
            self._wait_fault_duration()
            self.faulty.discard("control " + name)

    def _freeze_control(self) -> None:
        name = self._claim("control ", ["1", "2", "3"])
        if name is not None:
            self._freeze(f"control-{name}")
            self._wait_fault_duration()
            self.faulty.discard("control " + name)

    def _freeze(self, name: str) -> None:
        process = self.fleet.processes[name]
        process.send_signal(signal.SIGSTOP)
        self._wait_fault_duration()
        process.send_signal(signal.SIGCONT)

    def _crash_endpoint(self) -> None:
        name = self._claim("endpoint ", list(self.fleet.endpoints))
        if name is not None:
            self.fleet.endpoints[name].crash()
            self._wait_fault_duration()
            self.fleet.restart_endpoint(name)
            self._wait_fault_duration()
            self.faulty.discard("endpoint " + name)

    def _degrade_link(self) -> None:
        name = self._claim("endpoint ", list(self.fleet.links))
        if name is not None:
            states = [LinkState.SLOW, LinkState.SILENT, LinkState.ONE_WAY]
            self.fleet.links[name].state = self.randomness.choice(states)
            self._wait_fault_duration()
            self.fleet.links[name].state = LinkState.HEALTHY
            self.faulty.discard("endpoint " + name)

    def _reset_link(self) -> None:
        self.fleet.links[self.randomness.choice(list(self.fleet.links))].reset()

    def _silence_connections(self) -> None:
        self.fleet.links[self.randomness.choice(list(self.fleet.links))].silence_open_connections()

    def _declare(self) -> None:
        self.version += self.randomness.randint(1, 3)
        self.fleet.declare(self.version, {"w1": ["key-1"], "w2": ["key-2"]})


def soak(seed: int, seconds: float) -> bool:
    """Run one seed, print the violated guarantees, and return whether all hold."""
    fleet = PlatformFleet()
    caller_results = CallerResults()
    violated: list[Verdict] | None = None
    try:
        fleet.start()
        callers = [
            Caller(
                f"c{number}",
                f"key-{number % 2 + 1}",
                list(fleet.entry_addresses.values()),
                caller_results,
            )
            for number in range(CALLER_COUNT)
        ]
        greenlets = [gevent.spawn(caller.run) for caller in callers]
        injector = FaultInjector(fleet, seed)
        injector.run(seconds)
        gevent.sleep(RECOVERY_TIME_S)
        succeeded_before_last_phase = caller_results.succeeded
        gevent.sleep(2.0)
        for caller in callers:
            caller.stopping = True
        gevent.joinall(greenlets, timeout=10.0)
        verdicts = check_guarantees(
            fleet, caller_results, max(injector.exit_codes), 0, succeeded_before_last_phase
        )
        verdicts = [item for item in verdicts if item.guarantee != "a lost primary is replaced"]
        violated = [item for item in verdicts if not item.holds]
    finally:
        fleet.stop(keep_logs=violated != [])
    print(
        f"seed {seed}: {caller_results.succeeded} served, {len(injector.injected)} faults, "
        f"{len(violated)} broken"
    )
    for verdict in violated:
        print(f"  BROKEN {verdict.guarantee} ({verdict.evidence})")
    if violated:
        print("  " + "; ".join(injector.injected))
    return not violated


def main() -> int:
    """Run one or more seeds; return 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--count", type=int, default=1, help="how many seeds")
    parser.add_argument("--seconds", type=float, default=12.0, help="time with faults")
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.count)
    results = [soak(seed, options.seconds) for seed in seeds]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
