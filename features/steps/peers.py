"""Steps about the messages between VMs."""

from __future__ import annotations

import random

import orjson
from behave import given, then, when
from gentianspread_server import terse
from gentianspread_server.connections import Connection, build_request_head
from gentianspread_server.front import HttpFrontend
from gentianspread_server.peers import SIGNATURE_HEADER, FleetSigner, PeerClient, decompress_body
from gentianspread_server.webserver import WebServer
from gentianspread_server.wsgi import encode_json

PATH = "/peer/relay"
SECRET = "a-secret-of-the-fleet"
TIMEOUT_S = 2.0
STATEMENT = {
    "handle": "front-a-4/1790946927003/3",
    "endpoint": "i-34fdd7b0ac",
    "key_hash": "581d7bbc7a000d3a2033d6b5903bebcf8108b8c30882db0c77a6acf2297f6b4b",
    "route": ["r-624fmqg", "zino390x1", "kago24b", "latest", None, 1.0, 0.2, 1, False],
    "values": {},
    "kind": "read",
    "verb": "execute",
    "number": "fe179398263357b7",
    "text": "EXECUTE s0 70a",
    "arguments": "70a",
    "prepared": [False, "q33"],
    "min_position": None,
    "limit_s": 0.9999,
    "patience_s": 0.1999,
    "transaction": [False, True],
}
REPLY = {
    "status": "ok",
    "rows": ["xhyesohpknjheiplchqxysbaq"],
    "position": [3, 1207],
    "code": "",
    "message": "",
    "signature": "7.1f3.c.2b.90e1c4d2a7b3f655",
    "flags": [True, True, True],
}


class RecordingFront(HttpFrontend):
    """Records the bodies of requests; `knows_terse` is unset for a VM of an older build."""

    __slots__ = ("bodies", "knows_terse")

    def __init__(self, knows_terse):
        super().__init__(None, None, None, FleetSigner(SECRET), "", None)
        self.bodies = []
        self.knows_terse = knows_terse
        self.add(PATH, self.answer, "peer")

    def __call__(self, environ, start_response):
        body = environ["wsgi.input"].getvalue()
        self.bodies.append(body)
        if not self.knows_terse:
            environ.pop(terse.OFFER_VARIABLE, None)
        return super().__call__(environ, start_response)

    def answer(self, body):
        assert orjson.loads(body) == STATEMENT
        return encode_json(REPLY)


def start_front(context, knows_terse):
    context.front = RecordingFront(knows_terse)
    server = WebServer("127.0.0.1:0", context.front)
    server.start()
    context.add_cleanup(server.stop)
    context.address = f"127.0.0.1:{server._server.server_port}"


def post(context, body, headers=""):
    """Post a body over a new connection and keep its response."""
    connection = Connection(context.address)
    connection.open(TIMEOUT_S)
    head = build_request_head(PATH, context.address, headers)
    context.response = connection.request(b"%s%d\r\n\r\n%s" % (head, len(body), body), TIMEOUT_S)
    connection.close()


@given("a VM that answers other VMs")
def step_vm(context):
    start_front(context, knows_terse=True)


@given("a VM of an older build that answers other VMs")
def step_old_vm(context):
    start_front(context, knows_terse=False)


@when("a statement is relayed to it twice over one connection")
def step_relay_twice(context):
    context.client = PeerClient(FleetSigner(SECRET))
    context.answers = []
    context.exchange_bytes = []
    total = 0
    for _ in range(2):
        context.answers.append(context.client.request(context.address, PATH, STATEMENT, TIMEOUT_S))
        totals = context.client.traffic.totals()
        context.exchange_bytes.append(totals.sent + totals.received - total)
        total = totals.sent + totals.received


@when("a VM of an older build sends it a message")
def step_old_client(context):
    body = orjson.dumps(STATEMENT)
    signature = FleetSigner(SECRET).sign(PATH, body)
    post(context, body, f"{SIGNATURE_HEADER}: {signature}\r\n")


@when("it gets a short message that {fault}")
def step_faulty_message(context, fault):
    signer = FleetSigner(SECRET)
    message = signer.encode_terse(PATH, orjson.dumps(STATEMENT))
    if fault == "was changed":
        message = message[:-1] + bytes([message[-1] ^ 1])
    elif fault == "was cut off":
        message = message[:-9]
    elif fault == "was signed by another fleet":
        message = FleetSigner("another-secret").encode_terse(PATH, orjson.dumps(STATEMENT))
    elif fault == "was signed for another path":
        message = signer.encode_terse("/peer/poll", orjson.dumps(STATEMENT))
    else:
        payload = terse.compress(orjson.dumps(STATEMENT))[:-4]
        message = terse.MARKER + signer._terse_signature(PATH, payload) + payload
    post(context, message)


@when("JSON of about {size:d} bytes is put into the short form and read again")
def step_round_trip(context, size):
    randomness = random.Random(size)
    text = "".join(randomness.choice('abé"\\{}é0123456789') for _ in range(size))
    context.json_body = orjson.dumps({"rows": [text]})
    context.read_again = decompress_body(terse.MARKER + terse.compress(context.json_body))


@then("both answers are right")
def step_answers(context):
    assert context.answers == [REPLY, REPLY], context.answers


@then("the second exchange had less than half of the bytes of the first")
def step_half(context):
    first, second = context.exchange_bytes
    assert second < first / 2, context.exchange_bytes


@then("no request had the short form")
def step_no_terse(context):
    assert len(context.front.bodies) == 2
    assert not any(terse.is_terse(body) for body in context.front.bodies)


@then("the answer is JSON with the status {status:d}")
def step_json(context, status):
    assert context.response.status == status
    assert orjson.loads(context.response.body) == REPLY


@then("the status of the answer is {status:d}")
def step_answer_status(context, status):
    assert context.response.status == status, context.response.status


@then("it is unchanged")
def step_unchanged(context):
    assert context.read_again == context.json_body


@then('the metrics tell the bytes of {count:d} exchanges for relays to the zone "{zone:w}"')
def step_counted(context, count, zone):
    sums = context.client.traffic.by_purpose_and_zone({context.address: zone})
    counters = sums[PATH, zone]
    assert counters.exchanges == count
    assert [counters.sent + counters.received] == [sum(context.exchange_bytes)]
