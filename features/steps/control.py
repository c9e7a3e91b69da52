"""Steps about the control log and its voters."""

from __future__ import annotations

from behave import then, when
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.commands import CommandKind
from gentianspread_core.blackboard.configuration import Configuration, to_snapshot
from gentianspread_core.blackboard.election import Role
from gentianspread_core.blackboard.messages import Message, MessageKind
from gentianspread_core.controllers.configuration import ConfigurationUpdate
from support import create_workspace, follower_name, lose_disk, record_permits, result_of, send

MAX_ELECTION_S = 5.0


@when("a network partition isolates a voter other than the leader")
def step_isolate_follower(context):
    leader = context.simulation.leader()
    context.leader_before = (leader.name, leader.board.election.term)
    context.lost_vm = follower_name(context)
    context.simulation.isolate(context.lost_vm)


@when("a network partition isolates the control leader")
def step_isolate_leader(context):
    leader = context.simulation.leader()
    context.leader_before = (leader.name, leader.board.election.term)
    context.simulation.isolate(leader.name)


@when("the control leader is killed, and messages are held up once another one leads")
def step_hold_up_new_leader(context):
    simulation = context.simulation
    simulation.leader().kill()
    end = simulation.clock.now() + MAX_ELECTION_S
    while simulation.leader() is None:
        assert simulation.clock.now() < end
        simulation.run(0.0005)
    simulation.message_delay_s = MAX_ELECTION_S


@when("the new leader is asked to remove a voter")
def step_ask_to_remove(context):
    leader = context.simulation.leader()
    assert leader.board.log.term_at(leader.board.log.commit_index) != leader.board.election.term
    voters = [name for name in leader.board.log.voters if name != follower_name(context)]
    fields = {"voters": voters, "learners": []}
    context.voter_changes = context.simulation.propose_change(CommandKind.CHANGE_VOTERS, fields)


@then("the change is refused at once")
def step_change_refused(context):
    assert context.voter_changes == [None], context.voter_changes


@when("a voter other than the leader is killed")
def step_kill_follower(context):
    context.lost_vm = follower_name(context)
    context.simulation.vms[context.lost_vm].kill()


@when("a voter loses its disk and restarts")
def step_lose_disk(context):
    context.lost_vm = follower_name(context)
    vm = context.simulation.vms[context.lost_vm]
    lose_disk(context, vm)
    vm.start()


@when("all VMs are killed and start again, the voters {gap:g} s apart, {count:d} times")
def step_restart_all_in_turn(context, gap, count):
    simulation = context.simulation
    context.election_delays = []
    for _ in range(count):
        for vm in simulation.vms.values():
            vm.kill()
        voters = [vm for vm in simulation.vms.values() if vm.name.startswith("v")]
        for vm in simulation.vms.values():
            if vm not in voters:
                vm.start()
        voters[0].start()
        simulation.run(gap)
        voters[1].start()
        majority_at = simulation.clock.now()
        while simulation.leader() is None and simulation.clock.now() < majority_at + 5.0:
            simulation.run(0.01)
            if simulation.clock.now() > majority_at + gap and not voters[2].alive:
                voters[2].start()
        context.election_delays.append(simulation.clock.now() - majority_at)
        simulation.run(2.0)


@then("each time a leader was elected within {seconds:g} s of the start of the second voter")
def step_elected_soon(context, seconds):
    assert context.election_delays and max(context.election_delays) <= seconds, max(
        context.election_delays
    )


@when("all VMs are killed and two voters start and ask for votes {gap:g} s apart")
def step_ask_together(context, gap):
    simulation = context.simulation
    for vm in simulation.vms.values():
        vm.kill()
    voters = [simulation.vms[name] for name in ("v1", "v2")]
    for vm in voters:
        vm.start()
    for vm in reversed(voters):
        vm.board.post(Topic.ELECTION_DUE)
        simulation.run(gap)


