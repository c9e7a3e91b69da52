"""The line protocol that callers and endpoints speak.

A message is a line of a word and fields with blanks between them, ended by CR LF; the last field
goes to the end of the line. Sizes are in bytes.
"""

from __future__ import annotations

import socket as plain_socket

from gentianspread_core.blackboard.sessions import (
    SessionState,
    SessionStatement,
    StatementAnswer,
    Step,
    StepKind,
    Verb,
)
from gentianspread_core.errors import ErrorCode, ExecutionResult, Refusal
from gentianspread_core.positions import Position
from gevent import socket

MAX_MESSAGE_BYTES = 1024 * 1024  # bytes; the protocol's own limit
MAX_RECEIVE_BYTES = 16 * 1024  # bytes a read; most messages are below 4 KiB
USER_TIMEOUT_MS = 3000  # milliseconds without an acknowledgement; endpoints use the same
KEEPALIVE_IDLE_S = 5  # seconds of silence before the first keep-alive probe
KEEPALIVE_INTERVAL_S = 2  # seconds between keep-alive probes
KEEPALIVE_PROBES = 2  # unanswered probes that close a connection
END = b"\r\n"
OWN_ID = "-"

STATE_WORDS = {SessionState.IDLE: "I", SessionState.OPEN: "T", SessionState.FAILED: "E"}
ERROR_WORDS = {
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
NOT_RUN_WORD = "BUSY"
UNKNOWN_WORD = "TIMEOUT"
FIXED_VERBS = {
    "BEGIN": Verb.BEGIN,
    "BEGIN READ": Verb.BEGIN_READ,
    "COMMIT": Verb.COMMIT,
    "ROLLBACK": Verb.ROLLBACK,
}


class ProtocolError(Exception):
    """A message that does not follow the protocol."""


class LineSocket:
    """A socket with the lines that it has received."""

    __slots__ = ("socket", "_buffer")

    def __init__(self, connected: socket.socket) -> None:
        self.socket = connected
        self._buffer = bytearray()
        set_options(connected)

    def send(self, content: bytes) -> None:
        """Send all bytes."""
        self.socket.sendall(content)

    def read_line(self) -> str | None:
        """Return the next line without its end, or none at the end of the stream."""
        while True:
            end = self._buffer.find(END)
            if end >= 0:
                line = bytes(self._buffer[:end])
                del self._buffer[: end + len(END)]
                return _text(line)
            if len(self._buffer) > MAX_MESSAGE_BYTES:
                raise ProtocolError("the message is too long")
            received = self.socket.recv(MAX_RECEIVE_BYTES)
            if not received:
                return None
            self._buffer += received

    def has_unread(self) -> bool:
        """Tell whether received bytes are waiting."""
        return bool(self._buffer)

    def close(self) -> None:
        """Close the socket."""
        self.socket.close()


def set_options(connected: socket.socket) -> None:
    """Send at once, and notice a far end that went silent."""
    connected.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1)
    connected.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    connected.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_KEEPALIVE, 1)
    connected.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    connected.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    connected.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def _text(line: bytes) -> str:
    """Decode a line; a stray line end or zero byte could be read as another message."""
    if b"\n" in line or b"\r" in line or b"\0" in line:
        raise ProtocolError("the message holds a stray control character")
    return line.decode("utf-8", "surrogateescape")


def _bytes(text: str) -> bytes:
    return text.encode("utf-8", "surrogateescape")


def decode_statement(number: str, text: str) -> SessionStatement:
    """Decode the text of a caller's statement; what cannot be read becomes malformed."""
    verb = FIXED_VERBS.get(text)
    if verb is not None and _is_id(number):
        return SessionStatement(verb, number, text)
    word, _, rest = text.partition(" ")
    decoder = _DECODERS.get(word)
    statement = decoder(number, text, rest) if decoder and rest and _is_id(number) else None
    return statement or SessionStatement(Verb.MALFORMED, number, text)


def _is_id(number: str) -> bool:
    return bool(number) and number != OWN_ID


def _decode_read(number: str, text: str, rest: str) -> SessionStatement | None:
    return None if " " in rest else SessionStatement(Verb.READ, number, text)


def _decode_write(number: str, text: str, rest: str) -> SessionStatement | None:
    item, _, data = rest.partition(" ")
    return SessionStatement(Verb.WRITE, number, text) if item and data else None


def _decode_set(number: str, text: str, rest: str) -> SessionStatement | None:
    name, separator, value = rest.partition(" ")
    if not (name and separator):
        return None
    return SessionStatement(Verb.SET, number, text, name, value)


def _decode_prepare(number: str, text: str, rest: str) -> SessionStatement | None:
    fields = rest.split(" ", 2)
    if len(fields) != 3 or fields[1] not in ("READ", "WRITE") or not fields[2]:
        return None
    name, kind, shape = fields
    return SessionStatement(Verb.PREPARE, number, text, name, shape, writes=kind == "WRITE")


