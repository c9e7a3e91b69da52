"""Section of what other VMs report of the load of endpoints; owned by the load controller.

The endpoint selector owns the fields on its decisions.

A home VM knows its own part of an endpoint's load exactly and returns it with each reply to a
relayed statement. So reports cost no message of their own, and each has an age.
"""

from __future__ import annotations

from typing import Any

MAX_REPORT_AGE_S = 2.0  # older reports say nothing about the load at present
RECORD_DIGITS = 4  # a tenth of a millisecond


class EndpointLoad:
    """One home VM's part of an endpoint's load.

    `running` and `waiting` count statements, `wait_s` is how long the newest dispatched one waited
    at the home, `service_s` the smoothed time that the endpoint takes for a statement, both in
    seconds. `measured_at` is in seconds of the clock of the VM that holds the report. `waits` gives
    the seconds that a new statement of each priority is expected to wait there; it is empty if none
    waits.
    """

    __slots__ = ("running", "waiting", "wait_s", "service_s", "measured_at", "waits")

    def __init__(
        self, running: int, waiting: int, wait_s: float, service_s: float, measured_at: float
    ) -> None:
        self.running = running
        self.waiting = waiting
        self.wait_s = wait_s
        self.service_s = service_s
        self.measured_at = measured_at
        self.waits: dict[int, float] = {}

    @classmethod
    def from_record(cls, record: list[float], received_at: float) -> EndpointLoad:
        """Build from the JSON form; the age of a report starts when it is received."""
        running, waiting, wait_s, service_s, *rest = record
        load = cls(int(running), int(waiting), float(wait_s), float(service_s), received_at)
        for priority, seconds in rest[0] if rest else ():
            load.waits[int(priority)] = float(seconds)
        return load

    def to_record(self) -> list[Any]:
        """Return the JSON form, without the time of measurement, and without empty waits."""
        wait_s, service_s = round(self.wait_s, RECORD_DIGITS), round(self.service_s, RECORD_DIGITS)
        record: list[Any] = [self.running, self.waiting, wait_s, service_s]
        if self.waits:
            record.append([[key, round(item, RECORD_DIGITS)] for key, item in self.waits.items()])
        return record

    def expected_wait_s(self, priority: int, now: float) -> float:
        """Return how long a new statement of a priority would wait, as far as the report says.

        What waited when the report was made is served as time passes, so the age is subtracted.
        """
        known = [item for item in self.waits if item <= priority]
        if not known:
            return 0.0
        return max(0.0, self.waits[max(known)] - (now - self.measured_at))


class Loads:
    """The newest reports, by endpoint and home VM; `is_reported` enables sending them.

    `migrations` counts the requests that went to another endpoint because of the load, the newest
    one by information of the age `decided_age_s` in seconds.
    """

    __slots__ = ("by_endpoint", "is_reported", "migrations", "decided_age_s")

    def __init__(self) -> None:
        self.by_endpoint: dict[str, dict[str, EndpointLoad]] = {}
        self.is_reported = False
        self.migrations = 0
        self.decided_age_s = 0.0

    def recent(self, endpoint: str, now: float) -> dict[str, EndpointLoad]:
        """Return the recent reports on an endpoint by home VM."""
        reports = self.by_endpoint.get(endpoint, {})
        return {
            name: report
            for name, report in reports.items()
            if now - report.measured_at <= MAX_REPORT_AGE_S
        }

    def of_home(self, endpoint: str, home: str, now: float) -> EndpointLoad | None:
        """Return a home's report on an endpoint, unless it has none that is recent."""
        report = self.by_endpoint.get(endpoint, {}).get(home)
        if report is None or now - report.measured_at > MAX_REPORT_AGE_S:
            return None
        return report
