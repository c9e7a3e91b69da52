"""Steps about loops that go on after errors."""

from __future__ import annotations

import random
import time

import gevent
import orjson
from behave import given, then, when
from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.changes import ChangeQueue
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.connections import BackendConnection
from gentianspread_core.blackboard.declarations import Consistency, Declaration, Route
from gentianspread_core.blackboard.homes import ServingVM
from gentianspread_core.blackboard.log import LogEntry
from gentianspread_core.blackboard.messages import Message, MessageKind
from gentianspread_core.blackboard.outbox import HardState
from gentianspread_core.blackboard.rate_limits import TokenRequest
from gentianspread_core.blackboard.requests import ExchangeStatus, StatementKind
from gentianspread_core.blackboard.sessions import (
    Session,
    SessionExchange,
    SessionRequest,
    SessionStatement,
    StatementCall,
    Step,
    StepKind,
    Verb,
)
from gentianspread_core.blackboard.timeline import EventKind, Timeline
from gentianspread_core.engine import Engine
from gentianspread_core.errors import ExecutionResult, Refusal
from gentianspread_core.settings import CoreSettings
from gentianspread_lab.platform.wiresamples import RELAYED_STATEMENT
from gentianspread_server.clocks import BootTimeClock, wall_ms
from gentianspread_server.connections import Connection, build_request_head
from gentianspread_server.control import ControlLoop
from gentianspread_server.distribution import Distribution
from gentianspread_server.guards import record_handler_errors, run_for_ever
from gentianspread_server.intents import IntentRunner
from gentianspread_server.peers import PeerAddresses, PeerSender
from gentianspread_server.platform.bootfile import PlatformSettings
from gentianspread_server.platform.entry import EntryVM
from gentianspread_server.proposals import Proposer
from gentianspread_server.relays import RelayingRunner, RelayServer, escape
from gentianspread_server.session_metrics import SessionMetrics
from gentianspread_server.sessions import SessionRunner
from gentianspread_server.timers import run_timer_loop
from gentianspread_server.webserver import WebServer
from gevent.event import Event

GUARD_S = 5.0
HANDLER_COUNT = 2
PERIOD_S = 0.1


def _fail(_entry):
    raise RuntimeError("an odd item")


def _new_board():
    return Board(CoreSettings("vm", "z1", "vm"), BootTimeClock(), Timeline("vm", wall_ms))


def _wait_while(is_waiting, timeout_s=GUARD_S):
    deadline = time.monotonic() + timeout_s
    while is_waiting():
        assert time.monotonic() < deadline, "it did not happen in time"
        gevent.sleep(0.02)


@given("a queue of changes whose first handler fails")
def step_failing_queue(context):
    context.queue = ChangeQueue()
    context.delivered, context.errors = [], []
    context.queue.on_error = lambda change, error: context.errors.append(error)
    context.queue.subscribe(Topic.HEALTH_UPDATED, _fail)
    for _ in range(HANDLER_COUNT):
        context.queue.subscribe(Topic.HEALTH_UPDATED, context.delivered.append)


@given("a queue of changes whose first handler fails and whose errors nobody takes")
def step_raising_queue(context):
    context.queue = ChangeQueue()
    context.queue.subscribe(Topic.HEALTH_UPDATED, _fail)


@when("{count:d} changes are posted and run")
def step_run_changes(context, count):
    for number in range(count):
        context.queue.post(Topic.HEALTH_UPDATED, number)
    context.queue.run_pending(0.0)


@then("every other handler got all {count:d} changes, and {errors:d} errors were reported")
def step_all_delivered(context, count, errors):
    expected = [number for number in range(count) for _ in range(HANDLER_COUNT)]
    assert context.delivered == expected, context.delivered
    assert len(context.errors) == errors, context.errors


@when("1 change is posted, running it raises")
def step_raises(context):
    context.queue.post(Topic.HEALTH_UPDATED)
    try:
        context.queue.run_pending(0.0)
    except RuntimeError:
        return
    raise AssertionError("the error was not raised")


def _new_timer_queue(context):
    context.queue = ChangeQueue()
    context.now, context.runs, context.errors = 0.0, 0, []
    context.queue.on_error = lambda change, error: context.errors.append(error)


@given("a periodic handler that fails before it sets its next timer, {count:d} times")
def step_periodic(context, count):
    _new_timer_queue(context)

    def handle(_entry):
        context.runs += 1
        if context.runs <= count:
            raise RuntimeError("an odd item")
        context.queue.post_at(context.now + PERIOD_S, Topic.HEARTBEAT_DUE)

    context.queue.subscribe(Topic.HEARTBEAT_DUE, handle)
    context.queue.post_at(0.0, Topic.HEARTBEAT_DUE)


