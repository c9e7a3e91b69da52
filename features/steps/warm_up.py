"""Steps about cold endpoints and the limit of requests that reach them."""

from __future__ import annotations

import math
import random

from behave import given, then, when
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.commands import CommandKind
from gentianspread_core.blackboard.configuration import (
    Allocator,
    Configuration,
    load_snapshot,
    to_diskless_snapshot,
)
from gentianspread_core.blackboard.declarations import Declaration, DeclaredGroup
from gentianspread_core.blackboard.registrations import Registration
from gentianspread_core.blackboard.relays import load_reply, reply_to_record
from gentianspread_core.blackboard.requests import ExchangeStatus
from gentianspread_core.blackboard.sessions import SessionReply, SessionState
from gentianspread_core.blackboard.timeline import EventKind
from gentianspread_core.blackboard.warmups import ColdState, EndpointTokenRequest
from gentianspread_core.controllers.warmup.allocation import WarmupQuota
from gentianspread_core.engine import Engine
from gentianspread_core.errors import ExecutionResult
from gentianspread_core.settings import CoreSettings, WarmupTolerance
from gentianspread_lab.fakes.clock import FakeClock
from gentianspread_lab.fakes.cold_simulation import COLD_TOLERANCE
from gentianspread_lab.fakes.simulation import GROUP
from gentianspread_server.endpoint_tokens import encode_endpoint_request
from gentianspread_server.platform.wire import decode_statement

SETTLING_S = 1.5
TOKEN_TTL_S = 0.1
MANY = 1000


def _send(context, vm, session, text):
    statement_id = f"n{len(context.statement_calls)}"
    call = context.cold_simulation.send_statement_at(
        vm, session, decode_statement(statement_id, text)
    )
    context.statement_calls.append(call)
    return call


@given(
    "cold endpoints take {rate:g} requests/s, and are cold for {seconds:g} s after an evacuation"
)
def step_limit(context, rate, seconds):
    context.cold_simulation.limit_cold_endpoints(rate, seconds)


@given('"{name:w}" announces that it stays cold for {seconds:g} s')
@when('"{name:w}" announces that it stays cold for {seconds:g} s')
def step_announce(context, name, seconds):
    context.command = context.cold_simulation.announce_warmup(name, seconds)


@given("every endpoint announces that it stays cold for {seconds:g} s")
def step_announce_all(context, seconds):
    for name in context.cold_simulation.endpoints:
        context.cold_simulation.announce_warmup(name, seconds)


@given("no VM has a list of VMs that serve callers")
def step_no_homes(context):
    simulation = context.cold_simulation
    simulation.update_serving_vms(*simulation.vms)


@given("the allocator does not answer")
def step_silent_allocator(context):
    context.cold_simulation.allocator_is_silent = True


@given("the answers of the allocator are lost")
def step_lost_tokens(context):
    context.cold_simulation.loses_tokens = True
    context.granted = []
    context.cold_simulation.board.changes.subscribe(
        Topic.ENDPOINT_TOKENS_REQUESTED,
        lambda item: context.granted.append((context.cold_simulation.clock.now(), item.granted)),
    )


@given('{count:d} open transactions on "{database:w}"')
def step_transactions(context, count, database):
    simulation = context.cold_simulation
    names = list(simulation.vms)
    context.transactions = [
        (names[number], simulation.open_session_at(names[number], database))
        for number in range(count)
    ]
    for text in ("BEGIN", "WRITE x 1"):
        for vm, session in context.transactions:
            _send(context, vm, session, text)
        simulation.run(SETTLING_S)
    simulation.sent.clear()


def _load(context, sessions, text, seconds, interval_s):
    """Send a statement from each session once per interval, unless its last one is under way."""
    simulation = context.cold_simulation
    context.load_calls = []
    context.load_started_at, context.load_s = simulation.clock.now(), seconds
    for _ in range(round(seconds / interval_s)):
        for vm, session in sessions:
            if session.call is None and session.state is SessionState.IDLE:
                context.load_calls.append(_send(context, vm, session, text))
            simulation.run(interval_s / len(sessions))
    simulation.run(SETTLING_S)


