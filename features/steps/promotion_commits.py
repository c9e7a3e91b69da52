"""Steps about commits while a promotion is under way."""

from __future__ import annotations

from behave import given, then, when
from gentianspread_core.blackboard.groups import PromotionPhase, PromotionProof
from gentianspread_core.blackboard.outbox import EndpointCommandKind
from gentianspread_core.blackboard.timeline import EventKind
from gentianspread_core.errors import ErrorCode, ExecutionResult
from gentianspread_lab.fakes.session_simulation import GROUP
from gentianspread_server.platform.wire import decode_statement

STEP_S = 0.005
GUARD_S = 20.0
WRITE_INTERVAL_S = 0.02
COMMANDS = {
    "PAUSE": EndpointCommandKind.PAUSE_REPLICATION,
    "RESUME": EndpointCommandKind.RESUME_REPLICATION,
    "STEPDOWN": EndpointCommandKind.STEP_DOWN,
    "promote call": EndpointCommandKind.PROMOTE,
}


def run_until(context, condition):
    """Run the simulation until a condition holds."""
    simulation = context.promotion_simulation
    end = simulation.clock.now() + GUARD_S
    while not condition():
        assert simulation.clock.now() < end, "it did not happen in time"
        simulation.run(STEP_S)


def send(context, vm, session, text):
    """Send a statement with a new id and return the call."""
    context.statement_count = getattr(context, "statement_count", 0) + 1
    statement = decode_statement(f"w{context.statement_count}", text)
    return context.promotion_simulation.send_statement_at(vm, session, statement)


def group_of(context):
    return context.promotion_simulation.board.configuration.groups[GROUP]


def is_decided(context):
    """Return whether the control log has no promotion under way."""
    return group_of(context).granted_term == group_of(context).term


def target_of(context):
    return context.promotion_simulation.promotions[-1][0]


@given('a caller at "{vm:w}"')
def step_caller(context, vm):
    context.callers[vm] = context.promotion_simulation.open_session_at(vm, "latest")


@given('"{name:w}" receives nothing from the primary')
@when('"{name:w}" receives nothing from the primary')
def step_receives_nothing(context, name):
    context.promotion_simulation.endpoints[name].ignores_replication = True


@when("the control leader no longer reaches the primary")
def step_cut_primary(context):
    context.promotion_simulation.cut_off_endpoints.add("b1")


@when('the control leader no longer reaches "{name:w}"')
def step_cut_endpoint(context, name):
    context.promotion_simulation.cut_off_endpoints.add(name)


@when('the control leader no longer reaches "{name:w}" after it was promoted')
def step_cut_promoted(context, name):
    assert context.promotion_simulation.primary().name == name
    context.promotion_simulation.cut_off_endpoints = {name}


@when('the control leader reaches "{name:w}" again')
def step_reach_endpoint(context, name):
    context.promotion_simulation.cut_off_endpoints.discard(name)


@when("the control leader reaches all endpoints again")
def step_reach_all(context):
    context.promotion_simulation.cut_off_endpoints.clear()


@when("a term has been granted")
def step_granted(context):
    run_until(context, lambda: not is_decided(context))


@when('"{name:w}" has been paused')
def step_paused(context, name):
    run_until(context, lambda: context.promotion_simulation.endpoints[name].replication_paused)


@when("the primary has stepped down")
def step_stepped_down(context):
    run_until(context, lambda: not context.promotion_simulation.has_primary())


@when("the promote call has been made")
def step_call_made(context):
    run_until(context, lambda: context.promotion_simulation.promotions)


@when("a promote call has been sent")
def step_call_sent(context):
    promotions = context.promotion_simulation.board.groups.promotions
    run_until(
        context,
        lambda: GROUP in promotions and promotions[GROUP].phase is PromotionPhase.CALLING,
    )
    context.promotion_simulation.run(STEP_S)


@when("the promotion has ended")
def step_ended(context):
    run_until(context, lambda: is_decided(context))


@when('"{name:w}" leads')
def step_leads(context, name):
    run_until(context, lambda: context.promotion_simulation.endpoints[name].is_primary)
    context.led_at = context.promotion_simulation.clock.now()


@when('"{name:w}" joins without having announced itself')
def step_joins_unannounced(context, name):
    context.promotion_simulation.join(name, is_announced=False)


@when('"{name:w}" joins')
def step_joins(context, name):
    context.promotion_simulation.join(name)


