"""Protocols of the replaceable parts: policies, controllers, clock and randomness."""

from __future__ import annotations

from .controllers import Controller
from .environment import Clock, Randomness
from .policies import QueuePolicy, ReplicaSelector

__all__ = ["Clock", "Controller", "QueuePolicy", "Randomness", "ReplicaSelector"]
