"""Steps about changes of the primary by calls with fencing tokens."""

from __future__ import annotations

from behave import then, when
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.leases import COMMIT_LEASE_S, CommitLease
from gentianspread_lab.fakes.session_simulation import GROUP
from gentianspread_server.platform.wire import decode_statement

WRITE_INTERVAL_S = 0.02


@when("the primary crashes")
def step_primary_crashes(context):
    endpoint = context.session_simulation.primary()
    context.were_paused = []
    context.crashed_primary = endpoint.name
    endpoint.alive = False
    _record_pauses(context)


def _record_pauses(context):
    promote = context.session_simulation.promote

    def record_and_promote(name):
        others = [
            b
            for b in context.session_simulation.endpoints.values()
            if b.name != context.crashed_primary
        ]
        context.were_paused.append(all(item.replication_paused for item in others))
        promote(name)

    context.session_simulation.promote = record_and_promote


@when('the endpoint "{name:w}" crashes')
def step_endpoint_crashes(context, name):
    context.session_simulation.endpoints[name].alive = False


@when('the endpoint "{name:w}" receives no commits')
def step_receives_no_commits(context, name):
    context.session_simulation.endpoints[name].ignores_replication = True


@when('"{name:w}" crashes and is deregistered')
def step_deregistered(context, name):
    simulation = context.session_simulation
    simulation.endpoints[name].alive = False
    simulation.propose(Command(CommandKind.ENDPOINT_GONE, {"name": name, "incarnation": 1}))
    simulation.run(0.1)


@when("callers commit for {seconds:g} s")
def step_callers_commit(context, seconds):
    simulation = context.session_simulation
    session = simulation.open_session("latest")
    before = len(simulation.primary().log)
    calls = []
    for number in range(round(seconds / WRITE_INTERVAL_S)):
        statement = decode_statement(f"w{before + number}", "WRITE x 1")
        calls.append(simulation.send(session, statement))
        simulation.run(WRITE_INTERVAL_S)
    assert all(call.answer is not None and call.answer.refusal is None for call in calls)
    context.committed_writes = list(simulation.primary().log)


@when("a VM that serves callers ends")
def step_vm_ends(context):
    """Let the control leader know of a lease that it has passed on to a VM which says no more."""
    simulation = context.session_simulation
    revision = simulation.board.configuration.revision
    lease = CommitLease("h1", revision, simulation.clock.now() + COMMIT_LEASE_S)
    simulation.board.post(Topic.LEASE_PASSED_ON, lease)


@when('"{name:w}" starts again empty and announces that')
def step_starts_empty(context, name):
    start_empty(context, name)
    announce_start(context, name)


@when('{seconds:g} s after the primary crashes, "{name:w}" starts again empty and {announced}')
def step_starts_empty_after(context, seconds, name, announced):
    simulation = context.session_simulation
    simulation.endpoints[name].alive = False
    step_primary_crashes(context)
    simulation.run(seconds)
    start_empty(context, name)
    if announced == "is deregistered before it announces it":
        simulation.propose(Command(CommandKind.ENDPOINT_GONE, {"name": name, "incarnation": 1}))
    if announced != "does not announce it":
        announce_start(context, name)


def start_empty(context, name):
    endpoint = context.session_simulation.endpoints[name]
    endpoint.alive = True
    endpoint.replication_paused = False
    endpoint.sessions.clear()
    endpoint.log, endpoint.applied = [], 0


def announce_start(context, name):
    endpoint = context.session_simulation.endpoints[name]
    context.session_simulation.announce(endpoint, leaving=False, sequence=1, incarnation=2)


@when("the former primary starts again with its log")
def step_primary_back(context):
    context.session_simulation.endpoints[context.crashed_primary].alive = True


@when('another endpoint takes the address of "{name:w}"')
def step_address_taken(context, name):
    context.session_simulation.endpoints[name].alive = False
    context.session_simulation.endpoints[name].is_replaced = True


