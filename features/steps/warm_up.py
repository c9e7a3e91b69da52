"""Steps about the load of cold endpoints and the limit of requests that reach them."""

from __future__ import annotations

from behave import given, then, when
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.sessions import SessionState
from gentianspread_core.blackboard.warmups import ColdState
from gentianspread_core.errors import ExecutionResult
from support import send_to_vm

SETTLING_S = 1.5


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
            send_to_vm(context, vm, session, text)
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
                context.load_calls.append(send_to_vm(context, vm, session, text))
            simulation.run(interval_s / len(sessions))
    simulation.run(SETTLING_S)


@when('{count:d} callers of "{vm:w}" write on "{database:w}" {delay_s:g} s after each other')
def step_burst(context, count, vm, database, delay_s):
    simulation = context.cold_simulation
    sessions = [simulation.open_session_at(vm, database) for _ in range(count)]
    context.load_calls = []
    for session in sessions:
        context.load_calls.append(send_to_vm(context, vm, session, "WRITE x 1"))
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
                    call = send_to_vm(context, vm, session, text)
                    context.commits += [call] if text == "COMMIT" else []

        simulation.call_later(send_all, 1.0 + number)
    _load(context, sessions, "WRITE x 1", 6.0, 1.0)


@when("each open transaction writes once more, and its caller leaves while the write waits")
def step_leave(context):
    simulation = context.cold_simulation
    for vm, session in context.transactions:
        send_to_vm(context, vm, session, "WRITE x 9")
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
