"""Protocols of the policies for endpoint selection and queueing."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ..blackboard.endpoints import Endpoint
    from ..blackboard.homes import ServingVM
    from ..blackboard.queues import WaitingQueue
    from ..blackboard.requests import Reply, Request
    from ..blackboard.sessions import SessionRequest
    from ..controllers.placement.selection import ServingOption


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


class EndpointFilter(Protocol):
    """Excludes endpoints that must not serve a request of a session, whatever their load.

    `reason` tells callers and operators why, for example "outside the allowed regions".
    """

    reason: str

    def allows(self, request: SessionRequest, endpoint: Endpoint) -> bool:
        """Return whether the endpoint may serve the request."""


class DispatchGate(Protocol):
    """Limits the exchanges that this VM sends to endpoints itself, whatever their load."""

    def try_pass(self, request: SessionRequest, endpoint: str) -> bool:
        """Return whether an exchange may be sent now; otherwise take charge of the request."""


class EndpointSelector(Protocol):
    """Selects among the ways to serve a session's request that are open now."""

    def choose(self, request: SessionRequest, options: list[ServingOption]) -> ServingOption | None:
        """Return the option to use, or None if the request must wait."""


class WaitingPolicy(Protocol):
    """Orders the sessions' requests that wait for an endpoint.

    A queue is divided into keys, each with an order of its own; the keys take turns.
    """

    def push(self, queue: WaitingQueue, request: SessionRequest) -> list[SessionRequest]:
        """Add a request; return those that are dropped, of which it may be one."""

    def drop_overdue(self, queue: WaitingQueue) -> list[SessionRequest]:
        """Remove and return the requests that cannot be served in time any more."""

    def count_before(self, queue: WaitingQueue, request: SessionRequest) -> int:
        """Return how many requests of the same key wait, before a request is added."""

    def merge(self, queues: list[WaitingQueue]) -> list[list[WaitingQueue]]:
        """Divide queues that compete into lists; the queues of a list are ordered together."""

    def turns(self, queues: list[WaitingQueue]) -> Iterable[tuple[WaitingQueue, str]]:
        """Return the queues and keys to take one request from in turn, the first one first."""

    def take(self, queue: WaitingQueue, key: str) -> SessionRequest:
        """Remove and return the next request of a key."""

    def put_back(self, queue: WaitingQueue, key: str, request: SessionRequest) -> None:
        """Return a request that could not be placed to where it was taken from."""


class AdmissionPolicy(Protocol):
    """Decides whether a statement may use the capacity of a home VM."""

    def admits(self, request: SessionRequest, endpoint: Endpoint, home: ServingVM | None) -> bool:
        """Return whether it may be sent to an endpoint, through a home VM if there is one."""


class ConcurrencyLimit(Protocol):
    """Adapts how many statements this VM keeps under way at an endpoint.

    If `starts_low`, a window starts at one statement, and grows with the replies.
    """

    starts_low: bool

    def adapt(self, endpoint: Endpoint, request: Request, reply: Reply) -> None:
        """Update the endpoint's windows after the reply to a request."""


class RetryLimit(Protocol):
    """Limits this VM's own retries of its callers' requests."""

    def count(self, request: SessionRequest) -> None:
        """Take the end of one of the request's attempts into account."""

    def allows(self, request: SessionRequest) -> bool:
        """Return whether a request that failed may be retried; it then counts as retried."""


class LoadEstimator(Protocol):
    """Estimates the load of an endpoint now, from load reports that have an age."""

    def expected_wait_s(self, endpoint: Endpoint, home: ServingVM | None) -> float | None:
        """Return the seconds that a new statement would wait before the endpoint runs it.

        None if nothing recent is known of the endpoint through this home VM.
        """

    def service_s(self, endpoint: Endpoint) -> float:
        """Return the seconds that the endpoint takes for a statement, without any wait."""

    def age_s(self, endpoint: Endpoint) -> float | None:
        """Return the age of the newest report on an endpoint, None without a recent one."""
