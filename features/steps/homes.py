"""Steps about statements that are relayed between VMs."""

from __future__ import annotations

from collections import Counter

from behave import given, then, when
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.rate_limits import TokenRequest
from gentianspread_core.blackboard.requests import ExchangeStatus
from gentianspread_core.blackboard.sessions import SessionReply, SessionState
from gentianspread_core.controllers.endpoints import EndpointController
from gentianspread_core.errors import ErrorCode, ExecutionResult
from gentianspread_core.settings import RateTolerance
from gentianspread_lab.fakes.home_simulation import HomeSimulation
from gentianspread_server.platform.wire import decode_statement

SETTLING_S = 1.0
ROUND_INTERVAL_S = 0.5


def _send(context, vm, session, text):
    statement_id = f"n{len(context.statement_calls)}"
    call = context.home_simulation.send_statement_at(
        vm, session, decode_statement(statement_id, text)
    )
    context.statement_calls.append(call)
    return call


@given(
    '{count:d} workspaces, each with one session on "{first:w}" and one on "{second:w}" '
    "at each of two VMs"
)
def step_sessions(context, count, first, second):
    simulation = context.home_simulation
    simulation.declare(2, keys={f"w{number}": [f"k{number}"] for number in range(count)})
    simulation.run(0.5)
    names = list(simulation.vms)
    context.load_sessions = [
        (name, simulation.open_session_at(name, database, f"k{number}"))
        for number in range(count)
        for name in (names[number % len(names)], names[(number + 1) % len(names)])
        for database in (first, second)
    ]
    context.rounds = []
    context.opened_before = simulation.connections_opened()


@given('a session "{name:w}" on "{database:w}" at "{vm:w}"')
def step_session(context, name, database, vm):
    context.sessions[name] = context.home_simulation.open_session_at(vm, database)


@given("the endpoints have {slots:d} slot and need {cost:g} s for each statement")
def step_endpoints(context, slots, cost):
    context.statements_per_s = 0.0
    for endpoint in context.home_simulation.endpoints.values():
        endpoint.slots, endpoint.statement_cost_s = slots, cost
        endpoint.slot_free_at = [0.0] * slots
        context.statements_per_s += slots / cost


@when("every session reads once per {seconds:g} s, for {rounds:d} rounds")
def step_rounds(context, seconds, rounds):
    simulation = context.home_simulation
    for _ in range(rounds):
        calls = []
        for vm, session in context.load_sessions:
            if session.state is SessionState.IDLE and session.call is None:
                calls.append(_send(context, vm, session, "READ x"))
            simulation.run(seconds / len(context.load_sessions))
        context.rounds.append(calls)
    simulation.run(SETTLING_S)


@when('"{name:w}" sends at "{vm:w}" "{text:Quoted}"')
def step_send(context, name, vm, text):
    context.calls_by_session.setdefault(name, []).append(
        _send(context, vm, context.sessions[name], text)
    )
    context.home_simulation.run(SETTLING_S)


@when("the VM that holds the most connections stops answering")
def step_busiest_home_unreachable(context):
    counts = Counter()
    for name, engine in context.home_simulation.vms.items():
        pools = engine.board.connections.by_endpoint.values()
        counts[name] = sum(1 for pool in pools for item in pool if item.home is None)
    context.home_simulation.unreachable_vms.add(counts.most_common(1)[0][0])


@when('every VM but "{vm:w}" stops answering')
def step_others_unreachable(context, vm):
    context.home_simulation.unreachable_vms.update(
        name for name in context.home_simulation.vms if name != vm
    )


@when('"{vm:w}" disappears and {seconds:g} s pass')
def step_disappear(context, vm, seconds):
    simulation = context.home_simulation
    simulation.boards.remove(simulation.vms[vm].board)
    simulation.run(seconds)


def _served(context, calls):
    return [call for call in calls if call.answer is not None and call.answer.refusal is None]


