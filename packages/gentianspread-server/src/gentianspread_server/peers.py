"""Links to the other VMs: signed JSON over kept connections, one sender a VM."""

from __future__ import annotations

import hashlib
import hmac
import logging
import time
import zlib
from collections import deque
from typing import Any

import gevent
import orjson
from gentianspread_core.blackboard import Board
from gentianspread_core.blackboard.messages import Message
from gevent.event import Event

from .connections import Connection, RequestNotSentError, ResponseLostError, build_request_head

log = logging.getLogger(__name__)

MESSAGES_PATH = "/peer/messages"
SIGNATURE_HEADER = "X-Fleet-Signature"
SIGNATURE_VARIABLE = "HTTP_X_FLEET_SIGNATURE"
PEER_LIMIT_S = 0.5
CONNECT_LIMIT_S = 0.25  # seconds; a lost opening packet is sent again only after a second
COMPRESS_FROM_BYTES = 1000  # bytes; shorter messages gain less than their header
COMPRESSION_LEVEL = 6  # the library's own balance of time and size
COMPRESSED_START = b"x"  # first byte of a zlib stream; JSON never begins with it
MOST_QUEUED_MESSAGES = 64
RECONNECT_PAUSE_S = 0.1
IDLE_LINK_S = 5.0


def encode_body(message: object) -> bytes:
    """Return the JSON of a message between VMs, compressed if it is long."""
    body = orjson.dumps(message)
    if len(body) < COMPRESS_FROM_BYTES:
        return body
    return zlib.compress(body, COMPRESSION_LEVEL)


def plain_body(body: bytes) -> bytes:
    """Return the JSON of a body; raises `zlib.error` if it is neither JSON nor compressed JSON."""
    return zlib.decompress(body) if body[:1] == COMPRESSED_START else body


class FleetSigner:
    """Signs and checks the bodies of messages between VMs with the fleet's secret."""

    __slots__ = ("_key",)

    def __init__(self, secret: str) -> None:
        self._key = hashlib.sha256(b"fleet message" + secret.encode()).digest()

    def sign(self, path: str, body: bytes) -> str:
        """Return the signature of a message to a path."""
        return hmac.digest(self._key, path.encode() + b"\n" + body, "sha256").hex()

    def is_valid(self, path: str, body: bytes, signature: str) -> bool:
        """Tell whether a message was signed by this fleet."""
        return hmac.compare_digest(self.sign(path, body).encode(), signature.encode())


class Addresses:
    """Where the VMs are: the seeds, and the configuration's members over them.

    Where VMs are named by their addresses, a voter is reached even while nothing else of it is
    known, as after a restart of all control VMs.
    """

    __slots__ = ("board", "seeds", "names_are_addresses")

    def __init__(
        self, board: Board, seeds: dict[str, str], names_are_addresses: bool = False
    ) -> None:
        self.board = board
        self.seeds = seeds
        self.names_are_addresses = names_are_addresses

    def of(self, name: str) -> str | None:
        """Return a VM's address, or none if it is not known."""
        member = self.board.configuration.members.get(name)
        if member is not None:
            return member.address
        return self.seeds.get(name, name if self.names_are_addresses else None)


class PeerClient:
    """Exchanges with other VMs over kept connections."""

    __slots__ = ("signer", "sent_bytes", "received_bytes", "_idle")

    def __init__(self, signer: FleetSigner) -> None:
        self.signer = signer
        self.sent_bytes = 0
        self.received_bytes = 0
        self._idle: dict[str, list[Connection]] = {}

    def ask(
        self,
        address: str,
        path: str,
        message: object,
        limit: float,
    ) -> Any:
        """Send a message and return the answer, within the limit in seconds."""
        give_up_at = time.monotonic() + limit
        body = encode_body(message)
        headers = f"{SIGNATURE_HEADER}: {self.signer.sign(path, body)}\r\n"
        connection = self._take(address, min(limit, CONNECT_LIMIT_S))
        head = build_request_head(path, address, headers)
        answer = connection.exchange(head, body, max(0.0, give_up_at - time.monotonic()))
        self.sent_bytes += len(head) + len(body)
        self.received_bytes += len(answer)
        connection.last_used = time.monotonic()
        self._idle.setdefault(address, []).append(connection)
        try:
            return orjson.loads(plain_body(answer))
        except (orjson.JSONDecodeError, zlib.error) as error:
            raise ResponseLostError("the answer is not JSON") from error

    def _take(self, address: str, limit: float) -> Connection:
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            is_recent = time.monotonic() - connection.last_used < IDLE_LINK_S
            if is_recent and connection.is_open():
                return connection
            connection.close()
        connection = Connection(address)
        connection.open(limit)
        return connection


class PeerSender:
    """Sends control messages to one VM in order; messages that do not get through are dropped."""

    __slots__ = ("name", "addresses", "client", "board", "_queue", "_event", "_greenlet")

    def __init__(self, name: str, addresses: Addresses, client: PeerClient, board: Board) -> None:
        self.name = name
        self.addresses = addresses
        self.client = client
        self.board = board
        self._queue: deque[Message] = deque(maxlen=MOST_QUEUED_MESSAGES)
        self._event = Event()
        self._greenlet = gevent.spawn(self._run)

    def send(self, message: Message) -> None:
        """Queue a message; the oldest is dropped beyond the bound."""
        self._queue.append(message)
        self._event.set()

    def stop(self) -> None:
        """End the sender."""
        self._greenlet.kill(block=False)

    def _run(self) -> None:
        while True:
            self._event.wait()
            self._event.clear()
            messages = list(self._queue)
            self._queue.clear()
            if messages:
                self._deliver(messages)

    def _deliver(self, messages: list[Message]) -> None:
        address = self.addresses.of(self.name)
        if address is None:
            return
        timeline = self.board.timeline
        body = {
            "messages": [message.to_record() for message in messages],
            "stamp": [timeline.wall_ms, timeline.counter],
        }
        try:
            self.client.ask(address, MESSAGES_PATH, body, PEER_LIMIT_S)
        except (RequestNotSentError, ResponseLostError):
            gevent.sleep(RECONNECT_PAUSE_S)
