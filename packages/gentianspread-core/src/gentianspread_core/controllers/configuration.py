"""Configuration controller: applies committed entries and newer updates in revision order."""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.commands import ChangeOutcome, Command, CommandKind
from ..blackboard.configuration import (
    Evacuation,
    load_snapshot,
    to_diskless_snapshot,
    to_snapshot,
)
from ..blackboard.declarations import Declaration
from ..blackboard.log import EntryHistory, LogEntry, Snapshot
from ..blackboard.timeline import EventKind
from ..errors import ErrorCode
from ..state_machine import apply_command

MAX_HISTORY_ENTRIES = 512
MAX_HISTORY_BYTES = 16 * 1024 * 1024  # of memory; a VM that lacks older entries gets a snapshot
FRESHNESS_CHECK_MARGIN_S = 0.01


class ConfigurationUpdate:
    """Entries or a snapshot from another VM, and when a quorum confirmed them.

    `confirmed_at` is in seconds of the receiver's clock, never later than the true time.
    """

    __slots__ = ("entries", "snapshot", "revision", "confirmed_at")

    def __init__(
        self,
        entries: list[LogEntry],
        snapshot: dict[str, Any] | None,
        revision: int,
        confirmed_at: float,
    ) -> None:
        self.entries = entries
        self.snapshot = snapshot
        self.revision = revision
        self.confirmed_at = confirmed_at


class AppliedCommand:
    """A committed entry and its outcome."""

    __slots__ = ("entry", "outcome")

    def __init__(self, entry: LogEntry, outcome: ChangeOutcome) -> None:
        self.entry = entry
        self.outcome = outcome


