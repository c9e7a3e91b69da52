"""Steps about planned stops: of a server for callers on loopback, and of VMs as processes."""

from __future__ import annotations

import contextlib
import subprocess
import sys

import gevent
from behave import given, then, when
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.shutdown import ShutdownPlan
from gevent import monkey, socket

GRACE_PERIOD_S = 6.0
LOAD_BALANCER_DELAY_S = 2.2
ANSWER_WAIT_S = 0.1
READ_TIMEOUT_S = 1.0
ARRIVAL_TIMEOUT_MS = 1000
CLOSE_DELAY_S = 0.01
CLOSE_TIMEOUT_S = 0.2
LARGE_ROW = "x" * 1000
LARGE_ROW_COUNT = 4000
SMALL_BUFFER_BYTES = 4096
TRIAL_TIMEOUT_S = 120


def _begin_stop(context):
    plan = ShutdownPlan.from_grace_period(GRACE_PERIOD_S, LOAD_BALANCER_DELAY_S)
    context.held_runner.board.post(Topic.SHUTDOWN_REQUESTED, plan)


def _connect(context):
    host, _, port = context.caller_address.rpartition(":")
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    client.connect((host, int(port)))
    context.add_cleanup(client.close)
    context.client = client


def _open(context):
    _connect(context)
    context.client.sendall(b"OPEN own key\r\n")
    context.opening_answer = context.client.recv(SMALL_BUFFER_BYTES)


def _send(context, statement_id):
    context.client.sendall(f"QUERY {statement_id} READ x\r\n".encode())


def _wait_until_unread(context):
    """Wait until bytes are in the server's socket, without letting its greenlets run."""
    (connection,) = context.caller_server.connections
    poll = monkey.get_original("select", "poll")()
    poll.register(connection.line_socket.socket.fileno())
    assert poll.poll(ARRIVAL_TIMEOUT_MS), "the statement did not arrive"


def _fill_send_buffer(connected):
    """Send rows until the socket takes no more, as to a caller that does not read."""
    connected.settimeout(0.0)
    with contextlib.suppress(BlockingIOError):
        while True:
            connected.send(f"ROW {LARGE_ROW}\r\n".encode())
    connected.settimeout(None)


def _receive(context):
    """Return everything that the caller receives until the end of the connection."""
    received = b""
    with gevent.Timeout(READ_TIMEOUT_S, False):
        while True:
            try:
                part = context.client.recv(SMALL_BUFFER_BYTES)
            except OSError:
                break
            if not part:
                break
            received += part
    return received


def _complete_answers(received):
    return sum(1 for line in received.split(b"\r\n")[:-1] if line.startswith(b"READY"))


@given("a caller with an open session")
def step_session(context):
    _open(context)
    assert context.opening_answer.startswith(b"READY"), context.opening_answer


@given("answers are larger than the sockets' buffers")
def step_large_answers(context):
    context.held_runner.row = LARGE_ROW
    context.held_runner.rows_per_answer = LARGE_ROW_COUNT


@given("openings wait")
def step_openings_wait(context):
    context.held_runner.hold_openings()


@given("{count:d} callers with running statements, of which one does not read")
def step_running_callers(context, count):
    context.held_runner.hold_statements()
    context.reading_callers = []
    for number in range(count):
        _open(context)
        _send(context, f"s{number}")
        while len(context.held_runner.started) <= number:
            gevent.sleep(0.001)
        context.reading_callers.append(context.client)
    context.reading_callers.pop(0)
    (connection,) = (
        item for item in context.caller_server.connections if item.statement.statement_id == "s0"
    )
    _fill_send_buffer(connection.line_socket.socket)


@when("the server closes all connections")
def step_close_all(context):
    _begin_stop(context)
    context.closing = gevent.spawn(context.caller_server.close_all, CLOSE_TIMEOUT_S)
    context.closing.join(READ_TIMEOUT_S)


