"""Steps about clients that nobody controls, at processes with limited memory and descriptors."""

from __future__ import annotations

import gevent
from behave import then, when
from fixtures import TEST_LIMITS
from gentianspread_lab.platform import untrusted
from gentianspread_lab.platform.operators import call
from gentianspread_lab.platform.sessions import read_answer
from gentianspread_lab.platform.untrusted import ClientCrowd
from gentianspread_lab.platform.usage import UsageWatch
from gentianspread_server.connections import OK, connect
from gentianspread_server.platform.wire import LineSocket, ProtocolError
from support import wait_while

OUTSIDE_FILES = 200  # descriptors for files outside the data folder
MAX_MEMORY_MB = int(TEST_LIMITS["limits.memoryMb"])
MAX_SOCKETS = int(TEST_LIMITS["limits.maxFds"]) - OUTSIDE_FILES
ACTION_GUARD_S = 60.0  # for a crowd to end its sending; nothing is checked about the time
REQUEST_GUARD_S = 30.0  # for one ordinary request among others, which may be refused at first
REQUEST_TIMEOUT_S = 2.0
KEY_REFUSED = 401
PATHS = {"metrics": "/metrics", "readiness": "/ready", "relay": "/peer/relay"}


def _address(context, name, port):
    fleet = context.fleet
    if port == "control":
        return fleet.control_addresses[fleet.control_names().index(name)]
    addresses = {
        "callers'": fleet.entry_addresses,
        "metrics": fleet.metrics_addresses,
        "readiness": fleet.ready_addresses,
        "relay": fleet.peer_addresses,
    }
    return addresses[port][name]


@when('{count:d} clients at the {port} port of {name} "{behaviour:w}"')
def step_crowd(context, count, port, name, behaviour):
    address = _address(context, name, port)
    pid = context.fleet.processes[name].pid
    context.watch = UsageWatch(pid, {int(address.rpartition(":")[2])})
    context.watch.start()
    receive_bytes = untrusted.SMALL_RECEIVE_BUFFER_BYTES if behaviour == "read_slowly" else 0
    crowd = ClientCrowd(address, getattr(untrusted, behaviour), receive_bytes)
    context.crowds.append(crowd)
    crowd.start(count)
    crowd.wait_until_stalled(context.watch.read, ACTION_GUARD_S)


@then("{name} lives within its memory and its descriptors")
def step_within_limits(context, name):
    assert context.fleet.processes[name].poll() is None, f"{name} has ended"
    context.watch.stop()
    seen = {
        "resident peak MB": round(context.watch.resident_peak_mb(), 1),
        "peak MB with kernel buffers": round(context.watch.peak_mb, 1),
        "peak sockets": context.watch.peak_sockets,
    }
    print(f"{name}: {seen}")
    assert context.watch.resident_peak_mb() <= MAX_MEMORY_MB, seen
    assert context.watch.peak_mb <= MAX_MEMORY_MB, seen
    assert context.watch.peak_sockets <= MAX_SOCKETS, seen


def _is_served(address):
    try:
        with gevent.Timeout(REQUEST_TIMEOUT_S):
            line_socket = LineSocket(connect(address, REQUEST_TIMEOUT_S))
            try:
                line_socket.send(b"OPEN latest key-1\r\nQUERY ordinary READ a\r\n")
                return not read_answer(line_socket).error and not read_answer(line_socket).error
            finally:
                line_socket.close()
    except (OSError, ProtocolError, gevent.Timeout):
        return False


@then("{name} serves a caller")
def step_serves(context, name):
    address = context.fleet.entry_addresses[name]
    wait_while(lambda: not _is_served(address), REQUEST_GUARD_S)


@then("{name} answers a request for the configuration")
def step_configuration(context, name):
    address = _address(context, name, "control")

    def is_answered():
        response = call(address, "GET", "/Config.Get")
        return response is not None and response.status == OK

    wait_while(lambda: not is_answered(), REQUEST_GUARD_S)


@then("the {port} port of {name} answers a request")
def step_port_answers(context, port, name):
    address = _address(context, name, port)
    # The relay port refuses what is not signed; that it answers is what counts here.
    method, status = ("POST", KEY_REFUSED) if port == "relay" else ("GET", OK)

    def is_answered():
        response = call(address, method, PATHS[port])
        return response is not None and response.status == status

    wait_while(lambda: not is_answered(), REQUEST_GUARD_S)
