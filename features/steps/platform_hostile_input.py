"""Steps about input from others that a running fleet receives."""

from __future__ import annotations

import json
import os
import random
import time

import gevent
import orjson
from behave import then, when
from gentianspread_lab.platform.operators import Configuration, call
from gentianspread_lab.platform.sessions import read_answer
from gentianspread_server.connections import connect
from gentianspread_server.platform.wire import LineSocket, ProtocolError

TIMEOUT_S = 2.0
GUARD_S = 15.0
WRITER_PAUSE_S = 0.01
VALID = {
    "service": "db1",
    "address": "127.0.0.1:1",
    "zone": "z1",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "coldRemainingMs": 0,
    "dbRole": "replica",
    "sequence": 1,
    "born": 1_700_000_000_000,
}
ODD_VALUES = [
    b"99999999999999999999999999",
    b"18446744073709551615",
    b"-1",
    b"1e300",
    b"true",
    b"null",
    b'""',
    b'"\\ud800"',
    b'"\xff\xfe"',
    b'"127.0.0.1:99999"',
    b'"127.0.0.1:-1"',
    b'"no.such.host:80"',
    b'"a\\r\\nQUERY - STEPDOWN 99"',
    b"[" * 2000 + b"]" * 2000,
    b'{"a":' * 2000 + b"1" + b"}" * 2000,
    b"[" * 800 + b"]" * 800,
    json.dumps("x" * 100_000).encode(),
]
ODD_NAMES = ["odd", "e1", "%FF%FE", "a%0D%0Ab", "a%20b", "%ED%A0%80", "n" * 5000, ""]


def _odd_body(randomness, field):
    """Return an announcement with one odd value, or odd bytes."""
    parts = {name: orjson.dumps(value) for name, value in VALID.items()}
    parts[field] = randomness.choice(ODD_VALUES)
    body = b"{" + b",".join(b'"%s":%s' % (key.encode(), parts[key]) for key in parts) + b"}"
    return body if randomness.random() < 0.9 else body[: randomness.randrange(len(body))]


def _run_for(seconds, actions):
    """Run the actions again and again, each in its own greenlet."""
    end = time.monotonic() + seconds

    def repeat(action):
        while time.monotonic() < end:
            action()
            gevent.sleep(WRITER_PAUSE_S)

    gevent.joinall([gevent.spawn(repeat, action) for action in actions], raise_error=True)


@when("other writers announce and deregister odd endpoints at every control VM for {seconds:d} s")
def step_odd_writers(context, seconds):
    randomness = random.Random(1)
    fleet = context.fleet

    def write(address):
        field = randomness.choice(list(VALID))
        name = randomness.choice(ODD_NAMES)
        # An entry of a field that is not checked would describe an endpoint; see `VALID`.
        if field in ("version", "coldRemainingMs"):
            field = "address"
        call(address, "POST", f"/Instances.Heartbeat/{name}", _odd_body(randomness, field))
        born = b'{"born":%s}' % randomness.choice(ODD_VALUES)
        call(address, "POST", f"/Instances.Deregister/{name}", born)
        document = b'{"version":9,"routes":[],"services":[],"tenants":%s}'
        call(address, "POST", "/Config.Replace", document % randomness.choice(ODD_VALUES))

    _run_for(seconds, [lambda address=item: write(address) for item in fleet.control_addresses])


def _exchange(address, lines, is_read):
    """Send lines on a new connection; read the answers to them, if any."""
    try:
        with gevent.Timeout(TIMEOUT_S):
            line_socket = LineSocket(connect(address, TIMEOUT_S))
            try:
                line_socket.send(b"".join(lines))
                for _ in lines if is_read else ():
                    read_answer(line_socket)
            finally:
                line_socket.close()
    except (OSError, ProtocolError, gevent.Timeout):
        return False
    return True


@when("callers send statements with ids and texts that are not UTF-8 for {seconds:d} s")
def step_odd_ids(context, seconds):
    statements = [
        b"QUERY \xff\xfe1 READ a\r\n",
        b"QUERY \xff\xfe2 WRITE a b\r\n",
        b"QUERY id3 WRITE a \xff\xfe\r\n",
        b"QUERY id4 READ \xed\xa0\x80\r\n",
        b"QUERY id5 SET \xff \xfe\r\n",
        b"QUERY id6 PREPARE \xff READ \xfe\r\n",
        b"QUERY id7 EXECUTE \xff \xfe\r\n",
        b"QUERY \xfe BEGIN\r\n",
    ]
    addresses = context.fleet.entry_addresses.values()

    def send(address):
        for database in (b"latest", b"bounded", b"own", b"\xff\xfe"):
            for statement in statements:
                _exchange(address, [b"OPEN %s key-1\r\n" % database, statement], True)

    _run_for(seconds, [lambda address=item: send(address) for item in addresses])


@when("odd bytes and odd HTTP requests are sent to every port for {seconds:d} s")
def step_odd_bytes(context, seconds):
    randomness = random.Random(2)
    fleet = context.fleet
    addresses = [
        *fleet.control_addresses,
        *fleet.entry_addresses.values(),
        *fleet.ready_addresses.values(),
        *fleet.peer_addresses.values(),
    ]
    paths = [b"/peer/poll", b"/peer/messages", b"/peer/relay", b"/peer/tokens", b"/peer/propose"]
    paths += [b"/Config.Get", b"/Instances.Heartbeat/\xff", b"/%ff%fe", b"/ready"]

    def send(address):
        content = randomness.randbytes(randomness.randrange(1, 400))
        if randomness.random() < 0.7:
            head = b"POST %s HTTP/1.1\r\nX-Fleet-Signature: \xff\r\nContent-Length: %d\r\n\r\n"
            content = head % (randomness.choice(paths), len(content)) + content
        _exchange(address, [content], False)

    _run_for(seconds, [lambda address=item: send(address) for item in addresses])


@then("every process runs and has logged no traceback")
def step_processes_run(context):
    for name, process in context.fleet.processes.items():
        assert process.poll() is None, f"{name} has ended"
        with open(os.path.join(context.fleet.folder, f"{name}.log"), "rb") as file:
            lines = file.read().splitlines()
        odd = [line for line in lines if b"Traceback" in line or b"error_handled" in line]
        assert not odd, f"{name}: {odd[0][:1000]}"


def _is_served(address, key="key-1"):
    lines = [b"OPEN latest %s\r\n" % key.encode(), b"QUERY id1 READ a\r\n"]
    try:
        with gevent.Timeout(TIMEOUT_S):
            line_socket = LineSocket(connect(address, TIMEOUT_S))
            try:
                line_socket.send(b"".join(lines))
                return not read_answer(line_socket).error and not read_answer(line_socket).error
            finally:
                line_socket.close()
    except (OSError, ProtocolError, gevent.Timeout):
        return False


def _wait_for(is_done):
    deadline = time.monotonic() + GUARD_S
    while not is_done():
        assert time.monotonic() < deadline, "it did not happen in time"
        gevent.sleep(0.1)


@then("callers are served at every entry VM")
def step_served(context):
    for address in context.fleet.entry_addresses.values():
        _wait_for(lambda address=address: _is_served(address))


@then("a new version of the configuration takes effect")
def step_new_version(context):
    configuration = Configuration(10, {"w1": ["key-1"], "w3": ["key-3"]})
    assert context.fleet.operator.declare(configuration)
    for address in context.fleet.entry_addresses.values():
        _wait_for(lambda address=address: _is_served(address, "key-3"))
