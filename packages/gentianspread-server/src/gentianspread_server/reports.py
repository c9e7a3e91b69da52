"""What VMs tell of themselves with each poll, and the count of those that only serve callers."""

from __future__ import annotations

from typing import Any

SIGHTING_AGE_S = 2.0
ENTRY_COUNT_HOLD_S = 5.0  # seconds; a killed VM is back and a new leader has counted by then


class MemberReport:
    """What a VM tells of itself or of another, with the age of the news in seconds.

    `lost_votes` marks a voter whose disk came back empty; `entries` counts the VMs without a disk
    that poll this one; `serves` marks a VM that takes statements of callers.
    """

    __slots__ = (
        "name",
        "address",
        "zone",
        "has_disk",
        "revision",
        "age",
        "lost_votes",
        "entries",
        "serves",
    )

    def __init__(
        self,
        name: str,
        address: str,
        zone: str,
        has_disk: bool,
        revision: int,
        age: float,
        lost_votes: bool = False,
        entries: int = 0,
        serves: bool = False,
    ) -> None:
        self.name = name
        self.address = address
        self.zone = zone
        self.has_disk = has_disk
        self.revision = revision
        self.age = age
        self.lost_votes = lost_votes
        self.entries = entries
        self.serves = serves

    @classmethod
    def from_record(cls, record: dict[str, Any]) -> MemberReport:
        """Build from the plain form."""
        return cls(*(record[slot] for slot in cls.__slots__))

    def to_record(self) -> dict[str, Any]:
        """Return the plain form."""
        return {slot: getattr(self, slot) for slot in self.__slots__}


class EntryCount:
    """The VMs without a disk that polled this one, and how long a lower count has lasted."""

    __slots__ = ("_seen", "_lower_since")

    def __init__(self) -> None:
        self._seen: dict[str, float] = {}
        self._lower_since: float | None = None

    def note(self, name: str, at: float) -> None:
        """Note a poll at a time in seconds."""
        self._seen[name] = at

    def count(self, now: float) -> int:
        """Return how many polled lately."""
        for name in [name for name, at in self._seen.items() if now - at > SIGHTING_AGE_S]:
            del self._seen[name]
        return len(self._seen)

    def accepts(self, count: int, held: int, now: float) -> bool:
        """Tell whether a count replaces the one held."""
        if count >= held:
            self._lower_since = None
            return count > held
        if self._lower_since is None:
            self._lower_since = now
        if now - self._lower_since < ENTRY_COUNT_HOLD_S:
            return False
        self._lower_since = None
        return True