def _duration_s(context, call):
    return context.answered_at[call.statement.statement_id] - call.arrived_at


@then("all reads were served within {seconds:g} s")
def step_all_served(context, seconds):
    calls = [call for calls in context.rounds for call in calls]
    refused = [call.answer.refusal.code for call in calls if call.answer.refusal]
    assert calls and not refused, refused[:5]
    assert max(_duration_s(context, call) for call in calls) <= seconds


@then("the reads of the last {rounds:d} rounds were served within {seconds:g} s")
def step_last_served(context, rounds, seconds):
    calls = [call for calls in context.rounds[-rounds:] for call in calls]
    assert calls and len(_served(context, calls)) == len(calls)
    assert max(_duration_s(context, call) for call in calls) <= seconds


@then("at most {limit:g} connections were opened to the endpoints per read")
def step_opened_per_read(context, limit):
    calls = [call for calls in context.rounds for call in calls]
    opened = context.home_simulation.connections_opened() - context.opened_before
    assert opened / len(calls) <= limit, (opened, len(calls))


@then(
    "at most {limit:d} connections were opened to each endpoint "
    "for each of {workspaces:d} workspaces"
)
def step_opened_per_workspace(context, limit, workspaces):
    opened = context.home_simulation.connections_opened() - context.opened_before
    assert opened <= limit * workspaces * len(context.home_simulation.endpoints), opened


@then("at least {share:g} of the reads that the slots can serve were served")
def step_share(context, share):
    calls = [call for calls in context.rounds for call in calls]
    possible = min(len(calls), context.statements_per_s * ROUND_INTERVAL_S * len(context.rounds))
    assert len(_served(context, calls)) >= share * possible, (
        len(_served(context, calls)),
        possible,
    )


@then('every statement of "{name:w}" succeeded')
def step_all_succeeded(context, name):
    refusals = [call.answer and call.answer.refusal for call in context.calls_by_session[name]]
    assert all(call.answer is not None for call in context.calls_by_session[name])
    assert not any(refusals), [item and item.code for item in refusals]


@then('the statements ran in one transaction, with "{name:w}" set to "{value:w}"')
def step_one_transaction(context, name, value):
    ran = [
        item
        for endpoint in context.home_simulation.endpoints.values()
        for item in endpoint.executed_statements
    ]
    assert [item.text for item in ran] == ["WRITE x 1", "READ x", "COMMIT"], ran
    assert all(item.in_transaction and item.values == {name: value} for item in ran)


@then("no home or endpoint holds an open transaction")
def step_no_open_transaction(context):
    for endpoint in context.home_simulation.endpoints.values():
        assert not any(item.in_transaction for item in endpoint.sessions.values())
    for engine in context.home_simulation.vms.values():
        assert not engine.board.relays.transactions


@then('the last statement of "{name:w}" has an unknown outcome and was relayed once')
def step_unknown_outcome(context, name):
    answer = context.calls_by_session[name][-1].answer
    assert answer.refusal is not None and answer.refusal.code is ErrorCode.OUTCOME_UNKNOWN
    assert context.home_simulation.relayed_count == 1, context.home_simulation.relayed_count


@then("one home holds an open transaction")
def step_one_open_transaction(context):
    vms = context.home_simulation.vms.values()
    assert sum(len(engine.board.relays.transactions) for engine in vms) == 1


@given("no VM has the list of VMs that serve callers")
def step_no_list(context):
    context.home_simulation.update_serving_vms(*context.home_simulation.vms)


@when("every VM receives the list of VMs that serve callers")
def step_list(context):
    context.home_simulation.update_serving_vms()


@then("only homes hold idle connections")
def step_only_homes(context):
    connection_count = 0
    for name, engine in context.home_simulation.vms.items():
        board = engine.board
        for endpoint in board.endpoints.by_name.values():
            homes = board.homes.of_endpoint(endpoint.name, endpoint.zone, endpoint.slots)
            connections = board.connections.of(endpoint.name)
            is_home = name in {vm.name for vm in homes}
            connection_count += len(connections)
            assert is_home or not connections, (name, endpoint.name)
    assert connection_count


