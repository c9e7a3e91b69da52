"""Steps about priorities while a part of the system has failed."""

from __future__ import annotations

from collections import Counter

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


def _declare(context, version, numbers, rate=10_000.0, burst=10_000.0):
    simulation = context.home_simulation
    routes = simulation.board.configuration.declaration.routes
    simulation.declare(
        version,
        rate=rate,
        burst=burst,
        keys={f"w{number}": [f"k{number}"] for number in numbers},
        timeout_s=1.0,
        objectives_s={route.name: route.objective for route in routes},
        priorities={route.name: route.priority for route in routes},
    )
    simulation.run(0.5)


@when("the rate and burst of each workspace are {rate:d}")
def step_rates(context, rate):
    _declare(context, 3, range(8), rate, rate)


@when("the primary of the VMs crashes")
def step_crash(context):
    context.home_simulation.primary().alive = False


@when('"{vm:w}" leaves the list of VMs that serve callers')
def step_leave(context, vm):
    context.home_simulation.update_serving_vms(vm)


def _executed(context):
    endpoints = context.home_simulation.endpoints.values()
    return [item for endpoint in endpoints for item in endpoint.executed_statements]


@then('no read with the key "{key:w}" sent after {after:g} s ran, and others did')
def step_withdrawn(context, key, after):
    ran = {item.statement_id for item in _executed(context)}
    calls = [call for calls in context.calls_by_database.values() for call in calls]
    late = [call for call in calls if call.arrived_at >= context.first_load_at + after]
    own = [call for call in late if call.session.key_hash == key]
    others = [call for call in late if call.session.key_hash != key]
    assert own and not [call for call in own if call.statement.statement_id in ran]
    assert [call for call in others if call.statement.statement_id in ran]


@then("at most {count:d} reads of each workspace ran")
def step_rate_kept(context, count):
    ran = Counter(item.workspace for item in _executed(context))
    assert ran and max(ran.values()) <= count, ran


@then("one endpoint was promoted")
def step_one_promotion(context):
    assert len(context.home_simulation.promotions) == 1, context.home_simulation.promotions
