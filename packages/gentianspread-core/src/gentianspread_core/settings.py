"""Limits of the decisions: durations in seconds, counts in requests."""

from __future__ import annotations

from .blackboard.commands import Preset


class PresetPolicy:
    """What a preset changes: queue length a workspace, wait for a replica, reads of primaries."""

    __slots__ = (
        "max_queued_per_workspace",
        "max_replica_wait_s",
        "reads_on_primary",
        "accepts_writes",
    )

    def __init__(
        self,
        max_queued_per_workspace: int,
        max_replica_wait_s: float,
        reads_on_primary: bool,
        accepts_writes: bool,
    ) -> None:
        self.max_queued_per_workspace = max_queued_per_workspace
        self.max_replica_wait_s = max_replica_wait_s
        self.reads_on_primary = reads_on_primary
        self.accepts_writes = accepts_writes


PRESET_POLICIES = {
    Preset.ORDINARY: PresetPolicy(64, 1.0, True, True),
    Preset.PEAK: PresetPolicy(16, 1.0, False, True),
    Preset.MAINTENANCE: PresetPolicy(16, 1.0, True, False),
}


class RateTolerance:
    """How far the fleet may go beyond a workspace's rate and burst in any window.

    `window` is in seconds, `share` of what rate and burst allow in it, `count` in requests. Half of
    it covers what is lost by dividing a rate over availability zones, the other half the time in
    which no allocator answers.
    """

    __slots__ = ("window", "share", "count")

    def __init__(self, window: float = 0.0, share: float = 0.0, count: float = 0.0) -> None:
        self.window = window
        self.share = share
        self.count = count

    def rate(self, rate: float) -> float:
        """Return the rate to divide over the zones, in requests a second."""
        if not self.window:
            return rate
        return rate * (1.0 + self.share / 2) + self.count / (4 * self.window)

    def burst(self, burst: float) -> float:
        """Return the burst to divide over the zones, in requests."""
        if not self.window:
            return burst
        return burst * (1.0 + self.share / 2) + self.count / 4

    def reserve(self, rate: float, burst: float) -> float:
        """Return the requests a window that are kept for when no allocator answers."""
        return (self.share * (rate * self.window + burst) + self.count) / 2


class CoreSettings:
    """Who this VM is, and the limits that its controllers keep."""

    __slots__ = (
        "member",
        "zone",
        "address",
        "has_disk",
        "initial_voters",
        "lost_votes",
        "zones",
        "max_configuration_age_s",
        "heartbeat_interval_s",
        "election_timeout_s",
        "probe_interval_s",
        "probe_timeout_s",
        "probe_failure_threshold",
        "exchange_timeout_s",
        "read_timeout_s",
        "token_ttl_s",
        "rate_tolerance",
        "voter_loss_timeout_s",
        "attempts",
        "transaction_idle",
        "suspicion",
        "snapshot_threshold_entries",
        "voter_count",
        "records_initial_voters",
        "registers_diskless_members",
    )

    def __init__(self, member: str, zone: str, address: str) -> None:
        self.member = member
        self.zone = zone
        self.address = address
        self.has_disk = False
        self.initial_voters: list[str] = []
        self.lost_votes = False
        self.zones: list[str] = [zone]
        self.max_configuration_age_s = 2.0
        self.heartbeat_interval_s = 0.1
        self.election_timeout_s = 0.45
        self.probe_interval_s = 0.15
        self.probe_timeout_s = 0.3
        self.probe_failure_threshold = 2
        self.exchange_timeout_s = 1.0
        self.read_timeout_s = 0.6
        self.token_ttl_s = 0.1
        self.rate_tolerance = RateTolerance()
        self.voter_loss_timeout_s = 5.0
        self.attempts = 4
        self.transaction_idle = 10.0
        self.suspicion = 0.5
        self.snapshot_threshold_entries = 256
        self.voter_count = 0
        self.records_initial_voters = False
        self.registers_diskless_members = True

    def target_voter_count(self) -> int:
        """Return how many voters the control log should have."""
        return self.voter_count or len(self.initial_voters)
