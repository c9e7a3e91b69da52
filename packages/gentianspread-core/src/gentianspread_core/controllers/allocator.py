"""Allocator controller: grants tokens from one availability zone's quota of every workspace.

A bucket starts empty, or after a restart with a part of the tolerance's reserve and what the rate
yielded since the start. A new allocator grants nothing until its predecessor's configuration is
certainly stale, so that two allocators of one zone never grant at the same time. The first one of a
zone, and one that was named before it restarted, has no predecessor other than itself.

While no allocator answers, a serving VM of the zone grants in its place as backup allocator. VMs
that stop polling may be using one, so a drained bucket fills only at the share of the allocator's
VMs that it hears, until the others can no longer be fresh.
"""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.board import CONTROL_CONTACT_TIMEOUT_S
from ..blackboard.configuration import Workspace
from ..blackboard.rate_limits import TokenBucket, TokenRequest
from ..settings import RateTolerance

MIN_CAPACITY_TOKENS = 1.0
BACKUP_RATE_FRACTION = 0.8  # of the zone's rate; the rest covers windows that overlap the switch
MAX_POLL_GAP_S = 0.7  # VMs poll at least twice in this time
POLLING_VM_COUNT_INTERVAL_S = 0.2


class ZoneQuota:
    """A zone's quota of a workspace: the rate in requests per second, and the bucket's capacity.

    `restart_tokens` is what the bucket may hold right after its allocator restarted.
    """

    __slots__ = ("rate", "capacity", "restart_tokens")

    def __init__(self, rate: float, capacity: float, restart_tokens: float) -> None:
        self.rate = rate
        self.capacity = capacity
        self.restart_tokens = restart_tokens

    @classmethod
    def from_workspace(
        cls,
        workspace: Workspace,
        zone: str,
        zones: list[str],
        token_ttl_s: float,
        rate_tolerance: RateTolerance,
    ) -> ZoneQuota:
        """Divide a workspace over the zones.

        Granted but unspent tokens count against the burst, so `rate * token_ttl_s` is subtracted
        from it. Only as many zones get a quota as can have a capacity of one whole token each.
        """
        rate = rate_tolerance.allocatable_rate(workspace.rate, workspace.burst)
        burst = rate_tolerance.allocatable_burst(workspace.burst)
        usable = burst - rate * token_ttl_s
        zone_count = max(1, min(len(zones), int(usable / MIN_CAPACITY_TOKENS)))
        if zone not in sorted(zones)[:zone_count]:
            return cls(0.0, 0.0, 0.0)
        capacity = usable / zone_count
        reserve = rate_tolerance.reserve(workspace.rate, workspace.burst) / zone_count
        return cls(rate / zone_count, capacity, min(capacity, reserve))


