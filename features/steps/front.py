"""Steps about the callers' JSON, tokens, endpoints' replies and the two programs' settings."""

from __future__ import annotations

import os
import subprocess
import sys

from behave import then, when
from gentianspread_core.errors import Refusal
from gentianspread_core.positions import Position, SessionToken
from gentianspread_server.codec import RequestCodec
from gentianspread_server.connections import ResponseLostError
from gentianspread_server.driver import parse_reply
from gentianspread_server.front import MAX_BODY_BYTES
from gentianspread_server.peers import FleetSigner
from gentianspread_server.tokens import TokenCodec
from gentianspread_server.wsgi import read_request_body

SECRET = "the secret of this fleet"
TOKEN = SessionToken("ennis", {"visits": Position(3, 7)})
START_TIMEOUT_S = 60


def refusal_of(action):
    try:
        action()
    except Refusal as refusal:
        return refusal
    return None


def run_module(context, module, arguments):
    environment = {
        name: value for name, value in os.environ.items() if not name.startswith("GENTIANSPREAD")
    }
    context.process = subprocess.run(
        [sys.executable, "-m", module, *arguments.split()],
        env=environment,
        capture_output=True,
        text=True,
        timeout=START_TIMEOUT_S,
        check=False,
    )


@when("a caller sends {body}")
def step_send_body(context, body):
    codec = RequestCodec(TokenCodec(SECRET))
    context.refusal = refusal_of(lambda: codec.decode(body.encode(), "Bearer key", 0.0))


@when('an endpoint replies to exchange "{exchange}" with {reply}')
def step_reply(context, exchange, reply):
    context.exchange, context.reply = exchange, reply.encode()


@when('the daemon starts with the flags "{arguments}"')
def step_start_daemon(context, arguments):
    run_module(context, "gentianspread_server.main", arguments)


@when('the command runs with the arguments "{arguments}"')
def step_run_command(context, arguments):
    run_module(context, "gentianspread_cli.main", arguments)


@then('it is refused with "{code:w}"')
def step_refused(context, code):
    assert context.refusal is not None
    assert context.refusal.code.value == code, context.refusal.message
    assert context.refusal.remedy


@then("a token signed by another fleet is refused")
def step_foreign_token(context):
    text = TokenCodec("the secret of another fleet").encode(TOKEN)
    refusal = refusal_of(lambda: TokenCodec(SECRET).decode(text))
    assert refusal is not None and refusal.code.value == "bad_token"


@then("a token signed by this fleet is decoded with its positions")
def step_own_token(context):
    codec = TokenCodec(SECRET)
    token = codec.decode(codec.encode(TOKEN))
    assert token.workspace == "ennis" and token.positions == TOKEN.positions


@then("a token with one changed character is refused, or decoded with unchanged positions")
def step_changed_token(context):
    codec = TokenCodec(SECRET)
    text = codec.encode(TOKEN).rstrip("=")
    for index in range(len(text)):
        other = "A" if text[index] != "A" else "B"
        changed = text[:index] + other + text[index + 1 :]
        changed += "=" * (-len(changed) % 4)
        token = None
        refusal = refusal_of(lambda changed=changed: codec.decode(changed))
        if refusal is None:
            token = codec.decode(changed)
            assert token.positions == TOKEN.positions, "a tampered token was accepted"


@then("the reply counts as lost")
def step_lost(context):
    try:
        parse_reply(context.reply, context.exchange)
    except ResponseLostError:
        return
    raise AssertionError("the reply was accepted")


@then("it exits with status {code:d}")
def step_exits(context, code):
    assert context.process.returncode == code, context.process.stderr


@then('its output contains "{first}" and "{second}"')
def step_output(context, first, second):
    output = context.process.stderr + context.process.stdout
    assert first in output and second in output, output


@when('a message between VMs has the signature "{signature}"')
def step_signature(context, signature):
    context.is_accepted = FleetSigner(SECRET).is_valid("/peer/poll", b"{}", signature)


@then("the message is refused, and one with a valid signature is accepted")
def step_message_refused(context):
    assert context.is_accepted is False
    signer = FleetSigner(SECRET)
    assert signer.is_valid("/peer/poll", b"{}", signer.sign("/peer/poll", b"{}"))


@then('a body of {length:d} bytes is refused with "{code:w}"')
def step_long_body(context, length, code):
    refusal = refusal_of(lambda: read_request_body({"CONTENT_LENGTH": str(length)}, MAX_BODY_BYTES))
    assert refusal is not None and refusal.code.value == code


@then('a body without a length is refused with "{code:w}"')
def step_no_length(context, code):
    refusal = refusal_of(lambda: read_request_body({}, MAX_BODY_BYTES))
    assert refusal is not None and refusal.code.value == code
