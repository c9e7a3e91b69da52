"""Model of the evacuations of a fuzzed fleet: which state of a zone the acknowledgements allow."""

from __future__ import annotations

from gentianspread_core.blackboard.commands import ChangeOutcome, CommandKind
from gentianspread_core.blackboard.configuration import Configuration

from .fakes import FakeVM, Simulation

ZONES = ("z1", "z2", "z3")
STEP_S = 0.01
OUTCOME_S = 1.0  # by then a command has its outcome, unless the leader has failed


class SentEvacuation:
    """A command; `outcomes` gets its outcome once it is sent, or none if that is unknown.

    It is based on what a VM knew at `requested_at`. Times are in seconds of the simulation;
    `resolved_at` is when the outcome was first seen.
    """

    __slots__ = ("zone", "begins", "expected", "requested_at", "sent_at", "outcomes", "resolved_at")

    def __init__(self, zone: str, begins: bool, expected: int, requested_at: float) -> None:
        self.zone = zone
        self.begins = begins
        self.expected = expected
        self.requested_at = requested_at
        self.sent_at = float("inf")
        self.outcomes: list[ChangeOutcome | None] = []
        self.resolved_at = float("inf")

    def is_known(self) -> bool:
        """Return whether the outcome is known."""
        return bool(self.outcomes) and self.outcomes[0] is not None

    def is_accepted(self) -> bool:
        """Return whether the command was acknowledged."""
        return self.is_known() and self.outcomes[0].accepted

    def may_undo(self, other: SentEvacuation) -> bool:
        """Return whether this may have taken effect after an acknowledged command of its zone."""
        if self.zone != other.zone or self.begins is other.begins:
            return False
        was_rejected = self.is_known() and not self.is_accepted()
        was_before = self.resolved_at < other.requested_at
        is_delayed = self.requested_at < other.requested_at and self.sent_at > other.resolved_at
        return not (was_rejected or was_before or is_delayed)


class EvacuationHistory:
    """Sends commands with the revisions that VMs know, and checks what must be in force."""

    __slots__ = ("simulation", "sent")

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.sent: list[SentEvacuation] = []

    def request(self, vm: FakeVM, zone: str, begins: bool) -> None:
        """Propose a command based on what a VM knows, which may be old."""
        self._send(self._new_command(vm, zone, begins))

    def overtake(self, vm: FakeVM, zone: str, begins: bool) -> None:
        """Propose a command and then the opposite one, which was requested before it.

        If there is a leader then, check that what it has is in force.
        """
        older = self._new_command(vm, zone, not begins)
        self.simulation.run(STEP_S)
        self.request(vm, zone, begins)
        self.simulation.run(OUTCOME_S)
        self.observe()
        self.simulation.run(STEP_S)
        self._send(older)
        self.simulation.run(OUTCOME_S)
        self.observe()
        leader = self.simulation.leader()
        if leader is not None and leader.board.is_fresh():
            self.check(leader.board.configuration)

    def _new_command(self, vm: FakeVM, zone: str, begins: bool) -> SentEvacuation:
        expected = vm.board.configuration.evacuation_revision(zone)
        return SentEvacuation(zone, begins, expected, self.simulation.clock.now())

    def _send(self, command: SentEvacuation) -> None:
        kind = CommandKind.BEGIN_EVACUATION if command.begins else CommandKind.FINISH_EVACUATION
        fields = {"zone": command.zone, "expected_revision": command.expected}
        command.sent_at = self.simulation.clock.now()
        command.outcomes = self.simulation.propose_change(kind, fields)
        self.sent.append(command)

    def observe(self) -> None:
        """Record when outcomes became known."""
        for item in self.sent:
            if item.is_known() and item.resolved_at == float("inf"):
                item.resolved_at = self.simulation.clock.now()

    def check(self, configuration: Configuration) -> None:
        """Check that each acknowledged command that nothing may have undone is in force."""
        for item in self.sent:
            if not item.is_accepted() or any(other.may_undo(item) for other in self.sent):
                continue
            is_active = configuration.is_evacuated(item.zone)
            what = "evacuation" if item.begins else "end of the evacuation"
            assert is_active is item.begins, f"an acknowledged {what} of {item.zone} was lost"
