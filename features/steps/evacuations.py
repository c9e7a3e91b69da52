"""Steps about evacuations of availability zones, in simulations of entry VMs and endpoints."""

from __future__ import annotations

from behave import given, then, when
from gentianspread_core.blackboard.commands import CommandKind
from gentianspread_core.blackboard.election import Role
from gentianspread_core.errors import ErrorCode, ExecutionResult
from support import change_zone, run_callers, send_at

BOUND_S = 5.0
ANSWER_TIME_S = 0.5  # statements sent later than that before a check may be unanswered
WAITING_TIMEOUT_S = 4.0  # so long that no read gives up waiting by itself
MIN_WAITING_AT_HOMES = 10  # the other reads wait at the VMs that they arrived at


class Arrival:
    """An exchange that an endpoint executed; `is_new` if it belongs to no open transaction."""

    __slots__ = ("at", "endpoint", "statement_ids", "is_new")

    def __init__(self, at, endpoint, statement_ids, is_new):
        self.at = at
        self.endpoint = endpoint
        self.statement_ids = statement_ids
        self.is_new = is_new


def _record_arrivals(context, endpoint):
    execute = endpoint.execute

    def record_and_execute(connection, exchange):
        session = endpoint.sessions.get(connection)
        ids = {step.statement_id for steps in exchange.rounds for step in steps}
        is_new = session is None or not session.in_transaction
        now = context.home_simulation.clock.now()
        context.arrivals.append(Arrival(now, endpoint, ids, is_new))
        return execute(connection, exchange)

    endpoint.execute = record_and_execute


@given("evacuations take {seconds:g} s, and every entry VM has callers that read and write")
def step_evacuations(context, seconds):
    simulation = context.home_simulation
    for board in simulation.boards:
        board.settings.evacuation_timeout_s = seconds
    context.arrivals = []
    for endpoint in simulation.endpoints.values():
        _record_arrivals(context, endpoint)
    context.load = []
    for name in list(simulation.vms):
        _add_callers(context, name)
    context.load_calls = []
    context.acknowledged_at = {}


def _add_callers(context, vm):
    for database, text in (("latest", "WRITE x 1"), ("bounded", "READ x")):
        session = context.home_simulation.open_session_at(vm, database)
        context.load.append((vm, session, text))


@when("callers send for {seconds:g} s")
def step_load(context, seconds):
    run_callers(context, seconds)


@when('callers send at "{vm:w}" for {seconds:g} s')
def step_load_at(context, vm, seconds):
    _add_callers(context, vm)
    run_callers(context, seconds, {vm})


@when('the evacuation of "{zones:Quoted}" is acknowledged')
def step_begin(context, zones):
    for zone in zones.split():
        at = change_zone(context.home_simulation, CommandKind.BEGIN_EVACUATION, zone)
        context.acknowledged_at[zone] = at


@when('the evacuation of "{zones:Quoted}" is finished')
def step_finish(context, zones):
    for zone in zones.split():
        change_zone(context.home_simulation, CommandKind.FINISH_EVACUATION, zone)


@when(
    'the evacuation of "{zone:w}" is acknowledged while {count:d} versions are declared within 8 s'
)
def step_begin_amid_changes(context, zone, count):
    for number in range(count):
        context.home_simulation.declare(2 + number)
        if number == 5:
            step_begin(context, zone)
        run_callers(context, 0.1)


def _arrivals_after(context, zones, delay_s, is_new=False):
    return [
        item
        for item in context.arrivals
        for zone in zones.split()
        if item.endpoint.zone == zone and item.at > context.acknowledged_at[zone] + delay_s
        if item.is_new or not is_new
    ]


@then(
    'no request reached an endpoint of "{zones:Quoted}" later than {seconds:g} s'
    " after the acknowledgement"
)
def step_none_reached(context, zones, seconds):
    late = _arrivals_after(context, zones, seconds)
    assert context.arrivals and not late, len(late)


@then(
    'no new work reached an endpoint of "{zones:Quoted}" later than {seconds:g} s'
    " after the acknowledgement"
)
def step_no_new_work(context, zones, seconds):
    late = _arrivals_after(context, zones, seconds, is_new=True)
    assert context.arrivals and not late, len(late)