@when('"{name:w}" starts again without having announced itself')
def step_restarts_unannounced(context, name):
    context.promotion_simulation.crash(name)
    context.promotion_simulation.restart(name, 2, is_announced=False)


@when('"{name:w}" starts again and announces itself')
def step_restarts(context, name):
    context.promotion_simulation.crash(name)
    context.promotion_simulation.restart(name, 2)


@when('"{name:w}" starts again without the log and without having announced itself')
def step_restarts_empty(context, name):
    simulation = context.promotion_simulation
    simulation.crash(name)
    simulation.endpoints[name].ignores_replication = True
    simulation.restart(name, 2, is_announced=False)
    assert not simulation.endpoints[name].log


@when('"{name:w}" ends')
def step_ends(context, name):
    context.promotion_simulation.crash(name)


@when('"{name:w}" ends and is deregistered')
def step_deregistered(context, name):
    context.promotion_simulation.crash(name)
    context.promotion_simulation.deregister(name)
    context.promotion_simulation.run(STEP_S)


@when('"{name:w}" announces that it leaves')
def step_leaves(context, name):
    simulation = context.promotion_simulation
    simulation.announce(simulation.endpoints[name], leaving=True, sequence=2)


@when("the next {command} gets no answer and is carried out after {seconds:g} s")
def step_late_command(context, command, seconds):
    context.promotion_simulation.late_commands.append((COMMANDS[command], seconds))


@when("the next {command} is carried out and answered after {seconds:g} s")
def step_slow_command(context, command, seconds):
    context.promotion_simulation.slow_commands.append((COMMANDS[command], seconds))


@when("an endpoint leads {seconds:g} s after its promote call")
def step_effect_delay(context, seconds):
    context.promotion_simulation.effect_delay_s = seconds


@when('"{name:w}" has caught up with "{source:w}"')
def step_caught_up(context, name, source):
    context.promotion_simulation.catch_up(name, source)


@when('an earlier RESUME is carried out at "{name:w}"')
def step_late_resume(context, name):
    context.promotion_simulation.resume(name)


@when('the caller at "{vm:w}" writes')
def step_writes(context, vm):
    context.writes.append(send(context, vm, context.callers[vm], "WRITE x 1"))


@given("callers at every VM write during the next {seconds:g} s")
@when("callers at every VM write during the next {seconds:g} s")
def step_write_load(context, seconds):
    write_load(context, list(context.promotion_simulation.vms), seconds)


@when('callers at "{vm:w}" write during the next {seconds:g} s')
def step_write_load_at(context, vm, seconds):
    write_load(context, [vm], seconds)


def write_load(context, vms, seconds):
    simulation = context.promotion_simulation
    end = simulation.clock.now() + seconds

    def write_once():
        for vm in vms:
            session = simulation.open_session_at(vm, "latest")
            context.writes.append(send(context, vm, session, "WRITE x 1"))
        if simulation.clock.now() + WRITE_INTERVAL_S < end:
            simulation.call_later(write_once, WRITE_INTERVAL_S)

    write_once()


def _send(context, vm, text):
    call = send(context, vm, context.callers[vm], text)
    context.writes.append(call)
    return call


@given('the caller at "{vm:w}" has written in a transaction')
def step_written(context, vm):
    for text in ("BEGIN", "WRITE x 1"):
        call = _send(context, vm, text)
        context.promotion_simulation.run(0.2)
        assert call.answer is not None and call.answer.refusal is None, call.answer


@when('the VM "{vm:w}" no longer reaches the control VMs')
def step_vm_cut_off(context, vm):
    context.promotion_simulation.unpolled_vms.add(vm)


@when('the caller at "{vm:w}" sends "{text}"')
def step_sends(context, vm, text):
    context.log_length = len(context.promotion_simulation.primary().log)
    _send(context, vm, text)


@then('the last statement was refused as "{code:Quoted}", and the endpoints ran nothing of it')
def step_refused(context, code):
    refusal = context.writes[-1].answer.refusal
    assert (refusal.code.value if refusal else "") == code, refusal
    assert refusal is None or refusal.result is ExecutionResult.NOT_RUN
    assert len(context.promotion_simulation.primary().log) == context.log_length


@then('another endpoint than "{name:w}" is the primary')
def step_other_primary(context, name):
    simulation = context.promotion_simulation
    assert simulation.primary().name != name, simulation.promotions
    assert group_of(context).primary == simulation.primary().name


