"""Which VMs serve callers: gathered from polls, merged by the control leader, spread by answers.

Every control VM knows the VMs that poll it and sends a changed list to the leader with its own
poll; the leader's list goes back with the answers. A list is sent only to a VM that has another.
"""

from __future__ import annotations

import hashlib
from typing import Any

from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.election import Role
from gentianspread_core.blackboard.homes import ServingVM
from gentianspread_core.controllers.homes import ServingVMList

from .reports import SIGHTING_AGE_S, MemberReport

SILENT_CONTROL_S = 10.0  # seconds; a cut zone's list is kept until the zone usually is back
FIRST_LIST_S = 2.0  # seconds; all VMs have polled control VMs that restarted, and these the leader
VERSION_BYTES = 8  # bytes of the hash that names a list


class Seen:
    """A VM that polled, and when, in seconds."""

    __slots__ = ("vm", "at")

    def __init__(self, vm: ServingVM, at: float) -> None:
        self.vm = vm
        self.at = at


class GatheredList:
    """What one control VM told, and when, in seconds."""

    __slots__ = ("version", "vms", "at")

    def __init__(self, version: str, vms: list[ServingVM], at: float) -> None:
        self.version = version
        self.vms = vms
        self.at = at


class ServingVMs:
    """Gathers, merges and spreads the list on one VM."""

    __slots__ = ("board", "_seen", "_gathered", "_led_since", "_told")

    def __init__(self, board: Board) -> None:
        self.board = board
        self._seen: dict[str, Seen] = {}
        self._gathered: dict[str, GatheredList] = {}
        self._led_since: float | None = None
        self._told: tuple[str, str] = ("", "")

    def note(self, report: MemberReport, at: float) -> None:
        """Note a VM's poll; one that stops serving leaves the list at once."""
        if not report.serves:
            self._seen.pop(report.name, None)
            return
        vm = ServingVM(report.name, report.address, report.zone)
        self._seen[report.name] = Seen(vm, at)

    def to_tell(self, receiver: str) -> dict[str, Any] | None:
        """Return this VM's own list for a poll, or none if the receiver has it."""
        vms = self._own()
        version = version_of(vms)
        if self._told == (receiver, version):
            return {"version": version, "vms": None}
        return {"version": version, "vms": [vm.to_record() for vm in vms]}

    def note_told(self, receiver: str, version: str) -> None:
        """Note that a receiver has this VM's list."""
        self._told = (receiver, version)

    def take(self, teller: str, record: dict[str, Any]) -> bool:
        """Take another control VM's list; return whether it is held now."""
        now = self.board.clock.now()
        known = self._gathered.get(teller)
        if record["vms"] is not None:
            vms = [ServingVM.from_record(item) for item in record["vms"]]
            self._gathered[teller] = GatheredList(record["version"], vms, now)
        elif known is not None and known.version == record["version"]:
            known.at = now
        else:
            return False
        return True

    def answer(self, held: str) -> dict[str, Any]:
        """Return the fleet's list for a VM that holds a version."""
        self._merge()
        homes = self.board.homes
        if held == homes.version or not homes.version:
            return {"version": held, "vms": None}
        vms = [vm.to_record() for listed in homes.by_zone.values() for vm in listed]
        return {"version": homes.version, "vms": vms}

    def receive(self, record: dict[str, Any]) -> None:
        """Take over the fleet's list from an answer."""
        if record["vms"] is None or self.board.election.role is Role.LEADER:
            return
        vms = [ServingVM.from_record(item) for item in record["vms"]]
        self.board.post(Topic.HOMES_RECEIVED, ServingVMList(record["version"], vms))

    def _own(self) -> list[ServingVM]:
        now = self.board.clock.now()
        for name in [name for name, seen in self._seen.items() if now - seen.at > SIGHTING_AGE_S]:
            del self._seen[name]
        return [seen.vm for seen in self._seen.values()]

    def _merge(self) -> None:
        """On the leader, put the lists of all control VMs together."""
        if self.board.election.role is not Role.LEADER:
            self._led_since = None
            return
        now = self.board.clock.now()
        if self._led_since is None:
            self._led_since = now
        if now - self._led_since < FIRST_LIST_S:
            return
        merged = {vm.name: vm for vm in self._own()}
        for teller in list(self._gathered):
            gathered = self._gathered[teller]
            if now - gathered.at > SILENT_CONTROL_S:
                del self._gathered[teller]
                continue
            merged.update((vm.name, vm) for vm in gathered.vms)
        vms = list(merged.values())
        self.board.post(Topic.HOMES_RECEIVED, ServingVMList(version_of(vms), vms))


def version_of(vms: list[ServingVM]) -> str:
    """Return a name of a list that does not depend on its order."""
    rows = sorted("\t".join(vm.to_record()) for vm in vms)
    return hashlib.blake2b("\n".join(rows).encode(), digest_size=VERSION_BYTES).hexdigest()
