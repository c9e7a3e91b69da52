"""The fleet's operator: declares versions of the configuration, and reads them back."""

from __future__ import annotations

import logging
import random
import time
from typing import Any

import gevent
import orjson
from gentianspread_server.connections import (
    OK,
    Connection,
    HttpResponse,
    RequestNotSentError,
    ResponseLostError,
)

log = logging.getLogger(__name__)

GROUP = "db1"
MAX_CONNECTIONS = 100
CALL_TIMEOUT_S = 2.0
MS_PER_S = 1000
RETRY_INTERVAL_S = 0.1
READ_INTERVAL_S = 0.25
DECLARATION_TIMEOUT_S = 30.0
ACKNOWLEDGEMENT_TIMEOUT_S = 6.0  # the platform's limit for evacuations
MAX_AGE_S = {"bounded": 1.5, "own": 2.5}  # of the routes that may return older data
FIRST_KEYS = {"w1": ["key-1"], "w2": ["key-2"], "w3": ["rotating-1"]}
ROTATING_WORKSPACE = "w3"
ROTATING_KEYS = 2  # valid at a time
KEY_CHANGE_SHARE = 0.5  # of the versions
MAX_VERSION_STEP = 3
SLOW_ROUTE_EXTRA_MS = 1000


class Configuration:
    """The content of a version; keys are by workspace, and the rate limit is that of each one."""

    __slots__ = ("version", "keys", "rate_per_s", "timeout_ms", "extra_routes")

    def __init__(self, version: int, keys: dict[str, list[str]]) -> None:
        self.version = version
        self.keys = keys
        self.rate_per_s = 2000
        self.timeout_ms = 1000
        self.extra_routes: tuple[str, ...] = ()

    def to_document(self) -> dict[str, Any]:
        """Return the document that declares this version."""
        routes = [
            self._route("latest", "primary"),
            self._route("bounded", "bounded_stale"),
            self._route("own", "read_own"),
            self._route("slow", "primary", SLOW_ROUTE_EXTRA_MS),
            *(self._route(host, "primary") for host in self.extra_routes),
        ]
        return {
            "version": self.version,
            "routes": routes,
            "services": [{"name": GROUP, "maxConns": MAX_CONNECTIONS, "syncReplicas": 1}],
            "limits": {"txIdleMs": 3000},
            "tenants": [
                {
                    "name": name,
                    "apiKeys": items,
                    "ratePerS": self.rate_per_s,
                    "burstSize": self.rate_per_s,
                }
                for name, items in self.keys.items()
            ],
        }

    def all_keys(self) -> set[str]:
        """Return the keys of all workspaces."""
        return {key for keys in self.keys.values() for key in keys}

    def _route(self, host: str, kind: str, extra_ms: int = 0) -> dict[str, Any]:
        route = {
            "name": f"r-{host}",
            "host": host,
            "pathPrefix": "/",
            "routeType": kind,
            "timeoutMs": self.timeout_ms + extra_ms,
            "targetLatencyMs": 400 + extra_ms,
            "priority": 1,
            "service": GROUP,
        }
        if host in MAX_AGE_S:
            route["maxStalenessMs"] = round(MAX_AGE_S[host] * MS_PER_S)
        return route


class DeclaredVersion:
    """A version that was sent; `acknowledged_at` is none until a control VM acknowledged it."""

    __slots__ = ("configuration", "document", "acknowledged_at")

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.document = configuration.to_document()
        self.acknowledged_at: float | None = None


class Reading:
    """A document that a control VM returned for a request of the time `sent_at`."""

    __slots__ = ("address", "sent_at", "document")

    def __init__(self, address: str, sent_at: float, document: dict[str, Any]) -> None:
        self.address = address
        self.sent_at = sent_at
        self.document = document


