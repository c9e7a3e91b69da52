"""Section of the VMs that serve callers, and which of them holds which connections to endpoints.

Few VMs, the homes of an endpoint, hold the connections to it, each for some of the workspaces; the
others hand their statements over. So an endpoint needs about one connection a workspace, however
many VMs there are. Owned by the home controller.
"""

from __future__ import annotations

import hashlib

HOMES_PER_SLOT = 2  # VMs; with one statement each they keep every slot busy
MAX_BACKUP_ALLOCATORS = 2  # VMs; the second stands in where the first does not answer
HASH_BYTES = 8  # bytes; makes equal weights unlikely


class ServingVM:
    """A VM that serves callers, as the others reach it."""

    __slots__ = ("name", "address", "zone")

    def __init__(self, name: str, address: str, zone: str) -> None:
        self.name = name
        self.address = address
        self.zone = zone

    @classmethod
    def from_record(cls, record: list[str]) -> ServingVM:
        """Build from the plain form."""
        return cls(*record)

    def to_record(self) -> list[str]:
        """Return the plain form: the slots in order."""
        return [self.name, self.address, self.zone]


class HomeBackoff:
    """A home that did not answer; it gets nothing before `until`, in seconds."""

    __slots__ = ("failures", "until")

    def __init__(self) -> None:
        self.failures = 0
        self.until = 0.0


class Homes:
    """The VMs that serve callers by availability zone; `version` changes with every list.

    `ranked` keeps the homes of an endpoint, the first choice of each workspace first, until the
    next list.
    """

    __slots__ = ("version", "by_zone", "suspected", "ranking_cache")

    def __init__(self) -> None:
        self.version = ""
        self.by_zone: dict[str, list[ServingVM]] = {}
        self.suspected: dict[str, HomeBackoff] = {}
        self.ranking_cache: dict[tuple[str, str], list[ServingVM]] = {}

    def of_endpoint(self, endpoint: str, zone: str, slots: int) -> list[ServingVM]:
        """Return the homes of an endpoint: VMs of its zone, or of any where it has none."""
        key = (endpoint, "")
        if key not in self.ranking_cache:
            vms = self.by_zone.get(zone) or [vm for vms in self.by_zone.values() for vm in vms]
            self.ranking_cache[key] = rendezvous_order(endpoint, vms)[: HOMES_PER_SLOT * slots]
        return self.ranking_cache[key]

    def of_workspace(self, endpoint: str, zone: str, slots: int, workspace: str) -> list[ServingVM]:
        """Return an endpoint's homes in the order in which a workspace uses them."""
        key = (endpoint, workspace)
        if key not in self.ranking_cache:
            homes = self.of_endpoint(endpoint, zone, slots)
            self.ranking_cache[key] = rendezvous_order(f"{endpoint} {workspace}", homes)
        return self.ranking_cache[key]

    def backup_allocators(self, workspace: str, zone: str) -> list[ServingVM]:
        """Return a zone's VMs in the order in which they stand in for its allocator."""
        key = ("", workspace)
        if key not in self.ranking_cache:
            self.ranking_cache[key] = rendezvous_order(
                f"rate {workspace}", self.by_zone.get(zone, [])
            )[:MAX_BACKUP_ALLOCATORS]
        return self.ranking_cache[key]

    def is_suspected(self, name: str, now: float) -> bool:
        """Tell whether a home is to be left out."""
        suspicion = self.suspected.get(name)
        return suspicion is not None and now < suspicion.until


def rendezvous_order(subject: str, vms: list[ServingVM]) -> list[ServingVM]:
    """Return VMs in an order that all VMs agree on and that changes little with the list.

    Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
    """
    return sorted(vms, key=lambda vm: _weight(subject, vm.name), reverse=True)


def _weight(subject: str, name: str) -> bytes:
    return hashlib.blake2b(f"{subject}\n{name}".encode(), digest_size=HASH_BYTES).digest()
