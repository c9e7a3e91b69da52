"""Steps about wrong entries among the endpoints."""

from __future__ import annotations

import json

import gevent
from behave import then, when
from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.configuration import Configuration, load_snapshot, to_snapshot
from gentianspread_core.blackboard.connections import BackendConnection
from gentianspread_core.blackboard.declarations import Consistency, Route
from gentianspread_core.blackboard.outbox import (
    EndpointCommand,
    EndpointCommandKind,
    EndpointProbe,
)
from gentianspread_core.blackboard.requests import ExchangeStatus, StatementKind
from gentianspread_core.blackboard.sessions import (
    Session,
    SessionExchange,
    SessionRequest,
    SessionStatement,
    StatementCall,
    Verb,
)
from gentianspread_core.blackboard.steps import Step, StepKind
from gentianspread_core.blackboard.timeline import Timeline
from gentianspread_core.settings import CoreSettings
from gentianspread_lab.fakes import FakeClock
from gentianspread_server.announcements import Announcements
from gentianspread_server.platform import wire
from gentianspread_server.platform.documents import decode_announcement, decode_deregistration
from gentianspread_server.platform.endpoints import LineProtocolDriver

ANNOUNCEMENT = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z1",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "coldRemainingMs": 0,
    "dbRole": "replica",
    "sequence": 4,
    "born": 1_700_000_000_000,
}
LOGGED_ENDPOINT = {
    "name": "odd",
    "address": "10.0.0.1:80",
    "zone": "z1",
    "group": "g",
    "leaving": False,
    "connections": 1,
    "slots": 2,
    "group_size": 0,
    "incarnation": 2,
    "sequence": 1,
    "claims_primary": False,
}
DEEP_LEVELS = 100_000
LONG_TEXT = "z" * 300_000
GUARD_S = 5.0


def _encode_with(field, value):
    """Return an announcement whose field holds the raw JSON of a value."""
    parts = [f"{json.dumps(key)}:{json.dumps(item)}" for key, item in ANNOUNCEMENT.items()]
    replaced = [part for part in parts if not part.startswith(f'"{field}":')]
    return ("{" + ",".join([*replaced, f'"{field}":{value}']) + "}").encode()


@when("a valid announcement is decoded with {field:w} as {value}")
def step_odd_value(context, field, value):
    context.announcement = decode_announcement("e1", _encode_with(field, value))


FAULTS = {
    "nothing wrong": ("e1", json.dumps(ANNOUNCEMENT).encode()),
    "a value nested 100000 levels deep": (
        "e1",
        _encode_with("extra", '{"a":' * DEEP_LEVELS + "1" + "}" * DEEP_LEVELS),
    ),
    "a list nested 100000 levels deep": (
        "e1",
        _encode_with("slots", "[" * DEEP_LEVELS + "]" * DEEP_LEVELS),
    ),
    "a zone of 300000 characters": ("e1", _encode_with("zone", json.dumps(LONG_TEXT))),
    "bytes that are not UTF-8": ("e1", json.dumps(ANNOUNCEMENT).encode().replace(b"z1", b"\xff")),
    "a name with a line end": ("e1\r\nQUERY - RESUME", json.dumps(ANNOUNCEMENT).encode()),
    "a name of 300000 characters": (LONG_TEXT, json.dumps(ANNOUNCEMENT).encode()),
}


@when("an announcement with {fault} is decoded")
def step_odd_bytes(context, fault):
    name, body = FAULTS[fault]
    context.announcement = decode_announcement(name, body)


@then('it describes the endpoint at "{address}"')
def step_describes(context, address):
    assert context.announcement["address"] == address


@when("a deregistration with the start time {value} is decoded")
def step_deregistration(context, value):
    context.incarnation = decode_deregistration(b'{"born":%s}' % value.encode())


@then("it is invalid")
def step_invalid(context):
    assert context.incarnation is None


@when("a statement, a probe and a command are sent to an endpoint at {address}")
def step_send_to(context, address):
    clock = FakeClock()
    board = Board(CoreSettings("vm", "z1", "vm"), clock, Timeline("vm", clock.wall_ms))
    context.ended = []
    for topic in (Topic.EXCHANGE_ENDED, Topic.PROBE_ENDED, Topic.ENDPOINT_COMMAND_ENDED):
        board.changes.subscribe(topic, lambda entry, topic=topic: context.ended.append(topic))
    driver = LineProtocolDriver(board, None)
    statement = SessionStatement(Verb.READ, "id-1", "READ a")
    call = StatementCall(Session(1, "latest", "k1"), statement, 0.0, None)
    route = Route("r", "latest", "g", Consistency.LATEST, None, 1.0, 1.0, 1, False)
    request = SessionRequest(1, StatementKind.READ, call, route, 1.0)
    connection = BackendConnection(1, "odd", address, "g", "w", 0.0)
    step = Step(StepKind.STATEMENT, "id-1", "READ a")
    request.exchange = SessionExchange("1", "odd", 0.0, 1.0, connection, [], [[step]])
    context.exchange = request.exchange
    context.probe = EndpointProbe("odd", address, 1.0, "test")
    context.command = EndpointCommand(
        EndpointCommandKind.RESUME_REPLICATION, "odd", address, "g", 1, "", 1.0
    )
    with gevent.Timeout(GUARD_S):
        driver.run(request)
        driver.probe(context.probe)
        driver.send_command(context.command)


