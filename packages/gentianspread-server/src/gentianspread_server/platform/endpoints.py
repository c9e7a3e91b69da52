"""Endpoint driver for the line protocol: exchanges of sessions, probes and commands."""

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
from gentianspread_core.blackboard.sessions import SessionExchange, SessionReply, SessionRequest
from gentianspread_core.blackboard.steps import SETUP_KINDS, Step
from gentianspread_core.controllers.endpoints import PROBE_PURPOSE
from gentianspread_core.errors import ErrorCode
from gevent import socket

from ..connections import connect
from .calls import PlatformClient
from .wire import (
    EndpointReply,
    LineSocket,
    ProtocolError,
    decode_status,
    encode_open,
    encode_step,
    encode_vm_query,
    read_open_reply,
    read_reply,
)

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.6  # opening takes 1 ms, once a slot is free, which takes up to 60 ms
CLEANUP_TIMEOUT_S = 0.2  # a rollback after a failed statement takes 1 ms
NOT_PRIMARY_CODE = "READONLY"
WRONG_ENDPOINT_CODE = "WRONGNODE"
LOST_STATEMENT_CODE = "NOSTMT"  # the connection lacks a statement that was prepared on it
FAILED_CODES = frozenset({"FAILED", "TIMEOUT"})
IN_TRANSACTION_STATE = "T"
IDLE_STATE = "I"
PEEK_BYTES = 1


class ConnectionNotOpenedError(Exception):
    """No connection could be opened; `code` is the endpoint's error code, or empty."""

    def __init__(
        self, code: str, message: str, unreachable_reason: UnreachableReason | None = None
    ) -> None:
        super().__init__(message)
        self.code = code
        self.unreachable_reason = (
            UnreachableReason.REPLACED if code == WRONG_ENDPOINT_CODE else unreachable_reason
        )


class ConnectionClosedError(ConnectionNotOpenedError):
    """The endpoint had closed a connection that this VM kept."""


