"""Counts of the connections that were refused or closed at a limit, and log lines about them."""

from __future__ import annotations

import time

from gentianspread_core.blackboard.timeline import EventKind, Timeline

from .peers import EndReason, PeerActivity

LOG_INTERVAL_S = 1.0  # per reason, activity and port; a flood would fill the log otherwise
ALL_PORTS = "all"
REFUSED = "refused"  # a connection that was not accepted, which has no activity yet


class ResourceReport:
    """Counts by reason, activity and port; one log line a second for each, with its count."""

    __slots__ = ("counts", "_timeline", "_logged")

    def __init__(self, timeline: Timeline) -> None:
        self.counts: dict[tuple[str, str, str], int] = {}
        self._timeline = timeline
        self._logged: dict[tuple[str, str, str], tuple[float, int]] = {}

    def count(
        self, reason: EndReason, activity: PeerActivity | None, port: str = ALL_PORTS
    ) -> None:
        """Count a connection; the port is that of the limit that it met."""
        name = REFUSED if activity is None else activity.name.lower()
        key = (reason.text(), name, port)
        total = self.counts.get(key, 0) + 1
        self.counts[key] = total
        now = time.monotonic()
        logged_at, logged_total = self._logged.get(key, (-LOG_INTERVAL_S, 0))
        if now - logged_at < LOG_INTERVAL_S:
            return
        self._logged[key] = (now, total)
        self._timeline.log_only(
            EventKind.PEER_CLOSED,
            f"port {port}",
            reason.text(),
            activity=name,
            count=total - logged_total,
            total=total,
        )
