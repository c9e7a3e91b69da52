"""Property-based test of what arrives from outside: the real decoders get odd and damaged messages.

Each target decodes a message of one sender. It either refuses the message in the expected way, or
every encoder that the result may reach later takes it. Any other error is a failure.
"""

from __future__ import annotations

import argparse
import os
import sys
import tempfile
import time
import traceback
from collections.abc import Callable
from typing import Any

import httptools
import orjson
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.configuration import (
    Configuration,
    load_snapshot,
    to_snapshot,
)
from gentianspread_core.blackboard.declarations import Declaration
from gentianspread_core.blackboard.log import LogEntry
from gentianspread_core.blackboard.messages import Message
from gentianspread_core.blackboard.registrations import is_ipv4_address
from gentianspread_core.blackboard.relays import RelayedStatement, load_reply, reply_to_record
from gentianspread_core.blackboard.requests import ExchangeStatus
from gentianspread_core.blackboard.sessions import SessionReply
from gentianspread_core.errors import DeclarationError, GentianspreadError, SettingsError
from gentianspread_core.state_machine import apply_command
from gentianspread_server.codec import RequestCodec
from gentianspread_server.connections import ResponseReader
from gentianspread_server.logs import encode_line
from gentianspread_server.platform.bootfile import PlatformSettings
from gentianspread_server.platform.documents import (
    decode_announcement,
    decode_cold_time,
    decode_declaration,
    decode_deregistration,
)
from gentianspread_server.platform.wire import (
    LineSocket,
    ProtocolError,
    decode_statement,
    decode_status,
    read_open_reply,
    read_reply,
)
from gentianspread_server.relays import UNREADABLE, escape, unescape
from gentianspread_server.resources.requestreader import RequestReader
from gentianspread_server.tokens import TokenCodec
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

from .wiresamples import (
    ANNOUNCEMENT,
    DOCUMENT,
    HTTP_REQUEST,
    HTTP_RESPONSE,
    MESSAGE,
    RELAYED_REPLY,
    RELAYED_STATEMENT,
    REQUEST,
    SETTINGS,
    FixedSocket,
    damaged_bytes,
    odd_json,
    odd_json_text,
    odd_lines,
    odd_names,
)

DEFAULT_COUNT = 1000  # messages for each target
TOKEN_CODEC = TokenCodec("a secret of the fuzzer")
REQUEST_CODEC = RequestCodec(TOKEN_CODEC)


def check_announcement(message: tuple[str, bytes]) -> None:
    """An announcement is refused, or goes through the log, a snapshot and a connection."""
    name, body = message
    fields = decode_announcement(name, body)
    if fields is None:
        return
    assert is_ipv4_address(fields["address"])
    configuration = Configuration()
    record = Command(CommandKind.REGISTER_ENDPOINT, fields).to_record()
    command = Command.from_record(orjson.loads(orjson.dumps(record)))
    assert apply_command(configuration, 1, command).accepted
    remaining_s = decode_cold_time(body)
    if remaining_s is not None:
        warmup = {key: fields[key] for key in ("name", "incarnation", "sequence")}
        warmup["remaining_s"] = remaining_s
        assert apply_command(
            configuration, 2, Command(CommandKind.ENDPOINT_WARMUP, warmup)
        ).accepted
    loaded = Configuration()
    assert not load_snapshot(loaded, orjson.loads(orjson.dumps(to_snapshot(configuration))))
    assert list(loaded.endpoints) == [name]
    assert {item.remaining_s for item in loaded.warmups.values()} <= {remaining_s}


def check_deregistration(body: bytes) -> None:
    """A deregistration is refused, or its incarnation can be stored."""
    incarnation = decode_deregistration(body)
    if incarnation is not None:
        orjson.dumps(incarnation)


def check_document(body: bytes) -> None:
    """A document is refused with a message that can be sent, or it survives the log unchanged."""
    try:
        declaration = decode_declaration(body)
    except DeclarationError as error:
        orjson.dumps(error.message)
        return
    record = declaration.to_record()
    stored = orjson.loads(orjson.dumps(record))
    assert Declaration.from_record(stored).to_record() == record


def check_caller_line(content: bytes) -> None:
    """A caller's line violates the protocol, or its statement can be logged and relayed."""
    try:
        line = LineSocket(FixedSocket(content)).read_line()
    except ProtocolError:
        return
    if line is None:
        return
    statement_id, _, text = line.partition(" ")
    statement = decode_statement(statement_id, text)
    if statement.verb.value != "malformed":
        orjson.dumps(statement.statement_id)
    orjson.loads(encode_line({"subject": statement_id, "details": {"text": text}}))
    texts = {"text": text, "name": statement.name, "value": statement.value}
    assert unescape(orjson.loads(orjson.dumps(escape(texts)))) == texts


def check_endpoint_reply(content: bytes) -> None:
    """An endpoint's reply violates the protocol, or it can be relayed and logged."""
    for read in (read_reply, read_open_reply):
        try:
            reply = read(LineSocket(FixedSocket(content)))
            for row in reply.rows:
                decode_status(row)
        except ProtocolError as error:
            encode_line({"message": str(error)})
            continue
        session_reply = SessionReply(ExchangeStatus.OK, rows=reply.rows, position=reply.position)
        session_reply.signature, session_reply.code = reply.signature, reply.error
        session_reply.message = reply.message
        orjson.dumps(escape(reply_to_record(session_reply)))
        encode_line({"subject": reply.error, "details": {"message": reply.message}})


