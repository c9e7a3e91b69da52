"""Warm-up allocator controller: grants the tokens without which no cold endpoint gets a request.

One VM at a time grants them for an endpoint: the allocator of the endpoint's zone, or, if that zone
never had one, the allocator of the first zone that has. It grants only with a fresh configuration,
and only after its predecessor can no longer be fresh.
"""

from __future__ import annotations

import math
from typing import Any

from ...blackboard import Board, Topic
from ...blackboard.configuration import Configuration
from ...blackboard.rate_limits import TokenBucket
from ...blackboard.warmups import EndpointTokenRequest
from ...settings import WarmupTolerance

LIMIT_WINDOW_S = 1.0  # the limit holds in any second
SENDING_DELAY_S = 0.05  # from spending a token until the request leaves a busy VM
MIN_CAPACITY_TOKENS = 1.0
ROUNDING_MARGIN_TOKENS = 0.01  # keeps a sum of fractions under the next whole request
MAX_SPENDING_S = 2.0  # the window of the limit, and twice the time for which a token may be spent
SUBSTITUTE_DELAY_S = 10.0  # by then each zone of a fleet that starts has its own allocator


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


def allocator_zone(configuration: Configuration, zone: str) -> str | None:
    """Return the zone whose allocator grants the tokens of a zone's endpoints, or none."""
    if zone in configuration.allocators:
        return zone
    if any(member.zone == zone for member in configuration.members.values()):
        return None
    return min(configuration.allocators, default=None)


class WarmupAllocatorController:
    """Owns the buckets of the warm-ups section.

    `_first_grant_at` is by zone of the endpoints, in seconds, for the zones that this VM serves.
    """

    __slots__ = ("board", "_epoch", "_first_grant_at")

    def __init__(self, board: Board) -> None:
        self.board = board
        self._epoch = 0
        self._first_grant_at: dict[str, float] = {}

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.CONFIGURATION_CHANGED: self.on_configuration,
            Topic.ENDPOINT_TOKENS_REQUESTED: self.on_requested,
        }

    def on_configuration(self, _revision: int) -> None:
        """Determine for which zones this VM grants, and from when on."""
        configuration, own_zone = self.board.configuration, self.board.settings.zone
        allocator = configuration.allocators.get(own_zone)
        if allocator is None or allocator.member != self.board.settings.member:
            self._reset(0)
            return
        if allocator.epoch != self._epoch:
            self._reset(allocator.epoch)
        zones = {item.zone for item in configuration.endpoints.values()}
        served = {zone for zone in zones if allocator_zone(configuration, zone) == own_zone}
        for zone in [zone for zone in self._first_grant_at if zone not in served]:
            del self._first_grant_at[zone]
        for zone in served - self._first_grant_at.keys():
            self._first_grant_at[zone] = self._first_grant_time(zone)
        self._remove_buckets()

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

    def _reset(self, epoch: int) -> None:
        self._epoch = epoch
        self._first_grant_at.clear()
        self.board.warmups.buckets.clear()

    def _first_grant_time(self, zone: str) -> float:
        """Return when every earlier grant for a zone's endpoints has expired."""
        settings = self.board.settings
        predecessor_s = settings.max_configuration_age_s + settings.token_ttl_s
        now = self.board.clock.now()
        if zone != settings.zone:
            return now + max(predecessor_s, SUBSTITUTE_DELAY_S)
        return now + (settings.token_ttl_s if self._follows_itself(now) else predecessor_s)

    def _follows_itself(self, now: float) -> bool:
        """Return whether no other VM can have granted for the own zone lately.

        That is so for an allocator that was named before this VM restarted, and for one that is
        named while a new fleet starts: a substitute of another zone waits for longer.
        """
        allocator = self.board.configuration.allocators[self.board.settings.zone]
        recovered_index = self.board.log.recovered_index
        if allocator.revision <= recovered_index:
            return True
        is_founder = bool(self.board.settings.initial_voters) and recovered_index == 0
        is_starting = now - self.board.started_at < SUBSTITUTE_DELAY_S
        return allocator.epoch == 1 and is_founder and is_starting

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
            bucket = TokenBucket(quota.rate, quota.capacity, first_grant_at, self._epoch)
            self.board.warmups.buckets[endpoint] = bucket
        bucket.rate, bucket.capacity = quota.rate, quota.capacity
        return bucket

    def _remove_buckets(self) -> None:
        """Remove the buckets of endpoints that are gone or whose zone another VM serves.

        The bucket of one that is gone is kept for as long as its grants count: it may come back.
        """
        endpoints, buckets = self.board.configuration.endpoints, self.board.warmups.buckets
        unused_since = self.board.clock.now() - MAX_SPENDING_S
        for name, bucket in list(buckets.items()):
            registration = endpoints.get(name)
            is_served = registration is not None and registration.zone in self._first_grant_at
            is_gone = registration is None and bucket.refilled_at < unused_since
            if is_gone or (registration is not None and not is_served):
                del buckets[name]
