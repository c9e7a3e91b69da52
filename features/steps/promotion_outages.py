"""Steps about control leaders, handovers and VMs out of touch during promotions."""

from __future__ import annotations

from behave import given, then, when
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.configuration import to_snapshot
from gentianspread_core.blackboard.leases import COMMIT_LEASE_S, Opening
from gentianspread_core.blackboard.log import Snapshot
from gentianspread_core.blackboard.shutdown import ShutdownPhase, ShutdownPlan
from gentianspread_core.blackboard.timeline import EventKind
from gentianspread_core.controllers.shutdown import answer_at_end
from gentianspread_core.errors import ErrorCode
from gentianspread_lab.fakes.session_simulation import GROUP
from promotion_commits import COMMANDS, STEP_S, run_until, send

NEVER_S = 10_000.0
TRANSACTION_INTERVAL_S = 0.04
POLL_S = 0.002


@given("a write's deadline is {seconds:g} s")
def step_deadline(context, seconds):
    context.promotion_simulation.declare(2, timeout_s=seconds)
    context.promotion_simulation.run(0.5)


@when("the control VMs are down for {seconds:g} s and start again")
def step_control_restart(context, seconds):
    simulation = context.promotion_simulation
    simulation.stop_control()
    simulation.run(seconds)
    simulation.start_control()
    run_until(context, lambda: simulation.board.election.role.name == "LEADER")


@when("another control VM leads, which knew the grant and learned of its end from a snapshot")
def step_leader_from_snapshot(context):
    simulation = context.promotion_simulation
    configuration = simulation.board.configuration
    assert configuration.groups[GROUP].granted_term == configuration.groups[GROUP].term
    entries = simulation.disk.recover().entries
    grants = [item for item in entries if item.command.kind is CommandKind.GRANT_TERM]
    term = simulation.board.log.term_at(configuration.revision)
    snapshot = Snapshot(configuration.revision, term, to_snapshot(configuration))
    simulation.stop_control()
    simulation.run(STEP_S)
    simulation.start_control(applied_revision=grants[-1].index)
    simulation.board.post(Topic.SNAPSHOT_INSTALLED, snapshot)
    run_until(context, lambda: simulation.board.election.role.name == "LEADER")


@when("the RESUMEs to all replicas get no answer and are not carried out")
def step_lost_resumes(context):
    lost = [(COMMANDS["RESUME"], NEVER_S)] * 3
    context.promotion_simulation.late_commands += lost


@when('the control leader no longer reaches "{name:w}" once a promotion has begun')
def step_cut_during_promotion(context, name):
    run_until(context, lambda: context.promotion_simulation.board.groups.promotions)
    context.promotion_simulation.cut_off_endpoints.add(name)


@when('the zone "{zone:w}" is evacuated')
def step_evacuated(context, zone):
    simulation = context.promotion_simulation
    expected = simulation.board.configuration.evacuation_revision(zone)
    fields = {"zone": zone, "expected_revision": expected}
    simulation.propose(Command(CommandKind.BEGIN_EVACUATION, fields))
    simulation.run(STEP_S)


@when("an earlier leader's grant of the next fencing token is applied during an attempt")
def step_foreign_grant(context):
    simulation = context.promotion_simulation
    group = simulation.board.configuration.groups[GROUP]
    context.foreign_token = group.granted_term + 1
    fields = {"group": GROUP, "term": context.foreign_token}
    simulation.cut_off_endpoints.add("b1")

    def grant_first(command):
        if command.kind is EventKind.FAILOVER_STARTED and not context.is_foreign_granted:
            context.is_foreign_granted = True
            simulation.propose(Command(CommandKind.GRANT_TERM, fields))

    context.is_foreign_granted = False
    simulation.board.timeline.sink = grant_first
    run_until(context, lambda: context.is_foreign_granted)


@then("no promote call used the fencing token of the other leader")
def step_no_foreign_token(context):
    simulation = context.promotion_simulation
    tokens = [token for _, token in simulation.promotions]
    assert tokens and context.foreign_token not in tokens, (tokens, context.foreign_token)


@then('the control log granted at most {count:d} fencing token, and "{name:w}" is reached again')
def step_granted(context, count, name):
    simulation = context.promotion_simulation
    assert simulation.board.configuration.groups[GROUP].granted_term <= count
    simulation.cut_off_endpoints.discard(name)


@when('"{vm:w}" is cut off from the control VMs')
def step_cut_off(context, vm):
    context.promotion_simulation.cut_off_vms.add(vm)


@when('"{vm:w}" is without news of the configuration')
def step_unpolled(context, vm):
    context.promotion_simulation.unpolled_vms.add(vm)


@when("all VMs are in touch")
def step_in_touch(context):
    context.promotion_simulation.cut_off_vms.clear()
    context.promotion_simulation.unpolled_vms.clear()


@when("no VM is in touch again")
def step_nobody_in_touch(context):
    assert context.promotion_simulation.cut_off_vms


@when('the caller at "{vm:w}" begins a transaction and writes in it')
def step_transaction(context, vm):
    for text in ("BEGIN", "WRITE x 1"):
        call = send(context, vm, context.callers[vm], text)
        run_until(context, lambda call=call: call.answer is not None)
        assert call.answer.refusal is None, call.answer.refusal.message


