"""The rows of the capacity page: role, formula, product, limit and mechanism."""

from __future__ import annotations

from collections.abc import Callable

from gentianspread_core.controllers.configuration import MAX_HISTORY_BYTES
from gentianspread_core.settings import CoreSettings

SECONDS_PER_DAY = 86_400
BYTES_PER_MB = 1024 * 1024
ENDPOINTS_PER_DATABASE = 3
KEYS_PER_DATABASE = 2
POLLS_PER_S = 1 / 0.3
PROBES_PER_S = 1 / 0.15
SNAPSHOT_TRANSFER_S = 10.0
VOTERS_OF_SINGLE_LOG = 5
VOTERS_PER_REGION = 3
STANDBY_COUNT = 2


class Sizes:
    """The fleet size and limits of the users' requirements, and quantities derived from them."""

    __slots__ = (
        "nodes",
        "databases",
        "connections",
        "statements_per_s",
        "regions",
        "zones",
        "changes_per_s",
        "restarts_per_day",
        "max_control_vms",
        "max_control_cpu_percent",
        "max_control_memory_mb",
        "max_control_bytes_per_s",
    )

    def __init__(self) -> None:
        self.nodes = 2_000
        self.databases = 21_000
        self.connections = 18_000_000
        self.statements_per_s = 6_400_000
        self.regions = 8
        self.zones = 19
        self.changes_per_s = 24_000 / SECONDS_PER_DAY
        self.restarts_per_day = 1_800
        self.max_control_vms = 21
        self.max_control_cpu_percent = 1.0
        self.max_control_memory_mb = 256.0
        self.max_control_bytes_per_s = 4_000.0

    def endpoints(self) -> int:
        """Return the number of endpoints."""
        return self.databases * ENDPOINTS_PER_DATABASE

    def keys(self) -> int:
        """Return the number of keys."""
        return self.databases * KEYS_PER_DATABASE


class Row:
    """One row of the capacity table: a role's load, its limit and the mechanism that bounds it.

    `remedy` says what would bring a load over the limit within it.
    """

    __slots__ = (
        "role",
        "what",
        "formula",
        "product",
        "limit",
        "unit",
        "mechanism",
        "remedy",
    )

    def __init__(
        self,
        role: str,
        what: str,
        formula: str,
        product: float,
        limit: float,
        unit: str,
        mechanism: str,
        remedy: str = "",
    ) -> None:
        self.role = role
        self.what = what
        self.formula = formula
        self.product = product
        self.limit = limit
        self.unit = unit
        self.mechanism = mechanism
        self.remedy = remedy

    def is_within_limit(self) -> bool:
        """Return whether the product is within the limit."""
        return self.product <= self.limit


def capacity_rows(sizes: Sizes, slope: Callable[[str], float]) -> list[Row]:
    """Return all rows for the given sizes; `slope` returns a slope's median by its name."""
    return [
        *_entry_rows(sizes, slope),
        *_relay_rows(sizes, slope),
        *_voter_rows(sizes, slope),
        *_other_rows(sizes, slope),
    ]


def _state_bytes(sizes: Sizes, slope: Callable[[str], float], prefix: str) -> float:
    return (
        sizes.nodes * slope(f"{prefix}, per member")
        + sizes.endpoints() * slope(f"{prefix}, per endpoint")
        + sizes.databases * slope(f"{prefix}, per workspace")
        + sizes.keys() * slope(f"{prefix}, per key")
    )


