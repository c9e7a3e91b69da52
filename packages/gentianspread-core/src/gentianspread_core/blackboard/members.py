"""Section of when VMs were last heard of, on the control leader; owned by the repair controller."""

from __future__ import annotations


class MemberContact:
    """A VM's last contact: seconds of this VM's clock, and the revision it had.

    `lost_votes` marks a VM whose disk came back empty.
    """

    __slots__ = ("member", "at", "revision", "lost_votes")

    def __init__(self, member: str, at: float, revision: int, lost_votes: bool = False) -> None:
        self.member = member
        self.at = at
        self.revision = revision
        self.lost_votes = lost_votes


class Members:
    """Sightings by VM name, and how many VMs hold connections to endpoints."""

    __slots__ = ("last_contacts", "entries")

    def __init__(self) -> None:
        self.last_contacts: dict[str, MemberContact] = {}
        self.entries = 0
