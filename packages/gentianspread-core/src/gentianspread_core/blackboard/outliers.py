"""Section of endpoints that are slower or fail more often than their peers.

Owned by the outlier controller. The state of an ejected endpoint travels with the replies of home
VMs, so that VMs which have sent nothing to the endpoint know it too.
"""

from __future__ import annotations

import math
from typing import Any

STATISTICS_WINDOW_S = 2.0  # a home VM sees some 20 statements in it; callers notice longer faults
LATENCY_WEIGHT = 0.1  # of the newest exchange; adapts within ten, as the endpoint controller's does
MAX_LATENCY_AGE_S = 2.0  # as of a load report; an unused endpoint may have recovered since
RECORD_DIGITS = 3  # a millisecond


class ExchangeStatistics:
    """Exponentially decayed counts of exchanges and failures with one endpoint or home VM.

    `latency_s` is the smoothed time of the successful ones; `updated_at` is in seconds of the VM's
    clock.
    """

    __slots__ = ("results", "failures", "latency_s", "updated_at")

    def __init__(self) -> None:
        self.results = 0.0
        self.failures = 0.0
        self.latency_s = 0.0
        self.updated_at = 0.0

    def add(self, is_failure: bool, latency_s: float, now: float) -> None:
        """Count an exchange; a failure has no latency, so that fast failures do not look fast."""
        decay = math.exp((self.updated_at - now) / STATISTICS_WINDOW_S)
        self.results *= decay
        self.failures *= decay
        self.updated_at = now
        self.results += 1.0
        if is_failure:
            self.failures += 1.0
        else:
            successes = self.results - self.failures
            weight = max(LATENCY_WEIGHT, 1.0 / max(1.0, successes))
            self.latency_s += (latency_s - self.latency_s) * weight

    def failure_share(self) -> float:
        """Return the share of exchanges that failed, 0 if there were none."""
        return self.failures / self.results if self.results else 0.0


class Ejection:
    """The reduced share of new work that an endpoint gets, 0 while only probes are sent.

    `version` orders the states of one endpoint over all VMs. `changed_at` is when the state was
    last decided, `probe_at` when this VM may send the next probe, in seconds of this VM's clock.
    `count` is how often the endpoint was ejected in a row.
    """

    __slots__ = ("share", "version", "changed_at", "probe_at", "count")

    def __init__(self, share: float, version: int, changed_at: float, count: int) -> None:
        self.share = share
        self.version = version
        self.changed_at = changed_at
        self.probe_at = changed_at
        self.count = count

    @classmethod
    def from_record(cls, record: list[float], now: float) -> Ejection:
        """Build from the JSON form; raises a `ValueError` or `TypeError` if it is no such list."""
        share, version, age_s, count = record
        return cls(float(share), int(version), now - max(0.0, float(age_s)), int(count))

    def to_record(self, now: float) -> list[float]:
        """Return the JSON form, with the age of the state in seconds."""
        age_s = round(now - self.changed_at, RECORD_DIGITS)
        return [self.share, self.version, age_s, self.count]

    def is_newer_than(self, other: Ejection | None) -> bool:
        """Return whether this state replaces another; of two concurrent ones the lower share."""
        if other is None:
            return True
        return (self.version, -self.share) > (other.version, -other.share)


class Outliers:
    """Statistics of endpoints and home VMs by name, and the ejections in effect."""

    __slots__ = ("endpoints", "homes", "ejections", "ejected_homes")

    def __init__(self) -> None:
        self.endpoints: dict[str, ExchangeStatistics] = {}
        self.homes: dict[str, ExchangeStatistics] = {}
        self.ejections: dict[str, Ejection] = {}
        self.ejected_homes: dict[str, float] = {}

    def share_of(self, endpoint: str) -> float:
        """Return the share of its usual new work that an endpoint gets, 1 if it is no outlier."""
        ejection = self.ejections.get(endpoint)
        return ejection.share if ejection is not None else 1.0

    def latency_of(self, endpoint: str, now: float) -> float:
        """Return the smoothed seconds of recent exchanges with an endpoint, 0 without any.

        Exchanges before the endpoint's state changed do not count.
        """
        item = self.endpoints.get(endpoint)
        if item is None or now - item.updated_at > MAX_LATENCY_AGE_S:
            return 0.0
        return item.latency_s

    def changed_at(self, endpoint: str) -> float:
        """Return when an endpoint's state last changed, in seconds; older reports do not count."""
        ejection = self.ejections.get(endpoint)
        return ejection.changed_at if ejection is not None else float("-inf")

    def is_probe_due(self, endpoint: str, now: float) -> bool:
        """Return whether one statement may be sent to an ejected endpoint to check it."""
        ejection = self.ejections.get(endpoint)
        return ejection is not None and ejection.share == 0.0 and now >= ejection.probe_at

    def is_home_ejected(self, name: str, now: float) -> bool:
        """Return whether another home VM is to be preferred to a slow one."""
        return now < self.ejected_homes.get(name, 0.0)

    def to_record(self, now: float) -> dict[str, Any] | None:
        """Return the JSON form of the ejections, or none if there are none."""
        if not self.ejections:
            return None
        return {name: item.to_record(now) for name, item in self.ejections.items()}
