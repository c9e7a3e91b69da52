"""Section of the control log; owned by the replication controller."""

from __future__ import annotations

from collections import deque
from itertools import accumulate
from typing import Any

from .commands import Command, CommandKind

FOUNDING_INCARNATION = ""  # of the voters of the first start, and of disks that record none
ENTRY_BYTES = 300  # of an entry and its command, without the command's fields
VALUE_BYTES = 56  # of a text, a list or an object, without its content
ITEM_BYTES = 16  # of a number, or of the place of an item in a list or an object


def estimate_size(value: Any) -> int:
    """Return about how many bytes of memory a value in JSON types takes."""
    if isinstance(value, str):
        return VALUE_BYTES + len(value)
    if isinstance(value, list):
        return VALUE_BYTES + sum(ITEM_BYTES + estimate_size(item) for item in value)
    if isinstance(value, dict):
        return VALUE_BYTES + sum(
            2 * ITEM_BYTES + estimate_size(key) + estimate_size(item) for key, item in value.items()
        )
    return ITEM_BYTES


class LogEntry:
    """One entry of the control log."""

    __slots__ = ("index", "term", "command", "_size")

    def __init__(self, index: int, term: int, command: Command) -> None:
        self.index = index
        self.term = term
        self.command = command
        self._size = 0

    def size(self) -> int:
        """Return about how many bytes of memory the entry takes."""
        if not self._size:
            self._size = ENTRY_BYTES + estimate_size(self.command.fields)
        return self._size

    @classmethod
    def from_record(cls, record: dict[str, Any]) -> LogEntry:
        """Build from the JSON form."""
        return cls(record["index"], record["term"], Command.from_record(record["command"]))

    def to_record(self) -> dict[str, Any]:
        """Return the JSON form."""
        return {"index": self.index, "term": self.term, "command": self.command.to_record()}


class EntryHistory:
    """The newest entries in a row, within a number of entries and bytes of memory."""

    __slots__ = ("entries", "limit", "limit_bytes", "size")

    def __init__(self, limit: int, limit_bytes: int) -> None:
        self.entries: deque[LogEntry] = deque()
        self.limit = limit
        self.limit_bytes = limit_bytes
        self.size = 0

    def append(self, entry: LogEntry) -> None:
        """Append an entry and drop the oldest ones beyond the limits."""
        self.entries.append(entry)
        self.size += entry.size()
        while len(self.entries) > self.limit or self.size > self.limit_bytes:
            self.size -= self.entries.popleft().size()

    def clear(self) -> None:
        """Drop all entries."""
        self.entries.clear()
        self.size = 0

    def holds_all_after(self, index: int) -> bool:
        """Return whether it has the entry after an index, and so all that follow."""
        return bool(self.entries) and self.entries[0].index <= index + 1

    def after(self, index: int) -> list[LogEntry]:
        """Return the entries after an index."""
        return [entry for entry in self.entries if entry.index > index]


class Snapshot:
    """The configuration as it stood after an entry, which `index` and `term` identify.

    `state` is the configuration's JSON form.
    """

    __slots__ = ("index", "term", "state")

    def __init__(self, index: int, term: int, state: dict[str, Any]) -> None:
        self.index = index
        self.term = term
        self.state = state


class SyncedRecords:
    """Identifies the last entry of a batch that was synced to the disk."""

    __slots__ = ("index", "term")

    def __init__(self, index: int, term: int) -> None:
        self.index = index
        self.term = term


class RecoveredLog:
    """The snapshot, the entries, the incarnation and the initial voters that the disk held."""

    __slots__ = ("snapshot", "entries", "incarnation", "initial_voters")

    def __init__(
        self,
        snapshot: Snapshot,
        entries: list[LogEntry],
        incarnation: str,
        initial_voters: tuple[str, ...] = (),
    ) -> None:
        self.snapshot = snapshot
        self.entries = entries
        self.incarnation = incarnation
        self.initial_voters = initial_voters

    def has_voters(self) -> bool:
        """Return whether the snapshot or an entry lists the voters."""
        is_listed = any(item.command.kind is CommandKind.CHANGE_VOTERS for item in self.entries)
        return is_listed or bool(self.snapshot.state.get("voters"))


