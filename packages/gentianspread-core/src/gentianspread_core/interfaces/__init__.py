"""Protocols of the replaceable parts: policies, controllers, clock and randomness."""

from __future__ import annotations

from .controllers import Controller
from .environment import Clock, Randomness
from .policies import (
    DispatchGate,
    EndpointFilter,
    EndpointSelector,
    LoadEstimator,
    QueuePolicy,
    ReplicaSelector,
    WaitingPolicy,
)

__all__ = [
    "Clock",
    "Controller",
    "DispatchGate",
    "EndpointFilter",
    "EndpointSelector",
    "LoadEstimator",
    "QueuePolicy",
    "Randomness",
    "ReplicaSelector",
    "WaitingPolicy",
]
