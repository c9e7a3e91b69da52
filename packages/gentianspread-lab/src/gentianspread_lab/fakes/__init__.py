"""Small fakes at the interfaces of the decisions: clock, disk, endpoints, messages."""

from __future__ import annotations

from .clock import FakeClock
from .disk import FakeDisk
from .endpoint import FakeEndpoint
from .simulation import Simulation
from .vm import FakeVM

__all__ = ["FakeClock", "FakeDisk", "FakeEndpoint", "FakeVM", "World"]
