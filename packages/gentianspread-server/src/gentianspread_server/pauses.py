"""Detects that this process did not run for some time, as when it was frozen."""

from __future__ import annotations

import gevent
from gentianspread_core.interfaces import Clock

TICK_INTERVAL_S = 0.2
MIN_PAUSE_S = 0.8  # clients go to another VM after 1 s, so a shorter pause delays no old request
RECOVERY_S = 0.5  # by then the requests that were received during the pause have been read


class PauseDetector:
    """Tells requests that may have waited unread during a pause from others.

    After a pause, a request may be older than it looks, and its client may have given it up and
    sent a newer one to another VM.
    """

    __slots__ = ("clock", "_ticked_at", "_resumed_at")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._ticked_at = clock.now()
        self._resumed_at = float("-inf")

    def start(self) -> None:
        """Start a greenlet that ticks as long as the process runs."""
        gevent.spawn(self._run)

    def tick(self) -> None:
        """Record that the process runs."""
        now = self.clock.now()
        if now - self._ticked_at >= MIN_PAUSE_S:
            self._resumed_at = now
        self._ticked_at = now

    def has_just_resumed(self) -> bool:
        """Return whether a request read now may have waited during a pause."""
        self.tick()
        return self.clock.now() - self._resumed_at < RECOVERY_S

    def _run(self) -> None:
        while True:
            self.tick()
            gevent.sleep(TICK_INTERVAL_S)
