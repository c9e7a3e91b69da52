"""Steps about keys that two VMs look up in different versions of the configuration."""

from __future__ import annotations

from behave import given, then, when
from gentianspread_core.blackboard.timeline import EventKind
from homes import SETTLING_S


@given('relayed statements come without "{field:w}"')
def step_without_field(context, field):
    context.home_simulation.unknown_relay_fields.add(field)


@when('the configuration of every VM but "{vm:w}" stays as it is')
def step_others_unpolled(context, vm):
    context.home_simulation.unpolled_vms.update(set(context.home_simulation.vms) - {vm})


@when('the configuration of "{vm:w}" stays as it is')
def step_unpolled(context, vm):
    context.home_simulation.unpolled_vms.add(vm)


@when('version {version:d} gives the key "{key:w}" to "{workspace:w}"')
def step_give_key(context, version, key, workspace):
    """Declare that a workspace has a key beside its own; others keep theirs but this one."""
    keys = {"w1": ["k3"], "w2": ["k2"]}
    keys[workspace].append(key)
    simulation = getattr(context, "home_simulation", None) or context.session_simulation
    simulation.declare(version, keys=keys)
    simulation.run(0.3)


@when('the session "{name:w}" opens on "{database:w}" at "{vm:w}" with the key "{key:w}"')
def step_open(context, name, database, vm, key):
    context.sessions[name] = context.home_simulation.open_session_at(vm, database, key)
    assert context.sessions[name].refusal is None


@when("{seconds:g} s pass for the homes")
def step_pass(context, seconds):
    context.home_simulation.run(seconds)


def _runs_of(context, name):
    context.home_simulation.run(SETTLING_S)
    statement_id = context.calls_by_session[name][-1].statement.statement_id
    return [
        item
        for endpoint in context.home_simulation.endpoints.values()
        for item in endpoint.executed_statements
        if item.statement_id == statement_id
    ]


@then('the last statement of "{name:w}" was relayed and ran for "{workspace:w}"')
def step_ran_for(context, name, workspace):
    assert context.home_simulation.relayed_count
    answer = context.calls_by_session[name][-1].answer
    assert answer is not None and answer.refusal is None, answer and answer.refusal
    assert [item.workspace for item in _runs_of(context, name)] == [workspace]


@then("the home decided {count:d} statement by the newer version {version:d}")
def step_decided(context, count, version):
    boards = [engine.board for engine in context.home_simulation.vms.values()]
    deferring = [item for item in boards if item.relays.newer_decisions]
    assert sum(item.relays.newer_decisions for item in deferring) == count
    for board in deferring:
        assert board.configuration.declaration.version < version
        assert board.timeline.counts[EventKind.KEY_DECISION_NEWER] == 1


@then("no home decided a statement by a newer version")
def step_none_decided(context):
    boards = [engine.board for engine in context.home_simulation.vms.values()]
    assert context.home_simulation.relayed_count
    assert not any(board.relays.newer_decisions for board in boards)


@then('the last statement of "{name:w}" ran for no other workspace than "{workspace:w}"')
def step_ran_for_no_other(context, name, workspace):
    assert {item.workspace for item in _runs_of(context, name)} <= {workspace}
