"""Steps about full disks of control VMs."""

from __future__ import annotations

from behave import given, then, when
from gentianspread_core.blackboard.commands import CommandKind
from support import create_workspace

CHANGE_INTERVAL_S = 0.33


def disk_holders(context):
    """Return the VMs with a disk, the control leader first."""
    leader = context.simulation.leader()
    others = [vm for vm in context.simulation.vms.values() if vm.disk and vm is not leader]
    return [leader, *others]


def make_changes(context, seconds):
    """Create workspaces for some time, through whichever VM leads."""
    end = context.simulation.clock.now() + seconds
    while context.simulation.clock.now() < end:
        name = f"w{len(context.outcomes) + 1}"
        context.outcomes[name] = create_workspace(context, name, name)
        context.simulation.run(min(CHANGE_INTERVAL_S, end - context.simulation.clock.now()))


@given("the control log has a fourth voter, and every voter answers")
def step_fourth_voter(context):
    voters = [*context.simulation.leader().board.log.voters, "s1"]
    context.simulation.propose_change(CommandKind.CHANGE_VOTERS, {"voters": voters, "learners": []})
    for _ in range(10):
        context.simulation.run(0.01)
        if len(context.simulation.leader().board.log.voters) == 4:
            return
    raise AssertionError("the control log has no fourth voter")


@when(
    "the disk of each control VM in turn is full for {full:g} s, "
    "then has room for {gap:g} s, while changes are made"
)
def step_full_in_turn(context, full, gap):
    for vm in disk_holders(context):
        vm.disk.is_full = True
        make_changes(context, full)
        vm.disk.is_full = False
        make_changes(context, gap)


@when(
    "the disk of each control VM in turn is full for {full:g} s and the VM restarts, "
    "while changes are made"
)
def step_full_and_restart(context, full):
    for vm in disk_holders(context):
        vm.disk.is_full = True
        make_changes(context, full)
        vm.kill()
        vm.disk.is_full = False
        make_changes(context, 0.5)
        vm.start()
        make_changes(context, 0.5)


@then("every change that was accepted is in force on every VM")
def step_accepted_in_force(context):
    accepted = [
        name
        for name, outcomes in context.outcomes.items()
        if outcomes and outcomes[0] is not None and outcomes[0].accepted
    ]
    assert accepted
    for vm in context.simulation.vms.values():
        missing = [name for name in accepted if name not in vm.board.configuration.workspaces]
        assert not missing, (vm.name, missing)