@given("a periodic handler that always fails after it set its next timer")
def step_periodic_late(context):
    _new_timer_queue(context)

    def handle(_entry):
        context.runs += 1
        context.queue.post_at(context.now + PERIOD_S, Topic.HEARTBEAT_DUE)
        raise RuntimeError("an odd item")

    context.queue.subscribe(Topic.HEARTBEAT_DUE, handle)
    context.queue.post_at(0.0, Topic.HEARTBEAT_DUE)


@given("a timer of one item whose handler always fails")
def step_item_timer(context):
    _new_timer_queue(context)

    def handle(_entry):
        context.runs += 1
        raise RuntimeError("an odd item")

    context.queue.subscribe(Topic.SESSION_CHECK_DUE, handle)
    context.queue.post_at(0.0, Topic.SESSION_CHECK_DUE, "a session")


@when("{seconds:g} s pass in steps of {step:g} s")
def step_steps(context, seconds, step):
    for number in range(round(seconds / step) + 1):
        context.now = number * step
        context.queue.run_pending(context.now)


@then("the handler ran at least {count:d} times and {errors:d} errors were reported")
def step_ran(context, count, errors):
    assert context.runs >= count, context.runs
    assert len(context.errors) == errors, len(context.errors)


@then("the handler ran at most {count:d} times")
def step_ran_at_most(context, count):
    assert 1 < context.runs <= count, context.runs


@given("a running loop of timers whose next timer fails")
def step_timer_loop(context):
    board = _new_board()
    context.board = board
    record_handler_errors(board)
    board.changes.subscribe(Topic.HEALTH_CHECK_DUE, _fail)
    changed = Event()
    board.changes.on_timer = changed.set
    context.loop = gevent.spawn(run_timer_loop, board, changed)
    board.changes.post_at(board.clock.now() + 0.05, Topic.HEALTH_CHECK_DUE)
    gevent.sleep(0.2)


@then("a timer that is set after the error is delivered")
def step_timer_after(context):
    delivered = Event()
    context.board.changes.subscribe(Topic.REPAIR_CHECK_DUE, lambda entry: delivered.set())
    context.board.changes.post_at(context.board.clock.now() + 0.05, Topic.REPAIR_CHECK_DUE)
    assert delivered.wait(GUARD_S)
    context.loop.kill()
    assert context.board.timeline.errors == {"handler of health_check_due": 1}


class PolledVM:
    """Answers polls with given responses first, and then as a control VM with a configuration."""

    def __init__(self):
        settings = CoreSettings("c1", "z1", "c1")
        clock = BootTimeClock()
        self.engine = Engine.for_sessions(settings, clock, random.Random(1), wall_ms)
        command = Command(CommandKind.REGISTER_MEMBER, _member("c1"))
        self.engine.configuration.on_committed([LogEntry(1, 1, command)])
        self.engine.configuration.on_confirmed(clock.now())
        addresses = PeerAddresses(self.engine.board, {}, names_are_addresses=True)
        self.distribution = Distribution(
            self.engine.board, self.engine.configuration, addresses, None
        )
        self.odd_responses = []

    def request(self, _address, _path, message, _timeout_s):
        gevent.sleep(0.01)
        self.engine.configuration.on_confirmed(self.engine.board.clock.now())
        if self.odd_responses:
            return self.odd_responses.pop()
        return orjson.loads(orjson.dumps(self.distribution.answer_poll(message)))


def _member(name):
    return {"name": name, "address": name, "zone": "z1", "has_disk": True}


@given("a VM that polls a control VM")
def step_polling_vm(context):
    context.control_vm = PolledVM()
    settings = CoreSettings("e1", "z1", "")
    settings.registers_diskless_members = False
    context.vm = Engine.for_sessions(settings, BootTimeClock(), random.Random(1), wall_ms)
    record_handler_errors(context.vm.board)
    addresses = PeerAddresses(context.vm.board, {"c1": "c1"})
    context.distribution = Distribution(
        context.vm.board, context.vm.configuration, addresses, context.control_vm
    )


def _odd_response(kind):
    entry = {"index": 1, "term": 1}
    base = {
        "revision": 1,
        "entries": [],
        "snapshot": None,
        "age_s": 0.0,
        "waited_s": 0.0,
        "leader": None,
        "joined": [],
        "stamp": [1, 0],
        "entry_vms": 0,
        "serving_taken": True,
        "homes": {"version": "", "vms": None},
        "observations": [],
    }
    unknown = {"kind": "later", "fields": {}, "change_id": "", "expected_revision": None}
    return {
        "an empty object": {},
        "a list": [1],
        "a number": 7,
        "an entry without a command": {**base, "entries": [entry]},
        "an entry of an unknown kind": {**base, "entries": [{**entry, "command": unknown}]},
        "a snapshot without endpoints": {**base, "snapshot": {"revision": 1}},
        "an age that is a text": {**base, "age_s": "1"},
        "observations without a position": {**base, "observations": [["g"]]},
        "a list of serving VMs of numbers": {**base, "homes": {"version": "1", "vms": [1]}},
    }[kind]


