"""Steps about the small HTTP server and the links between VMs, on loopback."""

from __future__ import annotations

import socket as plain_socket
import time

import gevent
from behave import given, then, when
from gentianspread_server.connections import RequestNotSentError
from gentianspread_server.peers import FleetSigner, PeerClient
from gentianspread_server.webserver import WebServer
from gevent import socket

PAUSE_S = 0.02
READ_LIMIT_S = 0.3


def _echo(environ, start_response):
    body = environ["wsgi.input"].read().decode()
    text = f"{environ['REQUEST_METHOD']} {environ['PATH_INFO']} {body}".encode()
    start_response("200 OK", [("Content-Length", str(len(text)))])
    return [text]


@given("a web server whose application answers with method, path and body")
def step_server(context):
    context.server = WebServer("127.0.0.1:0", _echo)
    context.server.start()
    context.add_cleanup(context.server.stop)


@when('the bytes "{first:Quoted}" arrive, and "{second:Quoted}" a little later')
def step_bytes(context, first, second):
    port = context.server._server.server_port
    client = socket.create_connection(("127.0.0.1", port))
    client.sendall(first.replace("|", "\r\n").encode())
    gevent.sleep(PAUSE_S)
    client.sendall(second.replace("|", "\r\n").encode())
    context.received = b""
    context.has_ended = False
    with gevent.Timeout(READ_LIMIT_S, False):
        while not context.has_ended:
            part = client.recv(4096)
            context.has_ended = not part
            context.received += part
    client.close()


@then('the answers are "{expected:Quoted}"')
def step_answers(context, expected):
    heads = context.received.split(b"HTTP/1.1 200 OK\r\n")[1:]
    bodies = [head.partition(b"\r\n\r\n")[2].decode() for head in heads]
    assert ", ".join(bodies) == expected, context.received


@then("the sender was told to go on")
def step_continue(context):
    assert context.received.startswith(b"HTTP/1.1 100 Continue\r\n\r\n"), context.received


@then("the status is {status:d} and the connection has ended")
def step_status(context, status):
    assert context.received.startswith(b"HTTP/1.1 %d " % status), context.received
    assert context.has_ended


@then("the connection has ended")
def step_ended(context):
    assert context.has_ended


@when("a VM whose queue of connections is full is asked within {limit:g} s")
def step_full(context, limit):
    listener = plain_socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    waiting = []
    for _ in range(4):
        client = plain_socket.socket()
        client.setblocking(False)
        client.connect_ex(listener.getsockname())
        waiting.append(client)
    gevent.sleep(PAUSE_S)
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    began = time.monotonic()
    try:
        PeerClient(FleetSigner("s")).request(address, "/x", {}, limit)
        context.error = None
    except RequestNotSentError as error:
        context.error = error
    context.took = time.monotonic() - began
    for item in (*waiting, listener):
        item.close()


@then("the asker knows within {limit:g} s that nothing was sent")
def step_not_sent(context, limit):
    assert isinstance(context.error, RequestNotSentError)
    assert context.took <= limit, context.took
