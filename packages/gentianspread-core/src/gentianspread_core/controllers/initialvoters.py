"""The voters of the first start, as far as a VM's disk and settings show them."""

from __future__ import annotations

from ..blackboard import Board
from ..blackboard.log import FOUNDING_INCARNATION, RecoveredLog
from ..blackboard.timeline import EventKind


def find_initial_voters(board: Board, recovered: RecoveredLog) -> tuple[str, ...]:
    """Return the initial voters that the disk records or, if it is of an older build, implies.

    Before the first list of voters was in the log, only initial voters had entries.
    """
    if recovered.initial_voters:
        return recovered.initial_voters
    settings = board.settings
    is_founding_log = bool(recovered.entries) and not recovered.has_voters()
    is_founder = recovered.incarnation == FOUNDING_INCARNATION
    if not (settings.member in settings.seeds and is_founding_log and is_founder):
        return ()
    board.timeline.record(
        EventKind.VOTERS_ASSUMED,
        settings.member,
        "the control log has entries but no voters; the seeds were the voters of the first start",
        voters=settings.seeds,
    )
    return tuple(settings.seeds)


def report_unknown_voters(board: Board) -> None:
    """Report a VM that was at the first start but knows no voters, and so cannot vote."""
    log = board.log
    was_used = bool(log.entries) or log.incarnation == FOUNDING_INCARNATION
    if board.settings.has_disk and was_used and not log.voters:
        board.timeline.record(
            EventKind.VOTERS_UNKNOWN,
            board.settings.member,
            "the disk names no voters of the control log; this VM waits until another VM does."
            " If none does, list this VM among the seeds, or empty the data folders of all VMs"
            " and start the fleet for the first time",
            last_index=log.last_index(),
        )
