"""Journal of the callers' requests and answers, for the oracle and the measures."""

from __future__ import annotations

from typing import Any


class Entry:
    """One request of a caller and its answer; times in seconds of the monotonic clock.

    `result` is "run", "not run", "unknown", or "cut" if the connection was lost.
    """

    __slots__ = (
        "workspace",
        "kind",
        "vm",
        "sent_at",
        "answered_at",
        "status",
        "result",
        "code",
        "message",
        "endpoint",
        "phase",
        "group",
    )

    def __init__(
        self, workspace: str, kind: str, vm: str, sent_at: float, phase: str, group: str
    ) -> None:
        self.workspace = workspace
        self.kind = kind
        self.vm = vm
        self.sent_at = sent_at
        self.answered_at = sent_at
        self.status = 0
        self.result = "cut"
        self.code = ""
        self.message = ""
        self.endpoint = ""
        self.phase = phase
        self.group = group

    def latency(self) -> float:
        """Return the time to the answer, in seconds."""
        return self.answered_at - self.sent_at


class Journal:
    """All entries, the result of each written value, and what callers checked in answers.

    `transaction_values` lists the values that one transaction wrote together.
    """

    def __init__(self) -> None:
        self.entries: list[Entry] = []
        self.result_by_value: dict[str, str] = {}
        self.group_by_value: dict[str, str] = {}
        self.transaction_values: list[list[str]] = []
        self.phase = "start"
        self.session_reads = 0
        self.stale_reads: list[str] = []
        self.matching_answers = 0
        self.mismatched_answers: list[Any] = []
        self.wrong_key_attempts = 0
        self.wrong_key_runs = 0

    def add_entry(self, workspace: str, kind: str, vm: str, sent_at: float, group: str) -> Entry:
        """Add an entry for a request that is about to be sent."""
        entry = Entry(workspace, kind, vm, sent_at, self.phase, group)
        self.entries.append(entry)
        return entry

    def record_write(self, value: str, group: str, result: str) -> None:
        """Record the result that the caller got for a written value."""
        self.result_by_value[value] = result
        self.group_by_value[value] = group

    def entries_of_phases(self, *phases: str) -> list[Entry]:
        """Return the entries of some phases."""
        return [entry for entry in self.entries if entry.phase in phases]
