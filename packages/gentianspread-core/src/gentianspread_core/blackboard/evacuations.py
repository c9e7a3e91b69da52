"""Section of the evacuated availability zones as this VM acts on them.

Owned by the evacuation controller. That a zone is evacuated is in the configuration; this section
has until when this VM still sends requests there.
"""

from __future__ import annotations


class ZoneEvacuation:
    """An evacuation in force; times are in seconds of this VM's clock.

    `revision` is that of the configuration at which the evacuation began. The evacuation was
    acknowledged no earlier than `began_after`, the last confirmation of a configuration in which
    the zone was not evacuated; it is minus infinity if this VM had none. `learned_at` is when this
    VM learned of the evacuation. Open transactions end at `transactions_end_at`; the last request
    is sent before `requests_end_at`, so that it reaches its endpoint before `bound_ends_at`.
    """

    __slots__ = (
        "zone",
        "revision",
        "began_after",
        "learned_at",
        "transactions_end_at",
        "requests_end_at",
        "bound_ends_at",
    )

    def __init__(
        self,
        zone: str,
        revision: int,
        began_after: float,
        learned_at: float,
        transactions_end_at: float,
        requests_end_at: float,
        bound_ends_at: float,
    ) -> None:
        self.zone = zone
        self.revision = revision
        self.began_after = began_after
        self.learned_at = learned_at
        self.transactions_end_at = transactions_end_at
        self.requests_end_at = requests_end_at
        self.bound_ends_at = bound_ends_at


class Evacuations:
    """The evacuations in force by zone, and counts of what they ended on this VM."""

    __slots__ = ("by_zone", "ended_transactions", "refused_requests")

    def __init__(self) -> None:
        self.by_zone: dict[str, ZoneEvacuation] = {}
        self.ended_transactions = 0
        self.refused_requests = 0

    def is_past_bound(self, zone: str, now: float) -> bool:
        """Return whether no request may reach the zone's endpoints any more."""
        evacuation = self.by_zone.get(zone)
        return evacuation is not None and now >= evacuation.bound_ends_at
