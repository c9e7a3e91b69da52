"""Steps about when endpoints are cold, and where this is kept."""

from __future__ import annotations

from behave import then, when
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.configuration import (
    Configuration,
    load_snapshot,
    to_diskless_snapshot,
)
from gentianspread_core.blackboard.relays import load_reply, reply_to_record
from gentianspread_core.blackboard.requests import ExchangeStatus
from gentianspread_core.blackboard.sessions import SessionReply
from gentianspread_core.blackboard.timeline import EventKind
from gentianspread_core.blackboard.warmups import EndpointTokenRequest
from gentianspread_server.endpoint_tokens import encode_endpoint_request
from support import send_to_vm

SETTLING_S = 1.5


@then('an announcement of "{name:w}" with {seconds:g} s left is not written to the control log')
@then('a first one of "{name:w}" with {seconds:g} s left is not')
def step_not_written(context, name, seconds):
    assert context.cold_simulation.announce_warmup(name, seconds) is None
    context.announced = name


@then("one with {seconds:g} s left is")
def step_written(context, seconds):
    command = context.cold_simulation.announce_warmup(context.announced, seconds)
    assert command is not None
    known = context.cold_simulation.board.configuration.warmups[context.announced]
    assert known.remaining_s == seconds


@then("a second one with {seconds:g} s left is not")
def step_second_not_written(context, seconds):
    assert context.cold_simulation.announce_warmup(context.announced, seconds) is None


@then("that announcement was not written to the control log")
def step_that_not_written(context):
    assert context.command is None


def _cold_at(context, vm, name):
    simulation = context.cold_simulation
    return simulation.vms[vm].board.warmups.is_cold(name, simulation.clock.now())


@then('"{name:w}" is {state:w} at every VM')
def step_state_everywhere(context, name, state):
    cold = {_cold_at(context, vm, name) for vm in context.cold_simulation.vms}
    assert cold == {state == "cold"}


@then('"{name:w}" is {state:w} at "{vm:w}"')
def step_state_at(context, name, state, vm):
    assert _cold_at(context, vm, name) == (state == "cold")


@then('the timeline of "{vm:w}" tells when "{name:w}" was cold and warm')
def step_timeline(context, vm, name):
    kinds = [
        event.kind
        for event in context.cold_simulation.vms[vm].board.timeline.events
        if event.subject == name
        and event.kind in (EventKind.ENDPOINT_COLD, EventKind.ENDPOINT_WARM)
    ]
    assert kinds == [EventKind.ENDPOINT_COLD, EventKind.ENDPOINT_WARM] * 2, kinds


@when('the zone "{zone:w}" is evacuated and {seconds:g} s passes')
def step_evacuate(context, zone, seconds):
    context.cold_simulation.set_evacuation(zone, True)
    context.cold_simulation.run(seconds)


@when('the evacuation of zone "{zone:w}" ends')
def step_finish(context, zone):
    context.cold_simulation.set_evacuation(zone, False)


def _exchange_from(context, vm, name):
    """Send a statement from a VM's own connection to an endpoint; return its request."""
    simulation = context.cold_simulation
    scheduled = []
    board = simulation.vms[vm].board
    board.changes.subscribe(Topic.EXCHANGE_SCHEDULED, scheduled.append)
    simulation.update_serving_vms(*simulation.vms)
    simulation.endpoints[name].is_unresponsive = True
    session = simulation.open_session_at(vm, "latest")
    send_to_vm(context, vm, session, "WRITE x 1")
    simulation.run(0.01)
    return next(item for item in scheduled if item.exchange.endpoint == name)


@when('a connection of "{vm:w}" to "{name:w}" is lost')
def step_connection_lost(context, vm, name):
    simulation = context.cold_simulation
    request = _exchange_from(context, vm, name)
    simulation.endpoints[name].is_unresponsive = False
    simulation.close_connection(simulation.vms[vm].board, request, request.exchange)
    simulation.run(0.1)


@when('connections of "{first:w}" and "{second:w}" to "{name:w}" are lost')
def step_connections_lost(context, first, second, name):
    step_connection_lost(context, first, name)
    step_connection_lost(context, second, name)


@then("the control log has one entry about the loss")
def step_one_doubt(context):
    assert len(context.cold_simulation.doubts) == 1
    assert context.cold_simulation.board.configuration.warmups["b1"].is_doubted


@when('"{name:w}" announces itself and says nothing of its warm-up')
def step_announce_nothing(context, name):
    context.command = context.cold_simulation.announce_warmup(name, None)


@when('a statement of "{vm:w}" to "{name:w}" gets no answer')
def step_no_answer(context, vm, name):
    simulation = context.cold_simulation
    _exchange_from(context, vm, name)
    simulation.run(SETTLING_S)


@when('"{name:w}" starts again and announces that it stays cold for {seconds:g} s')
def step_restarted(context, name, seconds):
    context.cold_simulation.announce_warmup(name, seconds, incarnation=2)


@then('a VM that starts counts "{cold:w}" as cold and "{warm:w}" as warm')
def step_starting_vm(context, cold, warm):
    simulation = context.cold_simulation
    simulation._add_vm("h99", "z1")
    simulation.run(0.5)
    assert _cold_at(context, "h99", cold) and not _cold_at(context, "h99", warm)


@then("a snapshot of the previous build loads, without cold endpoints")
def step_old_snapshot(context):
    snapshot = to_diskless_snapshot(context.cold_simulation.board.configuration)
    del snapshot["warmups"], snapshot["declaration"]["extensions"]
    loaded = Configuration()
    assert load_snapshot(loaded, snapshot) == []
    assert not loaded.warmups and not loaded.cold_groups and loaded.endpoints


@then("no VM asked for tokens of an endpoint")
def step_no_token_requests(context):
    assert not context.cold_simulation.token_requests


@then("a declaration without limits and regions is stored as by the previous build")
def step_same_record(context):
    declaration = context.cold_simulation.board.configuration.declaration
    record, delta = declaration.to_record(), declaration.delta_from(declaration)
    for group in record["groups"]:
        assert len(group) == 3
    assert {len(item) for item in record["routes"]} == {9}
    assert {len(item) for item in record["workspaces"]} == {4}
    assert "extensions" not in record and "extensions" not in delta


@then('a reply without "cold_s" is read, and one with it tells when the next token comes')
def step_old_reply(context):
    sent, received = SessionReply(ExchangeStatus.REFUSED), SessionReply(ExchangeStatus.LOST)
    assert "cold_s" not in reply_to_record(sent)
    load_reply(received, reply_to_record(sent))
    assert received.cold_s is None
    sent.cold_s = 0.2
    load_reply(received, reply_to_record(sent))
    assert received.cold_s == 0.2


@then("a message for tokens is one that the previous build does not answer")
def step_old_allocator(context):
    """The previous build grants tokens of the named workspace, and none has an empty name."""
    message = encode_endpoint_request(EndpointTokenRequest("b1", "z1", "vm", 1, 0.0))
    assert message["workspace"] == "" and message["endpoint"] == "b1"
    assert "" not in context.cold_simulation.board.configuration.workspaces
