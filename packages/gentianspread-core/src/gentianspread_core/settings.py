"""Limits of the decisions: durations in seconds, counts in requests."""

from __future__ import annotations

from .blackboard.commands import Preset


class PresetPolicy:
    """What a preset changes: queue length a workspace, wait for a replica, reads of primaries."""

    __slots__ = ("queue_limit", "replica_wait", "reads_on_primary", "accepts_writes")

    def __init__(
        self, queue_limit: int, replica_wait: float, reads_on_primary: bool, accepts_writes: bool
    ) -> None:
        self.queue_limit = queue_limit
        self.replica_wait = replica_wait
        self.reads_on_primary = reads_on_primary
        self.accepts_writes = accepts_writes


POLICIES = {
    Preset.ORDINARY: PresetPolicy(64, 1.0, True, True),
    Preset.PEAK: PresetPolicy(16, 1.0, False, True),
    Preset.MAINTENANCE: PresetPolicy(16, 1.0, True, False),
}


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
        "freshness_bound",
        "heartbeat_interval",
        "election_timeout",
        "probe_interval",
        "probe_limit",
        "probe_failures",
        "exchange_limit",
        "read_limit",
        "token_hold",
        "voter_loss_after",
        "attempts",
        "transaction_idle",
        "suspicion",
        "snapshot_every",
        "voters_wanted",
        "records_voters",
        "registers_entries",
    )

    def __init__(self, member: str, zone: str, address: str) -> None:
        self.member = member
        self.zone = zone
        self.address = address
        self.has_disk = False
        self.initial_voters: list[str] = []
        self.lost_votes = False
        self.zones: list[str] = [zone]
        self.freshness_bound = 2.0
        self.heartbeat_interval = 0.1
        self.election_timeout = 0.45
        self.probe_interval = 0.15
        self.probe_limit = 0.3
        self.probe_failures = 2
        self.exchange_limit = 1.0
        self.read_limit = 0.6
        self.token_hold = 0.1
        self.voter_loss_after = 5.0
        self.attempts = 4
        self.transaction_idle = 10.0
        self.suspicion = 0.5
        self.snapshot_every = 256
        self.voters_wanted = 0
        self.records_voters = False
        self.registers_entries = True

    def wanted_voters(self) -> int:
        """Return how many voters the control log should have."""
        return self.voters_wanted or len(self.initial_voters)
