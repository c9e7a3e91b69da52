"""Section of open transactions of this VM; owned by the transaction controller."""

from __future__ import annotations

from ..positions import SessionToken


class Transaction:
    """A transaction bound to one connection of one endpoint."""

    __slots__ = (
        "name",
        "workspace",
        "key_hash",
        "group",
        "endpoint",
        "term",
        "busy",
        "last_used",
        "token",
        "request_id",
    )

    def __init__(
        self,
        name: str,
        workspace: str,
        key_hash: str | None,
        group: str,
        endpoint: str,
        term: int,
        now: float,
        token: SessionToken | None,
    ) -> None:
        self.name = name
        self.workspace = workspace
        self.key_hash = key_hash
        self.group = group
        self.endpoint = endpoint
        self.term = term
        self.busy = False
        self.last_used = now
        self.token = token
        self.request_id: str | None = None


class Transactions:
    """Open transactions by name."""

    __slots__ = ("by_name",)

    def __init__(self) -> None:
        self.by_name: dict[str, Transaction] = {}
