"""The declared configuration: all routes, groups and workspaces under one version."""

from __future__ import annotations

from collections.abc import Callable
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
    acknowledged commit. Priority 0 is the highest. An open route needs no key.
    """

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

    @classmethod
    def from_record(cls, record: list[Any]) -> Route:
        """Build from the JSON form."""
        name, database, group, consistency, *rest = record
        return cls(name, database, group, Consistency(consistency), *rest)

    def to_record(self) -> list[Any]:
        """Return the JSON form: the slots in order."""
        values = [getattr(self, slot) for slot in self.__slots__]
        values[3] = self.consistency.value
        return values


class DeclaredGroup:
    """A database group as declared by the operators.

    If `confirms_commits`, endpoints answer a commit only once a replica has it.
    """

    __slots__ = ("name", "max_connections", "confirms_commits")

    def __init__(self, name: str, max_connections: int, confirms_commits: bool) -> None:
        self.name = name
        self.max_connections = max_connections
        self.confirms_commits = confirms_commits


class DeclaredWorkspace:
    """A workspace with its keys' hashes; rate in operations per second, burst in operations."""

    __slots__ = ("name", "rate", "burst", "key_hashes")

    def __init__(self, name: str, rate: float, burst: float, key_hashes: list[str]) -> None:
        self.name = name
        self.rate = rate
        self.burst = burst
        self.key_hashes = key_hashes


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
        return cls(
            record["version"],
            [Route.from_record(item) for item in record["routes"]],
            [DeclaredGroup(*item) for item in record["groups"]],
            [DeclaredWorkspace(*item) for item in record["workspaces"]],
            record["transaction_idle"],
            record["document"],
        )

    def to_record(self) -> dict[str, Any]:
        """Return the JSON form that the log stores."""
        return {
            "version": self.version,
            "routes": [item.to_record() for item in self.routes],
            "groups": [_row(item) for item in self.groups],
            "workspaces": [_row(item) for item in self.workspaces],
            "transaction_idle": self.transaction_idle_timeout_s,
            "document": self.document,
        }

    def delta_from(self, base: Declaration) -> dict[str, Any]:
        """Return the JSON form of the changes since another declaration, without the document."""
        return {
            "base": base.version,
            "version": self.version,
            "routes": _difference(base.routes, self.routes, Route.to_record),
            "groups": _difference(base.groups, self.groups, _row),
            "workspaces": _difference(base.workspaces, self.workspaces, _row),
            "transaction_idle": self.transaction_idle_timeout_s,
        }

    def has_unique_names(self) -> bool:
        """Return whether names identify routes, groups and workspaces, as deltas require."""
        tables = (self.routes, self.groups, self.workspaces)
        return all(len({item.name for item in table}) == len(table) for table in tables)

    def with_delta(self, delta: dict[str, Any]) -> Declaration:
        """Return the declaration that results from applying a delta."""
        return Declaration(
            delta["version"],
            _merge(self.routes, delta["routes"], Route.from_record),
            _merge(self.groups, delta["groups"], lambda row: DeclaredGroup(*row)),
            _merge(self.workspaces, delta["workspaces"], lambda row: DeclaredWorkspace(*row)),
            delta["transaction_idle"],
            "",
        )

    def route_of(self, database: str) -> Route | None:
        """Return the route that callers open under a database name, or none."""
        for route in self.routes:
            if route.database == database:
                return route
        return None


def _row(item: Any) -> list[Any]:
    return [getattr(item, slot) for slot in item.__slots__]


def _difference(
    before: list[Any], after: list[Any], to_record: Callable[[Any], list[Any]]
) -> list[list[Any]]:
    """Return the names of removed items, and the rows of new and changed ones, names first."""
    old_rows = {item.name: to_record(item) for item in before}
    new_rows = {item.name: to_record(item) for item in after}
    removed = [name for name in old_rows if name not in new_rows]
    return [removed, [row for name, row in new_rows.items() if old_rows.get(name) != row]]


def _merge(
    before: list[Any], difference: list[list[Any]], from_record: Callable[[list[Any]], Any]
) -> list[Any]:
    removed, rows = difference
    replaced = {*removed, *(row[0] for row in rows)}
    kept = [item for item in before if item.name not in replaced]
    return [*kept, *(from_record(row) for row in rows)]