class ConfigurationController:
    """Owns the configuration section and the history that updates for other VMs are built from.

    `serving_history` has the same entries in the form for VMs that only serve callers, where a
    declaration is a difference from the one before. The controller also records on the timeline
    when this VM loses and regains its freshness.
    """

    __slots__ = (
        "board",
        "history",
        "serving_history",
        "_is_reported_fresh",
        "_serving_snapshot",
        "_applied_kinds",
    )

    def __init__(self, board: Board) -> None:
        self.board = board
        self.history = EntryHistory(MAX_HISTORY_ENTRIES, MAX_HISTORY_BYTES)
        self.serving_history = EntryHistory(MAX_HISTORY_ENTRIES, MAX_HISTORY_BYTES)
        self._serving_snapshot: dict[str, Any] = {}
        self._is_reported_fresh = False
        self._applied_kinds: list[str] = []

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.ENTRIES_COMMITTED: self.on_committed,
            Topic.SNAPSHOT_INSTALLED: self.on_snapshot,
            Topic.CONFIGURATION_RECEIVED: self.on_received,
            Topic.FRESHNESS_CHANGED: self.on_confirmed,
            Topic.FRESHNESS_CHECK_DUE: self.on_freshness_due,
        }

    def on_committed(self, entries: list[LogEntry]) -> None:
        """Apply entries of this VM's own control log."""
        before = self.board.configuration.revision
        evacuations = self.board.configuration.evacuations
        for entry in entries:
            self._apply(entry)
        self._post_change(before, evacuations)

    def on_snapshot(self, snapshot: Snapshot) -> None:
        """Load a snapshot that this VM's control log installed."""
        before = self.board.configuration.revision
        evacuations = self.board.configuration.evacuations
        self._load(snapshot.state, snapshot.index)
        self._post_change(before, evacuations)

    def on_received(self, update: ConfigurationUpdate) -> None:
        """Apply an update from another VM if it is newer."""
        before = self.board.configuration.revision
        evacuations = self.board.configuration.evacuations
        if update.snapshot is not None:
            self._load(update.snapshot, update.snapshot["revision"])
        for entry in update.entries:
            self._apply(entry)
        self._post_change(before, evacuations)
        if self.board.configuration.revision >= update.revision:
            self.on_confirmed(update.confirmed_at)

    def on_confirmed(self, confirmed_at: float) -> None:
        """Update when a quorum last confirmed the configuration."""
        configuration = self.board.configuration
        configuration.confirmed_at = max(configuration.confirmed_at, confirmed_at)
        self.board.changes.post(Topic.CONFIGURATION_CONFIRMED)
        if not self._is_reported_fresh and self.board.is_fresh():
            self._is_reported_fresh = True
            self._record_event(EventKind.FRESHNESS_REGAINED, "a quorum confirmed the configuration")
            self._schedule_freshness_check()
            self.board.changes.post(Topic.FRESHNESS_REGAINED)

    def on_freshness_due(self, _entry: None) -> None:
        """Record the loss of freshness if no quorum confirmed the configuration in time."""
        if self.board.is_fresh():
            self._schedule_freshness_check()
        else:
            self._is_reported_fresh = False
            self._record_event(
                EventKind.FRESHNESS_LOST, "no quorum confirmed the configuration in time"
            )

    def build_update(
        self, after: int, member: str, has_log: bool = False, only_serves: bool = False
    ) -> ConfigurationUpdate:
        """Return what a VM lacks after a revision; voters and learners get entries by the log.

        `has_log` is the VM's own view of whether it takes part in the log. A voter that was removed
        and does not know it yet gets nothing by the log, so it is sent an update. A VM that has
        nothing gets a snapshot, which is shorter than the history. With `only_serves`, the update
        holds only what a VM needs that serves callers and does nothing else.
        """
        configuration = self.board.configuration
        entries: list[LogEntry] = []
        snapshot = None
        is_replicated = has_log and self._receives_log(member)
        if after < configuration.revision and not is_replicated:
            history = self.serving_history if only_serves else self.history
            if after > 0 and history.holds_all_after(after):
                entries = history.after(after)
            elif only_serves:
                snapshot = self._build_serving_snapshot()
            else:
                snapshot = to_snapshot(configuration)
        return ConfigurationUpdate(
            entries, snapshot, configuration.revision, configuration.confirmed_at
        )

    def _build_serving_snapshot(self) -> dict[str, Any]:
        """Return the snapshot for VMs that only serve callers, built once per revision."""
        if self._serving_snapshot.get("revision") != self.board.configuration.revision:
            self._serving_snapshot = to_diskless_snapshot(self.board.configuration)
        return self._serving_snapshot

    def _receives_log(self, member: str) -> bool:
        log, configuration = self.board.log, self.board.configuration
        voters = configuration.voters or log.voters
        return member in voters or member in configuration.learners or member in log.learners

    def _schedule_freshness_check(self) -> None:
        bound = self.board.settings.max_configuration_age_s
        lost_at = self.board.configuration.confirmed_at + bound
        due = max(lost_at, self.board.clock.now()) + FRESHNESS_CHECK_MARGIN_S
        self.board.changes.post_at(due, Topic.FRESHNESS_CHECK_DUE)

    def _record_event(self, kind: EventKind, cause: str) -> None:
        self.board.timeline.record(kind, self.board.settings.member, cause)

    def _load(self, state: dict[str, Any], index: int) -> None:
        if index <= self.board.configuration.revision:
            return
        for fault in load_snapshot(self.board.configuration, state):
            cause = f"An endpoint of the snapshot is invalid: {fault}."
            self.board.timeline.record(EventKind.ENTRY_IGNORED, f"revision {index}", cause)
        self.history.clear()
        self.serving_history.clear()

    def _apply(self, entry: LogEntry) -> None:
        if entry.index != self.board.configuration.revision + 1:
            return
        before = self.board.configuration.declaration
        outcome = apply_command(self.board.configuration, entry.index, entry.command)
        if outcome.code == ErrorCode.UNREADABLE_ENTRY.value:
            subject = f"revision {entry.index}"
            self.board.timeline.record(EventKind.ENTRY_IGNORED, subject, outcome.message)
        if entry.command.kind is CommandKind.CHANGE_DECLARATION and not outcome.accepted:
            self._reset()
            return
        self.history.append(entry)
        self.serving_history.append(self._to_serving_entry(entry, before))
        self._applied_kinds.append(entry.command.kind.value)
        self.board.changes.post(Topic.COMMAND_APPLIED, AppliedCommand(entry, outcome))

    def _to_serving_entry(self, entry: LogEntry, before: Declaration | None) -> LogEntry:
        """Return the form of an entry for VMs that only serve callers."""
        if entry.command.kind is not CommandKind.DECLARE:
            return entry
        declaration = self.board.configuration.declaration
        if declaration is before or declaration is None:
            command = Command(CommandKind.NO_OP, {})
        elif before is None or not (before.has_unique_names() and declaration.has_unique_names()):
            command = Command(CommandKind.DECLARE, {**entry.command.fields, "document": ""})
        else:
            fields = declaration.delta_from(before)
            command = Command(CommandKind.CHANGE_DECLARATION, fields)
        return LogEntry(entry.index, entry.term, command)

    def _reset(self) -> None:
        """Reset to no revision after a change that does not fit; stale until a snapshot arrives."""
        self.board.configuration.revision = 0
        self.board.configuration.confirmed_at = float("-inf")
        self._record_event(
            EventKind.FRESHNESS_LOST, "a change does not fit the current declaration"
        )

    def _post_change(self, before: int, evacuations: dict[str, Evacuation]) -> None:
        revision = self.board.configuration.revision
        if revision == before:
            return
        if _differ(self.board.configuration.evacuations, evacuations):
            # What was acknowledged before the last confirmation was known here by then.
            confirmed_at = self.board.configuration.confirmed_at
            self.board.changes.post(Topic.EVACUATIONS_CHANGED, confirmed_at)
        kinds = ", ".join(dict.fromkeys(self._applied_kinds)) or "snapshot"
        self._applied_kinds.clear()
        self.board.timeline.record(EventKind.CONFIGURATION_APPLIED, f"revision {revision}", kinds)
        self.board.changes.post(Topic.CONFIGURATION_CHANGED, revision)


def _differ(current: dict[str, Evacuation], before: dict[str, Evacuation]) -> bool:
    """Return whether the state of any zone has changed; a snapshot replaces all of them."""
    return current is not before and _changed_at(current) != _changed_at(before)


def _changed_at(evacuations: dict[str, Evacuation]) -> dict[str, int]:
    return {zone: item.revision for zone, item in evacuations.items() if item.revision}