@when('every VM but "{vm:w}" has a configuration without keys')
def step_remove_keys(context, vm):
    for name, engine in context.home_simulation.vms.items():
        if name != vm:
            engine.board.configuration.keys.clear()


@then('the last statement of "{name:w}" was relayed, did not run and was reported as not run')
def step_reported_not_run(context, name):
    call = context.calls_by_session[name][-1]
    ran = [
        item
        for endpoint in context.home_simulation.endpoints.values()
        for item in endpoint.executed_statements
    ]
    assert context.home_simulation.relayed_count and not ran
    assert call.answer.refusal.result is ExecutionResult.NOT_RUN, call.answer.refusal.code


@given(
    "{count:d} VMs that serve callers, and {workspaces:d} workspaces with a rate of {rate:g} "
    "and a burst of {burst:g}"
)
def step_many_vms(context, count, workspaces, rate, burst):
    context.home_simulation = HomeSimulation(vm_count=count)
    context.advance_clock = context.home_simulation.run
    simulation = context.home_simulation
    simulation.declare(
        2,
        rate=rate,
        burst=burst,
        keys={f"w{number}": [f"k{number}"] for number in range(workspaces)},
    )
    for zone in ("z2", "z3", "z4", "z5", "z6"):
        fields = {"zone": zone, "member": "vm"}
        simulation.propose(Command(CommandKind.NAME_ALLOCATOR, fields))
    rate_tolerance = RateTolerance(window_s=5.0, overage_fraction=0.1, slack_requests=20.0)
    for board in simulation.boards:
        board.settings.rate_tolerance = rate_tolerance
    simulation.run(2.0)
    context.answered_at = {}
    for engine in simulation.vms.values():
        engine.board.changes.subscribe(
            Topic.STATEMENT_ANSWERED,
            lambda call: context.answered_at.setdefault(
                call.statement.statement_id, simulation.clock.now()
            ),
        )
    context.workspace_count = workspaces
    context.token_requests = []
    for board in simulation.boards:
        board.changes.subscribe(Topic.INTENT_POSTED, context.token_requests.append)


def _open_sessions(context, names, database="bounded"):
    context.sessions_at = {
        (name, number): context.home_simulation.open_session_at(name, database, f"k{number}")
        for name in names
        for number in range(context.workspace_count)
    }


def _first_vms(context, count):
    return sorted(context.home_simulation.vms, key=lambda name: int(name[1:]))[:count]


@when("{count:d} of these VMs are cut off from the control VM and from the others")
def step_cut_off(context, count):
    cut_off = _first_vms(context, count)
    _open_sessions(context, cut_off)
    context.home_simulation.cut_off_vms.update(cut_off)


@when(
    "all VMs receive {rate:d} reads per second in all for {seconds:g} s, "
    "and {count:d} are cut off after {delay:g} s"
)
def step_cut_off_under_load(context, rate, seconds, count, delay):
    _open_sessions(context, context.home_simulation.vms)
    step_random_reads(context, rate, delay, settling=0.0)
    calls = context.statement_calls
    context.home_simulation.cut_off_vms.update(_first_vms(context, count))
    step_random_reads(context, rate, seconds - delay, calls)


@then("in no {window:g} s did more than {count:d} reads of a workspace run")
def step_window(context, window, count):
    ran_at = {}
    for call in context.statement_calls:
        if call.answer is not None and call.answer.refusal is None:
            ran_at.setdefault(call.session.key_hash, []).append(call.arrived_at)
    assert ran_at
    for times in ran_at.values():
        times.sort()
        most = max(sum(1 for at in times if start <= at <= start + window) for start in times)
        assert most <= count, most


