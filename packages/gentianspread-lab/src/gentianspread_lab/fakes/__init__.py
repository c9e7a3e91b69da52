"""Fakes of the clock, the disk, the endpoints and the network, for tests of the core."""

from __future__ import annotations

from .clock import FakeClock
from .disk import FakeDisk
from .endpoint import FakeEndpoint
from .simulation import Simulation
from .vm import FakeVM

__all__ = ["FakeClock", "FakeDisk", "FakeEndpoint", "FakeVM", "Simulation"]
