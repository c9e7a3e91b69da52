"""Steps about endpoints."""

from __future__ import annotations

from behave import then, when
from support import primary_of, replicas_of


@when("a network partition isolates each replica")
def step_isolate_replicas(context):
    for name in replicas_of(context):
        context.simulation.isolate(name)


@when("a network partition isolates one replica")
def step_isolate_replica(context):
    context.simulation.isolate(replicas_of(context)[0])


@when("a network partition isolates one replica from the primary")
def step_stop_replication(context):
    context.simulation.block_link(replicas_of(context)[0], primary_of(context))


@when("a network partition isolates the old primary")
def step_isolate_old_primary(context):
    context.simulation.isolate(context.old_primary)


@when("one replica announces that it leaves")
def step_replica_leaves(context):
    context.leaving_endpoint = replicas_of(context)[0]
    context.simulation.register_endpoint(context.leaving_endpoint, leaving=True)


@when("the primary announces that it leaves")
def step_primary_leaves(context):
    context.leaving_endpoint = primary_of(context)
    context.simulation.register_endpoint(context.leaving_endpoint, leaving=True)


@when("a network partition isolates the replicas from the primary and {seconds:g} s pass")
def step_replication_lag(context, seconds):
    for name in replicas_of(context):
        context.simulation.block_link(name, primary_of(context))
    context.simulation.run(seconds)


@then("none of them was sent to the leaving endpoint")
def step_not_leaving(context):
    assert context.sent_requests
    assert all(request.endpoint != context.leaving_endpoint for request in context.sent_requests)


@then("another endpoint is primary")
def step_other_primary(context):
    assert primary_of(context) not in (None, context.leaving_endpoint)


@then("no endpoint but the old primary is primary")
def step_no_promotion(context):
    roles = {name: item.role for name, item in context.simulation.endpoints.items()}
    assert [name for name, role in roles.items() if role == "primary"] == [context.old_primary]


@then("the old primary is a replica with the same log as the new one")
def step_old_primary_follows(context):
    old = context.simulation.endpoints[context.old_primary]
    new = context.simulation.endpoints[primary_of(context)]
    assert old is not new and old.role == "follower", old.role
    assert [item.position() for item in old.log] == [item.position() for item in new.log]


@then('the data of "{name:w}" is at most {age:g} s old')
def step_age(context, name, age):
    assert context.requests[name].exchange.reply.age <= age


@then('the request "{name:w}" was sent {count:d} time(s)')
def step_attempts(context, name, count):
    assert context.requests[name].attempts == count


@when("every control log message takes {seconds:g} s longer")
def step_slow_log(context, seconds):
    context.simulation.message_delay_s = seconds


@then("another endpoint is primary in term {term:d}")
def step_primary_in_term(context, term):
    group = context.simulation.leader().board.configuration.groups["g"]
    assert group.primary != context.old_primary
    assert (group.granted_term, group.term) == (term, term), (group.granted_term, group.term)