def _calls_of_last(context, seconds):
    now = context.home_simulation.clock.now()
    return [
        (vm, call)
        for vm, call in context.load_calls
        if now - seconds <= call.arrived_at <= now - ANSWER_TIME_S
    ]


def _assert_served(calls):
    refused = [call.answer and call.answer.refusal.code for _, call in calls if not _is_ok(call)]
    assert calls and not refused, (len(calls), refused[:5])


def _is_ok(call):
    return call.answer is not None and call.answer.refusal is None


@then("every caller's statement of the last {seconds:g} s was served")
def step_served(context, seconds):
    _assert_served(_calls_of_last(context, seconds))


@then('the entry VMs of "{zone:w}" served their callers in the last {seconds:g} s')
def step_zone_served(context, zone, seconds):
    vms = context.home_simulation.vms
    calls = _calls_of_last(context, seconds)
    _assert_served([item for item in calls if vms[item[0]].board.settings.zone == zone])


@then("callers were served {seconds:g} s after the acknowledgement")
def step_served_at(context, seconds):
    at = max(context.acknowledged_at.values()) + seconds
    _assert_served([item for item in context.load_calls if abs(item[1].arrived_at - at) < 0.5])


def _assert_refused(context, calls, limit):
    assert calls
    for call in calls:
        refusal = call.answer.refusal
        assert refusal and refusal.code is ErrorCode.ZONE_EVACUATED, refusal
        assert refusal.result is ExecutionResult.NOT_RUN
        took_s = context.answered_at[call.statement.statement_id] - call.arrived_at
        assert took_s <= limit, took_s


@then("every statement of the last {seconds:g} s was refused within {limit:g} s as not run")
def step_refused(context, seconds, limit):
    _assert_refused(context, [call for _, call in _calls_of_last(context, seconds)], limit)


def _of_kind(context, seconds, kind):
    calls = _calls_of_last(context, seconds)
    return [item for item in calls if item[1].statement.text.startswith(kind)]


@then("every write of the last {seconds:g} s was refused within {limit:g} s as not run")
def step_writes_refused(context, seconds, limit):
    calls = _of_kind(context, seconds, "WRITE")
    _assert_refused(context, [call for _, call in calls], limit)


@then("every read of the last {seconds:g} s was served")
def step_reads_served(context, seconds):
    _assert_served(_of_kind(context, seconds, "READ"))


@then("no acknowledged write was lost")
def step_no_write_lost(context):
    log = set(context.home_simulation.primary().log)
    acknowledged = {
        call.statement.statement_id
        for _, call in context.load_calls
        if _is_ok(call) and call.statement.text.startswith("WRITE")
    }
    assert acknowledged and acknowledged <= log, acknowledged - log


@then('the primary is in none of "{zones:Quoted}"')
def step_primary_outside(context, zones):
    assert context.home_simulation.primary().zone not in zones.split()


@then("no VM of the simulation violated an invariant")
def step_invariants(context):
    simulation = context.home_simulation
    for engine in (simulation.engine, *simulation.vms.values()):
        assert not engine.invariants.violations, engine.invariants.violations


@then("no VM acts on an evacuation")
def step_none_in_force(context):
    for engine in context.home_simulation.vms.values():
        assert not engine.board.evacuations.by_zone


def _last(context, name):
    answer = context.calls_by_session[name][-1].answer
    assert answer is not None, "no answer came"
    return answer


@then('the last statement of "{name:w}" succeeded')
def step_last_succeeded(context, name):
    assert _last(context, name).refusal is None, _last(context, name).refusal


@then('the last statement of "{name:w}" was refused as not run with "{code:w}"')
def step_last_refused(context, name, code):
    refusal = _last(context, name).refusal
    assert refusal is not None and refusal.code.value == code, refusal
    assert refusal.result is ExecutionResult.NOT_RUN


@then('the transaction of "{name:w}" is at "{endpoint:w}"')
def step_transaction_at(context, name, endpoint):
    transaction = context.sessions[name].transaction
    assert transaction.connection.endpoint == endpoint, transaction.connection.endpoint


@then('the transaction of "{name:w}" is at "{endpoint:w}", and "{vm:w}" relays its statements')
def step_transaction_relayed(context, name, endpoint, vm):
    step_transaction_at(context, name, endpoint)
    home = context.sessions[name].transaction.connection.home
    assert home is not None and home.name != vm, home


