"""Section of intents that controllers post for adapters, and of the control log's next batch.

The doc comment of an intent names the controllers that post it. Its fields that are no parameters
of the constructor are the result, which the adapter fills in.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from random import Random

from ..positions import Position
from .log import FOUNDING_INCARNATION, LogEntry, Snapshot
from .messages import Message

INCARNATION_BITS = 64


class UnreachableReason(Enum):
    """Why an endpoint is unreachable, as seen when connecting to its address.

    `NOT_LISTENING`: the connection was refused. Some network partitions do that too, so it does not
    prove that the endpoint has terminated, whatever that has announced. `REPLACED`: another
    endpoint answered at its address, which does prove it.
    """

    NOT_LISTENING = "not listening"
    REPLACED = "replaced"

    def proves_termination(self) -> bool:
        """Return whether the endpoint has terminated, and so confirms nothing more."""
        return self is UnreachableReason.REPLACED


class ReplicaWatch:
    """Wait until a replica has received a position; posted by the acknowledgement controller.

    `term` is that of the group, and must be the replica's current one. `wait_s` is how long the
    replica may wait for it. `reached` is the position that it has received, or none.
    """

    __slots__ = ("endpoint", "group", "term", "position", "wait_s", "reached")

    def __init__(
        self, endpoint: str, group: str, term: int, position: Position, wait_s: float
    ) -> None:
        self.endpoint = endpoint
        self.group = group
        self.term = term
        self.position = position
        self.wait_s = wait_s
        self.reached: Position | None = None


class EndpointProbe:
    """Check the health of an endpoint; posted by the endpoint, failover and health controllers.

    Each of them knows its own probes by their `purpose`. `sent_at` is in seconds of the VM's clock;
    an adapter may set it again when it sends the probe. `term` is the group's term as the endpoint
    knows it; `follows` is set if it replicates from a primary.
    """

    __slots__ = (
        "endpoint",
        "address",
        "timeout_s",
        "purpose",
        "alive",
        "unreachable_reason",
        "term",
        "position",
        "is_primary",
        "follows",
        "sent_at",
    )

    def __init__(
        self, endpoint: str, address: str, timeout_s: float, purpose: str, sent_at: float = 0.0
    ) -> None:
        self.endpoint = endpoint
        self.address = address
        self.timeout_s = timeout_s
        self.purpose = purpose
        self.alive = False
        self.unreachable_reason: UnreachableReason | None = None
        self.term = 0
        self.position: Position | None = None
        self.is_primary = False
        self.follows = False
        self.sent_at = sent_at


class EndpointCommandKind(Enum):
    """Kinds of commands to endpoints."""

    FENCE = "fence"
    PROMOTE = "promote"
    FOLLOW = "follow"
    PAUSE_REPLICATION = "hold"  # the value is the name in log lines
    RESUME_REPLICATION = "resume"
    STEP_DOWN = "step_down"


class EndpointCommand:
    """A command to one endpoint; posted by the failover and promotion controllers.

    `primary_address` is that of the primary to follow, or empty; `fencing_token` is that of the
    promotion to which the command belongs. The result's `position` is the last log position that
    the endpoint has received and `reported_term` the newest term that it knows, or 0; `is_refused`
    is set if it is certain that the command is not carried out later either.
    """

    __slots__ = (
        "kind",
        "endpoint",
        "address",
        "group",
        "term",
        "primary_address",
        "timeout_s",
        "fencing_token",
        "accepted",
        "is_refused",
        "reported_term",
        "unreachable_reason",
        "position",
    )

    def __init__(
        self,
        kind: EndpointCommandKind,
        endpoint: str,
        address: str,
        group: str,
        term: int,
        primary_address: str,
        timeout_s: float,
        fencing_token: int = 0,
    ) -> None:
        self.kind = kind
        self.endpoint = endpoint
        self.address = address
        self.group = group
        self.term = term
        self.primary_address = primary_address
        self.timeout_s = timeout_s
        self.fencing_token = fencing_token
        self.accepted = False
        self.is_refused = False
        self.reported_term = 0
        self.unreachable_reason: UnreachableReason | None = None
        self.position: Position | None = None


class TransactionRelease:
    """Close the connection of an ended transaction, or return it to its pool if `close` is false.

    Posted by the transaction controller.
    """

    __slots__ = ("transaction", "endpoint", "close")

    def __init__(self, transaction: str, endpoint: str, close: bool) -> None:
        self.transaction = transaction
        self.endpoint = endpoint
        self.close = close


class PoolFlush:
    """Close an endpoint's idle connections that were last used before a time.

    Posted by the endpoint controller; `before` is in seconds of the VM's clock.
    """

    __slots__ = ("endpoint", "before")

    def __init__(self, endpoint: str, before: float) -> None:
        self.endpoint = endpoint
        self.before = before


class ConnectionClose:
    """Close one connection to an endpoint, given by its number.

    Posted by the placement controller.
    """

    __slots__ = ("number",)

    def __init__(self, number: int) -> None:
        self.number = number


class HardState:
    """The control log's term as this VM knows it (not that of a group), and its vote in that term.

    Both must be synced to disk before a message that depends on them is sent. `incarnation` is
    drawn once for each empty disk and is lost with it, so that a VM that has lost its term, vote
    and log is never taken for the one it was. It is none only on an empty disk. `initial_voters`
    are the voters of the first start, none on the disk of a VM that joined later.
    """

    __slots__ = ("term", "voted_for", "incarnation", "initial_voters")

    def __init__(
        self,
        term: int,
        voted_for: str | None,
        incarnation: str | None = None,
        initial_voters: tuple[str, ...] = (),
    ) -> None:
        self.term = term
        self.voted_for = voted_for
        self.incarnation = incarnation
        self.initial_voters = initial_voters

    @classmethod
    def for_founder(cls, initial_voters: Iterable[str]) -> HardState:
        """Return the first state of an empty disk at the first start of the fleet."""
        return cls(0, None, FOUNDING_INCARNATION, tuple(initial_voters))

    @classmethod
    def for_new_member(cls, randomness: Random) -> HardState:
        """Return the first state of an empty disk of a VM that joins a fleet."""
        return cls(0, None, f"{randomness.getrandbits(INCARNATION_BITS):016x}")


class ControlBatch:
    """What the control log must sync to disk, and the messages that may be sent only afterwards.

    Collected by the controllers of the control log; an adapter takes it from the `Outbox`.
    """

    __slots__ = ("hard_state", "entries", "snapshot", "messages")

    def __init__(self) -> None:
        self.hard_state: HardState | None = None
        self.entries: list[LogEntry] = []
        self.snapshot: Snapshot | None = None
        self.messages: list[Message] = []

    def is_empty(self) -> bool:
        """Return whether there is nothing to sync and nothing to send."""
        return not (self.hard_state or self.entries or self.snapshot or self.messages)

    def needs_sync(self) -> bool:
        """Return whether anything must be synced to disk."""
        return bool(self.hard_state or self.entries or self.snapshot)


class Outbox:
    """The section: the control batch being collected.

    The other intents are not stored here; they are posted as `INTENT_POSTED` changes.
    """

    __slots__ = ("control",)

    def __init__(self) -> None:
        self.control = ControlBatch()

    def take_control_batch(self) -> ControlBatch:
        """Return the collected control batch and start a new one."""
        batch = self.control
        self.control = ControlBatch()
        return batch
