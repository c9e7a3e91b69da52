"""Steps about overload and failures on a VM that serves sessions."""

from __future__ import annotations

from collections import Counter

from behave import given, then, when
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.sessions import SessionState
from gentianspread_core.controllers.allocator import AllocatorController
from gentianspread_core.errors import ExecutionResult
from gentianspread_server.platform.wire import decode_statement


@given('{count:d} sessions on "{first:w}" and {others:d} on "{second:w}"')
def step_sessions(context, count, first, others, second):
    simulation = context.session_simulation
    context.load_sessions = [(first, simulation.open_session(first)) for _ in range(count)]
    context.load_sessions += [(second, simulation.open_session(second)) for _ in range(others)]
    context.load_calls = []
    context.token_requests = []
    simulation.board.changes.subscribe(Topic.TOKENS_REQUESTED, context.token_requests.append)


@given('the objective of "{first:w}" is {first_s:g} s and that of "{second:w}" {second_s:g} s')
def step_objectives(context, first, first_s, second, second_s):
    simulation = context.session_simulation
    declared = simulation.board.configuration.declaration.workspaces[0]
    simulation.declare(
        3,
        rate=declared.rate,
        burst=declared.burst,
        timeout_s=4.0,
        objectives_s={first: first_s, second: second_s},
    )


@then('the share of reads served on "{first:w}" is at least {factor:g} times that on "{second:w}"')
def step_served_alike(context, first, factor, second):
    shares = {}
    for database in (first, second):
        calls = [call for name, call in context.load_calls if name == database]
        served = [call for call in calls if call.answer.refusal is None]
        shares[database] = len(served) / len(calls)
    assert 0 < shares[second] < 1, shares
    assert shares[first] >= factor * shares[second], shares


@when("no allocator answers")
def step_no_allocator(context):
    for controller in context.session_simulation.engine.controllers:
        if isinstance(controller, AllocatorController):
            controller._first_grant_at = float("inf")


@when("every session sends a read every {pause:g} s for {seconds:g} s")
def step_load(context, pause, seconds):
    simulation = context.session_simulation
    context.load_started_at = simulation.clock.now()
    for _ in range(round(seconds / pause)):
        for database, session in context.load_sessions:
            if session.call is None and session.state is SessionState.IDLE:
                statement_id = f"n{len(context.load_calls)}"
                call = simulation.send(session, decode_statement(statement_id, "READ x"))
                context.load_calls.append((database, call))
                _record_answer_time(context, call)
        simulation.run(pause)
    simulation.run(1.5)


@when("{rate:d} reads per second arrive on random sessions for {seconds:g} s")
def step_random_load(context, rate, seconds):
    simulation = context.session_simulation
    context.load_started_at = simulation.clock.now()
    end = context.load_started_at + seconds
    while simulation.clock.now() < end:
        simulation.run(simulation.randomness.expovariate(rate))
        database, session = simulation.randomness.choice(
            [item for item in context.load_sessions if item[1].call is None]
        )
        statement_id = f"n{len(context.load_calls)}"
        call = simulation.send(session, decode_statement(statement_id, "READ x"))
        context.load_calls.append((database, call))
    simulation.run(1.5)


def _record_answer_time(context, call):
    if not hasattr(context, "answered_at"):
        context.answered_at = {}
        clock = context.session_simulation.clock
        context.session_simulation.board.changes.subscribe(
            Topic.STATEMENT_ANSWERED,
            lambda answered: context.answered_at.setdefault(
                answered.statement.statement_id, clock.now()
            ),
        )
    if call.answer is not None:
        context.answered_at.setdefault(
            call.statement.statement_id, context.session_simulation.clock.now()
        )


def _duration_s(context, call):
    return context.answered_at[call.statement.statement_id] - call.arrived_at


@then('all reads on "{database:w}" were served within {seconds:g} s')
def step_served(context, database, seconds):
    calls = [call for name, call in context.load_calls if name == database]
    assert calls
    refused = [call.answer.refusal.code for call in calls if call.answer.refusal]
    assert not refused, refused[:5]
    slowest = max(_duration_s(context, call) for call in calls)
    assert slowest <= seconds, slowest


@then('reads on "{database:w}" sent after {after:g} s were refused as not run within {seconds:g} s')
def step_refused_fast(context, database, after, seconds):
    since = context.load_started_at + after
    calls = [call for name, call in context.load_calls if name == database]
    late = [call for call in calls if call.arrived_at >= since]
    assert late
    assert all(call.answer.refusal.result is ExecutionResult.NOT_RUN for call in late)
    assert max(_duration_s(context, call) for call in late) <= seconds


@then("at most {count:d} reads ran")
def step_at_most_ran(context, count):
    ran = sum(1 for _, call in context.load_calls if call.answer.refusal is None)
    assert 0 < ran <= count, ran


