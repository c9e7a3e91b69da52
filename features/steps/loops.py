"""Steps about loops that go on after errors."""

from __future__ import annotations

import random

import gevent
import orjson
from behave import given, then, when
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.changes import ChangeQueue
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.log import LogEntry
from gentianspread_core.blackboard.messages import Message, MessageKind
from gentianspread_core.blackboard.outbox import HardState
from gentianspread_core.blackboard.timeline import EventKind
from gentianspread_core.engine import Engine
from gentianspread_core.settings import CoreSettings
from gentianspread_server.clocks import BootTimeClock, wall_ms
from gentianspread_server.control import ControlLoop
from gentianspread_server.distribution import Distribution
from gentianspread_server.guards import record_handler_errors
from gentianspread_server.peers import PeerAddresses, PeerSender
from gentianspread_server.timers import run_timer_loop
from gevent.event import Event
from support import GUARD_S, fail, new_board, wait_while

HANDLER_COUNT = 2
PERIOD_S = 0.1


@given("a queue of changes whose first handler fails")
def step_failing_queue(context):
    context.queue = ChangeQueue()
    context.delivered, context.errors = [], []
    context.queue.on_error = lambda change, error: context.errors.append(error)
    context.queue.subscribe(Topic.HEALTH_UPDATED, fail)
    for _ in range(HANDLER_COUNT):
        context.queue.subscribe(Topic.HEALTH_UPDATED, context.delivered.append)


@given("a queue of changes whose first handler fails and whose errors nobody takes")
def step_raising_queue(context):
    context.queue = ChangeQueue()
    context.queue.subscribe(Topic.HEALTH_UPDATED, fail)


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
    board = new_board()
    context.board = board
    record_handler_errors(board)
    board.changes.subscribe(Topic.HEALTH_CHECK_DUE, fail)
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
    wait_while(lambda: context.control_vm.odd_responses or not board.is_fresh())


@then("the VM has the configuration of the control VM")
def step_has_configuration(context):
    wait_while(lambda: context.vm.board.configuration.revision != 1)
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
    context.board = new_board()
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
    wait_while(lambda: not context.client.received)
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
    context.board = new_board()
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
    wait_while(lambda: not context.client.received)
    assert len(context.storage.written) == 1


@then('the errors were counted under "{place:Quoted}"')
def step_counted(context, place):
    board = context.vm.board if "vm" in context else context.board
    assert board.timeline.errors.get(place), board.timeline.errors
