"""Stateful fuzzing of the decisions under all faults, against a simple oracle.

The machine is hypothesis's; a failing run is shrunk to the shortest trace.
"""

from __future__ import annotations

from gentianspread_core.blackboard.commands import ChangeOutcome, CommandKind
from gentianspread_core.blackboard.requests import Request, StatementKind
from gentianspread_core.errors import ExecutionResult
from gentianspread_core.positions import SessionToken
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from .fakes import FakeDisk, FakeVM, Simulation
from .fakes.simulation import GROUP
from .witness import Commit, Sent, Session, Witness

VM_NAMES = ("v1", "v2", "v3", "s1", "o1", "o2")
ENDPOINT_NAMES = ("e1", "e2", "e3")
PROCESS_NAMES = VM_NAMES + ENDPOINT_NAMES
RATE = 40.0
BURST = 30.0
WITHDRAWAL_S = 3.0
CALM_S = 20.0


class FleetMachine(RuleBasedStateMachine):
    """Requests, operators and faults in any order; at the end all is healed and judged."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = Simulation(7, voters=3, diskless=2, standbys=1)
        self.witness = Witness(self.simulation)
        self.sessions = [Session(), Session()]
        self.told: dict[str, str] = {}
        self.sent_ids: dict[str, str] = {}
        self.commits: list[Commit] = []
        self.withdrawn_at = float("inf")
        self.withdrawals: list[ChangeOutcome | None] = []
        self.workspaces: dict[str, list[ChangeOutcome | None]] = {}
        self.count = 0
        self.simulation.run(2.0)
        self.simulation.add_endpoints()
        self.simulation.set_up_workspace(RATE, BURST)
        self.simulation.run(5.0)
        self.witness.look()

    @rule(session=st.integers(0, 1), vm=st.sampled_from(VM_NAMES), with_id=st.booleans())
    def write(self, session: int, vm: str, with_id: bool) -> None:
        """Write one new value."""
        value = self._new_value()
        request_id = f"id-{value}" if with_id else None
        if request_id is not None:
            self.sent_ids[request_id] = value
        self._send(session, vm, StatementKind.WRITE, [value], request_id)

    @rule(session=st.integers(0, 1), vm=st.sampled_from(VM_NAMES), data=st.data())
    def resend(self, session: int, vm: str, data: st.DataObject) -> None:
        """Send an earlier request again with its id."""
        if self.sent_ids:
            request_id = data.draw(st.sampled_from(sorted(self.sent_ids)))
            value = self.sent_ids[request_id]
            self._send(session, vm, StatementKind.WRITE, [value], request_id)

    @rule(session=st.integers(0, 1), vm=st.sampled_from(VM_NAMES))
    def read(self, session: int, vm: str) -> None:
        """Read in a session."""
        self._send(session, vm, StatementKind.READ, [], None)

    @rule(session=st.integers(0, 1), vm=st.sampled_from(VM_NAMES), withdraw=st.booleans())
    def transact(self, session: int, vm: str, withdraw: bool) -> None:
        """Write two values in one transaction, with time passing in between."""
        holder = self._vm(vm)
        if holder is None:
            return
        token = self.sessions[session].token
        begin = self.simulation.send(holder, StatementKind.BEGIN, token=token)
        self._run(0.1)
        if begin.outcome is None or begin.outcome.transaction is None:
            return
        values = [self._new_value(), self._new_value()]
        for value in values:
            self._statement(holder, StatementKind.WRITE, begin, value)
        if withdraw and self.count % 7 == 0:
            self.withdraw_key()
        request_id = f"id-{values[0]}" if self.count % 2 == 0 else None
        commit = Commit(begin.outcome.transaction, request_id, values)
        self.commits.append(commit)
        self._send_commit(session, vm, commit)

    @rule(session=st.integers(0, 1), vm=st.sampled_from(VM_NAMES), data=st.data())
    def resend_commit(self, session: int, vm: str, data: st.DataObject) -> None:
        """Send an earlier commit again, to any VM."""
        known = [commit for commit in self.commits if commit.request_id is not None]
        if known:
            self._send_commit(session, vm, data.draw(st.sampled_from(known)))

    @rule(vm=st.sampled_from(VM_NAMES), count=st.integers(5, 40))
    def flood(self, vm: str, count: int) -> None:
        """Send many reads at once."""
        holder = self._vm(vm)
        if holder is not None:
            for _ in range(count):
                self.simulation.send(holder, StatementKind.READ, deadline=1.0)

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 3.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self._run(seconds)

    @rule(first=st.sampled_from(PROCESS_NAMES), second=st.sampled_from(PROCESS_NAMES))
    def cut(self, first: str, second: str) -> None:
        """Cut two processes from each other."""
        if first != second:
            self.simulation.block_link(first, second)

    @rule(name=st.sampled_from(PROCESS_NAMES))
    def isolate(self, name: str) -> None:
        """Cut one process from all others."""
        self.simulation.isolate(name)

    @rule()
    def heal(self) -> None:
        """End all cuts and losses."""
        self.simulation.heal()

    @rule(lost=st.sampled_from([0.0, 0.3]), late=st.sampled_from([0.0, 0.3]))
    def lose_answers(self, lost: float, late: float) -> None:
        """Lose a part of the endpoints' answers, or have them act late."""
        self.simulation.reply_loss_probability = lost
        self.simulation.late_execution_probability = late

    @rule(name=st.sampled_from(VM_NAMES))
    def kill(self, name: str) -> None:
        """Kill a VM."""
        self.simulation.vms[name].kill()

    @rule(name=st.sampled_from(VM_NAMES))
    def restart(self, name: str) -> None:
        """Start a VM again, after a kill if it runs."""
        self.simulation.vms[name].kill()
        self.simulation.vms[name].start()

    @rule(name=st.sampled_from(VM_NAMES))
    def freeze(self, name: str) -> None:
        """Freeze a VM, or let it go on."""
        vm = self.simulation.vms[name]
        vm.frozen = vm.alive and not vm.frozen

    @rule(name=st.sampled_from(["v1", "v2", "v3"]))
    def lose_disk(self, name: str) -> None:
        """Lose a voter's disk while every voter has its own, and start it again blank."""
        if self._is_calm():
            vm = self.simulation.vms[name]
            vm.kill()
            vm.disk = FakeDisk()
            vm.start()

    @rule(name=st.sampled_from(ENDPOINT_NAMES))
    def crash_endpoint(self, name: str) -> None:
        """Restart an endpoint."""
        self.simulation.endpoints[name].crash()

    @rule(name=st.sampled_from(ENDPOINT_NAMES), leaving=st.booleans())
    def leave(self, name: str, leaving: bool) -> None:
        """Have an endpoint announce that it leaves, or that it stays."""
        self.simulation.register_endpoint(name, leaving)

    @rule(number=st.integers(1, 5))
    def create_workspace(self, number: int) -> None:
        """Create a workspace; a resend carries the same change id."""
        name = f"extra{number}"
        fields = {"name": name, "rate": 1.0, "burst": 2.0}
        outcomes = self.simulation.propose_change(
            CommandKind.CREATE_WORKSPACE, fields, f"change-{name}"
        )
        self.workspaces[f"{name}-{len(self.workspaces)}"] = outcomes

    def withdraw_key(self) -> None:
        """Withdraw the key; it must soon stop working everywhere."""
        self.withdrawals = self.simulation.propose_change(
            CommandKind.WITHDRAW_KEY, {"name": "k"}, "withdraw"
        )

    @invariant()
    def agrees(self) -> None:
        """Look at all VMs after each step."""
        if self.withdrawals and self.withdrawals[0] and self.withdrawn_at == float("inf"):
            self.withdrawn_at = self.simulation.clock.now()
        self.witness.look()
        self._collect()

    def teardown(self) -> None:
        """Heal everything, wait, and judge what is held."""
        self.simulation.heal()
        for vm in self.simulation.vms.values():
            vm.frozen = False
            if not vm.alive:
                vm.start()
        self._run(3.0)
        for name in ENDPOINT_NAMES:
            self.simulation.register_endpoint(name, leaving=False)
        self._run(CALM_S)
        self._collect()
        self.witness.look()
        self.witness.check_limit(RATE, BURST)
        self._judge()

    def _judge(self) -> None:
        leader = self.simulation.leader()
        assert leader is not None, "no leader after everything was healed"
        configuration = leader.board.configuration
        revisions = {vm.board.configuration.revision for vm in self.simulation.vms.values()}
        assert len(revisions) == 1, f"revisions differ after the calm: {revisions}"
        for name, outcomes in self.workspaces.items():
            if outcomes and outcomes[0] is not None:
                assert name.partition("-")[0] in configuration.workspaces, f"{name} was lost"
        primary = configuration.groups[GROUP].primary
        assert primary is not None, "no primary after everything was healed"
        held = self.simulation.endpoints[primary].values()
        for value, result in self.told.items():
            count = held.count(value)
            assert count <= 1, f"{value} is held {count} times"
            if result == "run":
                assert count == 1, f"{value} was acknowledged and is lost"
            if result == "not run":
                assert count == 0, f"{value} was refused as not run and is held"

    def _run(self, seconds: float) -> None:
        self.simulation.run(seconds)

    def _vm(self, name: str) -> FakeVM | None:
        vm = self.simulation.vms[name]
        return vm if vm.is_running() else None

    def _is_calm(self) -> bool:
        leader = self.simulation.leader()
        well = (
            all(vm.is_running() for vm in self.simulation.vms.values())
            and not self.simulation.blocked_links
        )
        if leader is None or not well:
            return False
        log = leader.board.log
        synced = (
            all(peer.match_index >= log.last_index() for peer in log.peers.values())
            and log.commit_index == log.last_index()
        )
        joined = set(leader.board.configuration.joined_voters)
        has_disk = all(
            not disk.is_blank()
            for disk in (self.simulation.vms[name].disk for name in log.voters)
            if disk is not None
        )
        return synced and has_disk and set(log.voters) <= joined and len(log.voters) == 3

    def _new_value(self) -> str:
        self.count += 1
        return f"value-{self.count}"

    def _statement(self, vm: FakeVM, kind: StatementKind, begin: Request, value: str) -> None:
        transaction = begin.outcome.transaction if begin.outcome else None
        self.simulation.send(vm, kind, value, transaction=transaction)
        self._run(0.1)

    def _send_commit(self, session: int, vm: str, commit: Commit) -> None:
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
        holder = self._vm(vm)
        if holder is None:
            return
        owner = self.sessions[session]
        request = self.simulation.send(
            holder,
            kind,
            values[0] if kind is StatementKind.WRITE else "",
            token=owner.token,
            request_id=request_id,
            transaction=transaction,
        )
        for value in values:
            self.told.setdefault(value, "unknown")
        expected = set(owner.acknowledged)
        owner.pending.append(Sent(request, values, expected, self.withdrawn_at))
        self._run(0.05)

    def _collect(self) -> None:
        for session in self.sessions:
            waiting = []
            for sent in session.pending:
                if sent.request.outcome is None:
                    waiting.append(sent)
                else:
                    self._take(session, sent)
            session.pending = waiting

    def _take(self, session: Session, sent: Sent) -> None:
        outcome = sent.request.outcome
        if outcome is None:
            return
        late = sent.request.arrived_at > sent.key_withdrawn_at + WITHDRAWAL_S
        assert not (late and outcome.result is ExecutionResult.RUN), "a withdrawn key still works"
        if sent.request.is_read():
            if outcome.result is ExecutionResult.RUN:
                missing = sent.expected - set(outcome.rows)
                assert not missing, f"a session does not see {missing}"
        else:
            self._note(session, sent, outcome.result)
        if outcome.token is not None and outcome.result is ExecutionResult.RUN:
            session.token = _merge(session.token, outcome.token)

    def _note(self, session: Session, sent: Sent, result: ExecutionResult) -> None:
        """Note what the caller was told; a value once acknowledged stays so."""
        for value in sent.values:
            if result is ExecutionResult.RUN:
                self.told[value] = "run"
                session.acknowledged.add(value)
            elif result is ExecutionResult.NOT_RUN and self._is_final(sent.request):
                self.told[value] = "not run"

    def _is_final(self, request: Request) -> bool:
        """Tell whether "not run" speaks for all attempts with the request's id."""
        return request.request_id is None or request.kind is StatementKind.RESOLVE_COMMIT


def _merge(first: SessionToken | None, second: SessionToken) -> SessionToken:
    if first is None:
        return second
    merged = first
    for group, position in second.positions.items():
        merged = merged.with_position(group, position)
    return merged