@when("a statement arrives in the iteration of the event loop that closes idle sessions")
def step_arrives_while_closing(context):
    _send(context, "s1")
    _wait_until_unread(context)
    _begin_stop(context)
    gevent.spawn_later(CLOSE_DELAY_S, context.caller_server.close_idle)
    # The timer is due when the event loop runs next, and it runs timers before sockets.
    monkey.get_original("time", "sleep")(2 * CLOSE_DELAY_S)


@when("the caller sends a statement, and the next one while it runs")
def step_two_statements(context):
    context.held_runner.hold_statements()
    _send(context, "s1")
    while not context.held_runner.started:
        gevent.sleep(0.001)
    _send(context, "s2")
    _wait_until_unread(context)


@when("the server begins to stop, and the statement ends")
def step_stop_and_end(context):
    _begin_stop(context)
    context.held_runner.release()


@when("a caller opens a session")
def step_opens(context):
    _connect(context)
    context.client.sendall(b"OPEN own key\r\n")
    while not context.caller_server.connections:
        gevent.sleep(0.001)
    gevent.sleep(0.01)


@when("the server begins to stop and closes its idle sessions")
def step_stop_and_close(context):
    _begin_stop(context)
    context.caller_server.close_idle()


@when("the openings end")
def step_openings_end(context):
    context.held_runner.release()


@when("the server begins to stop")
def step_stop(context):
    _begin_stop(context)


@when("a caller opens a session and sends a statement at once")
def step_opens_and_sends(context):
    _open(context)
    if context.opening_answer.startswith(b"READY"):
        _send(context, "s1")


@when("the VM accepts no new work")
def step_no_new_work(context):
    plan = ShutdownPlan.from_grace_period(GRACE_PERIOD_S, load_balancer_delay_s=0.0)
    context.session_simulation.board.post(Topic.SHUTDOWN_REQUESTED, plan)
    context.session_simulation.run(ANSWER_WAIT_S)


@when('stop trials with the seeds "{seeds:Quoted}" each stop {count:d} VMs once')
def step_trials(context, seeds, count):
    options = ["--rounds", "1", "--stops", str(count)]
    processes = [
        subprocess.Popen(
            [sys.executable, "-m", "gentianspread_lab.platform.stops", "--seed", seed, *options],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        for seed in seeds.split()
    ]
    outputs = [process.communicate(timeout=TRIAL_TIMEOUT_S)[0] for process in processes]
    context.trial_outputs = [
        output
        for process, output in zip(processes, outputs, strict=True)
        if process.returncode != 0
    ]


@then("every statement that ran was answered completely")
def step_answered(context):
    received = _receive(context)
    ran = context.held_runner.started
    assert _complete_answers(received) == len(ran), f"ran {ran}, the caller received {received}"


@then("the answer to the first statement is complete")
def step_first_complete(context):
    received = _receive(context)
    expected = LARGE_ROW_COUNT * len(f"ROW {LARGE_ROW}\r\n")
    assert len(received) > expected, f"{len(received)} of more than {expected} bytes arrived"


@then("the caller's opening was answered")
def step_opening_answered(context):
    received = _receive(context)
    assert received.startswith((b"READY", b"ERROR")), f"the caller received {received}"


@then("the opening was refused or the statement was answered")
def step_refused_or_answered(context):
    refused = context.opening_answer.startswith(b"ERROR")
    received = _receive(context)
    assert refused or _complete_answers(received) == 1, f"the caller received {received}"


@then("no trial found a broken guarantee")
def step_trials_held(context):
    assert not context.trial_outputs, "\n".join(context.trial_outputs)


@then("each of the other callers got one complete answer")
def step_others_answered(context):
    for client in context.reading_callers:
        context.client = client
        received = _receive(context)
        assert _complete_answers(received) == 1, f"the caller received {received}"


@then("the server closed within {seconds:g} s")
def step_closed(context, seconds):
    assert context.closing.ready(), f"it is still closing after {seconds:g} s"
