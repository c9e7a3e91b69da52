"""The reports that VMs send with each poll, and the count of entry VMs: those without a disk."""

from __future__ import annotations

from typing import Any

from gentianspread_core.blackboard.log import FOUNDING_INCARNATION

MAX_REPORT_AGE_S = 2.0
DEFAULT_SIZE = 1.0  # cores; not sent, so that fleets without sizes send no extra bytes
MAX_SIZE = 4096.0  # cores; more than any machine has
POLL_RESPONSE_FIELDS = frozenset(
    {
        "revision",
        "entries",
        "snapshot",
        "age_s",
        "waited_s",
        "leader",
        "joined",
        "stamp",
        "entry_vms",
        "serving_taken",
        "homes",
        "observations",
    }
)
COUNT_DECREASE_DELAY_S = 5.0  # a killed VM is back and a new leader has counted all VMs by then


class MemberReport:
    """A VM's report on itself, possibly passed on by another VM; `age` is in seconds.

    `entries` counts the VMs without a disk that poll this one; `serves` marks a VM that accepts
    statements of callers; `incarnation` is that of the VM's disk, none until the
    VM has read it; `size` is its processor capacity in cores.
    """

    __slots__ = (
        "name",
        "address",
        "zone",
        "has_disk",
        "revision",
        "age",
        "entries",
        "serves",
        "incarnation",
        "size",
    )

    def __init__(
        self,
        name: str,
        address: str,
        zone: str,
        has_disk: bool,
        revision: int,
        age: float,
        entries: int = 0,
        serves: bool = False,
        incarnation: str | None = FOUNDING_INCARNATION,
        size: float = DEFAULT_SIZE,
    ) -> None:
        self.name = name
        self.address = address
        self.zone = zone
        self.has_disk = has_disk
        self.revision = revision
        self.age = age
        self.entries = entries
        self.serves = serves
        self.incarnation = incarnation
        self.size = size

    @classmethod
    def from_record(cls, record: dict[str, Any]) -> MemberReport:
        """Build from the plain form; raises a `ValueError` if the incarnation or size is none."""
        incarnation = record.get("incarnation", FOUNDING_INCARNATION)
        if not isinstance(incarnation, str | None):
            raise ValueError("the incarnation is not a text")
        size = record.get("size", DEFAULT_SIZE)
        if isinstance(size, bool) or not isinstance(size, int | float) or not 0 < size < MAX_SIZE:
            raise ValueError("the size is not a number of cores")
        return cls(
            record["name"],
            record["address"],
            record["zone"],
            record["has_disk"],
            record["revision"],
            record["age"],
            record["entries"],
            record["serves"],
            incarnation,
            float(size),
        )

    def to_record(self) -> dict[str, Any]:
        """Return the plain form, with `lost_votes`, which older builds require."""
        record = {slot: getattr(self, slot) for slot in self.__slots__}
        record["lost_votes"] = False
        if self.incarnation == FOUNDING_INCARNATION:
            del record["incarnation"]
        if self.size == DEFAULT_SIZE:
            del record["size"]
        return record


class EntryVMCounter:
    """Counts the VMs without a disk that polled this one, and delays decreases of the count."""

    __slots__ = ("_last_poll_at", "_decreased_since")

    def __init__(self) -> None:
        self._last_poll_at: dict[str, float] = {}
        self._decreased_since: float | None = None

    def record_poll(self, name: str, polled_at: float) -> None:
        """Record a VM's poll and its time in seconds."""
        self._last_poll_at[name] = polled_at

    def count(self, now: float) -> int:
        """Return the number of VMs whose last poll is recent."""
        for name in [
            name
            for name, polled_at in self._last_poll_at.items()
            if now - polled_at > MAX_REPORT_AGE_S
        ]:
            del self._last_poll_at[name]
        return len(self._last_poll_at)

    def should_replace(self, count: int, current: int, now: float) -> bool:
        """Return whether a count replaces the current one; a lower one only after a delay."""
        if count >= current:
            self._decreased_since = None
            return count > current
        if self._decreased_since is None:
            self._decreased_since = now
        if now - self._decreased_since < COUNT_DECREASE_DELAY_S:
            return False
        self._decreased_since = None
        return True