def _entry_rows(sizes: Sizes, slope: Callable[[str], float]) -> list[Row]:
    statements_per_node = sizes.statements_per_s / sizes.nodes
    callers_per_node = sizes.connections / sizes.nodes
    change_bytes_per_s = sizes.changes_per_s * slope("log entry, per change")
    return [
        Row(
            "entry",
            "configuration held",
            "members + endpoints + workspaces + keys, each by its memory",
            _state_bytes(sizes, slope, "memory") / BYTES_PER_MB,
            sizes.max_control_memory_mb,
            "MB",
            "one copy of the configuration",
        ),
        Row(
            "entry",
            "traffic of polls",
            "as measured on an idle entry VM",
            slope("peer traffic, of an entry VM"),
            sizes.max_control_bytes_per_s,
            "bytes/s",
            "long polls of 0.3 s",
        ),
        Row(
            "entry",
            "traffic of changes",
            "changes a second x log entry",
            change_bytes_per_s,
            sizes.max_control_bytes_per_s,
            "bytes/s",
            "entries after the VM's own revision",
        ),
        Row(
            "entry",
            "control time",
            "as measured on an idle entry VM",
            slope("control time, of an entry VM"),
            sizes.max_control_cpu_percent,
            "% core",
            "long polls of 0.3 s, timers in one heap",
            "Poll every 1 s with a freshness bound of 5 s, and keep links between VMs on a lighter "
            "codec; costs a slower withdrawal of keys (still within 10 s).",
        ),
        Row(
            "entry",
            "processes a node for its statements",
            "statements a node x processor time",
            statements_per_node * slope("processor time, per statement") / 1e6,
            4.0,
            "cores",
            "one process a core, each a VM of its own to the fleet",
            "More nodes, or a front in a faster language over the same core.",
        ),
        Row(
            "entry",
            "memory for open callers",
            "callers a node x memory",
            callers_per_node * slope("memory, per open caller") / 1024,
            1024.0,
            "MB",
            "one greenlet a caller",
        ),
        Row(
            "entry",
            "probes of endpoints, if each VM watched its part",
            "endpoints / nodes x 6.7 a second x probe",
            sizes.endpoints() / sizes.nodes * PROBES_PER_S * slope("message, of a probe"),
            sizes.max_control_bytes_per_s,
            "bytes/s",
            "not built: today the leader probes all",
            "Probe every 5 s and take failed statements as the first sign: a promotion then takes "
            "up to about 11 s of the 15 s allowed.",
        ),
    ]


def _relay_rows(sizes: Sizes, slope: Callable[[str], float]) -> list[Row]:
    vms_per_zone = sizes.nodes / sizes.zones
    entry_bytes_per_s = slope("peer traffic, of an entry VM")
    return [
        Row(
            "relay",
            "VMs that poll one relay",
            "nodes / zones x relay's time per poller",
            vms_per_zone * slope("relay's time, per poller"),
            100.0,
            "% core",
            "the zone's voter, else its allocator",
        ),
        Row(
            "relay",
            "traffic to its zone",
            "nodes / zones x traffic of an entry VM",
            vms_per_zone * entry_bytes_per_s / 1000,
            1000.0,
            "KB/s",
            "long polls; reports of the zone's VMs go on to the leader",
        ),
        Row(
            "relay",
            "reports of its zone, sent on with each poll",
            "nodes / zones x report x polls a second",
            vms_per_zone * slope("message, of a VM's report") * POLLS_PER_S,
            sizes.max_control_bytes_per_s,
            "bytes/s",
            "full reports with each poll",
            "Send only changed reports and a digest; costs one more round after a lost poll.",
        ),
    ]