@when('{count:d} callers of "{vm:w}" write on "{database:w}" {delay_s:g} s after each other')
def step_burst(context, count, vm, database, delay_s):
    simulation = context.cold_simulation
    sessions = [simulation.open_session_at(vm, database) for _ in range(count)]
    context.load_calls = []
    for session in sessions:
        context.load_calls.append(_send(context, vm, session, "WRITE x 1"))
        simulation.run(delay_s)
    simulation.run(SETTLING_S)


@when('each VM sends {rate:d} {kind:w}/s on "{database:w}" for {seconds:g} s')
def step_load(context, rate, kind, database, seconds):
    step_load_of_workspaces(context, rate, kind, 1, database, seconds)


@when(
    'each VM sends {rate:d} {kind:w}/s of {workspaces:d} workspaces on "{database:w}" '
    "for {seconds:g} s"
)
def step_load_of_workspaces(context, rate, kind, workspaces, database, seconds):
    sessions = context.cold_simulation.open_sessions(database, rate, workspaces)
    context.cold_simulation.sent.clear()
    _load(context, sessions, "WRITE x 1" if kind == "writes" else "READ x", seconds, 1.0)


@when("each open transaction writes 3 times and commits, while each VM sends {rate:d} writes/s")
def step_transactions_load(context, rate):
    simulation = context.cold_simulation
    sessions = simulation.open_sessions("latest", rate, 6)
    context.commits = []
    for number, text in enumerate(("WRITE x 2", "WRITE x 3", "WRITE x 4", "COMMIT")):

        def send_all(text=text):
            for vm, session in context.transactions:
                if session.call is None and session.state is SessionState.OPEN:
                    call = _send(context, vm, session, text)
                    context.commits += [call] if text == "COMMIT" else []

        simulation.call_later(send_all, 1.0 + number)
    _load(context, sessions, "WRITE x 1", 6.0, 1.0)


@when("each open transaction writes once more, and its caller leaves while the write waits")
def step_leave(context):
    simulation = context.cold_simulation
    for vm, session in context.transactions:
        _send(context, vm, session, "WRITE x 9")
    simulation.run(0.05)
    for vm, session in context.transactions:
        handle = f"{vm}/{session.transaction.connection.number}"
        simulation.vms[vm].board.post(Topic.SESSION_CLOSED, session)
        for engine in simulation.vms.values():
            engine.board.post(Topic.RELAY_RELEASED, handle)


@then('at most {count:d} of these writes reached "{name:w}", and none was committed')
def step_left(context, count, name):
    simulation = context.cold_simulation
    assert len([item for item in simulation.sent if item.endpoint == name]) <= count
    assert all(item.in_transaction for item in simulation.sent)
    assert not simulation.endpoints[name].log
    for endpoint in simulation.endpoints.values():
        assert not any(item.in_transaction for item in endpoint.sessions.values())


@given('"{name:w}" is cold at all VMs of "{zone:w}" alone')
def step_cold_in_zone(context, name, zone):
    simulation = context.cold_simulation
    for engine in simulation.vms.values():
        board = engine.board
        if board.settings.zone == zone:
            state = board.warmups.states.setdefault(name, ColdState())
            state.lost_until, state.lost_incarnation = simulation.clock.now() + 60.0, 1


@then("at most {count:d} statements were relayed for each write")
def step_relayed_count(context, count):
    relayed = len(context.cold_simulation.relayed_to)
    assert relayed <= count * len(context.load_calls), f"{relayed} of {len(context.load_calls)}"


@then('"{name:w}" got at most {count:d} requests in any second')
def step_at_most(context, name, count):
    most = context.cold_simulation.max_in_any_second(name)
    assert 0 < most <= count, f"{most} requests in a second"


@then("each endpoint got at most {count:d} requests in any second")
def step_each_at_most(context, count):
    for name in context.cold_simulation.endpoints:
        step_at_most(context, name, count)