class LineProtocolDriver:
    """Carries out the exchanges, probes and commands that one VM's controllers send to endpoints.

    `_sockets` are by connection number, `_probe_sockets` by endpoint and purpose of the probes.
    """

    __slots__ = ("board", "platform_client", "_sockets", "_probe_sockets")

    def __init__(self, board: Board, platform_client: PlatformClient) -> None:
        self.board = board
        self.platform_client = platform_client
        self._sockets: dict[int, LineSocket] = {}
        self._probe_sockets: dict[tuple[str, str], LineSocket] = {}

    def run(self, request: SessionRequest) -> None:
        """Run a request's exchange in the calling greenlet and post its reply."""
        exchange = request.exchange
        if not isinstance(exchange, SessionExchange):
            return
        reply = SessionReply(ExchangeStatus.LOST)
        exchange.reply = reply
        try:
            with gevent.Timeout(max(exchange.timeout_s, 0.0)):
                self._exchange(request, exchange, reply)
        except gevent.Timeout:
            reply.message = "no answer in time"
        except (OSError, ProtocolError) as error:
            reply.message = str(error)
            reply.connection_lost = True
        except Exception as error:
            self.board.timeline.record_error("statement", error)
            reply.message = "the exchange failed"
        finally:
            if not reply.is_reusable:
                self.close(ConnectionClose(exchange.connection.number))
            self.board.post(Topic.EXCHANGE_ENDED, request)

    def probe(self, probe: EndpointProbe) -> None:
        """Query whether an endpoint is the primary, and its log position, and post the result.

        The probe begins a transaction and rolls it back: this takes no slot, and only the group's
        primary accepts it.
        """
        try:
            with gevent.Timeout(probe.timeout_s):
                self._exchange_probe(probe)
        except gevent.Timeout:
            log.debug("probing %s timed out", probe.endpoint)
        except ConnectionNotOpenedError as error:
            probe.unreachable_reason = error.unreachable_reason
            log.debug("probing %s failed: %s", probe.endpoint, error)
        except (OSError, ProtocolError) as error:
            log.debug("probing %s failed: %s", probe.endpoint, error)
        finally:
            if not probe.alive:
                self._close_probe_socket(probe.endpoint, probe.purpose)
            self.board.post(Topic.PROBE_ENDED, probe)

    def send_command(self, command: EndpointCommand) -> None:
        """Carry out a command of the promotion controller and post whether it was accepted."""
        try:
            if command.kind is EndpointCommandKind.PROMOTE:
                self.platform_client.promote(command)
            else:
                self._send_over_new_connection(command)
        finally:
            self.board.post(Topic.ENDPOINT_COMMAND_ENDED, command)

    def watch(self, watch: ReplicaWatch) -> None:
        """Post that no position was reached: these endpoints confirm commits themselves."""
        self.board.post(Topic.REPLICA_WATCH_ENDED, watch)

    def release(self, release: TransactionRelease) -> None:
        """Do nothing: a session's transaction ends when its connection is closed."""

    def flush(self, flush: PoolFlush) -> None:
        """Do nothing: the placement controller closes idle connections one by one."""

    def close(self, intent: ConnectionClose) -> None:
        """Close a connection, if it is open."""
        line_socket = self._sockets.pop(intent.number, None)
        if line_socket is not None:
            line_socket.close()

    def _exchange(
        self, request: SessionRequest, exchange: SessionExchange, reply: SessionReply
    ) -> None:
        for evicted in exchange.evicted:
            self.close(ConnectionClose(evicted.number))
        try:
            line_socket = self._get_socket(exchange.connection)
        except ConnectionNotOpenedError as error:
            reply.status = ExchangeStatus.REFUSED if error.code else ExchangeStatus.NOT_SENT
            reply.code, reply.message = error.code, str(error)
            reply.connection_lost = isinstance(error, ConnectionClosedError)
            return
        *earlier, last = exchange.rounds
        for steps in earlier:
            if self._fill_evacuated(request, exchange, reply):
                return
            for step, step_reply in zip(steps, self._send_round(line_socket, steps), strict=True):
                if step_reply.error and step.kind in SETUP_KINDS:
                    self._fill_setup_error(reply, step_reply)
                    return
                if step_reply.error:
                    self._fill_error_reply(line_socket, exchange, reply, step_reply)
                    return
        if self._fill_evacuated(request, exchange, reply):
            return
        reply.was_sent = True
        self._fill_reply(line_socket, exchange, reply, last, self._send_round(line_socket, last))

    def _send_round(self, line_socket: LineSocket, steps: list[Step]) -> list[EndpointReply]:
        """Send the steps of a round pipelined and return the reply to each step."""
        line_socket.send(b"".join([encode_step(step) for step in steps]))
        return [read_reply(line_socket) for _ in steps]

    def _fill_evacuated(
        self, request: SessionRequest, exchange: SessionExchange, reply: SessionReply
    ) -> bool:
        """Fill the reply of an exchange that may not go on; return whether it may not.

        Its earlier messages may have waited for a slot until the bound of an evacuation ended.
        """
        registration = self.board.configuration.endpoints.get(exchange.endpoint)
        zone = registration.zone if registration else ""
        if not self.board.evacuations.is_past_bound(zone, self.board.clock.now()):
            return False
        is_lost = request.has_bound_transaction()
        code = ErrorCode.TRANSACTION_UNKNOWN if is_lost else ErrorCode.ZONE_EVACUATED
        reply.status, reply.code = ExchangeStatus.REFUSED, code.value
        reply.message = f"The zone {zone} was evacuated before the statement was sent."
        log.info("%s gets no more messages: its zone %s is evacuated", exchange.endpoint, zone)
        return True

    def _fill_reply(
        self,
        line_socket: LineSocket,
        exchange: SessionExchange,
        reply: SessionReply,
        steps: list[Step],
        step_replies: list[EndpointReply],
    ) -> None:
        """Fill the reply from that of the step with an id, which is the caller's statement."""
        statement_reply = step_replies[-1]
        for step, step_reply in zip(steps, step_replies, strict=True):
            if step.statement_id:
                statement_reply = step_reply
            elif step_reply.error and step.kind is not exchange.cleanup.kind:
                raise ProtocolError(f"a message of the setup was refused: {step_reply.error}")
        reply.position = step_replies[-1].position
        if statement_reply.error:
            self._fill_error_reply(line_socket, exchange, reply, statement_reply)
            return
        reply.status = ExchangeStatus.OK
        reply.rows = statement_reply.rows
        reply.signature = statement_reply.signature
        reply.keeps_transaction = step_replies[-1].state == IN_TRANSACTION_STATE
        reply.is_reusable = step_replies[-1].state in (IDLE_STATE, IN_TRANSACTION_STATE)

    def _fill_setup_error(self, reply: SessionReply, step_reply: EndpointReply) -> None:
        """Fill the reply of a statement that was not sent; its connection's state is not known."""
        reply.status = ExchangeStatus.REFUSED
        reply.code, reply.message = step_reply.error, step_reply.message
        reply.position = step_reply.position
        log.info("a message of the set-up was refused: %s %s", reply.code, reply.message)

    def _fill_error_reply(
        self,
        line_socket: LineSocket,
        exchange: SessionExchange,
        reply: SessionReply,
        step_reply: EndpointReply,
    ) -> None:
        is_failed = step_reply.error in FAILED_CODES
        reply.status = ExchangeStatus.FAILED if is_failed else ExchangeStatus.REFUSED
        reply.code, reply.message = step_reply.error, step_reply.message
        reply.position = step_reply.position
        if step_reply.error == LOST_STATEMENT_CODE:
            return
        if step_reply.state != IDLE_STATE:
            with gevent.Timeout(CLEANUP_TIMEOUT_S):
                step_reply = self._send_round(line_socket, [exchange.cleanup])[-1]
        reply.is_reusable = step_reply.state == IDLE_STATE

    def _get_socket(self, connection: BackendConnection) -> LineSocket:
        """Return a connection's socket; open it if it is new, and raise if it has been closed."""
        line_socket = self._sockets.get(connection.number)
        if line_socket is not None:
            if _is_reusable(line_socket):
                return line_socket
            self.close(ConnectionClose(connection.number))
            raise ConnectionClosedError("BUSY", "the endpoint had closed the connection")
        line_socket = self._open_socket(
            connection.address, connection.group, connection.workspace, connection.endpoint
        )
        self._sockets[connection.number] = line_socket
        return line_socket

    def _open_socket(self, address: str, group: str, workspace: str, endpoint: str) -> LineSocket:
        try:
            connected = connect(address, CONNECT_TIMEOUT_S)
        except ConnectionRefusedError as error:
            raise ConnectionNotOpenedError(
                "", str(error), UnreachableReason.NOT_LISTENING
            ) from error
        except (OSError, ValueError) as error:
            raise ConnectionNotOpenedError("", str(error)) from error
        line_socket = LineSocket(connected)
        try:
            line_socket.send(encode_open(group, workspace, endpoint))
            reply = read_open_reply(line_socket)
        except BaseException as error:
            line_socket.close()
            if isinstance(error, OSError | ProtocolError):
                raise ConnectionNotOpenedError("", str(error)) from error
            raise
        if reply.error:
            line_socket.close()
            raise ConnectionNotOpenedError(reply.error, reply.message)
        return line_socket

    def _exchange_probe(self, probe: EndpointProbe) -> None:
        line_socket = self._get_probe_socket(probe)
        probe.sent_at = self.board.clock.now()
        line_socket.send(encode_vm_query("BEGIN"))
        reply = read_reply(line_socket)
        probe.is_primary = not reply.error
        probe.position = reply.position
        probe.alive = not reply.error or reply.error == NOT_PRIMARY_CODE
        if reply.state != IDLE_STATE:
            line_socket.send(encode_vm_query("ROLLBACK"))
            read_reply(line_socket)
        if probe.purpose == PROBE_PURPOSE:
            self._close_probe_socket(probe.endpoint, probe.purpose)

    def _get_probe_socket(self, probe: EndpointProbe) -> LineSocket:
        """Return the socket kept for the probes of a purpose, or a new one.

        The endpoint controller's health checks open a new connection each time.
        """
        if probe.purpose == PROBE_PURPOSE:
            self._close_probe_socket(probe.endpoint, probe.purpose)
        line_socket = self._probe_sockets.get((probe.endpoint, probe.purpose))
        if line_socket is None or not _is_reusable(line_socket):
            self._close_probe_socket(probe.endpoint, probe.purpose)
            registration = self.board.configuration.endpoints.get(probe.endpoint)
            group = registration.group if registration else ""
            line_socket = self._open_socket(
                probe.address, group, self._any_workspace(), probe.endpoint
            )
            self._probe_sockets[(probe.endpoint, probe.purpose)] = line_socket
        return line_socket

    def _any_workspace(self) -> str:
        return next(iter(self.board.configuration.workspaces), "")

    def _close_probe_socket(self, endpoint: str, purpose: str) -> None:
        line_socket = self._probe_sockets.pop((endpoint, purpose), None)
        if line_socket is not None:
            line_socket.close()

    def _send_over_new_connection(self, command: EndpointCommand) -> None:
        statements = {
            EndpointCommandKind.PAUSE_REPLICATION: f"PAUSE {command.term}",
            EndpointCommandKind.RESUME_REPLICATION: "RESUME",
            EndpointCommandKind.STEP_DOWN: f"STEPDOWN {command.term}",
        }
        line_socket: LineSocket | None = None
        try:
            with gevent.Timeout(command.timeout_s):
                registration = self.board.configuration.endpoints.get(command.endpoint)
                group = registration.group if registration else command.group
                line_socket = self._open_socket(
                    command.address, group, self._any_workspace(), command.endpoint
                )
                line_socket.send(encode_vm_query(statements[command.kind]))
                reply = read_reply(line_socket)
            self._record_result(command, reply)
        except gevent.Timeout:
            log.warning("%s sent to %s timed out", command.kind.value, command.endpoint)
        except ConnectionNotOpenedError as error:
            command.unreachable_reason = error.unreachable_reason
            log.warning("%s sent to %s failed: %s", command.kind.value, command.endpoint, error)
        except (OSError, ProtocolError) as error:
            log.warning("%s sent to %s failed: %s", command.kind.value, command.endpoint, error)
        finally:
            if line_socket is not None:
                line_socket.close()

    def _record_result(self, command: EndpointCommand, reply: EndpointReply) -> None:
        if reply.error or not reply.rows:
            log.warning(
                "%s was refused by %s: %s", command.kind.value, command.endpoint, reply.error
            )
            return
        status = decode_status(reply.rows[0])
        command.position, command.reported_term = status.received, status.term
        if command.kind is EndpointCommandKind.PAUSE_REPLICATION:
            command.accepted = status.paused_term >= command.term
        elif command.kind is EndpointCommandKind.STEP_DOWN:
            command.accepted = not status.is_primary
        else:
            command.accepted = True


def _is_reusable(line_socket: LineSocket) -> bool:
    """Return whether a connection is open and has received nothing that was not read."""
    if line_socket.unread_bytes():
        return False
    connected = line_socket.socket
    try:
        connected.settimeout(0.0)
        connected.recv(PEEK_BYTES, socket.MSG_PEEK)
    except BlockingIOError:
        connected.settimeout(None)
        return True
    except OSError as error:
        log.debug("an idle connection is broken: %s", error)
    return False