@then("at most {count:d} token requests were made")
def step_token_requests(context, count):
    assert len(context.token_requests) <= count, len(context.token_requests)


@when("the primary makes commits for {seconds:g} s that are not replicated")
def step_unreplicated_commits(context, seconds):
    primary = context.session_simulation.primary()
    for number in range(5):
        primary.log.append(f"c{number}")
        primary.applied = len(primary.log)
        context.session_simulation.run(seconds / 5)


@given("the primary is in another zone than the VM")
def step_primary_elsewhere(context):
    context.session_simulation.promote("b2")
    context.session_simulation.run(2.0)


@when("the replicas lag by {lag:g} s and the primary commits every {pause:g} s")
def step_lag(context, lag, pause):
    simulation = context.session_simulation
    for endpoint in simulation.endpoints.values():
        endpoint.apply_lag_s = 0.0 if endpoint.is_primary else lag

    def commit():
        simulation.primary()._append([f"c{len(simulation.primary().log)}"])
        simulation.call_later(commit, pause)

    commit()


@then('the replicas ran at least {share:g} of the reads on "{database:w}" sent after {after:g} s')
def step_by_replicas(context, share, database, after):
    since = context.load_started_at + after
    calls = [call for name, call in context.load_calls if name == database]
    ids = {call.statement.statement_id for call in calls if call.arrived_at >= since}
    endpoints = context.session_simulation.endpoints.values()
    ran = [
        item.statement_id
        for item in endpoints
        if not item.is_primary
        for item in item.executed_statements
    ]
    assert ids and len(ids.intersection(ran)) >= share * len(ids), len(ids)


@given("each endpoint accepts at most {count:d} connections")
def step_connection_limit(context, count):
    for endpoint in context.session_simulation.endpoints.values():
        endpoint.max_connections = count


@then("the replicas refused at most {count:d} reads")
def step_replicas_refused(context, count):
    refused = sum(item.lagging_refusals for item in context.session_simulation.endpoints.values())
    assert refused <= count, refused


@given('{count:d} sessions on "{database:w}" for each of {workspaces:d} workspaces')
def step_sessions_of_workspaces(context, count, database, workspaces):
    simulation = context.session_simulation
    simulation.declare(2, keys={f"w{number}": [f"k{number}"] for number in range(workspaces)})
    context.load_sessions = [
        (database, simulation.open_session(database, f"k{number}"))
        for number in range(workspaces)
        for _ in range(count)
    ]
    context.load_calls = []


@then("at most {limit:g} connections were opened for each served read")
def step_opened_per_read(context, limit):
    opened = sum(item.connections_opened for item in context.session_simulation.endpoints.values())
    served = sum(1 for _, call in context.load_calls if call.answer.refusal is None)
    assert served and opened / served <= limit, opened / served


@when('"{name:w}" stops answering')
def step_unresponsive(context, name):
    context.session_simulation.endpoints[name].is_unresponsive = True


@given("a group whose endpoints have {slots:d} slot and need {cost:g} s for each statement")
def step_slow_group(context, slots, cost):
    for endpoint in context.session_simulation.endpoints.values():
        endpoint.slots, endpoint.statement_cost_s = slots, cost
        endpoint.slot_free_at = [0.0] * slots


@then('at least {count:d} reads on "{database:w}" were served within {seconds:g} s')
def step_served_in_time(context, count, database, seconds):
    served = [
        call
        for name, call in context.load_calls
        if name == database
        and call.answer.refusal is None
        and _duration_s(context, call) <= seconds
    ]
    assert len(served) >= count, len(served)


@then('reads on "{database:w}" sent after {after:g} s were answered within {seconds:g} s')
def step_answered(context, database, after, seconds):
    since = context.load_started_at + after
    calls = [call for name, call in context.load_calls if name == database]
    took = [_duration_s(context, call) for call in calls if call.arrived_at >= since]
    assert took and max(took) <= seconds, max(took)


@given("endpoint loads are reported here")
def step_loads_reported_here(context):
    board = context.session_simulation.board
    board.loads.is_reported = True
    context.lag_refusals = Counter()
    board.changes.subscribe(
        Topic.EXCHANGE_ENDED, lambda request: _count_lag_refusal(context, request)
    )


def _count_lag_refusal(context, request):
    if request.exchange.reply.code == "LAGGING":
        context.lag_refusals[request.number, request.exchange.endpoint] += 1


@when("statements take {cost:g} s at the primary")
def step_primary_cost(context, cost):
    context.session_simulation.primary().statement_cost_s = cost


@then("no read was refused twice by the same replica for its lag")
def step_no_second_lag_refusal(context):
    assert context.lag_refusals
    assert max(context.lag_refusals.values()) == 1, context.lag_refusals.most_common(3)
