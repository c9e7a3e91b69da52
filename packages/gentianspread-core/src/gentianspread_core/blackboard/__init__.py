"""The blackboard: typed sections that controllers read and write."""

from __future__ import annotations

from .board import Board
from .changes import Changes, Topic

__all__ = ["Board", "Changes", "Topic"]