@when('the caller at "{vm:w}" commits')
def step_commit(context, vm):
    context.writes.append(send(context, vm, context.callers[vm], "COMMIT"))


@when("callers at every VM run transactions during the next {seconds:g} s")
def step_transaction_load(context, seconds):
    simulation = context.promotion_simulation
    end = simulation.clock.now() + seconds

    def begin():
        for vm in simulation.vms:
            session = simulation.open_session_at(vm, "latest")
            send_next(vm, session, ["BEGIN", "WRITE x 1", "WRITE y 2", "COMMIT"])
        if simulation.clock.now() + TRANSACTION_INTERVAL_S < end:
            simulation.call_later(begin, TRANSACTION_INTERVAL_S)

    def send_next(vm, session, texts):
        call = send(context, vm, session, texts[0])
        context.writes.append(call)
        simulation.call_later(lambda: go_on(vm, session, texts[1:], call), POLL_S)

    def go_on(vm, session, texts, call):
        if call.answer is None:
            simulation.call_later(lambda: go_on(vm, session, texts, call), POLL_S)
        elif call.answer.refusal is None and texts:
            send_next(vm, session, texts)
        else:
            simulation.vms[vm].board.post(Topic.SESSION_CLOSED, session)

    begin()


@when('the caller at "{vm:w}" leaves')
def step_caller_leaves(context, vm):
    board = context.promotion_simulation.vms[vm].board
    board.post(Topic.SESSION_CLOSED, context.callers[vm])


@when('"{vm:w}" is told to stop within {seconds:g} s')
def step_stop(context, vm, seconds):
    board = context.promotion_simulation.vms[vm].board
    context.stop_ends_at = context.promotion_simulation.clock.now() + seconds
    plan = ShutdownPlan.from_grace_period(seconds, seconds)
    board.post(Topic.SHUTDOWN_REQUESTED, plan)


@then('"{vm:w}" has been out of touch for its lease')
def step_out_of_touch(context, vm):
    simulation = context.promotion_simulation
    confirmed_at = simulation.vms[vm].board.configuration.confirmed_at
    assert simulation.clock.now() - confirmed_at >= COMMIT_LEASE_S


@then("statements were relayed")
def step_relayed(context):
    assert context.promotion_simulation.relayed_count > 0


@then("the last commit did not succeed")
def step_commit_failed(context):
    answer = context.writes[-1].answer
    assert answer is not None and answer.refusal is not None, "it succeeded or has no answer"


@then("no commit was acknowledged that the leading endpoint lacks")
def step_none_acknowledged(context):
    assert not context.promotion_simulation.lost_writes, context.promotion_simulation.lost_writes


@then('"{vm:w}" has no request and no session of a caller')
def step_no_work(context, vm):
    board = context.promotion_simulation.vms[vm].board
    assert board.shutdown.running_requests == 0, board.shutdown.running_requests
    assert not board.sessions.by_number, list(board.sessions.by_number)


@then('"{vm:w}" ends within its grace period')
def step_stopped(context, vm):
    board = context.promotion_simulation.vms[vm].board
    run_until(context, lambda: board.shutdown.phase is ShutdownPhase.ENDED)
    assert context.promotion_simulation.clock.now() <= context.stop_ends_at


@then('"{vm:w}" has ended, and the answer at its end is that the outcome is unknown')
def step_answered_at_end(context, vm):
    board = context.promotion_simulation.vms[vm].board
    assert board.shutdown.phase is ShutdownPhase.ENDED, board.shutdown.phase
    answer = context.writes[-1].answer or answer_at_end(context.callers[vm])
    assert answer.refusal is not None and answer.refusal.code is ErrorCode.OUTCOME_UNKNOWN


@when("another control VM leads that applies the grant {seconds:g} s later")
def step_grant_applied_late(context, seconds):
    simulation = context.promotion_simulation
    granted_at = simulation.board.configuration.revision
    context.earlier_calls = list(simulation.called)
    simulation.stop_control()
    simulation.sync_delay_s = seconds
    simulation.start_control(applied_revision=granted_at - 1)
    run_until(context, lambda: simulation.board.election.role.name == "LEADER")


@then("no two leaders made calls with the same fencing token")
def step_distinct_tokens(context):
    simulation = context.promotion_simulation
    earlier = {token for _, token in context.earlier_calls}
    later = {token for _, token in simulation.called[len(context.earlier_calls) :]}
    assert not earlier & later, (context.earlier_calls, simulation.called)


@then("every replica receives")
def step_all_receive(context):
    paused = [
        item.name
        for item in context.promotion_simulation.endpoints.values()
        if item.replication_paused
    ]
    assert not paused, paused


@given("the control leader has missed the end of a promotion of {seconds:g} s ago")
def step_stale_opening(context, seconds):
    simulation = context.promotion_simulation
    began_at = simulation.clock.now() - seconds
    simulation.board.leases.openings[GROUP] = Opening(1, began_at, after_term=-1)


@then("no promote call was made")
def step_no_call(context):
    assert not context.promotion_simulation.promotions, context.promotion_simulation.promotions
