"""Endpoint driver of the line protocol: exchanges of sessions, probes and orders."""

from __future__ import annotations

import logging

import gevent
from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.connections import BackendConnection
from gentianspread_core.blackboard.outbox import (
    ConnectionClose,
    EndpointCommand,
    EndpointCommandKind,
    EndpointProbe,
    PoolFlush,
    ReplicaWatch,
    TransactionRelease,
    UnreachableReason,
)
from gentianspread_core.blackboard.requests import ExchangeStatus
from gentianspread_core.blackboard.sessions import (
    SessionExchange,
    SessionReply,
    SessionRequest,
    Step,
)
from gentianspread_core.controllers.endpoints import PROBE_PURPOSE
from gevent import socket

from ..connections import connect
from .calls import PlatformCalls
from .wire import (
    EndpointAnswer,
    LineSocket,
    ProtocolError,
    decode_status,
    encode_open,
    encode_own,
    encode_step,
    read_answer,
    read_opening,
)

log = logging.getLogger(__name__)

CONNECT_LIMIT_S = 0.6  # seconds; a connection opens in 1 ms and its slot is free within 60 ms
CLEANUP_LIMIT_S = 0.2  # seconds for a rollback after a failed statement; it takes 1 ms
READONLY = "READONLY"
WRONG_ENDPOINT = "WRONGNODE"
FAILED_WORDS = frozenset({"FAILED", "TIMEOUT"})
OPEN_STATE = "T"
IDLE_STATE = "I"
PEEK_BYTES = 1


class NotOpenedError(Exception):
    """No connection could be opened; `word` is the endpoint's refusal, or empty."""

    def __init__(
        self, word: str, message: str, unreachable_reason: UnreachableReason | None = None
    ) -> None:
        super().__init__(message)
        self.word = word
        self.unreachable_reason = (
            UnreachableReason.REPLACED if word == WRONG_ENDPOINT else unreachable_reason
        )


