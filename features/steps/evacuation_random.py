"""Steps about evacuations at random, in simulations of entry VMs and endpoints."""

from __future__ import annotations

import random

from behave import then, when
from gentianspread_core.blackboard.commands import CommandKind
from support import change_zone, run_callers

ZONES = ("z1", "z2", "z3")
MAX_PAUSE_S = 3.0
FAULT_S = 1.5
MIN_EVACUATIONS = 3  # fewer would show little
FAULT_SHARE = 0.5  # of the steps
SLOW_STATEMENT_S = 0.08  # with 3 slots, less than the callers ask for


class RandomEvacuations:
    """Evacuates zones and lets endpoints fail; `periods` are by zone, with an open end if none."""

    __slots__ = ("context", "simulation", "randomness", "periods")

    def __init__(self, context, seed):
        self.context = context
        self.simulation = context.home_simulation
        self.randomness = random.Random(seed)
        self.periods = {zone: [] for zone in ZONES}

    def run(self, seconds):
        end = self.simulation.clock.now() + seconds
        while self.simulation.clock.now() < end:
            self.change(self.randomness.choice(ZONES))
            if self.randomness.random() < FAULT_SHARE:
                self.fail(self.randomness.choice(list(self.simulation.endpoints.values())))
            run_callers(self.context, self.randomness.uniform(0.0, MAX_PAUSE_S))

    def change(self, zone):
        periods = self.periods[zone]
        if periods and periods[-1][1] is None:
            periods[-1] = (periods[-1][0], self.simulation.clock.now())
            change_zone(self.simulation, CommandKind.FINISH_EVACUATION, zone)
        else:
            at = change_zone(self.simulation, CommandKind.BEGIN_EVACUATION, zone)
            periods.append((at, None))

    def fail(self, endpoint):
        fault = self.randomness.choice(("crash", "silence", "slow"))
        if fault == "crash":
            endpoint.alive = False
        elif fault == "silence":
            endpoint.is_unresponsive = True
        else:
            endpoint.statement_cost_s = SLOW_STATEMENT_S
        run_callers(self.context, FAULT_S)
        endpoint.alive, endpoint.is_unresponsive = True, False
        endpoint.statement_cost_s = 0.005

    def finish(self):
        for zone, periods in self.periods.items():
            if periods and periods[-1][1] is None:
                self.change(zone)


@when(
    "zones are evacuated and brought back at random for {seconds:g} s while endpoints fail,"
    " with seed {seed:d}"
)
def step_random(context, seconds, seed):
    context.random_evacuations = RandomEvacuations(context, seed)
    context.random_evacuations.run(seconds)


@when("all evacuations are finished")
def step_finish_all(context):
    context.random_evacuations.finish()


@then("no request reached an endpoint of a zone later than {seconds:g} s after its evacuation")
def step_none_late(context, seconds):
    periods = context.random_evacuations.periods
    assert sum(len(items) for items in periods.values()) >= MIN_EVACUATIONS
    now = context.home_simulation.clock.now()
    late = [
        (item.endpoint.name, item.at)
        for item in context.arrivals
        for began_at, ended_at in periods[item.endpoint.zone]
        if began_at + seconds < item.at < (ended_at or now)
    ]
    assert not late, (len(late), late[:5])
