"""Section of callers' sessions on this VM; owned by the session controller."""

from __future__ import annotations

from enum import Enum
from typing import Any

from ..errors import Refusal
from ..positions import SessionToken
from .connections import BackendConnection
from .requests import Exchange, Reply, Request, StatementKind

GUARANTEED_TOKEN_TIMEOUT_SHARE = 0.75  # of the objective; statements usually take a tenth of it
TOKEN_TIMEOUT_SHARE = 0.25  # of the objective


class Verb(Enum):
    """What a caller asks of its session."""

    SET = "set"
    PREPARE = "prepare"
    DEALLOCATE = "deallocate"
    EXECUTE = "execute"
    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    BEGIN_READ = "begin read"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    MALFORMED = "malformed"


class SessionStatement:
    """One statement as a front end decoded it.

    `number` is the caller's id and `text` the statement as it came. `name` is a value's or a
    prepared statement's name, `value` a value's text or a prepared statement's shape, `arguments`
    what follows the name of an executed one. `writes` tells what a prepared statement does.
    """

    __slots__ = ("verb", "number", "text", "name", "value", "arguments", "writes")

    def __init__(
        self,
        verb: Verb,
        number: str,
        text: str,
        name: str = "",
        value: str = "",
        arguments: str = "",
        writes: bool = False,
    ) -> None:
        self.verb = verb
        self.number = number
        self.text = text
        self.name = name
        self.value = value
        self.arguments = arguments
        self.writes = writes


class PreparedStatement:
    """A prepared statement: what it does, and its shape as the endpoint knows it."""

    __slots__ = ("writes", "shape")

    def __init__(self, writes: bool, shape: str) -> None:
        self.writes = writes
        self.shape = shape

    def shared_name(self) -> str:
        """Return the name under which every connection prepares this statement."""
        return f"{'w' if self.writes else 'r'}{self.shape}"


class SessionState(Enum):
    """Where a session stands: idle, in a transaction, or in one that failed."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class SessionTransaction:
    """A transaction of a session; it has a connection from its first forwarded statement on.

    `last_used` is in seconds of the VM's clock.
    """

    __slots__ = ("is_read_only", "began_at", "last_used", "connection", "has_written")

    def __init__(self, is_read_only: bool, now: float) -> None:
        self.is_read_only = is_read_only
        self.began_at = now
        self.last_used = now
        self.connection: BackendConnection | None = None
        self.has_written = False


class Session:
    """One caller's connection: its route, key, values, prepared statements and transaction.

    `call` is the statement being served; a session serves one at a time.
    """

    __slots__ = (
        "number",
        "database",
        "key_hash",
        "workspace",
        "values",
        "prepared",
        "state",
        "transaction",
        "token",
        "call",
        "refusal",
        "closed",
    )

    def __init__(self, number: int, database: str, key_hash: str) -> None:
        self.number = number
        self.database = database
        self.key_hash = key_hash
        self.workspace = ""
        self.values: dict[str, str] = {}
        self.prepared: dict[str, PreparedStatement] = {}
        self.state = SessionState.IDLE
        self.transaction: SessionTransaction | None = None
        self.token: SessionToken | None = None
        self.call: StatementCall | None = None
        self.refusal: Refusal | None = None
        self.closed = False


class StatementAnswer:
    """What the caller is told of one statement: rows and signature, or a refusal."""

    __slots__ = ("rows", "signature", "refusal", "state")

    def __init__(
        self, rows: list[str], signature: str, refusal: Refusal | None, state: SessionState
    ) -> None:
        self.rows = rows
        self.signature = signature
        self.refusal = refusal
        self.state = state


class StatementCall:
    """A statement on its way through the board; `waiter` wakes the front end's greenlet."""

    __slots__ = ("session", "statement", "arrived_at", "answer", "waiter")

    def __init__(
        self, session: Session, statement: SessionStatement, arrived_at: float, waiter: Any
    ) -> None:
        self.session = session
        self.statement = statement
        self.arrived_at = arrived_at
        self.answer: StatementAnswer | None = None
        self.waiter = waiter


class StepKind(Enum):
    """What one message to an endpoint does."""

    RESET = "reset"
    SET = "set"
    PREPARE = "prepare"
    BEGIN = "begin"
    BEGIN_READ = "begin read"
    ROLLBACK = "rollback"
    STATEMENT = "statement"


