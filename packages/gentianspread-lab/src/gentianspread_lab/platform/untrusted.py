"""Clients that nobody controls: they flood, stall or stop midway, and keep their connections open.

Each behaviour is a function that sends on one connected socket. `ClientCrowd` runs one behaviour on
many connections at once and holds them open, as long as the server does.
"""

from __future__ import annotations

import functools
import logging
import time
from collections.abc import Callable

import gevent
from gentianspread_server.platform.wire import MAX_MESSAGE_BYTES
from gevent import socket

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 10.0
ANSWER_TIMEOUT_S = 5.0  # for answers that a behaviour reads; a server may close or refuse instead
RECEIVE_BUFFER_BYTES = 16 * 1024
SMALL_RECEIVE_BUFFER_BYTES = 4096  # of readers that do not read, so that the server keeps the rest
UNFINISHED_BYTES = MAX_MESSAGE_BYTES - 4096  # of legal size, with its head and its end
OVERSIZED_BYTES = 20 * 1024 * 1024
PIECE_BYTES = 4096
SLOW_PIECE_BYTES = 100
SLOW_PIECES = 40
SLOW_PAUSE_S = 0.05
QUIET_S = 1.0  # without progress of any client, until a crowd counts as stalled
POLL_INTERVAL_S = 0.1
PIPELINED_STATEMENTS = 2000
PIPELINED_WRITES = 20
PIPELINED_WRITE_BYTES = 50_000
LARGE_READS = 4
LARGE_ROW_BYTES = 500_000
NEW_NAMES = 200
NEW_VALUE_BYTES = 900_000
BODY_BYTES = 2 * 1024 * 1024
HEAD_BYTES = 1024 * 1024
OPEN_MESSAGE = b"OPEN latest key-1\r\n"

Behaviour = Callable[["Client"], None]


class Client:
    """One connection of a crowd and how many bytes it has sent."""

    __slots__ = ("socket", "sent")

    def __init__(self, connected: socket.socket) -> None:
        self.socket = connected
        self.sent = 0

    def send(self, content: bytes) -> None:
        """Send all bytes."""
        view = memoryview(content)
        while view:
            count = self.socket.send(view[:RECEIVE_BUFFER_BYTES])
            self.sent += count
            view = view[count:]
            gevent.sleep(0)  # other clients have their turn, also while the kernel takes all

    def send_in_pieces(self, content: bytes, size: int) -> None:
        """Send all bytes in pieces of a size."""
        for start in range(0, len(content), size):
            self.send(content[start : start + size])

    def read_until(self, ending: bytes) -> None:
        """Read until the received bytes end so; raise `OSError` if they do not."""
        received = b""
        with gevent.Timeout(ANSWER_TIMEOUT_S, OSError("no answer in time")):
            while not received.endswith(ending):
                part = self.socket.recv(RECEIVE_BUFFER_BYTES)
                if not part:
                    raise OSError("the connection was closed")
                received = received[-len(ending) :] + part

    def open_session(self) -> None:
        """Open a session and read the answer."""
        self.send(OPEN_MESSAGE)
        self.read_until(b"\r\n")


class ClientCrowd:
    """Many connections to one address, each with the same behaviour, held open until `close`."""

    __slots__ = ("clients", "_greenlets", "_address", "_behaviour", "_receive_bytes")

    def __init__(self, address: str, behaviour: Behaviour, receive_bytes: int = 0) -> None:
        self.clients: list[Client] = []
        self._greenlets: list[gevent.Greenlet] = []
        self._address = address
        self._behaviour = behaviour
        self._receive_bytes = receive_bytes

    def start(self, count: int) -> None:
        """Start the clients."""
        self._greenlets += [gevent.spawn(self._run) for _ in range(count)]

    def wait_until_stalled(
        self, read_usage: Callable[[], tuple[int, ...]], timeout_s: float
    ) -> None:
        """Return once neither a client sends any more nor the usage of the server changes."""
        deadline = time.monotonic() + timeout_s
        quiet_since, before = time.monotonic(), (-1,)
        while time.monotonic() < deadline and time.monotonic() - quiet_since < QUIET_S:
            progress = (sum(client.sent for client in self.clients), *read_usage())
            if progress != before:
                quiet_since, before = time.monotonic(), progress
            gevent.sleep(POLL_INTERVAL_S)

    def close(self) -> None:
        """Close all connections."""
        gevent.killall(self._greenlets)
        for client in self.clients:
            client.socket.close()

    def _run(self) -> None:
        try:
            client = Client(self._connect())
            self.clients.append(client)
            self._behaviour(client)
        except OSError as error:
            log.debug("the server refused or closed a client: %s", error)

    def _connect(self) -> socket.socket:
        host, _, port = self._address.rpartition(":")
        connected = socket.socket()
        if self._receive_bytes:
            connected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_bytes)
        connected.settimeout(CONNECT_TIMEOUT_S)
        connected.connect((host, int(port)))
        connected.settimeout(None)
        return connected


