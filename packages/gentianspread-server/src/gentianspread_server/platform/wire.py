"""The line protocol that callers and endpoints use.

A message is one line: its type and its fields, separated by single spaces and ended by CR LF. The
last field extends to the end of the line.
"""

from __future__ import annotations

import socket as stdlib_socket
import time
from collections.abc import Callable

from gentianspread_core.blackboard.sessions import (
    SessionState,
    SessionStatement,
    StatementAnswer,
    Verb,
)
from gentianspread_core.blackboard.steps import Step, StepKind
from gentianspread_core.errors import ErrorCode, ExecutionResult, Refusal
from gentianspread_core.positions import Position
from gevent import socket

from ..resources.budget import FREE_BYTES as FREE_LINE_BYTES
from ..sockets import reset_connection

MAX_MESSAGE_BYTES = 1024 * 1024  # set by the protocol
RECEIVE_BUFFER_BYTES = 16 * 1024  # per read; most messages are below 4 KiB
TCP_USER_TIMEOUT_MS = 3000  # without a TCP acknowledgement; endpoints use the same value
KEEPALIVE_IDLE_S = 5  # without traffic before the first keepalive probe
KEEPALIVE_INTERVAL_S = 2
MAX_UNANSWERED_KEEPALIVES = 2
MAX_INTEGER_DIGITS = 18  # fits in 64 bits
MIN_STATUS_FIELDS = 4
LINE_END = b"\r\n"
ABSENT = "-"  # for a field without a value; as an id it marks the statements of the VM itself

WIRE_STATES = {SessionState.IDLE: "I", SessionState.OPEN: "T", SessionState.FAILED: "E"}
WIRE_ERROR_CODES = {
    ErrorCode.NO_DATABASE: "NODB",
    ErrorCode.KEY_REFUSED: "AUTHFAIL",
    ErrorCode.BAD_REQUEST: "MALFORMED",
    ErrorCode.NO_STATEMENT: "NOSTMT",
    ErrorCode.TRANSACTION_UNKNOWN: "ABORTED",
    ErrorCode.TERM_CHANGED: "READONLY",
    ErrorCode.REPLICA_LAGGING: "LAGGING",
    ErrorCode.CONNECTION_LIMIT: "CONNLIMIT",
    ErrorCode.STATEMENT_FAILED: "FAILED",
    ErrorCode.OUTCOME_UNKNOWN: "INDOUBT",
}
DEFAULT_NOT_RUN_CODE = "BUSY"  # for errors without a code in the protocol, by their result
DEFAULT_UNKNOWN_CODE = "TIMEOUT"
VERBS_WITHOUT_ARGUMENTS = {
    "BEGIN": Verb.BEGIN,
    "BEGIN READ": Verb.BEGIN_READ,
    "COMMIT": Verb.COMMIT,
    "ROLLBACK": Verb.ROLLBACK,
}


class ProtocolError(Exception):
    """A message that violates the protocol."""


class MessageTooLongError(ProtocolError):
    """A message that is longer than the protocol allows."""


class LineSocket:
    """A socket that is read line by line; it buffers received bytes that were not read yet.

    `on_growth` is called with the size of an unfinished line that exceeds `FREE_LINE_BYTES`; an
    exception that it raises ends the reading. `unfinished_since` is when an unfinished line was
    seen, in seconds of the monotonic clock, or 0.
    """

    __slots__ = ("socket", "on_growth", "unfinished_since", "_buffer", "_searched")

    def __init__(
        self, connected: socket.socket, on_growth: Callable[[int], None] | None = None
    ) -> None:
        self.socket = connected
        self.on_growth = on_growth
        self.unfinished_since = 0.0
        self._buffer = bytearray()
        self._searched = 0
        set_socket_options(connected)

    def send(self, content: bytes | memoryview) -> None:
        """Send all bytes."""
        self.socket.sendall(content)

    def send_at_once(self, content: bytes) -> int:
        """Send what the kernel takes without waiting; return how many bytes that were."""
        try:
            return self.socket.send(content, 0, 0.0)
        except BlockingIOError:
            return 0

    def read_line(self) -> str | None:
        """Return the next line without its CR LF, or none at the end of the stream."""
        while True:
            # Bytes that were searched before are not searched again: a line of 1 MiB that arrives
            # byte by byte would take minutes of processor time.
            end = self._buffer.find(LINE_END, self._searched)
            if end >= 0:
                line = self._buffer[:end]
                del self._buffer[: end + len(LINE_END)]
                self._searched = 0
                self.unfinished_since = 0.0
                return _decode_line(line)
            if self._buffer:
                self._note_unfinished()
            received = self.socket.recv(RECEIVE_BUFFER_BYTES)
            if not received:
                return None
            self._buffer += received

    def _note_unfinished(self) -> None:
        size = len(self._buffer)
        if size > MAX_MESSAGE_BYTES:
            raise MessageTooLongError("the message is too long")
        self._searched = size - 1  # the last byte may be the first one of the line's end
        if not self.unfinished_since:
            self.unfinished_since = time.monotonic()
        if size > FREE_LINE_BYTES and self.on_growth is not None:
            self.on_growth(size)

    def unread_bytes(self) -> int:
        """Return how many received bytes have not been read yet."""
        return len(self._buffer)

    def abort(self) -> None:
        """Drop unread and unsent bytes; the greenlet that reads or sends sees the end."""
        self._buffer.clear()
        self._searched = 0
        reset_connection(self.socket)

    def close(self) -> None:
        """Close the socket and drop unread bytes."""
        self._buffer.clear()
        self.on_growth = None  # its owner refers to this object, and both would wait for collection
        self.socket.close()


