"""Steps about the messages that bring a connection to an endpoint to a session's state."""

from __future__ import annotations

from behave import given, then, when
from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.connections import BackendConnection
from gentianspread_core.blackboard.declarations import Consistency, Route
from gentianspread_core.blackboard.evacuations import ZoneEvacuation
from gentianspread_core.blackboard.prepared import PreparedStatement
from gentianspread_core.blackboard.registrations import Registration
from gentianspread_core.blackboard.requests import ExchangeStatus, StatementKind
from gentianspread_core.blackboard.sessions import (
    Session,
    SessionExchange,
    SessionRequest,
    SessionStatement,
    SessionTransaction,
    StatementCall,
    Verb,
)
from gentianspread_core.blackboard.timeline import Timeline
from gentianspread_core.controllers.steps import plan_rounds
from gentianspread_core.settings import CoreSettings
from gentianspread_lab.fakes.clock import FakeClock
from gentianspread_server.platform.endpoints import LineProtocolDriver
from gentianspread_server.platform.wire import LineSocket
from gevent.server import StreamServer

STATEMENT_ID = "id-1"
TIMEOUT_S = 2.0
BOUND_S = 5.0
ROUTE = Route("r", "latest", "g", Consistency.LATEST, None, 1.0, 1.0, 1, False)


def _serve(context, accepted, _address):
    """Answer each message with success, but fail the first of the kind to fail."""
    connection = LineSocket(accepted)
    connection.read_line()
    connection.send(b"READY I 1.1\r\n")
    state = "I"
    while (line := connection.read_line()) is not None:
        text = line.split(" ", 2)[2]
        keyword = text.removeprefix("WAITPOS 1.1 ").partition(" ")[0]
        context.received.append(line)
        if keyword == getattr(context, "last_in_time", ""):
            context.setup_clock.time += BOUND_S
        if keyword == context.failing_keyword:
            context.failing_keyword = ""
            code = "NOSTMT" if keyword == "EXECUTE" else "FAILED"
            state = "E" if state == "T" else state
            connection.send(f"ERROR {code} as scripted\r\nREADY {state} 1.1\r\n".encode())
            continue
        if keyword in ("BEGIN", "ROLLBACK", "COMMIT"):
            state = "T" if keyword == "BEGIN" else "I"
        connection.send(f"COMPLETE -\r\nREADY {state} 1.1\r\n".encode())


@given("a scripted endpoint that fails the next {keyword:w}")
def step_endpoint(context, keyword):
    context.failing_keyword = keyword
    context.received = []
    server = StreamServer(
        ("127.0.0.1", 0), lambda accepted, address: _serve(context, accepted, address)
    )
    server.start()
    context.add_cleanup(server.stop)
    context.endpoint_address = f"127.0.0.1:{server.server_port}"


@given("the bound of an evacuation of its zone ends while it answers {keyword:w}")
def step_bound_ends(context, keyword):
    context.last_in_time = keyword


def _evacuate(board):
    now = board.clock.now()
    board.configuration.endpoints["b1"] = Registration(
        "b1", "127.0.0.1:1", "z1", "g", False, 1, 3, 0
    )
    board.evacuations.by_zone["z1"] = ZoneEvacuation(
        "z1", 1, now, now, now, now + BOUND_S, now + BOUND_S
    )


def _build_request(kind, transaction):
    session = Session(1, "latest", "k1")
    session.values = {"tz": "utc"}
    session.transaction = transaction
    statement = SessionStatement(Verb.EXECUTE, STATEMENT_ID, "EXECUTE s1 x", arguments="x")
    call = StatementCall(session, statement, 0.0, None)
    request = SessionRequest(1, kind, call, ROUTE, TIMEOUT_S)
    request.prepared = PreparedStatement(kind is StatementKind.WRITE, "q1")
    return request


@when("{request} of a session with a value and a prepared statement is run there")
def step_run(context, request):
    clock = FakeClock()
    board = Board(CoreSettings("vm", "z1", "vm"), clock, Timeline("vm", clock.wall_ms))
    context.setup_clock = clock
    if getattr(context, "last_in_time", ""):
        _evacuate(board)
    context.ended = []
    board.changes.subscribe(Topic.EXCHANGE_ENDED, context.ended.append)
    connection = BackendConnection(1, "b1", context.endpoint_address, "g", "w", 0.0)
    connection.values = {"other": "value"}  # of another session, so that a reset comes first
    kind = StatementKind.WRITE if "write" in request else StatementKind.READ
    transaction = SessionTransaction(False, ROUTE, 0.0) if "transaction" in request else None
    if "later" in request:
        transaction.connection = connection
    session_request = _build_request(kind, transaction)
    rounds, _ = plan_rounds(session_request, connection)
    session_request.exchange = SessionExchange("1", "b1", 0.0, TIMEOUT_S, connection, [], rounds)
    context.driver = LineProtocolDriver(board, None)
    context.driver.run(session_request)
    context.reply = session_request.exchange.reply


@then("the endpoint did not receive the statement")
def step_not_received(context):
    assert not any(STATEMENT_ID in line for line in context.received), context.received


@then("the reply says that it was not sent, and the connection is closed")
def step_not_sent(context):
    assert len(context.ended) == 1
    assert not context.reply.was_sent and context.reply.status is not ExchangeStatus.OK
    assert not context.reply.is_reusable and not context.driver._sockets


@then("the reply says that it was refused, and the connection is closed")
def step_refused(context):
    assert context.reply.status is ExchangeStatus.REFUSED, context.reply.status
    assert not context.reply.is_reusable and not context.driver._sockets


@when("the endpoints forget all prepared statements")
def step_forget(context):
    for endpoint in context.session_simulation.endpoints.values():
        for session in endpoint.sessions.values():
            session.prepared.clear()


@when("the primary fails the next message of a set-up")
def step_fail_setup(context):
    context.session_simulation.primary().next_setup_errors.append("FAILED")


@then('the reply has the code "{code:w}"')
def step_code(context, code):
    assert context.reply.code == code, context.reply.code
