"""Evacuations of availability zones, as kept in the control log."""

from __future__ import annotations


class Evacuation:
    """An evacuation of a zone; `revision` is that at which `is_active` last changed."""

    __slots__ = ("zone", "is_active", "revision")

    def __init__(self, zone: str, is_active: bool, revision: int) -> None:
        self.zone = zone
        self.is_active = is_active
        self.revision = revision
