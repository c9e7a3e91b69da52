"""Section of callers' sessions on this VM, `Sessions`, and its types.

The section is owned by the session controller. A front end decodes a `SessionStatement` and posts
it as a `StatementCall`. The session controller answers it itself or makes a `SessionRequest` of it.
For each attempt, the placement controller plans a `SessionExchange`: rounds of `Step`s on a
connection to an endpoint, which end in a `SessionReply`. The outcome of the request then becomes
the caller's `StatementAnswer`.
"""

from __future__ import annotations

from enum import Enum
from typing import Any

from ..errors import Refusal
from ..positions import Position, SessionToken
from .connections import BackendConnection
from .declarations import Route
from .prepared import PreparedStatement
from .requests import Exchange, Reply, Request, StatementKind
from .steps import Step, StepKind

# The longest waits for a token of the workspace's rate limit, as fractions of the route's latency
# objective; a statement usually takes a tenth of the objective.
GUARANTEED_TOKEN_TIMEOUT_FRACTION = 0.75  # if it is known that a token will become available
TOKEN_TIMEOUT_FRACTION = 0.3
MAX_TOKEN_TIMEOUT_S = 0.06  # the same for most routes, so that none of them takes all tokens


class Verb(Enum):
    """Kinds of statements that a caller sends; `StatementKind` is what a request does for one."""

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
    """One statement as decoded by a front end.

    `statement_id` is the caller's id of the statement and `text` its original text. `name` is the
    name of a session value or prepared statement, `value` the text of the value or the shape of the
    prepared statement, `arguments` what follows the name of an executed prepared statement.
    `writes` is set if a prepared statement writes.
    """

    __slots__ = ("verb", "statement_id", "text", "name", "value", "arguments", "writes")

    def __init__(
        self,
        verb: Verb,
        statement_id: str,
        text: str,
        name: str = "",
        value: str = "",
        arguments: str = "",
        writes: bool = False,
    ) -> None:
        self.verb = verb
        self.statement_id = statement_id
        self.text = text
        self.name = name
        self.value = value
        self.arguments = arguments
        self.writes = writes


class SessionState(Enum):
    """States of a session's transaction: no transaction, open, or failed and not yet ended."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class SessionTransaction:
    """A transaction of a session, bound to a connection by its first statement for an endpoint.

    `route` is the one in effect when it began; changes to it apply from the next transaction.
    `began_at` and `last_used` are in seconds of the VM's clock; `is_revoked` if this VM ended it.
    `has_written` is set once a statement of it that writes has succeeded.
    `workspace_regions` are the regions to which its workspace was restricted when it began, none if
    empty.
    """

    __slots__ = (
        "is_read_only",
        "route",
        "began_at",
        "last_used",
        "connection",
        "is_revoked",
        "has_written",
        "workspace_regions",
    )

    def __init__(self, is_read_only: bool, route: Route, now: float) -> None:
        self.is_read_only = is_read_only
        self.route = route
        self.began_at = now
        self.last_used = now
        self.connection: BackendConnection | None = None
        self.is_revoked = False
        self.has_written = False
        self.workspace_regions: frozenset[str] = frozenset()


class Session:
    """The state of one caller's connection to this VM; `BackendConnection` is one to an endpoint.

    `database` names the route. `state_bytes` is the memory of its values and prepared statements.
    `call` is the statement being executed; a session executes one at a time. `is_decided` is set
    once the session is open or refused; `refusal` says why it was refused. `waiter` wakes the front
    end's greenlet when that is decided.
    """

    __slots__ = (
        "number",
        "database",
        "key_hash",
        "workspace",
        "values",
        "prepared",
        "state_bytes",
        "state",
        "transaction",
        "token",
        "call",
        "refusal",
        "is_decided",
        "waiter",
        "closed",
    )

    def __init__(
        self, number: int, database: str, key_hash: str, waiter: Any | None = None
    ) -> None:
        self.number = number
        self.database = database
        self.key_hash = key_hash
        self.workspace = ""
        self.values: dict[str, str] = {}
        self.prepared: dict[str, PreparedStatement] = {}
        self.state_bytes = 0
        self.state = SessionState.IDLE
        self.transaction: SessionTransaction | None = None
        self.token: SessionToken | None = None
        self.call: StatementCall | None = None
        self.refusal: Refusal | None = None
        self.is_decided = False
        self.waiter = waiter
        self.closed = False


class StatementAnswer:
    """The answer to one statement: rows and signature, or a refusal.

    The endpoint makes the signature, and this VM passes it on unchanged. `state` is the state of
    the session's transaction after the statement.
    """

    __slots__ = ("rows", "signature", "refusal", "state")

    def __init__(
        self, rows: list[str], signature: str, refusal: Refusal | None, state: SessionState
    ) -> None:
        self.rows = rows
        self.signature = signature
        self.refusal = refusal
        self.state = state


class StatementCall:
    """A statement being processed on the board; `waiter` wakes the front end's greenlet."""

    __slots__ = ("session", "statement", "arrived_at", "answer", "waiter")

    def __init__(
        self, session: Session, statement: SessionStatement, arrived_at: float, waiter: Any
    ) -> None:
        self.session = session
        self.statement = statement
        self.arrived_at = arrived_at
        self.answer: StatementAnswer | None = None
        self.waiter = waiter


