"""Steps about callers' sessions on one VM."""

from __future__ import annotations

from behave import given, then, when
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.connections import ConnectionState
from gentianspread_lab.fakes.declarations import DATABASES, GROUP
from gentianspread_server.platform.wire import decode_statement

OTHER_GROUP = "other"  # has no endpoints
ANSWER_WAIT_S = 0.3


def _send(context, name, text, wait_s=ANSWER_WAIT_S):
    session = context.sessions[name]
    context.sent_count += 1
    statement_id = f"{name}{context.sent_count}"
    call = context.session_simulation.send(session, decode_statement(statement_id, text))
    context.calls_by_session.setdefault(name, []).append(call)
    context.session_simulation.run(wait_s)
    return call


def _executed(context, name=""):
    return [
        item
        for endpoint in context.session_simulation.endpoints.values()
        for item in endpoint.executed_statements
        if item.statement_id.startswith(name)
    ]


def _last(context, name):
    answer = context.calls_by_session[name][-1].answer
    assert answer is not None, "no answer came"
    return answer


def _committed(context):
    return len(context.session_simulation.primary().log)


def _replicas(context):
    return [item for item in context.session_simulation.endpoints.values() if not item.is_primary]


@given('a session "{name:w}" on "{database:w}"')
def step_session(context, name, database):
    context.sessions[name] = context.session_simulation.open_session(database)


@given('a session "{name:w}" on "{database:w}" with the key "{key:w}"')
def step_session_with_key(context, name, database, key):
    context.sessions[name] = context.session_simulation.open_session(database, key)


@given("version {version:d} gives every workspace a rate of {rate:d} and a burst of {burst:d}")
def step_rate(context, version, rate, burst):
    context.session_simulation.declare(version, rate=rate, burst=burst)


@when('"{name:w}" sends "{text:Quoted}"')
def step_sends(context, name, text):
    _send(context, name, text)


@when('"{name:w}" sends "{text:Quoted}" and waits {seconds:g} s')
def step_sends_and_waits(context, name, text, seconds):
    _send(context, name, text, seconds)


@given("the VM has one connection to each endpoint, which needs {cost:g} s for each statement")
def step_slow_endpoints(context, cost):
    for endpoint in context.session_simulation.endpoints.values():
        endpoint.statement_cost_s = cost
    context.session_simulation.declare(2, max_connections=4, timeout_s=2.0)


@then("{count:d} statements ran")
def step_ran(context, count):
    assert len(_executed(context)) == count, len(_executed(context))


@when('"{name:w}" disconnects')
def step_disconnects(context, name):
    context.session_simulation.board.post(Topic.SESSION_CLOSED, context.sessions[name])
    context.session_simulation.run(ANSWER_WAIT_S)


@when("the primary fails the next statement")
def step_fail_statement(context):
    context.session_simulation.primary().next_statement_errors.append("FAILED")


@when("the primary's next reply is lost")
def step_lose_primary_reply(context):
    context.session_simulation.primary().replies_to_lose = 1


@when("every replica's next reply is lost")
def step_lose_replica_replies(context):
    for endpoint in _replicas(context):
        endpoint.replies_to_lose = 1


@when("the replicas receive no commits")
def step_no_replication(context):
    for endpoint in _replicas(context):
        endpoint.ignores_replication = True


@when('version {version:d} removes the key "{key:w}"')
def step_remove_key(context, version, key):
    context.session_simulation.declare(version, keys={"w1": ["other"], "w2": ["k2"]})


@when('version {version:d} removes the route "{database:w}"')
def step_remove_route(context, version, database):
    groups = {name: GROUP for name in DATABASES if name != database}
    context.session_simulation.declare(version, groups=groups)


@when('version {version:d} moves the route "{database:w}" to another group')
def step_move_route(context, version, database):
    groups = {**dict.fromkeys(DATABASES, GROUP), database: OTHER_GROUP}
    context.session_simulation.declare(version, groups=groups)


@then("no log position of the other group is known")
def step_no_position(context):
    board = context.session_simulation.board
    newest = board.observations.newest(OTHER_GROUP)
    assert newest is None, f"observed {newest.position.to_pair()}"
    tokens = [item.token for item in context.sessions.values() if item.token is not None]
    assert all(OTHER_GROUP not in token.positions for token in tokens)


@then('"{name:w}" is refused as "{code:w}"')
def step_session_refused(context, name, code):
    refusal = context.sessions[name].refusal
    assert refusal is not None and refusal.code.value == code, refusal


@then('the last answer of "{name:w}" is refused as "{code:w}"')
def step_refused(context, name, code):
    refusal = _last(context, name).refusal
    assert refusal is not None and refusal.code.value == code, refusal and refusal.code


@then('the last answer of "{name:w}" is a success')
def step_success(context, name):
    refusal = _last(context, name).refusal
    assert refusal is None, refusal and refusal.code


@then('the last answer of "{name:w}" has rows')
def step_rows(context, name):
    answer = _last(context, name)
    assert answer.refusal is None, answer.refusal and answer.refusal.code
    assert answer.rows and answer.signature


@then("the endpoints committed {count:d} writes")
def step_committed(context, count):
    assert _committed(context) == count, context.session_simulation.primary().log


@then('every statement of "{name:w}" ran with "{value:w}" set to "{text:w}"')
def step_values(context, name, value, text):
    ran = _executed(context, name)
    assert ran and all(item.values == {value: text} for item in ran)


@then('every statement of "{name:w}" ran with no values')
def step_no_values(context, name):
    ran = _executed(context, name)
    assert ran and all(item.values == {} for item in ran)


@then('all statements of "{name:w}" ran inside a transaction of the primary')
def step_in_transaction(context, name):
    on_primary = [
        item
        for item in context.session_simulation.primary().executed_statements
        if item.statement_id.startswith(name)
    ]
    assert on_primary and len(on_primary) == len(_executed(context, name))
    assert all(item.in_transaction for item in on_primary)


@then('the last read of "{name:w}" saw at least {count:d} commits')
def step_saw(context, name, count):
    statement_id = context.calls_by_session[name][-1].statement.statement_id
    seen = [item.applied_count for item in _executed(context, statement_id)]
    assert seen and seen[-1] >= count, seen


@then("every statement ran on a connection of its workspace")
def step_workspaces(context):
    owners = {"a": "w1", "b": "w2"}
    assert all(item.workspace == owners[item.statement_id[0]] for item in _executed(context))


@then("the endpoints hold no open transaction")
def step_no_transaction(context):
    endpoints = context.session_simulation.endpoints.values()
    assert not any(item.in_transaction for b in endpoints for item in b.sessions.values())
    pools = context.session_simulation.board.connections.by_endpoint.values()
    assert not any(item.state is ConnectionState.IN_TRANSACTION for pool in pools for item in pool)


@then("no session invariant was violated")
def step_no_violation(context):
    assert (
        not context.session_simulation.engine.invariants.violations
    ), context.session_simulation.engine.invariants.violations


@then('no statement of "{name:w}" succeeded')
def step_none_succeeded(context, name):
    answers = [call.answer for call in context.calls_by_session[name]]
    assert all(answer is not None and answer.refusal is not None for answer in answers)
