"""Relays statements to the home VMs of endpoints, and runs the statements that other VMs relay."""

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
from gentianspread_core.errors import ErrorCode, Refusal

from .connections import RequestNotSentError, ResponseLostError
from .front import HttpFrontend
from .peers import PeerClient
from .sessions import ExchangeRunner
from .waiting import Waiter
from .wsgi import decode_json_object, encode_json

log = logging.getLogger(__name__)

RELAY_PATH = "/peer/relay"
RELEASE_PATH = "/peer/release"
PEER_CREDENTIAL = "peer"
RELAY_TIMEOUT_MARGIN_S = 0.15  # the round trip between two busy VMs
UNREADABLE = (KeyError, TypeError, ValueError, AttributeError)  # from decoding a reply
LOST_REPLY_MARGIN_S = 1.0  # after the statement's own limit, when the sender has given up
RELEASE_TIMEOUT_S = 0.5  # a home that misses the release ends the transaction once it is idle


class RelayingRunner:
    """Runs exchanges on connections of this VM, or on those of an endpoint's home VM.

    `_in_transaction` holds, by connection number, the connections whose transaction is open at the
    home VM.
    """

    __slots__ = ("board", "driver", "client", "_incarnation", "_in_transaction")

    def __init__(
        self, board: Board, driver: ExchangeRunner, client: PeerClient, incarnation: int
    ) -> None:
        self.board = board
        self.driver = driver
        self.client = client
        self._incarnation = incarnation
        self._in_transaction: dict[int, BackendConnection] = {}
        board.changes.subscribe(Topic.INTENT_POSTED, self._on_intent)

    def run(self, request: SessionRequest) -> None:
        """Run a request's exchange in the calling greenlet and post its reply."""
        exchange = request.exchange
        if not isinstance(exchange, SessionExchange) or exchange.connection.home is None:
            self.driver.run(request)
            return
        reply = SessionReply(ExchangeStatus.LOST)
        exchange.reply = reply
        connection = exchange.connection
        try:
            self._relay(request, exchange, reply)
        except RequestNotSentError as error:
            reply.status, reply.message, reply.home_failed = (
                ExchangeStatus.NOT_SENT,
                str(error),
                True,
            )
        except (ResponseLostError, *UNREADABLE) as error:
            reply.status, reply.code, reply.keeps_transaction = ExchangeStatus.LOST, "", False
            reply.was_sent, reply.message, reply.home_failed = True, str(error), True
            if isinstance(error, UNREADABLE):
                self.board.timeline.record_error("relayed reply", error)
        if reply.keeps_transaction:
            self._in_transaction[connection.number] = connection
        else:
            removed = self._in_transaction.pop(connection.number, None)
            if removed is not None and reply.home_failed:
                gevent.spawn(self._release, connection)
        self.board.post(Topic.EXCHANGE_ENDED, request)

    def _relay(
        self, request: SessionRequest, exchange: SessionExchange, reply: SessionReply
    ) -> None:
        connection = exchange.connection
        relayed = RelayedStatement.from_request(
            request,
            self._handle_of(connection),
            self.board.clock.now(),
            self.board.settings.schedules_by_priority,
        )
        response = self.client.request(
            connection.home.address,
            RELAY_PATH,
            escape(relayed.to_record()),
            max(exchange.timeout_s, 0.0) + RELAY_TIMEOUT_MARGIN_S,
        )
        load_reply(reply, unescape(response))

    def _handle_of(self, connection: BackendConnection) -> str:
        return f"{self.board.settings.member}/{self._incarnation}/{connection.number}"

    def _on_intent(self, intent: object) -> None:
        if isinstance(intent, ConnectionClose):
            connection = self._in_transaction.pop(intent.number, None)
            if connection is not None:
                gevent.spawn(self._release, connection)

    def _release(self, connection: BackendConnection) -> None:
        """Ask the home to end a transaction."""
        message = {"handle": self._handle_of(connection)}
        try:
            self.client.request(connection.home.address, RELEASE_PATH, message, RELEASE_TIMEOUT_S)
        except (RequestNotSentError, ResponseLostError) as error:
            log.info("releasing a transaction at %s failed: %s", connection.home.name, error)


class RelayServer:
    """Runs the statements that other VMs relay, and ends their transactions on request."""

    __slots__ = ("board", "runner")

    def __init__(self, board: Board, runner: ExchangeRunner) -> None:
        self.board = board
        self.runner = runner
        board.changes.subscribe(Topic.RELAY_ANSWERED, self._on_answered)

    def add_to(self, front: HttpFrontend) -> None:
        """Add the routes to an HTTP front end."""
        front.add(RELAY_PATH, self.run_statement, PEER_CREDENTIAL)
        front.add(RELEASE_PATH, self.release_transaction, PEER_CREDENTIAL)

    def run_statement(self, body: bytes) -> bytes:
        """Run one statement and return the endpoint's reply."""
        relayed = RelayedStatement.from_record(unescape(decode_json_object(body)))
        waiter = Waiter()
        relayed.waiter = waiter
        give_up_at = self.board.clock.now() + relayed.timeout_s + LOST_REPLY_MARGIN_S
        self.board.post(Topic.RELAY_RECEIVED, relayed)
        try:
            while relayed.reply is None:
                request: Any = waiter.take_assigned()
                remaining_s = give_up_at - self.board.clock.now()
                if request is not None:
                    self.runner.run(request)
                elif remaining_s > 0:
                    waiter.wait(remaining_s)
                else:
                    raise Refusal(ErrorCode.OUTCOME_UNKNOWN, "No controller answered in time.")
        finally:
            self.board.post(Topic.RELAY_ENDED, relayed)
        return encode_json(escape(reply_to_record(relayed.reply)))

    def release_transaction(self, body: bytes) -> bytes:
        """End the transaction of a handle."""
        self.board.post(Topic.RELAY_RELEASED, decode_json_object(body)["handle"])
        return b"{}"

    def _on_answered(self, relayed: RelayedStatement) -> None:
        relayed.waiter.wake()


def escape(value: Any) -> Any:
    """Return a value that JSON can carry: endpoints' texts may hold bytes that are not UTF-8."""
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
    """Reverse `escape`."""
    if isinstance(value, str):
        if value.isascii():
            return value
        return value.encode("latin-1").decode("utf-8", "surrogateescape")
    if isinstance(value, dict):
        return {unescape(name): unescape(item) for name, item in value.items()}
    if isinstance(value, list):
        return [unescape(item) for item in value]
    return value
