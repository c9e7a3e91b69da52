"""Section of rates and bursts: the allocator's buckets and this VM's tokens.

Owned by the limit controller (`held`, `waiting`) and the allocator controller (`buckets`).
"""

from __future__ import annotations

from collections import deque

from .requests import Request


class Bucket:
    """One availability zone's part of a workspace's rate and burst, held by its allocator.

    `tokens` and `capacity` count requests, `rate` is requests a second, `filled_at` seconds.
    """

    __slots__ = ("rate", "capacity", "tokens", "filled_at", "epoch")

    def __init__(self, rate: float, capacity: float, now: float, epoch: int) -> None:
        self.rate = rate
        self.capacity = capacity
        self.tokens = 0.0
        self.filled_at = now
        self.epoch = epoch

    def take(self, wanted: int, now: float) -> int:
        """Refill, then take up to the wanted number of whole tokens."""
        if now < self.filled_at:
            return 0
        grown = self.tokens + (now - self.filled_at) * self.rate
        self.tokens = min(self.capacity, grown)
        self.filled_at = now
        taken = min(wanted, int(self.tokens))
        self.tokens -= taken
        return taken


class HeldTokens:
    """Tokens this VM may spend on one workspace until they expire, and who waits for more.

    `answered` tells whether any allocator answered in this round of asking; while none does, the
    VM takes its equal part of the rate from `fallback`. Until `empty_until`, in seconds, every
    allocator is known to have nothing.
    """

    __slots__ = (
        "answered",
        "fallback",
        "empty_until",
        "count",
        "expires_at",
        "waiting",
        "asking",
        "unsure",
        "zones_left",
        "used",
        "used_since",
    )

    def __init__(self) -> None:
        self.answered = False
        self.fallback: Bucket | None = None
        self.empty_until = 0.0
        self.count = 0
        self.expires_at = 0.0
        self.waiting: deque[Request] = deque()
        self.asking = False
        self.unsure = False
        self.zones_left: list[str] = []
        self.used = 0
        self.used_since = 0.0


class TokenAsk:
    """A VM's ask for tokens of a workspace; answered by the zone's allocator."""

    __slots__ = ("workspace", "zone", "member", "wanted", "sent_at", "local", "granted", "answered")

    def __init__(self, workspace: str, zone: str, member: str, wanted: int, sent_at: float) -> None:
        self.workspace = workspace
        self.zone = zone
        self.member = member
        self.wanted = wanted
        self.sent_at = sent_at
        self.local = False
        self.granted = 0
        self.answered = False


class Shares:
    """Buckets by workspace (on an allocator) and held tokens by workspace (on every VM).

    `suspected` gives for a zone the time, in seconds, until which its allocator is not asked.
    """

    __slots__ = ("buckets", "held", "suspected")

    def __init__(self) -> None:
        self.buckets: dict[str, Bucket] = {}
        self.held: dict[str, HeldTokens] = {}
        self.suspected: dict[str, float] = {}
