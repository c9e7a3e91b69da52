"""The queues of requests that wait for an endpoint, and the order in which they are served."""

from __future__ import annotations

from ...blackboard import Board
from ...blackboard.queues import WaitingQueue
from ...blackboard.sessions import SessionRequest
from ..policies import FairQueue

MAX_QUEUE_LENGTH = 512  # requests per queue of a group; bounds the memory of a VM under overload
MAX_QUEUED_PER_WORKSPACE = 64  # requests per queue of a group; same as in the ordinary preset
OVERLOAD_WAIT_FRACTION = 0.5  # of the objective, missed if the exchange then takes the other half


class FairWaiting:
    """Serves workspaces in turn, the one with the fewest running requests first.

    Within a workspace the order is FIFO while the oldest request can meet its objective, and LIFO
    under overload: serving requests that are already late would make all later ones late too.
    """

    __slots__ = ("board", "_fair_queue")

    def __init__(self, board: Board) -> None:
        self.board = board
        self._fair_queue = FairQueue(MAX_QUEUED_PER_WORKSPACE)

    def push(self, queue: WaitingQueue, request: SessionRequest) -> list[SessionRequest]:
        """Add a request; return the one that is dropped for it, which may be itself."""
        dropped = self._fair_queue.push(queue, request)
        return [dropped] if dropped is not None else []

    def drop_overdue(self, queue: WaitingQueue) -> list[SessionRequest]:
        """Return nothing: each request waits until its time to wait ends."""
        return []

    def count_before(self, queue: WaitingQueue, request: SessionRequest) -> int:
        """Return how many requests of the same workspace wait."""
        return len(queue.by_workspace.get(request.workspace, ()))

    def merge(self, queues: list[WaitingQueue]) -> list[list[WaitingQueue]]:
        """Order each queue on its own."""
        return [[queue] for queue in queues]

    def turns(self, queues: list[WaitingQueue]) -> list[tuple[WaitingQueue, str]]:
        """Return the workspaces to take one request from in turn, the first one first."""
        return [
            (queue, workspace)
            for queue in queues
            for workspace in self._fair_queue.workspaces_by_load(queue)
        ]

    def take(self, queue: WaitingQueue, key: str) -> SessionRequest:
        """Remove and return the next request of one key."""
        waiting = queue.by_workspace[key]
        queue.length -= 1
        return waiting.pop() if self._is_overloaded(waiting[0]) else waiting.popleft()

    def put_back(self, queue: WaitingQueue, key: str, request: SessionRequest) -> None:
        """Return a request that could not be placed to where it was taken from."""
        waiting = queue.by_workspace[key]
        queue.length += 1
        if waiting and request.arrived_at >= waiting[-1].arrived_at:
            waiting.append(request)
        else:
            waiting.appendleft(request)

    def _is_overloaded(self, oldest: SessionRequest) -> bool:
        waited = self.board.clock.now() - oldest.arrived_at
        return waited > OVERLOAD_WAIT_FRACTION * oldest.route.objective


class GroupQueues:
    """Finds the queue of a request: of its group, for reads or for writes, or of its endpoint."""

    __slots__ = ("board",)

    def __init__(self, board: Board) -> None:
        self.board = board

    def of_request(self, request: SessionRequest) -> WaitingQueue:
        """Return the queue that a request waits in."""
        if request.relayed_statement is not None:
            name = request.relayed_statement.endpoint
            return self.board.queues.pinned.setdefault(name, WaitingQueue(MAX_QUEUE_LENGTH))
        if request.min_position is None:
            return self._write_queue(request.group)
        return self._read_queue(request.group)

    def of_group(self, group: str) -> list[WaitingQueue]:
        """Return the queues of a group; requests for the primary do not block the others."""
        pinned = self.board.queues.pinned
        endpoints = self.board.endpoints.by_group.get(group, ())
        return [
            self._write_queue(group),
            self._read_queue(group),
            *(pinned[item.name] for item in endpoints if item.name in pinned),
        ]

    def _read_queue(self, group: str) -> WaitingQueue:
        return self.board.queues.reads.setdefault(group, WaitingQueue(MAX_QUEUE_LENGTH))

    def _write_queue(self, group: str) -> WaitingQueue:
        return self.board.queues.writes.setdefault(group, WaitingQueue(MAX_QUEUE_LENGTH))
