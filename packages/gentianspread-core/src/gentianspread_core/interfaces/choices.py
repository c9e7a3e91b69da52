"""Protocols of the policies: which replica serves a read, and who leaves a full queue."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ..blackboard.endpoints import Endpoint
    from ..blackboard.queues import WaitingQueue
    from ..blackboard.requests import Request


class ReplicaSelector(Protocol):
    """Picks the endpoint for a read."""

    def choose(
        self, request: Request, candidates: Iterable[Endpoint], now: float
    ) -> Endpoint | None:
        """Return the endpoint to read from, or none if the request must wait."""


class QueuePolicy(Protocol):
    """Orders the requests that wait for an endpoint."""

    def push(self, queue: WaitingQueue, request: Request) -> Request | None:
        """Add a request; return the one that is dropped for it, which may be itself."""

    def pop(self, queue: WaitingQueue) -> Request | None:
        """Take the next request to run."""
