"""The Protocol that every controller follows."""

from __future__ import annotations

from typing import Any, Protocol

from ..blackboard.changes import Topic


class Controller(Protocol):
    """Reads any section of the board and writes only the sections it owns."""

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the topics that this controller handles, each with its handler."""
