"""Steps about odd responses, failing handlers and failing loops of whole VMs."""

from __future__ import annotations

import random
import time

import gevent
import orjson
from behave import given, then, when
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.connections import BackendConnection
from gentianspread_core.blackboard.declarations import Consistency, Declaration, Route
from gentianspread_core.blackboard.homes import ServingVM
from gentianspread_core.blackboard.rate_limits import TokenRequest
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
from gentianspread_core.engine import Engine
from gentianspread_core.errors import ExecutionResult, Refusal
from gentianspread_core.settings import CoreSettings
from gentianspread_lab.platform.wiresamples import RELAYED_STATEMENT
from gentianspread_server.clocks import BootTimeClock, wall_ms
from gentianspread_server.connections import Connection, build_request_head
from gentianspread_server.distribution import Distribution
from gentianspread_server.guards import record_handler_errors, run_for_ever
from gentianspread_server.intents import IntentRunner
from gentianspread_server.peers import PeerAddresses
from gentianspread_server.platform.bootfile import PlatformSettings
from gentianspread_server.platform.entry import EntryVM
from gentianspread_server.proposals import Proposer
from gentianspread_server.relays import RelayingRunner, RelayServer, escape
from gentianspread_server.session_metrics import SessionMetrics
from gentianspread_server.sessions import SessionRunner
from gentianspread_server.webserver import WebServer
from support import GUARD_S, fail, new_board, wait_while


class FixedClient:
    """Answers each request with the same response."""

    def __init__(self, response):
        self.response = response

    def request(self, *_arguments):
        return self.response


@given("a statement that is relayed to a home VM")
def step_relayed(context):
    context.board = new_board()
    context.ended = []
    context.board.changes.subscribe(Topic.EXCHANGE_ENDED, context.ended.append)
    statement = SessionStatement(Verb.READ, "id-1", "READ a")
    call = StatementCall(Session(1, "latest", "k1"), statement, 0.0, None)
    route = Route("r", "latest", "g", Consistency.LATEST, None, 1.0, 1.0, 1, False)
    context.request = SessionRequest(1, StatementKind.READ, call, route, 1.0)
    connection = BackendConnection(1, "b1", "10.0.0.1:80", "g", "w", 0.0)
    connection.home = ServingVM("e2", "10.0.0.2:80", "z1")
    step = Step(StepKind.STATEMENT, "id-1", "READ a")
    context.request.exchange = SessionExchange("1", "b1", 0.0, 1.0, connection, [], [[step]])


RELAY_RESPONSES = {
    "an empty object": {},
    "a list": [1],
    "a status that does not exist": {"status": "later"},
    "a text that Latin-1 cannot carry": {"status": "\u20ac"},
    "flags of another count": {
        "status": "ok",
        "rows": [],
        "position": None,
        "code": "",
        "message": "",
        "signature": "",
        "flags": [True],
    },
}


@when("the home VM answers with {response}")
def step_home_answers(context, response):
    client = FixedClient(RELAY_RESPONSES[response])
    RelayingRunner(context.board, None, client, 1).run(context.request)


@then("the end of the exchange is posted with a reply that is lost")
def step_lost(context):
    assert context.ended == [context.request]
    reply = context.request.exchange.reply
    assert reply.status is ExchangeStatus.LOST and reply.was_sent and not reply.keeps_transaction


@given("a VM that asks another one for tokens")
def step_token_asker(context):
    context.board = new_board()
    context.ended = []
    context.board.changes.subscribe(Topic.TOKENS_RECEIVED, context.ended.append)


class NoDriver:
    """A driver whose calls are not used."""

    probe = watch = send_command = None


@when("that VM answers with an empty object")
def step_odd_tokens(context):
    addresses = PeerAddresses(context.board, {"e2": "e2"})
    IntentRunner(context.board, NoDriver(), addresses, FixedClient({}))
    context.token_request = TokenRequest("w", "z1", "e2", 1, 0.0, "10.0.0.2:80")
    context.board.post(Topic.INTENT_POSTED, context.token_request)
    gevent.sleep(0.05)


@then("the end of the token request is posted without tokens")
def step_no_tokens(context):
    assert context.ended == [context.token_request]
    assert not context.token_request.granted and not context.token_request.answered


@given("a VM that serves a session whose statements no handler answers")
def step_deaf_vm(context):
    settings = CoreSettings("e1", "z1", "")
    engine = Engine.for_sessions(settings, BootTimeClock(), random.Random(1), wall_ms)
    engine.board.changes._handlers[Topic.STATEMENT_ARRIVED] = [fail]
    record_handler_errors(engine.board)
    metrics = SessionMetrics(engine, None, None)
    context.runner = SessionRunner(engine.board, None, metrics)


@when("a statement is sent with a limit of {seconds:g} s")
def step_lost_statement(context, seconds):
    started_at = context.runner.board.clock.now()
    session = Session(1, "latest", "k1")
    route = Route("r", "latest", "g", Consistency.LATEST, None, seconds, seconds, 1, False)
    declaration = Declaration(1, [route], [], [], 3.0, "")
    context.runner.board.configuration.declaration = declaration
    statement = SessionStatement(Verb.READ, "id-1", "READ a")
    running = gevent.spawn(context.runner.run, session, statement)
    running.join(GUARD_S)
    context.answer = running.value
    assert context.answer is not None, "the statement got no answer"
    context.took_s = context.runner.board.clock.now() - started_at


