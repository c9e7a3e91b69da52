"""Steps about control leaders, handovers and VMs out of touch during promotions."""

from __future__ import annotations

from behave import then, when
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.timeline import EventKind
from gentianspread_lab.fakes.session_simulation import GROUP
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


@when('the control leader no longer reaches "{name:w}" once a promotion has begun')
def step_cut_during_promotion(context, name):
    run_until(context, lambda: context.promotion_simulation.board.groups.promotions)
    context.promotion_simulation.cut_off_endpoints.add(name)


@when('the zone "{zone:w}" is evacuated')
def step_evacuated(context, zone):
    simulation = context.promotion_simulation
    expected = simulation.board.configuration.evacuation_revision(zone)
    fields = {"zone": zone, "expected_revision": expected}
    simulation.propose(Command(CommandKind.BEGIN_EVACUATION, fields))
    simulation.run(STEP_S)


@when("an earlier leader's grant of the next fencing token is applied during an attempt")
def step_foreign_grant(context):
    simulation = context.promotion_simulation
    group = simulation.board.configuration.groups[GROUP]
    context.foreign_token = group.granted_term + 1
    fields = {"group": GROUP, "term": context.foreign_token}
    simulation.cut_off_endpoints.add("b1")

    def grant_first(command):
        if command.kind is EventKind.FAILOVER_STARTED and not context.is_foreign_granted:
            context.is_foreign_granted = True
            simulation.propose(Command(CommandKind.GRANT_TERM, fields))

    context.is_foreign_granted = False
    simulation.board.timeline.sink = grant_first
    run_until(context, lambda: context.is_foreign_granted)


@then("no promote call used the fencing token of the other leader")
def step_no_foreign_token(context):
    simulation = context.promotion_simulation
    tokens = [token for _, token in simulation.promotions]
    assert tokens and context.foreign_token not in tokens, (tokens, context.foreign_token)


@then('the control log granted at most {count:d} fencing token, and "{name:w}" is reached again')
def step_granted(context, count, name):
    simulation = context.promotion_simulation
    assert simulation.board.configuration.groups[GROUP].granted_term <= count
    simulation.cut_off_endpoints.discard(name)
