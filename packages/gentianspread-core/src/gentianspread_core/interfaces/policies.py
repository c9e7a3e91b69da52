"""Protocols of the policies for replica selection and queueing."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ..blackboard.endpoints import Endpoint
    from ..blackboard.queues import WaitingQueue
    from ..blackboard.requests import Request


class ReplicaSelector(Protocol):
    """Selects the endpoint for a read."""

    def choose(
        self, request: Request, candidates: Iterable[Endpoint], now: float
    ) -> Endpoint | None:
        """Return the endpoint to read from, or None if the request must wait."""


class QueuePolicy(Protocol):
    """Orders the requests that wait for an endpoint, and drops requests from a full queue."""

    def push(self, queue: WaitingQueue, request: Request) -> Request | None:
        """Add a request; return the request dropped to make room, which may be the same one."""

    def pop(self, queue: WaitingQueue) -> Request | None:
        """Remove and return the next request to run, or None."""
