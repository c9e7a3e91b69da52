"""Section of rate limits: the allocator's token buckets, and the tokens that this VM holds.

Owned by the allocator controller (`buckets`, `backup_buckets`, `polling_vms`) and the limit
controller.
"""

from __future__ import annotations

import math
from collections import deque

from .homes import ServingVM
from .requests import Request

METER_WINDOW_S = 10.0  # a burst is usually worth one second of the rate, a tenth of this


class TokenBucket:
    """A token bucket with a share of a workspace's rate and burst, mostly an availability zone's.

    `tokens` and `capacity` are in requests, `rate` is in requests per second. `refilled_at` is the
    time of the last refill, in seconds.
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
        refilled = self.tokens + (now - self.refilled_at) * self.rate
        self.tokens = min(self.capacity, refilled)
        self.refilled_at = now
        taken = min(wanted, int(self.tokens))
        self.tokens -= taken
        return taken

    def is_drained(self) -> bool:
        """Return whether less than half of the capacity is left: the workspace uses its rate up."""
        return self.tokens < self.capacity / 2

    def next_token_delay(self, count: int = 1) -> float:
        """Return the seconds until it has `count` whole tokens, infinite without a share."""
        if self.rate <= 0.0 or self.capacity < 1.0:
            return math.inf
        return max(0.0, count - self.tokens) / self.rate

    def skip_refill(self, now: float) -> None:
        """Add nothing for the time since the last refill: other VMs may have spent those tokens."""
        self.refilled_at = max(self.refilled_at, now)


class RateMeter:
    """Uses per second, exponentially averaged over `METER_WINDOW_S`; times in seconds."""

    __slots__ = ("level", "updated_at")

    def __init__(self) -> None:
        self.level = 0.0
        self.updated_at = 0.0

    def add_use(self, now: float) -> None:
        """Count one use."""
        self.level = self.rate(now) + 1.0 / METER_WINDOW_S
        self.updated_at = now

    def rate(self, now: float) -> float:
        """Return the uses per second."""
        return self.level * math.exp((self.updated_at - now) / METER_WINDOW_S)


class HeldTokens:
    """Tokens that this VM may spend for one workspace until they expire, and waiting requests.

    While `is_requesting`, the VM asks the allocators of `remaining_zones` for tokens in turn.
    `answered` is set once an allocator may grant; if none does, the VM asks backup allocators in
    turn (`remaining_backups`, none before the first of a round), and if none of them grants
    either, it takes its own share of the rate from `local_bucket`. `empty_until` gives by zone the
    time, in seconds, until which its allocator has no tokens. `meter` measures what allocators
    permitted.
    """

    __slots__ = (
        "answered",
        "local_bucket",
        "empty_until",
        "meter",
        "remaining_backups",
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
        self.remaining_backups: list[ServingVM] | None = None
        self.count = 0
        self.expires_at = 0.0
        self.waiting: deque[Request] = deque()
        self.is_requesting = False
        self.remaining_zones: list[str] = []
        self.used = 0
        self.used_since = 0.0


class TokenRequest:
    """A VM's request to a zone's allocator for tokens of a workspace, and the response.

    `local` is set if this VM is the allocator, `reached` if the allocator responded, and `answered`
    if it may grant. `next_token_delay` is the seconds until the
    allocator has another token. While no allocator responds, the request goes to a backup
    allocator: a VM of the own zone that serves callers, at `address`.
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
        "reached",
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
        self.reached = False
        self.next_token_delay = 0.0
        self.address = address

    def is_for_backup(self) -> bool:
        """Return whether this goes to a backup allocator."""
        return bool(self.address)


class AllocatorBackoff:
    """Backoff of an allocator that granted nothing: no requests before `until`, in seconds.

    `reached` is set if it responded that it may not grant.
    """

    __slots__ = ("failures", "until", "reached")

    def __init__(self) -> None:
        self.failures = 0
        self.until = 0.0
        self.reached = False


class PollingVMs:
    """The VMs that polled an allocator lately: the time of each one's last poll, in seconds.

    `heard_fraction` is the share of them whose last poll is recent; `counted_at` is when it was
    last determined.
    """

    __slots__ = ("polled_at", "heard_fraction", "counted_at")

    def __init__(self) -> None:
        self.polled_at: dict[str, float] = {}
        self.heard_fraction = 1.0
        self.counted_at = 0.0

    def count(self, now: float, contact_timeout: float, memory: float) -> None:
        """Determine `heard_fraction`; forget VMs whose last poll is older than `memory` seconds."""
        self.polled_at = {
            name: polled_at
            for name, polled_at in self.polled_at.items()
            if now - polled_at <= memory
        }
        heard = sum(1 for at in self.polled_at.values() if now - at <= contact_timeout)
        self.heard_fraction = heard / len(self.polled_at) if self.polled_at else 1.0
        self.counted_at = now


class RateLimits:
    """Buckets by workspace (on an allocator) and held tokens by workspace (on every VM).

    `backup_buckets` are those of a backup allocator. `suspected` gives the backoff of an allocator
    that did not respond by its zone, and that of a backup allocator by its VM's name.
    `first_granted_at` is when an allocator first permitted this VM anything, in seconds.
    """

    __slots__ = (
        "buckets",
        "backup_buckets",
        "polling_vms",
        "held",
        "suspected",
        "first_granted_at",
    )

    def __init__(self) -> None:
        self.buckets: dict[str, TokenBucket] = {}
        self.backup_buckets: dict[str, TokenBucket] = {}
        self.polling_vms = PollingVMs()
        self.held: dict[str, HeldTokens] = {}
        self.suspected: dict[str, AllocatorBackoff] = {}
        self.first_granted_at: float | None = None
