"""Steps about the structured logs."""

from __future__ import annotations

import json
import logging
import os
import time

from behave import given, then, when
from gentianspread_core.blackboard.timeline import Event, EventKind
from gentianspread_lab.fakes import FakeClock
from gentianspread_server.logs import (
    MAX_BURST_LINES,
    MAX_LINES_PER_S,
    JsonFormatter,
    RateLimitedHandler,
    log_event,
)


def _open_log(context):
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    os.set_blocking(reader, False)
    context.reader = reader
    context.log_clock = FakeClock()
    handler = RateLimitedHandler(writer, context.log_clock.now)
    handler.setFormatter(JsonFormatter())
    context.handler = handler
    return handler


def _record(text):
    return logging.LogRecord("test", logging.INFO, "", 0, text, (), None)


def _read(context):
    content = b""
    while True:
        try:
            chunk = os.read(context.reader, 65536)
        except BlockingIOError:
            break
        content += chunk
        context.handler.flush()
    return [json.loads(line) for line in content.splitlines()]


@given("a log whose reader reads everything")
@given("a log whose reader reads nothing")
def step_log(context):
    _open_log(context)


@when("{count:d} lines are logged at once")
def step_log_lines(context, count):
    for number in range(count):
        context.handler.emit(_record(f"line {number}"))


@then("fewer than {count:d} lines arrive")
def step_fewer(context, count):
    lines = _read(context)
    assert len(lines) == MAX_BURST_LINES < count, len(lines)


@when("the rate limit allows lines again and one more is logged")
def step_refill(context):
    context.log_clock.time += 1.0
    context.handler.emit(_record("one more"))


@then("the lines that arrive include the number of dropped lines")
def step_dropped_count(context):
    reports = [line for line in _read(context) if line["message"] == "lines_dropped"]
    assert [line["details"]["count"] for line in reports] == [1000 - MAX_BURST_LINES], reports


@when("{count:d} lines of {size:d} bytes are logged within the rate limit")
def step_slow_reader(context, count, size):
    started_at = time.monotonic()
    for _ in range(count):
        context.log_clock.time += 1.0 / MAX_LINES_PER_S
        context.handler.emit(_record("x" * size))
    context.elapsed_s = time.monotonic() - started_at


@then("logging took less than {seconds:d} s, and lines were dropped")
def step_elapsed(context, seconds):
    assert context.elapsed_s < seconds, context.elapsed_s
    assert context.handler.dropped > 0


@when('an event about "{subject:Quoted}" caused by "{cause:w}" is logged')
def step_log_event(context, subject, cause):
    root = logging.getLogger()
    before, level = root.handlers, root.level
    root.handlers, root.level = [context.handler], logging.INFO
    try:
        log_event(Event(1, 0, "vm", EventKind.REQUEST_REFUSED, subject, cause, {}))
    finally:
        root.handlers, root.level = before, level


@then('the line that arrives has the subject "{subject:Quoted}" and the cause "{cause:w}"')
def step_line(context, subject, cause):
    (line,) = _read(context)
    assert line["subject"] == subject and line["cause"] == cause, line


class Unprintable:
    def __str__(self):
        raise ValueError("no text")


def _nested_list(levels):
    value = []
    for _ in range(levels):
        value = [value]
    return value


ODD_VALUES = {
    "bytes that are not UTF-8": b"\xff\xfeid".decode("utf-8", "surrogateescape"),
    "a lone surrogate": "\ud800",
    "an integer beyond 64 bits": 2**65,
    "an object without a text": Unprintable(),
    "lists nested 1000 deep": _nested_list(1000),
    "a key that is not UTF-8": {"\udcff": 1},
}


@when("an event about {value} is logged")
def step_odd_line(context, value):
    odd = ODD_VALUES[value]
    record = _record(f"request {odd}" if isinstance(odd, str) else "request")
    record.subject = odd if isinstance(odd, str) else "request"
    record.details = {"value": odd}
    context.handler.emit(record)


@then("a line of valid UTF-8 arrives that shows {text}")
def step_odd_line_arrives(context, text):
    (line,) = _read(context)
    assert text in json.dumps(line["details"], ensure_ascii=False).replace("\\\\", "\\"), line
    assert line["logger"] == "test" and line["message"].startswith("request")


@when("a record with too few arguments is logged")
def step_bad_record(context):
    record = logging.LogRecord("test", logging.INFO, "", 0, "%s of %s", (1,), None)
    context.handler.emit(record)


@then("a line arrives that names its logger, and the failure is counted")
def step_bad_record_arrives(context):
    (line,) = _read(context)
    assert line["logger"] == "test", line
    assert context.handler.failed == 1
