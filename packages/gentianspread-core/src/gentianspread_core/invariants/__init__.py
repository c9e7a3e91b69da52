"""The rules that must always hold, as checks over the board that stay on in service."""

from __future__ import annotations

from .controller import InvariantController

__all__ = ["InvariantController"]
