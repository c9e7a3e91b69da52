"""Structured logs: one JSON object a line on standard output, bounded in volume."""

from __future__ import annotations

import logging
import os
import sys
import time
from collections.abc import Callable

import orjson
from gentianspread_core.blackboard.timeline import Event

log = logging.getLogger(__name__)

PLAIN_FIELDS = ("member", "subject", "cause", "details")
MAX_LINES_PER_S = 100.0  # lines; a VM answers about 50 statements a second, and most need no line
MAX_BURST_LINES = 400.0  # lines; what may come at once, as when a primary is lost
MOST_UNSENT_BYTES = 256 * 1024  # bytes kept for a reader that is slow


class JsonFormatter(logging.Formatter):
    """Formats a record as JSON: time, level, logger, message, and the fields of an event."""

    def format(self, record: logging.LogRecord) -> str:
        """Return one line of JSON."""
        line = {
            "time_ms": int(record.created * 1000),
            "level": record.levelname,
            "logger": record.name,
            "message": record.getMessage(),
        }
        for field in PLAIN_FIELDS:
            value = getattr(record, field, None)
            if value:
                line[field] = value
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return orjson.dumps(line, default=str).decode()


class RateLimitedHandler(logging.Handler):
    """Writes lines to a file descriptor without ever waiting for its reader.

    Lines beyond the rate, and lines that the reader leaves unread for too long, are dropped and
    counted; the next line that is written tells how many.
    """

    def __init__(self, descriptor: int, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self.descriptor = descriptor
        self._clock = clock
        self.dropped = 0
        self._saved = MAX_BURST_LINES
        self._saved_at = clock()
        self._unsent = bytearray()

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or count it as dropped."""
        if not self._takes_line():
            self.dropped += 1
            return
        if self.dropped:
            self._unsent += b'{"message":"lines_dropped","details":{"count":%d}}\n' % self.dropped
            self.dropped = 0
        self._unsent += self.format(record).encode() + b"\n"
        self.flush()

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        try:
            while self._unsent:
                written = os.write(self.descriptor, self._unsent)
                del self._unsent[:written]
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads the log any more, so there is nobody to tell.
            self._unsent.clear()

    def _takes_line(self) -> bool:
        now = self._clock()
        saved = self._saved + (now - self._saved_at) * MAX_LINES_PER_S
        self._saved, self._saved_at = min(saved, MAX_BURST_LINES), now
        if self._saved < 1.0 or len(self._unsent) > MOST_UNSENT_BYTES:
            return False
        self._saved -= 1.0
        return True


def configure_logging(level: str) -> RateLimitedHandler:
    """Send all logs to standard output in the structured form."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = RateLimitedHandler(descriptor)
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    return handler


def log_event(event: Event) -> None:
    """Log an event of the time line."""
    log.info(
        event.kind.value,
        extra={
            "member": event.member,
            "subject": event.subject,
            "cause": event.cause,
            "details": event.details,
        },
    )
