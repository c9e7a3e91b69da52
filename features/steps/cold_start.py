"""Steps about callers that return right after a restart."""

from __future__ import annotations

from behave import given, then, when
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.shutdown import ShutdownPlan
from gentianspread_server.platform.wire import decode_statement


@given('a VM "{vm:w}" that starts without a configuration')
def step_start(context, vm):
    simulation = context.home_simulation
    simulation.add_cut_off_vm(vm, "z1")
    context.opened_at = {}
    simulation.vms[vm].board.changes.subscribe(
        Topic.SESSION_DECIDED,
        lambda session: context.opened_at.setdefault(session.number, simulation.clock.now()),
    )


@given('{count:d} callers open a session on "{database:w}" at "{vm:w}"')
@when('{count:d} callers open a session on "{database:w}" at "{vm:w}"')
def step_open(context, count, database, vm):
    simulation = context.home_simulation
    context.called_at = simulation.clock.now()
    context.load_sessions = [simulation.open_session_at(vm, database) for _ in range(count)]


@when('{seconds:g} s pass and "{vm:w}" then receives the configuration')
def step_pass_and_receive(context, seconds, vm):
    context.home_simulation.run(seconds)
    context.home_simulation.cut_off_vms.discard(vm)
    context.home_simulation.run(1.0)


@when('"{vm:w}" is stopped and then receives the configuration')
def step_stop(context, vm):
    plan = ShutdownPlan(draining_after_s=0.0, finishing_after_s=3.0, ended_after_s=5.0)
    context.home_simulation.vms[vm].board.post(Topic.SHUTDOWN_REQUESTED, plan)
    context.home_simulation.cut_off_vms.discard(vm)
    context.home_simulation.run(1.0)


@when('the callers at "{vm:w}" leave')
def step_leave(context, vm):
    for session in context.load_sessions:
        context.home_simulation.vms[vm].board.post(Topic.SESSION_CLOSED, session)


def _took(context):
    return [
        context.opened_at[session.number] - context.called_at for session in context.load_sessions
    ]


@then('{count:d} sessions at "{vm:w}" were opened within {seconds:g} s and none was refused')
def step_opened(context, count, vm, seconds):
    refused = [session.refusal.code for session in context.load_sessions if session.refusal]
    assert not refused, refused[:3]
    took = _took(context)
    assert len(took) == count and max(took) <= seconds, took[:3]
    assert len(context.home_simulation.vms[vm].board.sessions.by_number) == count


@then('{count:d} sessions at "{vm:w}" were refused within {seconds:g} s as "{code:w}"')
def step_refused(context, count, vm, seconds, code):
    codes = [session.refusal.code.value for session in context.load_sessions if session.refusal]
    assert codes == [code] * count, codes[:3]
    took = _took(context)
    assert max(took) <= seconds, max(took)
    assert not context.home_simulation.vms[vm].board.sessions.by_number


@then('every session at "{vm:w}" serves a read')
def step_serves(context, vm):
    simulation = context.home_simulation
    calls = [
        simulation.send_statement_at(vm, session, decode_statement(f"n{number}", "READ x"))
        for number, session in enumerate(context.load_sessions)
    ]
    simulation.run(1.0)
    refused = [call.answer.refusal.code for call in calls if call.answer.refusal]
    assert not refused, refused[:3]


@then('no session at "{vm:w}" is open')
def step_none_open(context, vm):
    sessions = context.home_simulation.vms[vm].board.sessions
    assert not sessions.by_number and not sessions.opening
