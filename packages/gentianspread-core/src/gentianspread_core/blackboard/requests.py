"""Section of requests; each field of a request is written by the controller of one stage."""

from __future__ import annotations

from enum import Enum
from typing import Any

from ..errors import ErrorCode, ExecutionResult, Refusal
from ..positions import Position, SessionToken


class StatementKind(Enum):
    """What a request does at the endpoint.

    `RESOLVE_COMMIT` asks for the recorded outcome of a commit whose transaction this VM no longer
    has; if there is none, the endpoint records that the commit must never run.
    """

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    RESOLVE_COMMIT = "recall"


CALLER_KINDS = tuple(kind for kind in StatementKind if kind is not StatementKind.RESOLVE_COMMIT)
COMMIT_NEVER_RUNS = -1  # instead of the number of changed rows
GUARANTEED_TOKEN_TIMEOUT_S = 1.0  # a third of the usual deadline
TOKEN_TIMEOUT_S = 0.25  # a rate of 4 per second yields one token in this time


class ExchangeStatus(Enum):
    """How an exchange with an endpoint ended."""

    OK = "ok"
    NOT_SENT = "not sent"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"


class Exchange:
    """One request to an endpoint, and its reply; written by the dispatch controller.

    `wait_s` is how long the endpoint may wait until it has reached the session's position.
    """

    __slots__ = ("number", "endpoint", "term", "sent_at", "timeout_s", "wait_s", "reply")

    def __init__(
        self, number: str, endpoint: str, term: int, sent_at: float, timeout_s: float, wait_s: float
    ) -> None:
        self.number = number
        self.endpoint = endpoint
        self.term = term
        self.sent_at = sent_at
        self.timeout_s = timeout_s
        self.wait_s = wait_s
        self.reply: Reply | None = None


class Reply:
    """An endpoint's reply, or why there was none; posted by the driver.

    `changed` is the number of changed rows, `age` the endpoint's bound for the age of its data in
    seconds. `repeated` is set if the statement had run before and this is its recorded result.
    """

    __slots__ = ("status", "rows", "changed", "position", "age", "code", "message", "repeated")

    def __init__(
        self,
        status: ExchangeStatus,
        rows: list[Any] | None = None,
        changed: int = 0,
        position: Position | None = None,
        age: float = 0.0,
        code: str = "",
        message: str = "",
        repeated: bool = False,
    ) -> None:
        self.status = status
        self.rows = rows if rows is not None else []
        self.changed = changed
        self.position = position
        self.age = age
        self.code = code
        self.message = message
        self.repeated = repeated


class Outcome:
    """The result for the caller; written by the acknowledgement or completion controller."""

    __slots__ = ("result", "rows", "changed", "token", "refusal", "transaction", "endpoint")

    def __init__(
        self,
        result: ExecutionResult,
        rows: list[Any],
        changed: int,
        token: SessionToken | None,
        refusal: Refusal | None,
        transaction: str | None,
        endpoint: str | None,
    ) -> None:
        self.result = result
        self.rows = rows
        self.changed = changed
        self.token = token
        self.refusal = refusal
        self.transaction = transaction
        self.endpoint = endpoint

    @classmethod
    def from_refusal(cls, refusal: Refusal) -> Outcome:
        """Build the outcome of a request that was refused."""
        return cls(refusal.result, [], 0, None, refusal, None, None)


class Request:
    """One request of a caller.

    The front end sets the fields down to `transaction`, and `waiter`; the routing controller turns
    a commit whose transaction is gone into `RESOLVE_COMMIT`, and the transaction controller names
    the transaction that a begin opened. Each field after them is written by one controller:
    `workspace` by keys, `permitted` by limits, `endpoint` and `holds_connection` (set while it
    occupies one) by routing, `exchange` and `attempts` by dispatch, `outcome` by acknowledgement;
    `refusal` is set by the stage that refuses. `may_have_run` is set if an earlier attempt may have
    run. Times are seconds of the VM's monotonic clock.
    """

    __slots__ = (
        "number",
        "kind",
        "group",
        "statement",
        "parameters",
        "idempotent",
        "request_id",
        "key_hash",
        "open_route",
        "token",
        "max_age",
        "arrived_at",
        "deadline",
        "transaction",
        "workspace",
        "permitted",
        "endpoint",
        "attempts",
        "exchange",
        "outcome",
        "refusal",
        "timer",
        "holds_connection",
        "waiter",
        "may_have_run",
    )

    def __init__(
        self,
        number: int,
        kind: StatementKind,
        group: str,
        statement: str,
        parameters: list[Any],
        idempotent: bool,
        request_id: str | None,
        key_hash: str | None,
        open_route: str | None,
        token: SessionToken | None,
        max_age: float | None,
        arrived_at: float,
        deadline: float,
        transaction: str | None,
    ) -> None:
        self.number = number
        self.kind = kind
        self.group = group
        self.statement = statement
        self.parameters = parameters
        self.idempotent = idempotent
        self.request_id = request_id
        self.key_hash = key_hash
        self.open_route = open_route
        self.token = token
        self.max_age = max_age
        self.arrived_at = arrived_at
        self.deadline = deadline
        self.transaction = transaction
        self.workspace = ""
        self.permitted = False
        self.endpoint: str | None = None
        self.attempts = 0
        self.exchange: Exchange | None = None
        self.outcome: Outcome | None = None
        self.refusal: Refusal | None = None
        self.timer: Any = None
        self.holds_connection = False
        self.waiter: Any = None
        self.may_have_run = False

    def refuse(
        self, code: ErrorCode, message: str, result: ExecutionResult = ExecutionResult.NOT_RUN
    ) -> None:
        """Record why the request is refused."""
        self.refusal = Refusal(code, message, result)

    def continues_transaction(self) -> bool:
        """Return whether this belongs to an open transaction."""
        return self.transaction is not None

    def token_timeout(self, is_guaranteed: bool = False) -> float:
        """Return the seconds to wait for a token of the workspace's rate.

        `is_guaranteed` is set if it is known that one will become available.
        """
        return GUARANTEED_TOKEN_TIMEOUT_S if is_guaranteed else TOKEN_TIMEOUT_S

    def is_read(self) -> bool:
        """Return whether any up-to-date endpoint may serve the request."""
        return self.kind is StatementKind.READ and self.transaction is None

    def is_safe_to_retry(self) -> bool:
        """Return whether running the request twice has the effect of running it once."""
        if self.is_read() or self.kind is StatementKind.RESOLVE_COMMIT:
            return True
        return (
            self.transaction is None
            and self.kind is StatementKind.WRITE
            and (self.idempotent or self.request_id is not None)
        )
