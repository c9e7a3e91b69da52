"""Runs the platform's real programs under a fixed series of faults and checks each guarantee."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import sys  # noqa: E402

import gevent  # noqa: E402

from .callers import Caller, CallerResults  # noqa: E402
from .fleet import PlatformFleet  # noqa: E402

CALLERS = 8
REVOKED_KEY = "key-2"
REVOCATION_WAIT_S = 5.5  # the platform's limit of 5 s plus 0.5 s for the call


class Verdict:
    """One guarantee, whether it holds, and the figure behind it."""

    __slots__ = ("guarantee", "holds", "figure")

    def __init__(self, guarantee: str, holds: bool, figure: str) -> None:
        self.guarantee = guarantee
        self.holds = holds
        self.figure = figure


def run_phases(fleet: PlatformFleet, seconds: float) -> list[Verdict]:
    """Run callers while a primary, a control VM and an entry VM fail, and check the guarantees."""
    caller_results = CallerResults()
    addresses = list(fleet.entry_addresses.values())
    callers = [
        Caller(f"c{number}", f"key-{number % 2 + 1}", addresses, caller_results)
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
    gevent.sleep(REVOCATION_WAIT_S)
    executed_before = sum(1 for statement in fleet.database.executed if statement.workspace == "w2")
    succeeded_before = caller_results.succeeded
    gevent.sleep(seconds)
    for caller in callers:
        caller.stopping = True
    gevent.joinall(greenlets, timeout=10.0)
    executed_after = sum(1 for statement in fleet.database.executed if statement.workspace == "w2")
    return check_guarantees(
        fleet, caller_results, exit_code, executed_after - executed_before, succeeded_before
    )


def check_guarantees(
    fleet: PlatformFleet,
    caller_results: CallerResults,
    exit_code: int,
    late_statements: int,
    succeeded_before: int,
) -> list[Verdict]:
    """Compare the callers' results with the data and the executed statements of the endpoints."""
    database = fleet.database
    log = database.copies[database.primary].log
    lost = caller_results.acknowledged - set(log)
    stored = caller_results.refused_as_not_run & set(log)
    duplicate_count = len(log) - len(set(log))
    executed = database.executed
    wrong_values = [
        statement
        for statement in executed
        if statement.values.get("who", "") != statement.statement_id.partition("x")[0]
    ]
    owners = {"w1": "key-1", "w2": "key-2"}
    wrong_workspace = [
        statement
        for statement in executed
        if owners.get(statement.workspace)
        != f"key-{int(statement.statement_id.partition('x')[0][1:]) % 2 + 1}"
    ]
    return [
        Verdict(
            "no acknowledged write is lost", not lost, f"{len(caller_results.acknowledged)} writes"
        ),
        Verdict(
            "a refusal that says not run is true",
            not stored,
            f"{len(caller_results.refused_as_not_run)} refusals",
        ),
        Verdict("a write runs at most once", not duplicate_count, f"{len(log)} commits"),
        Verdict(
            "statements run with their session's values",
            not wrong_values,
            f"{len(executed)} runs",
        ),
        Verdict(
            "a request runs only for its key's workspace",
            not wrong_workspace,
            f"{len(executed)} runs",
        ),
        Verdict(
            "a withdrawn key stops",
            late_statements == 0,
            f"{late_statements} runs after the limit",
        ),
        Verdict("a lost primary is replaced", bool(database.promotions), str(database.promotions)),
        Verdict("a planned stop ends in time", exit_code == 0, f"exit code {exit_code}"),
        Verdict(
            "callers are served after every fault",
            caller_results.succeeded > succeeded_before,
            f"{caller_results.succeeded} served, refused: {caller_results.failures_by_error}",
        ),
    ]


def main() -> int:
    """Run all phases once and print a verdict on each guarantee."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=3.0, help="length of each phase")
    options = parser.parse_args()
    fleet = PlatformFleet()
    try:
        fleet.start()
        verdicts = run_phases(fleet, options.seconds)
    finally:
        fleet.stop()
    for verdict in verdicts:
        print(f"{'holds ' if verdict.holds else 'BROKEN'} {verdict.guarantee} ({verdict.figure})")
    return 0 if all(verdict.holds for verdict in verdicts) else 1


if __name__ == "__main__":
    sys.exit(main())