def set_socket_options(connected: socket.socket) -> None:
    """Disable Nagle's delay, and let the kernel close the connection of a silent peer."""
    connected.setsockopt(stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_NODELAY, 1)
    connected.setsockopt(
        stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
    connected.setsockopt(stdlib_socket.SOL_SOCKET, stdlib_socket.SO_KEEPALIVE, 1)
    connected.setsockopt(stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    connected.setsockopt(
        stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
    connected.setsockopt(
        stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_KEEPCNT, MAX_UNANSWERED_KEEPALIVES
    )


def _decode_line(line: bytes | bytearray) -> str:
    """Decode a line; reject CR, LF and NUL, which a receiver could read as a message end."""
    if b"\n" in line or b"\r" in line or b"\0" in line:
        raise ProtocolError("the message holds a stray control character")
    return line.decode("utf-8", "surrogateescape")


def _encode_text(text: str) -> bytes:
    return text.encode("utf-8", "surrogateescape")


def decode_statement(statement_id: str, text: str) -> SessionStatement:
    """Decode a caller's statement; one that cannot be decoded gets the verb `MALFORMED`."""
    verb = VERBS_WITHOUT_ARGUMENTS.get(text)
    if verb is not None and _is_caller_id(statement_id):
        return SessionStatement(verb, statement_id, text)
    keyword, _, rest = text.partition(" ")
    decoder = _DECODERS.get(keyword)
    statement = (
        decoder(statement_id, text, rest)
        if decoder and rest and _is_caller_id(statement_id)
        else None
    )
    return statement or SessionStatement(Verb.MALFORMED, statement_id, text)


def _is_caller_id(statement_id: str) -> bool:
    """Return whether an id is one of a caller: text, as logs and other VMs receive it too."""
    if not statement_id or statement_id == ABSENT:
        return False
    return statement_id.isascii() or is_utf8(statement_id)


def is_utf8(text: str) -> bool:
    """Return whether a decoded text came from bytes that were UTF-8."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _decode_read(statement_id: str, text: str, rest: str) -> SessionStatement | None:
    return None if " " in rest else SessionStatement(Verb.READ, statement_id, text)


def _decode_write(statement_id: str, text: str, rest: str) -> SessionStatement | None:
    item, _, data = rest.partition(" ")
    return SessionStatement(Verb.WRITE, statement_id, text) if item and data else None


def _decode_set(statement_id: str, text: str, rest: str) -> SessionStatement | None:
    name, separator, value = rest.partition(" ")
    if not (name and separator):
        return None
    return SessionStatement(Verb.SET, statement_id, text, name, value)


def _decode_prepare(statement_id: str, text: str, rest: str) -> SessionStatement | None:
    fields = rest.split(" ", 2)
    if len(fields) != 3 or fields[1] not in ("READ", "WRITE") or not fields[2]:
        return None
    name, kind, shape = fields
    return SessionStatement(Verb.PREPARE, statement_id, text, name, shape, writes=kind == "WRITE")


def _decode_execute(statement_id: str, text: str, rest: str) -> SessionStatement | None:
    name, _, arguments = rest.partition(" ")
    if not name or not arguments:
        return None
    return SessionStatement(Verb.EXECUTE, statement_id, text, name, arguments=arguments)


def _decode_deallocate(statement_id: str, text: str, rest: str) -> SessionStatement | None:
    return None if " " in rest else SessionStatement(Verb.DEALLOCATE, statement_id, text, rest)


_DECODERS = {
    "READ": _decode_read,
    "WRITE": _decode_write,
    "SET": _decode_set,
    "PREPARE": _decode_prepare,
    "EXECUTE": _decode_execute,
    "DEALLOC": _decode_deallocate,
}


def encode_ready(state: SessionState) -> bytes:
    """Return the message that ends every answer to a caller."""
    return b"READY %s -\r\n" % WIRE_STATES[state].encode()


def encode_refusal(refusal: Refusal) -> bytes:
    """Return an error message: its code, what was wrong, and what the caller can do."""
    code = WIRE_ERROR_CODES.get(refusal.code)
    if code is None:
        code = (
            DEFAULT_NOT_RUN_CODE
            if refusal.result is ExecutionResult.NOT_RUN
            else DEFAULT_UNKNOWN_CODE
        )
    return _encode_text(f"ERROR {code} {refusal.message} {refusal.remedy}\r\n")


def encode_answer(answer: StatementAnswer) -> bytes:
    """Return all messages that answer a statement."""
    ready = encode_ready(answer.state)
    if answer.refusal is not None:
        return encode_refusal(answer.refusal) + ready
    rows = "".join(f"ROW {row}\r\n" for row in answer.rows)
    return _encode_text(f"{rows}COMPLETE {answer.signature or ABSENT}\r\n") + ready


def encode_open(group: str, workspace: str, endpoint: str) -> bytes:
    """Return the message that opens a connection to an endpoint."""
    return _encode_text(f"OPEN {group} {workspace or ABSENT} {endpoint}\r\n")


def encode_step(step: Step) -> bytes:
    """Return the message that sends one step to an endpoint."""
    return _encode_text(f"QUERY {step.statement_id or ABSENT} {_encode_step_text(step)}\r\n")


def encode_vm_query(text: str) -> bytes:
    """Return the message that sends a statement of this VM itself to an endpoint."""
    return _encode_text(f"QUERY {ABSENT} {text}\r\n")


def _encode_step_text(step: Step) -> str:
    prefix = ""
    if step.position is not None:
        prefix = f"WAITPOS {step.position.term}.{step.position.index} "
    if step.kind is StepKind.SET:
        return f"SET {step.name} {step.value}"
    if step.kind is StepKind.PREPARE:
        return f"PREPARE {step.name} {'WRITE' if step.writes else 'READ'} {step.value}"
    if step.kind is StepKind.STATEMENT and step.name:
        return f"{prefix}EXECUTE {step.name} {step.value}"
    if step.kind is StepKind.STATEMENT:
        return prefix + step.text
    return prefix + step.kind.value.upper()


class EndpointReply:
    """An endpoint's reply to one message.

    `error` is an error code of the protocol, or empty. `state` is that of the transaction: I for
    none, T for an open one, E for a failed one.
    """

    __slots__ = ("rows", "signature", "error", "message", "state", "position")

    def __init__(self) -> None:
        self.rows: list[str] = []
        self.signature = ""
        self.error = ""
        self.message = ""
        self.state = ""
        self.position: Position | None = None


def read_reply(line_socket: LineSocket) -> EndpointReply:
    """Read messages up to the one that completes a reply."""
    reply = EndpointReply()
    while True:
        line = line_socket.read_line()
        if line is None:
            raise ProtocolError("the connection ended within an answer")
        message_type, _, rest = line.partition(" ")
        if message_type == "ROW":
            reply.rows.append(rest)
        elif message_type == "COMPLETE":
            reply.signature = rest
        elif message_type == "ERROR":
            reply.error, _, reply.message = rest.partition(" ")
        elif message_type == "READY":
            reply.state, _, position = rest.partition(" ")
            reply.position = decode_position(position)
            return reply
        else:
            raise ProtocolError(f"an answer has the unknown word {message_type[:20]}")


def read_open_reply(line_socket: LineSocket) -> EndpointReply:
    """Read the reply to an `OPEN` message: `READY`, or an error before the endpoint closes."""
    reply = EndpointReply()
    line = line_socket.read_line()
    if line is None:
        raise ProtocolError("the connection ended before it was opened")
    message_type, _, rest = line.partition(" ")
    if message_type == "ERROR":
        reply.error, _, reply.message = rest.partition(" ")
    elif message_type == "READY":
        reply.state, _, position = rest.partition(" ")
        reply.position = decode_position(position)
    else:
        raise ProtocolError(f"an opening was answered by {message_type[:20]}")
    return reply


def decode_position(text: str) -> Position | None:
    """Decode TERM.INDEX; return none for an endpoint that reports no position."""
    if text == ABSENT:
        return None
    term, _, index = text.partition(".")
    return Position(_decode_integer(term), _decode_integer(index))


def _decode_integer(text: str) -> int:
    """Decode decimal digits to an integer that the encoders of all messages take."""
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_INTEGER_DIGITS):
        raise ProtocolError("an answer has an unreadable number")
    return int(text)


class EndpointStatus:
    """The status that an endpoint reports; `paused_term` is 0 unless replication is paused."""

    __slots__ = ("is_primary", "term", "received", "paused_term")

    def __init__(self, is_primary: bool, term: int, received: Position, paused_term: int) -> None:
        self.is_primary = is_primary
        self.term = term
        self.received = received
        self.paused_term = paused_term


def decode_status(row: str) -> EndpointStatus:
    """Decode the row: role, term, received position, paused term, lag, busy, connections."""
    fields = row.split(" ")
    if len(fields) < MIN_STATUS_FIELDS:
        raise ProtocolError("an endpoint reported a status that cannot be decoded")
    received = decode_position(fields[2])
    if received is None:
        raise ProtocolError("an endpoint reported no position")
    term, paused_term = _decode_integer(fields[1]), _decode_integer(fields[3])
    return EndpointStatus(fields[0] == "primary", term, received, paused_term)
