"""Runs control and entry VMs as processes under a fixed series of faults; checks each guarantee."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import sys  # noqa: E402

import gevent  # noqa: E402

from .callers import Caller, CallerResults  # noqa: E402
from .fleet import PlatformFleet  # noqa: E402

CALLER_COUNT = 8
WITHDRAWN_KEY = "key-2"
WITHDRAWAL_WAIT_S = 5.5  # the platform's limit of 5 s plus 0.5 s for the call


class Verdict:
    """One guarantee, whether it holds, and a text of what was counted or seen to decide it."""

    __slots__ = ("guarantee", "holds", "evidence")

    def __init__(self, guarantee: str, holds: bool, evidence: str) -> None:
        self.guarantee = guarantee
        self.holds = holds
        self.evidence = evidence


def run_phases(fleet: PlatformFleet, phase_s: float) -> list[Verdict]:
    """Run callers during four phases and check the guarantees.

    After the first phase the primary crashes. After the second, a control VM and an entry VM are
    killed. After the third, both are started again, another entry VM is stopped gracefully and
    a key is withdrawn. The last phase has no faults.
    """
    caller_results = CallerResults()
    addresses = list(fleet.entry_addresses.values())
    callers = [
        Caller(f"c{number}", f"key-{number % 2 + 1}", addresses, caller_results)
        for number in range(CALLER_COUNT)
    ]
    greenlets = [gevent.spawn(caller.run) for caller in callers]
    gevent.sleep(phase_s)
    fleet.endpoints[fleet.database.primary].crash()
    gevent.sleep(phase_s)
    fleet.kill("control-1")
    fleet.kill("entry-1")
    gevent.sleep(phase_s)
    fleet.start_control(0)  # control-1
    fleet.start_entry("entry-1")
    exit_code = fleet.terminate("entry-2")
    # Version 2 of the configuration withdraws key-2 of w2; no caller uses its new key, key-3.
    fleet.declare(2, {"w1": ["key-1"], "w2": ["key-3"]})
    gevent.sleep(WITHDRAWAL_WAIT_S)
    w2_executed_before_last_phase = sum(
        1 for statement in fleet.database.executed_statements if statement.workspace == "w2"
    )
    succeeded_before_last_phase = caller_results.succeeded
    gevent.sleep(phase_s)
    for caller in callers:
        caller.stopping = True
    gevent.joinall(greenlets, timeout=10.0)
    w2_executed_at_end = sum(
        1 for statement in fleet.database.executed_statements if statement.workspace == "w2"
    )
    return check_guarantees(
        fleet,
        caller_results,
        exit_code,
        w2_executed_at_end - w2_executed_before_last_phase,
        succeeded_before_last_phase,
    )


def check_guarantees(
    fleet: PlatformFleet,
    caller_results: CallerResults,
    exit_code: int,
    late_w2_statements: int,
    succeeded_before_last_phase: int,
) -> list[Verdict]:
    """Compare the callers' results with the data and the executed statements of the endpoints.

    `exit_code` is that of the VM that was stopped gracefully. `late_w2_statements` is how many
    statements of w2 ran although its key had been withdrawn for longer than the limit.
    `succeeded_before_last_phase` is how many of the callers' operations had succeeded before the
    last phase, which has no faults.
    """
    database = fleet.database
    log = database.copies[database.primary].log
    lost = caller_results.acknowledged - set(log)
    run_although_refused = caller_results.refused_as_not_run & set(log)
    duplicate_count = len(log) - len(set(log))
    executed = database.executed_statements
    # A statement id is the caller's name, "x" and a count, such as c3x17 (see Caller.execute).
    wrong_values = [
        statement
        for statement in executed
        if statement.values.get("who", "") != statement.statement_id.partition("x")[0]
    ]
    # Callers with an even number, such as c0, use key-1 and the others key-2.
    keys_by_workspace = {"w1": "key-1", "w2": "key-2"}
    wrong_workspace = [
        statement
        for statement in executed
        if keys_by_workspace.get(statement.workspace)
        != f"key-{int(statement.statement_id.partition('x')[0][1:]) % 2 + 1}"
    ]
    return [
        Verdict(
            "no acknowledged write is lost", not lost, f"{len(caller_results.acknowledged)} writes"
        ),
        Verdict(
            "a refusal that says not run is true",
            not run_although_refused,
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
            late_w2_statements == 0,
            f"{late_w2_statements} runs after the limit",
        ),
        Verdict("a lost primary is replaced", bool(database.promotions), str(database.promotions)),
        Verdict("a planned stop ends in time", exit_code == 0, f"exit code {exit_code}"),
        Verdict(
            "callers are served after every fault",
            caller_results.succeeded > succeeded_before_last_phase,
            f"{caller_results.succeeded} served, errors: {caller_results.failures_by_error}",
        ),
    ]


def main() -> int:
    """Run all phases once and print a verdict on each guarantee."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=3.0, help="length of each phase")
    options = parser.parse_args()
    fleet = PlatformFleet()
    all_hold = False
    try:
        fleet.start()
        verdicts = run_phases(fleet, options.seconds)
        all_hold = all(verdict.holds for verdict in verdicts)
    finally:
        fleet.stop(keep_logs=not all_hold)
    for verdict in verdicts:
        print(f"{'holds ' if verdict.holds else 'BROKEN'} {verdict.guarantee} ({verdict.evidence})")
    return 0 if all_hold else 1


if __name__ == "__main__":
    sys.exit(main())
