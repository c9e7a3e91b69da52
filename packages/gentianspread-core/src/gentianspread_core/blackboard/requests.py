"""Section of requests; each entry's columns are owned by the controller of their stage."""

from __future__ import annotations

from enum import Enum
from typing import Any

from ..errors import ErrorCode, ExecutionResult, Refusal
from ..positions import Position, SessionToken


class StatementKind(Enum):
    """What a request does at the endpoint.

    A recall asks for the recorded outcome of a commit whose transaction is gone; if there is none,
    the endpoint records that the commit must never run.
    """

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    RECALL = "recall"


CALLER_KINDS = tuple(kind for kind in StatementKind if kind is not StatementKind.RECALL)
NEVER_RUNS = -1
CERTAIN_PATIENCE_S = 1.0  # seconds; a third of the usual deadline
TOKEN_PATIENCE_S = 0.25  # seconds; a rate of 4 a second gives one token in it


class ExchangeStatus(Enum):
    """How an exchange with an endpoint ended."""

    OK = "ok"
    NOT_SENT = "not sent"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"


class Exchange:
    """One order to an endpoint and what came of it; written by the dispatch controller.

    Durations are in seconds, `age` too: the bound the endpoint gives for the age of its data.
    """

    __slots__ = ("number", "endpoint", "term", "sent_at", "limit", "wait", "reply")

    def __init__(
        self, number: str, endpoint: str, term: int, sent_at: float, limit: float, wait: float
    ) -> None:
        self.number = number
        self.endpoint = endpoint
        self.term = term
        self.sent_at = sent_at
        self.limit = limit
        self.wait = wait
        self.reply: Reply | None = None


class Reply:
    """An endpoint's answer, or the way in which there was none; posted by the driver."""

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
    """What the caller is told; written by the acknowledgement controller."""

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

    The front adapter writes the facts (down to `transaction`) and `waiter`; routing turns a commit
    whose transaction is gone into a recall, and transactions name what a begin opened. The columns
    after them belong each to one controller: `workspace` to keys, `permitted` to limits,
    `endpoint` to routing, `exchange` and `attempts` to dispatch, `outcome` to acknowledgement;
    `refusal` is set by the stage that refuses. `unknown_before` marks a request that may have run
    in an earlier attempt. Times are seconds of the VM's monotonic clock.
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
        "holds",
        "waiter",
        "unknown_before",
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
        self.holds = False
        self.waiter: Any = None
        self.unknown_before = False

    def refuse(
        self, code: ErrorCode, message: str, result: ExecutionResult = ExecutionResult.NOT_RUN
    ) -> None:
        """Record why the request is not carried out."""
        self.refusal = Refusal(code, message, result)

    def goes_on(self) -> bool:
        """Tell whether this belongs to a transaction that is under way."""
        return self.transaction is not None

    def token_patience(self, is_certain: bool = False) -> float:
        """Return the seconds to wait for a token of the workspace's rate.

        `is_certain` holds where it is known that there will be one.
        """
        return CERTAIN_PATIENCE_S if is_certain else TOKEN_PATIENCE_S

    def is_read(self) -> bool:
        """Tell whether any up-to-date endpoint may serve the request."""
        return self.kind is StatementKind.READ and self.transaction is None

    def may_repeat(self) -> bool:
        """Tell whether running the request twice has the effect of running it once."""
        if self.is_read() or self.kind is StatementKind.RECALL:
            return True
        return (
            self.transaction is None
            and self.kind is StatementKind.WRITE
            and (self.idempotent or self.request_id is not None)
        )
