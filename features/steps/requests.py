"""Steps that send requests and check their results."""

from __future__ import annotations

from behave import then, when
from support import result_of, send, token_of, violations_of


@when('"{name:w}" is a {kind:w} of "{statement:Quoted}" sent to {vm:w}')
def step_send(context, name, kind, statement, vm):
    send(context, name, vm, kind, statement=statement)


@when(
    '"{name:w}" is a {kind:w} of "{statement:Quoted}" with id "{request_id:Quoted}" sent to {vm:w}'
)
def step_send_with_id(context, name, kind, statement, request_id, vm):
    send(context, name, vm, kind, statement=statement, request_id=request_id)


@when('"{name:w}" is a read with the session token of "{earlier:w}" sent to {vm:w}')
def step_read_with_token(context, name, earlier, vm):
    send(context, name, vm, "read", token=token_of(context, earlier))


@when('"{name:w}" is a read with a maximum age of {age:g} s sent to {vm:w}')
def step_read_with_max_age(context, name, age, vm):
    send(context, name, vm, "read", max_age=age)


@when('"{name:w}" is a {kind:w} of "{statement:Quoted}" inside "{begin:w}" sent to {vm:w}')
def step_in_transaction(context, name, kind, begin, statement, vm):
    transaction = context.requests[begin].outcome.transaction
    send(context, name, vm, kind, statement=statement, transaction=transaction)


@when(
    '"{name:w}" is a commit of "{statement:Quoted}" with id "{request_id:w}" inside "{begin:w}"'
    " sent to {vm:w}"
)
def step_commit_with_id(context, name, statement, request_id, begin, vm):
    transaction = context.requests[begin].outcome.transaction
    send(context, name, vm, "commit", request_id=request_id, transaction=transaction)


@when('"{name:w}" is a commit inside "{begin:w}" with a timeout of {seconds:g} s sent to {vm:w}')
def step_commit_with_timeout(context, name, begin, seconds, vm):
    transaction = context.requests[begin].outcome.transaction
    send(context, name, vm, "commit", transaction=transaction, timeout_s=seconds)


@when('"{name:w}" is a read without a key on the route "{route:w}" sent to {vm:w}')
def step_read_on_open_route(context, name, route, vm):
    send(context, name, vm, "read", key_hash=None, open_route=route)


@when('"{name:w}" is a {kind:w} of "{statement:Quoted}" with the key "{key:w}" sent to {vm:w}')
def step_with_key(context, name, kind, statement, key, vm):
    send(context, name, vm, kind, statement=statement, key_hash=key)


@when("{seconds:g} s pass")
def step_pass(context, seconds):
    context.advance_clock(seconds)


@then('the result of "{name:w}" is "{result:Quoted}"')
def step_result(context, name, result):
    assert result_of(context, name) == result, result_of(context, name)


@then('"{name:w}" read "{values:Quoted}"')
def step_read_values(context, name, values):
    rows = context.requests[name].outcome.rows
    assert rows == values.split(","), rows


@then('"{name:w}" was answered by a replica')
def step_answered_by_replica(context, name):
    group = context.simulation.leader().board.configuration.groups["g"]
    assert context.requests[name].endpoint != group.primary


@then('the primary stores the value "{value:Quoted}" {count:d} time(s)')
def step_stored(context, value, count):
    group = context.simulation.leader().board.configuration.groups["g"]
    values = context.simulation.endpoints[group.primary].values()
    assert values.count(value) == count, values


@then("no invariant was violated")
def step_no_violation(context):
    assert violations_of(context) == {}, violations_of(context)