class Step:
    """One message to an endpoint.

    `number` is the caller's id for a statement and empty for this VM's own messages. `text` is the
    statement, `name` and `value` are those of a value or prepared statement. `position` is what the
    endpoint's log must hold, as text of the endpoint, or empty.
    """

    __slots__ = ("kind", "number", "text", "name", "value", "writes", "position")

    def __init__(
        self,
        kind: StepKind,
        number: str = "",
        text: str = "",
        name: str = "",
        value: str = "",
        writes: bool = False,
        position: Any = None,
    ) -> None:
        self.kind = kind
        self.number = number
        self.text = text
        self.name = name
        self.value = value
        self.writes = writes
        self.position = position


class SessionExchange(Exchange):
    """An exchange over a connection that the placement controller chose.

    Each round of steps is sent at once, and the next only if every answer of it was good; the last
    round holds the caller's statement. `evicted` are idle connections to close first. `cleanup` is
    sent where the statement left a failed transaction. `opens_transaction` marks the first
    statement of a caller's transaction.
    """

    __slots__ = (
        "connection",
        "evicted",
        "rounds",
        "cleanup",
        "proves_primary",
        "opens_transaction",
    )

    def __init__(
        self,
        number: str,
        endpoint: str,
        sent_at: float,
        limit: float,
        connection: BackendConnection,
        evicted: list[BackendConnection],
        rounds: list[list[Step]],
    ) -> None:
        super().__init__(number, endpoint, 0, sent_at, limit, 0.0)
        self.connection = connection
        self.evicted = evicted
        self.rounds = rounds
        self.cleanup = Step(StepKind.ROLLBACK)
        self.proves_primary = False
        self.opens_transaction = False


class SessionReply(Reply):
    """An endpoint's answer to a session's statement.

    `was_sent` tells whether the statement itself may have reached the endpoint; `keeps_transaction`
    whether the connection is still in a transaction that can go on; `is_reusable` whether the
    connection may be used again. `home_failed` holds where the VM that holds the connection gave no
    answer, which says nothing of the endpoint.
    """

    __slots__ = ("signature", "was_sent", "keeps_transaction", "is_reusable", "home_failed")

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.signature = ""
        self.was_sent = False
        self.keeps_transaction = False
        self.is_reusable = False
        self.home_failed = False


class SessionRequest(Request):
    """A request of a session; it is counted against the rate once for each operation.

    `route` is the one in force when the operation began. `min_position` is what a replica's log
    must hold, or none if only the primary may serve. `tried` names endpoints that did not run it.
    Until `wait_until`, in seconds, it may wait or be tried again; an answer after the objective is
    worth little, and waiting for it holds up others. `order` is that of another VM which handed the
    statement over, for one endpoint only; it is not tried again here.
    """

    __slots__ = (
        "session",
        "call",
        "route",
        "prepared",
        "min_position",
        "tried_endpoints",
        "wait_deadline",
        "order",
    )

    def __init__(
        self, number: int, kind: StatementKind, call: StatementCall, route: Any, limit: float
    ) -> None:
        session = call.session
        super().__init__(
            number,
            kind,
            route.group,
            call.statement.text,
            [],
            False,
            call.statement.number,
            session.key_hash,
            route.name if route.is_open else None,
            session.token,
            route.max_age,
            call.arrived_at,
            call.arrived_at + limit,
            None,
        )
        self.session = session
        self.call = call
        self.route = route
        self.prepared: PreparedStatement | None = None
        self.min_position: Any = None
        self.tried_endpoints: set[str] = set()
        self.wait_deadline = call.arrived_at + min(limit, route.objective)
        self.waiter = call.waiter
        self.order: Any = None

    def in_transaction(self) -> bool:
        """Tell whether this is a statement of a transaction that has a connection."""
        transaction = self.session.transaction
        return transaction is not None and transaction.connection is not None

    def continues_transaction(self) -> bool:
        """Tell whether this belongs to a transaction that is under way."""
        return self.session.transaction is not None

    def token_timeout(self, is_guaranteed: bool = False) -> float:
        """Return the seconds to wait for a token; the rest of the objective is for the endpoint."""
        share = GUARANTEED_TOKEN_TIMEOUT_SHARE if is_guaranteed else TOKEN_TIMEOUT_SHARE
        return share * self.route.objective

    def is_standalone_read(self) -> bool:
        """Tell whether this is a read outside any transaction."""
        return self.kind is StatementKind.READ and self.session.transaction is None


class Sessions:
    """Open sessions by number."""

    __slots__ = ("by_number",)

    def __init__(self) -> None:
        self.by_number: dict[int, Session] = {}
