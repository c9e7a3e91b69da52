"""Hands statements over to the VMs that hold the connections for them, and runs those of others."""

from __future__ import annotations

import logging
from typing import Any

import gevent
from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.connections import BackendConnection
from gentianspread_core.blackboard.outbox import ConnectionClose
from gentianspread_core.blackboard.relays import RelayedStatement, load_reply, reply_to_record
from gentianspread_core.blackboard.requests import ExchangeStatus
from gentianspread_core.blackboard.sessions import SessionExchange, SessionReply, SessionRequest

from .connections import RequestNotSentError, ResponseLostError
from .front import HttpFrontend
from .peers import PeerClient
from .sessions import ExchangeRunner
from .waiting import Waiter
from .wsgi import decode_json_object, encode_json

log = logging.getLogger(__name__)

RELAY_PATH = "/peer/relay"
RELEASE_PATH = "/peer/release"
PEER = "peer"
LINK_MARGIN_S = 0.15  # seconds; both ways between two VMs that are busy
RELEASE_LIMIT_S = 0.5  # seconds; a home that misses it ends the transaction when it is idle


class RelayingRunner:
    """Carries out exchanges: on connections of this VM, or through the VM that holds one."""

    __slots__ = ("board", "driver", "client", "_incarnation", "_held")

    def __init__(
        self, board: Board, driver: ExchangeRunner, client: PeerClient, incarnation: int
    ) -> None:
        self.board = board
        self.driver = driver
        self.client = client
        self._incarnation = incarnation
        self._held: dict[int, BackendConnection] = {}
        board.changes.subscribe(Topic.INTENT_POSTED, self._on_intent)

    def run(self, request: SessionRequest) -> None:
        """Carry out a request's exchange in the calling greenlet and post its reply."""
        exchange = request.exchange
        if not isinstance(exchange, SessionExchange) or exchange.connection.home is None:
            self.driver.run(request)
            return
        reply = SessionReply(ExchangeStatus.LOST)
        exchange.reply = reply
        connection = exchange.connection
        try:
            self._hand_over(request, exchange, reply)
        except RequestNotSentError as error:
            reply.status, reply.message, reply.home_failed = (
                ExchangeStatus.NOT_SENT,
                str(error),
                True,
            )
        except ResponseLostError as error:
            reply.was_sent, reply.message, reply.home_failed = True, str(error), True
        if reply.keeps_transaction:
            self._held[connection.number] = connection
        else:
            was_held = self._held.pop(connection.number, None)
            if was_held is not None and reply.home_failed:
                gevent.spawn(self._release, connection)
        self.board.post(Topic.EXCHANGE_ENDED, request)

    def _hand_over(
        self, request: SessionRequest, exchange: SessionExchange, reply: SessionReply
    ) -> None:
        connection = exchange.connection
        order = RelayedStatement.from_request(
            request, self._handle(connection), self.board.clock.now()
        )
        answer = self.client.ask(
            connection.home.address,
            RELAY_PATH,
            escape(order.to_record()),
            max(exchange.limit, 0.0) + LINK_MARGIN_S,
        )
        load_reply(reply, unescape(answer))

    def _handle(self, connection: BackendConnection) -> str:
        return f"{self.board.settings.member}/{self._incarnation}/{connection.number}"

    def _on_intent(self, intent: object) -> None:
        if isinstance(intent, ConnectionClose):
            connection = self._held.pop(intent.number, None)
            if connection is not None:
                gevent.spawn(self._release, connection)

    def _release(self, connection: BackendConnection) -> None:
        """Have the home end a transaction."""
        message = {"handle": self._handle(connection)}
        try:
            self.client.ask(connection.home.address, RELEASE_PATH, message, RELEASE_LIMIT_S)
        except (RequestNotSentError, ResponseLostError) as error:
            log.info("%s does not release a transaction: %s", connection.home.name, error)


class RelayServer:
    """Runs what other VMs hand over."""

    __slots__ = ("board", "runner", "running")

    def __init__(self, board: Board, runner: ExchangeRunner) -> None:
        self.board = board
        self.runner = runner
        self.running = 0
        board.changes.subscribe(Topic.RELAY_ANSWERED, self._on_answered)

    def add_to(self, front: HttpFrontend) -> None:
        """Serve the paths on a front."""
        front.add(RELAY_PATH, self.take, PEER)
        front.add(RELEASE_PATH, self.release, PEER)

    def take(self, body: bytes) -> bytes:
        """Run one statement and return the endpoint's answer."""
        order = RelayedStatement.from_record(unescape(decode_json_object(body)))
        waiter = Waiter()
        order.waiter = waiter
        self.running += 1
        try:
            self.board.post(Topic.RELAY_ARRIVED, order)
            while order.reply is None:
                request: Any = waiter.take_assigned()
                if request is not None:
                    self.runner.run(request)
                else:
                    waiter.wait()
        finally:
            self.running -= 1
        return encode_json(escape(reply_to_record(order.reply)))

    def is_busy(self) -> bool:
        """Tell whether statements or transactions of other VMs' callers are under way."""
        return bool(self.running or self.board.relays.transactions)

    def release(self, body: bytes) -> bytes:
        """End a transaction."""
        self.board.post(Topic.RELAY_RELEASED, decode_json_object(body)["handle"])
        return b"{}"

    def _on_answered(self, order: RelayedStatement) -> None:
        order.waiter.wake()


def escape(value: Any) -> Any:
    """Return plain types that JSON can carry: texts of endpoints may hold any bytes."""
    if isinstance(value, str):
        if value.isascii():
            return value
        return value.encode("utf-8", "surrogateescape").decode("latin-1")
    if isinstance(value, dict):
        return {escape(name): escape(item) for name, item in value.items()}
    if isinstance(value, list):
        return [escape(item) for item in value]
    return value


def unescape(value: Any) -> Any:
    """Return the texts as they were before `escape`."""
    if isinstance(value, str):
        if value.isascii():
            return value
        return value.encode("latin-1").decode("utf-8", "surrogateescape")
    if isinstance(value, dict):
        return {unescape(name): unescape(item) for name, item in value.items()}
    if isinstance(value, list):
        return [unescape(item) for item in value]
    return value
