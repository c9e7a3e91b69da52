"""Steps about planned stops of simulated VMs."""

from __future__ import annotations

from behave import given, then, when
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.shutdown import ShutdownPhase, ShutdownPlan

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
