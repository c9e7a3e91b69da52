"""Reads the events of collected log files, so that they can be explained without the fleet."""

from __future__ import annotations

import logging
import os
from typing import Any

import orjson
from gentianspread_core.blackboard.timeline import EventKind
from gentianspread_core.errors import ErrorCode, GentianspreadError

log = logging.getLogger(__name__)

Event = dict[str, Any]
KINDS = frozenset(kind.value for kind in EventKind)


def read_events(path: str) -> list[Event]:
    """Return the events of a log file, or of all files of a folder, in the order of their time.

    Text before a line's JSON object, as collectors add it, is passed over; lines without an event
    are left out.
    """
    paths = [path]
    if os.path.isdir(path):
        paths = [os.path.join(path, name) for name in sorted(os.listdir(path))]
    events: list[Event] = []
    for name in paths:
        events.extend(_events_of(name))
    events.sort(key=lambda event: event["wall_ms"])
    return events


def _events_of(path: str) -> list[Event]:
    try:
        with open(path, "rb") as file:
            lines = [_event(line) for line in file]
    except OSError as error:
        raise GentianspreadError(
            ErrorCode.INVALID_SETTINGS,
            f"{path}: {error.strerror}.",
            remedy="Name a log file or a folder.",
        ) from None
    return [event for event in lines if event is not None]


def _event(line: bytes) -> Event | None:
    start = line.find(b"{")
    if start < 0:
        return None
    try:
        record = orjson.loads(line[start:])
    except orjson.JSONDecodeError:
        log.debug("a line is left out: it holds no JSON object")
        return None
    if record.get("message") not in KINDS:
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
