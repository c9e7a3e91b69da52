"""Checks of what VMs take for the positions of the primary, in the simulation of promotions."""

from __future__ import annotations

from .promotion_simulation import PromotionSimulation
from .session_simulation import GROUP


def find_stale_observations(
    simulation: PromotionSimulation, newest_only: bool = False
) -> list[str]:
    """Return the observations that lack a write acknowledged before they were taken."""
    leading = [item for item in simulation.endpoints.values() if item.is_primary]
    if not leading:
        return []
    lengths = {write: index + 1 for index, write in enumerate(leading[0].log)}
    acknowledged = [
        (at, lengths[write]) for write, at in simulation.acknowledged.items() if write in lengths
    ]
    stale: list[str] = []
    for board in simulation.boards:
        known = list(board.observations.by_group.get(GROUP, ()))
        for item in known[-1:] if newest_only else known:
            needed = max((length for at, length in acknowledged if at < item.taken_at), default=0)
            if item.position.index < needed:
                member = board.settings.member
                stale.append(f"{member} has {item.position} from {item.source}, not {needed}")
    return stale