def check_log_entry(record: Any) -> None:
    """An entry of the log is applied or ignored, and is stored and passed on as it was."""
    entry = LogEntry.from_record({"index": 1, "term": 1, "command": record})
    configuration = Configuration()
    apply_command(configuration, 1, entry.command)
    assert configuration.revision == 1
    orjson.dumps(entry.to_record())


def check_snapshot(state: Any) -> None:
    """A snapshot is loaded whole or not at all."""
    configuration = Configuration()
    try:
        load_snapshot(configuration, state)
    except (KeyError, TypeError, ValueError, AttributeError):
        assert configuration.revision == 0 and not configuration.endpoints


def check_control_message(record: Any) -> None:
    """A control message is refused, or its reply can be encoded."""
    try:
        message = Message.from_record(record)
    except (KeyError, TypeError, ValueError, AttributeError):
        return
    orjson.dumps(message.to_record())
    orjson.dumps([message.term + 1, message.index + 1, message.commit + 1])


def check_relayed_statement(record: Any) -> None:
    """A relayed statement is refused, or can be encoded again."""
    try:
        relayed = RelayedStatement.from_record(unescape(record))
    except UNREADABLE:
        return
    encode_line({"subject": relayed.statement_id})


def check_relayed_reply(record: Any) -> None:
    """A relayed reply is refused or fills in the reply."""
    try:
        load_reply(SessionReply(ExchangeStatus.LOST), unescape(record))
    except UNREADABLE:
        return


def check_request(body: bytes) -> None:
    """A request of the own JSON protocol is refused or decoded."""
    try:
        REQUEST_CODEC.decode(body, "Bearer key", 0.0)
    except GentianspreadError as error:
        orjson.dumps(error.message)


def check_token(text: str) -> None:
    """A session token that this fleet did not sign is refused."""
    try:
        TOKEN_CODEC.decode(text)
    except GentianspreadError:
        return
    raise AssertionError("a token that nobody signed was accepted")


def check_http_request(content: bytes) -> None:
    """A request is rejected by the parser, or has an environment."""
    reader = RequestReader()
    try:
        reader.parser.feed_data(content)
    except (httptools.HttpParserError, httptools.HttpParserUpgrade):
        return
    for environ in reader.completed_environs:
        assert isinstance(environ["PATH_INFO"], str)
        environ["PATH_INFO"].encode()


def check_http_response(content: bytes) -> None:
    """A response is rejected by the parser, or has a status."""
    reader = ResponseReader()
    try:
        reader.parser.feed_data(content)
    except (httptools.HttpParserError, httptools.HttpParserUpgrade):
        return


def check_settings(content: bytes) -> None:
    """A settings file is rejected with a message, or read."""
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "settings")
        with open(path, "wb") as file:
            file.write(content)
        try:
            PlatformSettings.from_file(path)
        except SettingsError as error:
            encode_line({"message": error.message})


class Target:
    """One kind of message: how it is generated, and the check that it gets."""

    __slots__ = ("strategy", "check")

    def __init__(self, strategy: st.SearchStrategy[Any], check: Callable[[Any], None]) -> None:
        self.strategy = strategy
        self.check = check


TARGETS = {
    "announcements": Target(
        st.tuples(odd_names(), odd_json_text(ANNOUNCEMENT)), check_announcement
    ),
    "deregistrations": Target(odd_json_text({"born": 1}), check_deregistration),
    "documents": Target(odd_json_text(DOCUMENT), check_document),
    "callers' lines": Target(odd_lines(), check_caller_line),
    "endpoints' replies": Target(odd_lines(), check_endpoint_reply),
    "log entries": Target(
        odd_json(Command(CommandKind.REGISTER_ENDPOINT, {}).to_record()), check_log_entry
    ),
    "snapshots": Target(odd_json(to_snapshot(Configuration())), check_snapshot),
    "control messages": Target(odd_json(MESSAGE), check_control_message),
    "relayed statements": Target(odd_json(RELAYED_STATEMENT), check_relayed_statement),
    "relayed replies": Target(odd_json(RELAYED_REPLY), check_relayed_reply),
    "requests": Target(odd_json_text(REQUEST), check_request),
    "tokens": Target(st.text(), check_token),
    "HTTP requests": Target(damaged_bytes(HTTP_REQUEST), check_http_request),
    "HTTP responses": Target(damaged_bytes(HTTP_RESPONSE), check_http_response),
    "settings files": Target(damaged_bytes(SETTINGS), check_settings),
}


def run_target(name: str, seed_number: int, count: int) -> None:
    """Run one target with a number of messages; raises the error of the shortest failing one."""
    target = TARGETS[name]
    checks = settings(
        max_examples=count,
        database=None,
        deadline=None,
        print_blob=True,
        suppress_health_check=list(HealthCheck),
    )
    seed(seed_number)(checks(given(target.strategy)(target.check)))()


def main() -> int:
    """Run all targets, or the named ones, and print the time that each took."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=DEFAULT_COUNT, help="messages for each target")
    parser.add_argument("targets", nargs="*", default=list(TARGETS))
    arguments = parser.parse_args()
    failed = 0
    for name in arguments.targets:
        started_at = time.monotonic()
        result = "passed"
        try:
            run_target(name, arguments.seed, arguments.count)
        except Exception:
            traceback.print_exc()
            failed += 1
            result = "FAILED"
        elapsed_s = time.monotonic() - started_at
        print(f"{name}: {result}, seed {arguments.seed}, {arguments.count}, {elapsed_s:.1f} s")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
