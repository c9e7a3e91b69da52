"""Steps about the HTTP server and the connections between VMs, on loopback."""

from __future__ import annotations

import socket as stdlib_socket
import time

import gevent
from behave import given, then, when
from gentianspread_server.connections import RequestNotSentError
from gentianspread_server.peers import FleetSigner, PeerClient
from gentianspread_server.webserver import WebServer
from gevent import socket

SEND_PAUSE_S = 0.02
READ_TIMEOUT_S = 0.3


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
    gevent.sleep(SEND_PAUSE_S)
    client.sendall(second.replace("|", "\r\n").encode())
    context.received = b""
    context.is_closed = False
    with gevent.Timeout(READ_TIMEOUT_S, False):
        while not context.is_closed:
            part = client.recv(4096)
            context.is_closed = not part
            context.received += part
    client.close()


@when("the bytes of a URL of {length:d} characters arrive")
def step_long_url(context, length):
    step_bytes(context, "GET /" + "a" * length, "")


@then('the response bodies are "{expected:Quoted}"')
def step_response_bodies(context, expected):
    responses = context.received.split(b"HTTP/1.1 200 OK\r\n")[1:]
    bodies = [item.partition(b"\r\n\r\n")[2].decode() for item in responses]
    assert ", ".join(bodies) == expected, context.received


@then("the sender received 100 Continue")
def step_continue(context):
    assert context.received.startswith(b"HTTP/1.1 100 Continue\r\n\r\n"), context.received


@then("the status is {status:d} and the connection is closed")
def step_status(context, status):
    assert context.received.startswith(b"HTTP/1.1 %d " % status), context.received
    assert context.is_closed


@then("the connection is closed")
def step_closed(context):
    assert context.is_closed


@when("a request with a timeout of {timeout:g} s is sent to a VM whose accept queue is full")
def step_accept_queue_full(context, timeout):
    listener = stdlib_socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    waiting = []
    for _ in range(4):
        client = stdlib_socket.socket()
        client.setblocking(False)
        client.connect_ex(listener.getsockname())
        waiting.append(client)
    gevent.sleep(SEND_PAUSE_S)
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    started_at = time.monotonic()
    try:
        PeerClient(FleetSigner("s")).request(address, "/x", {}, timeout)
        context.error = None
    except RequestNotSentError as error:
        context.error = error
    context.elapsed_s = time.monotonic() - started_at
    for opened in (*waiting, listener):
        opened.close()


@then("the request fails within {timeout:g} s as not sent")
def step_not_sent(context, timeout):
    assert isinstance(context.error, RequestNotSentError)
    assert context.elapsed_s <= timeout, context.elapsed_s
