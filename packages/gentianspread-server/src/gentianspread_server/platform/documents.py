"""The operators' configuration document and the endpoints' announcements, decoded and checked."""

from __future__ import annotations

import hashlib
from typing import Any

import orjson
from gentianspread_core.blackboard.declarations import (
    Consistency,
    Declaration,
    DeclaredGroup,
    DeclaredWorkspace,
    Route,
)
from gentianspread_core.errors import DeclarationError, ErrorCode

MS_PER_S = 1000
CONSISTENCY_WORDS = {
    "primary": Consistency.LATEST,
    "bounded_stale": Consistency.BOUNDED,
    "read_own": Consistency.OWN_WRITES,
}
DEFAULT_TRANSACTION_IDLE_MS = 10_000  # milliseconds; where the document names none
STATES = ("ready", "draining")
ROLES = ("primary", "replica")


def hash_key(key: str) -> str:
    """Return the form in which keys are held."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def decode_declaration(body: bytes) -> Declaration:
    """Decode a configuration document; raise `DeclarationError` for an invalid one."""
    try:
        message = orjson.loads(body)
        return _declaration(message, body.decode())
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, AttributeError) as error:
        raise _invalid(f"The configuration cannot be read: {error!r}.") from error


def _declaration(message: dict[str, Any], document: str) -> Declaration:
    version = _whole(message["version"])
    groups = [_group(item) for item in message["services"]]
    routes = [_route(item) for item in message["routes"]]
    workspaces = [_workspace(item) for item in message.get("tenants", [])]
    _check_routes(message["routes"], {item.name for item in groups})
    _check_keys(workspaces)
    idle_ms = message.get("limits", {}).get("txIdleMs", DEFAULT_TRANSACTION_IDLE_MS)
    return Declaration(version, routes, groups, workspaces, idle_ms / MS_PER_S, document)


def _group(item: dict[str, Any]) -> DeclaredGroup:
    confirms = _whole(item.get("syncReplicas", 0)) > 0
    return DeclaredGroup(_name(item["name"]), _whole(item["maxConns"]), confirms)


def _route(item: dict[str, Any]) -> Route:
    consistency = CONSISTENCY_WORDS.get(item.get("routeType", "primary"))
    if consistency is None:
        raise _invalid(f"The route {item['name']} has an unknown kind.")
    limit_ms = item["timeoutMs"]
    if not limit_ms > 0:
        raise _invalid(f"The route {item['name']} has no time limit.")
    max_age_ms = item.get("maxStalenessMs")
    return Route(
        _name(item["name"]),
        _name(item["host"]),
        _name(item["service"]),
        consistency,
        None if max_age_ms is None else max_age_ms / MS_PER_S,
        limit_ms / MS_PER_S,
        item.get("targetLatencyMs", limit_ms) / MS_PER_S,
        _whole(item.get("priority", 0)),
        bool(item.get("authExempt", False)),
    )


def _workspace(item: dict[str, Any]) -> DeclaredWorkspace:
    hashes = [hash_key(_name(key)) for key in item["apiKeys"]]
    return DeclaredWorkspace(
        _name(item["name"]), float(item["ratePerS"]), float(item["burstSize"]), hashes
    )


def _check_routes(routes: list[dict[str, Any]], groups: set[str]) -> None:
    seen: set[tuple[str, str]] = set()
    for item in routes:
        if item["service"] not in groups:
            raise _invalid(f"The route {item['name']} names an unknown group {item['service']}.")
        place = (item["host"], item.get("pathPrefix", "/"))
        if place in seen:
            raise _invalid(f"Two routes are declared for {item['host']}.")
        seen.add(place)


def _check_keys(workspaces: list[DeclaredWorkspace]) -> None:
    owners: dict[str, str] = {}
    for workspace in workspaces:
        for key_hash in workspace.key_hashes:
            if owners.setdefault(key_hash, workspace.name) != workspace.name:
                raise _invalid(f"{workspace.name} and another workspace share a key.")


def _whole(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{value!r} is not a whole number")
    return value


def _name(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a name")
    return value


def _invalid(message: str) -> DeclarationError:
    return DeclarationError(ErrorCode.INVALID_DECLARATION, message)


def decode_announcement(name: str, body: bytes) -> dict[str, Any] | None:
    """Decode an endpoint's announcement into the fields of its registration.

    Returns none for one that names no endpoint to use.
    """
    try:
        message = orjson.loads(body)
        if message["state"] not in STATES or message["dbRole"] not in ROLES:
            return None
        host, _, port = _name(message["address"]).rpartition(":")
        if not host or not int(port):
            return None
        return {
            "name": _name(name),
            "address": message["address"],
            "zone": _name(message["zone"]),
            "group": _name(message["service"]),
            "leaving": message["state"] == "draining",
            "connections": 1,
            "slots": _whole(message["slots"]),
            "group_size": 0,
            "incarnation": _whole(message.get("born", 0)),
            "sequence": _whole(message["sequence"]),
            "claims_primary": message["dbRole"] == "primary",
        }
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, AttributeError):
        return None


def decode_departure(body: bytes) -> int | None:
    """Return the incarnation that a departing endpoint names, 0 if none, or none if unreadable."""
    if not body:
        return 0
    try:
        return _whole(orjson.loads(body).get("born", 0))
    except (orjson.JSONDecodeError, TypeError, ValueError, AttributeError):
        return None
