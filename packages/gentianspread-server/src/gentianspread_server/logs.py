"""Structured logs: one JSON object a line on standard error."""

from __future__ import annotations

import logging
import sys

import orjson
from gentianspread_core.blackboard.timeline import Event

log = logging.getLogger(__name__)

PLAIN_FIELDS = ("member", "subject", "cause", "details")


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


def set_up(level: str) -> None:
    """Send all logs to standard error in the structured form."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)


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
