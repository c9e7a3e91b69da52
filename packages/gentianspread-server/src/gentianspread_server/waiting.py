"""Wait primitive for the greenlet that serves a request."""

from __future__ import annotations

from typing import Any

from gevent.event import Event


class Waiter:
    """Blocks one greenlet until an exchange is assigned to it or its request is done."""

    __slots__ = ("_assigned", "_event")

    def __init__(self) -> None:
        self._assigned: Any = None
        self._event: Event | None = None

    def assign(self, request: Any) -> None:
        """Assign a request's exchange to the greenlet and wake it."""
        self._assigned = request
        self.wake()

    def take_assigned(self) -> Any:
        """Return the request whose exchange was assigned, or None, and clear the assignment."""
        request, self._assigned = self._assigned, None
        return request

    def wake(self) -> None:
        """Wake the greenlet if it is waiting."""
        if self._event is not None:
            self._event.set()

    def wait(self, timeout_s: float | None = None) -> None:
        """Block the greenlet until it is woken, at most for the timeout."""
        self._event = Event()
        self._event.wait(timeout_s)
        self._event = None
