"""The blackboard: typed sections that controllers read and write."""

from __future__ import annotations

from .board import Board
from .changes import ChangeQueue, Topic

__all__ = ["Board", "ChangeQueue", "Topic"]