class Operator:
    """Declares versions at any control VM; several may be in progress at once.

    `declared` is by version. `refused` lists versions that a control VM answered with a client
    error. `rotating_keys` are all keys so far of the workspace whose keys change. Times are of the
    monotonic clock.
    """

    __slots__ = ("addresses", "declared", "refused", "readings", "rotating_keys", "_randomness")

    def __init__(self, addresses: list[str]) -> None:
        self.addresses = addresses
        self.declared: dict[int, DeclaredVersion] = {}
        self.refused: list[str] = []
        self.readings: list[Reading] = []
        self.rotating_keys = list(FIRST_KEYS[ROTATING_WORKSPACE])
        self._randomness = random.Random(len(addresses))

    def add(self, configuration: Configuration) -> DeclaredVersion:
        """Return the record of a version that is about to be sent, perhaps again."""
        return self.declared.setdefault(configuration.version, DeclaredVersion(configuration))

    def declare(self, configuration: Configuration) -> bool:
        """Send a version until it is acknowledged or refused; return whether it is acknowledged."""
        declared = self.add(configuration)
        body = orjson.dumps(declared.document)
        deadline = time.monotonic() + DECLARATION_TIMEOUT_S
        while time.monotonic() < deadline:
            address = self._randomness.choice(self.addresses)
            response = call(address, "POST", "/Config.Replace", body)
            if response is not None and response.status == OK:
                declared.acknowledged_at = time.monotonic()
                return True
            if response is not None and response.status < 500:
                self.refused.append(f"version {configuration.version}: {response.status}")
                return False
            gevent.sleep(RETRY_INTERVAL_S)
        self.refused.append(f"version {configuration.version}: not in {DECLARATION_TIMEOUT_S:g} s")
        return False

    def change_evacuation(self, verb: str, zone: str) -> float | None:
        """Begin or finish an evacuation; return when it was acknowledged, or none if it was not.

        `verb` is that of the path. A request that is not acknowledged is sent to another control VM
        with increasing backoff.
        """
        deadline = time.monotonic() + ACKNOWLEDGEMENT_TIMEOUT_S
        backoff_s = RETRY_INTERVAL_S
        while time.monotonic() < deadline:
            address = self._randomness.choice(self.addresses)
            response = call(address, "POST", f"/Evacuations.{verb}/{zone}", timeout_s=1.0)
            if response is not None and response.status == OK:
                return time.monotonic()
            gevent.sleep(backoff_s)
            backoff_s *= 2
        self.refused.append(f"{verb} {zone}: not in {ACKNOWLEDGEMENT_TIMEOUT_S:g} s")
        return None

    def read(self) -> Reading | None:
        """Read the configuration back from a random control VM; none if it does not return it."""
        address = self._randomness.choice(self.addresses)
        sent_at = time.monotonic()
        response = call(address, "GET", "/Config.Get")
        if response is None or response.status != OK:
            return None
        reading = Reading(address, sent_at, orjson.loads(response.body))
        self.readings.append(reading)
        return reading

    def run_readings(self) -> None:
        """Read the configuration again and again, until the calling greenlet is killed."""
        while True:
            self.read()
            gevent.sleep(READ_INTERVAL_S)

    def next_version(self, randomness: random.Random) -> Configuration:
        """Return a new version that changes what callers do not rely on; often also a key."""
        version = max(self.declared) + randomness.randint(1, MAX_VERSION_STEP)
        if randomness.random() < KEY_CHANGE_SHARE:
            self.rotating_keys.append(f"rotating-{version}")
        keys = {**FIRST_KEYS, ROTATING_WORKSPACE: self.rotating_keys[-ROTATING_KEYS:]}
        extra_routes = tuple(f"extra-{item}" for item in range(randomness.randint(0, 4)))
        configuration = Configuration(version, keys)
        configuration.rate_per_s = randomness.randint(1500, 2500)
        configuration.timeout_ms = randomness.randint(1000, 1500)
        configuration.extra_routes = extra_routes
        self.add(configuration)
        return configuration

    def workspace_of(self, key: str) -> str:
        """Return the workspace of a key, which is the same in all versions."""
        lasting = {items[0]: name for name, items in FIRST_KEYS.items()}
        return lasting.get(key, ROTATING_WORKSPACE)

    def newest_acknowledged(self, moment: float) -> int:
        """Return the highest version that was acknowledged before a moment, or 0."""
        return max(
            (
                version
                for version, item in self.declared.items()
                if item.acknowledged_at is not None and item.acknowledged_at <= moment
            ),
            default=0,
        )

    def withdrawals(self) -> dict[str, float]:
        """Return when each withdrawn key was first missing from a newer, acknowledged version."""
        newest_with_key: dict[str, int] = {}
        for version, item in sorted(self.declared.items()):
            newest_with_key.update(dict.fromkeys(item.configuration.all_keys(), version))
        withdrawn: dict[str, float] = {}
        for key, newest in newest_with_key.items():
            times = [
                item.acknowledged_at
                for version, item in self.declared.items()
                if version > newest and item.acknowledged_at is not None
            ]
            if times:
                withdrawn[key] = min(times)
        return withdrawn


def call(
    address: str, method: str, path: str, body: bytes = b"", timeout_s: float = CALL_TIMEOUT_S
) -> HttpResponse | None:
    """Send a request and return its response, or none if no complete one arrived."""
    connection = Connection(address)
    head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {len(body)}\r\n\r\n"
    try:
        connection.open(timeout_s)
        return connection.request(head.encode() + body, timeout_s)
    except (RequestNotSentError, ResponseLostError) as error:
        log.debug("no response from %s: %s", address, error)
        return None
    finally:
        connection.close()