@then('"{name:w}" is the primary in the control log, and leads')
def step_primary(context, name):
    simulation = context.promotion_simulation
    leading = [item.name for item in simulation.endpoints.values() if item.is_primary]
    assert leading == [name] and group_of(context).primary == name, (
        leading,
        group_of(context).primary,
        simulation.promotions,
    )


@then('"{name:w}" does not lead')
def step_does_not_lead(context, name):
    simulation = context.promotion_simulation
    assert not simulation.endpoints[name].is_primary, simulation.promotions


@then("the endpoint that leads has every acknowledged write")
def step_none_lost(context):
    assert context.writes and all(call.answer is not None for call in context.writes)
    assert not context.promotion_simulation.lost_writes, context.promotion_simulation.lost_writes


@then('no write was acknowledged after "{name:w}" led that it lacks')
def step_no_false_success(context, name):
    simulation = context.promotion_simulation
    log = set(simulation.endpoints[name].log)
    times = simulation.acknowledged.items()
    false = [write for write, at in times if at >= context.led_at and write not in log]
    assert not false, false


@then("no acknowledged write is lost")
def step_no_loss(context):
    assert context.promotion_simulation.acknowledged
    assert not context.promotion_simulation.lost_writes, context.promotion_simulation.lost_writes


@then('a new write at "{vm:w}" succeeds')
def step_new_write(context, vm):
    session = context.promotion_simulation.open_session_at(vm, "latest")
    call = send(context, vm, session, "WRITE x 1")
    run_until(context, lambda: call.answer is not None)
    assert call.answer.refusal is None, (call.answer.refusal.code, call.answer.refusal.message)


@then('a new write at "{vm:w}" is refused within {seconds:g} s as one that has not run')
def step_new_write_refused(context, vm, seconds):
    simulation = context.promotion_simulation
    call = send(context, vm, simulation.open_session_at(vm, "latest"), "WRITE x 1")
    end = simulation.clock.now() + seconds
    run_until(context, lambda: call.answer is not None or simulation.clock.now() > end)
    assert call.answer is not None, "it has no answer"
    refusal = call.answer.refusal
    assert refusal is not None and refusal.result is ExecutionResult.NOT_RUN, refusal


@then("the last write is withheld")
def step_withheld(context):
    assert context.writes[-1].answer is None, context.writes[-1].answer
    boards = [engine.board for engine in context.promotion_simulation.vms.values()]
    withheld = [item for board in boards for item in board.groups.withheld.get(GROUP, [])]
    assert any(item.call is context.writes[-1] for item in withheld)


@then("the last write succeeded")
def step_last_ok(context):
    answer = context.writes[-1].answer
    assert answer is not None and answer.refusal is None, answer and answer.refusal


@then("the outcome of the last write is unknown")
def step_last_unknown(context):
    answer = context.writes[-1].answer
    assert answer is not None, "it has no answer"
    assert answer.refusal is not None, "it succeeded"
    assert answer.refusal.code is ErrorCode.OUTCOME_UNKNOWN, answer.refusal.code


@then("the control log has no promotion under way, and no VM withholds a commit")
def step_calm(context):
    assert is_decided(context), (group_of(context).granted_term, group_of(context).term)
    for vm, engine in context.promotion_simulation.vms.items():
        withheld = engine.board.groups.withheld.get(GROUP, [])
        assert all(item.outcome is not None for item in withheld), vm


def only_event(context, kind):
    events = events_of(context, kind)
    assert len(events) == 1, [(event.cause, event.details) for event in events]
    return events[0]


@then('the "{kind:w}" line has the cause "{cause}"')
def step_cause(context, kind, cause):
    assert only_event(context, kind).cause == cause, only_event(context, kind).cause


@then('the "{kind:w}" line has "{field:w}" with "{text}"')
def step_field(context, kind, field, text):
    assert text in only_event(context, kind).details[field], only_event(context, kind).details


@then('the control leader counts {count:d} promotion by "{proof:w}"')
def step_proofs(context, count, proof):
    counts = context.promotion_simulation.board.groups.proof_counts
    assert counts == {PromotionProof[proof]: count}, counts


@then("no endpoint was called")
def step_no_calls(context):
    assert not context.promotion_simulation.called, context.promotion_simulation.called


def events_of(context, kind):
    return [
        event
        for event in context.promotion_simulation.board.timeline.events
        if event.kind is EventKind(kind)
    ]
