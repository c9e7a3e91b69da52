"""Section of requests that wait for an endpoint; owned by the routing controller."""

from __future__ import annotations

from collections import deque

from .requests import Request


class WaitingQueue:
    """Requests of one group and direction, kept apart by workspace."""

    __slots__ = ("by_workspace", "running", "length", "limit", "order")

    def __init__(self, limit: int) -> None:
        self.by_workspace: dict[str, deque[Request]] = {}
        self.running: dict[str, int] = {}
        self.length = 0
        self.limit = limit
        self.order: deque[str] = deque()


class Queues:
    """Waiting queues: reads and writes of each group apart, and those for one endpoint only."""

    __slots__ = ("reads", "writes", "pinned")

    def __init__(self) -> None:
        self.reads: dict[str, WaitingQueue] = {}
        self.writes: dict[str, WaitingQueue] = {}
        self.pinned: dict[str, WaitingQueue] = {}
