"""Section of requests that wait for an endpoint; owned by the routing or placement controller."""

from __future__ import annotations

from collections import deque

from .requests import Request


class WaitingQueue:
    """Requests that wait for the same endpoints, in a queue per workspace.

    `running` counts the requests of each workspace that endpoints are executing. `credits` are the
    parts of a turn that each priority has gained while others were served.
    """

    __slots__ = ("by_workspace", "running", "length", "limit", "order", "credits")

    def __init__(self, limit: int) -> None:
        self.by_workspace: dict[str, deque[Request]] = {}
        self.running: dict[str, int] = {}
        self.length = 0
        self.limit = limit
        self.order: deque[str] = deque()
        self.credits: dict[int, float] = {}


class Queues:
    """Waiting queues: of each group for reads and for writes, and of each endpoint.

    `pinned` holds requests that only one endpoint may serve, by its name. `excluded` counts, by
    reason, the requests that were refused because filters excluded every endpoint.
    """

    __slots__ = ("reads", "writes", "pinned", "excluded")

    def __init__(self) -> None:
        self.reads: dict[str, WaitingQueue] = {}
        self.writes: dict[str, WaitingQueue] = {}
        self.pinned: dict[str, WaitingQueue] = {}
        self.excluded: dict[str, int] = {}
