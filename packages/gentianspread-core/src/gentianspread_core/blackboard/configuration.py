"""Section of the replicated configuration; owned by the configuration controller."""

from __future__ import annotations

from typing import Any

from .commands import ChangeOutcome, Preset
from .declarations import Declaration, DeclaredGroup
from .departures import Departure
from .log import FOUNDING_INCARNATION
from .registrations import Registration, find_fault
from .successions import Succession
from .votingmembers import VotingMembers
from .warmups import Warmup

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


class Group:
    """A database group: the newest term granted, and the newest term that got a primary.

    `size` is the number of endpoints of which a majority is needed. If `counts_own_terms`, the
    database, not the control log, numbers the terms of its primaries, and `granted_term` is only
    the fencing token of promotions.

    An endpoint is leaving once it announced that it will stop. One of its incarnations is departed
    once its registration was removed from the control log, or a newer incarnation has registered.
    `departed` lists those of replicas as NAME/INCARNATION; a commit that one of them confirmed may
    now be on the primary alone.
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


class Evacuation:
    """Whether an availability zone is evacuated.

    `revision` is the index of the log entry that last changed this, 0 if none has. `last_revision`
    is that of the last accepted command, also of one that asked for what was in force: a command
    based on an earlier one is rejected, so finished evacuations are kept.
    """

    __slots__ = ("zone", "is_active", "revision", "last_revision")

    def __init__(self, zone: str, is_active: bool, revision: int, last_revision: int) -> None:
        self.zone = zone
        self.is_active = is_active
        self.revision = revision
        self.last_revision = last_revision


class Configuration:
    """The replicated state at one revision of the control log.

    `revision` is the index of the last applied log entry; `operator_revision` counts accepted
    operator changes only. `confirmed_at` is when a quorum last confirmed the configuration, in
    seconds of the VM's clock. `incarnations` has those of voters and learners, by name, as in the
    control log. `evacuations`, by zone, is replaced, never changed in place. `warmups`, by
    endpoint, are of those that announced to be cold, and `warmup_allocators`, by zone of the
    endpoints, grant the tokens that cold ones need. `successions`, by group, are of those whose
    primary has changed; `voting_members`, by group, count in its majorities. `departures`, by
    label, are of replicas that left and are not proved to have ended. `cold_groups` are the
    declared groups whose cold endpoints have a limit, and `workspace_regions` the regions of
    restricted workspaces.
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
        "evacuations",
        "voters",
        "learners",
        "incarnations",
        "outcomes",
        "confirmed_at",
        "declaration",
        "warmups",
        "warmup_allocators",
        "successions",
        "voting_members",
        "departures",
        "cold_groups",
        "workspace_regions",
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
        self.evacuations: dict[str, Evacuation] = {}
        self.voters: list[str] = []
        self.learners: list[str] = []
        self.incarnations: dict[str, str] = {}
        self.outcomes: dict[str, ChangeOutcome] = {}
        self.confirmed_at = float("-inf")
        self.declaration: Declaration | None = None
        self.warmups: dict[str, Warmup] = {}
        self.warmup_allocators: dict[str, Allocator] = {}
        self.successions: dict[str, Succession] = {}
        self.voting_members: dict[str, VotingMembers] = {}
        self.departures: dict[str, Departure] = {}
        self.cold_groups: dict[str, DeclaredGroup] = {}
        self.workspace_regions: dict[str, frozenset[str]] = {}

    def has_led(self, group: Group) -> bool:
        """Return whether the named primary was seen to lead, and so has a primary's log."""
        succession = self.successions.get(group.name)
        return succession is None or succession.is_confirmed

    def cold_rate_of(self, group: str) -> float:
        """Return the requests per second that a group's cold endpoints take, 0 for no limit."""
        declared = self.cold_groups.get(group)
        return declared.cold_rate if declared is not None else 0.0

    def is_voter(self, name: str, incarnation: str | None) -> bool:
        """Return whether a VM with a disk of this incarnation is a voter."""
        held = self.incarnations.get(name, FOUNDING_INCARNATION)
        return name in self.voters and held == incarnation

    def is_evacuated(self, zone: str) -> bool:
        """Return whether an evacuation of the zone is in force."""
        evacuation = self.evacuations.get(zone)
        return evacuation is not None and evacuation.is_active

    def evacuation_revision(self, zone: str) -> int:
        """Return the revision of the last accepted command about a zone's evacuation, or 0."""
        evacuation = self.evacuations.get(zone)
        return evacuation.last_revision if evacuation is not None else 0

    def may_have_group(self, name: str) -> bool:
        """Return whether endpoints of a group are accepted: a declaration must name the group."""
        declaration = self.declaration
        return declaration is None or any(item.name == name for item in declaration.groups)

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

