"""Decodes and checks the operators' configuration document and the endpoints' announcements."""

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
from gentianspread_core.blackboard.registrations import find_fault, is_integer
from gentianspread_core.blackboard.warmups import MAX_COLD_S
from gentianspread_core.errors import DeclarationError, ErrorCode

from ..clocks import wall_ms

MS_PER_S = 1000
MAX_CLOCK_DIFFERENCE_MS = 86_400_000  # of two machines' times of day
# 20,000 routes have a list of regions each, and may have as many services, and tenants with two
# lists. Without these bounds a document of 8 MiB takes 235 MB when it is decoded.
MAX_CONTAINERS = 150_000
MAX_VALUES = 600_000  # 12 fields for each of these routes, 5 for each service, 8 for each tenant
MAX_SHOWN_CHARS = 100  # of a value in an error message
SEPARATOR = " "  # of the fields of a message to an endpoint
CONSISTENCY_BY_ROUTE_TYPE = {
    "primary": Consistency.LATEST,
    "bounded_stale": Consistency.BOUNDED,
    "read_own": Consistency.OWN_WRITES,
}
DEFAULT_TRANSACTION_IDLE_TIMEOUT_MS = 10_000
ENDPOINT_STATES = ("ready", "draining")
ENDPOINT_ROLES = ("primary", "replica")


def hash_key(key: str) -> str:
    """Return the SHA-256 hash of a key; only hashes are stored outside the document."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def decode_declaration(body: bytes) -> Declaration:
    """Decode a configuration document; raise `DeclarationError` for an invalid one."""
    _check_size(body)
    try:
        message = orjson.loads(body)
        return _build_declaration(message, body.decode())
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, AttributeError) as error:
        raise _declaration_error(f"The configuration cannot be read: {_shorten(error)}.") from error


def _check_size(body: bytes) -> None:
    """Bound the objects, lists and values; characters in texts that look like them count too."""
    if body.count(b"{") + body.count(b"[") > MAX_CONTAINERS:
        raise _declaration_error(f"It has more than {MAX_CONTAINERS} objects and lists.")
    if body.count(b",") > MAX_VALUES:
        raise _declaration_error(f"It has more than {MAX_VALUES} values.")


def _build_declaration(message: dict[str, Any], document: str) -> Declaration:
    version = _require_integer(message["version"])
    groups = [_decode_group(item) for item in _require_list(message["services"])]
    routes = [_decode_route(item) for item in _require_list(message["routes"])]
    workspaces = [_decode_workspace(item) for item in _require_list(message.get("tenants", []))]
    _check_routes(message["routes"], {item.name for item in groups})
    _check_keys_are_unique(workspaces)
    limits = message.get("limits", {})
    idle_ms = _require_number(limits.get("txIdleMs", DEFAULT_TRANSACTION_IDLE_TIMEOUT_MS))
    return Declaration(version, routes, groups, workspaces, idle_ms / MS_PER_S, document)


def _decode_group(item: dict[str, Any]) -> DeclaredGroup:
    confirms = _require_integer(item.get("syncReplicas", 0)) > 0
    group = DeclaredGroup(
        _require_string(item["name"]), _require_integer(item["maxConns"]), confirms
    )
    group.cold_rate = _decode_amount(item.get("coldPerS"))
    group.cold_start_s = _decode_amount(item.get("coldStartS"))
    return group


def _decode_route(item: dict[str, Any]) -> Route:
    consistency = CONSISTENCY_BY_ROUTE_TYPE.get(item.get("routeType", "primary"))
    if consistency is None:
        raise _declaration_error(f"The route {_shorten(item['name'])} has an unknown kind.")
    timeout_ms = _require_number(item["timeoutMs"])
    if not timeout_ms > 0:
        raise _declaration_error(f"The route {_shorten(item['name'])} has no time limit.")
    max_age_ms = item.get("maxStalenessMs")
    route = Route(
        _require_string(item["name"]),
        _require_string(item["host"]),
        _require_string(item["service"]),
        consistency,
        None if max_age_ms is None else _require_number(max_age_ms) / MS_PER_S,
        timeout_ms / MS_PER_S,
        _require_number(item.get("targetLatencyMs", timeout_ms)) / MS_PER_S,
        _require_integer(item.get("priority", 0)),
        bool(item.get("authExempt", False)),
    )
    route.allowed_regions = _decode_regions(item)
    return route


def _decode_workspace(item: dict[str, Any]) -> DeclaredWorkspace:
    hashes = [hash_key(_require_string(key)) for key in _require_list(item["apiKeys"])]
    rate, burst = _require_number(item["ratePerS"]), _require_number(item["burstSize"])
    workspace = DeclaredWorkspace(_require_string(item["name"]), rate, burst, hashes)
    workspace.allowed_regions = _decode_regions(item)
    return workspace


def _decode_regions(item: dict[str, Any]) -> list[str]:
    """Return the regions that a route or workspace is restricted to; empty for no restriction."""
    regions = item.get("allowedRegions")
    return [] if regions is None else [_require_string(name) for name in _require_list(regions)]


def _check_routes(routes: list[dict[str, Any]], groups: set[str]) -> None:
    seen: set[tuple[str, str]] = set()
    for item in routes:
        if item["service"] not in groups:
            raise _declaration_error(
                f"The route {_shorten(item['name'])} names an unknown group "
                f"{_shorten(item['service'])}."
            )
        host_and_path = (item["host"], item.get("pathPrefix", "/"))
        if host_and_path in seen:
            raise _declaration_error(f"Two routes are declared for {_shorten(item['host'])}.")
        seen.add(host_and_path)


def _check_keys_are_unique(workspaces: list[DeclaredWorkspace]) -> None:
    owners: dict[str, str] = {}
    for workspace in workspaces:
        for key_hash in workspace.key_hashes:
            if owners.setdefault(key_hash, workspace.name) != workspace.name:
                name = _shorten(workspace.name)
                raise _declaration_error(f"{name} and another workspace share a key.")


def _require_integer(value: Any) -> int:
    if not is_integer(value):
        raise ValueError(f"{_shorten(value)} is not a whole number")
    return value


def _require_number(value: Any) -> float:
    """Return a number of a JSON document, which is always finite."""
    if not (is_integer(value) or isinstance(value, float)):
        raise ValueError(f"{_shorten(value)} is not a number")
    return float(value)


def _decode_amount(value: Any) -> float:
    """Return a number that is not negative, 0 if there is none."""
    amount = 0.0 if value is None else _require_number(value)
    if amount < 0:
        raise ValueError(f"{_shorten(value)} is less than 0")
    return amount


def _require_list(value: Any) -> list[Any]:
    if not isinstance(value, list):
        raise ValueError(f"{_shorten(value)} is not a list")
    return value


def _require_string(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{_shorten(value)} is not a name")
    return value


def _shorten(value: Any) -> str:
    """Return the start of a value's text; lists and objects may be nested too deeply to print."""
    is_printable = isinstance(value, str | int | float | Exception)
    return str(value)[:MAX_SHOWN_CHARS] if is_printable else f"a {type(value).__name__}"