class WireDriver:
    """Talks to endpoints on behalf of one VM's board."""

    __slots__ = ("board", "calls", "_sockets", "_probes")

    def __init__(self, board: Board, calls: PlatformCalls) -> None:
        self.board = board
        self.calls = calls
        self._sockets: dict[int, LineSocket] = {}
        self._probes: dict[tuple[str, str], LineSocket] = {}

    def run(self, request: SessionRequest) -> None:
        """Carry out a request's exchange in the calling greenlet and post its reply."""
        exchange = request.exchange
        if not isinstance(exchange, SessionExchange):
            return
        reply = SessionReply(ExchangeStatus.LOST)
        exchange.reply = reply
        try:
            with gevent.Timeout(max(exchange.limit, 0.0)):
                self._exchange(request, exchange, reply)
        except gevent.Timeout:
            reply.message = "no answer in time"
        except (OSError, ProtocolError) as error:
            reply.message = str(error)
        finally:
            if not reply.is_reusable:
                self.close(ConnectionClose(exchange.connection.number))
            self.board.post(Topic.EXCHANGE_ENDED, request)

    def probe(self, order: EndpointProbe) -> None:
        """Ask an endpoint whether it leads and where its log stands, and post the answer.

        A transaction that is begun and rolled back takes no slot, and only a leading primary
        begins it.
        """
        try:
            with gevent.Timeout(order.limit):
                self._probe(order)
        except gevent.Timeout:
            log.debug("probe of %s got no answer", order.endpoint)
        except NotOpenedError as error:
            order.unreachable_reason = error.unreachable_reason
            log.debug("probe of %s: %s", order.endpoint, error)
        except (OSError, ProtocolError) as error:
            log.debug("probe of %s: %s", order.endpoint, error)
        finally:
            if not order.alive:
                self._drop_probe(order.endpoint, order.purpose)
            self.board.post(Topic.PROBE_ENDED, order)

    def order(self, order: EndpointCommand) -> None:
        """Carry out an order of the promotion controller and post whether it was accepted."""
        if order.kind is EndpointCommandKind.PROMOTE:
            order.accepted = self.calls.promote(
                order.group, order.endpoint, order.fencing_token, order.limit
            )
        else:
            self._order(order)
        self.board.post(Topic.ENDPOINT_COMMAND_ENDED, order)

    def watch(self, order: ReplicaWatch) -> None:
        """Post that nothing was reached: these endpoints confirm commits themselves."""
        self.board.post(Topic.REPLICA_WATCH_ENDED, order)

    def release(self, release: TransactionRelease) -> None:
        """Do nothing: transactions of sessions end with their connections."""

    def flush(self, flush: PoolFlush) -> None:
        """Do nothing: the placement controller closes idle connections one by one."""

    def close(self, intent: ConnectionClose) -> None:
        """Close a connection, if it is open."""
        lines = self._sockets.pop(intent.number, None)
        if lines is not None:
            lines.close()

    def _exchange(
        self, request: SessionRequest, exchange: SessionExchange, reply: SessionReply
    ) -> None:
        for evicted in exchange.evicted:
            self.close(ConnectionClose(evicted.number))
        try:
            lines = self._lines(exchange.connection)
        except NotOpenedError as error:
            reply.status = ExchangeStatus.REFUSED if error.word else ExchangeStatus.NOT_SENT
            reply.code, reply.message = error.word, str(error)
            return
        *setup, last = exchange.rounds
        answer: EndpointAnswer | None = None
        for steps in setup:
            answer = self._send_round(lines, steps)[-1]
            if answer.error:
                self._take_error(lines, exchange, reply, answer)
                return
        reply.was_sent = True
        self._take_answer(lines, exchange, reply, last, self._send_round(lines, last))

    def _send_round(self, lines: LineSocket, steps: list[Step]) -> list[EndpointAnswer]:
        """Send steps at once and return their answers, up to the first error among the setup."""
        lines.send(b"".join([encode_step(step) for step in steps]))
        return [read_answer(lines) for _ in steps]

    def _take_answer(
        self,
        lines: LineSocket,
        exchange: SessionExchange,
        reply: SessionReply,
        steps: list[Step],
        answers: list[EndpointAnswer],
    ) -> None:
        """Fill the reply from the answer to the caller's statement, the one with a number."""
        main = answers[-1]
        for step, answer in zip(steps, answers, strict=True):
            if step.number:
                main = answer
            elif answer.error and step.kind is not exchange.cleanup.kind:
                raise ProtocolError(f"a message of the setup was refused: {answer.error}")
        reply.position = answers[-1].position
        if main.error:
            self._take_error(lines, exchange, reply, main)
            return
        reply.status = ExchangeStatus.OK
        reply.rows = main.rows
        reply.signature = main.signature
        reply.keeps_transaction = answers[-1].state == OPEN_STATE
        reply.is_reusable = answers[-1].state in (IDLE_STATE, OPEN_STATE)

    def _take_error(
        self,
        lines: LineSocket,
        exchange: SessionExchange,
        reply: SessionReply,
        answer: EndpointAnswer,
    ) -> None:
        is_failed = answer.error in FAILED_WORDS
        reply.status = ExchangeStatus.FAILED if is_failed else ExchangeStatus.REFUSED
        reply.code, reply.message = answer.error, answer.message
        reply.position = answer.position
        if answer.state != IDLE_STATE:
            with gevent.Timeout(CLEANUP_LIMIT_S):
                answer = self._send_round(lines, [exchange.cleanup])[-1]
        reply.is_reusable = answer.state == IDLE_STATE

    def _lines(self, connection: BackendConnection) -> LineSocket:
        """Return a connection's socket, opening it if it is new or was closed by the endpoint."""
        lines = self._sockets.get(connection.number)
        if lines is not None:
            if _is_quiet(lines):
                return lines
            self.close(ConnectionClose(connection.number))
            raise NotOpenedError("BUSY", "the endpoint had closed the connection")
        lines = self._open(
            connection.address, connection.group, connection.workspace, connection.endpoint
        )
        self._sockets[connection.number] = lines
        return lines

    def _open(self, address: str, group: str, workspace: str, endpoint: str) -> LineSocket:
        try:
            connected = connect(address, CONNECT_LIMIT_S)
        except ConnectionRefusedError as error:
            raise NotOpenedError("", str(error), UnreachableReason.NOT_LISTENING) from error
        except (OSError, ValueError) as error:
            raise NotOpenedError("", str(error)) from error
        lines = LineSocket(connected)
        try:
            lines.send(encode_open(group, workspace, endpoint))
            answer = read_opening(lines)
        except BaseException as error:
            lines.close()
            if isinstance(error, OSError | ProtocolError):
                raise NotOpenedError("", str(error)) from error
            raise
        if answer.error:
            lines.close()
            raise NotOpenedError(answer.error, answer.message)
        return lines

    def _probe(self, order: EndpointProbe) -> None:
        lines = self._probe_lines(order)
        order.sent_at = self.board.clock.now()
        lines.send(encode_own("BEGIN"))
        answer = read_answer(lines)
        order.is_primary = not answer.error
        order.position = answer.position
        order.alive = not answer.error or answer.error == READONLY
        if answer.state != IDLE_STATE:
            lines.send(encode_own("ROLLBACK"))
            read_answer(lines)
        if order.purpose == PROBE_PURPOSE:
            self._drop_probe(order.endpoint, order.purpose)

    def _probe_lines(self, order: EndpointProbe) -> LineSocket:
        """Return the connection kept for probes of a purpose, or a new one where it must be."""
        if order.purpose == PROBE_PURPOSE:
            self._drop_probe(order.endpoint, order.purpose)
        lines = self._probes.get((order.endpoint, order.purpose))
        if lines is None or not _is_quiet(lines):
            self._drop_probe(order.endpoint, order.purpose)
            registration = self.board.configuration.endpoints.get(order.endpoint)
            group = registration.group if registration else ""
            lines = self._open(order.address, group, self._any_workspace(), order.endpoint)
            self._probes[(order.endpoint, order.purpose)] = lines
        return lines

    def _any_workspace(self) -> str:
        return next(iter(self.board.configuration.workspaces), "")

    def _drop_probe(self, endpoint: str, purpose: str) -> None:
        lines = self._probes.pop((endpoint, purpose), None)
        if lines is not None:
            lines.close()

    def _order(self, order: EndpointCommand) -> None:
        words = {
            EndpointCommandKind.PAUSE_REPLICATION: f"PAUSE {order.term}",
            EndpointCommandKind.RESUME_REPLICATION: "RESUME",
            EndpointCommandKind.STEP_DOWN: f"STEPDOWN {order.term}",
        }
        lines: LineSocket | None = None
        try:
            with gevent.Timeout(order.limit):
                registration = self.board.configuration.endpoints.get(order.endpoint)
                group = registration.group if registration else order.group
                lines = self._open(order.address, group, self._any_workspace(), order.endpoint)
                lines.send(encode_own(words[order.kind]))
                answer = read_answer(lines)
            self._take_order(order, answer)
        except gevent.Timeout:
            log.warning("%s got no answer from %s", order.kind.value, order.endpoint)
        except NotOpenedError as error:
            order.unreachable_reason = error.unreachable_reason
            log.warning("%s to %s: %s", order.kind.value, order.endpoint, error)
        except (OSError, ProtocolError) as error:
            log.warning("%s to %s: %s", order.kind.value, order.endpoint, error)
        finally:
            if lines is not None:
                lines.close()

    def _take_order(self, order: EndpointCommand, answer: EndpointAnswer) -> None:
        if answer.error or not answer.rows:
            log.warning("%s refused by %s: %s", order.kind.value, order.endpoint, answer.error)
            return
        status = decode_status(answer.rows[0])
        order.position = status.received
        if order.kind is EndpointCommandKind.PAUSE_REPLICATION:
            order.accepted = status.held_term >= order.term
        elif order.kind is EndpointCommandKind.STEP_DOWN:
            order.accepted = not status.is_primary
        else:
            order.accepted = True


def _is_quiet(lines: LineSocket) -> bool:
    """Tell whether a connection is open and the endpoint has sent nothing unasked."""
    if lines.has_unread():
        return False
    connected = lines.socket
    try:
        connected.settimeout(0.0)
        connected.recv(PEEK_BYTES, socket.MSG_PEEK)
    except BlockingIOError:
        connected.settimeout(None)
        return True
    except OSError as error:
        log.debug("an idle connection is broken: %s", error)
    return False