def _sent_per_s(context, names):
    start, end = context.load_started_at, context.load_started_at + context.load_s
    sent = context.cold_simulation.sent
    return (
        sum(1 for item in sent if item.endpoint in names and start <= item.sent_at <= end)
        / context.load_s
    )


@then('"{name:w}" got at least {rate:g} requests/s')
def step_at_least(context, name, rate):
    sent_per_s = _sent_per_s(context, {name})
    assert sent_per_s >= rate, f"{sent_per_s} requests/s"


@then("the endpoints together got at least {rate:g} requests/s")
def step_together_at_least(context, rate):
    sent_per_s = _sent_per_s(context, set(context.cold_simulation.endpoints))
    assert sent_per_s >= rate, f"{sent_per_s} requests/s"


@then('"{name:w}" got no requests')
def step_none(context, name):
    assert not [item for item in context.cold_simulation.sent if item.endpoint == name]


@then("the others were refused within {seconds:g} s as not run")
def step_refused(context, seconds):
    assert all(call.answer is not None for call in context.load_calls)
    refused = [call for call in context.load_calls if call.answer.refusal is not None]
    assert refused
    for call in refused:
        answered_at = context.answered_at[call.statement.statement_id]
        assert call.answer.refusal.result is ExecutionResult.NOT_RUN, call.answer.refusal.message
        took_s = answered_at - call.arrived_at
        assert took_s <= seconds, f"{took_s} s: {call.answer.refusal.message}"


@then("all statements were served")
def step_served(context):
    assert context.load_calls
    refusals = [call.answer.refusal for call in context.load_calls if call.answer is not None]
    assert len(refusals) == len(context.load_calls)
    failed = [refusal.message for refusal in refusals if refusal is not None]
    assert not failed, failed[:3]


@then("at least {count:d} of the transactions committed")
def step_committed(context, count):
    answers = [call.answer for call in context.commits]
    committed = sum(1 for answer in answers if answer is not None and answer.refusal is None)
    assert committed >= count, f"{committed} of {len(answers)} committed"


@then('the allocator granted at most {count:d} tokens for "{name:w}" in any second')
def step_granted(context, count, name):
    assert context.granted
    for start, _ in context.granted:
        assert sum(n for at, n in context.granted if start <= at <= start + 1.0) <= count


def _allocator(context, zone="z1"):
    """Return the engine of a control VM that is the allocator of a zone, without a network."""
    settings = CoreSettings("c1", "z1", "c1")
    settings.warmup_tolerance = COLD_TOLERANCE
    settings.max_configuration_age_s = 3.8
    clock = context.token_clock
    engine = Engine.for_sessions(settings, clock, random.Random(1), clock.wall_ms)
    configuration = engine.board.configuration
    declaration = Declaration(1, [], [DeclaredGroup("g", 46, True)], [], 3.0, "")
    declaration.groups[0].cold_rate = context.token_rate
    configuration.declaration = declaration
    configuration.cold_groups = {"g": declaration.groups[0]}
    for number, own_zone in enumerate(("z1", "z2"), 1):
        configuration.endpoints[f"b{number}"] = Registration(
            f"b{number}", f"10.0.0.{number}:1", own_zone, "g", False, 1, 3, 0
        )
    return engine


def _name_allocator(context, member, epoch):
    board = context.allocator.board
    board.configuration.warmup_allocators["z1"] = Allocator("z1", member, epoch, 5)
    board.post(Topic.CONFIGURATION_CHANGED, 5)


def _tokens(context, endpoint="b1"):
    """Return the number of tokens that the allocator grants now, with a fresh configuration."""
    board = context.allocator.board
    board.configuration.confirmed_at = context.token_clock.now()
    request = EndpointTokenRequest(endpoint, "z1", "c1", MANY, context.token_clock.now())
    board.post(Topic.ENDPOINT_TOKENS_REQUESTED, request)
    return request.granted


def _advance(context, seconds):
    context.token_clock.time += seconds


@given("an allocator for endpoints that take {rate:g} requests/s")
def step_allocator(context, rate):
    context.token_rate, context.token_clock = rate, FakeClock()
    context.allocator = _allocator(context)
    context.allocator.board.log.recovered_index = 5
    _name_allocator(context, "c1", 1)
    _advance(context, 1.0)
    assert _tokens(context) > 0