@when('"{vm:w}" receives no configuration any more')
def step_no_configuration(context, vm):
    context.home_simulation.unpolled_vms.add(vm)


@when('"{vm:w}" starts without a configuration')
def step_starts(context, vm):
    simulation = context.home_simulation
    simulation.add_cut_off_vm(vm, "z1")
    simulation.vms[vm].board.settings.evacuation_timeout_s = BOUND_S


@when('"{vm:w}" receives the configuration')
def step_receives(context, vm):
    context.home_simulation.unpolled_vms.discard(vm)
    context.home_simulation.cut_off_vms.discard(vm)
    context.home_simulation.run(0.2)
    context.received_at = context.home_simulation.clock.now()


@then('no request of "{vm:w}" reached an endpoint after that')
def step_none_of_vm(context, vm):
    calls = [call for sender, call in context.load_calls if sender == vm]
    assert calls and all(call.answer is not None for call in calls[:-2])
    late = [item for item in context.arrivals if item.at > context.received_at]
    assert not late, len(late)


@when("the endpoints need {seconds:g} s for each statement")
def step_slow(context, seconds):
    for endpoint in context.home_simulation.endpoints.values():
        endpoint.statement_cost_s = seconds


@when('"{name:w}" sends "{text:Quoted}" at "{vm:w}" {seconds:g} s after the acknowledgement')
def step_send_at(context, name, text, vm, seconds):
    simulation = context.home_simulation
    at = max(context.acknowledged_at.values()) + seconds
    simulation.run(at - simulation.clock.now())
    call = send_at(context, vm, context.sessions[name], text)
    context.calls_by_session[name].append(call)


@when('{count:d} reads wait for "{name:w}" at its home VMs')
def step_waiting_reads(context, count, name):
    """Have VMs of other zones relay reads that the homes cannot send yet."""
    simulation = context.home_simulation
    simulation.declare(2, timeout_s=WAITING_TIMEOUT_S)
    simulation.endpoints[name].statement_cost_s = 0.3
    others = [item for item in simulation.endpoints if item != name]
    senders = [vm for vm in simulation.vms if vm in ("h1", "h3", "h4", "h6")]
    _set_suspected(simulation, senders, others, True)
    for engine in simulation.vms.values():
        engine.board.endpoints.by_name[name].window.size = 1.0
    before = len(context.load_calls)
    for number in range(count):
        vm = senders[number % len(senders)]
        send_at(context, vm, simulation.open_session_at(vm, "bounded"), "READ x")
    simulation.run(0.02)
    _set_suspected(simulation, senders, others, False)
    queues = [engine.board.queues.pinned.get(name) for engine in simulation.vms.values()]
    waiting = sum(queue.length for queue in queues if queue)
    assert waiting >= MIN_WAITING_AT_HOMES, waiting
    context.waiting_calls = [call for _, call in context.load_calls[before:]]


def _set_suspected(simulation, vms, endpoints, suspected):
    for vm in vms:
        for name in endpoints:
            simulation.vms[vm].board.endpoints.by_name[name].suspected = suspected


@then('none of these reads reached "{name:w}" later than {seconds:g} s after the acknowledgement')
def step_waiting_elsewhere(context, name, seconds):
    ids = {call.statement.statement_id for call in context.waiting_calls}
    limit = max(context.acknowledged_at.values()) + seconds
    late = [
        item
        for item in context.arrivals
        if item.endpoint.name == name and item.at > limit and ids & item.statement_ids
    ]
    assert not late, len(late)


@then("all of these reads were served within {seconds:g} s after the acknowledgement")
def step_waiting_served(context, seconds):
    limit = max(context.acknowledged_at.values()) + seconds
    times = [context.answered_at.get(call.statement.statement_id) for call in context.waiting_calls]
    assert all(_is_ok(call) for call in context.waiting_calls)
    assert max(times) <= limit, max(times) - limit


@then("the control leader is the same, and changes reach every VM")
def step_control_works(context):
    simulation = context.home_simulation
    assert simulation.board.election.role is Role.LEADER
    simulation.declare(2)
    simulation.run(0.5)
    for engine in simulation.vms.values():
        assert engine.board.configuration.declaration.version == 2
