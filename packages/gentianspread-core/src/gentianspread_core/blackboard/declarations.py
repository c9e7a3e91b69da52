"""The declared configuration: all routes, groups and workspaces under one version."""

from __future__ import annotations

from enum import Enum
from typing import Any


class Consistency(Enum):
    """Which commits a read of a route must see."""

    LATEST = "latest"
    BOUNDED = "bounded"
    OWN_WRITES = "own_writes"


class Route:
    """One database name that callers open, and how its statements are served.

    `statement_limit` is the timeout of a statement, `objective` the latency objective and `max_age`
    the staleness bound of reads, all in seconds; `max_age` is none if reads must see every
    acknowledged commit. Priority 0 is the highest. An open route needs no key. `allowed_regions`
    are the regions to which its requests are restricted, none if empty.
    """

    RECORD_FIELDS = (
        "name",
        "database",
        "group",
        "consistency",
        "max_age",
        "statement_limit",
        "objective",
        "priority",
        "is_open",
    )

    __slots__ = (
        "name",
        "database",
        "group",
        "consistency",
        "max_age",
        "statement_limit",
        "objective",
        "priority",
        "is_open",
        "allowed_regions",
    )

    def __init__(
        self,
        name: str,
        database: str,
        group: str,
        consistency: Consistency,
        max_age: float | None,
        statement_limit: float,
        objective: float,
        priority: int,
        is_open: bool,
    ) -> None:
        self.name = name
        self.database = database
        self.group = group
        self.consistency = consistency
        self.max_age = max_age
        self.statement_limit = statement_limit
        self.objective = objective
        self.priority = priority
        self.is_open = is_open
        self.allowed_regions: list[str] = []

    @classmethod
    def from_record(cls, record: list[Any]) -> Route:
        """Build from the JSON form."""
        name, database, group, consistency, *rest = record
        return cls(name, database, group, Consistency(consistency), *rest)

    def to_record(self) -> list[Any]:
        """Return the JSON form, which is the same in all builds."""
        values = [getattr(self, slot) for slot in self.RECORD_FIELDS]
        values[3] = self.consistency.value
        return values

    def extension(self) -> dict[str, Any]:
        """Return the values that are no part of the record, without defaults."""
        return {"allowed_regions": self.allowed_regions} if self.allowed_regions else {}

    def set_extension(self, values: dict[str, Any]) -> None:
        """Set the values that are no part of the record."""
        self.allowed_regions = list(values.get("allowed_regions", []))


class DeclaredGroup:
    """A database group as declared by the operators.

    If `confirms_commits`, endpoints answer a commit only once a replica has it. `cold_rate` is how
    many requests per second a cold endpoint takes, 0 for no limit, and `cold_start_s` how long one
    is cold after an evacuation.
    """

    RECORD_FIELDS = ("name", "max_connections", "confirms_commits")
    __slots__ = (*RECORD_FIELDS, "cold_rate", "cold_start_s")

    def __init__(self, name: str, max_connections: int, confirms_commits: bool) -> None:
        self.name = name
        self.max_connections = max_connections
        self.confirms_commits = confirms_commits
        self.cold_rate = 0.0
        self.cold_start_s = 0.0

    @classmethod
    def from_record(cls, record: list[Any]) -> DeclaredGroup:
        """Build from the JSON form."""
        return cls(*record)

    def to_record(self) -> list[Any]:
        """Return the JSON form, which is the same in all builds."""
        return [getattr(self, slot) for slot in self.RECORD_FIELDS]

    def extension(self) -> dict[str, Any]:
        """Return the values that are no part of the record; none without a limit."""
        if not self.cold_rate:
            return {}
        return {"cold_rate": self.cold_rate, "cold_start_s": self.cold_start_s}

    def set_extension(self, values: dict[str, Any]) -> None:
        """Set the values that are no part of the record."""
        self.cold_rate = float(values.get("cold_rate", 0.0))
        self.cold_start_s = float(values.get("cold_start_s", 0.0))


class DeclaredWorkspace:
    """A workspace with its keys' hashes; rate in operations per second, burst in operations.

    `allowed_regions` are the regions to which its requests are restricted, none if empty.
    """

    RECORD_FIELDS = ("name", "rate", "burst", "key_hashes")
    __slots__ = (*RECORD_FIELDS, "allowed_regions")

    def __init__(self, name: str, rate: float, burst: float, key_hashes: list[str]) -> None:
        self.name = name
        self.rate = rate
        self.burst = burst
        self.key_hashes = key_hashes
        self.allowed_regions: list[str] = []

    @classmethod
    def from_record(cls, record: list[Any]) -> DeclaredWorkspace:
        """Build from the JSON form."""
        return cls(*record)

    def to_record(self) -> list[Any]:
        """Return the JSON form, which is the same in all builds."""
        return [getattr(self, slot) for slot in self.RECORD_FIELDS]

    def extension(self) -> dict[str, Any]:
        """Return the values that are no part of the record, without defaults."""
        return {"allowed_regions": self.allowed_regions} if self.allowed_regions else {}

    def set_extension(self, values: dict[str, Any]) -> None:
        """Set the values that are no part of the record."""
        self.allowed_regions = list(values.get("allowed_regions", []))


DECLARED_TABLES: dict[str, Any] = {
    "routes": Route,
    "groups": DeclaredGroup,
    "workspaces": DeclaredWorkspace,
}