OPTIONAL_TABLES: dict[str, type] = {  # not in snapshots of older builds, and left out if empty
    "warmups": Warmup,
    "warmup_allocators": Allocator,
    "successions": Succession,
    "voting_members": VotingMembers,
    "departures": Departure,
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
        snapshot[table] = _to_rows(getattr(configuration, table), kind)
    for table, kind in OPTIONAL_TABLES.items():
        if getattr(configuration, table):
            snapshot[table] = _to_rows(getattr(configuration, table), kind)
    if configuration.evacuations:
        snapshot["evacuations"] = _to_rows(configuration.evacuations, Evacuation)
    return snapshot


def _to_rows(table: dict[str, Any], kind: type) -> list[list[Any]]:
    return [[getattr(row, slot) for slot in kind.__slots__] for row in table.values()]


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
    _set_declaration(configuration, declaration)
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


def _set_declaration(configuration: Configuration, declaration: Declaration | None) -> None:
    """Set the declaration, and what is looked up in it for each request."""
    configuration.declaration = declaration
    groups = declaration.groups if declaration else []
    workspaces = declaration.workspaces if declaration else []
    configuration.cold_groups = {item.name: item for item in groups if item.cold_rate > 0}
    configuration.workspace_regions = {
        item.name: frozenset(item.allowed_regions) for item in workspaces if item.allowed_regions
    }


def load_snapshot(configuration: Configuration, snapshot: dict[str, Any]) -> list[str]:
    """Replace the whole state with a snapshot; return why endpoints in it were left out.

    A snapshot that cannot be read raises an error and leaves the configuration as it was.
    """
    endpoint_rows, faults = _split_registrations(snapshot["endpoints"])
    tables = {}
    for table, kind in SNAPSHOT_TABLES.items():
        usable = endpoint_rows if kind is Registration else snapshot[table]
        rows = [kind(*values) for values in usable]
        key = "zone" if kind is Allocator else "key_hash" if kind is Key else "name"
        tables[table] = {getattr(row, key): row for row in rows}
    outcomes = {
        name: ChangeOutcome.from_record(item) for name, item in snapshot["outcomes"].items()
    }
    evacuations = [Evacuation(*values) for values in snapshot.get("evacuations", [])]
    declared = snapshot.get("declaration")
    fields = {
        "revision": snapshot["revision"],
        "operator_revision": snapshot["operator_revision"],
        "preset": Preset(snapshot["preset"]),
        "open_routes": dict(snapshot["open_routes"]),
        "voters": list(snapshot["voters"]),
        "learners": list(snapshot["learners"]),
        "incarnations": dict(snapshot.get("incarnations", {})),
        "outcomes": outcomes,
        "evacuations": {item.zone: item for item in evacuations},
        **{
            table: {row[0]: kind(*row) for row in snapshot.get(table, [])}
            for table, kind in OPTIONAL_TABLES.items()
        },
        **tables,
    }
    declaration = Declaration.from_record(declared) if declared else None
    for name, value in fields.items():
        setattr(configuration, name, value)
    _set_declaration(configuration, declaration)
    if configuration.declaration is not None and not configuration.workspaces:
        apply_declaration(configuration, configuration.declaration)
    return faults


def _split_registrations(rows: list[Any]) -> tuple[list[list[Any]], list[str]]:
    """Return the rows that describe an endpoint, and what is wrong with the others."""
    usable: list[list[Any]] = []
    faults: list[str] = []
    for row in rows:
        is_row = isinstance(row, list) and len(row) == len(Registration.__slots__)
        fields = dict(zip(Registration.__slots__, row, strict=True)) if is_row else None
        fault = find_fault(fields)
        if fault:
            faults.append(fault)
        else:
            usable.append(row)
    return usable, faults
