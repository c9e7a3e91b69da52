"""Steps about commits while a promotion is under way."""

from __future__ import annotations

from behave import given, then, when
from gentianspread_core.errors import ExecutionResult
from gentianspread_lab.fakes.session_simulation import GROUP
from gentianspread_server.platform.wire import decode_statement

STEP_S = 0.005
GUARD_S = 10.0


def run_until(context, condition):
    """Run the simulation until a condition holds."""
    simulation = context.promotion_simulation
    end = simulation.clock.now() + GUARD_S
    while not condition():
        assert simulation.clock.now() < end, "it did not happen in time"
        simulation.run(STEP_S)


@given('a caller at "{vm:w}"')
def step_caller(context, vm):
    context.callers[vm] = context.promotion_simulation.open_session_at(vm, "latest")


@when("the control leader no longer reaches the primary")
def step_cut_primary(context):
    context.promotion_simulation.cut_off_endpoints.add("b1")


@when('the control leader no longer reaches "{name:w}" after it was promoted')
def step_cut_promoted(context, name):
    assert context.promotion_simulation.primary().name == name
    context.promotion_simulation.cut_off_endpoints = {name}


@when("the promote call has been made")
def step_call_made(context):
    run_until(context, lambda: context.promotion_simulation.promotions)


@when('"{name:w}" joins without having announced itself')
def step_joins_unannounced(context, name):
    context.promotion_simulation.join(name, is_announced=False)


@when('the caller at "{vm:w}" writes')
def step_writes(context, vm):
    _send(context, vm, "WRITE x 1")


def _send(context, vm, text):
    statement = decode_statement(f"w{len(context.writes)}", text)
    call = context.promotion_simulation.send_statement_at(vm, context.callers[vm], statement)
    context.writes.append(call)
    return call


@given('the caller at "{vm:w}" has written in a transaction')
def step_written(context, vm):
    for text in ("BEGIN", "WRITE x 1"):
        call = _send(context, vm, text)
        context.promotion_simulation.run(0.2)
        assert call.answer is not None and call.answer.refusal is None, call.answer


@when('the VM "{vm:w}" no longer reaches the control VMs')
def step_vm_cut_off(context, vm):
    context.promotion_simulation.unpolled_vms.add(vm)


@when('the caller at "{vm:w}" sends "{text}"')
def step_sends(context, vm, text):
    context.log_length = len(context.promotion_simulation.primary().log)
    _send(context, vm, text)


@then('the last statement was refused as "{code:Quoted}", and the endpoints ran nothing of it')
def step_refused(context, code):
    refusal = context.writes[-1].answer.refusal
    assert (refusal.code.value if refusal else "") == code, refusal
    assert refusal is None or refusal.result is ExecutionResult.NOT_RUN
    assert len(context.promotion_simulation.primary().log) == context.log_length


@then('another endpoint than "{name:w}" is the primary')
def step_other_primary(context, name):
    simulation = context.promotion_simulation
    assert simulation.primary().name != name, simulation.promotions
    assert simulation.board.configuration.groups[GROUP].primary == simulation.primary().name


@then("the endpoint that leads has every acknowledged write")
def step_none_lost(context):
    assert context.writes and all(call.answer is not None for call in context.writes)
    assert not context.promotion_simulation.lost_writes, context.promotion_simulation.lost_writes
