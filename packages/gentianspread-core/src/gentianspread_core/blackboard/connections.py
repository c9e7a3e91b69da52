"""Section of this VM's connections to endpoints; owned by the placement controller."""

from __future__ import annotations

from enum import Enum

from .homes import ServingVM


class ConnectionState(Enum):
    """Whether a connection can be taken."""

    NEW = "new"
    IDLE = "idle"
    BUSY = "busy"
    IN_TRANSACTION = "held"
    CLOSED = "closed"


class BackendConnection:
    """One connection, opened in the name of one workspace.

    `values` and `prepared` are what the endpoint holds for it; `last_used` is in seconds of the
    VM's clock. Where `home` is another VM, that one holds the connection and statements are handed
    over to it.
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


class Connections:
    """Connections by endpoint; closed ones are left out."""

    __slots__ = ("by_endpoint",)

    def __init__(self) -> None:
        self.by_endpoint: dict[str, list[BackendConnection]] = {}

    def of(self, endpoint: str) -> list[BackendConnection]:
        """Return the connections to an endpoint."""
        return self.by_endpoint.setdefault(endpoint, [])
