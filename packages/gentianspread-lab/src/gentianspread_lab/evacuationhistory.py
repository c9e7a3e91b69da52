"""Model of the evacuations of a fuzzed fleet: which state of a zone the acknowledgements allow."""

from __future__ import annotations

from gentianspread_core.blackboard.commands import ChangeOutcome, CommandKind
from gentianspread_core.blackboard.configuration import Configuration

from .fakes import FakeVM, Simulation

ZONES = ("z1", "z2", "z3")


class SentEvacuation:
    """A command as it was proposed; `outcomes` gets its outcome, or none if that is unknown.

    `resolved_at` is when the outcome was first seen, in seconds of the simulation.
    """

    __slots__ = ("zone", "begins", "sent_at", "outcomes", "resolved_at")

    def __init__(
        self, zone: str, begins: bool, sent_at: float, outcomes: list[ChangeOutcome | None]
    ) -> None:
        self.zone = zone
        self.begins = begins
        self.sent_at = sent_at
        self.outcomes = outcomes
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
        return not was_rejected and not self.resolved_at < other.sent_at


class EvacuationHistory:
    """Sends commands with the revisions that VMs know, and checks what must be in force."""

    __slots__ = ("simulation", "sent")

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.sent: list[SentEvacuation] = []

    def send(self, vm: FakeVM, zone: str, begins: bool) -> None:
        """Propose a command based on what a VM knows, which may be old."""
        kind = CommandKind.BEGIN_EVACUATION if begins else CommandKind.FINISH_EVACUATION
        expected = vm.board.configuration.evacuation_revision(zone)
        fields = {"zone": zone, "expected_revision": expected}
        now = self.simulation.clock.now()
        outcomes = self.simulation.propose_change(kind, fields)
        self.sent.append(SentEvacuation(zone, begins, now, outcomes))

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
