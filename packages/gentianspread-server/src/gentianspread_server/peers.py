"""Messages to other VMs: signed JSON over pooled connections, with one send queue per VM.

`terse` has the short form in which they travel between VMs that both know it.
"""

from __future__ import annotations

import hashlib
import hmac
import logging
import time
import zlib
from collections import deque
from random import Random
from typing import Any

import gevent
import orjson
from gentianspread_core.blackboard import Board
from gentianspread_core.blackboard.messages import Message
from gevent.event import Event

from . import terse
from .connections import Connection, RequestNotSentError, ResponseLostError, build_request_head
from .guards import run_for_ever
from .traffic import TrafficCounters

log = logging.getLogger(__name__)

MESSAGES_PATH = "/peer/messages"
SIGNATURE_HEADER = "X-Fleet-Signature"
SIGNATURE_VARIABLE = "HTTP_X_FLEET_SIGNATURE"
MESSAGES_TIMEOUT_S = 0.5
CONNECT_TIMEOUT_S = 0.25  # TCP sends a lost SYN packet again only after a second
MIN_COMPRESSED_BYTES = 1000  # below this, compression saves less than the size of the header
COMPRESSION_LEVEL = 6  # the default of zlib
ZLIB_FIRST_BYTE = b"x"  # JSON never begins with it
MAX_QUEUED_MESSAGES = 64
RETRY_DELAY_S = 0.1
IDLE_CONNECTION_TIMEOUT_S = 5.0
TERSE_SIGNATURE_BYTES = 16
RESPONSE_HEAD_BYTES = 38  # of a response in the short form, for the traffic counters


def compress_long_body(body: bytes) -> bytes:
    """Return a JSON body, compressed if it is long."""
    if len(body) < MIN_COMPRESSED_BYTES:
        return body
    return zlib.compress(body, COMPRESSION_LEVEL)


def decompress_body(body: bytes) -> bytes:
    """Return the JSON of a body in any form; raises `zlib.error` if it is damaged."""
    if terse.is_terse(body):
        return terse.decompress(body[len(terse.MARKER) :])
    return zlib.decompress(body) if body[:1] == ZLIB_FIRST_BYTE else body


class FleetSigner:
    """Signs and verifies the messages between VMs with a key derived from the fleet's secret."""

    __slots__ = ("_key",)

    def __init__(self, secret: str) -> None:
        self._key = hashlib.sha256(b"fleet message" + secret.encode()).digest()

    def sign(self, path: str, body: bytes) -> str:
        """Return the signature of a message to a path."""
        return hmac.digest(self._key, path.encode() + b"\n" + body, "sha256").hex()

    def is_valid(self, path: str, body: bytes, signature: str) -> bool:
        """Return whether a signature was made with the fleet's secret."""
        return hmac.compare_digest(self.sign(path, body).encode(), signature.encode())

    def encode_terse(self, path: str, json_body: bytes) -> bytes:
        """Return a signed message to a path in the short form."""
        payload = terse.compress(json_body)
        return terse.MARKER + self._terse_signature(path, payload) + payload

    def decode_terse(self, path: str, body: bytes) -> bytes | None:
        """Return the JSON of a signed short message, or none if its signature is not valid.

        Raises `zlib.error` if the message is damaged.
        """
        start = len(terse.MARKER) + TERSE_SIGNATURE_BYTES
        signature, payload = body[len(terse.MARKER) : start], body[start:]
        if not hmac.compare_digest(self._terse_signature(path, payload), signature):
            return None
        return terse.decompress(payload)

    def _terse_signature(self, path: str, payload: bytes) -> bytes:
        digest = hmac.digest(self._key, terse.MARKER + path.encode() + b"\n" + payload, "sha256")
        return digest[:TERSE_SIGNATURE_BYTES]


class PeerAddresses:
    """Resolves VM names to addresses: members of the configuration first, then the seeds.

    With `names_are_addresses`, a name that neither lists is its own address. So voters can be
    reached after a restart of all control VMs, when the configuration is not known yet.
    """

    __slots__ = ("board", "seeds", "names_are_addresses")

    def __init__(
        self, board: Board, seeds: dict[str, str], names_are_addresses: bool = False
    ) -> None:
        self.board = board
        self.seeds = seeds
        self.names_are_addresses = names_are_addresses

    @classmethod
    def from_seeds(cls, board: Board, seeds: list[str], randomness: Random) -> PeerAddresses:
        """Build from seeds that are named by their address; each VM gets its own random order.

        After a restart of all VMs, the first polls are so divided over the seeds.
        """
        shuffled = randomness.sample(seeds, len(seeds))
        return cls(board, {seed: seed for seed in shuffled}, names_are_addresses=True)

    def resolve(self, name: str) -> str | None:
        """Return the address of a VM, or none if it is unknown."""
        member = self.board.configuration.members.get(name)
        if member is not None:
            return member.address
        return self.seeds.get(name, name if self.names_are_addresses else None)


