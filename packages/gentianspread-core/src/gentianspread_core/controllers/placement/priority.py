"""The order of waiting requests by the priorities of their routes."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from ...blackboard import Board
from ...blackboard.queues import WaitingQueue
from ...blackboard.sessions import SessionRequest
from .throughput import home_starts_per_second, starts_per_second
from .waiting import MAX_QUEUED_PER_WORKSPACE

MIN_SHARE = 0.05  # of the dispatches, for each lower priority that waits; callers must not starve
OVERLOAD_WAIT_FRACTION = 0.25  # of the objective; by then a request should be at an endpoint


class PriorityWaiting:
    """Serves the highest priority first, with a minimum share for each lower one that waits.

    Within a priority the workspaces take turns, the one with the fewest running requests first.
    Within a workspace the earliest objective comes first while the oldest request is on time, and
    the newest request under overload (adaptive LIFO: Maurer, "Fail at Scale", 2015). Requests that
    have missed their objective come last. The minimum share is kept by credits: each dispatch adds
    `MIN_SHARE` to the credit of every other priority that waits, and a whole credit is a turn.
    """

    __slots__ = ("board", "_blocked")

    def __init__(self, board: Board) -> None:
        self.board = board
        self._blocked: set[tuple[int, str]] = set()

    def merge(self, queues: list[WaitingQueue]) -> list[list[WaitingQueue]]:
        """Order all queues together, as they wait for the same endpoints."""
        return [queues]

    def push(self, queue: WaitingQueue, request: SessionRequest) -> list[SessionRequest]:
        """Add a request; return the one dropped if the queue is full, which may be itself."""
        _remove_decided(queue)
        waiting = queue.by_workspace.setdefault(_key(request), deque())
        waiting.append(request)
        queue.length += 1
        if len(waiting) > MAX_QUEUED_PER_WORKSPACE:
            return [_drop(queue, waiting)]
        return [_drop_least_urgent(queue)] if queue.length > queue.limit else []

    def drop_overdue(self, queue: WaitingQueue) -> list[SessionRequest]:
        """Remove and return the requests that are expected to start later than they may wait."""
        _remove_decided(queue)
        if not queue.by_workspace:
            return []
        any_request = next(iter(queue.by_workspace.values()))[0]
        return self._drop_too_late(queue, starts_per_second(self.board, any_request))

    def count_before(self, queue: WaitingQueue, request: SessionRequest) -> int:
        """Return how many requests of the same workspace and priority wait."""
        return len(queue.by_workspace.get(_key(request), ()))

    def turns(self, queues: list[WaitingQueue]) -> Iterator[tuple[WaitingQueue, str]]:
        """Yield the next key to take a request from, until no key has one that can be placed.

        The order is determined anew after each request that was placed.
        """
        self._blocked.clear()
        for queue in queues:
            _remove_decided(queue)
        is_placed = True
        while is_placed:
            is_placed = False
            for queue, key in self._in_order(queues):
                yield queue, key
                if (id(queue), key) not in self._blocked:
                    self._account(queues, queue, key)
                    is_placed = True
                    break

    def take(self, queue: WaitingQueue, key: str) -> SessionRequest:
        """Remove and return the next request of one key."""
        waiting = queue.by_workspace[key]
        request = self._in_turn(waiting)[0]
        waiting.remove(request)
        queue.length -= 1
        return request

    def put_back(self, queue: WaitingQueue, key: str, request: SessionRequest) -> None:
        """Return a request that could not be placed; its key gets no further turn in this round."""
        queue.by_workspace[key].append(request)
        queue.length += 1
        self._blocked.add((id(queue), key))

    def _in_order(self, queues: list[WaitingQueue]) -> list[tuple[WaitingQueue, str]]:
        """Return the queues and keys that are not blocked, the one to serve next first."""
        now = self.board.clock.now()
        ranked = []
        for queue in queues:
            for key, waiting in queue.by_workspace.items():
                if not waiting or (id(queue), key) in self._blocked:
                    continue
                request = self._in_turn(waiting)[0]
                priority = request.route.priority
                has_credit = queue.credits.get(priority, 0.0) >= 1.0
                is_late = now > _objective_end(request)
                running = queue.running.get(request.workspace, 0)
                rank = (not has_credit, priority, is_late, running)
                ranked.append((rank, queue, key))
        ranked.sort(key=lambda item: item[0])
        return [(queue, key) for _, queue, key in ranked]

    def _account(self, queues: list[WaitingQueue], served: WaitingQueue, key: str) -> None:
        """Update the credits after a dispatch, and let the other workspaces go before its own."""
        priority = _priority(key)
        served.credits[priority] = max(0.0, served.credits.get(priority, 0.0) - 1.0)
        for queue in queues:
            waiting = {_priority(name) for name, items in queue.by_workspace.items() if items}
            for other in waiting:
                if other != priority:
                    queue.credits[other] = min(1.0, queue.credits.get(other, 0.0) + MIN_SHARE)
            for other in [item for item in queue.credits if item not in waiting]:
                del queue.credits[other]
        remaining = served.by_workspace.pop(key)
        if remaining:
            served.by_workspace[key] = remaining

    def _in_turn(self, waiting: deque[SessionRequest]) -> list[SessionRequest]:
        """Return the requests of one key in the order in which they are served."""
        now = self.board.clock.now()
        newest_first = sorted(waiting, key=lambda item: -item.arrived_at)
        on_time = [item for item in newest_first if now <= _objective_end(item)]
        late = [item for item in newest_first if now > _objective_end(item)]
        if on_time and not self._is_overloaded(on_time[-1]):
            on_time.sort(key=_objective_end)
        return on_time + late

    def _is_overloaded(self, oldest: SessionRequest) -> bool:
        waited = self.board.clock.now() - oldest.arrived_at
        return waited > OVERLOAD_WAIT_FRACTION * oldest.route.objective

    def _drop_too_late(self, queue: WaitingQueue, rate: float) -> list[SessionRequest]:
        """Drop what is expected to start too late at a rate of starts per second."""
        if rate <= 0.0:
            return []
        now = self.board.clock.now()
        dropped = []
        more_urgent = 0
        for priority in sorted({_priority(key) for key in queue.by_workspace}):
            same = {
                key: items
                for key, items in queue.by_workspace.items()
                if _priority(key) == priority
            }
            for key, waiting in same.items():
                lengths = [len(items) for other, items in same.items() if other != key]
                own = 0
                for request in self._in_turn(waiting):
                    before = own + sum(min(own + 1, length) for length in lengths)
                    wait_s = min((more_urgent + before) / rate, before / (rate * MIN_SHARE))
                    if now + wait_s > request.wait_deadline:
                        waiting.remove(request)
                        queue.length -= 1
                        dropped.append(request)
                    else:
                        own += 1
            more_urgent += sum(len(items) for items in same.values())
        return dropped


def waits_at_home(board: Board, endpoint_name: str) -> dict[int, float]:
    """Return how long a new relayed statement of each waiting priority is expected to wait here.

    In seconds, for a workspace of which no statement waits; empty if none waits at all.
    """
    queue = board.queues.pinned.get(endpoint_name)
    endpoint = board.endpoints.by_name.get(endpoint_name)
    if queue is None or endpoint is None:
        return {}
    _remove_decided(queue)
    rate = home_starts_per_second(endpoint)
    waits: dict[int, float] = {}
    more_urgent = 0
    for priority in sorted({_priority(key) for key in queue.by_workspace}):
        same = [items for key, items in queue.by_workspace.items() if _priority(key) == priority]
        before = len(same) + 1
        waits[priority] = min((more_urgent + before) / rate, before / (rate * MIN_SHARE))
        more_urgent += sum(len(items) for items in same)
    return waits


def _key(request: SessionRequest) -> str:
    return f"{request.route.priority} {request.workspace}"


def _priority(key: str) -> int:
    return int(key.partition(" ")[0])


def _objective_end(request: SessionRequest) -> float:
    return request.arrived_at + request.route.objective


def _drop(queue: WaitingQueue, waiting: deque[SessionRequest]) -> SessionRequest:
    """Remove and return the request of a key that has the least time left."""
    dropped = min(waiting, key=lambda item: item.wait_deadline)
    waiting.remove(dropped)
    queue.length -= 1
    return dropped


def _drop_least_urgent(queue: WaitingQueue) -> SessionRequest:
    """Drop from the longest key of the lowest priority."""
    key = max(
        (name for name, waiting in queue.by_workspace.items() if waiting),
        key=lambda name: (_priority(name), len(queue.by_workspace[name])),
    )
    return _drop(queue, queue.by_workspace[key])


def _remove_decided(queue: WaitingQueue) -> None:
    """Remove the requests that were answered or refused while they waited."""
    for key, waiting in list(queue.by_workspace.items()):
        kept = [item for item in waiting if item.outcome is None and item.refusal is None]
        if len(kept) < len(waiting):
            queue.length -= len(waiting) - len(kept)
            waiting.clear()
            waiting.extend(kept)
        if not waiting:
            del queue.by_workspace[key]
