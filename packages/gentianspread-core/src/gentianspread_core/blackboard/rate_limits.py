"""Section of rates and bursts: the allocator's buckets and this VM's tokens.

Owned by the limit controller (`held`, `waiting`) and the allocator controller (`buckets`).
"""

from __future__ import annotations

import math
from collections import deque

from .requests import Request

METER_WINDOW_S = 10.0  # seconds that a meter averages over; ten times what a burst usually holds


class TokenBucket:
    """One availability zone's part of a workspace's rate and burst, held by its allocator.

    `tokens` and `capacity` count requests, `rate` is requests a second, `filled_at` seconds.
    """

    __slots__ = ("rate", "capacity", "tokens", "refilled_at", "epoch")

    def __init__(self, rate: float, capacity: float, now: float, epoch: int) -> None:
        self.rate = rate
        self.capacity = capacity
        self.tokens = 0.0
        self.refilled_at = now
        self.epoch = epoch

    def take(self, wanted: int, now: float) -> int:
        """Refill, then take up to the wanted number of whole tokens."""
        if now < self.refilled_at:
            return 0
        grown = self.tokens + (now - self.refilled_at) * self.rate
        self.tokens = min(self.capacity, grown)
        self.refilled_at = now
        taken = min(wanted, int(self.tokens))
        self.tokens -= taken
        return taken

    def next_token_delay(self, number: int = 1) -> float:
        """Return the seconds until a number of whole tokens came, infinite without a part."""
        if self.rate <= 0.0 or self.capacity < 1.0:
            return math.inf
        return max(0.0, number - self.tokens) / self.rate

    def skip_refill(self, now: float) -> None:
        """Leave out the time since the last refill: others may have spent what it would give."""
        self.refilled_at = max(self.refilled_at, now)


class RateMeter:
    """How much is used a second, averaged over the last `METER_S` seconds; times in seconds."""

    __slots__ = ("level", "noted_at")

    def __init__(self) -> None:
        self.level = 0.0
        self.noted_at = 0.0

    def note(self, now: float) -> None:
        """Count one use."""
        self.level = self.rate(now) + 1.0 / METER_WINDOW_S
        self.noted_at = now

    def rate(self, now: float) -> float:
        """Return the uses a second."""
        return self.level * math.exp((self.noted_at - now) / METER_WINDOW_S)


class HeldTokens:
    """Tokens this VM may spend on one workspace until they expire, and who waits for more.

    `answered` tells whether any allocator answered in this round of asking; while none does, the
    VM takes its part of the rate from `fallback`. `empty_until` gives for a zone the time, in
    seconds, until which its allocator is known to have nothing. `meter` counts what allocators
    permitted; `pool_asked` tells whether this round went on to the VM that stands in for them.
    """

    __slots__ = (
        "answered",
        "local_bucket",
        "empty_until",
        "meter",
        "backup_asked",
        "count",
        "expires_at",
        "waiting",
        "is_requesting",
        "remaining_zones",
        "used",
        "used_since",
    )

    def __init__(self) -> None:
        self.answered = False
        self.local_bucket: TokenBucket | None = None
        self.empty_until: dict[str, float] = {}
        self.meter = RateMeter()
        self.backup_asked = False
        self.count = 0
        self.expires_at = 0.0
        self.waiting: deque[Request] = deque()
        self.is_requesting = False
        self.remaining_zones: list[str] = []
        self.used = 0
        self.used_since = 0.0


class TokenRequest:
    """A VM's ask for tokens of a workspace; answered by the zone's allocator.

    `next_token` is in how many seconds the allocator will have one more. A pooled ask goes to a VM
    of the own zone that serves callers, at `address`, while no allocator answers.
    """

    __slots__ = (
        "workspace",
        "zone",
        "member",
        "wanted",
        "sent_at",
        "local",
        "granted",
        "answered",
        "next_token_delay",
        "address",
    )

    def __init__(
        self,
        workspace: str,
        zone: str,
        member: str,
        wanted: int,
        sent_at: float,
        address: str = "",
    ) -> None:
        self.workspace = workspace
        self.zone = zone
        self.member = member
        self.wanted = wanted
        self.sent_at = sent_at
        self.local = False
        self.granted = 0
        self.answered = False
        self.next_token_delay = 0.0
        self.address = address

    def is_for_backup(self) -> bool:
        """Tell whether this goes to a VM that stands in for the zone's allocator."""
        return bool(self.address)


class AllocatorBackoff:
    """An allocator that did not answer; it is not asked before `until`, in seconds."""

    __slots__ = ("failures", "until")

    def __init__(self) -> None:
        self.failures = 0
        self.until = 0.0


class RateLimits:
    """Buckets by workspace (on an allocator) and held tokens by workspace (on every VM).

    `pools` are the buckets of a VM that stands in for its zone's allocator.
    `suspected` gives the suspicion of a zone's allocator. `granted_since` is when an allocator
    first permitted this VM anything, in seconds.
    """

    __slots__ = ("buckets", "backup_buckets", "held", "suspected", "granted_since")

    def __init__(self) -> None:
        self.buckets: dict[str, TokenBucket] = {}
        self.backup_buckets: dict[str, TokenBucket] = {}
        self.held: dict[str, HeldTokens] = {}
        self.suspected: dict[str, AllocatorBackoff] = {}
        self.granted_since: float | None = None