class Peer:
    """The leader's replication state of one voter or learner; times in seconds.

    It is that of one `incarnation`: what another disk of the same VM confirmed does not count.

    `in_flight` is set from sending entries or a snapshot, at `entries_sent_at`, until the reply.
    `acked_sent_at` is when the newest of the messages that got a reply was sent.
    """

    __slots__ = (
        "name",
        "incarnation",
        "next_index",
        "match_index",
        "acked_sent_at",
        "last_response_at",
        "in_flight",
        "entries_sent_at",
    )

    def __init__(self, name: str, incarnation: str, next_index: int, now: float) -> None:
        self.name = name
        self.incarnation = incarnation
        self.next_index = next_index
        self.match_index = 0
        self.acked_sent_at = float("-inf")
        self.last_response_at = now
        self.in_flight = False
        self.entries_sent_at = float("-inf")


class ControlLog:
    """Entries after the snapshot, and how far they are synced and committed.

    `recovered_index` is the index of the last entry that was on disk at start. A voter is a VM's
    name together with the incarnation of its disk: `incarnation` is this VM's own, `incarnations`
    has those of voters and learners that are no founding ones, by name. Until the disk was read,
    this VM's own is none, and it takes no part. `voters_index` is the index of the entry, or of the
    snapshot, that the voters were taken from. `initial_voters` are those of the first start, which
    this VM's disk records; they vote until an entry changes the voters.
    """

    __slots__ = (
        "entries",
        "snapshot",
        "synced_index",
        "commit_index",
        "peers",
        "confirmed_at",
        "voters",
        "learners",
        "incarnation",
        "incarnations",
        "voters_index",
        "initial_voters",
        "recovered_index",
    )

    def __init__(self) -> None:
        self.recovered_index = 0
        self.entries: list[LogEntry] = []
        self.snapshot: Snapshot = Snapshot(0, 0, {})
        self.synced_index = 0
        self.commit_index = 0
        self.peers: dict[str, Peer] = {}
        self.confirmed_at = float("-inf")
        self.voters: list[str] = []
        self.learners: list[str] = []
        self.incarnation: str | None = None
        self.incarnations: dict[str, str] = {}
        self.voters_index = 0
        self.initial_voters: tuple[str, ...] = ()

    def load_voters(self, default: list[str]) -> None:
        """Load the voters from the newest entry that changes them, committed or not.

        Without one they are those of the snapshot, else the initial voters, else `default`.
        """
        state = self.snapshot.state
        self.voters = list(state.get("voters") or self.initial_voters or default)
        self.learners = list(state.get("learners", []))
        self.incarnations = dict(state.get("incarnations", {}))
        self.voters_index = self.snapshot.index
        for entry in reversed(self.entries):
            if entry.command.kind is CommandKind.CHANGE_VOTERS:
                self.voters = list(entry.command.fields["voters"])
                self.learners = list(entry.command.fields["learners"])
                self.incarnations = dict(entry.command.fields.get("incarnations", {}))
                self.voters_index = entry.index
                break

    def incarnation_of(self, name: str) -> str:
        """Return the incarnation with which a VM is a voter or a learner."""
        return self.incarnations.get(name, FOUNDING_INCARNATION)

    def is_voter(self, name: str) -> bool:
        """Return whether this VM, under its name and with its own disk, is a voter."""
        return name in self.voters and self.incarnation_of(name) == self.incarnation

    def last_index(self) -> int:
        """Return the index of the last entry, or of the snapshot."""
        return self.entries[-1].index if self.entries else self.snapshot.index

    def last_term(self) -> int:
        """Return the term of the last entry, or of the snapshot."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or none if the entry is not in the log."""
        if index == self.snapshot.index:
            return self.snapshot.term
        entry = self.entry_at(index)
        return entry.term if entry else None

    def entry_at(self, index: int) -> LogEntry | None:
        """Return an entry, or none if it is not in the log."""
        offset = index - self.snapshot.index - 1
        if 0 <= offset < len(self.entries):
            return self.entries[offset]
        return None

    def entries_from(self, index: int, limit: int) -> list[LogEntry]:
        """Return at most `limit` entries from the index on."""
        offset = max(0, index - self.snapshot.index - 1)
        return self.entries[offset : offset + limit]

    def batch_from(self, index: int, limit: int, limit_bytes: int) -> list[LogEntry]:
        """Return entries from the index on: the first one, and more within both limits."""
        entries = self.entries_from(index, limit)
        sizes = accumulate(entry.size() for entry in entries)
        count = sum(1 for size in sizes if size <= limit_bytes)
        return entries[: max(1, count)]

    def size(self) -> int:
        """Return about how many bytes of memory the entries after the snapshot take."""
        return sum(entry.size() for entry in self.entries)

    def truncate_from(self, index: int) -> None:
        """Drop the entry at the index and all after it."""
        offset = index - self.snapshot.index - 1
        del self.entries[max(0, offset) :]
        self.synced_index = min(self.synced_index, index - 1)
