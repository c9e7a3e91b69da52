"""Section of statements that VMs relay to the home VM, which holds a workspace's connections.

Owned by the relay controller.
"""

from __future__ import annotations

from typing import Any

from ..positions import Position
from .declarations import Route
from .prepared import PreparedStatement
from .requests import ExchangeStatus, StatementKind
from .sessions import (
    Session,
    SessionReply,
    SessionRequest,
    SessionStatement,
    Verb,
)

WAIT_TIMEOUT_FRACTION = 0.6  # of the timeout; the rest is for the endpoint's reply
TIMEOUT_DIGITS = 4  # a tenth of a millisecond


class KeyDecision:
    """What a VM decided about a caller's key: its workspace, by which version of the declaration.

    For an open route, which needs no key, the workspace stands for the route.
    """

    __slots__ = ("workspace", "version")

    def __init__(self, workspace: str, version: int) -> None:
        self.workspace = workspace
        self.version = version

    @classmethod
    def from_record(cls, record: list[Any]) -> KeyDecision:
        """Build from the JSON form; raises `ValueError` for anything else."""
        workspace, version = record
        if not isinstance(workspace, str) or type(version) is not int:
            raise ValueError("a key decision must be a workspace and a version")
        return cls(workspace, version)

    def to_record(self) -> list[Any]:
        """Return the JSON form."""
        return [self.workspace, self.version]


class RelayedStatement:
    """One statement of another VM's caller, for a given endpoint.

    `handle` identifies the sender's connection and, if `in_transaction`, the transaction bound to
    it; `begins_transaction` marks its first statement. `wait_timeout_s` is the part of `timeout_s`
    until the statement is sent. `age_s` is how long ago the caller's statement arrived, or none if
    the sender does not say. `outliers` is the JSON form of the ejected endpoints that the sender
    knows, or none. `key_decision` is the sender's, or none if it does not say. `reply` is the
    endpoint's reply, for which `waiter` waits.
    """

    __slots__ = (
        "handle",
        "endpoint",
        "key_hash",
        "route",
        "values",
        "kind",
        "verb",
        "statement_id",
        "text",
        "arguments",
        "prepared",
        "min_position",
        "timeout_s",
        "wait_timeout_s",
        "age_s",
        "begins_transaction",
        "in_transaction",
        "is_read_only",
        "outliers",
        "key_decision",
        "reply",
        "waiter",
    )

    def __init__(
        self,
        handle: str,
        endpoint: str,
        key_hash: str,
        route: Route,
        values: dict[str, str],
        kind: StatementKind,
        statement: SessionStatement,
        prepared: PreparedStatement | None,
        min_position: Position | None,
        timeout_s: float,
        wait_timeout_s: float,
    ) -> None:
        self.handle = handle
        self.endpoint = endpoint
        self.key_hash = key_hash
        self.route = route
        self.values = values
        self.kind = kind
        self.verb = statement.verb
        self.statement_id = statement.statement_id
        self.text = statement.text
        self.arguments = statement.arguments
        self.prepared = prepared
        self.min_position = min_position
        self.timeout_s = timeout_s
        self.wait_timeout_s = wait_timeout_s
        self.age_s: float | None = None
        self.begins_transaction = False
        self.in_transaction = False
        self.is_read_only = False
        self.outliers: dict[str, Any] | None = None
        self.key_decision: KeyDecision | None = None
        self.reply: SessionReply | None = None
        self.waiter: Any = None

    @classmethod
    def from_request(
        cls, request: SessionRequest, handle: str, now: float, sends_age: bool = False
    ) -> RelayedStatement:
        """Build the message that has another VM carry out a request's exchange."""
        exchange = request.exchange
        time_left = max(0.0, request.wait_deadline - now)
        wait_timeout_s = min(WAIT_TIMEOUT_FRACTION * exchange.timeout_s, time_left)
        relayed = cls(
            handle,
            exchange.endpoint,
            request.key_hash or "",
            request.route,
            request.session.values,
            request.kind,
            request.call.statement,
            request.prepared,
            request.min_position,
            exchange.timeout_s,
            wait_timeout_s,
        )
        if sends_age:
            relayed.age_s = max(0.0, now - request.arrived_at)
        relayed.outliers = exchange.outliers
        relayed.key_decision = exchange.key_decision
        transaction = request.session.transaction
        if transaction is not None:
            relayed.in_transaction = True
            relayed.begins_transaction = exchange.opens_transaction
            relayed.is_read_only = transaction.is_read_only
        return relayed

    def statement(self) -> SessionStatement:
        """Return the caller's statement."""
        return SessionStatement(self.verb, self.statement_id, self.text, arguments=self.arguments)

    def to_record(self) -> dict[str, Any]:
        """Return the JSON form."""
        prepared, position = self.prepared, self.min_position
        record = {
            "handle": self.handle,
            "endpoint": self.endpoint,
            "key_hash": self.key_hash,
            "route": self.route.to_record(),
            "values": self.values,
            "kind": self.kind.value,
            "verb": self.verb.value,
            "number": self.statement_id,
            "text": self.text,
            "arguments": self.arguments,
            "prepared": [prepared.writes, prepared.shape] if prepared else None,
            "min_position": position.to_pair() if position else None,
            "limit_s": round(self.timeout_s, TIMEOUT_DIGITS),
            "patience_s": round(self.wait_timeout_s, TIMEOUT_DIGITS),
            "transaction": (
                [self.begins_transaction, self.is_read_only] if self.in_transaction else None
            ),
        }
        if self.age_s is not None:
            record["age_s"] = round(self.age_s, TIMEOUT_DIGITS)
        if self.outliers is not None:
            record["outliers"] = self.outliers
        if self.key_decision is not None:
            record["key_decision"] = self.key_decision.to_record()
        return record

    @classmethod
    def from_record(cls, record: dict[str, Any]) -> RelayedStatement:
        """Build from the JSON form."""
        prepared, position = record["prepared"], record["min_position"]
        statement = SessionStatement(
            Verb(record["verb"]), record["number"], record["text"], arguments=record["arguments"]
        )
        relayed = cls(
            record["handle"],
            record["endpoint"],
            record["key_hash"],
            Route.from_record(record["route"]),
            record["values"],
            StatementKind(record["kind"]),
            statement,
            PreparedStatement(*prepared) if prepared else None,
            Position.from_pair(position) if position else None,
            record["limit_s"],
            record["patience_s"],
        )
        if record.get("age_s") is not None:
            relayed.age_s = max(0.0, float(record["age_s"]))
        if record["transaction"] is not None:
            relayed.in_transaction = True
            relayed.begins_transaction, relayed.is_read_only = record["transaction"]
        relayed.outliers = record.get("outliers")
        if record.get("key_decision") is not None:
            relayed.key_decision = KeyDecision.from_record(record["key_decision"])
        return relayed