class SessionExchange(Exchange):
    """An exchange on a connection that the placement controller chose.

    The steps of a round are pipelined, and the next round is sent only if all of them succeeded;
    the last round contains the caller's statement. `evicted` are idle connections to close first.
    `cleanup` is sent if the statement left a failed transaction. `proves_primary` is set if only
    the current primary can answer, so that the reply's position is taken as that of the primary.
    `opens_transaction` marks the first statement of a caller's transaction. `outliers` is the JSON
    form of the ejected endpoints, for a home VM, or none. `revision` is that of the configuration
    when the exchange was scheduled, `position_before` what the primary was known to have then.
    `key_decision` is the workspace of the caller's key by that configuration, none without one.
    """

    __slots__ = (
        "revision",
        "position_before",
        "connection",
        "evicted",
        "rounds",
        "cleanup",
        "proves_primary",
        "opens_transaction",
        "outliers",
        "key_decision",
    )

    def __init__(
        self,
        number: str,
        endpoint: str,
        sent_at: float,
        timeout_s: float,
        connection: BackendConnection,
        evicted: list[BackendConnection],
        rounds: list[list[Step]],
    ) -> None:
        super().__init__(number, endpoint, 0, sent_at, timeout_s, 0.0)
        self.revision = 0
        self.position_before: Position | None = None
        self.connection = connection
        self.evicted = evicted
        self.rounds = rounds
        self.cleanup = Step(StepKind.ROLLBACK)
        self.proves_primary = False
        self.opens_transaction = False
        self.outliers: dict[str, Any] | None = None
        self.key_decision: Any = None


class SessionReply(Reply):
    """An endpoint's reply to a session's statement.

    `was_sent` is set if the endpoint may have received, and so executed, the caller's statement;
    this VM's own messages before it do not count. `keeps_transaction` is set if the connection is
    still in a transaction that can continue, `is_reusable` if the connection may be used again.
    `home_failed` is set if the home VM, which holds the connection, did not respond; that says
    nothing about the endpoint. `load` is the JSON form of the home's load report, or none;
    `outliers` is that of the ejected endpoints that it knows.
    `connection_lost` is set if the endpoint had closed the connection, or its end was reset.
    `cold_s` is set if the home had no token for the cold endpoint: the seconds until the next.
    """

    __slots__ = (
        "signature",
        "was_sent",
        "keeps_transaction",
        "is_reusable",
        "home_failed",
        "load",
        "outliers",
        "connection_lost",
        "cold_s",
    )

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.signature = ""
        self.was_sent = False
        self.keeps_transaction = False
        self.is_reusable = False
        self.home_failed = False
        self.load: list[float] | None = None
        self.outliers: dict[str, Any] | None = None
        self.connection_lost = False
        self.cold_s: float | None = None


class SessionRequest(Request):
    """A request of a session.

    The rate limit counts a whole transaction once, at its begin, and each statement outside one.
    `route` is the one in effect when the request was made. `min_position` is the log position that
    a replica must have reached, or none if only the primary may serve; `observation` is what it was
    decided by. `tried_endpoints` names endpoints at which an attempt failed. Until `wait_deadline`,
    in seconds of the VM's clock, it may wait or be retried: an answer after the latency objective
    is worth little, and waiting for it delays others. `relayed_statement` is the message of the VM
    that relayed the statement here, or none; it names the one endpoint that may serve it, and is
    not retried here. `cold_s` is set if it was refused because a cold endpoint had no token: the
    seconds until the next. Its commit succeeded at the endpoint, and the answer waits, if
    `is_withheld`.
    """

    __slots__ = (
        "session",
        "call",
        "route",
        "prepared",
        "min_position",
        "observation",
        "tried_endpoints",
        "wait_deadline",
        "relayed_statement",
        "cold_s",
        "is_withheld",
    )

    def __init__(
        self, number: int, kind: StatementKind, call: StatementCall, route: Any, timeout_s: float
    ) -> None:
        session = call.session
        super().__init__(
            number,
            kind,
            route.group,
            call.statement.text,
            [],
            False,
            call.statement.statement_id,
            session.key_hash,
            route.name if route.is_open else None,  # an open route needs no key
            session.token,
            route.max_age,
            call.arrived_at,
            call.arrived_at + timeout_s,
            None,
        )
        self.session = session
        self.call = call
        self.route = route
        self.prepared: PreparedStatement | None = None
        self.min_position: Any = None
        self.observation: Any = None
        self.tried_endpoints: set[str] = set()
        self.wait_deadline = call.arrived_at + min(timeout_s, route.objective)
        self.waiter = call.waiter
        self.relayed_statement: Any = None
        self.cold_s: float | None = None
        self.is_withheld = False

    def has_bound_transaction(self) -> bool:
        """Return whether the session's transaction is already bound to a connection."""
        transaction = self.session.transaction
        return transaction is not None and transaction.connection is not None

    def continues_transaction(self) -> bool:
        """Return whether this VM has accepted a transaction that this belongs to."""
        relayed = self.relayed_statement
        is_first = relayed is not None and relayed.begins_transaction
        return self.session.transaction is not None and not is_first

    def token_timeout(self, is_guaranteed: bool = False) -> float:
        """Return the seconds to wait for a token of the workspace's rate limit.

        `is_guaranteed` is set if it is known that one will become available. The rest of the
        latency objective is left for the endpoint.
        """
        if is_guaranteed:
            return GUARANTEED_TOKEN_TIMEOUT_FRACTION * self.route.objective
        return min(MAX_TOKEN_TIMEOUT_S, TOKEN_TIMEOUT_FRACTION * self.route.objective)

    def is_standalone_read(self) -> bool:
        """Return whether this is a read outside any transaction."""
        return self.kind is StatementKind.READ and self.session.transaction is None


class Sessions:
    """Open sessions by number; `opening` are those that wait for a fresh configuration."""

    __slots__ = ("by_number", "opening")

    def __init__(self) -> None:
        self.by_number: dict[int, Session] = {}
        self.opening: dict[int, Session] = {}
