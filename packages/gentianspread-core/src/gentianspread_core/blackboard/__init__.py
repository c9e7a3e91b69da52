"""The blackboard: one VM's state, in typed sections that controllers read and write.

A section is the state of one concern, written by the controllers that its module names. An intent
is an action that a controller posts. An adapter is code outside the controllers that carries out
intents, for example over the network or on disk, and posts their results as changes.
"""

from __future__ import annotations

from .board import Board
from .changes import ChangeQueue, Topic

__all__ = ["Board", "ChangeQueue", "Topic"]
