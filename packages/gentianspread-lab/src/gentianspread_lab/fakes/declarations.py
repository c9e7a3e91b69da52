"""The declared configuration of the session simulation."""

from __future__ import annotations

from gentianspread_core.blackboard.declarations import (
    Consistency,
    Declaration,
    DeclaredGroup,
    DeclaredWorkspace,
    Route,
)

GROUP = "g"
DATABASES = {
    "latest": (Consistency.LATEST, None),
    "bounded": (Consistency.BOUNDED, 1.5),
    "own": (Consistency.OWN_WRITES, 2.5),
}
DEFAULT_PRIORITY = 1


def build_declaration(
    version: int,
    rate: float,
    burst: float,
    keys: dict[str, list[str]],
    timeout_s: float,
    max_connections: int,
    objectives_s: dict[str, float],
    groups: dict[str, str],
    priorities: dict[str, int],
) -> Declaration:
    """Build a declaration of routes, which have the names of their databases, and workspaces.

    `objectives_s`, `groups` and `priorities` are by database. A database that is named only in
    `priorities` has the consistency of "bounded".
    """
    names = [*DATABASES, *(name for name in priorities if name not in DATABASES)]
    routes = [
        Route(
            name,
            name,
            group,
            *DATABASES.get(name, DATABASES["bounded"]),
            timeout_s,
            objectives_s.get(name, timeout_s / 2),
            priorities.get(name, DEFAULT_PRIORITY),
            False,
        )
        for name, group in (groups or dict.fromkeys(names, GROUP)).items()
    ]
    return Declaration(
        version,
        routes,
        [
            DeclaredGroup(group, max_connections, True)
            for group in sorted({GROUP, *groups.values()})
        ],
        [DeclaredWorkspace(name, rate, burst, hashes) for name, hashes in keys.items()],
        3.0,
        f"document {version}",
    )
