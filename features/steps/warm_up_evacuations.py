"""Steps about evacuations of the zones of cold endpoints."""

from __future__ import annotations

from behave import given, then, when
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.connections import ConnectionState
from gentianspread_server.platform.wire import decode_statement

SENDER = "h2"


@given("evacuations take {bound_s:g} s, and requests may wait for {wait_s:g} s")
def step_settings(context, bound_s, wait_s):
    for board in context.cold_simulation.boards:
        board.settings.evacuation_timeout_s = bound_s

    def change(declaration):
        for route in declaration.routes:
            route.objective, route.statement_limit = wait_s, 10.0

    context.cold_simulation.redeclare(change)


def _send(context, statement_id, text):
    simulation = context.cold_simulation
    statement = decode_statement(statement_id, text)
    return simulation.send_statement_at(SENDER, context.only_session, statement)


@given('{kind} at which a transaction has written to "{name:w}"')
def step_transaction(context, kind, name):
    simulation = context.cold_simulation
    if kind == "a VM without home VMs":
        simulation.update_serving_vms(*simulation.vms)
    simulation.run(1.0)
    context.only_session = simulation.open_session_at(SENDER, "latest")
    for number, text in enumerate(("BEGIN", "WRITE x 1")):
        _send(context, f"s{number}", text)
        simulation.run(0.2)
    connection = context.only_session.transaction.connection
    assert connection.endpoint == name
    assert (connection.home is None) == (kind == "a VM without home VMs")


@when('the zone of "{name:w}" is evacuated, and no endpoint takes over')
def step_evacuated(context, name):
    simulation = context.cold_simulation
    simulation._execute_command = lambda command: simulation.board.post(
        Topic.ENDPOINT_COMMAND_ENDED, command
    )
    context.evacuated_at = simulation.clock.now()
    simulation.set_evacuation(simulation.endpoints[name].zone, True)
    context.cold_name = name


def _run_until(context, seconds):
    simulation = context.cold_simulation
    simulation.run(context.evacuated_at + seconds - simulation.clock.now())


@when("its next statement waits for a token from {seconds:g} s after that on")
def step_waits(context, seconds):
    simulation = context.cold_simulation
    simulation.announce_warmup(context.cold_name, 60.0)
    simulation.allocator_is_silent = True
    _run_until(context, seconds)
    context.only_call = _send(context, "s9", "WRITE x 2")
    simulation.run(0.05)
    assert context.only_call.answer is None
    waiting = [
        request
        for engine in simulation.vms.values()
        for tokens in engine.board.warmups.tokens.values()
        for request in tokens.in_transactions
    ]
    assert len(waiting) == 1


@when("the allocator answers again {seconds:g} s after that, and {rest:g} s pass")
def step_answers(context, seconds, rest):
    _run_until(context, seconds)
    context.cold_simulation.allocator_is_silent = False
    context.cold_simulation.run(rest)


@when("the time for requests ends unnoticed, and its next statement is permitted")
def step_permitted_late(context):
    simulation = context.cold_simulation
    board = simulation.vms[SENDER].board
    for evacuation in board.evacuations.by_zone.values():
        evacuation.requests_end_at = simulation.clock.now()
    context.only_call = _send(context, "s9", "WRITE x 2")
    simulation.run(0.2)


@then('this statement was refused as "{code:w}", and did not run')
def step_not_run(context, code):
    answer = context.only_call.answer
    assert answer is not None and answer.refusal is not None, answer
    assert answer.refusal.code.value == code, answer.refusal.code
    for endpoint in context.cold_simulation.endpoints.values():
        assert "s9" not in {item.statement_id for item in endpoint.executed_statements}


@then("the VMs count {count:d} ended transaction, and no connection is in a transaction")
def step_ended(context, count):
    boards = [engine.board for engine in context.cold_simulation.vms.values()]
    assert sum(board.evacuations.ended_transactions for board in boards) == count
    states = {
        connection.state
        for board in boards
        for connections in board.connections.by_endpoint.values()
        for connection in connections
    }
    assert ConnectionState.IN_TRANSACTION not in states