@when("the VMs that are cut off receive {rate:d} reads per second in all for {seconds:g} s")
def step_random_reads(context, rate, seconds, calls=None, settling=1.0):
    simulation = context.home_simulation
    context.statement_calls = [] if calls is None else calls
    end = simulation.clock.now() + seconds
    while simulation.clock.now() < end:
        simulation.run(simulation.randomness.expovariate(rate))
        idle = [key for key, session in context.sessions_at.items() if session.call is None]
        if idle:
            name, number = simulation.randomness.choice(idle)
            _send(context, name, context.sessions_at[name, number], "READ x")
    simulation.run(settling)


@then("the share of these reads that were served within {seconds:g} s is at least {share:g}")
def step_share_served(context, seconds, share):
    served = [
        call
        for call in context.statement_calls
        if call.answer is not None
        and call.answer.refusal is None
        and context.answered_at[call.statement.statement_id] - call.arrived_at <= seconds
    ]
    causes = Counter(
        call.answer.refusal.code for call in context.statement_calls if call.answer.refusal
    )
    assert len(served) >= share * len(context.statement_calls), (
        len(served),
        len(context.statement_calls),
        causes,
    )


@then("at most {count:d} of these reads ran for each workspace")
def step_at_most_for_each(context, count):
    ran = Counter(
        call.session.key_hash for call in context.statement_calls if call.answer.refusal is None
    )
    assert ran and max(ran.values()) <= count, ran


@then("at most {count:d} token requests were made for each of these reads")
def step_few_token_requests(context, count):
    requests = [item for item in context.token_requests if isinstance(item, TokenRequest)]
    reads = len(context.statement_calls)
    assert reads and len(requests) <= count * reads, (len(requests), reads)


@given('every VM has a session on "{database:w}" for each workspace')
def step_sessions_everywhere(context, database):
    _open_sessions(context, context.home_simulation.vms, database)


@when('every home VM of "{name:w}" hears from others that it cannot be reached, {gap:g} s apart')
def step_hearsay(context, name, gap):
    simulation = context.home_simulation
    any_board = next(iter(simulation.vms.values())).board
    endpoint = any_board.endpoints.by_name[name]
    for vm in any_board.homes.of_endpoint(name, endpoint.zone, endpoint.slots):
        engine = simulation.vms[vm.name]
        controller = next(
            item for item in engine.controllers if isinstance(item, EndpointController)
        )
        reply = SessionReply(ExchangeStatus.REFUSED)
        reply.code = ErrorCode.NO_ENDPOINT.value
        controller._update_from_relay(engine.board.endpoints.by_name[name], reply)
        simulation.run(gap)


@when("the VMs receive {rate:d} reads per second in all for {seconds:g} s")
def step_reads_everywhere(context, rate, seconds):
    context.load_started_at = context.home_simulation.clock.now()
    step_random_reads(context, rate, seconds)


@then("the share of these reads sent after {after:g} s that were served is at least {share:g}")
def step_share_served_after(context, after, share):
    since = context.load_started_at + after
    calls = [call for call in context.statement_calls if call.arrived_at >= since]
    served = [call for call in calls if call.answer is not None and call.answer.refusal is None]
    assert calls and len(served) >= share * len(calls), (len(served), len(calls))


@given("endpoint loads are reported")
def step_loads_reported(context):
    for engine in context.home_simulation.vms.values():
        engine.board.loads.is_reported = True


@then('"{vm:w}" holds a load report of the home that it relayed to')
def step_has_load_report(context, vm):
    reports = context.home_simulation.vms[vm].board.loads.by_endpoint
    homes = [name for by_home in reports.values() for name in by_home]
    assert len(homes) == 1 and homes[0] != vm, reports
    (report,) = next(iter(reports.values())).values()
    assert report.service_s > 0, report.service_s


@then('"{vm:w}" holds no load report')
def step_has_no_load_report(context, vm):
    assert not context.home_simulation.vms[vm].board.loads.by_endpoint
