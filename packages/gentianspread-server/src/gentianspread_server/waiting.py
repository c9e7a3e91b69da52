"""Where a caller's greenlet waits for its request."""

from __future__ import annotations

from typing import Any

from gevent.event import Event


class Waiter:
    """Wakes one greenlet: for an exchange that it is to carry out, or for the end."""

    __slots__ = ("_due", "_event")

    def __init__(self) -> None:
        self._due: Any = None
        self._event: Event | None = None

    def assign(self, request: Any) -> None:
        """Have the greenlet carry out a request's exchange."""
        self._due = request
        self.wake()

    def take_assigned(self) -> Any:
        """Return the request whose exchange is due, or none."""
        due, self._due = self._due, None
        return due

    def wake(self) -> None:
        """Wake the greenlet, if it waits."""
        if self._event is not None:
            self._event.set()

    def wait(self) -> None:
        """Wait until woken."""
        self._event = Event()
        self._event.wait()
        self._event = None
