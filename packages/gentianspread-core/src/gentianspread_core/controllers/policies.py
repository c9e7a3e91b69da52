"""Policies that vary: which replica serves a read, and who leaves a full queue."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from ..blackboard import Board
from ..blackboard.endpoints import Endpoint
from ..blackboard.queues import WaitingQueue
from ..blackboard.requests import Request, StatementKind
from ..positions import LOG_START
from ..settings import PRESET_POLICIES

LAG_SHARE_OF_DEADLINE = 0.5
TRIED_BEFORE_COST = 15.0


class NearestReplica:
    """Prefers replicas that have the session's writes, then those that will have them in time."""

    __slots__ = ("board",)

    def __init__(self, board: Board) -> None:
        self.board = board

    def choose(
        self, request: Request, candidates: Iterable[Endpoint], now: float
    ) -> Endpoint | None:
        """Return the best endpoint with room, or none if the request must wait."""
        group = self.board.configuration.groups.get(request.group)
        primary = group.primary if group else None
        best: Endpoint | None = None
        best_cost = float("inf")
        for endpoint in candidates:
            if not endpoint.has_room() or not endpoint.is_usable():
                continue
            cost = self._cost(request, endpoint, endpoint.name == primary, now)
            if cost < best_cost:
                best, best_cost = endpoint, cost
        return best

    def _cost(self, request: Request, endpoint: Endpoint, is_primary: bool, now: float) -> float:
        """Return a cost in connections: load, then distance, then the wait; infinite if unfit."""
        policy = PRESET_POLICIES[self.board.configuration.preset]
        cost = endpoint.in_use / endpoint.capacity
        if endpoint.zone != self.board.settings.zone:
            cost += 1.0
        if endpoint.name == request.endpoint:
            cost += TRIED_BEFORE_COST
        if is_primary:
            return cost + (10.0 if policy.reads_on_primary else 20.0)
        if request.max_age is not None and endpoint.lag > request.max_age:
            return float("inf")
        wanted = request.token.position(request.group) if request.token else LOG_START
        if not endpoint.position.reaches(wanted):
            allowed = min(
                policy.max_replica_wait_s, (request.deadline - now) * LAG_SHARE_OF_DEADLINE
            )
            if endpoint.lag > allowed:
                return float("inf")
            cost += 0.5
        return cost


class PrimaryOnly:
    """Sends every read to the primary; the baseline that replica reads are compared with."""

    __slots__ = ("board",)

    def __init__(self, board: Board) -> None:
        self.board = board

    def choose(
        self, request: Request, candidates: Iterable[Endpoint], now: float
    ) -> Endpoint | None:
        """Return the primary if it has room."""
        group = self.board.configuration.groups.get(request.group)
        for endpoint in candidates:
            if group and endpoint.name == group.primary and endpoint.is_usable():
                return endpoint if endpoint.has_room() else None
        return None


class FairQueue:
    """Serves the workspace with the fewest running requests; drops from the longest line."""

    __slots__ = ("workspace_limit",)

    def __init__(self, workspace_limit: int) -> None:
        self.workspace_limit = workspace_limit

    def push(self, queue: WaitingQueue, request: Request) -> Request | None:
        """Add a request; return the one that is dropped for it, which may be itself."""
        line = queue.by_workspace.get(request.workspace)
        if line is None:
            line = deque()
            queue.by_workspace[request.workspace] = line
        if len(line) >= self.workspace_limit:
            return request
        line.append(request)
        queue.length += 1
        if queue.length <= queue.limit:
            return None
        return self._drop_from_longest(queue)

    def pop(self, queue: WaitingQueue) -> Request | None:
        """Take the oldest request of the workspace with the fewest running ones."""
        best: str | None = None
        for workspace, line in queue.by_workspace.items():
            if line and (best is None or self._runs_less(queue, workspace, best)):
                best = workspace
        if best is None:
            return None
        queue.length -= 1
        line = queue.by_workspace.pop(best)
        request = line.popleft()
        if line:
            queue.by_workspace[best] = line
        return request

    def workspaces(self, queue: WaitingQueue) -> list[str]:
        """Return the workspaces that wait, the one with the fewest running requests first."""
        for name in [name for name, line in queue.by_workspace.items() if not line]:
            del queue.by_workspace[name]
        return sorted(queue.by_workspace, key=lambda name: queue.running.get(name, 0))

    def _runs_less(self, queue: WaitingQueue, workspace: str, best: str) -> bool:
        return queue.running.get(workspace, 0) < queue.running.get(best, 0)

    def _drop_from_longest(self, queue: WaitingQueue) -> Request:
        longest = max(queue.by_workspace.values(), key=len)
        queue.length -= 1
        return longest.pop()


class BlindQueue:
    """One line for all, with refusal at its end; the baseline for fairness."""

    __slots__ = ()

    def push(self, queue: WaitingQueue, request: Request) -> Request | None:
        """Add a request unless the line is full."""
        if queue.length >= queue.limit:
            return request
        queue.by_workspace.setdefault("", deque()).append(request)
        queue.length += 1
        return None

    def pop(self, queue: WaitingQueue) -> Request | None:
        """Take the oldest request."""
        line = queue.by_workspace.get("")
        if not line:
            return None
        queue.length -= 1
        return line.popleft()


class PriorityQueue:
    """Lets writes push out the newest waiting read when the line is full.

    Source: the priority admission of "Bounded Systems Architecture and SLO-Driven Load Control"
    (Salgotra, 2026), with writes as the critical class.
    """

    __slots__ = ()

    def push(self, queue: WaitingQueue, request: Request) -> Request | None:
        """Add a request; a write may push out the newest read."""
        line = queue.by_workspace.setdefault("", deque())
        if queue.length < queue.limit:
            line.append(request)
            queue.length += 1
            return None
        if request.kind is StatementKind.READ:
            return request
        for position in range(len(line) - 1, -1, -1):
            if line[position].kind is StatementKind.READ:
                dropped = line[position]
                del line[position]
                line.append(request)
                return dropped
        return request

    def pop(self, queue: WaitingQueue) -> Request | None:
        """Take the oldest request."""
        return BlindQueue().pop(queue)
