"""Stateful property-based test: requests, operator changes and faults over simulated VMs.

Hypothesis generates the steps and shrinks a failing run to the shortest trace. It orders rules by
their number of arguments and their name, so renaming a rule changes what a seed runs.
"""

from __future__ import annotations

from gentianspread_core.blackboard.commands import ChangeOutcome, CommandKind
from gentianspread_core.blackboard.requests import Request, StatementKind
from gentianspread_core.errors import ExecutionResult
from gentianspread_core.positions import SessionToken
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from .evacuationhistory import ZONES, EvacuationHistory
from .fakes import FakeVM, Simulation
from .fakes.simulation import GROUP
from .history import HistoryChecker, SentCommit, SentRequest, Session
from .redundancy import is_redundant

DISK_NAMES = ("v1", "v2", "v3", "s1")  # voters and a standby
VM_NAMES = (*DISK_NAMES, "o1", "o2")
ENDPOINT_NAMES = ("e1", "e2", "e3")
PROCESS_NAMES = VM_NAMES + ENDPOINT_NAMES
RATE_PER_S = 40.0
BURST_REQUESTS = 30.0
KEY_WITHDRAWAL_TIMEOUT_S = 3.0
RECOVERY_TIME_S = 20.0


class FleetMachine(RuleBasedStateMachine):
    """Runs requests, changes and faults in any order, then ends all faults and checks the data.

    `reported_results` gives the result that callers got by written value: "run", "not run" or
    "unknown".
    """

    def __init__(self) -> None:
        super().__init__()
        self.simulation = self.create_simulation()
        self.history = HistoryChecker(self.simulation)
        self.evacuations = EvacuationHistory(self.simulation)
        self.sessions = [Session(), Session()]
        self.reported_results: dict[str, str] = {}
        self.value_by_request_id: dict[str, str] = {}
        self.commits: list[SentCommit] = []
        self.key_withdrawn_at = float("inf")
        self.withdrawal_outcomes: list[ChangeOutcome | None] = []
        self.workspace_outcomes: dict[str, list[ChangeOutcome | None]] = {}
        self.value_count = 0
        self.unreplaced_disk: str | None = None
        self.begin()

    def create_simulation(self) -> Simulation:
        """Return the simulated fleet."""
        return Simulation(7, voters=3, diskless=2, standbys=1)

    def begin(self) -> None:
        """Bring the fleet into the state in which the steps begin."""
        self.simulation.run(2.0)
        self.set_up()
        self.simulation.run(5.0)
        self.history.check_vms()

    def set_up(self) -> None:
        """Register the endpoints and create the workspace that the requests are sent in."""
        self.simulation.add_endpoints()
        self.simulation.set_up_workspace(RATE_PER_S, BURST_REQUESTS)

    @rule(session=st.integers(0, 1), vm=st.sampled_from(VM_NAMES), with_id=st.booleans())
    def write(self, session: int, vm: str, with_id: bool) -> None:
        """Write one new value."""
        value = self._new_value()
        request_id = f"id-{value}" if with_id else None
        if request_id is not None:
            self.value_by_request_id[request_id] = value
        self._send(session, vm, StatementKind.WRITE, [value], request_id)

    @rule(session=st.integers(0, 1), vm=st.sampled_from(VM_NAMES), data=st.data())
    def resend(self, session: int, vm: str, data: st.DataObject) -> None:
        """Resend an earlier write with its request id, to any VM."""
        if self.value_by_request_id:
            request_id = data.draw(st.sampled_from(sorted(self.value_by_request_id)))
            value = self.value_by_request_id[request_id]
            self._send(session, vm, StatementKind.WRITE, [value], request_id)

    @rule(session=st.integers(0, 1), vm=st.sampled_from(VM_NAMES))
    def read(self, session: int, vm: str) -> None:
        """Read in a session."""
        self._send(session, vm, StatementKind.READ, [], None)

    @rule(session=st.integers(0, 1), vm=st.sampled_from(VM_NAMES), withdraw=st.booleans())
    def transact(self, session: int, vm: str, withdraw: bool) -> None:
        """Write two values in one transaction, with time passing in between.

        With `withdraw`, the key is withdrawn before the commit if the number of values written so
        far is a multiple of seven.
        """
        receiver = self._running_vm(vm)
        if receiver is None:
            return
        token = self.sessions[session].token
        begin = self.simulation.send(receiver, StatementKind.BEGIN, token=token)
        self._run(0.1)
        if begin.outcome is None or begin.outcome.transaction is None:
            return
        values = [self._new_value(), self._new_value()]
        for value in values:
            self._send_in_transaction(receiver, StatementKind.WRITE, begin, value)
        if withdraw and self.value_count % 7 == 0:
            self.withdraw_key()
        request_id = f"id-{values[0]}" if self.value_count % 2 == 0 else None
        commit = SentCommit(begin.outcome.transaction, request_id, values)
        self.commits.append(commit)
        self._send_commit(session, vm, commit)

    @rule(session=st.integers(0, 1), vm=st.sampled_from(VM_NAMES), data=st.data())
    def resend_commit(self, session: int, vm: str, data: st.DataObject) -> None:
        """Resend an earlier commit with its request id, to any VM."""
        with_id = [commit for commit in self.commits if commit.request_id is not None]
        if with_id:
            self._send_commit(session, vm, data.draw(st.sampled_from(with_id)))

    @rule(vm=st.sampled_from(VM_NAMES), count=st.integers(5, 40))
    def flood(self, vm: str, count: int) -> None:
        """Send many reads at once."""
        receiver = self._running_vm(vm)
        if receiver is not None:
            for _ in range(count):
                self.simulation.send(receiver, StatementKind.READ, timeout_s=1.0)

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 3.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self._run(seconds)

    @rule(first=st.sampled_from(PROCESS_NAMES), second=st.sampled_from(PROCESS_NAMES))
    def cut(self, first: str, second: str) -> None:
        """Cut the connection between two processes."""
        if first != second:
            self.simulation.block_link(first, second)

    @rule(name=st.sampled_from(PROCESS_NAMES))
    def isolate(self, name: str) -> None:
        """Cut the connections between one process and all others."""
        self.simulation.isolate(name)

    @rule()
    def heal(self) -> None:
        """End all network faults."""
        self.simulation.heal()

    @rule(lost_fraction=st.sampled_from([0.0, 0.3]), late_fraction=st.sampled_from([0.0, 0.3]))
    def lose_answers(self, lost_fraction: float, late_fraction: float) -> None:
        """Set the fractions of endpoint replies that are lost and of statements that run late."""
        self.simulation.reply_loss_probability = lost_fraction
        self.simulation.late_execution_probability = late_fraction

    @rule(name=st.sampled_from(VM_NAMES))
    def kill(self, name: str) -> None:
        """Kill a VM."""
        self.simulation.vms[name].kill()

    @rule(name=st.sampled_from(VM_NAMES))
    def restart(self, name: str) -> None:
        """Start a VM from its disk; kill it first if it runs."""
        self.simulation.vms[name].kill()
        self.simulation.vms[name].start()

    @rule(name=st.sampled_from(VM_NAMES))
    def freeze(self, name: str) -> None:
        """Freeze a running VM, or resume a frozen one; a killed VM stays killed."""
        vm = self.simulation.vms[name]
        vm.frozen = vm.alive and not vm.frozen

    @rule(name=st.sampled_from(DISK_NAMES), restart=st.booleans())
    def lose_disk(self, name: str, restart: bool) -> None:
        """Lose a disk, whatever the other VMs do, if no other lost disk is without replacement."""
        if self.unreplaced_disk in (None, name) or is_redundant(self.simulation):
            self.unreplaced_disk = name
            self.simulation.vms[name].lose_disk()
            if restart:
                self.simulation.vms[name].start()

    @rule(name=st.sampled_from(DISK_NAMES), other=st.sampled_from(DISK_NAMES))
    def hear_stale_list(self, name: str, other: str) -> None:
        """Have a VM take over another one's configuration, however old its list of voters is."""
        vm, upstream = self.simulation.vms[name], self.simulation.vms[other]
        if name != other and vm.is_running() and upstream.is_running():
            self.simulation.poll(vm, upstream)

    @rule(names=st.sets(st.sampled_from(DISK_NAMES)))
    def lose_power(self, names: set[str]) -> None:
        """Kill all VMs with a disk at once, and start some of them again."""
        for name in DISK_NAMES:
            self.simulation.vms[name].kill()
        for name in sorted(names):
            self.simulation.vms[name].start()

    @rule(name=st.sampled_from(ENDPOINT_NAMES))
    def crash_endpoint(self, name: str) -> None:
        """Restart an endpoint."""
        self.simulation.endpoints[name].crash()

    @rule(name=st.sampled_from(ENDPOINT_NAMES), leaving=st.booleans())
    def leave(self, name: str, leaving: bool) -> None:
        """Register an endpoint as leaving, or as staying."""
        self.simulation.register_endpoint(name, leaving)

    @rule(number=st.integers(1, 5))
    def create_workspace(self, number: int) -> None:
        """Create a workspace; a repeated creation has the same change id."""
        name = f"extra{number}"
        fields = {"name": name, "rate": 1.0, "burst": 2.0}
        outcomes = self.simulation.propose_change(
            CommandKind.CREATE_WORKSPACE, fields, f"change-{name}"
        )
        self.workspace_outcomes[f"{name}-{len(self.workspace_outcomes)}"] = outcomes

    @rule(vm=st.sampled_from(VM_NAMES), zone=st.sampled_from(ZONES), begins=st.booleans())
    def evacuate(self, vm: str, zone: str, begins: bool) -> None:
        """Begin or finish the evacuation of a zone, based on what a VM knows of it."""
        self.evacuations.request(self.simulation.vms[vm], zone, begins)

    @rule(vm=st.sampled_from(VM_NAMES), zone=st.sampled_from(ZONES), begins=st.booleans())
    def overtake_evacuation(self, vm: str, zone: str, begins: bool) -> None:
        """Begin or finish an evacuation, and then send an older command that was held up."""
        self.evacuations.overtake(self.simulation.vms[vm], zone, begins)

    def withdraw_key(self) -> None:
        """Withdraw the key; it must stop working on every VM within the timeout."""
        self.withdrawal_outcomes = self.simulation.propose_change(
            CommandKind.WITHDRAW_KEY, {"name": "k"}, "withdraw"
        )

    @invariant()
    def check_step(self) -> None:
        """Check all VMs and the new outcomes after each step."""
        if (
            self.withdrawal_outcomes
            and self.withdrawal_outcomes[0]
            and self.key_withdrawn_at == float("inf")
        ):
            self.key_withdrawn_at = self.simulation.clock.now()
        self.history.check_vms()
        self.evacuations.observe()
        self._collect_outcomes()

    def teardown(self) -> None:
        """End all faults, wait until the system has recovered, and check the final state."""
        self.simulation.heal()
        for vm in self.simulation.vms.values():
            vm.frozen = False
            if not vm.alive:
                vm.start()
        self._run(3.0)
        self.register_all()
        self._run(RECOVERY_TIME_S)
        self._collect_outcomes()
        self.history.check_vms()
        self.history.check_rate_limit(RATE_PER_S, BURST_REQUESTS)
        self._check_final_state()

    def register_all(self) -> None:
        """Register every endpoint as staying."""
        for name in ENDPOINT_NAMES:
            self.simulation.register_endpoint(name, leaving=False)

    def _check_final_state(self) -> None:
        leader = self.simulation.leader()
        assert leader is not None, "no leader after all faults ended"
        configuration = leader.board.configuration
        revisions = {vm.board.configuration.revision for vm in self.simulation.vms.values()}
        assert len(revisions) == 1, f"revisions differ after the recovery: {revisions}"
        self.evacuations.check(configuration)
        for name, outcomes in self.workspace_outcomes.items():
            if outcomes and outcomes[0] is not None:
                assert name.partition("-")[0] in configuration.workspaces, f"{name} was lost"
        primary = configuration.groups[GROUP].primary
        assert primary is not None, "no primary after all faults ended"
        stored = self.simulation.endpoints[primary].values()
        for value, result in self.reported_results.items():
            count = stored.count(value)
            assert count <= 1, f"{value} is stored {count} times"
            if result == "run":
                assert count == 1, f"{value} was acknowledged but is lost"
            if result == "not run":
                assert count == 0, f"{value} was reported as not run but is stored"

    def _run(self, seconds: float) -> None:
        self.simulation.run(seconds)

    def _running_vm(self, name: str) -> FakeVM | None:
        vm = self.simulation.vms[name]
        return vm if vm.is_running() else None

    def _new_value(self) -> str:
        self.value_count += 1
        return f"value-{self.value_count}"

    def _send_in_transaction(
        self, vm: FakeVM, kind: StatementKind, begin: Request, value: str
    ) -> None:
        transaction = begin.outcome.transaction if begin.outcome else None
        self.simulation.send(vm, kind, value, transaction=transaction)
        self._run(0.1)

    def _send_commit(self, session: int, vm: str, commit: SentCommit) -> None:
        self._send(
            session,
            vm,
            StatementKind.COMMIT,
            commit.values,
            commit.request_id,
            commit.transaction,
        )

    def _send(
        self,
        session: int,
        vm: str,
        kind: StatementKind,
        values: list[str],
        request_id: str | None,
        transaction: str | None = None,
    ) -> None:
        receiver = self._running_vm(vm)
        if receiver is None:
            return
        sender = self.sessions[session]
        request = self.simulation.send(
            receiver,
            kind,
            values[0] if kind is StatementKind.WRITE else "",
            token=sender.token,
            request_id=request_id,
            transaction=transaction,
        )
        for value in values:
            self.reported_results.setdefault(value, "unknown")
        expected = set(sender.acknowledged)
        sender.pending.append(SentRequest(request, values, expected, self.key_withdrawn_at))
        self._run(0.05)

    def _collect_outcomes(self) -> None:
        """Check the requests that ended since the last step."""
        for session in self.sessions:
            pending = []
            for sent in session.pending:
                if sent.request.outcome is None:
                    pending.append(sent)
                else:
                    self._check_outcome(session, sent)
            session.pending = pending

    def _check_outcome(self, session: Session, sent: SentRequest) -> None:
        outcome = sent.request.outcome
        if outcome is None:
            return
        is_late = sent.request.arrived_at > sent.key_withdrawn_at + KEY_WITHDRAWAL_TIMEOUT_S
        assert not (
            is_late and outcome.result is ExecutionResult.RUN
        ), "a withdrawn key still works"
        if sent.request.is_read():
            if outcome.result is ExecutionResult.RUN:
                missing = sent.expected - set(outcome.rows)
                assert not missing, f"a session does not see its own writes {missing}"
        else:
            self._record_result(session, sent, outcome.result)
        if outcome.token is not None and outcome.result is ExecutionResult.RUN:
            session.token = _merge_tokens(session.token, outcome.token)

    def _record_result(self, session: Session, sent: SentRequest, result: ExecutionResult) -> None:
        """Record the result that the caller got for each written value."""
        for value in sent.values:
            if result is ExecutionResult.RUN:
                self.reported_results[value] = "run"
                session.acknowledged.add(value)
            elif result is ExecutionResult.NOT_RUN and self._is_final(sent.request):
                self.reported_results[value] = "not run"

    def _is_final(self, request: Request) -> bool:
        """Return whether "not run" holds for all attempts with the request's id."""
        return request.request_id is None or request.kind is StatementKind.RESOLVE_COMMIT


def _merge_tokens(first: SessionToken | None, second: SessionToken) -> SessionToken:
    if first is None:
        return second
    merged = first
    for group, position in second.positions.items():
        merged = merged.with_position(group, position)
    return merged
