"""Section of positions seen at leading primaries; owned by the observation controller."""

from __future__ import annotations

from collections import deque

from ..positions import Position

MAX_OBSERVATIONS_PER_GROUP = 128  # entries a group; with the spacing they reach back five seconds
MIN_OBSERVATION_INTERVAL_S = (
    0.04  # seconds between two kept observations; the age of a read may be off by it
)


class Observation:
    """A log position that covers every commit acknowledged before a time.

    `taken_at` is when the endpoint was asked, in seconds of the VM's clock, never later than the
    true time.
    """

    __slots__ = ("position", "taken_at")

    def __init__(self, position: Position, taken_at: float) -> None:
        self.position = position
        self.taken_at = taken_at


class Observations:
    """Observations by group, the oldest first."""

    __slots__ = ("by_group",)

    def __init__(self) -> None:
        self.by_group: dict[str, deque[Observation]] = {}

    def newest(self, group: str) -> Observation | None:
        """Return the newest observation of a group, or none."""
        held = self.by_group.get(group)
        return held[-1] if held else None

    def covering(self, group: str, since: float) -> Observation | None:
        """Return the oldest observation taken at or after a time, or none."""
        for observation in self.by_group.get(group, ()):
            if observation.taken_at >= since:
                return observation
        return None

    def passed_at(self, group: str, position: Position) -> float | None:
        """Return when the primary was first seen beyond a position, or none if it was not."""
        for observation in self.by_group.get(group, ()):
            if not position.reaches(observation.position):
                return observation.taken_at
        return None

    def reached_at(self, group: str, position: Position) -> float | None:
        """Return when the primary was first seen to have a position, or none if it was not."""
        for observation in self.by_group.get(group, ()):
            if observation.position.reaches(position):
                return observation.taken_at
        return None

    def add(self, group: str, observation: Observation) -> None:
        """Keep an observation unless a newer one is held; the newest replaces a close one."""
        held = self.by_group.setdefault(group, deque(maxlen=MAX_OBSERVATIONS_PER_GROUP))
        if held and observation.taken_at <= held[-1].taken_at:
            return
        if len(held) > 1 and held[-1].taken_at - held[-2].taken_at < MIN_OBSERVATION_INTERVAL_S:
            held.pop()
        held.append(observation)
