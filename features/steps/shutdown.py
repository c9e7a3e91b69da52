"""Steps about planned stops of simulated VMs."""

from __future__ import annotations

from behave import given, then, when
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.shutdown import ShutdownPhase, ShutdownPlan

LOAD_BALANCER_DELAY_S = 2.2
PLAN = ShutdownPlan(draining_after_s=2.0, finishing_after_s=3.0, ended_after_s=5.0)


@given("a planned stop begins")
@when("a planned stop begins")
def step_stop(context):
    context.session_simulation.board.post(Topic.SHUTDOWN_REQUESTED, PLAN)


@given("routes have a timeout of {seconds:g} s")
def step_timeout(context, seconds):
    context.session_simulation.declare(3, timeout_s=seconds)


@when("the primary stops answering")
def step_unresponsive(context):
    context.session_simulation.primary().is_unresponsive = True


@when('a planned stop of every VM but "{vm:w}" begins')
def step_stop_others(context, vm):
    for name, engine in context.home_simulation.vms.items():
        if name != vm:
            engine.board.post(Topic.SHUTDOWN_REQUESTED, PLAN)


@when("a planned stop of {vm:w} begins")
def step_stop_vm(context, vm):
    context.simulation.vms[vm].board.post(Topic.SHUTDOWN_REQUESTED, PLAN)


@when('no VM but "{vm:w}" can be connected to')
def step_others_ended(context, vm):
    simulation = context.home_simulation
    simulation.cut_off_vms.update(name for name in simulation.vms if name != vm)


@when("a planned stop with a grace period of {seconds:g} s begins")
def step_stop_with_grace_period(context, seconds):
    board = context.session_simulation.board
    context.phases = []
    board.changes.subscribe(Topic.SHUTDOWN_PHASE_CHANGED, context.phases.append)
    plan = ShutdownPlan.from_grace_period(seconds, LOAD_BALANCER_DELAY_S)
    board.post(Topic.SHUTDOWN_REQUESTED, plan)


@then('the planned stop went through "{phases:Quoted}"')
def step_phases(context, phases):
    names = [phase.name.lower() for phase in context.phases]
    assert names == phases.split(), names


@then("the planned stop has not ended")
def step_not_ended(context):
    assert context.session_simulation.board.shutdown.phase is not ShutdownPhase.ENDED


@then("the planned stop has ended")
def step_ended(context):
    assert context.session_simulation.board.shutdown.phase is ShutdownPhase.ENDED


@then('the last statement of "{name:w}" was refused as "{code:w}"')
def step_refused(context, name, code):
    answer = context.calls_by_session[name][-1].answer
    assert answer is not None and answer.refusal is not None, "no refusal came"
    assert answer.refusal.code.value == code, answer.refusal.code
