"""Messages between control voters, as typed values that adapters encode."""

from __future__ import annotations

from enum import Enum
from typing import Any

from .commands import ChangeOutcome, Command
from .log import FOUNDING_INCARNATION, ControlLog, LogEntry
from .registrations import MAX_INTEGER, is_integer

INTEGER_FIELDS = ("term", "index", "log_term", "commit")
INCARNATION_FIELDS = ("sender_incarnation", "receiver_incarnation")


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
    the seconds since a majority confirmed the leader. A message is sent by one incarnation of a VM
    and is meant for one of another; the receiver drops it if its disk has another incarnation.
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
        "sender_incarnation",
        "receiver_incarnation",
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
        sender_incarnation: str = FOUNDING_INCARNATION,
        receiver_incarnation: str = FOUNDING_INCARNATION,
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
        self.sender_incarnation = sender_incarnation
        self.receiver_incarnation = receiver_incarnation

    @classmethod
    def from_record(cls, record: dict[str, Any]) -> Message:
        """Build from the JSON form; raises an error if a number or text is of another type."""
        for field in INTEGER_FIELDS:
            if not is_integer(record[field]) or not 0 <= record[field] <= MAX_INTEGER:
                raise ValueError(f"{field} is not a number from 0 to {MAX_INTEGER}")
        for field in INCARNATION_FIELDS:
            if not isinstance(record.get(field, FOUNDING_INCARNATION), str):
                raise ValueError(f"{field} is not a text")
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
            record.get("sender_incarnation", FOUNDING_INCARNATION),
            record.get("receiver_incarnation", FOUNDING_INCARNATION),
        )

    def to_record(self) -> dict[str, Any]:
        """Return the JSON form, without founding incarnations, which older builds do not know."""
        record = {slot: getattr(self, slot) for slot in self.__slots__}
        record["kind"] = self.kind.value
        record["entries"] = [entry.to_record() for entry in self.entries]
        for slot in INCARNATION_FIELDS:
            if record[slot] == FOUNDING_INCARNATION:
                del record[slot]
        return record

    def set_incarnations(self, log: ControlLog, request: Message | None = None) -> None:
        """Set the sender's incarnation, and that which the receiver has in the log or a request."""
        self.sender_incarnation = log.incarnation or FOUNDING_INCARNATION
        if request is None:
            self.receiver_incarnation = log.incarnation_of(self.receiver)
        else:
            self.receiver_incarnation = request.sender_incarnation

    def is_for(self, log: ControlLog) -> bool:
        """Return whether this message is meant for the VM's present disk."""
        return self.receiver_incarnation == log.incarnation

    def is_from_participant(self, log: ControlLog) -> bool:
        """Return whether the sender has the incarnation that is in the log under its name."""
        return self.sender_incarnation == log.incarnation_of(self.sender)


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