def _voter_rows(sizes: Sizes, slope: Callable[[str], float]) -> list[Row]:
    probing_cpu_percent = sizes.endpoints() * slope("leader's time, per endpoint")
    snapshot_bytes = _state_bytes(sizes, slope, "snapshot")
    return [
        Row(
            "control voter",
            "snapshot on disk",
            "members + endpoints + workspaces + keys, each by its wire size",
            snapshot_bytes / BYTES_PER_MB,
            sizes.max_control_memory_mb,
            "MB",
            "snapshot and trimmed log",
        ),
        Row(
            "control voter",
            "earlier changes kept for others",
            "the bound of the log and of two histories",
            (CoreSettings("", "", "").snapshot_threshold_bytes + 2 * MAX_HISTORY_BYTES)
            / BYTES_PER_MB,
            sizes.max_control_memory_mb,
            "MB",
            "snapshots of the log and dropped entries, by their size",
        ),
        Row(
            "control voter",
            "applying changes",
            "changes a second x processor time",
            sizes.changes_per_s * slope("applying, per change") / 1e6 * 100,
            sizes.max_control_cpu_percent,
            "% core",
            "state machine",
        ),
        Row(
            "control voter",
            "leader of today's fleet, if it is not set aside",
            "as measured with 13 VMs and nine endpoints",
            slope("leader's time, today"),
            sizes.max_control_cpu_percent,
            "% core",
            "probes every 0.15 s, heartbeats every 0.1 s",
            "Set the voters' VMs aside, which the letter allows, or probe less often at the cost "
            "of a longer failover gap.",
        ),
        Row(
            "control voter",
            "leader probing all endpoints",
            "endpoints x leader's time per endpoint",
            probing_cpu_percent,
            100.0,
            "% core",
            "the leader probes every endpoint every 0.15 s",
            "Divide the databases over entry VMs, which probe and report only changes; the leader "
            "then handles 15 changes of primary a day. Costs one more round at a promotion.",
        ),
        Row(
            "control voter",
            "polls of all VMs without relays",
            "nodes x relay's time per poller",
            sizes.nodes * slope("relay's time, per poller"),
            100.0,
            "% core",
            "voters and allocators as relays",
            "One relay layer in each zone leaves the leader 19 pollers and the other voters.",
        ),
        Row(
            "control voter",
            "VMs set aside",
            "one log of five voters, and two standbys",
            float(VOTERS_OF_SINGLE_LOG + STANDBY_COUNT),
            float(sizes.max_control_vms),
            "VMs",
            "one log for all regions",
        ),
        Row(
            "control voter",
            "VMs set aside, with a log for each region",
            "regions x three voters, and two standbys",
            float(sizes.regions * VOTERS_PER_REGION + STANDBY_COUNT),
            float(sizes.max_control_vms),
            "VMs",
            "not built",
            "Let two neighbouring regions share a log; costs the smaller one its changes while the "
            "two are cut from each other.",
        ),
    ]


def _other_rows(sizes: Sizes, slope: Callable[[str], float]) -> list[Row]:
    snapshot_bytes = _state_bytes(sizes, slope, "snapshot")
    restarts_per_s = sizes.restarts_per_day / SECONDS_PER_DAY
    vms_per_zone = sizes.nodes / sizes.zones
    return [
        Row(
            "standby",
            "catching up",
            "snapshot at 1 MB/s",
            snapshot_bytes / BYTES_PER_MB,
            SNAPSHOT_TRANSFER_S,
            "s",
            "snapshot, then entries, before it votes",
            "Send the snapshot in parts and compress it.",
        ),
        Row(
            "entry",
            "restarts, spread over the day",
            "restarts a second x snapshot / nodes",
            restarts_per_s * snapshot_bytes / sizes.nodes,
            sizes.max_control_bytes_per_s,
            "bytes/s",
            "a restarted VM takes a whole snapshot",
        ),
        Row(
            "relay",
            "a whole zone returns at once",
            "nodes / zones x snapshot over 10 s",
            vms_per_zone * snapshot_bytes / SNAPSHOT_TRANSFER_S / BYTES_PER_MB,
            100.0,
            "MB/s",
            "one snapshot a VM from its zone's relay",
            "Have VMs without a disk pass the snapshot on to each other.",
        ),
        Row(
            "operator's command",
            "status of the fleet",
            "state, each by its wire size",
            snapshot_bytes / 1000,
            1000.0,
            "KB",
            "one request to the leader",
            "Ask for what is wrong and for one zone or group at a time.",
        ),
    ]
