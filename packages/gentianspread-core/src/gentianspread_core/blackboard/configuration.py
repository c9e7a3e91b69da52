"""Section of the replicated configuration; owned by the configuration controller."""

from __future__ import annotations

from typing import Any

from .commands import ChangeOutcome, Preset
from .declarations import Declaration
from .log import FOUNDING_INCARNATION

MAX_STORED_OUTCOMES = 4096


class Workspace:
    """A tenant; its rate in requests per second and burst in requests hold for the whole fleet."""

    __slots__ = ("name", "rate", "burst")

    def __init__(self, name: str, rate: float, burst: float) -> None:
        self.name = name
        self.rate = rate
        self.burst = burst


class Key:
    """An API key of a workspace, stored as a hash; `name` identifies it to operators."""

    __slots__ = ("name", "key_hash", "workspace", "withdrawn")

    def __init__(self, name: str, key_hash: str, workspace: str, withdrawn: bool) -> None:
        self.name = name
        self.key_hash = key_hash
        self.workspace = workspace
        self.withdrawn = withdrawn


class Registration:
    """An endpoint's announcement of itself.

    `incarnation` grows with each start of the endpoint and `sequence` with each announcement of one
    incarnation; both are 0 if endpoints count neither. `claims_primary` is set if the endpoint
    considers itself the primary. `slots` is how many statements it runs at once.
    """

    __slots__ = (
        "name",
        "address",
        "zone",
        "group",
        "leaving",
        "connections",
        "slots",
        "group_size",
        "incarnation",
        "sequence",
        "claims_primary",
    )

    def __init__(
        self,
        name: str,
        address: str,
        zone: str,
        group: str,
        leaving: bool,
        connections: int,
        slots: int,
        group_size: int,
        incarnation: int = 0,
        sequence: int = 0,
        claims_primary: bool = False,
    ) -> None:
        self.name = name
        self.address = address
        self.zone = zone
        self.group = group
        self.leaving = leaving
        self.connections = connections
        self.slots = slots
        self.group_size = group_size
        self.incarnation = incarnation
        self.sequence = sequence
        self.claims_primary = claims_primary

    def differs_from(self, other: Registration) -> bool:
        """Return whether anything but the sequence number differs."""
        return any(
            getattr(self, slot) != getattr(other, slot)
            for slot in self.__slots__
            if slot != "sequence"
        )

    def is_newer_than(self, other: Registration) -> bool:
        """Return whether this announcement was sent after another of the same endpoint."""
        return (self.incarnation, self.sequence) > (other.incarnation, other.sequence)


class Group:
    """A database group: the newest term granted, and the newest term that got a primary.

    `size` is the number of endpoints of which a majority is needed. If `counts_own_terms`, the
    database, not the control log, numbers the terms of its primaries, and `granted_term` is only
    the fencing token of promotions.

    An endpoint is leaving once it announced that it will stop, and departed once its registration
    was removed from the control log. `departed` names departed replicas; a commit that one of them
    confirmed may now be on the primary alone.
    """

    __slots__ = (
        "name",
        "granted_term",
        "term",
        "primary",
        "size",
        "counts_own_terms",
        "departed",
    )

    def __init__(
        self,
        name: str,
        granted_term: int,
        term: int,
        primary: str | None,
        size: int,
        counts_own_terms: bool = False,
        departed: list[str] | None = None,
    ) -> None:
        self.name = name
        self.granted_term = granted_term
        self.term = term
        self.primary = primary
        self.size = size
        self.counts_own_terms = counts_own_terms
        self.departed = departed if departed is not None else []

    def majority(self) -> int:
        """Return the number of endpoints in a majority; any two majorities overlap."""
        return self.size // 2 + 1


class Member:
    """A VM of the fleet; only those with a disk may vote in the control log."""

    __slots__ = ("name", "address", "zone", "has_disk", "draining")

    def __init__(
        self, name: str, address: str, zone: str, has_disk: bool, draining: bool = False
    ) -> None:
        self.name = name
        self.address = address
        self.zone = zone
        self.has_disk = has_disk
        self.draining = draining


class Allocator:
    """The VM that allocates an availability zone's share of every rate and burst.

    `epoch` counts the zone's allocators; `revision` is the index of the log entry that named it.
    """

    __slots__ = ("zone", "member", "epoch", "revision")

    def __init__(self, zone: str, member: str, epoch: int, revision: int = 0) -> None:
        self.zone = zone
        self.member = member
        self.epoch = epoch
        self.revision = revision


