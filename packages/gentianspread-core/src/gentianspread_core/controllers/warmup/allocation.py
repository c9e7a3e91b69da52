"""Warm-up allocator controller: grants the tokens without which no cold endpoint gets a request.

The control leader names one VM for the endpoints of each zone, and another one once that is lost. A
VM grants only with a fresh configuration, and only after its predecessor can no longer be fresh.
"""

from __future__ import annotations

import math
from typing import Any

from ...blackboard import Board, Topic
from ...blackboard.configuration import Allocator
from ...blackboard.rate_limits import TokenBucket
from ...blackboard.warmups import EndpointTokenRequest
from ...settings import WarmupTolerance

LIMIT_WINDOW_S = 1.0  # the limit holds in any second
SENDING_DELAY_S = 0.05  # from spending a token until the request leaves a busy VM
MIN_CAPACITY_TOKENS = 1.0
ROUNDING_MARGIN_TOKENS = 0.01  # keeps a sum of fractions under the next whole request
MAX_SPENDING_S = 2.0  # the window of the limit, and twice the time for which a token may be spent


class WarmupQuota:
    """What an endpoint's bucket yields: tokens per second, and the most that it holds.

    In any second at most the whole part of capacity + rate x (1 s + the time for which a token may
    be spent) requests are sent. Half of the overage makes up for tokens that expire unspent.
    """

    __slots__ = ("rate", "capacity")

    def __init__(self, rate: float, capacity: float) -> None:
        self.rate = rate
        self.capacity = capacity

    @classmethod
    def from_rate(
        cls, cold_rate: float, tolerance: WarmupTolerance, token_ttl_s: float
    ) -> WarmupQuota:
        """Build from the declared rate of requests per second that a cold endpoint takes."""
        limit = math.floor(cold_rate * tolerance.overage_factor + tolerance.slack_requests)
        bound = limit + 1.0 - ROUNDING_MARGIN_TOKENS
        window_s = LIMIT_WINDOW_S + token_ttl_s + SENDING_DELAY_S
        rate = cold_rate * (1.0 + (tolerance.overage_factor - 1.0) / 2)
        rate = max(0.0, min(rate, (bound - MIN_CAPACITY_TOKENS) / window_s))
        return cls(rate, bound - rate * window_s)


class WarmupAllocatorController:
    """Owns the buckets of the warm-ups section.

    `_epochs` and `_first_grant_at`, in seconds, are by zone, for the zones that this VM serves.
    """

    __slots__ = ("board", "_epochs", "_first_grant_at")

    def __init__(self, board: Board) -> None:
        self.board = board
        self._epochs: dict[str, int] = {}
        self._first_grant_at: dict[str, float] = {}

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.CONFIGURATION_CHANGED: self.on_configuration,
            Topic.ENDPOINT_TOKENS_REQUESTED: self.on_requested,
        }

    def on_configuration(self, _revision: int) -> None:
        """Determine for which zones this VM grants, and from when on."""
        own_epochs = {}
        for zone, allocator in self.board.configuration.warmup_allocators.items():
            if allocator.member != self.board.settings.member:
                continue
            own_epochs[zone] = allocator.epoch
            if self._epochs.get(zone) != allocator.epoch:
                self._remove_buckets_of(zone)
                self._first_grant_at[zone] = self._first_grant_time(allocator)
        for zone in self._epochs.keys() - own_epochs.keys():
            self._remove_buckets_of(zone)
            del self._first_grant_at[zone]
        self._epochs = own_epochs
        self._remove_unused_buckets()

    def on_requested(self, token_request: EndpointTokenRequest) -> None:
        """Grant what the bucket holds, or leave the request unanswered if this VM may not grant."""
        now = self.board.clock.now()
        bucket = self._bucket(token_request.endpoint)
        if bucket is not None and self.board.is_fresh() and now >= bucket.refilled_at:
            token_request.granted = bucket.take(token_request.wanted, now)
            token_request.next_token_delay = bucket.next_token_delay()
            token_request.answered = True
            self.board.warmups.granted += token_request.granted
        if token_request.is_local:
            self.board.changes.post(Topic.ENDPOINT_TOKENS_RECEIVED, token_request)

    def _first_grant_time(self, allocator: Allocator) -> float:
        """Return when every earlier grant for a zone's endpoints has expired.

        The first allocator of a zone has no predecessor but itself. Any other one waits also if it
        was named before this VM restarted: that may have been a moment ago, and its predecessor may
        still have a fresh configuration.
        """
        settings = self.board.settings
        first_grant_at = self.board.clock.now() + settings.token_ttl_s
        if allocator.epoch > 1:
            first_grant_at += settings.max_configuration_age_s
        return first_grant_at

    def _bucket(self, endpoint: str) -> TokenBucket | None:
        """Return an endpoint's bucket, or none if this VM does not grant for it."""
        configuration, settings = self.board.configuration, self.board.settings
        registration = configuration.endpoints.get(endpoint)
        if registration is None or registration.zone not in self._first_grant_at:
            return None
        cold_rate = configuration.cold_rate_of(registration.group)
        if not cold_rate:
            return None
        quota = WarmupQuota.from_rate(cold_rate, settings.warmup_tolerance, settings.token_ttl_s)
        bucket = self.board.warmups.buckets.get(endpoint)
        if bucket is None:
            first_grant_at = self._first_grant_at[registration.zone]
            epoch = self._epochs[registration.zone]
            bucket = TokenBucket(quota.rate, quota.capacity, first_grant_at, epoch)
            self.board.warmups.buckets[endpoint] = bucket
        bucket.rate, bucket.capacity = quota.rate, quota.capacity
        return bucket

    def _remove_buckets_of(self, zone: str) -> None:
        endpoints, buckets = self.board.configuration.endpoints, self.board.warmups.buckets
        for name in list(buckets):
            if name in endpoints and endpoints[name].zone == zone:
                del buckets[name]

    def _remove_unused_buckets(self) -> None:
        """Remove the buckets of endpoints that are gone, once none of their grants counts."""
        endpoints, buckets = self.board.configuration.endpoints, self.board.warmups.buckets
        unused_since = self.board.clock.now() - MAX_SPENDING_S
        for name, bucket in list(buckets.items()):
            if name not in endpoints and bucket.refilled_at < unused_since:
                del buckets[name]
