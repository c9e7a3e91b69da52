"""Rows of the configuration about replicas that left, and may still run."""

from __future__ import annotations

from enum import Enum


class DepartureEvidence(Enum):
    """Why an endpoint was removed; the control leader removes those that did not deregister."""

    DEREGISTERED = "it deregistered"
    REFUSED = "connections to it were refused"
    REPLACED = "another endpoint answers at its address"


class Departure:
    """A replica's incarnation that was removed from the control log without proof of its end.

    `label` is NAME/INCARNATION, as in `Group.departed`. An endpoint goes on confirming commits
    after the call that removed it, until it ends. Another endpoint at its address, or a later start
    under its name, proves that it has. `is_announced` is set if it said itself that it ends.
    """

    __slots__ = ("label", "group", "name", "incarnation", "address", "is_announced")

    def __init__(
        self, label: str, group: str, name: str, incarnation: int, address: str, is_announced: bool
    ) -> None:
        self.label = label
        self.group = group
        self.name = name
        self.incarnation = incarnation
        self.address = address
        self.is_announced = is_announced

    def has_ended_before(self, name: str, address: str, incarnation: int) -> bool:
        """Return whether the start of an endpoint proves that this one has ended before."""
        return incarnation > self.incarnation and (name == self.name or address == self.address)


def departure_label(name: str, incarnation: int) -> str:
    """Return how `Group.departed` names an endpoint's incarnation."""
    return f"{name}/{incarnation}"
