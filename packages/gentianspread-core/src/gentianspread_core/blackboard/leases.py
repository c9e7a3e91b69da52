"""Section of commit leases: how long VMs may hand on successes; owned by the lease controller.

A VM may tell a caller that a commit succeeded only for `COMMIT_LEASE_S` after a quorum confirmed
its configuration, and only if that shows no promotion of the group under way. So once a promotion's
term is granted, each VM either knows of it or holds a lease that soon expires.
"""

from __future__ import annotations

from .handedon import HandedOnReport

# Confirmations are at most 0.6 s apart in calm, and a new control leader is elected within this
# time; an unreachable VM delays a promotion by as much.
COMMIT_LEASE_S = 1.5
LEASE_MARGIN_S = 0.05  # clocks may run at slightly different rates
MAX_LEASE_WAIT_S = COMMIT_LEASE_S + LEASE_MARGIN_S  # until a lease of another VM has expired


class CommitLease:
    """A confirmation that this VM passed on to another one.

    `applied_revision` is what the other VM, and all that have a lease from it, are known to have
    applied; `expires_at` is in seconds of this VM's clock. `reports` has what they handed on, by
    group whose promotion was under way to the VM's knowledge.
    """

    __slots__ = ("vm", "applied_revision", "expires_at", "reports")

    def __init__(
        self,
        vm: str,
        applied_revision: int,
        expires_at: float,
        reports: dict[str, HandedOnReport] | None = None,
    ) -> None:
        self.vm = vm
        self.applied_revision = applied_revision
        self.expires_at = expires_at
        self.reports = reports or {}


class Opening:
    """The first grant of a term since a group last got its primary.

    `revision` is its index in the control log, `opened_at` when this VM applied it, in seconds of
    its clock: never before the entry was committed. `after_term` is the group's term before the
    promotion; a snapshot may skip the end of one and the beginning of the next.
    """

    __slots__ = ("revision", "opened_at", "after_term")

    def __init__(self, revision: int, opened_at: float, after_term: int) -> None:
        self.revision = revision
        self.opened_at = opened_at
        self.after_term = after_term


class CommitLeases:
    """Leases by VM, and openings by group while a promotion is under way.

    `complete_at` is when every lease that this VM does not know of, as it passed it on before its
    last start or another leader did, has expired, in seconds of its clock. `informed_revision` is
    what every VM was known to have applied when the last lease was passed on. `unreported_until` is
    until when VMs may have handed on commits of which no VM in `by_vm` tells.
    """

    __slots__ = ("by_vm", "openings", "complete_at", "informed_revision", "unreported_until")

    def __init__(self, complete_at: float) -> None:
        self.by_vm: dict[str, CommitLease] = {}
        self.openings: dict[str, Opening] = {}
        self.complete_at = complete_at
        self.informed_revision = 0
        self.unreported_until = complete_at

    def oldest_applied(self, now: float) -> int | None:
        """Return the lowest revision that a VM with a lease has applied; none without leases."""
        for vm in [name for name, lease in self.by_vm.items() if lease.expires_at < now]:
            self.unreported_until = max(self.unreported_until, self.by_vm.pop(vm).expires_at)
        return min((lease.applied_revision for lease in self.by_vm.values()), default=None)
