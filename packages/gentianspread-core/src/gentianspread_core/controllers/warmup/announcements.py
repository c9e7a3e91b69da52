"""Which announcements of cold endpoints say something new, and belong in the control log."""

from __future__ import annotations

from typing import Any

from ...blackboard import Board
from ...blackboard.commands import Command, CommandKind
from ...blackboard.registrations import Registration
from ...blackboard.warmups import Warmup

MAX_END_DIFFERENCE_S = 1.0  # announcements of one end differ by their way through the control log


def announced_warmup(
    board: Board, fields: dict[str, Any], remaining_s: float | None
) -> Command | None:
    """Return the command for what an announcement says of its endpoint's warm-up, if it is new.

    `fields` are those of its registration; `remaining_s` is how much longer the endpoint is cold,
    or none if the announcement does not say. A countdown to the known end is not new.
    """
    configuration = board.configuration
    known = configuration.warmups.get(fields["name"])
    if remaining_s is None and known is not None and known.is_doubted:
        remaining_s = 0.0
    if remaining_s is None or not configuration.cold_rate_of(fields["group"]):
        return None
    registration = Registration(**fields)
    name = registration.name
    warmup = Warmup(name, registration.incarnation, registration.sequence, remaining_s, 0)
    registered = configuration.endpoints.get(name)
    if registered is not None and registered.is_newer_than(registration):
        return None
    if known is not None and not warmup.is_newer_than(known):
        return None
    if not _says_something_new(board, warmup, known, registration.zone):
        return None
    values = {
        "name": name,
        "incarnation": warmup.incarnation,
        "sequence": warmup.sequence,
        "remaining_s": remaining_s,
    }
    return Command(CommandKind.ENDPOINT_WARMUP, values)


def endpoints_to_doubt(board: Board) -> dict[str, int]:
    """Return the incarnations of endpoints that count as cold until they announce themselves anew.

    Those that the control log has as doubted already are left out.
    """
    configuration, now = board.configuration, board.clock.now()
    lost = {name: state for name, state in board.warmups.states.items() if now < state.lost_until}
    return {
        name: state.lost_incarnation
        for name, state in lost.items()
        if name not in configuration.warmups or not configuration.warmups[name].is_doubted
    }


def doubt_command(board: Board, name: str, incarnation: int) -> Command | None:
    """Return the command for an endpoint that another VM doubts, or none if it is not needed."""
    configuration = board.configuration
    registered = configuration.endpoints.get(name)
    known = configuration.warmups.get(name)
    if registered is None or registered.incarnation != incarnation:
        return None
    if not configuration.cold_rate_of(registered.group) or (known and known.is_doubted):
        return None
    return Command(CommandKind.ENDPOINT_DOUBTED, {"name": name, "incarnation": incarnation})


def _says_something_new(board: Board, warmup: Warmup, known: Warmup | None, zone: str) -> bool:
    evacuation = board.configuration.evacuations.get(zone)
    known_revision = known.revision if known is not None else 0
    is_over = evacuation is not None and not evacuation.is_active
    if is_over and evacuation.revision > known_revision:
        return True
    if known is not None and known.is_doubted:
        return True
    if known is None or known.incarnation < warmup.incarnation:
        return warmup.remaining_s > 0 or (known is not None and known.remaining_s > 0)
    if warmup.remaining_s == 0 or known.remaining_s == 0:
        return warmup.remaining_s != known.remaining_s
    state = board.warmups.states.get(warmup.name)
    now = board.clock.now()
    known_end = max(now, state.announced_until) if state is not None else now
    return abs(now + warmup.remaining_s - known_end) > MAX_END_DIFFERENCE_S
