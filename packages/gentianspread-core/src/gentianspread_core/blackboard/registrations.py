"""Registrations of endpoints, and the check that every one of them has passed.

Announcements come from outside, and the control log may hold what an older build accepted.
"""

from __future__ import annotations

from typing import Any

MAX_NAME_CHARS = 200
MAX_PORT = 65_535
MAX_OCTET = 255
IPV4_OCTETS = 4
MAX_COUNT = 1_000_000  # of an endpoint's slots and connections
MAX_GROUP_SIZE = 99
MAX_INTEGER = 2**53 - 1  # exact in every JSON decoder
INTEGER_RANGES = {
    "connections": (1, MAX_COUNT),
    "slots": (1, MAX_COUNT),
    "group_size": (0, MAX_GROUP_SIZE),
    "incarnation": (0, MAX_INTEGER),
    "sequence": (0, MAX_INTEGER),
}
OPTIONAL_FIELDS = frozenset({"incarnation", "sequence", "claims_primary"})


class Registration:
    """An endpoint's announcement of itself.

    `incarnation` grows with each start of the endpoint and `sequence` with each announcement of one
    incarnation; both are 0 if endpoints count neither. `claims_primary` is set if the endpoint
    considers itself the primary. `slots` is how many statements it runs at once.
    """

    __slots__ = (
        "name",
        "address",
        "zone",
        "group",
        "leaving",
        "connections",
        "slots",
        "group_size",
        "incarnation",
        "sequence",
        "claims_primary",
    )

    def __init__(
        self,
        name: str,
        address: str,
        zone: str,
        group: str,
        leaving: bool,
        connections: int,
        slots: int,
        group_size: int,
        incarnation: int = 0,
        sequence: int = 0,
        claims_primary: bool = False,
    ) -> None:
        self.name = name
        self.address = address
        self.zone = zone
        self.group = group
        self.leaving = leaving
        self.connections = connections
        self.slots = slots
        self.group_size = group_size
        self.incarnation = incarnation
        self.sequence = sequence
        self.claims_primary = claims_primary

    def differs_from(self, other: Registration) -> bool:
        """Return whether anything but the sequence number differs."""
        return any(
            getattr(self, slot) != getattr(other, slot)
            for slot in self.__slots__
            if slot != "sequence"
        )

    def is_newer_than(self, other: Registration) -> bool:
        """Return whether this announcement was sent after another of the same endpoint."""
        return (self.incarnation, self.sequence) > (other.incarnation, other.sequence)


ALL_FIELDS = frozenset(Registration.__slots__)
REQUIRED_FIELDS = ALL_FIELDS - OPTIONAL_FIELDS


def find_fault(fields: Any) -> str:
    """Return why a registration's fields describe no endpoint, or an empty string if they do."""
    if not isinstance(fields, dict):
        return "its fields are not an object"
    if not (fields.keys() <= ALL_FIELDS and fields.keys() >= REQUIRED_FIELDS):
        return "fields are missing or unknown"
    for name, value in fields.items():
        if not _is_valid(name, value):
            return f"{name} is of another type or out of range"
    return ""


def _is_valid(field: str, value: Any) -> bool:
    if field in INTEGER_RANGES:
        low, high = INTEGER_RANGES[field]
        return is_integer(value) and low <= value <= high
    if field in ("leaving", "claims_primary"):
        return isinstance(value, bool)
    return is_name(value) and (field != "address" or is_ipv4_address(value))


def is_integer(value: Any) -> bool:
    """Return whether a JSON value is a whole number; a boolean is none."""
    return isinstance(value, int) and not isinstance(value, bool)


def is_name(value: Any) -> bool:
    """Return whether a JSON value is a short text without control characters."""
    return isinstance(value, str) and 0 < len(value) <= MAX_NAME_CHARS and value.isprintable()


def is_ipv4_address(address: str) -> bool:
    """Return whether an address is HOST:PORT, with a numeric IPv4 host and a port above 0."""
    host, _, port = address.rpartition(":")
    octets = host.split(".")
    has_host = len(octets) == IPV4_OCTETS and all(_is_decimal(item, MAX_OCTET) for item in octets)
    return has_host and _is_decimal(port, MAX_PORT) and port != "0"


def _is_decimal(text: str, maximum: int) -> bool:
    """Return whether a text is a number up to a maximum, in ASCII digits without leading zeros."""
    if not (text.isascii() and text.isdigit() and len(text) <= len(str(maximum))):
        return False
    return int(text) <= maximum and (text[0] != "0" or text == "0")
