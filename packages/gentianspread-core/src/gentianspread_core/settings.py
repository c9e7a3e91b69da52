"""Settings of the core: preset policies, rate limit tolerance, timeouts, intervals and limits."""

from __future__ import annotations

from .blackboard.commands import Preset


class PresetPolicy:
    """The limits that a preset puts on requests.

    `max_queued_per_workspace` counts requests. `max_replica_wait_s` bounds how long a read waits
    for a replica to reach the session's position. With `reads_on_primary`, a read goes to the
    primary before it is retried on the same replica; without it, the primary is the last resort.
    """

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
    """How far the fleet may exceed a workspace's rate and burst in any window of `window_s`.

    Allowed are `overage_fraction` of the requests that rate and burst permit in a window, plus
    `slack_requests`. Half of this compensates for what is lost by dividing a rate over availability
    zones, a quarter is for times in which no allocator answers, and a quarter for restarts.
    `steady_fraction` of a burst is granted evenly over the window instead of at once: what a window
    permits is the same, and a workspace that stays above its rate gets more of it.
    """

    __slots__ = ("window_s", "overage_fraction", "slack_requests", "steady_fraction")

    def __init__(
        self,
        window_s: float = 0.0,
        overage_fraction: float = 0.0,
        slack_requests: float = 0.0,
        steady_fraction: float = 0.0,
    ) -> None:
        self.window_s = window_s
        self.overage_fraction = overage_fraction
        self.slack_requests = slack_requests
        self.steady_fraction = steady_fraction

    def allocatable_rate(self, rate: float, burst: float) -> float:
        """Return the rate to divide over the zones, in requests per second."""
        if not self.window_s:
            return rate
        steady = rate + self.steady_fraction * burst / self.window_s
        return steady * (1.0 + self.overage_fraction / 2) + self.slack_requests / (
            4 * self.window_s
        )

    def allocatable_burst(self, burst: float) -> float:
        """Return the burst to divide over the zones, in requests."""
        if not self.window_s:
            return burst
        at_once = (1.0 - self.steady_fraction) * burst
        return at_once * (1.0 + self.overage_fraction / 2) + self.slack_requests / 4

    def reserve(self, rate: float, burst: float) -> float:
        """Return the requests per window that are reserved for times without an allocator.

        The same number is reserved for the moment in which allocators have restarted.
        """
        return (self.overage_fraction * (rate * self.window_s + burst) + self.slack_requests) / 4


class WarmupTolerance:
    """How far the fleet may exceed the rate that a cold endpoint takes, in any second.

    Allowed are `overage_factor` times the endpoint's declared rate, plus `slack_requests`.
    """

    __slots__ = ("overage_factor", "slack_requests")

    def __init__(self, overage_factor: float = 1.0, slack_requests: float = 0.0) -> None:
        self.overage_factor = overage_factor
        self.slack_requests = slack_requests


class CoreSettings:
    """This VM's identity, and the timeouts, intervals and limits of its controllers.

    `max_configuration_age_s` is how long this VM may serve after a quorum last confirmed its
    configuration. `token_ttl_s` is how long rate limit tokens may be spent after they
    were asked for. `startup_timeout_s` is how long after its start this VM expects its first fresh
    configuration. `initial_voters` are the voters of the first start, unless the disk records them;
    `seeds` are the control VMs that this VM was told of. `initial_backoff_s` is the first backoff
    of a suspected endpoint. `voter_count` is the wanted number of voters, 0 for the number of
    initial voters. `records_initial_voters` writes the initial voters to the control log.
    `registers_diskless_members` registers VMs without a disk as members.
    `regions` gives the region of each availability zone. `evacuation_timeout_s` is how long after
    its acknowledgement an evacuation of a zone must be complete, 0 if zones are never evacuated.
    `schedules_by_priority` serves requests in the order of their routes' priorities while endpoints
    lack capacity. `size` is this VM's processor capacity in cores.
    """

    __slots__ = (
        "member",
        "zone",
        "address",
        "has_disk",
        "initial_voters",
        "seeds",
        "zones",
        "max_configuration_age_s",
        "startup_timeout_s",
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
        "max_attempts",
        "transaction_idle_timeout_s",
        "initial_backoff_s",
        "snapshot_threshold_entries",
        "snapshot_threshold_bytes",
        "voter_count",
        "records_initial_voters",
        "registers_diskless_members",
        "regions",
        "evacuation_timeout_s",
        "warmup_tolerance",
        "schedules_by_priority",
        "size",
    )

    def __init__(self, member: str, zone: str, address: str) -> None:
        self.member = member
        self.zone = zone
        self.address = address
        self.has_disk = False
        self.initial_voters: list[str] = []
        self.seeds: list[str] = []
        self.zones: list[str] = [zone]
        self.max_configuration_age_s = 2.0
        self.startup_timeout_s = 1.5
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
        self.max_attempts = 4
        self.transaction_idle_timeout_s = 10.0
        self.initial_backoff_s = 0.5
        self.snapshot_threshold_entries = 256
        self.snapshot_threshold_bytes = 16 * 1024 * 1024
        self.voter_count = 0
        self.records_initial_voters = False
        self.registers_diskless_members = True
        self.regions: dict[str, str] = {}
        self.evacuation_timeout_s = 0.0
        self.warmup_tolerance = WarmupTolerance()
        self.schedules_by_priority = False
        self.size = 1.0

    def region_of(self, zone: str) -> str:
        """Return the region of a zone; a zone of unknown region is a region of its own."""
        return self.regions.get(zone, zone)

    def target_voter_count(self) -> int:
        """Return the number of voters that the control log should have."""
        return self.voter_count or len(self.initial_voters)
