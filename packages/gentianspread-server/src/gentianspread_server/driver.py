"""Endpoint driver: JSON over HTTP for statements, probes, watches and commands."""

from __future__ import annotations

import logging
import time
from typing import Any

import orjson
from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.outbox import (
    EndpointCommand,
    EndpointProbe,
    PoolFlush,
    ReplicaWatch,
    TransactionRelease,
)
from gentianspread_core.blackboard.requests import (
    ExchangeStatus,
    Reply,
    Request,
    StatementKind,
)
from gentianspread_core.controllers.endpoints import PROBE_PURPOSE
from gentianspread_core.positions import Position

from .connections import (
    Connection,
    RequestNotSentError,
    ResponseLostError,
    build_request_head,
    post_json,
)
from .pools import CONNECT_TIMEOUT_S, IDLE_CHECK_AFTER_S, ConnectionPools

log = logging.getLogger(__name__)

STATEMENT_PATH = "/statement"
STATUS_PATH = "/status"
WATCH_PATH = "/watch"
COMMAND_PATH = "/order"
IDLE_CHECK_TIMEOUT_S = 0.3
WATCH_TIMEOUT_MARGIN_S = 0.3
UNREADABLE = (KeyError, TypeError, ValueError)  # from decoding a response
STATUS_BY_WIRE_NAME = {
    "ok": ExchangeStatus.OK,
    "refused": ExchangeStatus.REFUSED,
    "failed": ExchangeStatus.FAILED,
}


