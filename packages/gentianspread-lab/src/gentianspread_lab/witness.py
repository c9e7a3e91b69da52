"""What the fuzzing notes: sessions, sent requests, and what was seen across all VMs."""

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
    """A session: its token and the values it was told are written."""

    __slots__ = ("token", "acknowledged", "pending")

    def __init__(self) -> None:
        self.token: SessionToken | None = None
        self.acknowledged: set[str] = set()
        self.pending: list[Sent] = []


class Sent:
    """A request that was sent, with what its session had been told by then."""

    __slots__ = ("request", "values", "expected", "key_withdrawn_at")

    def __init__(
        self, request: Request, values: list[str], expected: set[str], key_withdrawn_at: float
    ) -> None:
        self.request = request
        self.values = values
        self.expected = expected
        self.key_withdrawn_at = key_withdrawn_at


class Commit:
    """A commit that was sent: its transaction, its id if it has one, and what it writes."""

    __slots__ = ("transaction", "request_id", "values")

    def __init__(self, transaction: str, request_id: str | None, values: list[str]) -> None:
        self.transaction = transaction
        self.request_id = request_id
        self.values = values


class Witness:
    """What was seen across all VMs: states by revision, leaders by term, permits by time."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.states: dict[int, str] = {}
        self.leaders: dict[int, str] = {}
        self.revisions: dict[tuple[str, int], int] = {}
        self.permits: list[float] = []
        self._watched: set[tuple[str, int]] = set()

    def look(self) -> None:
        """Look at every VM; fail if two disagree or one went back."""
        for vm in self.simulation.vms.values():
            if vm.alive:
                self._watch_permits(vm)
                self._look_at(vm)

    def check_limit(self, rate: float, burst: float) -> None:
        """Fail if in any window more requests were permitted than rate and burst allow."""
        level = 0.0
        last = self.permits[0] if self.permits else 0.0
        for moment in self.permits:
            level = max(0.0, level - (moment - last) * rate) + 1.0
            last = moment
            assert level <= burst + 1e-6, f"{level} requests at {moment} against {burst}"

    def _look_at(self, vm: FakeVM) -> None:
        configuration = vm.board.configuration
        key = (vm.name, vm.incarnation)
        revision = configuration.revision
        assert revision >= self.revisions.get(key, 0), f"{vm.name} went back to {revision}"
        if revision != self.revisions.get(key, 0):
            self.revisions[key] = revision
            digest = _digest(to_snapshot(configuration))
            known = self.states.setdefault(revision, digest)
            assert known == digest, f"two states at revision {revision}"
        election = vm.board.election
        if election.role is Role.LEADER:
            leader = self.leaders.setdefault(election.term, vm.name)
            assert leader == vm.name, f"two leaders in term {election.term}"
        violations = vm.engine.invariants.violations
        assert not violations, f"{vm.name}: {violations}"

    def _watch_permits(self, vm: FakeVM) -> None:
        key = (vm.name, vm.incarnation)
        if key in self._watched:
            return
        self._watched.add(key)
        vm.board.changes.subscribe(Topic.REQUEST_PERMITTED, self._note_permit)

    def _note_permit(self, request: Request) -> None:
        if request.workspace == WORKSPACE:
            self.permits.append(self.simulation.clock.now())


def _digest(snapshot: dict) -> str:
    return hashlib.sha256(json.dumps(snapshot, sort_keys=True).encode()).hexdigest()
