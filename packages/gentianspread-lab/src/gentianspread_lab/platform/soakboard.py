"""Blackboard of a run: the fleet, its callers' ledger, the faults, and violated guarantees."""

from __future__ import annotations

import random
import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager

from .fleet import PlatformFleet
from .ledger import Ledger


class FaultRecord:
    """An injected fault; `ended_at` is none while it lasts. Times are of the monotonic clock."""

    __slots__ = ("kind", "target", "started_at", "ended_at")

    def __init__(self, kind: str, target: str, started_at: float) -> None:
        self.kind = kind
        self.target = target
        self.started_at = started_at
        self.ended_at: float | None = None

    def describe(self, origin: float) -> str:
        """Return the fault with its times in seconds after an origin."""
        end = "" if self.ended_at is None else f"{self.ended_at - origin:.1f}"
        return f"{self.started_at - origin:.1f}..{end} s {self.kind} {self.target}"


class ProcessExit:
    """The exit code of a process; `expected_codes` is none if the process ended by itself."""

    __slots__ = ("name", "code", "expected_codes", "time")

    def __init__(self, name: str, code: int, expected_codes: set[int] | None, time: float) -> None:
        self.name = name
        self.code = code
        self.expected_codes = expected_codes
        self.time = time


class Violation:
    """A guarantee that did not hold, what showed it last, and when that was first seen."""

    __slots__ = ("guarantee", "time", "evidence")

    def __init__(self, guarantee: str, time: float) -> None:
        self.guarantee = guarantee
        self.time = time
        self.evidence: list[str] = []


class SoakBoard:
    """What the faults, the operator, the callers and the checks of one run share.

    `claimed` names the processes and endpoints whose life a fault manages now. `violations` are by
    guarantee. `last_phase_at` is none until the last phase, which has no faults, and `is_finished`
    is set at its end. `stalls_s` are the times for which the host gave this process no processor.
    Times are of the monotonic clock.
    """

    __slots__ = (
        "fleet",
        "ledger",
        "operator",
        "randomness",
        "started_at",
        "faults",
        "claimed",
        "exits",
        "violations",
        "last_phase_at",
        "is_finished",
        "stalls_s",
    )

    def __init__(self, fleet: PlatformFleet, ledger: Ledger, randomness: random.Random) -> None:
        self.fleet = fleet
        self.ledger = ledger
        self.operator = fleet.operator
        self.randomness = randomness
        self.started_at = time.monotonic()
        self.faults: list[FaultRecord] = []
        self.claimed: set[str] = set()
        self.exits: list[ProcessExit] = []
        self.violations: dict[str, Violation] = {}
        self.last_phase_at: float | None = None
        self.is_finished = False
        self.stalls_s: list[float] = []

    def claim(self, names: Iterable[str]) -> str | None:
        """Claim a random one of the names that is not claimed; return none if all are."""
        free = [name for name in names if name not in self.claimed]
        if not free:
            return None
        name = self.randomness.choice(free)
        self.claimed.add(name)
        return name

    def claim_only_one(self, names: Iterable[str]) -> str | None:
        """Claim a random one of the names, or none if one of them is claimed already."""
        candidates = list(names)
        if any(name in self.claimed for name in candidates):
            return None
        return self.claim(candidates)

    @contextmanager
    def fault(
        self, kind: str, target: str, is_planned: bool, is_claimed: bool = True
    ) -> Iterator[None]:
        """Record a fault for as long as it lasts, and release its target's claim afterwards."""
        record = FaultRecord(kind, target, time.monotonic())
        self.faults.append(record)
        disruption = None if is_planned else self.ledger.begin_disruption(target)
        try:
            yield
        finally:
            record.ended_at = time.monotonic()
            if disruption is not None:
                disruption.end()
            if is_claimed:
                self.claimed.discard(target)

    def elapsed(self, moment: float) -> float:
        """Return a moment as seconds since the start of the run."""
        return moment - self.started_at
