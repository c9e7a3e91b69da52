"""Stateful property-based test of promotions: python -m gentianspread_lab.promotionfuzz --seed=1.

Callers commit at several VMs while endpoints, links, commands, promote calls, zones and the control
leader fail. No commit that a caller was told of may be missing at an endpoint that leads later.

What the tests assume: the endpoint that led last keeps its log, whatever happens to it; any other
endpoint that ends loses its own, and ends only while another replica has every acknowledged write.
A replica that an open promote call names is not started again with an empty log before the call is
settled, since no VM can call it back. At least three endpoints stay, and one zone at a time is
evacuated. The control leader is replaced by one that knows only the control log.
"""

from __future__ import annotations

import sys
import time

from absl import app, flags
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.outbox import EndpointCommandKind
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from .fakes.promotion_faults import CommandFate, PromotionFaults
from .fakes.session_simulation import GROUP
from .promotioncallers import Caller, Callers
from .soak import soak

VM_NAMES = ("h1", "h2", "h3")
ZONES = ("z1", "z2", "z3")
MAX_ENDPOINTS = 9
MIN_STAYING = 3
STATEMENT_TIMEOUT_S = 1.0  # the timeout of the simulation's routes
ANSWER_MARGIN_S = 0.1
SESSIONS_PER_VM = 40  # opened before the faults, as opening one waits for the control leader
MAX_LATE_S = 4.0
RECOVERY_TIME_S = 15.0
SETTLING_TIME_S = 0.2
CALM_S = 2.0
WRITE_INTERVAL_S = 0.05
WRITE_TIMEOUT_S = 2.0
TRANSACTION_PAUSE_S = 0.03

VMS = st.sampled_from(VM_NAMES)
FAILOVER_REASONS = ("cut_primary_from_control", "crash_primary", "leave_as_primary")
AFTER_CALL = ("join", "restart_replica", "replace_control_leader", "join_endpoints_to_control")
ENDPOINT_INDEXES = st.integers(0, MAX_ENDPOINTS - 1)
LATENESS = st.sampled_from([0.2, 1.0, 2.0, MAX_LATE_S])
ANNOUNCEMENT_DELAYS = st.sampled_from([0.0, 0.5, 3.0, None])


