"""Steps about control leaders, handovers and VMs out of touch during promotions."""

from __future__ import annotations

from behave import when
from gentianspread_core.blackboard.commands import Command, CommandKind
from promotion_commits import COMMANDS, STEP_S, run_until

NEVER_S = 10_000.0


@when("the control VMs are down for {seconds:g} s and start again")
def step_control_restart(context, seconds):
    simulation = context.promotion_simulation
    simulation.stop_control()
    simulation.run(seconds)
    simulation.start_control()
    run_until(context, lambda: simulation.board.election.role.name == "LEADER")


@when("the RESUMEs to all replicas get no answer and are not carried out")
def step_lost_resumes(context):
    lost = [(COMMANDS["RESUME"], NEVER_S)] * 3
    context.promotion_simulation.late_commands += lost


@when('the zone "{zone:w}" is evacuated')
def step_evacuated(context, zone):
    simulation = context.promotion_simulation
    expected = simulation.board.configuration.evacuation_revision(zone)
    fields = {"zone": zone, "expected_revision": expected}
    simulation.propose(Command(CommandKind.BEGIN_EVACUATION, fields))
    simulation.run(STEP_S)
