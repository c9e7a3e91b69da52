"""Section of events: what happened, when, and what caused it."""

from __future__ import annotations

import traceback
from collections import deque
from enum import Enum
from typing import Any

MAX_EVENTS = 20_000
ERROR_LOG_INTERVAL_MS = 1000
MAX_ERROR_CHARS = 300
MAX_STACK_FRAMES = 4
MAX_ID_CHARS = 100  # shown of a request's id; callers may send up to 1 MB


def request_label(request_id: str | int | None) -> str:
    """Return how events and log lines name a request: by the start of its id."""
    return f"request {str(request_id)[:MAX_ID_CHARS]}"


class EventKind(Enum):
    """Kinds of events."""

    STARTED = "started"
    STOPPING = "stopping"
    STOPPED = "stopped"
    LEADER_ELECTED = "leader_elected"
    LEADER_LOST = "leader_lost"
    CHANGE_ACCEPTED = "change_accepted"
    CHANGE_REJECTED = "change_rejected"
    CONFIGURATION_APPLIED = "configuration_applied"
    ENTRY_IGNORED = "entry_ignored"
    FRESHNESS_LOST = "freshness_lost"
    FRESHNESS_REGAINED = "freshness_regained"
    REQUEST_REFUSED = "request_refused"
    REQUEST_UNKNOWN = "request_unknown"
    REQUEST_RETRIED = "request_retried"
    REQUEST_ANSWERED = "request_answered"
    COMMIT_WITHHELD = "commit_withheld"
    STATEMENT_UNANSWERED = "statement_unanswered"
    ENDPOINT_SUSPECTED = "endpoint_suspected"
    HOME_SUSPECTED = "home_suspected"
    ENDPOINT_RECOVERED = "endpoint_recovered"
    ENDPOINT_EJECTED = "endpoint_ejected"
    ENDPOINT_READMITTED = "endpoint_readmitted"
    HOME_EJECTED = "home_ejected"
    LOAD_SPREAD = "load_spread"
    ENDPOINT_COLD = "endpoint_cold"
    ENDPOINT_WARM = "endpoint_warm"
    POOL_FLUSHED = "pool_flushed"
    LOG_LOST = "log_lost"
    FAILOVER_STARTED = "failover_started"
    FENCE_FAILED = "fence_failed"
    PROMOTION_BLOCKED = "promotion_blocked"
    REPLICATION_PAUSED = "replication_paused"
    REPLICATION_RESUMED = "replication_resumed"
    PRIMARY_STEPPED_DOWN = "primary_stepped_down"
    PROMOTE_CALLED = "promote_called"
    PROMOTE_ENDED = "promote_ended"
    PRIMARY_PROMOTED = "primary_promoted"
    PRIMARY_OBSERVED = "primary_observed"
    OBSERVATION_IGNORED = "observation_ignored"
    ENDPOINT_JOINED = "endpoint_joined"
    ENDPOINT_RESTARTED = "endpoint_restarted"
    ENDPOINT_LEAVING = "endpoint_leaving"
    ENDPOINT_DEPARTED = "endpoint_departed"
    ENDPOINT_ENDED = "endpoint_ended"
    ALLOCATOR_NAMED = "allocator_named"
    VOTER_LOST = "voter_lost"
    VOTERS_CHANGED = "voters_changed"
    VOTERS_ASSUMED = "voters_assumed"
    VOTERS_UNKNOWN = "voters_unknown"
    REDUNDANCY_RESTORED = "redundancy_whole"
    EVACUATION_BEGUN = "evacuation_begun"
    EVACUATION_FINISHED = "evacuation_finished"
    EVACUATION_ENFORCED = "evacuation_enforced"
    KEY_DECISION_NEWER = "key_decision_newer"
    TRANSACTION_DROPPED = "transaction_dropped"
    INVARIANT_VIOLATED = "invariant_broken"
    ERROR_HANDLED = "error_handled"
    PEER_CLOSED = "peer_closed"


class Event:
    """One event with a hybrid logical clock timestamp: wall time in ms, then a counter."""

    __slots__ = ("wall_ms", "counter", "member", "kind", "subject", "cause", "details")

    def __init__(
        self,
        wall_ms: int,
        counter: int,
        member: str,
        kind: EventKind,
        subject: str,
        cause: str,
        details: dict[str, Any],
    ) -> None:
        self.wall_ms = wall_ms
        self.counter = counter
        self.member = member
        self.kind = kind
        self.subject = subject
        self.cause = cause
        self.details = details

    def to_record(self) -> dict[str, Any]:
        """Return the JSON form."""
        record = {slot: getattr(self, slot) for slot in self.__slots__}
        record["kind"] = self.kind.value
        return record


class Timeline:
    """The latest events of this VM, and its hybrid logical clock.

    Source of the timestamps: Kulkarni and others, "Logical Physical Clocks", 2014.

    `errors` counts, by place, the errors after which the work went on with the next item.
    """

    __slots__ = (
        "member",
        "events",
        "wall_ms",
        "counter",
        "_wall_clock",
        "counts",
        "errors",
        "_error_logged_ms",
        "sink",
    )

    def __init__(self, member: str, wall_clock: Any) -> None:
        self.member = member
        self.events: deque[Event] = deque(maxlen=MAX_EVENTS)
        self.wall_ms = 0
        self.counter = 0
        self._wall_clock = wall_clock
        self.counts: dict[EventKind, int] = {}
        self.errors: dict[str, int] = {}
        self._error_logged_ms: dict[str, int] = {}
        self.sink: Any = None

    def record(self, kind: EventKind, subject: str, cause: str = "", **details: Any) -> None:
        """Add an event about a subject, with the rule or event that caused it."""
        self._advance(self._wall_clock())
        event = Event(self.wall_ms, self.counter, self.member, kind, subject, cause, details)
        self.events.append(event)
        self.counts[kind] = self.counts.get(kind, 0) + 1
        if self.sink is not None:
            self.sink(event)

    def log_only(self, kind: EventKind, subject: str, cause: str = "", **details: Any) -> None:
        """Log an event without keeping it, for events that occur with every request."""
        self._advance(self._wall_clock())
        self.counts[kind] = self.counts.get(kind, 0) + 1
        if self.sink is not None:
            self.sink(Event(self.wall_ms, self.counter, self.member, kind, subject, cause, details))

    def record_error(self, place: str, error: BaseException) -> None:
        """Count an error after which the work goes on, and record one a second for each place."""
        self.errors[place] = self.errors.get(place, 0) + 1
        now_ms = self._wall_clock()
        logged_ms = self._error_logged_ms.get(place)
        if logged_ms is not None and abs(now_ms - logged_ms) < ERROR_LOG_INTERVAL_MS:
            return
        self._error_logged_ms[place] = now_ms
        cause = f"{type(error).__name__}: {error}"[:MAX_ERROR_CHARS]
        frames = traceback.extract_tb(error.__traceback__)[-MAX_STACK_FRAMES:]
        stack = [f"{frame.filename}:{frame.lineno} {frame.name}" for frame in frames]
        self.record(EventKind.ERROR_HANDLED, place, cause, count=self.errors[place], stack=stack)

    def observe(self, wall_ms: int, counter: int) -> None:
        """Advance the clock to the timestamp of a message from another VM, if that is later."""
        if (wall_ms, counter) > (self.wall_ms, self.counter):
            self.wall_ms = wall_ms
            self.counter = counter

    def _advance(self, now_ms: int) -> None:
        if now_ms > self.wall_ms:
            self.wall_ms = now_ms
            self.counter = 0
        else:
            self.counter += 1