@when("another VM becomes the allocator of its zone")
def step_next_allocator(context):
    context.allocator = _allocator(context)
    _name_allocator(context, "c1", 2)


@when("the first one becomes the allocator again")
def step_first_again(context):
    _name_allocator(context, "c2", 3)
    assert _tokens(context) == 0
    _name_allocator(context, "c1", 4)


@when("that allocator starts again")
def step_restart(context):
    context.allocator = _allocator(context)
    context.allocator.board.log.recovered_index = 5
    _name_allocator(context, "c1", 1)


@then("the new one grants nothing for {seconds:g} s")
@then("it grants nothing for {seconds:g} s")
def step_grants_nothing(context, seconds):
    _assert_nothing_until(context, "b1", seconds)


def _assert_nothing_until(context, endpoint, seconds):
    steps = 39
    for _ in range(steps):
        assert _tokens(context, endpoint) == 0
        _advance(context, seconds / steps)
    _advance(context, 1.0)
    assert _tokens(context, endpoint) > 0


@then("it then grants at most {count:d} tokens at once")
def step_at_once(context, count):
    _advance(context, 10.0)
    assert 0 < _tokens(context) <= count
    assert _tokens(context) == 0


@then("it grants nothing for endpoints of another zone")
def step_other_zone(context):
    _advance(context, 100.0)
    assert _tokens(context) > 0
    assert _tokens(context, "b2") == 0


@then("it grants nothing with a configuration that is not fresh")
def step_not_fresh(context):
    _advance(context, 100.0)
    request = EndpointTokenRequest("b1", "z1", "c1", 1, context.token_clock.now())
    context.allocator.board.post(Topic.ENDPOINT_TOKENS_REQUESTED, request)
    assert request.granted == 0 and not request.answered


@when("cold endpoints are declared to take {rate:g} requests/s")
def step_fleet_limit(context, rate):
    declared = [DeclaredGroup(GROUP, 46, True)]
    declared[0].cold_rate = rate
    declaration = Declaration(1, [], declared, [], 3.0, "document")
    context.simulation.propose_change(CommandKind.DECLARE, declaration.to_record())
    context.simulation.run(5.0)


def _named_allocators(context):
    return context.simulation.leader().board.configuration.warmup_allocators


def _zone_of(context, allocator):
    return context.simulation.vms[allocator.member].settings.zone


@then(
    'the endpoints of "{first:w}", "{second:w}" and "{third:w}" have allocators of their own zones'
)
def step_own_allocators(context, first, second, third):
    named = _named_allocators(context)
    assert set(named) == {first, second, third}
    for zone, allocator in named.items():
        assert _zone_of(context, allocator) == zone and allocator.epoch == 1


@then('the endpoints of "{zone:w}" have an allocator of another zone, of epoch {epoch:d}')
def step_substitute(context, zone, epoch):
    allocator = _named_allocators(context)[zone]
    assert allocator.epoch == epoch and _zone_of(context, allocator) != zone
    assert context.simulation.vms[allocator.member].is_running()


@then("no allocator of cold endpoints is named")
def step_no_allocator(context):
    assert not _named_allocators(context)


@then(
    "a cold endpoint with {rate:g} requests/s, {factor:g} times it and {slack:g} more, "
    "gets {count:d}"
)
def step_quota(context, rate, factor, slack, count):
    quota = WarmupQuota.from_rate(rate, WarmupTolerance(factor, slack), TOKEN_TTL_S)
    in_a_second = math.floor(quota.capacity + quota.rate * (1.0 + TOKEN_TTL_S))
    assert in_a_second <= count, f"{in_a_second} requests in a second"
    assert (quota.capacity >= 1.0 and quota.rate > 0.0) == (count > 0)
    assert quota.rate >= min(rate, 0.8 * count)


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


@when('the evacuation of "{zone:w}" is finished')
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
    _send(context, vm, session, "WRITE x 1")
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
