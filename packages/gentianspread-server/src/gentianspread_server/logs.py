"""Structured logging: one JSON object per line on standard output, with a rate limit."""

from __future__ import annotations

import logging
import os
import sys
import time
from collections.abc import Callable
from typing import Any

import orjson
from gentianspread_core.blackboard.timeline import Event

log = logging.getLogger(__name__)

EVENT_FIELDS = ("member", "subject", "cause", "details")
MAX_LINES_PER_S = 100.0  # a VM answers about 50 statements a second and logs few of them
MAX_BURST_LINES = 400.0  # room for many events at once, as when a primary is lost
MAX_UNSENT_BYTES = 256 * 1024  # buffered for a slow reader
MAX_DEPTH = 8  # of the lists and objects in a line that JSON cannot carry as it is
MAX_INTEGER = 2**63


class JsonFormatter(logging.Formatter):
    """Formats a record as JSON: time, level, logger, message, and the fields of its event."""

    def format(self, record: logging.LogRecord) -> str:
        """Return one line of JSON."""
        line = {
            "time_ms": int(record.created * 1000),
            "level": record.levelname,
            "logger": record.name,
            "message": record.getMessage(),
        }
        for field in EVENT_FIELDS:
            value = getattr(record, field, None)
            if value:
                line[field] = value
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return encode_line(line)


def encode_line(line: dict[str, Any]) -> str:
    """Encode a line as JSON, and replace in it what JSON cannot carry."""
    try:
        return orjson.dumps(line, default=str).decode()
    except TypeError:  # also of texts that are not UTF-8, large integers and deep lists
        return orjson.dumps(_make_encodable(line, MAX_DEPTH)).decode()


def _make_encodable(value: Any, depth: int) -> Any:
    if value is None or isinstance(value, bool | float):
        return value
    if isinstance(value, int):
        return value if abs(value) < MAX_INTEGER else str(value)
    if isinstance(value, str):
        return make_readable(value)
    if isinstance(value, dict) and depth:
        items = value.items()
        return {make_readable(str(key)): _make_encodable(item, depth - 1) for key, item in items}
    if isinstance(value, list | tuple) and depth:
        return [_make_encodable(item, depth - 1) for item in value]
    return f"<{type(value).__name__}>"


def make_readable(text: str) -> str:
    """Return a text that UTF-8 can carry; bytes that were not UTF-8 are shown as escapes."""
    try:
        return text.encode("utf-8", "surrogateescape").decode("utf-8", "backslashreplace")
    except UnicodeEncodeError:
        return text.encode("utf-8", "backslashreplace").decode()


class RateLimitedHandler(logging.Handler):
    """Writes lines to a non-blocking file descriptor, limited by a token bucket.

    Lines are dropped and counted if they exceed the rate or if too many bytes are still unsent. A
    `lines_dropped` line with the count precedes the next line that is written. Logging never
    raises: a record that cannot be formatted is written without its message and counted.
    """

    def __init__(self, descriptor: int, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self.descriptor = descriptor
        self._clock = clock
        self.dropped = 0
        self.failed = 0
        self._tokens = MAX_BURST_LINES
        self._refilled_at = clock()
        self._unsent = bytearray()

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or count it as dropped."""
        if not self._take_token():
            self.dropped += 1
            return
        if self.dropped:
            self._unsent += b'{"message":"lines_dropped","details":{"count":%d}}\n' % self.dropped
            self.dropped = 0
        self._unsent += self._format_safely(record).encode() + b"\n"
        self.flush()

    def _format_safely(self, record: logging.LogRecord) -> str:
        try:
            return self.format(record)
        except Exception as error:  # whatever a value's own text raises
            self.failed += 1
            cause = f"formatting a record failed: {type(error).__name__}"
            line = {"level": record.levelname, "logger": record.name, "message": cause}
            return encode_line(
                {**line, "details": {"line": record.lineno, "file": record.filename}}
            )

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        try:
            while self._unsent:
                written = os.write(self.descriptor, self._unsent)
                del self._unsent[:written]
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the log, so the error cannot be logged.
            self._unsent.clear()

    def _take_token(self) -> bool:
        now = self._clock()
        tokens = self._tokens + (now - self._refilled_at) * MAX_LINES_PER_S
        self._tokens, self._refilled_at = min(tokens, MAX_BURST_LINES), now
        if self._tokens < 1.0 or len(self._unsent) > MAX_UNSENT_BYTES:
            return False
        self._tokens -= 1.0
        return True


def configure_logging(level: str) -> RateLimitedHandler:
    """Write all log records to standard output as JSON lines."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = RateLimitedHandler(descriptor)
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    return handler


def log_event(event: Event) -> None:
    """Log an event of the timeline."""
    log.info(
        event.kind.value,
        extra={
            "member": event.member,
            "subject": event.subject,
            "cause": event.cause,
            "details": event.details,
        },
    )