class EndpointDriver:
    """Carries out the exchanges, probes, watches and commands that one VM's controllers post."""

    __slots__ = ("board", "pools", "_request_heads")

    def __init__(self, board: Board) -> None:
        self.board = board
        self.pools = ConnectionPools()
        self._request_heads: dict[str, bytes] = {}

    def run(self, request: Request) -> None:
        """Send a request to its endpoint from the calling greenlet and post the reply."""
        exchange = request.exchange
        if exchange is None:
            return
        try:
            exchange.reply = self._exchange(request)
        except RequestNotSentError as error:
            exchange.reply = Reply(ExchangeStatus.NOT_SENT, message=str(error))
        except ResponseLostError as error:
            exchange.reply = Reply(ExchangeStatus.LOST, message=str(error))
        except BaseException:
            exchange.reply = Reply(ExchangeStatus.LOST, message="the caller's greenlet ended")
            self.board.post(Topic.EXCHANGE_ENDED, request)
            raise
        self.board.post(Topic.EXCHANGE_ENDED, request)

    def probe(self, probe: EndpointProbe) -> None:
        """Request an endpoint's status and post the result.

        The endpoint controller's health checks open a new connection each time. The failover
        controller probes often and reuses pooled connections; a failed probe closes its
        connection, so that the next one opens a new one.
        """
        try:
            if probe.purpose == PROBE_PURPOSE:
                status: Any = post_json(probe.address, STATUS_PATH, {}, probe.timeout_s)
            else:
                status = self._probe_over_pool(probe)
            probe.term = status["term"]
            probe.position = Position.from_pair(status["position"])
            probe.is_primary = status["is_primary"]
            probe.follows = status["follows"]
            probe.alive = True
        except (RequestNotSentError, ResponseLostError, *UNREADABLE):
            probe.alive = False
        self.board.post(Topic.PROBE_ENDED, probe)

    def watch(self, watch: ReplicaWatch) -> None:
        """Wait until a replica has received a position, or the wait ends, and post its position."""
        endpoint = self.board.endpoints.by_name.get(watch.endpoint)
        if endpoint is not None:
            message = {
                "term": watch.term,
                "position": watch.position.to_pair(),
                "wait_ms": watch.wait_s * 1000,
            }
            try:
                response = self._request_watch(watch.endpoint, message, watch.wait_s)
                watch.reached = (
                    Position.from_pair(response["reached"]) if response["reached"] else None
                )
            except (RequestNotSentError, ResponseLostError, *UNREADABLE):
                watch.reached = None
        self.board.post(Topic.REPLICA_WATCH_ENDED, watch)

    def send_command(self, command: EndpointCommand) -> None:
        """Send a fence, promote or follow command to an endpoint and post whether it accepted."""
        message = {
            "kind": command.kind.value,
            "term": command.term,
            "primary_address": command.primary_address,
        }
        try:
            response: Any = post_json(command.address, COMMAND_PATH, message, command.timeout_s)
            command.accepted = response["accepted"]
            command.position = Position.from_pair(response["position"])
        except (RequestNotSentError, ResponseLostError, *UNREADABLE):
            command.accepted = False
        self.board.post(Topic.ENDPOINT_COMMAND_ENDED, command)

    def release(self, release: TransactionRelease) -> None:
        """Return a transaction's connection to the pool, or close it."""
        self.pools.release_transaction(release.transaction, release.endpoint, release.close)

    def flush(self, flush: PoolFlush) -> None:
        """Close an endpoint's idle connections."""
        self.pools.flush(flush.endpoint, flush.before)

    def _exchange(self, request: Request) -> Reply:
        exchange = request.exchange
        endpoint = self.board.endpoints.by_name.get(request.endpoint or "")
        if exchange is None or endpoint is None:
            raise RequestNotSentError("the endpoint is not known")
        if request.transaction is not None:
            return self._exchange_in_transaction(request, endpoint.address)
        pool = self.pools.statement_pool(endpoint.name, endpoint.address)
        connection = pool.acquire()
        self._ensure_connected(connection)
        reply = self._send(connection, request, endpoint.address)
        if request.kind is StatementKind.BEGIN and reply.status is ExchangeStatus.OK:
            self.pools.bind_transaction(
                f"{self.board.settings.member}.{exchange.number}", connection
            )
        else:
            pool.release(connection)
        return reply

    def _exchange_in_transaction(self, request: Request, address: str) -> Reply:
        connection = self.pools.transaction_connections.get(request.transaction or "")
        if connection is None:
            raise RequestNotSentError("the transaction's connection is gone")
        return self._send(connection, request, address)

    def _ensure_connected(self, connection: Connection) -> None:
        """Open a new connection; check one that was idle for long and reopen it if it is dead."""
        if not connection.opened:
            connection.open(CONNECT_TIMEOUT_S)
            return
        if time.monotonic() - connection.last_used < IDLE_CHECK_AFTER_S:
            return
        try:
            connection.exchange(
                self._request_head(STATUS_PATH, connection.address), b"{}", IDLE_CHECK_TIMEOUT_S
            )
        except ResponseLostError:
            self._reconnect(connection)

    def _reconnect(self, connection: Connection) -> None:
        connection.close()
        connection.open(CONNECT_TIMEOUT_S)

    def _send(self, connection: Connection, request: Request, address: str) -> Reply:
        exchange = request.exchange
        if exchange is None:
            raise RequestNotSentError("there is no exchange")
        body = orjson.dumps(self._build_message(request))
        response = connection.exchange(
            self._request_head(STATEMENT_PATH, address), body, exchange.timeout_s
        )
        try:
            return parse_reply(response, exchange.number)
        except ResponseLostError:
            connection.close()
            raise

    def _build_message(self, request: Request) -> dict[str, Any]:
        exchange = request.exchange
        message: dict[str, Any] = {
            "exchange": exchange.number if exchange else "",
            "kind": request.kind.value,
            "term": exchange.term if exchange else 0,
            "statement": request.statement,
            "parameters": request.parameters,
            "workspace": request.workspace,
        }
        if request.request_id is not None:
            message["request_id"] = request.request_id
        if request.is_read() and exchange is not None:
            message["wait_ms"] = exchange.wait_s * 1000
            if request.token is not None:
                message["at_least"] = request.token.position(request.group).to_pair()
        return message

    def _probe_over_pool(self, probe: EndpointProbe) -> Any:
        pool = self.pools.probe_pool(probe.endpoint, probe.address)
        connection = pool.acquire()
        if not connection.opened:
            connection.open(probe.timeout_s)
        response = connection.exchange(
            self._request_head(STATUS_PATH, probe.address), b"{}", probe.timeout_s
        )
        pool.release(connection)
        return _parse_json(response)

    def _request_watch(self, name: str, message: object, wait: float) -> Any:
        endpoint = self.board.endpoints.by_name[name]
        pool = self.pools.watch_pool(name, endpoint.address)
        connection = pool.acquire()
        self._ensure_connected(connection)
        head = self._request_head(WATCH_PATH, endpoint.address)
        response = connection.exchange(head, orjson.dumps(message), wait + WATCH_TIMEOUT_MARGIN_S)
        pool.release(connection)
        return _parse_json(response)

    def _request_head(self, path: str, address: str) -> bytes:
        key = path + address
        head = self._request_heads.get(key)
        if head is None:
            head = build_request_head(path, address)
            self._request_heads[key] = head
        return head


def _parse_json(response: bytes) -> Any:
    try:
        return orjson.loads(response)
    except orjson.JSONDecodeError as error:
        raise ResponseLostError("the response is not JSON") from error


def parse_reply(response: bytes, exchange_number: str) -> Reply:
    """Decode an endpoint's response; raises `ResponseLostError` if it is not for this exchange."""
    try:
        return _build_reply(orjson.loads(response), exchange_number)
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
        raise ResponseLostError(f"the answer does not fit the exchange: {error}") from error


def _build_reply(response: dict[str, Any], exchange_number: str) -> Reply:
    if response["exchange"] != exchange_number:
        raise ValueError("it answers another exchange")
    position = response["position"]
    return Reply(
        STATUS_BY_WIRE_NAME[response["status"]],
        response["rows"],
        response["changed"],
        Position.from_pair(position) if position else None,
        response["age_ms"] / 1000,
        response["code"],
        response["message"],
        response["repeated"],
    )
