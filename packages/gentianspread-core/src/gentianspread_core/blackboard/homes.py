"""Section of the VMs that serve callers, and of the home VMs of each endpoint.

The home VMs of an endpoint hold the connections to it, each for some of the workspaces; the other
VMs relay their statements to them. So an endpoint needs about one connection per workspace, however
many VMs there are. Owned by the home controller.
"""

from __future__ import annotations

import hashlib
import math

HOMES_PER_SLOT = 2  # with one statement from each, every slot is always busy
MAX_BACKUP_ALLOCATORS = 3  # VMs; the next is used if one does not respond
HASH_BYTES = 8  # makes equal weights unlikely


class ServingVM:
    """A VM that serves callers, the address at which other VMs reach it, and its size in cores."""

    __slots__ = ("name", "address", "zone", "size")

    def __init__(self, name: str, address: str, zone: str, size: float = 1.0) -> None:
        self.name = name
        self.address = address
        self.zone = zone
        self.size = size

    @classmethod
    def from_record(cls, record: list[str]) -> ServingVM:
        """Build from the JSON form."""
        return cls(*record)

    def to_record(self) -> list[str]:
        """Return the JSON form, without the size: older builds decode it by position."""
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

    def differ_in_size(self) -> bool:
        """Return whether the VMs that serve callers have different sizes."""
        return len({vm.size for vms in self.by_zone.values() for vm in vms}) > 1

    def work_share(self, homes: list[ServingVM], member: str) -> float:
        """Return the part of the work of an endpoint's home VMs that one of them takes by size."""
        own = next((vm.size for vm in homes if vm.name == member), None)
        total = sum(vm.size for vm in homes)
        return own / total if own is not None else 1.0 / max(1, len(homes))

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

    A VM is first with a probability in proportion to its size.

    Sources: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998; for
    the sizes Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005.
    """
    if len({vm.size for vm in vms}) < 2:
        return sorted(vms, key=lambda vm: _weight(subject, vm.name), reverse=True)
    return sorted(vms, key=lambda vm: _sized_weight(subject, vm), reverse=True)


def _sized_weight(subject: str, vm: ServingVM) -> float:
    fraction = (int.from_bytes(_weight(subject, vm.name)) + 1) / (256**HASH_BYTES + 1)
    return vm.size / -math.log(fraction) if fraction < 1.0 else math.inf


def _weight(subject: str, name: str) -> bytes:
    return hashlib.blake2b(f"{subject}\n{name}".encode(), digest_size=HASH_BYTES).digest()