@then("its outcome is unknown after at most {seconds:g} s")
def step_unknown(context, seconds):
    assert context.answer.refusal.result is ExecutionResult.UNKNOWN
    assert context.took_s <= seconds, context.took_s


@given("a web server whose application fails")
def step_failing_server(context):
    def application(_environ, _start_response):
        raise RuntimeError("an odd item")

    context.server = WebServer("127.0.0.1:0", application)
    context.server.start()


@when("a request is sent to it")
def step_failing_request(context):
    address = f"127.0.0.1:{context.server._server.server_port}"
    connection = Connection(address)
    connection.open(1.0)
    head = build_request_head("/x", address) + b"2\r\n\r\n{}"
    context.responses = [connection.request(head, 2.0) for _ in range(2)]
    connection.close()
    context.server.stop()


@then("the response has status {status:d}, and the next request on the connection is answered")
def step_status(context, status):
    assert [response.status for response in context.responses] == [status, status]


@given("a home VM whose handlers fail")
def step_deaf_home(context):
    settings = CoreSettings("e2", "z1", "")
    engine = Engine.for_sessions(settings, BootTimeClock(), random.Random(1), wall_ms)
    engine.board.changes._handlers[Topic.RELAY_RECEIVED] = [fail]
    record_handler_errors(engine.board)
    context.relay_server = RelayServer(engine.board, None)


@when("a statement with a limit of {seconds:g} s is relayed to it")
def step_relay_to_deaf(context, seconds):
    record = {**RELAYED_STATEMENT, "limit_s": seconds}
    started_at = time.monotonic()
    running = gevent.spawn(_refusal_of, context.relay_server, orjson.dumps(escape(record)))
    running.join(GUARD_S)
    context.refusal = running.value
    context.took_s = time.monotonic() - started_at


def _refusal_of(server, body):
    try:
        server.run_statement(body)
    except Refusal as refusal:
        return refusal
    return None


@then("it is refused after at most {seconds:g} s, and the home VM is not busy")
def step_relay_refused(context, seconds):
    assert context.refusal is not None and context.took_s <= seconds, context.took_s
    relays = context.relay_server.board.relays
    assert not relays.running and not relays.transactions


SHORT_RESPONSES = {"an empty object": {}, "a list": [1], "a number": 7}


@when("it asks whether it may vote, and {response} comes before the true response")
def step_may_vote(context, response):
    context.control_vm.odd_responses = [SHORT_RESPONSES[response]]
    context.control_vm.distribution.first_start.had_empty_disk = True
    running = gevent.spawn(context.distribution.first_start.is_founder, ["c1"])
    running.join(GUARD_S)
    context.may_vote = running.value


@then("it may vote")
def step_votes(context):
    assert context.may_vote is True


@given("a VM that knows another one as the control leader")
def step_proposer(context):
    settings = CoreSettings("c2", "z1", "c2")
    engine = Engine.for_sessions(settings, BootTimeClock(), random.Random(1), wall_ms)
    context.engine = engine
    context.addresses = PeerAddresses(engine.board, {"c1": "c1"})


@when("it proposes a change and the leader answers with {response}")
def step_propose(context, response):
    client = FixedClient(SHORT_RESPONSES[response])
    distribution = Distribution(
        context.engine.board, context.engine.configuration, context.addresses, client
    )
    distribution._reported_leader = "c1"
    proposer = Proposer(context.engine.board, distribution, context.addresses, client)
    try:
        proposer.propose(Command(CommandKind.NO_OP, {}), 0.2)
    except Refusal as refusal:
        context.refusal = refusal


@then("the outcome of the change is unknown")
def step_unknown_outcome(context):
    assert context.refusal.result is ExecutionResult.UNKNOWN


@given("an entry VM with a fresh configuration and a loop whose steps fail")
def step_failing_loop(context):
    values = {"nodeName": "e1", "ip": "127.0.0.1", "zone": "z1", "seedNodes": "127.0.0.1:1"}
    values.update({"listenAddrs.front": "127.0.0.1:0", "listenAddrs.ready": "127.0.0.1:0"})
    context.entry_vm = EntryVM(PlatformSettings("", values))
    board = context.entry_vm.board
    board.configuration.declaration = Declaration(1, [], [], [], 3.0, "")
    board.configuration.confirmed_at = board.clock.now() + 60.0
    assert context.entry_vm.is_ready()
    context.steps_fail = True

    def run_step():
        gevent.sleep(0.01)
        if context.steps_fail:
            raise RuntimeError("an odd item")

    context.loop = gevent.spawn(run_for_ever, board, "a loop", run_step)


@then("it is not ready after at most {seconds:g} s")
def step_not_ready(context, seconds):
    wait_while(context.entry_vm.is_ready, seconds)


@when("the steps of the loop succeed again")
def step_succeed(context):
    context.steps_fail = False


@then("it is ready after at most {seconds:g} s")
def step_ready_again(context, seconds):
    wait_while(lambda: not context.entry_vm.is_ready(), seconds)
    context.loop.kill()
