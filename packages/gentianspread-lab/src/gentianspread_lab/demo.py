"""The demo: runs a fleet on loopback under load and faults and checks the rules of the oracle.

Run as python -m gentianspread_lab.demo --deployment=brackwater.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import random  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402
from absl import app, flags  # noqa: E402

from .deployments import Deployment  # noqa: E402
from .fleet import Fleet  # noqa: E402
from .oracle import evaluate_rules  # noqa: E402
from .report import print_measures, print_refusals, print_verdicts  # noqa: E402
from .scenario import Scenario  # noqa: E402

flags.DEFINE_enum("deployment", "brackwater", ["brackwater", "malabar"], "Deployment to start.")
flags.DEFINE_integer("seed", 1, "Random seed of the callers and the load balancer.")
flags.DEFINE_string("logs", None, "Directory for the processes' logs.")

DEMO_TIMEOUT_S = 115.0


def main(_arguments: list[str]) -> None:
    """Run the demo and exit with 1 if a rule was violated."""
    started = time.monotonic()
    deployment = Deployment.from_name(flags.FLAGS.deployment)
    fleet = Fleet(deployment, log_dir=flags.FLAGS.logs)
    watchdog = gevent.spawn_later(DEMO_TIMEOUT_S, _abort, fleet)
    try:
        all_hold = _run(fleet, flags.FLAGS.seed)
    finally:
        watchdog.kill()
        fleet.stop()
    print(f"Took {time.monotonic() - started:.0f} s; no process is left behind.")
    sys.exit(0 if all_hold else 1)


def _run(fleet: Fleet, seed: int) -> bool:
    deployment = fleet.deployment
    print(
        f"Starting {len(deployment.vms)} VMs in {len(deployment.zones)} availability zones and "
        f"{len(deployment.endpoints)} endpoints of {len(deployment.groups)} groups."
    )
    fleet.start()
    scenario = Scenario(fleet, random.Random(seed))
    scenario.prepare()
    scenario.run_phases()
    scenario.finish()
    print_measures(deployment, scenario)
    print_refusals(scenario)
    verdicts = evaluate_rules(deployment, scenario.journal, scenario.evidence, scenario.primaries())
    return print_verdicts(verdicts)


def _abort(fleet: Fleet) -> None:
    sys.stderr.write("The demo was stopped: it exceeded its time limit.\n")
    fleet.stop()
    sys.exit(2)


if __name__ == "__main__":
    app.run(main)