class Configuration:
    """The replicated state at one revision of the control log.

    `revision` is the index of the last applied log entry; `operator_revision` counts accepted
    operator changes only. `confirmed_at` is when a quorum last confirmed the configuration, in
    seconds of the VM's clock. `incarnations` has those of voters and learners, by name, as in the
    control log.
    """

    __slots__ = (
        "revision",
        "operator_revision",
        "preset",
        "workspaces",
        "keys",
        "open_routes",
        "endpoints",
        "groups",
        "members",
        "allocators",
        "voters",
        "learners",
        "incarnations",
        "outcomes",
        "confirmed_at",
        "declaration",
    )

    def __init__(self) -> None:
        self.revision = 0
        self.operator_revision = 0
        self.preset = Preset.ORDINARY
        self.workspaces: dict[str, Workspace] = {}
        self.keys: dict[str, Key] = {}
        self.open_routes: dict[str, str] = {}
        self.endpoints: dict[str, Registration] = {}
        self.groups: dict[str, Group] = {}
        self.members: dict[str, Member] = {}
        self.allocators: dict[str, Allocator] = {}
        self.voters: list[str] = []
        self.learners: list[str] = []
        self.incarnations: dict[str, str] = {}
        self.outcomes: dict[str, ChangeOutcome] = {}
        self.confirmed_at = float("-inf")
        self.declaration: Declaration | None = None

    def is_voter(self, name: str, incarnation: str | None) -> bool:
        """Return whether a VM with a disk of this incarnation is a voter."""
        held = self.incarnations.get(name, FOUNDING_INCARNATION)
        return name in self.voters and held == incarnation

    def store_outcome(self, change_id: str, outcome: ChangeOutcome) -> None:
        """Store the outcome of a change for resends; drop the oldest beyond the limit."""
        if not change_id:
            return
        self.outcomes[change_id] = outcome
        if len(self.outcomes) > MAX_STORED_OUTCOMES:
            del self.outcomes[next(iter(self.outcomes))]


SNAPSHOT_TABLES: dict[str, type] = {
    "workspaces": Workspace,
    "keys": Key,
    "endpoints": Registration,
    "groups": Group,
    "members": Member,
    "allocators": Allocator,
}


def to_snapshot(configuration: Configuration) -> dict[str, Any]:
    """Return the whole state in JSON types."""
    snapshot: dict[str, Any] = {
        "revision": configuration.revision,
        "operator_revision": configuration.operator_revision,
        "preset": configuration.preset.value,
        "open_routes": dict(configuration.open_routes),
        "voters": list(configuration.voters),
        "learners": list(configuration.learners),
        "incarnations": dict(configuration.incarnations),
        "joined_voters": list(configuration.voters),  # required by older builds
        "outcomes": {name: item.to_record() for name, item in configuration.outcomes.items()},
    }
    if configuration.declaration is not None:
        snapshot["declaration"] = configuration.declaration.to_record()
    for table, kind in SNAPSHOT_TABLES.items():
        rows = getattr(configuration, table).values()
        snapshot[table] = [[getattr(row, slot) for slot in kind.__slots__] for row in rows]
    return snapshot


def to_diskless_snapshot(configuration: Configuration) -> dict[str, Any]:
    """Return what a VM without a disk needs: no outcomes, no document, no derived rows."""
    snapshot = to_snapshot(configuration)
    snapshot["outcomes"] = {}
    if configuration.declaration is not None:
        snapshot["declaration"]["document"] = ""
        snapshot["workspaces"] = []
        snapshot["keys"] = []
    return snapshot


def apply_declaration(configuration: Configuration, declaration: Declaration) -> None:
    """Apply a declaration: its workspaces, keys and open routes replace all others."""
    configuration.declaration = declaration
    configuration.workspaces = {
        item.name: Workspace(item.name, item.rate, item.burst) for item in declaration.workspaces
    }
    configuration.keys = {
        key_hash: Key(f"{item.name}-{number}", key_hash, item.name, False)
        for item in declaration.workspaces
        for number, key_hash in enumerate(item.key_hashes)
    }
    configuration.open_routes = {
        route.name: route.group for route in declaration.routes if route.is_open
    }


def load_snapshot(configuration: Configuration, snapshot: dict[str, Any]) -> None:
    """Replace the whole state with a snapshot."""
    configuration.revision = snapshot["revision"]
    configuration.operator_revision = snapshot["operator_revision"]
    configuration.preset = Preset(snapshot["preset"])
    configuration.open_routes = dict(snapshot["open_routes"])
    configuration.voters = list(snapshot["voters"])
    configuration.learners = list(snapshot["learners"])
    configuration.incarnations = dict(snapshot.get("incarnations", {}))
    declared = snapshot.get("declaration")
    configuration.declaration = Declaration.from_record(declared) if declared else None
    configuration.outcomes = {
        name: ChangeOutcome.from_record(item) for name, item in snapshot["outcomes"].items()
    }
    for table, kind in SNAPSHOT_TABLES.items():
        rows = [kind(*values) for values in snapshot[table]]
        key = "zone" if kind is Allocator else "key_hash" if kind is Key else "name"
        setattr(configuration, table, {getattr(row, key): row for row in rows})
    if configuration.declaration is not None and not configuration.workspaces:
        apply_declaration(configuration, configuration.declaration)
