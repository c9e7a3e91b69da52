"""Section of when VMs were last heard of, on the control leader; owned by the repair controller."""

from __future__ import annotations


class Sighting:
    """A VM's last contact: seconds of this VM's clock, and the revision it had."""

    __slots__ = ("member", "at", "revision")

    def __init__(self, member: str, at: float, revision: int) -> None:
        self.member = member
        self.at = at
        self.revision = revision


class Members:
    """Sightings by VM name."""

    __slots__ = ("sightings",)

    def __init__(self) -> None:
        self.sightings: dict[str, Sighting] = {}
