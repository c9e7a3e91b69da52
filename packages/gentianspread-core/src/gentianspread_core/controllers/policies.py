"""Interchangeable policies: replica selection for reads, and admission to a full queue."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from ..blackboard import Board
from ..blackboard.endpoints import Endpoint
from ..blackboard.queues import WaitingQueue
from ..blackboard.requests import Request, StatementKind
from ..positions import LOG_START
from ..settings import PRESET_POLICIES

MAX_LAG_DEADLINE_FRACTION = 0.5  # of the time left until the deadline
REPEATED_ENDPOINT_COST = 15.0


class NearestReplica:
    """Prefers replicas that have the session's writes, then those that will have them in time."""

    __slots__ = ("board",)

    def __init__(self, board: Board) -> None:
        self.board = board

    def choose(
        self, request: Request, candidates: Iterable[Endpoint], now: float
    ) -> Endpoint | None:
        """Return the cheapest endpoint with capacity, or none if the request must wait."""
        group = self.board.configuration.groups.get(request.group)
        primary = group.primary if group else None
        best: Endpoint | None = None
        best_cost = float("inf")
        for endpoint in candidates:
            if not endpoint.has_free_connection() or not endpoint.is_usable():
                continue
            cost = self._cost(request, endpoint, endpoint.name == primary, now)
            if cost < best_cost:
                best, best_cost = endpoint, cost
        return best

    def _cost(self, request: Request, endpoint: Endpoint, is_primary: bool, now: float) -> float:
        """Return a unitless cost of load, distance and lag, infinite if the data may be too old."""
        policy = PRESET_POLICIES[self.board.configuration.preset]
        cost = endpoint.in_use / endpoint.capacity
        if endpoint.zone != self.board.settings.zone:
            cost += 1.0
        if endpoint.name == request.endpoint:
            cost += REPEATED_ENDPOINT_COST
        if is_primary:
            return cost + (10.0 if policy.reads_on_primary else 20.0)
        if request.max_age is not None and endpoint.lag > request.max_age:
            return float("inf")
        required = request.token.position(request.group) if request.token else LOG_START
        if not endpoint.position.reaches(required):
            allowed = min(
                policy.max_replica_wait_s, (request.deadline - now) * MAX_LAG_DEADLINE_FRACTION
            )
            if endpoint.lag > allowed:
                return float("inf")
            cost += 0.5
        return cost


class PrimaryOnly:
    """Sends every read to the primary; the baseline for replica reads in experiments."""

    __slots__ = ("board",)

    def __init__(self, board: Board) -> None:
        self.board = board

    def choose(
        self, request: Request, candidates: Iterable[Endpoint], now: float
    ) -> Endpoint | None:
        """Return the primary if it has capacity."""
        group = self.board.configuration.groups.get(request.group)
        for endpoint in candidates:
            if group and endpoint.name == group.primary and endpoint.is_usable():
                return endpoint if endpoint.has_free_connection() else None
        return None


class FairQueue:
    """Serves the workspace with the fewest running requests; drops from the longest queue."""

    __slots__ = ("workspace_limit",)

    def __init__(self, workspace_limit: int) -> None:
        self.workspace_limit = workspace_limit

    def push(self, queue: WaitingQueue, request: Request) -> Request | None:
        """Add a request; return the one that is dropped for it, which may be itself."""
        waiting = queue.by_workspace.get(request.workspace)
        if waiting is None:
            waiting = deque()
            queue.by_workspace[request.workspace] = waiting
        if len(waiting) >= self.workspace_limit:
            return request
        waiting.append(request)
        queue.length += 1
        if queue.length <= queue.limit:
            return None
        return self._drop_from_longest(queue)

    def pop(self, queue: WaitingQueue) -> Request | None:
        """Take the oldest request of the workspace with the fewest running ones."""
        best: str | None = None
        for workspace, waiting in queue.by_workspace.items():
            if waiting and (best is None or self._has_fewer_running(queue, workspace, best)):
                best = workspace
        if best is None:
            return None
        queue.length -= 1
        waiting = queue.by_workspace.pop(best)
        request = waiting.popleft()
        if waiting:
            queue.by_workspace[best] = waiting
        return request

    def workspaces_by_load(self, queue: WaitingQueue) -> list[str]:
        """Return the workspaces with queued requests, the one with the fewest running first."""
        for name in [name for name, waiting in queue.by_workspace.items() if not waiting]:
            del queue.by_workspace[name]
        return sorted(queue.by_workspace, key=lambda name: queue.running.get(name, 0))

    def _has_fewer_running(self, queue: WaitingQueue, workspace: str, best: str) -> bool:
        return queue.running.get(workspace, 0) < queue.running.get(best, 0)

    def _drop_from_longest(self, queue: WaitingQueue) -> Request:
        longest = max(queue.by_workspace.values(), key=len)
        queue.length -= 1
        return longest.pop()


class FifoQueue:
    """One FIFO queue for all workspaces; rejects the newest when full. The fairness baseline."""

    __slots__ = ()

    def push(self, queue: WaitingQueue, request: Request) -> Request | None:
        """Add a request, or return it if the queue is full."""
        if queue.length >= queue.limit:
            return request
        queue.by_workspace.setdefault("", deque()).append(request)
        queue.length += 1
        return None

    def pop(self, queue: WaitingQueue) -> Request | None:
        """Take the oldest request."""
        waiting = queue.by_workspace.get("")
        if not waiting:
            return None
        queue.length -= 1
        return waiting.popleft()


class PriorityQueue:
    """Lets a write evict the newest queued read when the queue is full.

    Source: the priority admission of "Bounded Systems Architecture and SLO-Driven Load Control"
    (Salgotra, 2026), with writes as the critical class.
    """

    __slots__ = ()

    def push(self, queue: WaitingQueue, request: Request) -> Request | None:
        """Add a request; return the one that is dropped for it, which may be itself."""
        waiting = queue.by_workspace.setdefault("", deque())
        if queue.length < queue.limit:
            waiting.append(request)
            queue.length += 1
            return None
        if request.kind is StatementKind.READ:
            return request
        for position in range(len(waiting) - 1, -1, -1):
            if waiting[position].kind is StatementKind.READ:
                dropped = waiting[position]
                del waiting[position]
                waiting.append(request)
                return dropped
        return request

    def pop(self, queue: WaitingQueue) -> Request | None:
        """Take the oldest request."""
        return FifoQueue().pop(queue)
