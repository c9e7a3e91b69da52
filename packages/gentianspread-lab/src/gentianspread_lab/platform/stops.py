"""Stop trial: stops entry VMs while callers of all shapes keep using their open connections."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import random  # noqa: E402
import signal  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
from collections import Counter  # noqa: E402
from enum import Enum  # noqa: E402

import gevent  # noqa: E402

from .callers import Rotation, ShapedCaller  # noqa: E402
from .fleet import GRACE_PERIOD_S, PlatformFleet  # noqa: E402
from .judgement import FindingKind, count_by_kind, judge  # noqa: E402
from .ledger import Ledger  # noqa: E402
from .operators import FIRST_KEYS, Configuration  # noqa: E402
from .shapes import ALL_SHAPES, LastingTransaction  # noqa: E402

ENTRY_VM_COUNT = 6  # two for each zone, so that most statements are relayed
ENDPOINT_SLOTS = 12  # transactions of slow statements leave slots for the other callers
WARM_UP_S = 2.5
MAX_STOP_DELAY_S = 0.7  # between the stops of one round
EXIT_CHECK_INTERVAL_S = 0.02
CALLERS_PER_SHAPE = 4
LASTING_TRANSACTIONS_PER_STOP = 2
MAX_PRINTED_FINDINGS = 12


class Interference(Enum):
    """What else happens to a VM while it stops."""

    NONE = "nothing"
    SECOND_SIGTERM = "a second SIGTERM"
    SIGHUP = "SIGHUP"
    DECLARATION = "a new configuration"


class StopTrial:
    """Stops some of a fleet's entry VMs at about the same time, in several rounds."""

    def __init__(self, seed: int, callers_per_shape: int = CALLERS_PER_SHAPE) -> None:
        self.seed = seed
        self.randomness = random.Random(seed)
        self.fleet = PlatformFleet(ENTRY_VM_COUNT, ENDPOINT_SLOTS, traces_owners=True)
        self.ledger = Ledger()
        self.callers_per_shape = callers_per_shape
        self.interferences: Counter[Interference] = Counter()
        self.version = 1

    def run(self, rounds: int, stops_per_round: int) -> None:
        """Run callers of all shapes and the rounds; then wait for the callers' sessions to end."""
        self.fleet.start()
        rotation = Rotation(self.fleet)
        rotation.start()
        shapes = [shape for shape in ALL_SHAPES for _ in range(self.callers_per_shape)]
        callers = [
            ShapedCaller(
                f"c{index}", [f"key-{index % 2 + 1}"], shape, rotation, self.ledger, self.seed
            )
            for index, shape in enumerate(shapes)
        ]
        greenlets = [gevent.spawn(caller.run) for caller in callers]
        gevent.sleep(WARM_UP_S)
        for _ in range(rounds):
            names = self.randomness.sample(list(self.fleet.entry_addresses), stops_per_round)
            greenlets += self._start_lasting_transactions(names, rotation)
            gevent.joinall([gevent.spawn(self.stop_entry, name) for name in names])
            self._restart(names)
        for caller in callers:
            caller.stopping = True
        rotation.stop()
        gevent.killall(greenlets)

    def stop_entry(self, name: str) -> None:
        """Stop one entry VM and wait until its process has ended."""
        gevent.sleep(self.randomness.uniform(0.0, MAX_STOP_DELAY_S))
        process = self.fleet.processes[name]
        record = self.ledger.begin_stop(name, GRACE_PERIOD_S)
        process.send_signal(signal.SIGTERM)
        gevent.spawn(self._interfere, process)
        with gevent.Timeout(2 * GRACE_PERIOD_S):
            while process.poll() is None:
                gevent.sleep(EXIT_CHECK_INTERVAL_S)
        record.end(process.returncode)

    def _interfere(self, process: subprocess.Popen[bytes]) -> None:
        """Disturb a stop in one way, at a random time within the grace period."""
        kind = self.randomness.choice(list(Interference))
        gevent.sleep(self.randomness.uniform(0.0, GRACE_PERIOD_S - 1.0))
        self.interferences[kind] += 1
        if kind is Interference.SECOND_SIGTERM:
            process.send_signal(signal.SIGTERM)
        elif kind is Interference.SIGHUP:
            process.send_signal(signal.SIGHUP)
        elif kind is Interference.DECLARATION:
            self.version += 1
            self.fleet.operator.declare(Configuration(self.version, FIRST_KEYS))

    def _start_lasting_transactions(
        self, vms: list[str], rotation: Rotation
    ) -> list[gevent.Greenlet]:
        greenlets = []
        for vm in vms:
            for index in range(LASTING_TRANSACTIONS_PER_STOP):
                name = f"l{len(self.ledger.stops)}{vm[-1]}{index}"
                caller = ShapedCaller(
                    name, ["key-1"], LastingTransaction(), rotation, self.ledger, self.seed
                )
                greenlets.append(gevent.spawn(caller.use_session, vm))
        return greenlets

    def _restart(self, names: list[str]) -> None:
        for name in names:
            self.fleet.start_entry(name)
        for name in names:
            self.fleet.wait_until_ready(name)
        gevent.sleep(WARM_UP_S)


def run_trial(
    seed: int,
    rounds: int,
    stops_per_round: int,
    callers_per_shape: int,
    prints_all: bool = False,
) -> bool:
    """Run one seed, print its findings, and return whether no guarantee is broken."""
    trial = StopTrial(seed, callers_per_shape)
    findings = []
    try:
        trial.run(rounds, stops_per_round)
        findings = judge(trial.ledger, trial.fleet.database)
    finally:
        broken = [item for item in findings if item.is_broken()]
        trial.fleet.stop(keep_logs=bool(broken))
    received = trial.fleet.database.received_statements
    relayed = sum(
        1
        for item in received
        if item.statement_id in trial.ledger.statements
        and item.vm != trial.ledger.statements[item.statement_id].vm
    )
    counts = count_by_kind(findings)
    print(
        f"seed {seed}: {len(trial.ledger.statements)} statements, {len(received)} passed to "
        f"endpoints, {relayed} of them relayed, {len(trial.ledger.stops)} stops, "
        f"{len(broken)} broken"
    )
    kinds = {kind.value: count for kind, count in trial.interferences.items()}
    print(f"  during the stops: {kinds}")
    print(f"  answers by code: {dict(trial.ledger.count_answers())}")
    for kind in FindingKind:
        if kind in counts:
            print(f"  {counts[kind]} x {kind.value}")
    for finding in findings if prints_all else broken[:MAX_PRINTED_FINDINGS]:
        label = "BROKEN" if finding.is_broken() else "noted"
        print(f"  {label} {finding.kind.value}: {finding.subject} {finding.evidence}")
    for stop in trial.ledger.stops:
        if stop.exit_code != 0:
            ended = f"{stop.exited_at - stop.sent_at:.2f} s after SIGTERM"
            print(f"  {stop.vm} ended {ended} with exit code {stop.exit_code}")
    return not broken


def main() -> int:
    """Run one or more seeds; return 1 if a guarantee was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--count", type=int, default=1, help="how many seeds")
    parser.add_argument("--rounds", type=int, default=2, help="rounds of stops")
    parser.add_argument("--stops", type=int, default=2, help="VMs stopped in each round")
    parser.add_argument(
        "--callers", type=int, default=CALLERS_PER_SHAPE, help="callers of each shape"
    )
    parser.add_argument("--all", action="store_true", help="print all findings")
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.count)
    results = [
        run_trial(seed, options.rounds, options.stops, options.callers, options.all)
        for seed in seeds
    ]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
