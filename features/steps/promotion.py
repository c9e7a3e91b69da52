"""Steps about changes of primary by fenced calls."""

from __future__ import annotations

from behave import then, when
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_lab.fakes.session_simulation import GROUP


@when("the primary crashes")
def step_primary_crashes(context):
    backend = context.sworld.primary()
    context.was_held = []
    context.crashed = backend.name
    backend.alive = False
    _note_holds(context)


def _note_holds(context):
    promote = context.sworld.promote

    def noting(name):
        others = [b for b in context.sworld.backends.values() if b.name != context.crashed]
        context.was_held.append(all(item.replication_paused for item in others))
        promote(name)

    context.sworld.promote = noting


@when('the endpoint "{name:w}" crashes')
def step_endpoint_crashes(context, name):
    context.sworld.backends[name].alive = False


@when('the endpoint "{name:w}" receives nothing')
def step_endpoint_deaf(context, name):
    context.sworld.backends[name].ignores_replication = True


@when('"{name:w}" departs')
def step_departs(context, name):
    simulation = context.sworld
    simulation.backends[name].alive = False
    simulation.propose(Command(CommandKind.ENDPOINT_GONE, {"name": name, "incarnation": 1}))
    simulation.run(0.1)


@when('another endpoint takes the address of "{name:w}"')
def step_replaced(context, name):
    context.sworld.backends[name].alive = False
    context.sworld.backends[name].is_replaced = True


@then('"{name:w}" is not known any more')
def step_not_known(context, name):
    assert name not in context.sworld.board.configuration.endpoints


@when('the replica "{first:w}" has received more than "{second:w}"')
def step_received_more(context, first, second):
    context.sworld.backends[first].applied = 5
    context.sworld.backends[second].applied = 4


@when("the next promotion call gets no answer")
def step_lose_call(context):
    context.sworld.promotion_replies_to_lose = 1


@when("the primary leaves")
def step_primary_leaves(context):
    simulation = context.sworld
    backend = simulation.primary()
    context.left = backend.name
    context.committed = list(backend.log)
    simulation.announce(backend, leaving=True, sequence=2)


@when('"{name:w}" announces with sequence {sequence:d} that it {what:w}')
def step_announces(context, name, sequence, what):
    backend = context.sworld.backends[name]
    context.sworld.announce(backend, leaving=what == "leaves", sequence=sequence)


@when('the platform promotes "{name:w}" by itself')
def step_promotes(context, name):
    context.sworld.promote(name)


@then('"{name:w}" leads')
def step_leads(context, name):
    assert context.sworld.primary().name == name, context.sworld.promotions
    assert context.sworld.board.configuration.groups[GROUP].primary == name


@then("every replica stopped receiving before the promotion")
def step_all_held(context):
    assert context.was_held and all(context.was_held)


@then("nothing was promoted")
def step_nothing(context):
    assert context.sworld.promotions == []


@then("the fencing numbers of the promotion calls only grew")
def step_fences(context):
    fences = [fence for _, fence in context.sworld.promotions]
    assert len(fences) > 1 and fences == sorted(set(fences)), fences


@then("one endpoint leads and is named")
def step_named(context):
    named = context.sworld.board.configuration.groups[GROUP].primary
    assert context.sworld.primary().name == named


@then("an endpoint that stays leads")
def step_stays(context):
    assert context.sworld.primary().name != context.left
    assert context.sworld.board.configuration.groups[GROUP].primary != context.left


@then("nothing committed was lost")
def step_not_lost(context):
    assert context.sworld.primary().log[: len(context.committed)] == context.committed


@then('"{name:w}" counts as leaving')
def step_counts_as_leaving(context, name):
    assert context.sworld.board.configuration.endpoints[name].leaving


@when("the primary goes silent for {seconds:g} s and the next release is lost")
def step_primary_silent(context, seconds):
    simulation = context.sworld
    backend = simulation.primary()
    context.led = backend.name
    simulation.resume_commands_to_lose = 1
    backend.is_unresponsive = True
    simulation.run(seconds)
    assert simulation.backends["b2"].replication_paused
    backend.is_unresponsive = False


@then('"{name:w}" receives again')
def step_receives(context, name):
    assert not context.sworld.backends[name].replication_paused


@then("nothing new was promoted")
def step_same_primary(context):
    assert context.sworld.primary().name == context.led
    assert all(name == context.led for name, _ in context.sworld.promotions)