def _decode_execute(number: str, text: str, rest: str) -> SessionStatement | None:
    name, _, arguments = rest.partition(" ")
    if not name or not arguments:
        return None
    return SessionStatement(Verb.EXECUTE, number, text, name, arguments=arguments)


def _decode_deallocate(number: str, text: str, rest: str) -> SessionStatement | None:
    return None if " " in rest else SessionStatement(Verb.DEALLOCATE, number, text, rest)


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
    return b"READY %s -\r\n" % STATE_WORDS[state].encode()


def encode_refusal(refusal: Refusal) -> bytes:
    """Return a refusal; the text after the code tells what to do."""
    word = ERROR_WORDS.get(refusal.code)
    if word is None:
        word = NOT_RUN_WORD if refusal.result is ExecutionResult.NOT_RUN else UNKNOWN_WORD
    return _bytes(f"ERROR {word} {refusal.message} {refusal.remedy}\r\n")


def encode_answer(answer: StatementAnswer) -> bytes:
    """Return the whole answer to a statement."""
    ready = encode_ready(answer.state)
    if answer.refusal is not None:
        return encode_refusal(answer.refusal) + ready
    rows = "".join(f"ROW {row}\r\n" for row in answer.rows)
    return _bytes(f"{rows}COMPLETE {answer.signature or OWN_ID}\r\n") + ready


def encode_open(service: str, who: str, endpoint: str) -> bytes:
    """Return the message that opens a connection to an endpoint."""
    return _bytes(f"OPEN {service} {who or OWN_ID} {endpoint}\r\n")


def encode_step(step: Step) -> bytes:
    """Return one message to an endpoint."""
    return _bytes(f"QUERY {step.number or OWN_ID} {_step_text(step)}\r\n")


def encode_own(text: str) -> bytes:
    """Return a message of this VM's own to an endpoint."""
    return _bytes(f"QUERY {OWN_ID} {text}\r\n")


def _step_text(step: Step) -> str:
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


class EndpointAnswer:
    """An endpoint's whole answer to one message.

    `error` is the word of a refusal or empty; `state` is I, T or E.
    """

    __slots__ = ("rows", "signature", "error", "message", "state", "position")

    def __init__(self) -> None:
        self.rows: list[str] = []
        self.signature = ""
        self.error = ""
        self.message = ""
        self.state = ""
        self.position: Position | None = None


def read_answer(lines: LineSocket) -> EndpointAnswer:
    """Read messages up to the one that ends an answer."""
    answer = EndpointAnswer()
    while True:
        line = lines.read_line()
        if line is None:
            raise ProtocolError("the connection ended within an answer")
        word, _, rest = line.partition(" ")
        if word == "ROW":
            answer.rows.append(rest)
        elif word == "COMPLETE":
            answer.signature = rest
        elif word == "ERROR":
            answer.error, _, answer.message = rest.partition(" ")
        elif word == "READY":
            answer.state, _, position = rest.partition(" ")
            answer.position = decode_position(position)
            return answer
        else:
            raise ProtocolError(f"an answer has the unknown word {word[:20]}")


def read_opening(lines: LineSocket) -> EndpointAnswer:
    """Read the answer to an opening: ready, or an error before the far end closes."""
    answer = EndpointAnswer()
    line = lines.read_line()
    if line is None:
        raise ProtocolError("the connection ended before it was opened")
    word, _, rest = line.partition(" ")
    if word == "ERROR":
        answer.error, _, answer.message = rest.partition(" ")
    elif word == "READY":
        answer.state, _, position = rest.partition(" ")
        answer.position = decode_position(position)
    else:
        raise ProtocolError(f"an opening was answered by {word[:20]}")
    return answer


def decode_position(text: str) -> Position | None:
    """Decode TERM.NUMBER, or none for an endpoint that tells no position."""
    if text == OWN_ID:
        return None
    term, _, index = text.partition(".")
    try:
        return Position(int(term), int(index))
    except ValueError:
        raise ProtocolError("an answer has an unreadable position") from None


class EndpointStatus:
    """An endpoint's row about itself; `held_term` is 0 unless it stopped receiving."""

    __slots__ = ("is_primary", "term", "received", "held_term")

    def __init__(self, is_primary: bool, term: int, received: Position, held_term: int) -> None:
        self.is_primary = is_primary
        self.term = term
        self.received = received
        self.held_term = held_term


def decode_status(row: str) -> EndpointStatus:
    """Decode the row: role, term, position received, term held, lag, busy, connections."""
    fields = row.split(" ")
    try:
        received = decode_position(fields[2])
        if received is None:
            raise ProtocolError("an endpoint told no position")
        return EndpointStatus(fields[0] == "primary", int(fields[1]), received, int(fields[3]))
    except (ValueError, IndexError):
        raise ProtocolError("an endpoint's row about itself cannot be read") from None
