"""Callers that write at the VMs of a simulation of promotions."""

from __future__ import annotations

from gentianspread_core.blackboard.sessions import Session, StatementCall

from .fakes.promotion_faults import PromotionFaults


class Caller:
    """A caller's session at a VM; `writes` has the statements of its open transaction."""

    __slots__ = ("vm", "session", "call", "writes")

    def __init__(self, vm: str, session: Session) -> None:
        self.vm = vm
        self.session = session
        self.call: StatementCall | None = None
        self.writes: list[str] = []

    def is_idle(self) -> bool:
        """Return whether it has neither a transaction nor a statement without an answer."""
        is_answered = self.call is None or self.call.answer is not None
        return is_answered and self.session.transaction is None


class Callers:
    """Sessions at each VM, which are opened before any fault."""

    __slots__ = ("simulation", "members", "statement_count")

    def __init__(
        self, simulation: PromotionFaults, vms: tuple[str, ...], sessions_per_vm: int
    ) -> None:
        self.simulation = simulation
        self.statement_count = 0
        self.members = [
            Caller(vm, simulation.open_session_at(vm, "latest"))
            for vm in vms
            for _ in range(sessions_per_vm)
        ]

    def idle_at(self, vm: str) -> Caller | None:
        """Return a caller at a VM that has nothing under way, if there is one."""
        return next((item for item in self.members if item.vm == vm and item.is_idle()), None)

    def write(self, vm: str) -> StatementCall | None:
        """Send a single write, if a caller is idle."""
        caller = self.idle_at(vm)
        if caller is None:
            return None
        return self.send(caller, "WRITE x 1", [f"s{self.statement_count + 1}"])

    def send(self, caller: Caller, text: str, commits: list[str] | None = None) -> StatementCall:
        """Send a statement; `commits` are the writes that it commits."""
        self.statement_count += 1
        statement_id = f"s{self.statement_count}"
        if commits is not None:
            self.simulation.commits[statement_id] = commits
        caller.call = self.simulation.send_text(caller.vm, caller.session, statement_id, text)
        return caller.call

    def check_answered(self, timeout_s: float) -> None:
        """Fail if a statement has had no answer for longer than a time."""
        oldest = self.simulation.clock.now() - timeout_s
        for caller in self.members:
            call = caller.call
            if call is not None and call.answer is None and call.arrived_at < oldest:
                raise AssertionError(f"not answered in time: {call.statement.text}")