@then("one of the two is the leader")
def step_one_leads(context):
    leader = context.simulation.leader()
    assert leader is not None and leader.name in ("v1", "v2"), leader


@when("all VMs are killed and start again")
def step_restart_all(context):
    for vm in context.simulation.vms.values():
        vm.kill()
    for vm in context.simulation.vms.values():
        vm.start()
        if hasattr(context, "permits"):
            record_permits(context, vm)


@when('the workspace "{name:w}" is created with the change id "{change:w}"')
def step_create(context, name, change):
    before = context.simulation.leader().board.configuration.operator_revision
    context.revision_before = getattr(context, "revision_before", before)
    context.outcomes[change] = create_workspace(context, name, change)


@when('two operators create the workspaces "{first:w}" and "{second:w}" from the same revision')
def step_concurrent_changes(context, first, second):
    revision = context.simulation.leader().board.configuration.operator_revision
    for name in (first, second):
        context.outcomes[name] = create_workspace(context, name, name, revision)


@when("{count:d} changes are made")
def step_make_changes(context, count):
    for number in range(count):
        kind = CommandKind.SWITCH_PRESET
        context.simulation.propose_change(kind, {"preset": ("peak", "ordinary")[number % 2]})
        if number % 20 == 0:
            context.simulation.run(0.2)
    context.simulation.run(2.5)


@then("the control leader and its term are unchanged")
def step_same_leader(context):
    leader = context.simulation.leader()
    assert (leader.name, leader.board.election.term) == context.leader_before


@then("another VM is the leader in a higher term")
def step_new_leader(context):
    leader = context.simulation.leader()
    assert leader.name != context.leader_before[0]
    assert leader.board.election.term > context.leader_before[1]


@then("the old leader has stepped down and its configuration is not fresh")
def step_old_steps_down(context):
    board = context.simulation.vms[context.leader_before[0]].board
    assert board.election.role is not Role.LEADER
    assert not board.is_fresh()


@then("every VM has the same revision after {seconds:g} s")
def step_same_revision(context, seconds):
    context.simulation.run(seconds)
    revisions = {vm.name: vm.board.configuration.revision for vm in context.simulation.vms.values()}
    assert len(set(revisions.values())) == 1, revisions


@then("{name:w} is one of three voters and the lost VM is not")
def step_replaced(context, name):
    voters = context.simulation.leader().board.log.voters
    assert name in voters and context.lost_vm not in voters and len(voters) == 3, voters


@then('the timeline records "{later:w}" only after the last "{earlier:w}"')
def step_order(context, later, earlier):
    kinds = [event.kind.value for event in context.simulation.leader().board.timeline.events]
    assert later in kinds and earlier in kinds, kinds
    last_earlier = len(kinds) - 1 - kinds[::-1].index(earlier)
    assert kinds.index(later) > last_earlier, kinds


@then("that voter is an observer with an empty log")
def step_excluded(context):
    board = context.simulation.vms[context.lost_vm].board
    assert board.election.role is Role.OBSERVER, board.election.role
    assert board.log.last_index() == 0


@then("the replaced voter is an observer with a fresh configuration at the leader's revision")
def step_replaced_observes(context):
    leader = context.simulation.leader()
    assert context.lost_vm not in leader.board.log.voters, leader.board.log.voters
    board = context.simulation.vms[context.lost_vm].board
    assert board.is_fresh()
    assert board.configuration.revision == leader.board.configuration.revision
    assert board.election.role is Role.OBSERVER, board.election.role


@then("there are three voters and no learners, and every voter has every entry")
def step_redundancy_restored(context):
    leader = context.simulation.leader()
    log = leader.board.log
    assert len(log.voters) == 3 and not log.learners, (log.voters, log.learners)
    for name in log.voters:
        last_index = context.simulation.vms[name].board.log.last_index()
        assert last_index == log.last_index(), (name, last_index)


@then('the change "{change:w}" was accepted')
def step_accepted(context, change):
    outcomes = context.outcomes[change]
    assert outcomes and outcomes[0] is not None and outcomes[0].accepted, outcomes


