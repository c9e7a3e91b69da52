"""Steps about the resources that bodies at the control port and callers' messages take."""

from __future__ import annotations

import io
import logging

import gevent
import orjson
from behave import given, then, when
from gentianspread_core.blackboard.sessions import Session, SessionState
from gentianspread_core.blackboard.timeline import EventKind
from gentianspread_server.platform.callers import CallerConnection, CallerServer
from gentianspread_server.platform.control_api import ControlApi
from gentianspread_server.platform.wire import decode_statement
from gentianspread_server.resources.process import ProcessResources
from gevent import socket

KB = 1024
READ_TIMEOUT_S = 5.0


class AppliedChanges:
    """Takes declarations and announcements without a control log, as a fresh board."""

    def __init__(self):
        self.applied = []

    def is_fresh(self):
        return True

    def apply(self, declaration):
        self.applied.append(declaration)

    def register(self, fields, _cold_s):
        self.applied.append(fields)
        return True

    def deregister(self, name, _incarnation):
        self.applied.append(name)
        return True


def _large_document(routes, tenants):
    return {
        "version": 1,
        "services": [{"name": f"db{n}", "maxConns": 100} for n in range(routes)],
        "routes": [
            {
                "name": f"route{n}",
                "host": f"host{n}.example",
                "service": f"db{n}",
                "routeType": "bounded_stale",
                "timeoutMs": 1000,
                "maxStalenessMs": 500,
                "allowedRegions": ["region1"],
            }
            for n in range(routes)
        ],
        "tenants": [
            {
                "name": f"tenant{n}",
                "ratePerS": 10,
                "burstSize": 20,
                "apiKeys": [f"key{n}"],
                "allowedRegions": ["region1"],
            }
            for n in range(tenants)
        ],
    }


def _post(context, path, body):
    context.changes = AppliedChanges()
    environ = {
        "PATH_INFO": path,
        "REQUEST_METHOD": "POST",
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": io.BytesIO(body),
    }

    def start_response(status, _headers):
        context.status = status

    api = ControlApi(context.changes, context.changes, context.changes)
    context.answer = b"".join(api(environ, start_response))


@when(
    "a document of {routes:d} routes and services and {tenants:d} tenants "
    'is posted to "{path:Quoted}" at the control port'
)
def step_post_document(context, routes, tenants, path):
    _post(context, path, orjson.dumps(_large_document(routes, tenants)))


@when('a document with {count:d} empty objects is posted to "{path:Quoted}" at the control port')
def step_post_objects(context, count, path):
    _post(context, path, b'{"version":1,"services":[],"routes":[],"x":[%s{}]}' % (b"{}," * count))


@when('a document with {count:d} short texts is posted to "{path:Quoted}" at the control port')
def step_post_texts(context, count, path):
    _post(context, path, b'{"version":1,"services":[],"routes":[],"x":[%s""]}' % (b'"ab",' * count))


@when('an announcement of {size:d} KB is posted to "{path:Quoted}" at the control port')
def step_post_announcement(context, size, path):
    fields = {
        "service": "db1",
        "address": "127.0.0.1:1",
        "zone": "z1",
        "slots": 2,
        "state": "ready",
        "dbRole": "replica",
        "sequence": 1,
        "version": "v" * size * KB,
    }
    _post(context, path, orjson.dumps(fields))


@then("the answer's status is {status:d}, and it {outcome:Quoted} applied")
def step_post_answer(context, status, outcome):
    assert context.status.startswith(str(status)), (context.status, context.answer)
    assert len(context.changes.applied) == (1 if outcome == "is" else 0)
    assert status == 200 or b"message" in context.answer, context.answer


@given("a caller's session over a socket")
def step_caller(context):
    limits = ProcessResources.with_defaults().http_port()
    server = CallerServer("127.0.0.1:0", None, limits)
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(1)
    context.client = socket.create_connection(listener.getsockname())
    context.caller = CallerConnection(listener.accept()[0], limits.budget)
    context.caller.session = Session(1, "db", "")
    server.connections.add(context.caller)
    context.caller_server = server
    for opened in (listener, context.client, context.caller.line_socket):
        context.add_cleanup(opened.close)


@when("two statements arrive and the first one is read")
def step_two_statements(context):
    context.client.sendall(b"QUERY 1 READ a\r\nQUERY 2 READ b\r\n")
    assert context.caller.line_socket.read_line() == "QUERY 1 READ a"


@when("the idle connections are closed for a planned stop")
def step_close_idle(context):
    context.caller_server.close_idle()


@when("another statement arrives")
def step_another_statement(context):
    assert context.caller.line_socket.read_line() == "QUERY 2 READ b"
    reader = gevent.spawn(context.caller.line_socket.read_line)
    gevent.sleep(0)
    context.client.sendall(b"QUERY 3 READ c\r\n")
    context.last_line = reader.get(timeout=READ_TIMEOUT_S)


@then("the caller's other 2 statements are read")
def step_statements_read(context):
    assert context.last_line == "QUERY 3 READ c", context.last_line


@when("its transaction is {state:w} and a part of a message arrives")
def step_part(context, state):
    context.caller.session.state = SessionState[state.upper()]
    reader = gevent.spawn(context.caller.line_socket.read_line)
    context.add_cleanup(reader.kill)
    context.client.sendall(b"QUERY 1 REA")
    with gevent.Timeout(READ_TIMEOUT_S):
        while not context.caller.line_socket.unfinished_since:
            gevent.sleep(0.001)


@then("the caller is {activity:w}")
def step_caller_activity(context, activity):
    assert context.caller.activity().name.lower() == activity, context.caller.activity()


@when('"{name:w}" sends a read with an id of {size:d} KB')
def step_long_id(context, name, size):
    context.events = []
    simulation = context.session_simulation
    simulation.board.timeline.sink = context.events.append
    simulation.send(context.sessions[name], decode_statement("i" * size * KB, "READ x"))
    simulation.run(1.0)


@then("the event of its answer has a subject of at most {count:d} characters")
def step_short_subject(context, count):
    subjects = [e.subject for e in context.events if e.kind is EventKind.REQUEST_ANSWERED]
    assert [len(item) <= count for item in subjects] == [True], [len(item) for item in subjects]


@when("a statement with an id of {size:d} KB is still running at the end")
def step_running_at_end(context, size):
    context.caller.statement = decode_statement("i" * size * KB, "READ x")
    context.log_lines = []
    handler = logging.Handler()
    handler.emit = lambda record: context.log_lines.append(record.getMessage())
    logger = logging.getLogger("gentianspread_server.platform.callers")
    logger.addHandler(handler)
    context.add_cleanup(logger.removeHandler, handler)
    context.caller_server._answer_at_end(context.caller)


@then("each log line has at most {count:d} characters")
def step_short_lines(context, count):
    lengths = [len(line) for line in context.log_lines]
    assert lengths and max(lengths) <= count, lengths