@then('"{name:w}" is no longer registered')
def step_not_registered(context, name):
    assert name not in context.session_simulation.board.configuration.endpoints


@when('the replica "{first:w}" has received more commits than "{second:w}"')
def step_received_more(context, first, second):
    context.session_simulation.endpoints[first].applied = 5
    context.session_simulation.endpoints[second].applied = 4


@when("the next promotion call gets no response")
def step_lose_call(context):
    context.session_simulation.promotion_replies_to_lose = 1


@when("the primary leaves")
def step_primary_leaves(context):
    simulation = context.session_simulation
    endpoint = simulation.primary()
    context.leaving_endpoint = endpoint.name
    context.committed_writes = list(endpoint.log)
    simulation.announce(endpoint, leaving=True, sequence=2)


@when('"{name:w}" announces with sequence {sequence:d} that it {action:w}')
def step_announces(context, name, sequence, action):
    endpoint = context.session_simulation.endpoints[name]
    context.session_simulation.announce(endpoint, leaving=action == "leaves", sequence=sequence)


@when('the platform promotes "{name:w}" on its own')
def step_promotes(context, name):
    context.session_simulation.promote(name)


@then('"{name:w}" is the primary')
def step_is_primary(context, name):
    assert context.session_simulation.primary().name == name, context.session_simulation.promotions
    assert context.session_simulation.board.configuration.groups[GROUP].primary == name


@then("every replica had paused replication before the promotion")
def step_all_paused(context):
    assert context.were_paused and all(context.were_paused)


@then("no endpoint was promoted")
def step_no_promotion(context):
    assert context.session_simulation.promotions == []


@then("the fencing tokens of the promotion calls only increased")
def step_fencing_tokens(context):
    tokens = [token for _, token in context.session_simulation.promotions]
    assert len(tokens) > 1 and tokens == sorted(set(tokens)), tokens


@then("the endpoint that is primary is the one in the configuration")
def step_in_configuration(context):
    registered = context.session_simulation.board.configuration.groups[GROUP].primary
    assert context.session_simulation.primary().name == registered


@then("an endpoint that is not leaving is the primary")
def step_not_leaving(context):
    assert context.session_simulation.primary().name != context.leaving_endpoint
    assert (
        context.session_simulation.board.configuration.groups[GROUP].primary
        != context.leaving_endpoint
    )


@then("no committed write was lost")
def step_not_lost(context):
    assert (
        context.session_simulation.primary().log[: len(context.committed_writes)]
        == context.committed_writes
    )


@then('"{name:w}" is registered as leaving')
def step_registered_as_leaving(context, name):
    assert context.session_simulation.board.configuration.endpoints[name].leaving


@when(
    'the primary does not answer for {seconds:g} s, "{name:w}" crashes before its pause, '
    "and the next resume call is lost"
)
def step_primary_unresponsive(context, seconds, name):
    simulation = context.session_simulation
    endpoint = simulation.primary()
    context.unresponsive_primary = endpoint.name
    simulation.resume_commands_to_lose = 1
    endpoint.is_unresponsive = True
    end = simulation.clock.now() + seconds
    while not simulation.board.groups.promotions:
        assert simulation.clock.now() < end, "no promotion began"
        simulation.run(0.0005)
    simulation.endpoints[name].alive = False
    was_paused = False
    while simulation.clock.now() < end:
        simulation.run(0.0005)
        was_paused = was_paused or simulation.endpoints["b2"].replication_paused
    assert was_paused
    endpoint.is_unresponsive = False


@then('"{name:w}" has resumed replication')
def step_resumed(context, name):
    assert not context.session_simulation.endpoints[name].replication_paused


@then("no other endpoint was promoted")
def step_same_primary(context):
    assert context.session_simulation.primary().name == context.unresponsive_primary
    assert all(
        name == context.unresponsive_primary for name, _ in context.session_simulation.promotions
    )
