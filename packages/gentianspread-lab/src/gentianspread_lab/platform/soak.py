"""Fault soak: injects random faults into control and entry VMs and checks their guarantees.

Faults come in series and overlap, while callers keep using their open connections until the
processes have ended. Each seed draws whether unplanned faults occur beside planned stops, settings
and configuration changes, since planned ones alone leave more guarantees in force. At most one
control VM and one endpoint are lost at a time, which the programs must tolerate.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402

import gevent  # noqa: E402

from .endpointfaults import (  # noqa: E402
    BreakConnections,
    ConfigurationStorm,
    CrashEndpoint,
    DegradeLink,
    LagReplica,
    ReplaceEndpoint,
)
from .processfaults import (  # noqa: E402
    ChangeSettings,
    Fault,
    FreezeVM,
    KillEntryVM,
    RestartControlVM,
    RollingStop,
    StopEntryVM,
)
from .promotionfaults import (  # noqa: E402
    CrashPrimary,
    CutOffEntryVM,
    CutOffPrimary,
    DeafReplica,
    DeliverLate,
    ReplaceReplica,
    RestartReplica,
)
from .run import FleetRun, RunSize  # noqa: E402
from .soakboard import SoakBoard  # noqa: E402

MAX_FAULT_INTERVAL_S = 1.0  # short enough that faults overlap
UNPLANNED_SHARE = 0.4  # of the seeds
STOPS = [
    StopEntryVM("stop entry VM"),
    StopEntryVM("stop entry VM, SIGTERM again", (signal.SIGTERM,)),
    StopEntryVM("stop entry VM, SIGHUP", (signal.SIGHUP,)),
    StopEntryVM("stop entry VM, again after its start", after_start=True),
]
PLANNED_FAULTS: list[Fault] = [
    *STOPS,
    RollingStop(STOPS),
    RestartControlVM(is_planned=True),
    ReplaceEndpoint(),
    ConfigurationStorm(1),
    ConfigurationStorm(12),
    ChangeSettings(sends_signal=True),
    ChangeSettings(sends_signal=False),
]
UNPLANNED_FAULTS: list[Fault] = [
    StopEntryVM("stop entry VM, freeze", (signal.SIGSTOP,)),
    StopEntryVM("stop entry VM, kill", (signal.SIGHUP, signal.SIGKILL)),
    KillEntryVM(),
    FreezeVM(is_control=False),
    FreezeVM(is_control=True),
    RestartControlVM(is_planned=False),
    CrashEndpoint(),
    DegradeLink(),
    LagReplica(),
    BreakConnections(is_silent=True),
    BreakConnections(is_silent=False),
]


PROMOTION_FAULTS: list[Fault] = [
    CutOffPrimary(replaces=False),
    CutOffPrimary(replaces=True),
    CutOffEntryVM(),
    ReplaceReplica(),
    RestartReplica(),
    DeafReplica(),
    CrashPrimary(),
    DeliverLate(),
]


def inject_faults(board: SoakBoard, faults: list[Fault], seconds: float) -> None:
    """Inject faults for some seconds, each in its own greenlet; return when all are repaired."""
    greenlets = []
    elapsed = 0.0
    while elapsed < seconds:
        greenlets.append(gevent.spawn(board.randomness.choice(faults).inject, board))
        interval = board.randomness.uniform(0.1, MAX_FAULT_INTERVAL_S)
        gevent.sleep(interval)
        elapsed += interval
    gevent.joinall(greenlets, raise_error=True)


def soak(seed: int, seconds: float, size: RunSize) -> bool:
    """Run one seed, print the violated guarantees, and return whether all hold.

    Entry VMs have links to the control VMs if there are faults around promotions, which are as
    frequent as all others then.
    """
    run = FleetRun(seed, size)
    faults = list(PLANNED_FAULTS)
    has_unplanned = run.board.randomness.random() < UNPLANNED_SHARE
    if has_unplanned or size.links_control_vms:
        faults += UNPLANNED_FAULTS
    if size.links_control_vms:
        faults += PROMOTION_FAULTS * (len(faults) // len(PROMOTION_FAULTS))
    with run:
        inject_faults(run.board, faults, seconds)
        run.finish()
    print(
        f"seed {seed}{' around promotions' if size.links_control_vms else ''}"
        f"{' with unplanned faults' if has_unplanned else ''}: {run.summary()}",
        flush=True,
    )
    run.print_violations()
    return not run.board.violations


def main() -> int:
    """Run one or more seeds; return 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--count", type=int, default=1, help="how many seeds")
    parser.add_argument("--seconds", type=float, default=12.0, help="time with faults")
    parser.add_argument("--entries", type=int, default=9, help="entry VMs")
    parser.add_argument("--callers", type=int, default=4, help="callers of each shape")
    parser.add_argument("--promotions", action="store_true", help="faults around promotions")
    options = parser.parse_args()
    gevent.signal_handler(signal.SIGTERM, sys.exit, 1)  # ends the fleet's processes on the way out
    size = RunSize(options.entries, options.callers, options.promotions)
    seeds = range(options.seed, options.seed + options.count)
    results = [soak(seed, options.seconds, size) for seed in seeds]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
