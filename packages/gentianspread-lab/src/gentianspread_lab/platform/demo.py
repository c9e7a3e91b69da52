"""Runs control and entry VMs as processes under a fixed series of faults; checks each guarantee."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import sys  # noqa: E402

import gevent  # noqa: E402

from .checks import ALL_CHECKS  # noqa: E402
from .operators import FIRST_KEYS, ROTATING_WORKSPACE, Configuration  # noqa: E402
from .processfaults import stop_process  # noqa: E402
from .run import FleetRun, RunSize  # noqa: E402
from .soakboard import SoakBoard  # noqa: E402

NEW_KEY = "rotating-2"


def run_phases(board: SoakBoard, phase_s: float) -> None:
    """Inject faults after each of three phases.

    After the first phase the primary crashes. After the second, a control VM and an entry VM are
    killed. After the third, both are started again, another entry VM is stopped gracefully and
    a key is withdrawn.
    """
    fleet = board.fleet
    disruption = board.ledger.begin_disruption("primary, control-1 and entry-1")
    gevent.sleep(phase_s)
    fleet.announcer.endpoints[fleet.database.primary].crash()
    gevent.sleep(phase_s)
    fleet.kill("control-1")
    fleet.kill("entry-1")
    gevent.sleep(phase_s)
    fleet.start_again("control-1")
    fleet.start_again("entry-1")
    disruption.end()
    stop_process(board, "entry-2", ())
    fleet.start_again("entry-2")
    board.operator.rotating_keys.append(NEW_KEY)
    board.operator.declare(Configuration(2, {**FIRST_KEYS, ROTATING_WORKSPACE: [NEW_KEY]}))


def main() -> int:
    """Run all phases once and print whether each guarantee held."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=3.0, help="length of each phase")
    options = parser.parse_args()
    run = FleetRun(1, RunSize(entry_count=3, callers_per_shape=3))
    with run:
        run_phases(run.board, options.seconds)
        run.finish()
    is_replaced = bool(run.board.fleet.database.promotions)
    print(run.summary())
    for check in ALL_CHECKS:
        is_held = check.guarantee not in run.board.violations
        print(f"{'holds ' if is_held else 'BROKEN'} {check.guarantee}")
    print(f"{'holds ' if is_replaced else 'BROKEN'} a lost primary is replaced")
    run.print_violations()
    return 0 if is_replaced and not run.board.violations else 1


if __name__ == "__main__":
    sys.exit(main())
