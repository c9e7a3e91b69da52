"""Runs the platform's real programs under faults and gives a verdict on each promise."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import sys  # noqa: E402

import gevent  # noqa: E402

from .callers import Caller, Record  # noqa: E402
from .fleet import PlatformFleet  # noqa: E402

CALLERS = 8
REVOKED_KEY = "key-2"
REVOKE_BOUND_S = 5.5  # seconds; the platform's bound of 5 s and half a second for the call


class Verdict:
    """One promise and whether it held."""

    __slots__ = ("promise", "holds", "figure")

    def __init__(self, promise: str, holds: bool, figure: str) -> None:
        self.promise = promise
        self.holds = holds
        self.figure = figure


def play(fleet: PlatformFleet, seconds: float) -> list[Verdict]:
    """Let callers work while a primary, a control VM and an entry VM are lost."""
    record = Record()
    addresses = list(fleet.entries.values())
    callers = [
        Caller(f"c{number}", f"key-{number % 2 + 1}", addresses, record)
        for number in range(CALLERS)
    ]
    greenlets = [gevent.spawn(caller.run) for caller in callers]
    gevent.sleep(seconds)
    fleet.endpoints[fleet.database.primary].crash()
    gevent.sleep(seconds)
    fleet.kill("control-1")
    fleet.kill("entry-1")
    gevent.sleep(seconds)
    fleet.start_control(0)
    fleet.start_entry("entry-1")
    exit_code = fleet.terminate("entry-2")
    fleet.declare(2, {"w1": ["key-1"], "w2": ["key-3"]})
    gevent.sleep(REVOKE_BOUND_S)
    runs_before = sum(1 for run in fleet.database.runs if run.workspace == "w2")
    served_before = record.served
    gevent.sleep(seconds)
    for caller in callers:
        caller.stopping = True
    gevent.joinall(greenlets, timeout=10.0)
    runs_after = sum(1 for run in fleet.database.runs if run.workspace == "w2")
    return verdicts(fleet, record, exit_code, runs_after - runs_before, served_before)


def verdicts(
    fleet: PlatformFleet, record: Record, exit_code: int, late_runs: int, served_before: int
) -> list[Verdict]:
    """Compare what callers were told with what the endpoints hold."""
    database = fleet.database
    log = database.copies[database.primary].log
    lost = record.acknowledged - set(log)
    kept = record.promised & set(log)
    twice = len(log) - len(set(log))
    runs = database.runs
    mixed = [run for run in runs if run.values.get("who", "") != run.number.partition("x")[0]]
    owners = {"w1": "key-1", "w2": "key-2"}
    foreign = [
        run
        for run in runs
        if owners.get(run.workspace) != f"key-{int(run.number.partition('x')[0][1:]) % 2 + 1}"
    ]
    return [
        Verdict("no acknowledged write is lost", not lost, f"{len(record.acknowledged)} writes"),
        Verdict("a refusal that says not run is true", not kept, f"{len(record.promised)} told"),
        Verdict("a write runs at most once", not twice, f"{len(log)} commits"),
        Verdict("statements run with their session's values", not mixed, f"{len(runs)} runs"),
        Verdict("a request runs only for its key's workspace", not foreign, f"{len(runs)} runs"),
        Verdict("a withdrawn key stops", late_runs == 0, f"{late_runs} runs after the bound"),
        Verdict("a lost primary is replaced", bool(database.promotions), str(database.promotions)),
        Verdict("a planned stop ends in time", exit_code == 0, f"exit code {exit_code}"),
        Verdict(
            "callers are served after every fault",
            record.served > served_before,
            f"{record.served} served, refused: {record.refused}",
        ),
    ]


def main() -> int:
    """Run once and print the verdicts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=3.0, help="length of each phase")
    options = parser.parse_args()
    fleet = PlatformFleet()
    try:
        fleet.start()
        results = play(fleet, options.seconds)
    finally:
        fleet.stop()
    for verdict in results:
        print(f"{'holds ' if verdict.holds else 'BROKEN'} {verdict.promise} ({verdict.figure})")
    return 0 if all(verdict.holds for verdict in results) else 1


if __name__ == "__main__":
    sys.exit(main())
