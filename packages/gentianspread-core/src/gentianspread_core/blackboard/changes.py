"""Changes of sections, and the queue that delivers them to the controllers."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from enum import Enum, auto
from typing import Any

MAX_TIMER_RETRIES = 10  # of a timer for one item; timers without an entry are retried for ever
TIMER_RETRY_DELAY_S = 1.0


class Topic(Enum):
    """Kinds of changes, to which controllers subscribe."""

    REQUEST_ARRIVED = auto()
    REQUEST_AUTHENTICATED = auto()
    REQUEST_PERMITTED = auto()
    REQUEST_ROUTED = auto()
    REQUEST_RETRIED = auto()
    REQUEST_REFUSED = auto()
    REQUEST_EXPIRED = auto()
    REQUEST_CANCELLED = auto()
    REQUEST_DONE = auto()
    EXCHANGE_SCHEDULED = auto()
    EXCHANGE_ENDED = auto()
    REPLICA_WATCH_ENDED = auto()
    POLL_RECEIVED = auto()
    TOKENS_RECEIVED = auto()
    TOKENS_REQUESTED = auto()
    TOKEN_RETRY_DUE = auto()
    WATCH_RETRY_DUE = auto()
    COMMAND_APPLIED = auto()
    SNAPSHOT_INSTALLED = auto()
    TRANSACTION_ENDED = auto()
    TRANSACTION_REVOKED = auto()
    TRANSACTION_CHECK_DUE = auto()
    ENDPOINT_CHANGED = auto()
    ENDPOINT_CHECK_DUE = auto()
    PROBE_ENDED = auto()
    ENDPOINT_COMMAND_ENDED = auto()
    ENTRIES_COMMITTED = auto()
    CONFIGURATION_CHANGED = auto()
    CONFIGURATION_RECEIVED = auto()
    CONFIGURATION_CONFIRMED = auto()
    LEASE_PASSED_ON = auto()
    VMS_INFORMED = auto()
    COMMIT_EXPIRED = auto()
    EVACUATIONS_CHANGED = auto()
    EVACUATION_PHASE_DUE = auto()
    EVACUATION_PHASE_BEGAN = auto()
    FRESHNESS_CHANGED = auto()
    FRESHNESS_REGAINED = auto()
    FRESHNESS_CHECK_DUE = auto()
    MESSAGE_RECEIVED = auto()
    RECORDS_SYNCED = auto()
    COMMAND_PROPOSED = auto()
    LEADERSHIP_CHANGED = auto()
    LEADER_FOUND = auto()
    ELECTION_DUE = auto()
    CONTROL_STARTED = auto()
    QUORUM_LOST = auto()
    VOTERS_CHANGED = auto()
    LOG_RECOVERED = auto()
    SNAPSHOT_DUE = auto()
    HEARTBEAT_DUE = auto()
    FAILOVER_CHECK_DUE = auto()
    HEALTH_CHECK_DUE = auto()
    HEALTH_UPDATED = auto()
    PROMOTION_ENDED = auto()
    REPAIR_CHECK_DUE = auto()
    SESSION_OPENED = auto()
    SESSION_OPENING_DUE = auto()
    SESSION_DECIDED = auto()
    SESSION_CLOSED = auto()
    STATEMENT_ARRIVED = auto()
    STATEMENT_ANSWERED = auto()
    SESSION_CHECK_DUE = auto()
    REQUEST_NEEDS_NO_ENDPOINT = auto()
    OBSERVATION_RECEIVED = auto()
    ENTRY_VMS_COUNTED = auto()
    MEMBER_REPORTED = auto()
    HOMES_RECEIVED = auto()
    HOMES_CHANGED = auto()
    RELAY_RECEIVED = auto()
    RELAY_RELEASED = auto()
    RELAY_ANSWERED = auto()
    RELAY_ENDED = auto()
    RELAY_CHECK_DUE = auto()
    SHUTDOWN_REQUESTED = auto()
    SHUTDOWN_PHASE_DUE = auto()
    SHUTDOWN_PHASE_CHANGED = auto()
    INTENT_POSTED = auto()
    ENDPOINTS_DOUBTED = auto()
    ENDPOINT_TOKENS_REQUESTED = auto()
    ENDPOINT_TOKENS_RECEIVED = auto()
    ENDPOINT_TOKENS_DUE = auto()
    WARMUP_CHECK_DUE = auto()


Handler = Callable[[Any], None]


class Change:
    """One change of a section's entry.

    `handler` is the only one to deliver it to, or none for all that subscribed. `retries` is how
    often it may be delivered again to a handler that failed.
    """

    __slots__ = ("topic", "entry", "handler", "retries")

    def __init__(
        self, topic: Topic, entry: Any, handler: Handler | None = None, retries: int = 0
    ) -> None:
        self.topic = topic
        self.entry = entry
        self.handler = handler
        self.retries = retries


class Timer:
    """A change that is due at a time of the clock, in seconds; `sequence` breaks ties."""

    __slots__ = ("due", "sequence", "change")

    def __init__(self, due: float, sequence: int, change: Change) -> None:
        self.due = due
        self.sequence = sequence
        self.change: Change | None = change

    def cancel(self) -> None:
        """Prevent the delivery, and drop the change.

        The timer stays in the heap until it is due; a request of up to 1 MB would stay with it.
        """
        self.change = None

    def __lt__(self, other: Timer) -> bool:
        return (self.due, self.sequence) < (other.due, other.sequence)


class ChangeQueue:
    """The pending changes and timers of one board.

    `run_pending` runs until no change is pending. Handlers never block, so a run also processes the
    changes that they post, and a nested call returns at once. `on_timer` is called when a new timer
    is the earliest, `on_idle` after each run.

    `on_error` is called with an error that a handler raised; unless it raises, as the default does,
    the run goes on. A timer's change is then delivered again after a delay, as a periodic handler
    may have failed before it set its next timer.
    """

    __slots__ = (
        "_pending",
        "_handlers",
        "_timers",
        "_is_running",
        "_timer_count",
        "on_timer",
        "on_idle",
        "on_error",
    )

    def __init__(self) -> None:
        self._pending: deque[Change] = deque()
        self._handlers: dict[Topic, list[Handler]] = {topic: [] for topic in Topic}
        self._timers: list[Timer] = []
        self._is_running = False
        self._timer_count = 0
        self.on_timer: Callable[[], None] = _ignore
        self.on_idle: Callable[[], None] = _ignore
        self.on_error: Callable[[Change, Exception], None] = _raise

    def subscribe(self, topic: Topic, handler: Handler) -> None:
        """Call a handler for each change of the topic, after those already subscribed."""
        self._handlers[topic].append(handler)

    def post(self, topic: Topic, entry: Any = None) -> None:
        """Append a change, to be delivered by `run_pending`."""
        self._pending.append(Change(topic, entry))

    def post_at(self, due: float, topic: Topic, entry: Any = None) -> Timer:
        """Add a change that is delivered once the clock reaches the time."""
        return self._add_timer(due, Change(topic, entry, retries=MAX_TIMER_RETRIES))

    def _add_timer(self, due: float, change: Change) -> Timer:
        self._timer_count += 1
        timer = Timer(due, self._timer_count, change)
        heapq.heappush(self._timers, timer)
        if self._timers[0] is timer:
            self.on_timer()
        return timer

    def next_due(self) -> float | None:
        """Return the time of the earliest timer, in seconds, or none."""
        while self._timers and self._timers[0].change is None:
            heapq.heappop(self._timers)
        return self._timers[0].due if self._timers else None

    def run_pending(self, now: float) -> None:
        """Deliver the due timers and the pending changes until none is left."""
        if self._is_running:
            return
        self._is_running = True
        try:
            self._take_due_timers(now)
            while self._pending:
                change = self._pending.popleft()
                handlers = [change.handler] if change.handler else self._handlers[change.topic]
                for handler in handlers:
                    self._deliver(change, handler, now)
        finally:
            self._is_running = False
        self.on_idle()

    def _deliver(self, change: Change, handler: Handler, now: float) -> None:
        timer_count = self._timer_count
        try:
            handler(change.entry)
        except Exception as error:
            self.on_error(change, error)
            if change.retries and not self._has_timer_since(timer_count, change):
                is_periodic = change.entry is None
                retries = change.retries if is_periodic else change.retries - 1
                again = Change(change.topic, change.entry, handler, retries)
                self._add_timer(now + TIMER_RETRY_DELAY_S, again)

    def _has_timer_since(self, timer_count: int, change: Change) -> bool:
        """Return whether a handler has set the next timer of its topic and entry itself."""
        return any(
            timer.sequence > timer_count
            and timer.change is not None
            and timer.change.topic is change.topic
            and timer.change.entry is change.entry
            for timer in self._timers
        )

    def _take_due_timers(self, now: float) -> None:
        while self._timers and self._timers[0].due <= now:
            timer = heapq.heappop(self._timers)
            if timer.change is not None:
                self._pending.append(timer.change)


def _raise(_change: Change, error: Exception) -> None:
    """Raise a handler's error; the default callback."""
    raise error


def _ignore() -> None:
    """Do nothing; the default callback."""
