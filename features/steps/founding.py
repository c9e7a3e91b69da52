"""Steps about faults during the first start of a fleet."""

from __future__ import annotations

from behave import then, when
from gentianspread_core.blackboard.commands import CommandKind
from gentianspread_core.blackboard.outbox import HardState
from gentianspread_core.blackboard.timeline import EventKind
from gentianspread_core.settings import CoreSettings
from gentianspread_lab.fakes import FakeDisk, FakeVM, Simulation

FOUNDERS = ("v1", "v2", "v3")
CONTROL_VMS = (*FOUNDERS, "s1")
FIRST_START_S = 1.2  # until after the voters are recorded
STEP_S = 0.005  # finer than the time between two messages
DOWN_S = 0.2
LATE_S = 3.0
CHANGE_TIMEOUT_S = 12.0
RETRY_INTERVAL_S = 0.25
FIRST_CHANGE = "first"
SECOND_CHANGE = "second"


class InterruptedStart:
    """A simulated first start with an operator who declares a change until it is acknowledged."""

    def __init__(self, moment_s):
        self.moment_s = moment_s
        self.simulation = Simulation(3, voters=3, diskless=1, standbys=1, on_platform=True)
        self.outcomes = {FIRST_CHANGE: [], SECOND_CHANGE: []}
        self.acknowledged = set()

    def declare(self, name):
        """Send a change to the leader, if there is one."""
        fields = {"name": name, "rate": 1.0, "burst": 1.0}
        outcomes = self.simulation.propose_change(
            CommandKind.CREATE_WORKSPACE, fields, f"change-{name}"
        )
        self.outcomes[name].append(outcomes)

    def run(self, seconds):
        """Let time pass and note which changes are acknowledged."""
        self.simulation.run(seconds)
        for name, sent in self.outcomes.items():
            outcomes = [outcome for outcomes in sent for outcome in outcomes if outcome]
            if any(outcome.accepted for outcome in outcomes):
                self.acknowledged.add(name)

    def run_first_start(self):
        """Run until the moment of the interruption, with the first change sent at once."""
        for _ in range(round(self.moment_s / STEP_S)):
            if not any(self.outcomes[FIRST_CHANGE]):
                self.declare(FIRST_CHANGE)
            self.run(STEP_S)

    def kill(self, names):
        for name in names:
            self.simulation.vms[name].kill()

    def start(self, names):
        for name in names:
            self.simulation.vms[name].start()

    def declare_until_acknowledged(self, name):
        """Return whether a change is acknowledged in time, sent again and again."""
        end = self.simulation.clock.now() + CHANGE_TIMEOUT_S
        while name not in self.acknowledged and self.simulation.clock.now() < end:
            self.declare(name)
            self.run(RETRY_INTERVAL_S)
        return name in self.acknowledged

    def lost_changes(self):
        """Return the acknowledged changes that are not in force on the leader."""
        leader = self.simulation.leader()
        in_force = set(leader.board.configuration.workspaces) if leader else set()
        return self.acknowledged - in_force

    def finish(self):
        """Return what is wrong once the faults are over, or none."""
        before = set(self.acknowledged)
        if not self.declare_until_acknowledged(SECOND_CHANGE):
            return f"at {self.moment_s:.3f} s: no change acknowledged, before {before}"
        lost = self.lost_changes()
        return f"at {self.moment_s:.3f} s: {lost} lost" if lost else None


def restart_all(start):
    start.kill(CONTROL_VMS)
    start.run(DOWN_S)
    start.start(CONTROL_VMS)


def restart_all_and_lose_disk(start):
    start.kill(CONTROL_VMS)
    start.simulation.vms["v1"].lose_disk()
    start.run(DOWN_S)
    start.start(CONTROL_VMS)


def restart_founder(start):
    start.kill(["v1"])
    start.run(DOWN_S)
    start.start(["v1"])


def restart_founder_without_disk(start):
    start.simulation.vms["v1"].lose_disk()
    start.run(DOWN_S)
    start.start(["v1"])


def stop_founder(start):
    start.kill(["v1"])


def delay_founder(start):
    start.kill(["v1"])
    start.run(LATE_S)
    start.start(["v1"])


def join_and_restart_all(start):
    founder = start.simulation.vms["v1"].settings
    settings = CoreSettings("s2", "z2", "s2")
    settings.has_disk = True
    settings.zones = founder.zones
    settings.seeds = founder.seeds
    settings.records_initial_voters = True
    settings.voter_count = founder.voter_count
    start.simulation.vms["s2"] = FakeVM(start.simulation, settings, FakeDisk())
    start.start(["s2"])
    restart_all(start)


