"""Steps about disks of control VMs that are lost, and about the incarnations of voters."""

from __future__ import annotations

from behave import given, then, when
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.election import Role
from gentianspread_core.blackboard.messages import Message, MessageKind
from support import create_workspace, follower_name, lose_disk

CHANGE_TIMEOUT_S = 8.0
POWER_LOSS_S = 0.2


def disk_vms(context):
    return [vm for vm in context.simulation.vms.values() if vm.disk is not None]


def restart_all(context):
    for vm in context.simulation.vms.values():
        vm.kill()
    context.simulation.run(POWER_LOSS_S)
    for vm in context.simulation.vms.values():
        vm.start()


def run_until(context, condition, limit_s):
    end = context.simulation.clock.now() + limit_s
    while not condition():
        assert context.simulation.clock.now() < end, "not reached in time"
        context.simulation.run(0.02)


@given("a running fleet whose control log has recorded its voters")
def step_recorded(context):
    simulation = context.simulation
    for vm in disk_vms(context):
        vm.settings.records_initial_voters = True
    run_until(context, lambda: simulation.leader().board.configuration.voters, 2.0)
    simulation.run(1.0)


@given("there is no standby")
def step_no_standby(context):
    simulation = context.simulation
    simulation.vms["s1"].kill()
    simulation.run(2.0)


@when("a voter freezes until the standby has replaced it, and another one is killed")
def step_freeze_and_kill(context):
    simulation = context.simulation
    leader = simulation.leader()
    frozen = simulation.vms[follower_name(context)]
    frozen.frozen = True
    run_until(
        context,
        lambda: len(leader.board.configuration.voters) == 3
        and frozen.name not in leader.board.configuration.voters,
        15.0,
    )
    simulation.run(0.5)
    names = [name for name in leader.board.log.voters if name not in (leader.name, "s1")]
    simulation.vms[names[0]].kill()
    context.parts = {"leader": leader, "frozen": frozen, "killed": simulation.vms[names[0]]}


@when("a change is acknowledged")
def step_acknowledged(context):
    simulation = context.simulation
    end = simulation.clock.now() + CHANGE_TIMEOUT_S
    number = len(context.outcomes)
    while simulation.clock.now() < end:
        name = f"kept{number}"
        outcomes = create_workspace(context, name, name) if simulation.leader() else []
        simulation.run(0.5)
        if outcomes and outcomes[0] is not None and outcomes[0].accepted:
            context.outcomes[name] = outcomes
            return
        number += 1
    raise AssertionError("no change was acknowledged")


@when("the new voter loses its disk, the leader is killed and the frozen voter wakes")
def step_lose_new(context):
    for name in ("s1", "o1", "o2"):
        context.simulation.vms[name].kill()
    lose_disk(context, context.simulation.vms["s1"])
    context.parts["leader"].kill()
    context.parts["frozen"].frozen = False
    context.simulation.run(0.5)


@when("the new voter starts with its empty disk and hears the woken voter's list of voters")
def step_start_new(context):
    simulation = context.simulation
    simulation.vms["s1"].start()
    simulation.poll(simulation.vms["s1"], context.parts["frozen"])
    simulation.run(1.5)


@when("the other killed voter starts, and {seconds:g} s later the leader")
def step_start_others(context, seconds):
    context.parts["killed"].start()
    context.simulation.run(seconds)
    for name in ("o1", "o2"):
        context.simulation.vms[name].start()
    context.parts["leader"].start()


@then("the acknowledged change is in force on every VM")
def step_in_force(context):
    assert context.outcomes
    for vm in context.simulation.vms.values():
        workspaces = vm.board.configuration.workspaces
        missing = [name for name in context.outcomes if name not in workspaces]
        assert not vm.alive or not missing, (vm.name, missing)


@when("the disk of {lost} is lost and all VMs restart at the same moment")
def step_lose_and_restart(context, lost):
    names = {"the leader": context.simulation.leader().name, "s1": "s1"}
    voters = context.simulation.leader().board.log.voters
    others = [name for name in voters if name not in context.lost_disks]
    default = follower_name(context) if lost == "a follower" else others[0]
    running = [vm for vm in context.simulation.vms.values() if vm.alive]
    lose_disk(context, context.simulation.vms[names.get(lost, default)])
    for vm in running:
        vm.kill()
    context.simulation.run(POWER_LOSS_S)
    for vm in running:
        vm.start()


@when("the same VM loses its disk and restarts")
def step_lose_again(context):
    vm = context.simulation.vms[context.lost_vm]
    lose_disk(context, vm)
    vm.start()


