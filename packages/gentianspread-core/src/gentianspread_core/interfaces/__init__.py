"""Protocols of the replaceable parts: policies, controllers, clock and randomness."""

from __future__ import annotations

from .controllers import Controller
from .environment import Clock, Randomness
from .policies import (
    AdmissionPolicy,
    ConcurrencyLimit,
    DispatchGate,
    EndpointFilter,
    EndpointSelector,
    LoadEstimator,
    QueuePolicy,
    ReplicaSelector,
    RetryLimit,
    WaitingPolicy,
)

__all__ = [
    "AdmissionPolicy",
    "Clock",
    "ConcurrencyLimit",
    "Controller",
    "DispatchGate",
    "EndpointFilter",
    "EndpointSelector",
    "LoadEstimator",
    "QueuePolicy",
    "Randomness",
    "ReplicaSelector",
    "RetryLimit",
    "WaitingPolicy",
]
