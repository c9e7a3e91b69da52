"""Reads events from collected log files, so that a failure can be explained without the fleet."""

from __future__ import annotations

import logging
import os
from typing import Any

import orjson
from gentianspread_core.blackboard.timeline import EventKind
from gentianspread_core.errors import ErrorCode, GentianspreadError

log = logging.getLogger(__name__)

Event = dict[str, Any]
EVENT_KINDS = frozenset(kind.value for kind in EventKind)


def read_events(path: str) -> list[Event]:
    """Return the events of a log file, or of all files of a folder, in the order of their time.

    Text that log collectors add before a line's JSON object is ignored, and so are lines without
    an event.
    """
    paths = [path]
    if os.path.isdir(path):
        paths = [os.path.join(path, name) for name in sorted(os.listdir(path))]
    events: list[Event] = []
    for name in paths:
        events.extend(_read_file(name))
    events.sort(key=lambda event: event["wall_ms"])
    return events


def _read_file(path: str) -> list[Event]:
    try:
        with open(path, "rb") as file:
            decoded = [_decode_event(line) for line in file]
    except OSError as error:
        raise GentianspreadError(
            ErrorCode.INVALID_SETTINGS,
            f"{path}: {error.strerror}.",
            remedy="Name a log file or a folder.",
        ) from None
    return [event for event in decoded if event is not None]


def _decode_event(line: bytes) -> Event | None:
    start = line.find(b"{")
    if start < 0:
        return None
    try:
        record = orjson.loads(line[start:])
    except orjson.JSONDecodeError:
        log.debug("a log line was ignored: it contains no JSON object")
        return None
    if record.get("message") not in EVENT_KINDS:
        return None
    return {
        "wall_ms": record["time_ms"],
        "counter": 0,
        "member": record.get("member", ""),
        "kind": record["message"],
        "subject": record.get("subject", ""),
        "cause": record.get("cause", ""),
        "details": record.get("details", {}),
    }
