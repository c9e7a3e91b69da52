"""Protocols of everything that varies around the decisions."""

from __future__ import annotations

from .choices import QueuePolicy, ReplicaSelector
from .controllers import Controller
from .environment import Clock, Randomness

__all__ = ["Clock", "Controller", "QueuePolicy", "Randomness", "ReplicaChoice"]
