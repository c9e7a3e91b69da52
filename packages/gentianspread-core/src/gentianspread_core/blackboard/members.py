"""Section of the last contact with each VM, on the control leader; owned by the repair controller.

The number of VMs that hold connections to endpoints is known on every VM.
"""

from __future__ import annotations


class MemberContact:
    """The last report from a VM: when, in seconds of this VM's clock, and its revision then.

    `incarnation` is that of the VM's disk, none until the VM has read it.
    """

    __slots__ = ("member", "at", "revision", "incarnation")

    def __init__(self, member: str, at: float, revision: int, incarnation: str | None) -> None:
        self.member = member
        self.at = at
        self.revision = revision
        self.incarnation = incarnation


class Members:
    """Last contacts by VM name, and how many VMs hold connections to endpoints."""

    __slots__ = ("last_contacts", "entry_vm_count")

    def __init__(self) -> None:
        self.last_contacts: dict[str, MemberContact] = {}
        self.entry_vm_count = 0