class AllocatorController:
    """Owns the buckets."""

    __slots__ = ("board", "_epoch", "_first_grant_at", "_follows_itself", "_last_polled_at")

    def __init__(self, board: Board) -> None:
        self.board = board
        self._epoch = 0
        self._first_grant_at = float("inf")
        self._follows_itself = False
        self._last_polled_at = float("inf")

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.TOKENS_REQUESTED: self.on_tokens_requested,
            Topic.POLL_RECEIVED: self.on_polled,
            Topic.CONFIGURATION_CHANGED: self.on_configuration,
        }

    def on_configuration(self, revision: int) -> None:
        """Create a bucket for every workspace; it fills once the predecessor is stale."""
        allocator = self.board.configuration.allocators.get(self.board.settings.zone)
        if allocator is None or allocator.member != self.board.settings.member:
            return
        settings = self.board.settings
        if allocator.epoch != self._epoch:
            self._epoch = allocator.epoch
            self._first_grant_at = self.board.clock.now() + settings.token_ttl_s
            was_named_before = allocator.revision <= self.board.log.recovered_index
            self._follows_itself = allocator.epoch == 1 or was_named_before
            if not self._follows_itself:
                self._first_grant_at += settings.max_configuration_age_s
        for workspace in self.board.configuration.workspaces.values():
            self._bucket(workspace, allocator.epoch)

    def on_polled(self, vm: str | None) -> None:
        """Record the poll; skip the refill of all buckets for a time in which no VM polled.

        VMs that reach no allocator may have spent that part of the rate from their own buckets.
        `vm` names the sender if it serves callers.
        """
        now = self.board.clock.now()
        if vm is not None:
            self.board.rate_limits.polling_vms.polled_at[vm] = now
        if self.board.members.entry_vm_count and now - self._last_polled_at > MAX_POLL_GAP_S:
            for bucket in self.board.rate_limits.buckets.values():
                bucket.skip_refill(now)
        self._last_polled_at = now

    def on_tokens_requested(self, token_request: TokenRequest) -> None:
        """Grant what the bucket holds, or leave the request unanswered if this VM may not grant."""
        token_request.reached = True
        if token_request.is_for_backup():
            self._answer_as_backup(token_request)
            return
        if not token_request.local:
            self.on_polled(None)
        workspace = self.board.configuration.workspaces.get(token_request.workspace)
        if workspace is not None and self._may_grant():
            bucket = self._bucket(workspace, self._epoch)
            token_request.granted = bucket.take(token_request.wanted, self.board.clock.now())
            token_request.next_token_delay = bucket.next_token_delay()
            token_request.answered = True
        if token_request.local:
            self.board.changes.post(Topic.TOKENS_RECEIVED, token_request)

    def _answer_as_backup(self, token_request: TokenRequest) -> None:
        """Grant in place of the zone's allocator if this VM hears from no control VM either."""
        board = self.board
        workspace = board.configuration.workspaces.get(token_request.workspace)
        now = board.clock.now()
        if workspace is not None and not board.has_control_contact() and board.is_fresh():
            bucket = self._backup_bucket(workspace, now)
            token_request.granted = bucket.take(token_request.wanted, now)
            token_request.next_token_delay = bucket.next_token_delay()
            token_request.answered = True
        if token_request.local:
            board.changes.post(Topic.TOKENS_RECEIVED, token_request)

    def _backup_bucket(self, workspace: Workspace, now: float) -> TokenBucket:
        """Return the bucket for the zone's share of a rate while no allocator answers.

        It starts nearly empty, with only the tolerance's reserve.
        """
        settings = self.board.settings
        backup_bucket = self.board.rate_limits.backup_buckets.get(workspace.name)
        if (
            backup_bucket is None
            or now - backup_bucket.refilled_at > settings.max_configuration_age_s
        ):
            zones = max(1, len(settings.zones))
            rate = BACKUP_RATE_FRACTION * workspace.rate / zones
            reserve = settings.rate_tolerance.reserve(workspace.rate, workspace.burst) / zones
            backup_bucket = TokenBucket(rate, max(MIN_CAPACITY_TOKENS, rate, reserve), now, 0)
            backup_bucket.tokens = reserve
            self.board.rate_limits.backup_buckets[workspace.name] = backup_bucket
        return backup_bucket

    def _may_grant(self) -> bool:
        """Return whether this VM is the zone's allocator and its predecessor is certainly stale."""
        allocator = self.board.configuration.allocators.get(self.board.settings.zone)
        if allocator is None or allocator.member != self.board.settings.member:
            return False
        return self.board.is_fresh() and self.board.clock.now() >= self._first_grant_at

    def _bucket(self, workspace: Workspace, epoch: int) -> TokenBucket:
        bucket = self.board.rate_limits.buckets.get(workspace.name)
        if bucket is None or bucket.epoch != epoch:
            bucket = self._new_bucket(workspace, epoch)
            self.board.rate_limits.buckets[workspace.name] = bucket
        else:
            quota = self._zone_quota(workspace)
            bucket.rate, bucket.capacity = quota.rate, quota.capacity
            if bucket.is_drained():
                bucket.rate *= self._heard_fraction()
        return bucket

    def _heard_fraction(self) -> float:
        """Return the share of the VMs that polled this VM lately and still do."""
        polling_vms, now = self.board.rate_limits.polling_vms, self.board.clock.now()
        if now - polling_vms.counted_at >= POLLING_VM_COUNT_INTERVAL_S:
            memory = CONTROL_CONTACT_TIMEOUT_S + self.board.settings.max_configuration_age_s
            polling_vms.count(now, CONTROL_CONTACT_TIMEOUT_S, memory)
        return polling_vms.heard_fraction

    def _zone_quota(self, workspace: Workspace) -> ZoneQuota:
        settings = self.board.settings
        return ZoneQuota.from_workspace(
            workspace, settings.zone, settings.zones, settings.token_ttl_s, settings.rate_tolerance
        )

    def _new_bucket(self, workspace: Workspace, epoch: int) -> TokenBucket:
        quota = self._zone_quota(workspace)
        now = self.board.clock.now()
        if self._follows_itself and now <= self.board.startup_deadline():
            bucket = TokenBucket(quota.rate, quota.capacity, self.board.started_at, epoch)
            bucket.tokens = quota.restart_tokens
            return bucket
        first_grant_at = max(now, self._first_grant_at)
        return TokenBucket(quota.rate, quota.capacity, first_grant_at, epoch)
