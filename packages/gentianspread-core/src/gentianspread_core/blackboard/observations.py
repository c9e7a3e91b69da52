"""Section of log positions observed at primaries; owned by the observation controller."""

from __future__ import annotations

from collections import deque
from enum import Enum

from ..positions import Position

MAX_OBSERVATIONS_PER_GROUP = 128  # at the interval below, five seconds of observations
MIN_OBSERVATION_INTERVAL_S = 0.04  # the age of a read is known no better than this


class LeadEvidence(Enum):
    """Why an observed position is that of the primary."""

    STATEMENT = "a statement that only the primary runs"
    PROBE = "a probe that it answered as primary"
    VM = "an observation of another VM"


class Observation:
    """A log position that covers every commit acknowledged before a time.

    `taken_at` is when the endpoint was asked, in seconds of the VM's clock, so it is never later
    than the true time of the observation. `source` is the endpoint that answered, or the VM that
    sent the observation.
    """

    __slots__ = ("position", "taken_at", "source", "evidence")

    def __init__(
        self, position: Position, taken_at: float, source: str, evidence: LeadEvidence
    ) -> None:
        self.position = position
        self.taken_at = taken_at
        self.source = source
        self.evidence = evidence


class Observations:
    """Observations by group, the oldest first.

    `ignored_count` counts answers of endpoints that this VM did not know as the primary.
    """

    __slots__ = ("by_group", "ignored_count")

    def __init__(self) -> None:
        self.by_group: dict[str, deque[Observation]] = {}
        self.ignored_count = 0

    def newest(self, group: str) -> Observation | None:
        """Return the newest observation of a group, or none."""
        known = self.by_group.get(group)
        return known[-1] if known else None

    def newest_position(self, group: str) -> Position | None:
        """Return the position of the newest observation of a group, or none."""
        newest = self.newest(group)
        return newest.position if newest is not None else None

    def oldest_since(self, group: str, since: float) -> Observation | None:
        """Return the oldest observation taken at or after a time, or none."""
        for observation in self.by_group.get(group, ()):
            if observation.taken_at >= since:
                return observation
        return None

    def passed_at(self, group: str, position: Position) -> float | None:
        """Return when the primary was first observed past a position, or none if it was not."""
        for observation in self.by_group.get(group, ()):
            if not position.reaches(observation.position):
                return observation.taken_at
        return None

    def reached_at(self, group: str, position: Position) -> float | None:
        """Return when the primary was first observed to have a position, or none if it was not."""
        for observation in self.by_group.get(group, ()):
            if observation.position.reaches(position):
                return observation.taken_at
        return None

    def add(self, group: str, observation: Observation) -> None:
        """Add an observation unless a newer one is known.

        It replaces the last one if that follows its predecessor within the minimum interval.
        """
        known = self.by_group.setdefault(group, deque(maxlen=MAX_OBSERVATIONS_PER_GROUP))
        if known and observation.taken_at <= known[-1].taken_at:
            return
        if len(known) > 1 and known[-1].taken_at - known[-2].taken_at < MIN_OBSERVATION_INTERVAL_S:
            known.pop()
        known.append(observation)