@when("the control VM answers {count:d} polls with {response}, and then as it should")
def step_odd_responses(context, count, response):
    context.control_vm.odd_responses = [_odd_response(response) for _ in range(count)]
    board = context.vm.board
    context.distribution.start()
    _wait_while(lambda: context.control_vm.odd_responses or not board.is_fresh())


@then("the VM has the configuration of the control VM")
def step_has_configuration(context):
    _wait_while(lambda: context.vm.board.configuration.revision != 1)
    assert list(context.vm.board.configuration.members) == ["c1"]


@when("the log's record of a command is {record:Json}, and a valid one follows")
def step_unreadable_record(context, record):
    engine = context.session_simulation.engine
    context.first_index = engine.board.configuration.revision + 1
    raw = [
        {"index": context.first_index, "term": 1, "command": record},
        {
            "index": context.first_index + 1,
            "term": 1,
            "command": Command(CommandKind.REGISTER_MEMBER, _member("new")).to_record(),
        },
    ]
    context.record = record
    context.entries = [LogEntry.from_record(item) for item in raw]
    context.counts_before = dict(engine.board.timeline.counts)
    engine.board.post(Topic.ENTRIES_COMMITTED, context.entries)


@then("both entries are applied, the first one is recorded as ignored")
def step_both_applied(context):
    board = context.session_simulation.board
    assert board.configuration.revision == context.first_index + 1
    assert "new" in board.configuration.members
    kind = EventKind.ENTRY_IGNORED
    before = context.counts_before.get(kind, 0)
    assert board.timeline.counts[kind] == before + 1, board.timeline.counts


@then("the first one is passed on as it was")
def step_passed_on(context):
    assert context.entries[0].to_record()["command"] == context.record


class RecordingClient:
    """Encodes messages as the real client does, and keeps the decoded ones."""

    def __init__(self):
        self.received = []

    def request(self, _address, _path, message, _timeout_s):
        self.received.append(orjson.loads(orjson.dumps(message)))
        return {}


@given("a sender of messages to another VM")
def step_sender(context):
    context.board = _new_board()
    context.client = RecordingClient()
    addresses = PeerAddresses(context.board, {"c2": "c2"})
    context.sender = PeerSender("c2", addresses, context.client, context.board)


@when("a message with an integer beyond 64 bits is sent, and then another")
def step_send_odd(context):
    context.sender.send(Message(MessageKind.VOTE, "vm", "c2", 2**70))
    gevent.sleep(0.05)
    context.sender.send(Message(MessageKind.VOTE, "vm", "c2", 7))


@then("the other one arrives")
def step_other_arrives(context):
    _wait_while(lambda: not context.client.received)
    context.sender.stop()
    assert [item["term"] for item in context.client.received[0]["messages"]] == [7]


class OddStorage:
    """A storage that raises errors of its own before it writes."""

    def __init__(self, count):
        self.count = count
        self.written = []

    def write(self, batch):
        if self.count:
            self.count -= 1
            raise RuntimeError("an odd item")
        self.written.append(batch)


@given("a control loop whose storage raises {count:d} errors of its own")
def step_control_loop(context, count):
    context.board = _new_board()
    context.storage = OddStorage(count)
    context.client = RecordingClient()
    addresses = PeerAddresses(context.board, {"c2": "c2"})
    context.control = ControlLoop(context.board, context.storage, addresses, context.client)
    context.board.changes.on_idle = context.control.wake
    context.control.start(None)


@when("a batch is to be written")
def step_batch(context):
    control = context.board.outbox.control
    control.hard_state = HardState(3, "vm")
    control.messages.append(Message(MessageKind.VOTE, "vm", "c2", 3))
    context.control.wake()


@then("the batch is written once, and its messages are sent after that")
def step_batch_written(context):
    _wait_while(lambda: not context.client.received)
    assert len(context.storage.written) == 1


@then('the errors were counted under "{place:Quoted}"')
def step_counted(context, place):
    board = context.vm.board if "vm" in context else context.board
    assert board.timeline.errors.get(place), board.timeline.errors


class FixedClient:
    """Answers each request with the same response."""

    def __init__(self, response):
        self.response = response

    def request(self, *_arguments):
        return self.response


@given("a statement that is relayed to a home VM")
def step_relayed(context):
    context.board = _new_board()
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
    context.board = _new_board()
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
    engine.board.changes._handlers[Topic.STATEMENT_ARRIVED] = [_fail]
    record_handler_errors(engine.board)
    metrics = SessionMetrics(engine, None)
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
    engine.board.changes._handlers[Topic.RELAY_RECEIVED] = [_fail]
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
    running = gevent.spawn(context.distribution.may_vote_with_empty_disk)
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
    _wait_while(context.entry_vm.is_ready, seconds)


@when("the steps of the loop succeed again")
def step_succeed(context):
    context.steps_fail = False


@then("it is ready after at most {seconds:g} s")
def step_ready_again(context, seconds):
    _wait_while(lambda: not context.entry_vm.is_ready(), seconds)
    context.loop.kill()
