"""Section of how callers' requests waited and were refused; owned by the accounting controller."""

from __future__ import annotations


class WaitCounts:
    """Requests of one priority and workspace, and the seconds until they were sent, in all."""

    __slots__ = ("requests", "seconds")

    def __init__(self) -> None:
        self.requests = 0
        self.seconds = 0.0


class Overload:
    """Waits by priority and workspace, and refusals by priority, workspace and error code.

    It covers the callers of this VM, and is empty unless the settings schedule by priority.
    """

    __slots__ = ("waits", "refusals")

    def __init__(self) -> None:
        self.waits: dict[tuple[int, str], WaitCounts] = {}
        self.refusals: dict[tuple[int, str, str], int] = {}