class PromotionMachine(RuleBasedStateMachine):
    """Runs commits and faults in any order, then ends all faults and checks the recovery."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = PromotionFaults()
        self.callers = Callers(self.simulation, VM_NAMES, SESSIONS_PER_VM)
        self.transactions: list[Caller] = []
        self.evacuated: str | None = None
        self.next_write_at = 0.0
        self.simulation.run(SETTLING_TIME_S)

    @rule(vm=VMS, count=st.integers(1, 3), seconds=st.sampled_from([0.0, 0.02, 0.3]))
    def write(self, vm: str, count: int, seconds: float) -> None:
        """Send single writes of several callers."""
        for _ in range(count):
            self.callers.write(vm)
        self._run(seconds)

    @rule(vm=VMS)
    def begin(self, vm: str) -> None:
        """Write twice in a transaction that stays open."""
        caller = self.callers.idle_at(vm)
        if caller is None:
            return
        self.callers.send(caller, "BEGIN")
        self._run(TRANSACTION_PAUSE_S)
        caller.writes = []
        for _ in range(2):
            if not caller.is_idle() and caller.call.answer is not None:
                caller.writes.append(self.callers.send(caller, "WRITE x 1").statement.statement_id)
                self._run(TRANSACTION_PAUSE_S)
        self.transactions.append(caller)

    @rule(seconds=st.sampled_from([0.0, 0.02, 0.3]))
    def commit(self, seconds: float) -> None:
        """Commit the oldest open transaction."""
        if self.transactions:
            caller = self.transactions.pop(0)
            if not caller.is_idle() and caller.call.answer is not None:
                self.callers.send(caller, "COMMIT", caller.writes)
                self._run(seconds)

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.5, 1.6]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self._run(seconds)

    @rule()
    def wait_for_call(self) -> None:
        """Let time pass until the next promote call was made."""
        known = len(self.simulation.promotions)
        for _ in range(60):
            if len(self.simulation.promotions) > known:
                return
            self._run(0.05)

    @rule(
        reason=st.sampled_from(FAILOVER_REASONS), fault=st.sampled_from(AFTER_CALL), data=st.data()
    )
    def fail_over(self, reason: str, fault: str, data: st.DataObject) -> None:
        """Cause a promotion from a calm state, and let a fault follow its call."""
        self.end_faults()
        self.simulation.receive(
            self._endpoint(data.draw(ENDPOINT_INDEXES)), data.draw(st.booleans())
        )
        vm = data.draw(VMS)
        link = data.draw(st.sampled_from(["whole", "cut", "slow"]))
        if link == "cut":
            self.cut_vm(vm, reaches_primary=True)
        self.delay_polls(vm, 1.2 if link == "slow" else 0.0)
        if data.draw(st.booleans()):
            fate = data.draw(st.sampled_from(CommandFate))
            self.lose_answers(EndpointCommandKind.PROMOTE, fate, data.draw(LATENESS), 1)
        self._run(data.draw(st.sampled_from([0.2, 1.0])))
        getattr(self, reason)()
        self.wait_for_call()
        if fault == "join":
            self.join(data.draw(st.sampled_from(ZONES)), data.draw(ANNOUNCEMENT_DELAYS))
        elif fault == "restart_replica":
            self.restart_replica(data.draw(ENDPOINT_INDEXES), data.draw(ANNOUNCEMENT_DELAYS))
        elif fault == "replace_control_leader":
            self.replace_control_leader(data.draw(st.sampled_from([0.0, 0.1, 1.0])))
        else:
            getattr(self, fault)()
        self._run(data.draw(st.sampled_from([0.2, 0.5, 2.0])))

    @rule()
    def end_faults(self) -> None:
        """End the faults, and let two seconds pass."""
        self._heal()
        self._start_endpoints()
        self._run(CALM_S)

    @rule(zone=st.sampled_from(ZONES), announced_after_s=ANNOUNCEMENT_DELAYS)
    def join(self, zone: str, announced_after_s: float | None) -> None:
        """Add a replica."""
        if len(self.simulation.endpoints) < MAX_ENDPOINTS:
            self.simulation.add_replica(zone, announced_after_s)

    @rule(index=ENDPOINT_INDEXES)
    def crash(self, index: int) -> None:
        """End an endpoint's process."""
        self.simulation.crash(self._endpoint(index))

    @rule()
    def crash_primary(self) -> None:
        """End the process of the endpoint that led last."""
        self.simulation.crash(self.simulation.last_leader)

    @rule(index=ENDPOINT_INDEXES, announced_after_s=ANNOUNCEMENT_DELAYS)
    def start(self, index: int, announced_after_s: float | None) -> None:
        """Start an ended endpoint, the next one after an index."""
        count = len(self.simulation.endpoints)
        for offset in range(count):
            name = self._endpoint(index + offset)
            if self.simulation.may_start(name):
                self.simulation.start(name, announced_after_s)
                return

    @rule(index=ENDPOINT_INDEXES, announced_after_s=ANNOUNCEMENT_DELAYS)
    def restart_replica(self, index: int, announced_after_s: float | None) -> None:
        """Start a running replica again, with an empty log."""
        name = self._endpoint(index)
        if name != self.simulation.last_leader and self.simulation.endpoints[name].alive:
            self.simulation.crash(name)
            if self.simulation.may_start(name):
                self.simulation.start(name, announced_after_s)

    @rule(index=ENDPOINT_INDEXES)
    def leave(self, index: int) -> None:
        """Have an endpoint announce that it leaves."""
        name = self._endpoint(index)
        staying = self.simulation.staying()
        if name in staying and len(staying) > MIN_STAYING:
            self.simulation.leave(name)

    @rule()
    def leave_as_primary(self) -> None:
        """Have the endpoint that led last announce that it leaves."""
        staying = self.simulation.staying()
        if self.simulation.last_leader in staying and len(staying) > MIN_STAYING:
            self.simulation.leave(self.simulation.last_leader)

    @rule(
        index=ENDPOINT_INDEXES,
        deregisters=st.booleans(),
        lingers_s=st.sampled_from([0.0, 0.0, 1.0, 3.0]),
        is_replaced=st.booleans(),
    )
    def terminate(self, index: int, deregisters: bool, lingers_s: float, is_replaced: bool) -> None:
        """End an endpoint that has announced that it leaves."""
        for offset in range(len(self.simulation.endpoints)):
            name = self._endpoint(index + offset)
            if self.simulation.is_announced_as_leaving(name) and name not in self.simulation.ending:
                self.simulation.terminate(name, deregisters, lingers_s, is_replaced)
                return

    @rule(index=ENDPOINT_INDEXES, receives=st.booleans())
    def receive(self, index: int, receives: bool) -> None:
        """Let a replica receive from the primary, or not."""
        self.simulation.receive(self._endpoint(index), receives)

    @rule(index=ENDPOINT_INDEXES)
    def cut_from_control(self, index: int) -> None:
        """Cut the link between the control leader and an endpoint."""
        self.simulation.cut_off_endpoints.add(self._endpoint(index))

    @rule()
    def cut_primary_from_control(self) -> None:
        """Cut the link between the control leader and the endpoint that led last."""
        self.simulation.cut_off_endpoints.add(self.simulation.last_leader)

    @rule()
    def join_endpoints_to_control(self) -> None:
        """End all cuts between the control leader and endpoints."""
        self.simulation.cut_off_endpoints.clear()

    @rule(vm=VMS, reaches_primary=st.booleans())
    def cut_vm(self, vm: str, reaches_primary: bool) -> None:
        """Cut a VM from the control leader, and perhaps from the endpoint that led last."""
        self.simulation.unpolled_vms.add(vm)
        if not reaches_primary:
            self.simulation.blocked_links.add((vm, self.simulation.last_leader))

    @rule(vm=VMS)
    def join_vm(self, vm: str) -> None:
        """End all cuts of a VM."""
        self.simulation.unpolled_vms.discard(vm)
        links = self.simulation.blocked_links
        self.simulation.blocked_links = {link for link in links if link[0] != vm}

    @rule(vm=VMS, seconds=st.sampled_from([0.0, 0.4, 1.2]))
    def delay_polls(self, vm: str, seconds: float) -> None:
        """Delay the control leader's answers to a VM."""
        self.simulation.poll_delays_s[vm] = seconds

    @rule(
        kind=st.sampled_from(
            [
                EndpointCommandKind.PROMOTE,
                EndpointCommandKind.PROMOTE,
                EndpointCommandKind.PAUSE_REPLICATION,
                EndpointCommandKind.RESUME_REPLICATION,
                EndpointCommandKind.STEP_DOWN,
            ]
        ),
        fate=st.sampled_from(CommandFate),
        late_s=LATENESS,
        count=st.integers(1, 3),
    )
    def lose_answers(
        self, kind: EndpointCommandKind, fate: CommandFate, late_s: float, count: int
    ) -> None:
        """Lose the answers of the next commands of a kind."""
        self.simulation.fates[kind] = [(fate, late_s)] * count

    @rule(index=ENDPOINT_INDEXES, count=st.integers(1, 3))
    def lose_replies(self, index: int, count: int) -> None:
        """Lose the next replies of an endpoint to statements."""
        self.simulation.endpoints[self._endpoint(index)].replies_to_lose = count

    @rule()
    def stop_control(self) -> None:
        """End the control leader."""
        if not self.simulation.is_control_down:
            self.simulation.stop_control()

    @rule()
    def start_control(self) -> None:
        """Start the control leader from its disk."""
        if self.simulation.is_control_down:
            self.simulation.start_control()

    @rule(seconds=st.sampled_from([0.0, 0.1, 1.0]))
    def replace_control_leader(self, seconds: float) -> None:
        """Have another process lead the control log, which knows only that."""
        self.stop_control()
        self._run(seconds)
        self.start_control()

    @rule(zone=st.sampled_from(ZONES))
    def evacuate(self, zone: str) -> None:
        """Begin the evacuation of a zone, or finish one."""
        kind = CommandKind.BEGIN_EVACUATION
        if self.evacuated is not None:
            zone, kind = self.evacuated, CommandKind.FINISH_EVACUATION
        if self.simulation.is_control_down:
            return
        self._change_zone(kind, zone)
        self._run(0.1)
        configuration = self.simulation.board.configuration
        self.evacuated = next((item for item in ZONES if configuration.is_evacuated(item)), None)

    @invariant()
    def check_step(self) -> None:
        """Check that no acknowledged write is lost, and that all calls are answered in time."""
        simulation = self.simulation
        assert not simulation.faults, simulation.faults
        assert not simulation.lost_writes, f"acknowledged but lost: {simulation.lost_writes}"
        log = simulation.endpoints[simulation.last_leader].log
        missing = simulation.acknowledged.keys() - set(log)
        assert not missing, f"acknowledged but missing: {missing}"
        self.callers.check_answered(STATEMENT_TIMEOUT_S + ANSWER_MARGIN_S)

    def teardown(self) -> None:
        """End all faults, and check that the group recovers and takes writes."""
        self._end_faults()
        self.simulation.run(RECOVERY_TIME_S)
        self.check_step()
        simulation = self.simulation
        assert simulation.has_primary(), "no endpoint leads after all faults ended"
        group = simulation.board.configuration.groups[GROUP]
        leading = simulation.primary()
        assert group.primary == leading.name, f"{leading.name} leads, not {group.primary}"
        assert group.granted_term == group.term, "a promotion is still under way"
        log = leading.log
        assert len(set(log)) == len(log), "a write was committed twice"
        unrun = simulation.unrun_writes & set(log)
        assert not unrun, f"refused as not run but committed: {unrun}"
        calls = [self.callers.write(vm) for vm in VM_NAMES]
        self.simulation.run(WRITE_TIMEOUT_S)
        for call in calls:
            is_done = call.answer is not None and call.answer.refusal is None
            assert (
                is_done
            ), f"a write fails after the recovery: {call.answer and call.answer.refusal}"
        self.check_step()

    def _end_faults(self) -> None:
        self._heal()
        self._run(MAX_LATE_S + 1.0)
        self._start_endpoints()
        for zone in filter(self.simulation.board.configuration.is_evacuated, ZONES):
            self._change_zone(CommandKind.FINISH_EVACUATION, zone)

    def _heal(self) -> None:
        simulation = self.simulation
        if simulation.is_control_down:
            simulation.start_control()
        simulation.cut_off_endpoints.clear()
        simulation.blocked_links.clear()
        simulation.unpolled_vms.clear()
        simulation.poll_delays_s.clear()
        simulation.fates.clear()

    def _start_endpoints(self) -> None:
        for name, endpoint in self.simulation.endpoints.items():
            endpoint.replies_to_lose = 0
            if self.simulation.may_start(name):
                self.simulation.start(name, 0.0)
            elif name not in self.simulation.ending:
                self.simulation.announce_if_unknown(name)
            self.simulation.receive(name, True)

    def _change_zone(self, kind: CommandKind, zone: str) -> None:
        revision = self.simulation.board.configuration.evacuation_revision(zone)
        self.simulation.propose(Command(kind, {"zone": zone, "expected_revision": revision}))

    def _endpoint(self, index: int) -> str:
        names = list(self.simulation.endpoints)
        return names[index % len(names)]

    def _run(self, seconds: float) -> None:
        """Let time pass, while a caller at each VM in turn writes."""
        end = self.simulation.clock.now() + seconds
        while self.simulation.clock.now() < end:
            if self.simulation.clock.now() >= self.next_write_at:
                self.next_write_at = self.simulation.clock.now() + WRITE_INTERVAL_S
                self.callers.write(VM_NAMES[self.callers.statement_count % len(VM_NAMES)])
            remaining_s = end - self.simulation.clock.now()
            self.simulation.run(min(remaining_s, WRITE_INTERVAL_S))


def main(_arguments: list[str]) -> None:
    """Run the state machine and print its result; exit with 1 if a rule was violated."""
    values = flags.FLAGS
    started = time.monotonic()
    print(f"seed {values.seed}, {values.steps} steps")
    try:
        soak(values.seed, values.steps, machine=PromotionMachine)
    except AssertionError as error:
        print(f"BROKEN with seed {values.seed}: {error}")
        sys.exit(1)
    print(f"no rule was broken in {time.monotonic() - started:.0f} s")


if __name__ == "__main__":
    app.run(main)
