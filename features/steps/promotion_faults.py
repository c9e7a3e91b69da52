"""Steps that play commits and faults of promotions, at random or as they once failed."""

from __future__ import annotations

import json

from behave import when
from gentianspread_core.blackboard.outbox import EndpointCommandKind
from gentianspread_lab.fakes.promotion_faults import CommandFate
from gentianspread_lab.promotionfuzz import PromotionMachine
from gentianspread_lab.soak import soak


@when("commits and faults are played at random with seed {seed:d} for {steps:d} steps")
def step_random_faults(context, seed, steps):
    soak(seed, steps, shrink=False, machine=PromotionMachine)


@when("these faults happen, and then end")
def step_kept_case(context):
    machine = PromotionMachine()
    machine.check_step()
    for row in context.table:
        arguments = json.loads(row["arguments"])
        if row["step"] == "lose_answers":
            arguments["kind"] = EndpointCommandKind[arguments["kind"]]
            arguments["fate"] = CommandFate[arguments["fate"]]
        getattr(machine, row["step"])(**arguments)
        machine.check_step()
    machine.teardown()
