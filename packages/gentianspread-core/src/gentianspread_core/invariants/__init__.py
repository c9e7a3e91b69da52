"""Invariants, checked against the blackboard at run time, in production too."""

from __future__ import annotations

from .controller import InvariantController

__all__ = ["InvariantController"]
