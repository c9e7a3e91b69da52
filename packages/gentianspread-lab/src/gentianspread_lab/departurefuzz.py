"""Property-based test of slow departures: python -m gentianspread_lab.departurefuzz --seed=1.

Besides the faults of `promotionfuzz`, replicas that leave run on after their deregistration or
while connections to them are refused, and end although no other replica has what they confirmed.
Replicas also crash beside the primary with the only other copy of the last commit, and start again
empty. Transactions that wrote nothing commit wherever they began, and no VM may take an answer to
them, or any other, for a position of the primary that lacks an acknowledged write.
"""

from __future__ import annotations

import sys
import time

from absl import app, flags
from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule

from .fakes.observation_checks import find_stale_observations
from .promotionfuzz import (
    ENDPOINT_INDEXES,
    MAX_ENDPOINTS,
    MIN_STAYING,
    TRANSACTION_PAUSE_S,
    VMS,
    ZONES,
    PromotionMachine,
)
from .soak import soak


class DepartureMachine(PromotionMachine):
    """Adds replicas that leave slowly to the faults around promotions."""

    @rule(vm=VMS)
    def begin_reading(self, vm: str) -> None:
        """Read in a plain transaction that stays open and writes nothing."""
        caller = self.callers.idle_at(vm)
        if caller is None:
            return
        self.callers.send(caller, "BEGIN")
        self._run(TRANSACTION_PAUSE_S)
        if not caller.is_idle() and caller.call.answer is not None:
            self.callers.send(caller, "READ x")
            self._run(TRANSACTION_PAUSE_S)
        caller.writes = []
        self.transactions.append(caller)

    @rule(index=ENDPOINT_INDEXES)
    def refuse(self, index: int) -> None:
        """Let a leaving replica refuse connections while it runs."""
        name = self._endpoint(index)
        if name != self.simulation.last_leader and self.simulation.is_announced_as_leaving(name):
            self.simulation.refusing_endpoints.add(name)

    @rule(
        index=ENDPOINT_INDEXES,
        refuses=st.booleans(),
        deregisters=st.booleans(),
        lingers_s=st.sampled_from([0.0, 1.0, 3.0]),
        is_deaf_after_s=st.sampled_from([None, 0.1, 0.6, 1.5]),
        fault=st.sampled_from(["crash_primary", "cut_primary_from_control", "leave_as_primary"]),
        vm=st.none() | VMS,
    )
    def leave_before_failover(
        self,
        index: int,
        refuses: bool,
        deregisters: bool,
        lingers_s: float,
        is_deaf_after_s: float | None,
        fault: str,
        vm: str | None,
    ) -> None:
        """Let a replica leave and end, and the others fall behind, before the primary is lost."""
        simulation = self.simulation
        if len(simulation.staying()) <= MIN_STAYING and len(simulation.endpoints) < MAX_ENDPOINTS:
            simulation.add_replica(ZONES[0], 0.0)
            self._run(0.5)
        name = self._endpoint(index)
        staying = simulation.staying()
        is_leader = name == simulation.last_leader
        if is_leader or name not in staying or len(staying) <= MIN_STAYING:
            return
        simulation.leave(name)
        self._run(0.3)
        if not simulation.is_announced_as_leaving(name) or name in simulation.ending:
            return
        if refuses:
            simulation.refusing_endpoints.add(name)
            self._run(1.5)
        simulation.terminate(name, deregisters, lingers_s, False, needs_copy=False)
        if is_deaf_after_s is not None:
            self._run(min(is_deaf_after_s, lingers_s))
            for other in simulation.endpoints:
                if other not in (name, simulation.last_leader):
                    simulation.receive(other, False)
        self._run(lingers_s + 0.1)
        if vm is not None:
            self.cut_vm(vm, reaches_primary=False)
        getattr(self, fault)()
        self._run(1.0)

    @rule(
        index=ENDPOINT_INDEXES,
        first=VMS,
        second=VMS,
        apart_s=st.sampled_from([0.0, 0.01, 0.03, 0.2]),
        leaves=st.booleans(),
        down_s=st.sampled_from([0.1, 0.5, 2.0, 8.0]),
        announced_after_s=st.sampled_from([0.0, 0.5]),
    )
    def lose_confirming_replica(
        self,
        index: int,
        first: str,
        second: str,
        apart_s: float,
        leaves: bool,
        down_s: float,
        announced_after_s: float,
    ) -> None:
        """Let two VMs commit, and the only replica that confirmed the second end with the primary.

        It may have been deregistered a while before; otherwise it starts again with an empty log.
        """
        simulation = self.simulation
        self.end_faults()
        leader, name = simulation.last_leader, self._endpoint(index)
        is_spare = len(simulation.staying()) > MIN_STAYING or not leaves
        if name == leader or name not in simulation.staying() or not is_spare:
            return
        if leaves:
            simulation.leave(name)
            self._run(0.3)
            simulation.terminate(name, True, 1.5, False, needs_copy=False)
            self._run(1.0)
        self.callers.write(first)
        simulation.run(apart_s)
        for other in simulation.endpoints:
            if other not in (name, leader):
                simulation.receive(other, False)
        self.callers.write(second)
        simulation.run(0.02)
        simulation.crash(leader)
        if not leaves:
            simulation.crash(name, needs_copy=False)
        self._run(down_s)
        if simulation.may_start(name):
            simulation.start(name, announced_after_s)
        self._run(1.0)

    @invariant()
    def check_observations(self) -> None:
        """Check that no VM takes a position for the primary's that lacks an acknowledged write."""
        stale = find_stale_observations(self.simulation, newest_only=True)
        assert not stale, stale

    def _heal(self) -> None:
        super()._heal()
        self.simulation.refusing_endpoints.clear()


def main(_arguments: list[str]) -> None:
    """Run the state machine and print its result; exit with 1 if a rule was violated."""
    values = flags.FLAGS
    started = time.monotonic()
    print(f"seed {values.seed}, {values.steps} steps")
    try:
        soak(values.seed, values.steps, machine=DepartureMachine)
    except AssertionError as error:
        print(f"BROKEN with seed {values.seed}: {error}")
        sys.exit(1)
    print(f"no rule was broken in {time.monotonic() - started:.0f} s")


if __name__ == "__main__":
    app.run(main)
