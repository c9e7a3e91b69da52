"""Section of this VM's connections to endpoints; owned by the placement controller."""

from __future__ import annotations

from enum import Enum

from .homes import ServingVM


class ConnectionState(Enum):
    """States of a connection; between a transaction's statements it is `IN_TRANSACTION`."""

    NEW = "new"
    IDLE = "idle"
    BUSY = "busy"
    IN_TRANSACTION = "held"
    CLOSED = "closed"


class BackendConnection:
    """One connection to an endpoint, opened for one workspace.

    `values` and `prepared` are the session values and the names of the prepared statements that the
    endpoint keeps for it; `last_used` is in seconds of the VM's clock. If `home` is set, that VM
    holds the actual connection, and statements are relayed to it. `is_opening` is set until its
    first exchange has ended.
    """

    __slots__ = (
        "number",
        "endpoint",
        "address",
        "group",
        "workspace",
        "state",
        "values",
        "prepared",
        "last_used",
        "home",
        "is_opening",
    )

    def __init__(
        self, number: int, endpoint: str, address: str, group: str, workspace: str, now: float
    ) -> None:
        self.number = number
        self.endpoint = endpoint
        self.address = address
        self.group = group
        self.workspace = workspace
        self.state = ConnectionState.NEW
        self.values: dict[str, str] = {}
        self.prepared: set[str] = set()
        self.last_used = now
        self.home: ServingVM | None = None
        self.is_opening = True


class Connections:
    """Open connections by endpoint."""

    __slots__ = ("by_endpoint",)

    def __init__(self) -> None:
        self.by_endpoint: dict[str, list[BackendConnection]] = {}

    def of(self, endpoint: str) -> list[BackendConnection]:
        """Return the connections to an endpoint."""
        return self.by_endpoint.setdefault(endpoint, [])