REPLY_FLAGS = ("was_sent", "keeps_transaction", "is_reusable")


def reply_to_record(reply: SessionReply) -> dict[str, Any]:
    """Return the JSON form of an endpoint's reply."""
    record = {
        "status": reply.status.value,
        "rows": reply.rows,
        "position": reply.position.to_pair() if reply.position else None,
        "code": reply.code,
        "message": reply.message,
        "signature": reply.signature,
        "flags": [getattr(reply, name) for name in REPLY_FLAGS],
    }
    if reply.load is not None:
        record["load"] = reply.load
    if reply.outliers is not None:
        record["outliers"] = reply.outliers
    if reply.cold_s is not None:
        record["cold_s"] = reply.cold_s
    return record


def load_reply(reply: SessionReply, record: dict[str, Any]) -> None:
    """Fill in a reply from its JSON form."""
    reply.status = ExchangeStatus(record["status"])
    reply.rows = record["rows"]
    reply.position = Position.from_pair(record["position"]) if record["position"] else None
    reply.code = record["code"]
    reply.message = record["message"]
    reply.signature = record["signature"]
    for name, value in zip(REPLY_FLAGS, record["flags"], strict=True):
        setattr(reply, name, value)
    reply.load = record.get("load")
    reply.outliers = record.get("outliers")
    cold_s = record.get("cold_s")
    reply.cold_s = None if cold_s is None else float(cold_s)


class RelayedTransaction:
    """A transaction of another VM's caller; `last_used` is in seconds of this VM's clock."""

    __slots__ = ("session", "last_used")

    def __init__(self, session: Session, now: float) -> None:
        self.session = session
        self.last_used = now


class Relays:
    """Open transactions of other VMs' callers by handle, and their running statements.

    `newer_decisions` counts the statements whose key was decided by the sender's newer declaration.
    """

    __slots__ = ("transactions", "running", "newer_decisions")

    def __init__(self) -> None:
        self.newer_decisions = 0
        self.transactions: dict[str, RelayedTransaction] = {}
        self.running: set[RelayedStatement] = set()