class PeerConnection(Connection):
    """A connection to another VM; `is_terse` is set once that VM has answered in the short form."""

    __slots__ = ("is_terse",)

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.is_terse = False


class PeerClient:
    """Sends requests to other VMs over pooled connections."""

    __slots__ = ("signer", "traffic", "_idle_connections")

    def __init__(self, signer: FleetSigner) -> None:
        self.signer = signer
        self.traffic = TrafficCounters()
        self._idle_connections: dict[str, list[PeerConnection]] = {}

    def request(
        self,
        address: str,
        path: str,
        message: object,
        timeout_s: float,
    ) -> Any:
        """Send a message and return the response, an object; the timeout includes connecting."""
        deadline = time.monotonic() + timeout_s
        json_body = _encode_message(message)
        connection = self._acquire(address, min(timeout_s, CONNECT_TIMEOUT_S))
        head, body = self._encode(connection, path, json_body)
        response = connection.exchange(head, body, max(0.0, deadline - time.monotonic()))
        self.traffic.count(
            path, address, len(head) + len(body), len(response) + RESPONSE_HEAD_BYTES
        )
        connection.is_terse = terse.is_terse(response)
        connection.last_used = time.monotonic()
        self._idle_connections.setdefault(address, []).append(connection)
        try:
            decoded = orjson.loads(decompress_body(response))
        except (orjson.JSONDecodeError, zlib.error) as error:
            raise ResponseLostError("the answer is not JSON") from error
        if not isinstance(decoded, dict):
            raise ResponseLostError("the answer is not an object")
        return decoded

    def _encode(
        self, connection: PeerConnection, path: str, json_body: bytes
    ) -> tuple[bytes, bytes]:
        """Return a request's head, up to the value of its Content-Length header, and its body."""
        if connection.is_terse:
            head = build_request_head(path, connection.address, content_type="")
            return head, self.signer.encode_terse(path, json_body)
        body = compress_long_body(json_body)
        headers = (
            f"{SIGNATURE_HEADER}: {self.signer.sign(path, body)}\r\n"
            f"{terse.OFFER_HEADER}: {terse.FORMAT}\r\n"
        )
        return build_request_head(path, connection.address, headers), body

    def _acquire(self, address: str, timeout_s: float) -> PeerConnection:
        connections = self._idle_connections.get(address, [])
        while connections:
            connection = connections.pop()
            is_recent = time.monotonic() - connection.last_used < IDLE_CONNECTION_TIMEOUT_S
            if is_recent and connection.is_open():
                return connection
            connection.close()
        connection = PeerConnection(address)
        connection.open(timeout_s)
        return connection


def _encode_message(message: object) -> bytes:
    try:
        return orjson.dumps(message)
    except TypeError as error:
        raise RequestNotSentError(f"the message cannot be encoded: {error}") from error


class PeerSender:
    """Sends queued control messages to one VM in order, and drops those that it fails to send."""

    __slots__ = ("name", "addresses", "client", "board", "_queue", "_queued", "_greenlet")

    def __init__(
        self, name: str, addresses: PeerAddresses, client: PeerClient, board: Board
    ) -> None:
        self.name = name
        self.addresses = addresses
        self.client = client
        self.board = board
        self._queue: deque[Message] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self._queued = Event()
        self._greenlet = gevent.spawn(run_for_ever, board, "messages", self._send_next)

    def send(self, message: Message) -> None:
        """Queue a message; a full queue drops its oldest one."""
        self._queue.append(message)
        self._queued.set()

    def stop(self) -> None:
        """Stop sending."""
        self._greenlet.kill(block=False)

    def _send_next(self) -> None:
        self._queued.wait()
        self._queued.clear()
        messages = list(self._queue)
        self._queue.clear()
        if messages:
            self._send_all(messages)

    def _send_all(self, messages: list[Message]) -> None:
        address = self.addresses.resolve(self.name)
        if address is None:
            return
        timeline = self.board.timeline
        body = {
            "messages": [message.to_record() for message in messages],
            "stamp": [timeline.wall_ms, timeline.counter],
        }
        try:
            self.client.request(address, MESSAGES_PATH, body, MESSAGES_TIMEOUT_S)
        except (RequestNotSentError, ResponseLostError):
            gevent.sleep(RETRY_DELAY_S)
