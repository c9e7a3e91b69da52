"""Messages between control voters, as typed values that adapters encode."""

from __future__ import annotations

from enum import Enum
from typing import Any

from .commands import ChangeOutcome, Command
from .log import LogEntry
from .registrations import MAX_INTEGER, is_integer

INTEGER_FIELDS = ("term", "index", "log_term", "commit")


class MessageKind(Enum):
    """Kinds of control messages."""

    PRE_VOTE = "pre_vote"
    PRE_VOTE_REPLY = "pre_vote_reply"
    VOTE = "vote"
    VOTE_REPLY = "vote_reply"
    APPEND = "append"
    APPEND_REPLY = "append_reply"
    SNAPSHOT = "snapshot"


class Message:
    """One control message.

    `index` and `log_term` identify the entry before `entries` (append), the sender's last entry
    (votes), the last included entry (snapshot) or the last matching one (replies). `sent_at` is the
    sender's clock in seconds and is echoed by replies. `commit` is the leader's commit index, `age`
    the seconds since a majority confirmed the leader.
    """

    __slots__ = (
        "kind",
        "sender",
        "receiver",
        "term",
        "index",
        "log_term",
        "entries",
        "commit",
        "granted",
        "sent_at",
        "age",
        "state",
    )

    def __init__(
        self,
        kind: MessageKind,
        sender: str,
        receiver: str,
        term: int,
        index: int = 0,
        log_term: int = 0,
        entries: list[LogEntry] | None = None,
        commit: int = 0,
        granted: bool = False,
        sent_at: float = 0.0,
        age: float = 0.0,
        state: dict[str, Any] | None = None,
    ) -> None:
        self.kind = kind
        self.sender = sender
        self.receiver = receiver
        self.term = term
        self.index = index
        self.log_term = log_term
        self.entries = entries if entries is not None else []
        self.commit = commit
        self.granted = granted
        self.sent_at = sent_at
        self.age = age
        self.state = state

    @classmethod
    def from_record(cls, record: dict[str, Any]) -> Message:
        """Build from the JSON form; raises an error if a number is none that can be counted on."""
        for field in INTEGER_FIELDS:
            if not is_integer(record[field]) or not 0 <= record[field] <= MAX_INTEGER:
                raise ValueError(f"{field} is not a number from 0 to {MAX_INTEGER}")
        return cls(
            MessageKind(record["kind"]),
            record["sender"],
            record["receiver"],
            record["term"],
            record["index"],
            record["log_term"],
            [LogEntry.from_record(item) for item in record["entries"]],
            record["commit"],
            record["granted"],
            record["sent_at"],
            record["age"],
            record["state"],
        )

    def to_record(self) -> dict[str, Any]:
        """Return the JSON form."""
        record = {slot: getattr(self, slot) for slot in self.__slots__}
        record["kind"] = self.kind.value
        record["entries"] = [entry.to_record() for entry in self.entries]
        return record


class Proposal:
    """A command proposed to the control log, and its outcome once it is known.

    `done` is called once, with the outcome or with none if it stays unknown.
    """

    __slots__ = ("command", "index", "term", "outcome", "done")

    def __init__(self, command: Command, done: Any) -> None:
        self.command = command
        self.index = 0
        self.term = 0
        self.outcome: ChangeOutcome | None = None
        self.done = done
