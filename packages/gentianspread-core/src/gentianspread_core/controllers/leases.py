"""Lease controller: knows until when VMs may hand on commits, and which promotions they know of."""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.commands import CommandKind
from ..blackboard.configuration import Group
from ..blackboard.election import Role
from ..blackboard.handedon import HandedOnReport
from ..blackboard.leases import COMMIT_LEASE_S, MAX_LEASE_WAIT_S, CommitLease, Opening
from .configuration import AppliedCommand


class LeaseController:
    """Owns the section of commit leases."""

    __slots__ = ("board",)

    def __init__(self, board: Board) -> None:
        self.board = board

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.LEASE_PASSED_ON: self.on_passed_on,
            Topic.COMMAND_APPLIED: self.on_applied,
            Topic.LEADERSHIP_CHANGED: self.on_leadership,
        }

    def on_passed_on(self, lease: CommitLease) -> None:
        """Store the newest lease of a VM; an earlier one that ends later still counts."""
        leases = self.board.leases
        known = leases.by_vm.get(lease.vm)
        if known is not None:
            lease.expires_at = max(lease.expires_at, known.expires_at)
        leases.by_vm[lease.vm] = lease
        informed = applied_revision(self.board)
        if informed != leases.informed_revision:
            leases.informed_revision = informed
            self.board.changes.post(Topic.VMS_INFORMED, informed)

    def on_applied(self, applied: AppliedCommand) -> None:
        """Note when a promotion of a group begins and ends."""
        command = applied.entry.command
        is_about_term = command.kind in (CommandKind.GRANT_TERM, CommandKind.NAME_PRIMARY)
        if not is_about_term or not applied.outcome.accepted:
            return
        group = self.board.configuration.groups[command.fields["group"]]
        openings = self.board.leases.openings
        if group.granted_term == group.term:
            openings.pop(group.name, None)
        elif group.name not in openings or openings[group.name].after_term != group.term:
            opening = Opening(applied.entry.index, self.board.clock.now(), group.term)
            openings[group.name] = opening

    def on_leadership(self, _entry: None) -> None:
        """Find the promotions that a snapshot holds; leases of earlier leaders are not known."""
        if self.board.election.role is not Role.LEADER:
            return
        now, configuration = self.board.clock.now(), self.board.configuration
        leases = self.board.leases
        leases.complete_at = max(leases.complete_at, now + MAX_LEASE_WAIT_S)
        leases.unreported_until = max(leases.unreported_until, leases.complete_at)
        leases.informed_revision = 0
        for group in configuration.groups.values():
            opening = leases.openings.get(group.name)
            if group.granted_term == group.term:
                leases.openings.pop(group.name, None)
            elif opening is None or opening.after_term != group.term:
                opening = Opening(configuration.revision, now, group.term)
                leases.openings[group.name] = opening


def applied_revision(board: Board) -> int:
    """Return the revision that this VM and all with a lease from it have applied, 0 if unknown."""
    now = board.clock.now()
    if now < board.leases.complete_at:
        return 0
    oldest = board.leases.oldest_applied(now)
    revision = board.configuration.revision
    return revision if oldest is None else min(oldest, revision)


def every_vm_knows(board: Board, group: str) -> bool:
    """Return whether no VM can hand on a commit without knowing of a group's promotion.

    Each VM has said that it applied the grant, or its last lease without it has expired. To be
    called on the control leader.
    """
    leases = board.leases
    opening = leases.openings.get(group)
    if opening is None:
        return False
    is_expired = board.clock.now() >= opening.opened_at + MAX_LEASE_WAIT_S
    informed = leases.informed_revision if leases.by_vm else applied_revision(board)
    return is_expired or informed >= opening.revision


def handed_on_report(board: Board, group: Group) -> HandedOnReport:
    """Return what this VM, and all that have or had a lease from it, handed on in a group.

    A VM that has not said so since the promotion began may hand on commits until its lease expires.
    """
    own, leases = board.handed_on, board.leases
    report = HandedOnReport(
        group.term,
        own.positions.get(group.name),
        own.unknown_until.get(group.name, board.started_at),
        own.passed.get(group.name),
    )
    report.add_unreported(leases.unreported_until)
    for lease in leases.by_vm.values():
        received = lease.reports.get(group.name)
        if received is None or received.after_term != group.term:
            report.add_unreported(lease.expires_at)
        else:
            report.add_positions(received.position, received.passed)
            report.add_unreported(received.unreported_until)
    return report


def handed_on_reports(board: Board) -> dict[str, HandedOnReport]:
    """Return the reports on the groups whose promotion is under way, by group.

    This VM hands on no commits of these groups until it knows the end of the promotion.
    """
    return {
        group.name: handed_on_report(board, group)
        for group in board.configuration.groups.values()
        if group.counts_own_terms and group.granted_term != group.term
    }


def has_recent_opening(board: Board) -> bool:
    """Return whether a promotion may be waiting for this VM's report of what it has applied."""
    passes_on = board.settings.has_disk or board.settings.registers_diskless_members
    since = board.clock.now() - COMMIT_LEASE_S
    return passes_on and any(item.opened_at > since for item in board.leases.openings.values())
