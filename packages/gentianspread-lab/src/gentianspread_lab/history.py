"""History of a fuzzing run: sessions, sent requests, and the checks of state across all VMs."""

from __future__ import annotations

import hashlib
import json

from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.configuration import to_snapshot
from gentianspread_core.blackboard.election import Role
from gentianspread_core.blackboard.requests import Request
from gentianspread_core.positions import SessionToken

from .fakes import FakeVM, Simulation
from .fakes.simulation import WORKSPACE


class Session:
    """A session: its token, the values of its acknowledged writes, and its pending requests."""

    __slots__ = ("token", "acknowledged", "pending")

    def __init__(self) -> None:
        self.token: SessionToken | None = None
        self.acknowledged: set[str] = set()
        self.pending: list[SentRequest] = []


class SentRequest:
    """A request that was sent; `expected` holds its session's acknowledged values at that time."""

    __slots__ = ("request", "values", "expected", "key_withdrawn_at")

    def __init__(
        self, request: Request, values: list[str], expected: set[str], key_withdrawn_at: float
    ) -> None:
        self.request = request
        self.values = values
        self.expected = expected
        self.key_withdrawn_at = key_withdrawn_at


class SentCommit:
    """A commit that was sent: its transaction, its request id if any, and the written values."""

    __slots__ = ("transaction", "request_id", "values")

    def __init__(self, transaction: str, request_id: str | None, values: list[str]) -> None:
        self.transaction = transaction
        self.request_id = request_id
        self.values = values


class HistoryChecker:
    """Records and checks, across all VMs, states by revision, leaders by term, and permits.

    `last_revisions` is by VM name and incarnation; `permitted_at` holds the time, in seconds, of
    each permitted request.
    """

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.state_digests: dict[int, str] = {}
        self.leaders_by_term: dict[int, str] = {}
        self.last_revisions: dict[tuple[str, int], int] = {}
        self.permitted_at: list[float] = []
        self._subscribed: set[tuple[str, int]] = set()

    def check_vms(self) -> None:
        """Fail if two VMs disagree, or if one reverted to an older revision."""
        for vm in self.simulation.vms.values():
            if vm.alive:
                self._subscribe_to_permits(vm)
                self._check_vm(vm)

    def check_rate_limit(self, rate: float, burst: float) -> None:
        """Fail if in any window more requests were permitted than rate and burst allow."""
        level = 0.0
        last = self.permitted_at[0] if self.permitted_at else 0.0
        for moment in self.permitted_at:
            level = max(0.0, level - (moment - last) * rate) + 1.0
            last = moment
            assert level <= burst + 1e-6, f"{level} requests at {moment} exceed {burst}"

    def _check_vm(self, vm: FakeVM) -> None:
        configuration = vm.board.configuration
        key = (vm.name, vm.incarnation)
        revision = configuration.revision
        assert revision >= self.last_revisions.get(key, 0), f"{vm.name} reverted to {revision}"
        if revision != self.last_revisions.get(key, 0):
            self.last_revisions[key] = revision
            digest = _digest(to_snapshot(configuration))
            known = self.state_digests.setdefault(revision, digest)
            assert known == digest, f"two states at revision {revision}"
        election = vm.board.election
        if election.role is Role.LEADER:
            leader = self.leaders_by_term.setdefault(election.term, vm.name)
            assert leader == vm.name, f"two leaders in term {election.term}"
        violations = vm.engine.invariants.violations
        assert not violations, f"{vm.name}: {violations}"

    def _subscribe_to_permits(self, vm: FakeVM) -> None:
        key = (vm.name, vm.incarnation)
        if key in self._subscribed:
            return
        self._subscribed.add(key)
        vm.board.changes.subscribe(Topic.REQUEST_PERMITTED, self._record_permit)

    def _record_permit(self, request: Request) -> None:
        if request.workspace == WORKSPACE:
            self.permitted_at.append(self.simulation.clock.now())


def _digest(snapshot: dict) -> str:
    return hashlib.sha256(json.dumps(snapshot, sort_keys=True).encode()).hexdigest()
