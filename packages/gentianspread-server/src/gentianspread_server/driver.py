"""Endpoint driver: carries out exchanges, probes, watches and orders over HTTP with JSON."""

from __future__ import annotations

import logging
import time
from typing import Any

import orjson
from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.outbox import (
    EndpointOrder,
    PoolFlush,
    ProbeOrder,
    TransactionRelease,
    WatchOrder,
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
from .pools import CONNECT_LIMIT_S, IDLE_CHECK_S, ConnectionPools

log = logging.getLogger(__name__)

STATEMENT_PATH = "/statement"
STATUS_PATH = "/status"
WATCH_PATH = "/watch"
ORDER_PATH = "/order"
CHECK_LIMIT_S = 0.3
WATCH_MARGIN_S = 0.3
STATUSES = {
    "ok": ExchangeStatus.OK,
    "refused": ExchangeStatus.REFUSED,
    "failed": ExchangeStatus.FAILED,
}


class EndpointDriver:
    """Talks to endpoints on behalf of one VM's board."""

    __slots__ = ("board", "pools", "_heads")

    def __init__(self, board: Board) -> None:
        self.board = board
        self.pools = ConnectionPools()
        self._heads: dict[str, bytes] = {}

    def run(self, request: Request) -> None:
        """Carry out a request's exchange in the calling greenlet and post its reply."""
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

    def probe(self, order: ProbeOrder) -> None:
        """Ask an endpoint how it is and post the answer.

        The endpoint controller needs a fresh connection; the failover controller's many probes
        keep theirs, and a failed one closes it, so that the next is fresh.
        """
        try:
            if order.purpose == PROBE_PURPOSE:
                status: Any = post_json(order.address, STATUS_PATH, {}, order.limit)
            else:
                status = self._probe_kept(order)
            order.term = status["term"]
            order.position = Position.from_pair(status["position"])
            order.is_primary = status["is_primary"]
            order.follows = status["follows"]
            order.alive = True
        except (RequestNotSentError, ResponseLostError, KeyError, TypeError):
            order.alive = False
        self.board.post(Topic.PROBE_ENDED, order)

    def watch(self, order: WatchOrder) -> None:
        """Wait until a replica has received a position and post what it has."""
        endpoint = self.board.endpoints.by_name.get(order.endpoint)
        if endpoint is not None:
            message = {
                "term": order.term,
                "position": order.position.to_pair(),
                "wait_ms": order.wait * 1000,
            }
            try:
                answer = self._ask_watch(order.endpoint, message, order.wait)
                order.reached = Position.from_pair(answer["reached"]) if answer["reached"] else None
            except (RequestNotSentError, ResponseLostError, KeyError, TypeError):
                order.reached = None
        self.board.post(Topic.WATCH_ENDED, order)

    def order(self, order: EndpointOrder) -> None:
        """Fence, promote or have an endpoint follow, and post whether it accepted."""
        message = {
            "kind": order.kind.value,
            "term": order.term,
            "primary_address": order.primary_address,
        }
        try:
            answer: Any = post_json(order.address, ORDER_PATH, message, order.limit)
            order.accepted = answer["accepted"]
            order.position = Position.from_pair(answer["position"])
        except (RequestNotSentError, ResponseLostError, KeyError, TypeError):
            order.accepted = False
        self.board.post(Topic.ORDER_ENDED, order)

    def release(self, release: TransactionRelease) -> None:
        """Give back or close the connection that a transaction kept."""
        self.pools.release(release.transaction, release.endpoint, release.close)

    def flush(self, flush: PoolFlush) -> None:
        """Close an endpoint's idle connections."""
        self.pools.flush(flush.endpoint, flush.before)

    def _exchange(self, request: Request) -> Reply:
        exchange = request.exchange
        endpoint = self.board.endpoints.by_name.get(request.endpoint or "")
        if exchange is None or endpoint is None:
            raise RequestNotSentError("the endpoint is not known")
        if request.transaction is not None:
            return self._in_transaction(request, endpoint.address)
        pool = self.pools.pool(endpoint.name, endpoint.address)
        connection = pool.take()
        self._make_ready(connection)
        reply = self._send(connection, request, endpoint.address)
        if request.kind is StatementKind.BEGIN and reply.status is ExchangeStatus.OK:
            self.pools.keep(f"{self.board.settings.member}.{exchange.number}", connection)
        else:
            pool.give_back(connection)
        return reply

    def _in_transaction(self, request: Request, address: str) -> Reply:
        connection = self.pools.by_transaction.get(request.transaction or "")
        if connection is None:
            raise RequestNotSentError("the transaction's connection is gone")
        return self._send(connection, request, address)

    def _make_ready(self, connection: Connection) -> None:
        """Connect a new connection; check one that has long been idle before it is trusted."""
        if not connection.opened:
            connection.open(CONNECT_LIMIT_S)
            return
        if time.monotonic() - connection.last_used < IDLE_CHECK_S:
            return
        try:
            connection.exchange(self._head(STATUS_PATH, connection.address), b"{}", CHECK_LIMIT_S)
        except ResponseLostError:
            self._open_again(connection)

    def _open_again(self, connection: Connection) -> None:
        connection.close()
        connection.open(CONNECT_LIMIT_S)

    def _send(self, connection: Connection, request: Request, address: str) -> Reply:
        exchange = request.exchange
        if exchange is None:
            raise RequestNotSentError("there is no exchange")
        body = orjson.dumps(self._message(request))
        answer = connection.exchange(self._head(STATEMENT_PATH, address), body, exchange.limit)
        try:
            return read_reply(answer, exchange.number)
        except ResponseLostError:
            connection.close()
            raise

    def _message(self, request: Request) -> dict[str, Any]:
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
            message["wait_ms"] = exchange.wait * 1000
            if request.token is not None:
                message["at_least"] = request.token.position(request.group).to_pair()
        return message

    def _probe_kept(self, order: ProbeOrder) -> Any:
        pool = self.pools.probe_pool(order.endpoint, order.address)
        connection = pool.take()
        if not connection.opened:
            connection.open(order.limit)
        answer = connection.exchange(self._head(STATUS_PATH, order.address), b"{}", order.limit)
        pool.give_back(connection)
        return _load(answer)

    def _ask_watch(self, name: str, message: object, wait: float) -> Any:
        endpoint = self.board.endpoints.by_name[name]
        pool = self.pools.watch_pool(name, endpoint.address)
        connection = pool.take()
        self._make_ready(connection)
        head = self._head(WATCH_PATH, endpoint.address)
        answer = connection.exchange(head, orjson.dumps(message), wait + WATCH_MARGIN_S)
        pool.give_back(connection)
        return _load(answer)

    def _head(self, path: str, address: str) -> bytes:
        key = path + address
        head = self._heads.get(key)
        if head is None:
            head = build_request_head(path, address)
            self._heads[key] = head
        return head


def _load(answer: bytes) -> Any:
    try:
        return orjson.loads(answer)
    except orjson.JSONDecodeError as error:
        raise ResponseLostError("the answer is not JSON") from error


def read_reply(answer: bytes, number: str) -> Reply:
    """Read an endpoint's answer; one that does not fit the exchange counts as lost."""
    try:
        return _build_reply(orjson.loads(answer), number)
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
        raise ResponseLostError(f"the answer does not fit the exchange: {error}") from error


def _build_reply(answer: dict[str, Any], number: str) -> Reply:
    if answer["exchange"] != number:
        raise ValueError("it answers another exchange")
    position = answer["position"]
    return Reply(
        STATUSES[answer["status"]],
        answer["rows"],
        answer["changed"],
        Position.from_pair(position) if position else None,
        answer["age_ms"] / 1000,
        answer["code"],
        answer["message"],
        answer["repeated"],
    )