@then('one change was accepted and the other failed with "{code:w}"')
def step_one_winner(context, code):
    outcomes = [items[0] for items in context.outcomes.values()]
    assert sorted(item.accepted for item in outcomes) == [False, True]
    assert next(item.code for item in outcomes if not item.accepted) == code


@then("the operator revision increased by {count:d}")
def step_revision_increased(context, count):
    revision = context.simulation.leader().board.configuration.operator_revision
    assert revision == context.revision_before + count, revision


@then("the configuration of {name:w} is not fresh")
def step_not_fresh(context, name):
    assert not context.simulation.vms[name].board.is_fresh()


@then('the workspace "{name:w}" exists on every VM')
def step_exists(context, name):
    for vm in context.simulation.vms.values():
        assert name in vm.board.configuration.workspaces, vm.name


@when("a network partition isolates a voter from the control leader only")
def step_isolate_from_leader(context):
    leader = context.simulation.leader()
    context.leader_before = (leader.name, leader.board.election.term)
    context.simulation.block_link(leader.name, follower_name(context))


@when("two changes of the voters are proposed at the same time")
def step_two_changes(context):
    voters = list(context.simulation.leader().board.log.voters)
    context.voter_change_outcomes = [
        context.simulation.propose_change(
            CommandKind.CHANGE_VOTERS, {"voters": voters, "learners": learners}
        )
        for learners in (["s1"], [])
    ]


@when("{name:w} receives a snapshot of the empty configuration")
def step_old_snapshot(context, name):
    old = to_snapshot(Configuration())
    board = context.simulation.vms[name].board
    context.newest_revision = board.configuration.revision
    update = ConfigurationUpdate([], old, 0, board.clock.now())
    board.post(Topic.CONFIGURATION_RECEIVED, update)


@then("the first change was accepted and the second was not")
def step_second_not_accepted(context):
    first, second = context.voter_change_outcomes
    assert first[0] is not None and first[0].accepted
    assert second == [None], second


@then("{name:w} still has the newest revision")
def step_keeps_newest(context, name):
    assert context.simulation.vms[name].board.configuration.revision >= context.newest_revision > 0


@when("the control leader's disk fills up and a change is proposed")
def step_full_disk(context):
    leader = context.simulation.leader()
    context.leader_before = (leader.name, leader.board.election.term)
    leader.disk.is_full = True
    create_workspace(context, "unsynced", "c0")


@then("the old leader serves a read")
def step_old_leader_serves(context):
    send(context, "r", context.leader_before[0], "read")
    context.simulation.run(1.0)
    assert result_of(context, "r") == "run", result_of(context, "r")


@when("a candidate with an empty log requests a vote")
def step_request_vote(context):
    leader = context.simulation.leader()
    voter = context.simulation.vms[follower_name(context)]
    term = voter.board.election.term + 1
    voter.board.post(
        Topic.MESSAGE_RECEIVED, Message(MessageKind.VOTE, leader.name, voter.name, term)
    )
    messages = voter.board.outbox.control.messages
    context.replies = [item for item in messages if item.kind is MessageKind.VOTE_REPLY]


@when('the creation of the workspace "{name:w}" is proposed to the isolated leader')
def step_create_at_isolated(context, name):
    fields = {"name": name, "rate": 1.0, "burst": 2.0}
    isolated = context.simulation.vms[context.leader_before[0]]
    context.simulation.propose_change(CommandKind.CREATE_WORKSPACE, fields, at=isolated)


@then("the vote is not granted")
def step_no_vote(context):
    assert [reply.granted for reply in context.replies] == [False], context.replies


@then('the isolated leader has an uncommitted entry and no workspace "{name:w}"')
def step_not_applied(context, name):
    board = context.simulation.vms[context.leader_before[0]].board
    assert board.log.last_index() > board.log.commit_index
    assert name not in board.configuration.workspaces
