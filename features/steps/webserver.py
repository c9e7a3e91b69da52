"""Steps about the HTTP server and the connections between VMs, on loopback."""

from __future__ import annotations

import socket as stdlib_socket
import time
import weakref

import gevent
from behave import given, then, when
from gentianspread_server.connections import RequestNotSentError
from gentianspread_server.peers import FleetSigner, PeerClient
from gentianspread_server.webserver import WebServer
from gevent import socket

SEND_PAUSE_S = 0.02
READ_TIMEOUT_S = 0.3


def _post_and_keep(context):
    """Return an application that answers as `_echo` does and notes a reference to the body."""

    def serve(environ, start_response):
        context.body = weakref.ref(environ["wsgi.input"])
        return _echo(environ, start_response)

    return serve


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


@when("the bytes of a trailer of {length:d} characters arrive")
def step_long_trailer(context, length):
    step_bytes(context, "POST / HTTP/1.1|Transfer-Encoding: chunked||", "0|X: " + "a" * length)


@given("the server accepts bodies of at most {size:d} bytes")
def step_body_limit(context, size):
    context.server.max_body_bytes = size


@then("{count:d} connections were counted as closed for their size")
def step_count_of_size(context, count):
    counts = context.server._limits._report.counts
    assert sum(n for labels, n in counts.items() if labels[0] == "size") == count, counts


@when("a body of {size:d} KB is posted and answered on a connection that stays open")
def step_post(context, size):
    context.server.application = _post_and_keep(context)
    client = socket.create_connection(("127.0.0.1", context.server._server.server_port))
    context.add_cleanup(client.close)
    length = size * 1024
    client.sendall(b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % length + b"x" * length)
    received = 0
    while received < length:
        received += len(client.recv(65536))
    gevent.sleep(SEND_PAUSE_S)


@then("nothing refers to the body any more")
def step_body_dropped(context):
    assert context.body() is None


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
