"""Steps about the announcements and messages that concern cold endpoints."""

from __future__ import annotations

import json

import gevent
from behave import given, then, when
from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.commands import CommandKind
from gentianspread_core.blackboard.connections import BackendConnection
from gentianspread_core.blackboard.declarations import Consistency, Route
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
from gentianspread_core.blackboard.warmups import EndpointTokenRequest
from gentianspread_core.errors import ErrorCode, Refusal
from gentianspread_core.settings import CoreSettings
from gentianspread_lab.fakes import FakeClock
from gentianspread_server.announcements import Announcements
from gentianspread_server.intents import IntentRunner
from gentianspread_server.peerroutes import answer_tokens
from gentianspread_server.platform.control_api import ControlApi
from gentianspread_server.platform.endpoints import LineProtocolDriver
from gentianspread_server.resources.process import ProcessResources
from gentianspread_server.session_metrics import SessionMetrics
from gentianspread_server.traffic import TrafficCounters

ANNOUNCEMENT = {
    "service": "g",
    "address": "10.0.0.8:80",
    "zone": "z1",
    "slots": 2,
    "state": "ready",
    "dbRole": "replica",
    "sequence": 4,
    "born": 1_700_000_000_000,
}
MS_PER_S = 1000


class KindProposer:
    """Records the kinds of proposed commands, and takes none of the kinds in `refused`."""

    def __init__(self):
        self.kinds = []
        self.names = []
        self.refused = set()

    def propose(self, command, _timeout_s):
        self.kinds.append(command.kind)
        self.names.append(command.fields["name"])
        if command.kind in self.refused:
            raise Refusal(ErrorCode.NO_LEADER, "No control leader took the change in time.")


def _proposer(context):
    if not hasattr(context, "kind_proposer"):
        context.kind_proposer = KindProposer()
    return context.kind_proposer


@given("the control leader takes no warm-ups")
def step_old_leader(context):
    _proposer(context).refused.add(CommandKind.ENDPOINT_WARMUP)


@when("a new endpoint announces over the API that it stays cold for {seconds:g} s")
def step_announce_over_api(context, seconds):
    board = context.cold_simulation.board
    api = ControlApi(board, None, Announcements(board, _proposer(context)))
    body = json.dumps({**ANNOUNCEMENT, "coldRemainingMs": seconds * MS_PER_S}).encode()
    context.status, _ = api._register_endpoint("b8", body)


@then("its warm-up and then its registration are proposed, and it is {verdict}")
def step_proposed(context, verdict):
    expected = [CommandKind.ENDPOINT_WARMUP, CommandKind.REGISTER_ENDPOINT]
    assert context.kind_proposer.kinds == expected
    assert context.status.startswith("200") == (verdict == "acknowledged")


@then("only its registration is proposed, and it is acknowledged")
def step_only_registration(context):
    assert context.kind_proposer.kinds == [CommandKind.REGISTER_ENDPOINT]
    assert context.status.startswith("200")


@then(
    'the allocator answers a message for {count:d} tokens of "{name:w}" with {granted:d}, '
    'and one of "{other:w}" with none'
)
def step_answer(context, count, name, granted, other):
    board = context.cold_simulation.board
    board.configuration.confirmed_at = board.clock.now()
    answers = [
        json.loads(
            answer_tokens(
                board,
                json.dumps(
                    {"workspace": "", "zone": "z1", "wanted": count, "endpoint": item}
                ).encode(),
            )
        )
        for item in (name, other)
    ]
    assert (answers[0]["granted"], answers[0]["answered"]) == (granted, True)
    assert (answers[1]["granted"], answers[1]["answered"]) == (0, False)


class FixedClient:
    """Answers every request in the same way."""

    def __init__(self, response):
        self.response = response

    def request(self, *_arguments):
        return self.response


class OneAddress:
    """Resolves every VM to one address."""

    def resolve(self, _name):
        return "10.0.0.1:80"


