"""A disk that keeps what was synced, and can be full; a lost disk is a new, blank one."""

from __future__ import annotations

from gentianspread_core.blackboard.log import (
    FOUNDING_INCARNATION,
    LogEntry,
    RecoveredLog,
    Snapshot,
)
from gentianspread_core.blackboard.outbox import ControlBatch, HardState


class FakeDisk:
    """The synced state of one VM's control log."""

    __slots__ = ("hard_state", "snapshot", "entries", "is_full")

    def __init__(self) -> None:
        self.hard_state = HardState(0, None)  # without an incarnation while the disk is blank
        self.snapshot = Snapshot(0, 0, {})
        self.entries: list[LogEntry] = []
        self.is_full = False

    def is_blank(self) -> bool:
        """Return whether nothing was ever synced."""
        return self.hard_state.incarnation is None

    def write(self, batch: ControlBatch) -> bool:
        """Sync a batch; return false if the disk is full."""
        if self.is_full:
            return False
        if batch.hard_state is not None:
            self.hard_state = batch.hard_state
        for entry in batch.entries:
            self.entries = [item for item in self.entries if item.index < entry.index]
            self.entries.append(entry)
        if batch.snapshot is not None:
            self.snapshot = batch.snapshot
        first = self.snapshot.index
        self.entries = [item for item in self.entries if item.index > first]
        return True

    def recover(self) -> RecoveredLog:
        """Return the log that a restarted VM recovers."""
        incarnation = self.hard_state.incarnation or FOUNDING_INCARNATION
        initial_voters = self.hard_state.initial_voters
        return RecoveredLog(self.snapshot, list(self.entries), incarnation, initial_voters)