@then("the statement was not sent, the probe failed and the command was not accepted")
def step_all_failed(context):
    assert context.exchange.reply.status is ExchangeStatus.NOT_SENT
    assert not context.exchange.reply.was_sent
    assert not context.probe.alive and not context.command.accepted


@then("the end of each was posted")
def step_ends_posted(context):
    expected = [Topic.EXCHANGE_ENDED, Topic.PROBE_ENDED, Topic.ENDPOINT_COMMAND_ENDED]
    assert context.ended == expected, context.ended


def _log_odd_endpoint(context, field, value, address="10.0.0.1:80"):
    simulation = context.session_simulation
    context.known_before = set(simulation.board.configuration.endpoints)
    fields = {**LOGGED_ENDPOINT, "address": address, field: value}
    simulation.propose(Command(CommandKind.REGISTER_ENDPOINT, fields))
    simulation.run(0.5)


@when("an older build has put an endpoint into the log with {field:w} as {value:Json}")
def step_odd_logged(context, field, value):
    _log_odd_endpoint(context, field, value)


@when(
    "an older build has put an endpoint into the log with {field:w} as {value:Json} "
    'at the address of "{name:w}"'
)
def step_odd_logged_at(context, field, value, name):
    registered = context.session_simulation.board.configuration.endpoints[name]
    _log_odd_endpoint(context, field, value, registered.address)


@when("version {version:d} of the declaration is put into the log")
def step_next_version(context, version):
    context.session_simulation.declare(version)
    context.session_simulation.run(0.5)


@then("no endpoint was added, and version {version:d} is in force")
def step_followed(context, version):
    configuration = context.session_simulation.board.configuration
    assert set(configuration.endpoints) == context.known_before
    assert configuration.declaration.version == version
    assert set(context.session_simulation.board.endpoints.by_name) == context.known_before


@then("the timeline records the ignored entry")
def step_ignored_recorded(context):
    counts = context.session_simulation.board.timeline.counts
    assert [count for kind, count in counts.items() if kind.value == "entry_ignored"] == [1]


ODD_ROWS = (
    ["odd-1", "10.0.0.1:99999", "z1", "g", False, 1, 2, 0, 1, 1, False],
    ["odd-2", "10.0.0.1:80", "z1", "g", False, 1, 0, 0, 1, 1, False],
    [7, "10.0.0.1:80", "z1", "g", False, 1, 2, 0, 1, 1, False],
    ["odd-4", "10.0.0.1:80"],
)


@when("a snapshot with {count:d} odd endpoints is loaded")
def step_odd_snapshot(context, count):
    snapshot = to_snapshot(context.session_simulation.board.configuration)
    snapshot["endpoints"] = [*ODD_ROWS[:count], *snapshot["endpoints"]]
    context.loaded = Configuration()
    load_snapshot(context.loaded, snapshot)


@then("its other endpoints are loaded and the odd ones are not")
def step_snapshot_loaded(context):
    expected = context.session_simulation.board.configuration.endpoints
    assert list(context.loaded.endpoints) == list(expected)


@then('"{name:w}" is still registered')
def step_still_registered(context, name):
    assert name in context.session_simulation.board.configuration.endpoints


@then('the endpoint "{name:w}" is not registered')
def step_not_there(context, name):
    assert name not in context.session_simulation.board.configuration.endpoints


class RecordingProposer:
    """Records the commands that are proposed."""

    def __init__(self):
        self.commands = []

    def propose(self, command, timeout_s):
        self.commands.append(command)


@when('an endpoint of the group "{group:w}" announces itself')
def step_announces_itself(context, group):
    context.proposer = RecordingProposer()
    announcements = Announcements(context.session_simulation.board, context.proposer)
    context.acknowledged = announcements.register({**LOGGED_ENDPOINT, "group": group})


@then("its announcement is not acknowledged, and nothing is proposed")
def step_not_proposed(context):
    assert not context.acknowledged and not context.proposer.commands


class ClosedSocket:
    """A socket whose peer has sent some bytes and closed."""

    def __init__(self, content):
        self.content = content

    def setsockopt(self, *_arguments):
        pass

    def recv(self, _size):
        content, self.content = self.content, b""
        return content


@when('an endpoint reports the position "{position}"')
def step_odd_position(context, position):
    line = f"READY I {position}\r\n".encode()
    context.error = None
    try:
        wire.read_reply(wire.LineSocket(ClosedSocket(line)))
    except wire.ProtocolError as error:
        context.error = error


@then("the reply violates the protocol")
def step_violates(context):
    assert context.error is not None
