"""Allocator controller: holds one availability zone's part of every rate and burst.

A bucket starts empty, and a new allocator grants nothing until its predecessor can no longer be
fresh, so that two allocators of one zone never grant at the same time. One that was named before it
restarted has no predecessor but itself.
"""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.configuration import Workspace
from ..blackboard.shares import Bucket, TokenAsk
from ..settings import RateTolerance

MINIMUM_CAPACITY = 1.0
POOL_SHARE = 0.9  # of the zone's part of the rate; the rest covers what a window overlaps
SILENCE_S = 0.7  # seconds without a poll; VMs poll at least twice in it


class BucketPart:
    """A zone's part of a workspace: requests a second, and the most tokens it may gather."""

    __slots__ = ("rate", "capacity")

    def __init__(self, rate: float, capacity: float) -> None:
        self.rate = rate
        self.capacity = capacity

    @classmethod
    def from_workspace(
        cls,
        workspace: Workspace,
        zone: str,
        zones: list[str],
        hold: float,
        rate_tolerance: RateTolerance,
    ) -> BucketPart:
        """Divide a workspace over the zones; `hold` is how long VMs keep tokens, in seconds.

        Tokens on their way count against the burst, so `rate * hold` is kept back. Only as many
        zones hold a part as get a capacity of one whole token.
        """
        rate, burst = (
            rate_tolerance.allocatable_rate(workspace.rate),
            rate_tolerance.allocatable_burst(workspace.burst),
        )
        usable = burst - rate * hold
        holders = max(1, min(len(zones), int(usable / MINIMUM_CAPACITY)))
        if zone not in sorted(zones)[:holders]:
            return cls(0.0, 0.0)
        return cls(rate / holders, usable / holders)


class AllocatorController:
    """Owns the buckets."""

    __slots__ = ("board", "_epoch", "_first_grant", "_heard_at")

    def __init__(self, board: Board) -> None:
        self.board = board
        self._epoch = 0
        self._first_grant = float("inf")
        self._heard_at = float("inf")

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.TOKENS_ASKED: self.on_asked,
            Topic.POLLED: self.on_polled,
            Topic.CONFIGURATION_CHANGED: self.on_configuration,
        }

    def on_configuration(self, revision: int) -> None:
        """Begin a bucket for every workspace; they fill once the predecessor is stale."""
        allocator = self.board.configuration.allocators.get(self.board.settings.zone)
        if allocator is None or allocator.member != self.board.settings.member:
            return
        settings = self.board.settings
        if allocator.epoch != self._epoch:
            self._epoch = allocator.epoch
            self._first_grant = self.board.clock.now() + settings.token_ttl_s
            if allocator.revision > self.board.log.recovered_index:
                self._first_grant += settings.max_configuration_age_s
        for workspace in self.board.configuration.workspaces.values():
            self._bucket(workspace, allocator.epoch)

    def on_polled(self, _entry: None) -> None:
        """Let no bucket fill for a time in which no VM was heard of.

        VMs that reach no allocator spend their part of the rate on their own.
        """
        now = self.board.clock.now()
        if self.board.members.entries and now - self._heard_at > SILENCE_S:
            for bucket in self.board.shares.buckets.values():
                bucket.skip(now)
        self._heard_at = now

    def on_asked(self, ask: TokenAsk) -> None:
        """Grant what the bucket holds; leave the ask unanswered if this VM may not grant now."""
        if ask.is_pooled():
            self._answer_pooled(ask)
            return
        if not ask.local:
            self.on_polled(None)
        workspace = self.board.configuration.workspaces.get(ask.workspace)
        if workspace is not None and self._may_grant():
            bucket = self._bucket(workspace, self._epoch)
            ask.granted = bucket.take(ask.wanted, self.board.clock.now())
            ask.next_token = bucket.next_token()
            ask.answered = True
        if ask.local:
            self.board.changes.post(Topic.TOKENS_ARRIVED, ask)

    def _answer_pooled(self, ask: TokenAsk) -> None:
        """Grant in place of the zone's allocator, if no allocator answers this VM either."""
        board = self.board
        workspace = board.configuration.workspaces.get(ask.workspace)
        now = board.clock.now()
        if workspace is not None and self._reaches_no_allocator() and board.is_fresh():
            bucket = self._pool(workspace, now)
            ask.granted = bucket.take(ask.wanted, now)
            ask.next_token = bucket.next_token()
            ask.answered = True
        if ask.local:
            board.changes.post(Topic.TOKENS_ARRIVED, ask)

    def _reaches_no_allocator(self) -> bool:
        """Tell whether every allocator left this VM's own last ask unanswered."""
        zones = self.board.configuration.allocators
        return all(zone in self.board.shares.suspected for zone in zones)

    def _pool(self, workspace: Workspace, now: float) -> Bucket:
        """Return the zone's part of a rate while no allocator answers; it begins nearly empty."""
        settings = self.board.settings
        pool = self.board.shares.pools.get(workspace.name)
        if pool is None or now - pool.filled_at > settings.max_configuration_age_s:
            zones = max(1, len(settings.zones))
            rate = POOL_SHARE * workspace.rate / zones
            reserve = settings.rate_tolerance.reserve(workspace.rate, workspace.burst) / zones
            pool = Bucket(rate, max(MINIMUM_CAPACITY, rate, reserve), now, 0)
            pool.tokens = reserve
            self.board.shares.pools[workspace.name] = pool
        return pool

    def _may_grant(self) -> bool:
        """Tell whether this VM is the zone's allocator and its predecessor is stale by now."""
        allocator = self.board.configuration.allocators.get(self.board.settings.zone)
        if allocator is None or allocator.member != self.board.settings.member:
            return False
        return self.board.is_fresh() and self.board.clock.now() >= self._first_grant

    def _bucket(self, workspace: Workspace, epoch: int) -> Bucket:
        bucket = self.board.shares.buckets.get(workspace.name)
        if bucket is None or bucket.epoch != epoch:
            bucket = self._new_bucket(workspace, epoch)
            self.board.shares.buckets[workspace.name] = bucket
        else:
            part = self._part(workspace)
            bucket.rate, bucket.capacity = part.rate, part.capacity
        return bucket

    def _part(self, workspace: Workspace) -> BucketPart:
        settings = self.board.settings
        return BucketPart.from_workspace(
            workspace, settings.zone, settings.zones, settings.token_ttl_s, settings.rate_tolerance
        )

    def _new_bucket(self, workspace: Workspace, epoch: int) -> Bucket:
        part = self._part(workspace)
        first_grant = max(self.board.clock.now(), self._first_grant)
        return Bucket(part.rate, part.capacity, first_grant, epoch)