def stay_silent(_client: Client) -> None:
    """Send nothing."""


def leave_opening_unfinished(client: Client) -> None:
    """Send the first message without its end, in one piece."""
    client.send(_message(b"OPEN latest ", UNFINISHED_BYTES))


def leave_message_unfinished(client: Client) -> None:
    """Open a session and send a statement without its end, in one piece."""
    client.open_session()
    client.send(_message(b"QUERY id1 WRITE a ", UNFINISHED_BYTES))


def leave_pieces_unfinished(client: Client) -> None:
    """Open a session and send a statement without its end, in small pieces."""
    client.open_session()
    client.send_in_pieces(_message(b"QUERY id1 WRITE a ", UNFINISHED_BYTES), PIECE_BYTES)


def send_oversized_message(client: Client) -> None:
    """Open a session and send a message far over the limit."""
    client.open_session()
    client.send(_message(b"QUERY id1 WRITE a ", OVERSIZED_BYTES))


def pipeline_statements(client: Client) -> None:
    """Send many statements without reading the answers."""
    client.open_session()
    client.send(
        b"".join(b"QUERY id%d SET name value\r\n" % item for item in range(PIPELINED_STATEMENTS))
    )


def pipeline_writes(client: Client) -> None:
    """Send statements with long values without reading the answers."""
    client.open_session()
    for item in range(PIPELINED_WRITES):
        client.send(b"QUERY id%d WRITE a %s\r\n" % (item, b"x" * PIPELINED_WRITE_BYTES))


def send_slowly(client: Client) -> None:
    """Send a statement a few bytes at a time, and never its end."""
    client.open_session()
    client.send(b"QUERY id1 WRITE a ")
    for _ in range(SLOW_PIECES):
        client.send(b"x" * SLOW_PIECE_BYTES)
        gevent.sleep(SLOW_PAUSE_S)


def read_slowly(client: Client) -> None:
    """Ask for long answers and read one byte of them now and then."""
    client.open_session()
    for item in range(LARGE_READS):
        client.send(b"QUERY id%d READ size%d\r\n" % (item, LARGE_ROW_BYTES))
    for _ in range(SLOW_PIECES):
        client.socket.recv(1)
        gevent.sleep(SLOW_PAUSE_S)


def stop_halfway(client: Client) -> None:
    """Open a session and stop in the middle of a short statement."""
    client.open_session()
    client.send(b"QUERY id1 REA")


def set_new_values(client: Client) -> None:
    """Set new names to long values again and again."""
    client.open_session()
    for item in range(NEW_NAMES):
        client.send(b"QUERY id%d SET n%d %s\r\n" % (item, item, b"x" * NEW_VALUE_BYTES))
        client.read_until(b"READY I -\r\n")


def prepare_new_statements(client: Client) -> None:
    """Prepare long statements under new names again and again."""
    client.open_session()
    for item in range(NEW_NAMES):
        client.send(b"QUERY id%d PREPARE n%d READ %s\r\n" % (item, item, b"x" * NEW_VALUE_BYTES))
        client.read_until(b"READY I -\r\n")


def leave_head_unfinished(client: Client) -> None:
    """Send the head of an HTTP request without its end."""
    client.send(_message(b"POST /Config.Replace HTTP/1.1\r\nX-Long: ", HEAD_BYTES))


def leave_body_unfinished(client: Client) -> None:
    """Send an HTTP request of legal size without the last byte of its body."""
    client.send(_http_request()[:-1])


def send_body(client: Client) -> None:
    """Send an HTTP request of legal size, the last byte of its body after a pause."""
    content = _http_request()
    client.send(content[:-1])
    gevent.sleep(QUIET_S / 2)
    client.send(content[-1:])
    client.read_until(b"}")


@functools.cache
def _message(start: bytes, size: int) -> bytes:
    """Return a long message that all clients of a crowd share."""
    return start + b"x" * size


@functools.cache
def _http_request() -> bytes:
    start, end = b'{"version":1,"padding":"', b'"}'
    body = start + b"x" * (BODY_BYTES - len(start) - len(end)) + end
    head = b"POST /Config.Replace HTTP/1.1\r\nHost: control\r\nContent-Length: %d\r\n\r\n"
    return head % len(body) + body
