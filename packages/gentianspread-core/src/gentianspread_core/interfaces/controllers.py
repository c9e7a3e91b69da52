"""Protocol of the controllers."""

from __future__ import annotations

from typing import Any, Protocol

from ..blackboard.changes import Topic


class Controller(Protocol):
    """Reads any section of the blackboard and writes only the sections that it owns."""

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handler of each topic that this controller subscribes to."""
