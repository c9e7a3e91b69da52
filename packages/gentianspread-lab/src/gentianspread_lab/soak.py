"""Long randomised runs under all faults: python -m gentianspread_lab.soak --seed=1 --steps=20000.

Prints the seed and, if a run fails, the shortest failing trace.
"""

from __future__ import annotations

import sys
import time

from absl import app, flags
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

from .foundingfuzz import FoundingMachine
from .fuzz import FleetMachine

STEPS_PER_RUN = 50
PHASES = (Phase.generate, Phase.shrink)

flags.DEFINE_integer("seed", 1, "Seed of the runs.")
flags.DEFINE_integer("steps", 20_000, "Steps over all runs.", lower_bound=1)
flags.DEFINE_boolean("founding", False, "Begin with the first start of the fleet.")


def soak(
    seed_number: int,
    steps: int,
    shrink: bool = True,
    machine: type[RuleBasedStateMachine] = FleetMachine,
) -> None:
    """Run a state machine for about `steps` steps; raises on the first violated rule."""
    runs = max(1, steps // STEPS_PER_RUN)
    options = settings(
        max_examples=runs,
        stateful_step_count=STEPS_PER_RUN,
        deadline=None,
        database=None,
        print_blob=False,
        suppress_health_check=list(HealthCheck),
        phases=PHASES if shrink else (Phase.generate,),
    )
    run_state_machine_as_test(seed(seed_number)(machine), settings=options)


def main(_arguments: list[str]) -> None:
    """Run the soak test and print its result; exit with 1 if a rule was violated."""
    values = flags.FLAGS
    started = time.monotonic()
    print(f"seed {values.seed}, {values.steps} steps")
    machine = FoundingMachine if values.founding else FleetMachine
    try:
        soak(values.seed, values.steps, machine=machine)
    except AssertionError as error:
        print(f"BROKEN with seed {values.seed}: {error}")
        sys.exit(1)
    print(f"no rule was broken in {time.monotonic() - started:.0f} s")


if __name__ == "__main__":
    app.run(main)
