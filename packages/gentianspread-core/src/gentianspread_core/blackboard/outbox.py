"""Section of intents that adapters carry out; each is written by the controller it names."""

from __future__ import annotations

from enum import Enum

from ..positions import Position
from .log import LogEntry, Snapshot
from .messages import Message


class UnreachableReason(Enum):
    """Why an endpoint could not be asked, as its host answered.

    Some network cuts refuse connections, so that nobody listens does not prove that it has ended;
    that another endpoint has its address does.
    """

    NOT_LISTENING = "not listening"
    REPLACED = "replaced"


class ReplicaWatch:
    """Wait until a replica has received a position under a term; by acknowledgement."""

    __slots__ = ("endpoint", "group", "term", "position", "wait", "reached")

    def __init__(
        self, endpoint: str, group: str, term: int, position: Position, wait: float
    ) -> None:
        self.endpoint = endpoint
        self.group = group
        self.term = term
        self.position = position
        self.wait = wait
        self.reached: Position | None = None


class EndpointProbe:
    """Ask an endpoint how it is; by the endpoint, failover and promotion controllers.

    `absence` tells what its host answered in its place, if it did; `sent_at` is in seconds of the
    VM's clock.
    """

    __slots__ = (
        "endpoint",
        "address",
        "limit",
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
        self, endpoint: str, address: str, limit: float, purpose: str, sent_at: float = 0.0
    ) -> None:
        self.endpoint = endpoint
        self.address = address
        self.limit = limit
        self.purpose = purpose
        self.alive = False
        self.unreachable_reason: UnreachableReason | None = None
        self.term = 0
        self.position: Position | None = None
        self.is_primary = False
        self.follows = False
        self.sent_at = sent_at


class EndpointCommandKind(Enum):
    """What the failover and promotion controllers order an endpoint to do."""

    FENCE = "fence"
    PROMOTE = "promote"
    FOLLOW = "follow"
    PAUSE_REPLICATION = "hold"
    RESUME_REPLICATION = "resume"
    STEP_DOWN = "step_down"


class EndpointCommand:
    """An order to one endpoint; by the failover and promotion controllers.

    `attempt` is the fencing number of the promotion that the order belongs to, `position` what the
    endpoint has received. `absence` tells what its host answered in its place, if it did.
    """

    __slots__ = (
        "kind",
        "endpoint",
        "address",
        "group",
        "term",
        "primary_address",
        "limit",
        "attempt",
        "accepted",
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
        limit: float,
        attempt: int = 0,
    ) -> None:
        self.kind = kind
        self.endpoint = endpoint
        self.address = address
        self.group = group
        self.term = term
        self.primary_address = primary_address
        self.limit = limit
        self.attempt = attempt
        self.accepted = False
        self.unreachable_reason: UnreachableReason | None = None
        self.position: Position | None = None


class TransactionRelease:
    """Close the connection of a transaction, or return it to the pool; by transactions."""

    __slots__ = ("transaction", "endpoint", "close")

    def __init__(self, transaction: str, endpoint: str, close: bool) -> None:
        self.transaction = transaction
        self.endpoint = endpoint
        self.close = close


class PoolFlush:
    """Close the idle connections of an endpoint that were used before a time; by endpoints."""

    __slots__ = ("endpoint", "before")

    def __init__(self, endpoint: str, before: float) -> None:
        self.endpoint = endpoint
        self.before = before


class ConnectionClose:
    """Close one connection to an endpoint, by its number; by the placement controller."""

    __slots__ = ("number",)

    def __init__(self, number: int) -> None:
        self.number = number


class HardState:
    """Term and vote that must be synced before a message leaves."""

    __slots__ = ("term", "voted_for")

    def __init__(self, term: int, voted_for: str | None) -> None:
        self.term = term
        self.voted_for = voted_for


class ControlBatch:
    """What the control log must sync, and the messages that may leave only afterwards."""

    __slots__ = ("hard_state", "entries", "snapshot", "messages")

    def __init__(self) -> None:
        self.hard_state: HardState | None = None
        self.entries: list[LogEntry] = []
        self.snapshot: Snapshot | None = None
        self.messages: list[Message] = []

    def is_empty(self) -> bool:
        """Tell whether there is nothing to sync and nothing to send."""
        return not (self.hard_state or self.entries or self.snapshot or self.messages)

    def needs_sync(self) -> bool:
        """Tell whether anything must reach the disk."""
        return bool(self.hard_state or self.entries or self.snapshot)


class Outbox:
    """The control batch being gathered; other intents travel as changes of INTENT_POSTED."""

    __slots__ = ("control",)

    def __init__(self) -> None:
        self.control = ControlBatch()

    def take_control_batch(self) -> ControlBatch:
        """Hand over the gathered control batch and begin a new one."""
        batch = self.control
        self.control = ControlBatch()
        return batch