INTERRUPTIONS = {
    "all control VMs restart": restart_all,
    "all control VMs restart and a founder has no disk": restart_all_and_lose_disk,
    "a founder restarts": restart_founder,
    "a founder restarts without its disk": restart_founder_without_disk,
    "a founder stays down": stop_founder,
    "a founder is late": delay_founder,
    "a control VM joins and all control VMs restart": join_and_restart_all,
}


def forget_initial_voters(start):
    """Make the disks those of a build that did not record the initial voters."""
    for name in FOUNDERS:
        disk = start.simulation.vms[name].disk
        state = disk.hard_state
        disk.hard_state = HardState(state.term, state.voted_for, state.incarnation)


def first_starts():
    for step in range(round(FIRST_START_S / STEP_S)):
        start = InterruptedStart(step * STEP_S)
        start.run_first_start()
        yield start


def start_with_first_change():
    """Return a first start just after its first change was acknowledged."""
    start = InterruptedStart(0.0)
    while FIRST_CHANGE not in start.acknowledged:
        start.moment_s += STEP_S
        assert start.moment_s < FIRST_START_S, "the first change was not acknowledged"
        if not any(start.outcomes[FIRST_CHANGE]):
            start.declare(FIRST_CHANGE)
        start.run(STEP_S)
    return start


@when("at any moment of the first start {interruption}, with the disks of an older build")
def step_older_build(context, interruption):
    context.starts = list(first_starts())
    for start in context.starts:
        start.had_entries = sum(bool(start.simulation.vms[n].disk.entries) for n in FOUNDERS) >= 2
        forget_initial_voters(start)
        INTERRUPTIONS[interruption](start)


@when("at any moment of the first start {interruption}")
def step_interrupted(context, interruption):
    context.starts = list(first_starts())
    for start in context.starts:
        INTERRUPTIONS[interruption](start)


@when("all control VMs restart after the first change, and the new seeds are other VMs")
def step_other_seeds(context):
    start = start_with_first_change()
    for vm in start.simulation.vms.values():
        vm.settings.seeds = ["s1", "x1", "x2"]
    restart_all(start)
    context.starts = [start]


@when("all control VMs restart after the first change as if for the first time, with other seeds")
def step_as_first_start(context):
    start = start_with_first_change()
    for vm in start.simulation.vms.values():
        vm.settings.seeds = vm.settings.initial_voters = ["s1", "x1", "x2"]
    restart_all(start)
    context.starts = [start]


@then("its readiness and its refusals say so too")
def step_explained(context):
    assert "knows no voters" in context.vm.board.explain_staleness()


@when("a founder of an older build restarts with other seeds before the voters are recorded")
def step_unknown_voters(context):
    start = start_with_first_change()
    forget_initial_voters(start)
    vm = start.simulation.vms["v1"]
    vm.settings.seeds = ["x1", "x2", "x3"]
    vm.kill()
    vm.start()
    context.vm = vm


@when("the first change is sent again after all control VMs have restarted")
def step_sent_again(context):
    context.start = start_with_first_change()
    restart_all(context.start)
    context.start.acknowledged.clear()
    assert context.start.declare_until_acknowledged(FIRST_CHANGE)


@then("it is in force once")
def step_in_force_once(context):
    leader = context.start.simulation.leader()
    entries = [
        entry
        for entry in leader.board.log.entries
        if entry.command.change_id == f"change-{FIRST_CHANGE}"
    ]
    assert FIRST_CHANGE in leader.board.configuration.workspaces
    accepted = [
        outcome
        for outcomes in context.start.outcomes[FIRST_CHANGE]
        for outcome in outcomes
        if outcome is not None and outcome.accepted
    ]
    revisions = {outcome.revision for outcome in accepted}
    assert len(revisions) == 1, (revisions, len(entries))


@then("each fleet keeps what it had acknowledged, and acknowledges a change within 12 s")
def step_goes_on(context):
    problems = [problem for problem in (start.finish() for start in context.starts) if problem]
    assert not problems, f"{len(problems)} of {len(context.starts)}: " + "; ".join(problems[:5])


@then("each fleet keeps what it had acknowledged, and acknowledges a change if it had before")
def step_older_goes_on(context):
    assert any(start.acknowledged for start in context.starts)
    owed = [start for start in context.starts if start.had_entries]
    problems = [problem for problem in (start.finish() for start in owed) if problem]
    assert not problems, f"{len(problems)} of {len(owed)}: " + "; ".join(problems[:5])


@then("that VM reports that it knows no voters, with what to do about it")
def step_reported(context):
    timeline = context.vm.board.timeline
    events = [item for item in timeline.events if item.kind is EventKind.VOTERS_UNKNOWN]
    assert len(events) == 1, timeline.counts
    assert "seeds" in events[0].cause
