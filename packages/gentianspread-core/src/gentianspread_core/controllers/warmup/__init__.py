"""Cold endpoints: which are cold, and the fleet-wide limit of the requests that reach them."""

from .allocation import WarmupAllocatorController
from .announcements import announced_warmup, doubt_command, endpoints_to_doubt
from .controller import WarmupController, WarmupGate
from .filter import WarmupFilter

__all__ = [
    "WarmupAllocatorController",
    "WarmupController",
    "WarmupFilter",
    "WarmupGate",
    "announced_warmup",
    "doubt_command",
    "endpoints_to_doubt",
]
