"""Section of the VMs that serve callers, and of the home VMs of each endpoint.

The home VMs of an endpoint hold the connections to it, each for some of the workspaces; the other
VMs relay their statements to them. So an endpoint needs about one connection per workspace, however
many VMs there are. Owned by the home controller.
"""

from __future__ import annotations

import hashlib

HOMES_PER_SLOT = 2  # with one statement from each, every slot is always busy
MAX_BACKUP_ALLOCATORS = 3  # VMs; the next is used if one does not respond
HASH_BYTES = 8  # makes equal weights unlikely


class ServingVM:
    """A VM that serves callers, and the address at which other VMs reach it."""

    __slots__ = ("name", "address", "zone")

    def __init__(self, name: str, address: str, zone: str) -> None:
        self.name = name
        self.address = address
        self.zone = zone

    @classmethod
    def from_record(cls, record: list[str]) -> ServingVM:
        """Build from the JSON form."""
        return cls(*record)

    def to_record(self) -> list[str]:
        """Return the JSON form: the slots in order."""
        return [self.name, self.address, self.zone]


class HomeBackoff:
    """Backoff of a home VM that did not respond: no statements before `until`, in seconds."""

    __slots__ = ("failures", "until")

    def __init__(self) -> None:
        self.failures = 0
        self.until = 0.0


class HomeVMs:
    """The VMs that serve callers by availability zone; `version` changes with every list.

    `suspected` gives the backoff of the VMs that did not respond. `ranking_cache` keeps the results
    of rendezvous hashing, by endpoint and workspace, until the next list.
    """

    __slots__ = ("version", "by_zone", "suspected", "ranking_cache")

    def __init__(self) -> None:
        self.version = ""
        self.by_zone: dict[str, list[ServingVM]] = {}
        self.suspected: dict[str, HomeBackoff] = {}
        self.ranking_cache: dict[tuple[str, str], list[ServingVM]] = {}

    def of_endpoint(self, endpoint: str, zone: str, slots: int) -> list[ServingVM]:
        """Return an endpoint's home VMs: of its zone, or of all zones if its zone has no VMs."""
        key = (endpoint, "")
        if key not in self.ranking_cache:
            vms = self.by_zone.get(zone) or [vm for vms in self.by_zone.values() for vm in vms]
            self.ranking_cache[key] = rendezvous_order(endpoint, vms)[: HOMES_PER_SLOT * slots]
        return self.ranking_cache[key]

    def of_workspace(self, endpoint: str, zone: str, slots: int, workspace: str) -> list[ServingVM]:
        """Return an endpoint's home VMs in a workspace's order of preference."""
        key = (endpoint, workspace)
        if key not in self.ranking_cache:
            homes = self.of_endpoint(endpoint, zone, slots)
            self.ranking_cache[key] = rendezvous_order(f"{endpoint} {workspace}", homes)
        return self.ranking_cache[key]

    def backup_allocators(self, workspace: str, zone: str) -> list[ServingVM]:
        """Return a zone's backup allocators, in a workspace's order of preference."""
        key = ("", workspace)
        if key not in self.ranking_cache:
            self.ranking_cache[key] = rendezvous_order(
                f"rate {workspace}", self.by_zone.get(zone, [])
            )[:MAX_BACKUP_ALLOCATORS]
        return self.ranking_cache[key]

    def is_suspected(self, name: str, now: float) -> bool:
        """Return whether a home VM is to be skipped."""
        backoff = self.suspected.get(name)
        return backoff is not None and now < backoff.until


def rendezvous_order(subject: str, vms: list[ServingVM]) -> list[ServingVM]:
    """Return VMs by rendezvous hashing: the same order on all VMs, little changed by a new list.

    Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
    """
    return sorted(vms, key=lambda vm: _weight(subject, vm.name), reverse=True)


def _weight(subject: str, name: str) -> bytes:
    return hashlib.blake2b(f"{subject}\n{name}".encode(), digest_size=HASH_BYTES).digest()