class Declaration:
    """The whole declared configuration.

    `document` is the operators' original text, returned unchanged. `transaction_idle_timeout_s`
    is stored as `transaction_idle`.
    """

    __slots__ = (
        "version",
        "routes",
        "groups",
        "workspaces",
        "transaction_idle_timeout_s",
        "document",
    )

    def __init__(
        self,
        version: int,
        routes: list[Route],
        groups: list[DeclaredGroup],
        workspaces: list[DeclaredWorkspace],
        transaction_idle_timeout_s: float,
        document: str,
    ) -> None:
        self.version = version
        self.routes = routes
        self.groups = groups
        self.workspaces = workspaces
        self.transaction_idle_timeout_s = transaction_idle_timeout_s
        self.document = document

    @classmethod
    def from_record(cls, record: dict[str, Any]) -> Declaration:
        """Build from the JSON form that the log stores."""
        tables = {
            name: [kind.from_record(item) for item in record[name]]
            for name, kind in DECLARED_TABLES.items()
        }
        for name, rows in record.get("extensions", {}).items():
            for index, values in rows:
                tables[name][index].set_extension(values)
        return cls(
            record["version"],
            tables["routes"],
            tables["groups"],
            tables["workspaces"],
            record["transaction_idle"],
            record["document"],
        )

    def to_record(self) -> dict[str, Any]:
        """Return the JSON form that the log stores.

        `extensions`, which older builds do not read, has the extension of each item by its index.
        """
        record = {
            "version": self.version,
            "routes": [item.to_record() for item in self.routes],
            "groups": [item.to_record() for item in self.groups],
            "workspaces": [item.to_record() for item in self.workspaces],
            "transaction_idle": self.transaction_idle_timeout_s,
            "document": self.document,
        }
        extensions = {name: _extensions(getattr(self, name)) for name in DECLARED_TABLES}
        if any(extensions.values()):
            record["extensions"] = {name: rows for name, rows in extensions.items() if rows}
        return record

    def delta_from(self, base: Declaration) -> dict[str, Any]:
        """Return the JSON form of the changes since another declaration, without the document."""
        delta = {
            "base": base.version,
            "version": self.version,
            "routes": _difference(base.routes, self.routes),
            "groups": _difference(base.groups, self.groups),
            "workspaces": _difference(base.workspaces, self.workspaces),
            "transaction_idle": self.transaction_idle_timeout_s,
        }
        extensions = {
            name: _extension_difference(getattr(base, name), getattr(self, name))
            for name in DECLARED_TABLES
        }
        if any(extensions.values()):
            delta["extensions"] = {name: rows for name, rows in extensions.items() if rows}
        return delta

    def has_unique_names(self) -> bool:
        """Return whether names identify routes, groups and workspaces, as deltas require."""
        tables = (self.routes, self.groups, self.workspaces)
        return all(len({item.name for item in table}) == len(table) for table in tables)

    def with_delta(self, delta: dict[str, Any]) -> Declaration:
        """Return the declaration that results from applying a delta."""
        extensions = delta.get("extensions", {})
        tables = {
            name: _merge(getattr(self, name), delta[name], kind, extensions.get(name, []))
            for name, kind in DECLARED_TABLES.items()
        }
        return Declaration(
            delta["version"],
            tables["routes"],
            tables["groups"],
            tables["workspaces"],
            delta["transaction_idle"],
            "",
        )

    def route_of(self, database: str) -> Route | None:
        """Return the route that callers open under a database name, or none."""
        for route in self.routes:
            if route.database == database:
                return route
        return None


def _extensions(items: list[Any]) -> list[list[Any]]:
    """Return the index and the extension of each item that has one."""
    return [[index, item.extension()] for index, item in enumerate(items) if item.extension()]


def _difference(before: list[Any], after: list[Any]) -> list[list[Any]]:
    """Return the names of removed items, and the rows of new and changed ones, names first."""
    old_rows = {item.name: item.to_record() for item in before}
    new_rows = {item.name: item.to_record() for item in after}
    removed = [name for name in old_rows if name not in new_rows]
    return [removed, [row for name, row in new_rows.items() if old_rows.get(name) != row]]


def _extension_difference(before: list[Any], after: list[Any]) -> list[list[Any]]:
    """Return the names and extensions of the items of which the extension differs."""
    old = {item.name: item.extension() for item in before}
    return [
        [item.name, item.extension()]
        for item in after
        if item.extension() != old.get(item.name, {})
    ]


def _merge(
    before: list[Any], difference: list[list[Any]], kind: type, extensions: list[list[Any]]
) -> list[Any]:
    """Return the items after a difference; a changed item is a new one, as the old may be in use.

    Without an entry in `extensions`, an item keeps the extension that it had.
    """
    removed, rows = difference
    replaced = {*removed, *(row[0] for row in rows)}
    values_by_name = {item.name: item.extension() for item in before if item.name not in removed}
    values_by_name.update(extensions)
    kept = [item for item in before if item.name not in replaced]
    merged = [*kept, *(kind.from_record(row) for row in rows)]
    return [_with_extension(item, values_by_name.get(item.name, {})) for item in merged]


def _with_extension(item: Any, values: dict[str, Any]) -> Any:
    if item.extension() == values:
        return item
    copy = type(item).from_record(item.to_record())
    copy.set_extension(values)
    return copy
