"""The list of VMs that serve callers: collected from polls, merged and distributed by the leader.

Every control VM lists the VMs that poll it and sends the list to the leader with its own polls.
The leader merges these lists and returns the result with its responses, and the other control VMs
pass it on with theirs. A list that the receiver already has is not sent, only its version.
"""

from __future__ import annotations

import hashlib
from typing import Any

from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.election import Role
from gentianspread_core.blackboard.homes import ServingVM
from gentianspread_core.controllers.homes import ServingVMList

from .reports import DEFAULT_SIZE, MAX_REPORT_AGE_S, MemberReport

CONTROL_VM_LIST_TTL_S = 10.0  # keeps a partitioned zone's list until the zone usually is back
FIRST_MERGE_DELAY_S = 2.0  # after a restart all VMs have polled control VMs, and these the leader
VERSION_HASH_BYTES = 8


class PollingVM:
    """A VM that polled this one, and when, in seconds of this VM's clock."""

    __slots__ = ("vm", "polled_at")

    def __init__(self, vm: ServingVM, polled_at: float) -> None:
        self.vm = vm
        self.polled_at = polled_at


class ControlVMList:
    """The VMs that poll one control VM, as it last listed them.

    `confirmed_at` is when it last sent or confirmed the list, in seconds of this VM's clock.
    """

    __slots__ = ("version", "vms", "confirmed_at")

    def __init__(self, version: str, vms: list[ServingVM], confirmed_at: float) -> None:
        self.version = version
        self.vms = vms
        self.confirmed_at = confirmed_at


class ServingVMRegistry:
    """Collects, merges and distributes the list of serving VMs on one VM."""

    __slots__ = ("board", "_polling_vms", "_control_vm_lists", "_leader_since", "_last_sent")

    def __init__(self, board: Board) -> None:
        self.board = board
        self._polling_vms: dict[str, PollingVM] = {}
        self._control_vm_lists: dict[str, ControlVMList] = {}
        self._leader_since: float | None = None
        self._last_sent: tuple[str, str] = ("", "")

    def record_poll(self, report: MemberReport, polled_at: float) -> None:
        """Record a VM's poll; a VM that no longer serves callers is removed at once."""
        if not report.serves:
            self._polling_vms.pop(report.name, None)
            return
        vm = ServingVM(report.name, report.address, report.zone, report.size)
        self._polling_vms[report.name] = PollingVM(vm, polled_at)

    def build_own_list_for(self, receiver: str) -> dict[str, Any] | None:
        """Return this VM's own list for a poll; only its version if the receiver has it."""
        vms = self._own_list()
        version = compute_version(vms)
        if self._last_sent == (receiver, version):
            return {"version": version, "vms": None}
        return build_list_record(version, vms)

    def mark_sent(self, receiver: str, version: str) -> None:
        """Record which version of this VM's list a receiver has."""
        self._last_sent = (receiver, version)

    def receive_control_vm_list(self, sender: str, record: dict[str, Any]) -> bool:
        """Store another control VM's list; return false if it sent only an unknown version."""
        now = self.board.clock.now()
        stored = self._control_vm_lists.get(sender)
        if record["vms"] is not None:
            vms = decode_list(record)
            self._control_vm_lists[sender] = ControlVMList(record["version"], vms, now)
        elif stored is not None and stored.version == record["version"]:
            stored.confirmed_at = now
        else:
            return False
        return True

    def build_fleet_list(self, known_version: str) -> dict[str, Any]:
        """Return the fleet's list, or no list if its version is the one that the receiver knows."""
        self._merge()
        homes = self.board.homes
        if known_version == homes.version or not homes.version:
            return {"version": known_version, "vms": None}
        vms = [vm for zone_vms in homes.by_zone.values() for vm in zone_vms]
        record = build_list_record(homes.version, vms)
        if not homes.differ_in_size():
            record.pop("sizes", None)
        return record

    def receive_fleet_list(self, record: dict[str, Any]) -> None:
        """Apply the fleet's list from a response."""
        if record["vms"] is None or self.board.election.role is Role.LEADER:
            return
        vms = decode_list(record)
        # A control VM of the previous build passes a list on without sizes, under its old version.
        self.board.post(Topic.HOMES_RECEIVED, ServingVMList(compute_version(vms), vms))

    def _own_list(self) -> list[ServingVM]:
        now = self.board.clock.now()
        for name in [
            name
            for name, polling in self._polling_vms.items()
            if now - polling.polled_at > MAX_REPORT_AGE_S
        ]:
            del self._polling_vms[name]
        return [polling.vm for polling in self._polling_vms.values()]

    def _merge(self) -> None:
        """On the leader, merge the lists of all control VMs."""
        if self.board.election.role is not Role.LEADER:
            self._leader_since = None
            return
        now = self.board.clock.now()
        if self._leader_since is None:
            self._leader_since = now
        if now - self._leader_since < FIRST_MERGE_DELAY_S:
            return
        merged = {vm.name: vm for vm in self._own_list()}
        for sender in list(self._control_vm_lists):
            control_vm_list = self._control_vm_lists[sender]
            if now - control_vm_list.confirmed_at > CONTROL_VM_LIST_TTL_S:
                del self._control_vm_lists[sender]
                continue
            merged.update((vm.name, vm) for vm in control_vm_list.vms)
        vms = list(merged.values())
        self.board.post(Topic.HOMES_RECEIVED, ServingVMList(compute_version(vms), vms))


def build_list_record(version: str, vms: list[ServingVM]) -> dict[str, Any]:
    """Return the plain form of a list, with the sizes other than the default by name."""
    record: dict[str, Any] = {"version": version, "vms": [vm.to_record() for vm in vms]}
    sizes = {vm.name: vm.size for vm in vms if vm.size != DEFAULT_SIZE}
    if sizes:
        record["sizes"] = sizes
    return record


def decode_list(record: dict[str, Any]) -> list[ServingVM]:
    """Return the VMs of a list, of the default size where it gives none."""
    vms = [ServingVM.from_record(item) for item in record["vms"]]
    sizes = record.get("sizes", {})
    for vm in vms:
        vm.size = float(sizes.get(vm.name, DEFAULT_SIZE))
    return vms


def compute_version(vms: list[ServingVM]) -> str:
    """Return the version of a list: a hash that does not depend on its order."""
    rows = sorted("\t".join(vm.to_record()) for vm in vms)
    if len({vm.size for vm in vms}) > 1:
        rows.extend(sorted(f"{vm.name}\t{vm.size:g}" for vm in vms))
    return hashlib.blake2b("\n".join(rows).encode(), digest_size=VERSION_HASH_BYTES).hexdigest()