@when("a voter is killed and the control log has {count:d} voters and {learners:d} learners")
def step_change_under_way(context, count, learners):
    simulation = context.simulation
    simulation.vms[follower_name(context)].kill()
    log = simulation.leader().board.log
    run_until(context, lambda: (len(log.voters), len(log.learners)) == (count, learners), 15.0)


@when("s1 loses its disk and all VMs restart")
def step_lose_standby(context):
    lose_disk(context, context.simulation.vms["s1"])
    restart_all(context)


@when("the lost disk is put back and all VMs restart")
def step_put_back(context):
    vm = context.simulation.vms[context.lost_vm]
    vm.kill()
    old = vm.disk
    vm.disk = context.lost_disks[vm.name][0]
    context.lost_disks[vm.name] = [old]
    restart_all(context)


@then("no VM votes with a lost disk")
def step_none_lost(context):
    log = context.simulation.leader().board.log
    for name in log.voters:
        lost = [disk.hard_state.incarnation for disk in context.lost_disks.get(name, [])]
        assert log.incarnation_of(name) not in lost, name
        disk = context.simulation.vms[name].disk
        assert log.incarnation_of(name) == disk.hard_state.incarnation, name


@then("that voter votes with another incarnation than before")
def step_new_incarnation(context):
    log = context.simulation.leader().board.log
    assert context.lost_vm in log.voters and log.incarnation_of(context.lost_vm), log.incarnations


@when("a candidate asks it for its vote by its name alone")
def step_vote_by_name(context):
    voter = context.simulation.vms[context.lost_vm]
    candidate = follower_name(context)
    message = Message(MessageKind.VOTE, candidate, voter.name, 99, index=99, log_term=98)
    voter.board.outbox.take_control_batch()
    voter.board.post(Topic.MESSAGE_RECEIVED, message)
    context.replies = voter.board.outbox.take_control_batch().messages


@then("it sends no reply")
def step_no_reply(context):
    assert not context.replies, [reply.kind for reply in context.replies]


@when("a late reply from the lost disk confirms entry {index:d} to the leader")
def step_late_reply(context, index):
    leader = context.simulation.leader()
    term = leader.board.election.term
    message = Message(
        MessageKind.APPEND_REPLY, context.lost_vm, leader.name, term, index=index, granted=True
    )
    leader.board.post(Topic.MESSAGE_RECEIVED, message)


@then("the leader counts at most its own last entry as confirmed by that voter")
def step_not_counted(context):
    log = context.simulation.leader().board.log
    assert log.peers[context.lost_vm].match_index <= log.last_index()


@when("all others are killed, the leader's disk is lost, and the frozen voter wakes")
def step_all_killed(context):
    for vm in context.simulation.vms.values():
        if vm is not context.parts["frozen"]:
            vm.kill()
    lose_disk(context, context.parts["leader"])
    context.parts["frozen"].frozen = False
    context.simulation.run(POWER_LOSS_S)


@when("the other two voters start, and the new one hears the older list of voters")
def step_start_without_leader(context):
    new_voter = context.simulation.vms["s1"]
    update = context.parts["frozen"].engine.configuration.build_update(0, "s1", has_log=False)
    new_voter.start()
    context.parts["killed"].start()
    new_voter.board.post(Topic.CONFIGURATION_RECEIVED, update)


@when("a voter is isolated and asks for votes, and a late vote from the lost disk reaches it")
def step_late_vote(context):
    simulation = context.simulation
    voters = simulation.leader().board.log.voters
    names = [name for name in voters if name not in (simulation.leader().name, context.lost_vm)]
    candidate = simulation.vms[names[0]]
    simulation.isolate(candidate.name)
    run_until(context, lambda: candidate.board.election.role is Role.CANDIDATE, 5.0)
    context.term_before = candidate.board.election.term
    context.candidate = candidate
    for kind, term in ((MessageKind.PRE_VOTE_REPLY, 1), (MessageKind.VOTE_REPLY, 0)):
        reply = Message(
            kind, context.lost_vm, candidate.name, context.term_before + term, granted=True
        )
        candidate.board.post(Topic.MESSAGE_RECEIVED, reply)


@then("that voter does not count it")
def step_vote_not_counted(context):
    election = context.candidate.board.election
    assert election.role is Role.CANDIDATE, election.role
    assert election.term == context.term_before, election.term


@then("there is a leader with the acknowledged change")
def step_leader_has_change(context):
    leader = context.simulation.leader()
    assert leader is not None, "there is no leader"
    assert set(context.outcomes) <= set(leader.board.configuration.workspaces)