@then('a response without "granted" leaves a request for tokens unanswered')
def step_odd_response(context):
    for response, expected in (({"answered": True}, 0), (_tokens_response(), 2)):
        clock = FakeClock()
        board = Board(CoreSettings("vm", "z1", "vm"), clock, Timeline("vm", clock.wall_ms))
        ended = []
        board.changes.subscribe(Topic.ENDPOINT_TOKENS_RECEIVED, ended.append)
        driver = LineProtocolDriver(board, None)
        runner = IntentRunner(board, driver, OneAddress(), FixedClient(response))
        request = EndpointTokenRequest("b1", "z1", "c1", 2, 0.0)
        runner._carry_out(request)
        assert ended == [request]
        assert request.granted == expected and request.answered == bool(expected)


def _tokens_response():
    return {"granted": 2, "answered": True, "next_token_s": 0.0}


@when(
    'a VM reports twice that it lost connections to "{name:w}", and to an endpoint that is not '
    "known"
)
def step_doubts(context, name):
    board = context.cold_simulation.board
    context.announcements = Announcements(board, _proposer(context))
    incarnation = board.configuration.endpoints[name].incarnation
    for _ in range(2):
        board.post(Topic.ENDPOINTS_DOUBTED, {name: incarnation, "b9": 1})
    board.post(Topic.ENDPOINTS_DOUBTED, {name: incarnation + 1})
    gevent.sleep(0)


@then('one doubt about "{name:w}" is proposed')
def step_one_doubt_proposed(context, name):
    assert context.kind_proposer.kinds == [CommandKind.ENDPOINT_DOUBTED]
    assert context.kind_proposer.names == [name]


class ClosedLineSocket:
    """A kept connection whose endpoint has closed it; any read finds its end."""

    def __init__(self):
        self.socket = self

    def unread_bytes(self):
        return 0

    def settimeout(self, _seconds):
        pass

    def recv(self, *_arguments):
        return b""

    def close(self):
        pass


@then("an exchange on a connection that the endpoint had closed was not sent, and reports the loss")
def step_closed(context):
    clock = FakeClock()
    board = Board(CoreSettings("vm", "z1", "vm"), clock, Timeline("vm", clock.wall_ms))
    driver = LineProtocolDriver(board, None)
    call = StatementCall(
        Session(1, "latest", "k1"), SessionStatement(Verb.READ, "id-1", "READ a"), 0.0, None
    )
    route = Route("r", "latest", "g", Consistency.LATEST, None, 1.0, 1.0, 1, False)
    request = SessionRequest(1, StatementKind.READ, call, route, 1.0)
    connection = BackendConnection(1, "b1", "10.0.0.1:80", "g", "w", 0.0)
    step = Step(StepKind.STATEMENT, "id-1", "READ a")
    request.exchange = SessionExchange("1", "b1", 0.0, 1.0, connection, [], [[step]])
    driver._sockets[1] = ClosedLineSocket()
    driver.run(request)
    reply = request.exchange.reply
    assert reply.status is ExchangeStatus.REFUSED and not reply.was_sent
    assert reply.connection_lost


def _metrics(engine):
    text = (
        SessionMetrics(engine, TrafficCounters(), ProcessResources.with_defaults()).text().decode()
    )
    samples = (line.rsplit(" ", 1) for line in text.splitlines() if not line.startswith("#"))
    return {name: float(value) for name, value in samples}


@then("the metrics tell how many requests home VMs sent and refused, and of one cold endpoint")
def step_metrics(context):
    simulation = context.cold_simulation
    metrics = [_metrics(engine) for engine in simulation.vms.values()]
    passed = sum(item['gentianspread_cold_requests_total{decision="passed"}'] for item in metrics)
    refused = sum(item['gentianspread_cold_requests_total{decision="refused"}'] for item in metrics)
    assert passed == len(simulation.sent) and refused > 0
    assert {item["gentianspread_cold_endpoints"] for item in metrics} == {1.0}


@then('the metrics of "{vm:w}" count the refusals with this reason')
def step_excluded_metrics(context, vm):
    metrics = _metrics(context.cold_simulation.vms[vm])
    name = 'gentianspread_excluded_requests_total{reason="outside the allowed regions"}'
    assert metrics[name] == 10.0, metrics.get(name)
