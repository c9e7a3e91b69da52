"""Steps about priorities while a part of the system has failed."""

from __future__ import annotations

from behave import then, when
from gentianspread_core.controllers.allocator import AllocatorController


@when("no allocator of the VMs answers")
def step_no_allocator(context):
    engines = [context.home_simulation.engine, *context.home_simulation.vms.values()]
    for engine in engines:
        for controller in engine.controllers:
            if isinstance(controller, AllocatorController):
                controller._first_grant_at = float("inf")


@when('the VMs "{first:w}" and "{second:w}" are cut off')
def step_cut_off(context, first, second):
    context.home_simulation.cut_off_vms.update((first, second))


@when("the control leader stops answering")
def step_no_leader(context):
    context.home_simulation.cut_off_vms.update(context.home_simulation.vms)


@when('the endpoint "{name:w}" needs {seconds:g} s for each statement')
def step_slow_endpoint(context, name, seconds):
    context.home_simulation.endpoints[name].statement_cost_s = seconds


@then(
    'at least {share:g} of the reads on "{database:w}" sent after {after:g} s '
    "were served within {seconds:g} s"
)
def step_share_after(context, share, database, after, seconds):
    since = context.first_load_at + after
    calls = [item for item in context.calls_by_database[database] if item.arrived_at >= since]
    served = [
        call
        for call in calls
        if call.answer.refusal is None
        and context.answered_at[call.statement.statement_id] - call.arrived_at <= seconds
    ]
    assert calls and len(served) >= share * len(calls), (len(served), len(calls))


@then("every read was answered, and no invariant was violated")
def step_truthful(context):
    for calls in context.calls_by_database.values():
        assert all(call.answer is not None for call in calls)
    for name, engine in context.home_simulation.vms.items():
        assert not engine.invariants.violations, (name, engine.invariants.violations)