def _declaration_error(message: str) -> DeclarationError:
    return DeclarationError(ErrorCode.INVALID_DECLARATION, message)


def decode_announcement(name: str, body: bytes) -> dict[str, Any] | None:
    """Decode an endpoint's announcement into the fields of its registration.

    Returns none for an announcement that is invalid or whose endpoint cannot be used.
    """
    try:
        message = orjson.loads(body)
        if message["state"] not in ENDPOINT_STATES or message["dbRole"] not in ENDPOINT_ROLES:
            return None
        fields = {
            "name": name,
            "address": message["address"],
            "zone": message["zone"],
            "group": message["service"],
            "leaving": message["state"] == "draining",
            "connections": 1,
            "slots": message["slots"],
            "group_size": 0,
            "incarnation": message.get("born", 0),
            "sequence": message["sequence"],
            "claims_primary": message["dbRole"] == "primary",
        }
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, AttributeError):
        return None
    if find_fault(fields):
        return None
    has_separator = any(SEPARATOR in fields[field] for field in ("name", "zone", "group"))
    return None if has_separator or not _is_start_time(fields["incarnation"]) else fields


def decode_cold_time(body: bytes) -> float | None:
    """Return how much longer an endpoint stays cold, in seconds, by its valid announcement.

    None if it does not say, or nothing that can be meant: the endpoint is usable all the same.
    """
    remaining_ms = orjson.loads(body).get("coldRemainingMs")
    if not (is_integer(remaining_ms) or isinstance(remaining_ms, float)):
        return None
    remaining_s = remaining_ms / MS_PER_S
    return remaining_s if 0 <= remaining_s <= MAX_COLD_S else None


def decode_deregistration(body: bytes) -> int | None:
    """Return the incarnation of an endpoint that deregisters: 0 if not given, none if invalid."""
    if not body:
        return 0
    try:
        incarnation = orjson.loads(body).get("born", 0)
    except (orjson.JSONDecodeError, TypeError, ValueError, AttributeError):
        return None
    return incarnation if _is_start_time(incarnation) else None


def _is_start_time(value: Any) -> bool:
    """Return whether a value is a time in milliseconds since the Unix epoch, and not far ahead.

    A start time that is never reached would hide all later starts of the endpoint.
    """
    return is_integer(value) and 0 <= value <= wall_ms() + MAX_CLOCK_DIFFERENCE_MS
