"""Steps about priorities and early refusals while endpoints lack capacity."""

from __future__ import annotations

from collections import Counter

from behave import given, then, when
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.declarations import Declaration
from gentianspread_core.blackboard.loads import EndpointLoad
from gentianspread_core.blackboard.relays import RelayedStatement
from gentianspread_core.blackboard.requests import ExchangeStatus, StatementKind
from gentianspread_core.errors import ExecutionResult
from gentianspread_lab.fakes.session_simulation import NoOpWaiter
from gentianspread_server.platform.wire import decode_statement
from gentianspread_server.resources.process import ProcessResources
from gentianspread_server.session_metrics import SessionMetrics
from gentianspread_server.traffic import TrafficCounters

WORKSPACES = 8
OBJECTIVE_S = 0.25
TIMEOUT_S = 1.0
SETTLING_S = 1.5
DIGITS = 3


@given('routes "{first:w}", "{second:w}" and "{third:w}" of the priorities 0, 1 and 2')
def step_routes(context, first, second, third):
    simulation = context.home_simulation
    priorities = {first: 0, second: 1, third: 2}
    simulation.declare(
        2,
        keys={f"w{number}": [f"k{number}"] for number in range(WORKSPACES)},
        timeout_s=TIMEOUT_S,
        objectives_s=dict.fromkeys(priorities, OBJECTIVE_S),
        priorities=priorities,
    )
    simulation.run(1.0)
    context.databases = list(priorities)
    context.first_load_at = None
    context.retried_attempts, context.failed_attempts = Counter(), Counter()
    for engine in simulation.vms.values():
        changes = engine.board.changes
        changes.subscribe(
            Topic.REQUEST_RETRIED,
            lambda request: context.retried_attempts.update([request.route.name]),
        )
        changes.subscribe(Topic.EXCHANGE_ENDED, lambda request: _count_failure(context, request))
    context.idle_sessions = {name: [] for name in priorities}
    context.calls_by_database = {name: [] for name in priorities}


def _count_failure(context, request):
    """Count a failed attempt of a request whose caller's session is at the same VM."""
    is_ok = request.exchange.reply.status is ExchangeStatus.OK
    if not is_ok and request.relayed_statement is None:
        context.failed_attempts.update([request.route.name])


def _session(context, database, vm, key):
    """Return a session without a running statement of a workspace at a VM."""
    simulation = context.home_simulation
    for index, (name, session) in enumerate(context.idle_sessions[database]):
        if name == vm and session.key_hash == key and session.call is None:
            del context.idle_sessions[database][index]
            return session
    return simulation.open_session_at(vm, database, key)


def send_read(context, database, vm=None, key=None):
    """Send a read on a route, at a VM and for a workspace's key, or random ones."""
    simulation = context.home_simulation
    vm = vm or simulation.randomness.choice(list(simulation.vms))
    key = key or f"k{simulation.randomness.randrange(WORKSPACES)}"
    session = _session(context, database, vm, key)
    calls = context.calls_by_database[database]
    statement = decode_statement(f"{database}{len(calls)}", "READ x")
    calls.append(simulation.send_statement_at(vm, session, statement))
    context.idle_sessions[database].append((vm, session))


def send_reads(context, rates, seconds):
    """Send reads at given rates by route, with exponential times between them."""
    simulation = context.home_simulation
    end = simulation.clock.now() + seconds
    context.load_seconds = seconds
    if context.first_load_at is None:
        context.first_load_at = simulation.clock.now()
    while simulation.clock.now() < end:
        simulation.run(simulation.randomness.expovariate(sum(rates.values())))
        database = simulation.randomness.choices(list(rates), list(rates.values()))[0]
        send_read(context, database)
    simulation.run(SETTLING_S)


@when("{rate:d} reads per second arrive on all routes for {seconds:g} s")
def step_all_routes(context, rate, seconds):
    share = rate / len(context.databases)
    send_reads(context, dict.fromkeys(context.databases, share), seconds)


@when(
    '{rate:d} reads per second arrive on "{first:w}" for {seconds:g} s, '
    'and {other:d} on "{second:w}"'
)
def step_two_routes(context, rate, first, seconds, other, second):
    send_reads(context, {first: rate, second: other}, seconds)


@when(
    "{rate:d} reads per second arrive on all routes for {seconds:g} s, "
    'and the key "{key:w}" is withdrawn after {delay:g} s'
)
def step_withdraw(context, rate, seconds, key, delay):
    simulation = context.home_simulation
    record = simulation.board.configuration.declaration.to_record()
    declaration = Declaration.from_record(record)
    declaration.version += 1
    declaration.workspaces = [item for item in declaration.workspaces if key not in item.key_hashes]
    command = Command(CommandKind.DECLARE, declaration.to_record())
    simulation.call_later(lambda: simulation.propose(command), delay)
    step_all_routes(context, rate, seconds)


@when(
    "{hot:d} reads per second of one workspace and {others:d} of the other ones "
    'arrive on "{database:w}" for {seconds:g} s'
)
def step_hot_workspace(context, hot, others, database, seconds):
    simulation = context.home_simulation
    end = simulation.clock.now() + seconds
    context.load_seconds = seconds
    keys = [f"k{number}" for number in range(WORKSPACES)]
    weights = [hot, *[others / (WORKSPACES - 1)] * (WORKSPACES - 1)]
    while simulation.clock.now() < end:
        simulation.run(simulation.randomness.expovariate(hot + others))
        send_read(context, database, key=simulation.randomness.choices(keys, weights)[0])
    simulation.run(SETTLING_S)


@then("at least {share:g} of the reads of the other workspaces were served within {seconds:g} s")
def step_other_workspaces(context, share, seconds):
    calls = [call for call in _all_calls(context) if call.session.key_hash != "k0"]
    served = sum(1 for call in calls if _is_served(context, call, seconds))
    assert calls and served >= share * len(calls), (served, len(calls))


@when('{count:d} reads on "{database:w}" arrive at "{vm:w}" at once')
def step_batch(context, count, database, vm):
    for _ in range(count):
        send_read(context, database, vm)
    context.home_simulation.run(SETTLING_S)


def _duration_s(context, call):
    return context.answered_at[call.statement.statement_id] - call.arrived_at


def _is_served(context, call, seconds):
    return call.answer.refusal is None and _duration_s(context, call) <= seconds


def _share_served(context, database, seconds):
    calls = context.calls_by_database[database]
    assert calls and all(call.answer is not None for call in calls)
    return sum(1 for call in calls if _is_served(context, call, seconds)) / len(calls)


def _shares(context, seconds):
    return {
        name: round(_share_served(context, name, seconds), DIGITS)
        for name in context.databases
        if context.calls_by_database[name]
    }


@then('at least {share:g} of the reads on "{database:w}" were served within {seconds:g} s')
def step_share(context, share, database, seconds):
    assert _share_served(context, database, seconds) >= share, _shares(context, seconds)


@then(
    "a larger share of the reads was served within {seconds:g} s "
    'on "{first:w}" than on "{second:w}"'
)
def step_larger_share(context, seconds, first, second):
    shares = _shares(context, seconds)
    assert shares[first] > shares[second], shares


def _all_calls(context):
    return [call for calls in context.calls_by_database.values() for call in calls]


@then("at least {share:g} of the reads that the slots can serve were answered within {seconds:g} s")
def step_slots_busy(context, share, seconds):
    served = sum(1 for call in _all_calls(context) if _is_served(context, call, seconds))
    endpoints = context.home_simulation.endpoints.values()
    statements_per_s = sum(item.slots / item.statement_cost_s for item in endpoints)
    possible = statements_per_s * context.load_seconds
    assert served >= share * possible, (served, possible, _shares(context, seconds))


@then("half of the refused reads were refused within {seconds:g} s")
def step_refused_early(context, seconds):
    refused = [call for call in _all_calls(context) if call.answer.refusal is not None]
    durations = sorted(_duration_s(context, call) for call in refused)
    assert durations, "no read was refused"
    median = durations[len(durations) // 2]
    assert median <= seconds, (median, durations[-1], len(durations))


@then("at most {share:g} of the reads were retried, and {count:d} more")
def step_retries(context, share, count):
    calls, retries = len(_all_calls(context)), sum(context.retried_attempts.values())
    assert 0 < retries <= share * calls + count, (retries, calls)


@then('a larger share of the failed attempts was retried on "{first:w}" than on "{second:w}"')
def step_retried_more(context, first, second):
    shares = {
        name: context.retried_attempts[name] / context.failed_attempts[name]
        for name in (first, second)
    }
    assert shares[first] > shares[second], (shares, context.failed_attempts)


def _metric_sums(context, name):
    """Return the sums of a metric over all VMs by priority."""
    sums = Counter()
    for engine in context.home_simulation.vms.values():
        text = (
            SessionMetrics(engine, TrafficCounters(), ProcessResources.with_defaults())
            .text()
            .decode()
        )
        zone = engine.board.settings.zone
        for line in text.splitlines():
            if line.startswith(f"{name}{{"):
                labels, value = line.split(" ")
                assert f'zone="{zone}"' in labels and 'workspace="w' in labels, line
                sums[labels.split('priority="')[1][0]] += float(value)
    return sums


@then("the metrics of the VMs count all refused reads, most of them of priority {priority:d}")
def step_refused_metrics(context, priority):
    refused = sum(1 for call in _all_calls(context) if call.answer.refusal is not None)
    sums = _metric_sums(context, "gentianspread_refused_total")
    assert sum(sums.values()) == refused, (sums, refused)
    assert max(sums, key=sums.get) == str(priority), sums


@then("the metrics of the VMs contain the waits of every priority")
def step_wait_metrics(context):
    sums = _metric_sums(context, "gentianspread_queued_total")
    seconds = _metric_sums(context, "gentianspread_queued_seconds_total")
    assert set(sums) == set(seconds) == {"0", "1", "2"}, (sums, seconds)


def _report(context, vm, endpoints, waits):
    board = context.home_simulation.vms[vm].board
    for endpoint in endpoints:
        for home in board.homes.of_endpoint(endpoint.name, endpoint.zone, endpoint.slots):
            load = EndpointLoad(1, 10, 0.0, 0.02, board.clock.now())
            load.waits = waits
            board.loads.by_endpoint.setdefault(endpoint.name, {})[home.name] = load


@given(
    'every home reports to "{vm:w}" that priority 0 waits for {first:g} s '
    "and the others for {others:g} s"
)
def step_reported_waits(context, vm, first, others):
    endpoints = context.home_simulation.vms[vm].board.endpoints.by_name.values()
    _report(context, vm, endpoints, {0: first, 1: others, 2: others})


@given('the homes of "{name:w}" report to "{vm:w}" that none waits')
def step_reported_no_wait(context, name, vm):
    _report(context, vm, [context.home_simulation.vms[vm].board.endpoints.by_name[name]], {})


@when("{seconds:g} s pass without a report")
def step_no_report(context, seconds):
    context.home_simulation.run(seconds)


@when('a read on "{database:w}" arrives at "{vm:w}", of a workspace with another home')
def step_one_read(context, database, vm):
    board = context.home_simulation.vms[vm].board
    others = [
        number
        for number in range(WORKSPACES)
        if all(
            board.homes.of_workspace(item.name, item.zone, item.slots, f"w{number}")[0].name != vm
            for item in board.endpoints.by_name.values()
        )
    ]
    context.relayed_before = context.home_simulation.relayed_count
    send_read(context, database, vm, f"k{others[0]}")
    context.home_simulation.run(SETTLING_S)
    context.last_call = context.calls_by_database[database][-1]


@then("it was refused as not run within {seconds:g} s, and was not relayed")
def step_refused_here(context, seconds):
    refusal = context.last_call.answer.refusal
    assert refusal is not None and refusal.result is ExecutionResult.NOT_RUN
    assert _duration_s(context, context.last_call) <= seconds
    assert context.home_simulation.relayed_count == context.relayed_before


@then("it was served")
def step_one_served(context):
    assert context.last_call.answer.refusal is None, context.last_call.answer.refusal
    assert context.home_simulation.relayed_count > context.relayed_before


@then('it was served by "{name:w}"')
def step_served_by(context, name):
    step_one_served(context)
    executed = context.home_simulation.endpoints[name].executed_statements
    assert context.last_call.statement.statement_id in {item.statement_id for item in executed}


@then("the homes reported longer waits for priority {second:d} than for priority {first:d}")
def step_waits_by_priority(context, second, first):
    reports = [
        report
        for engine in context.home_simulation.vms.values()
        for by_home in engine.board.loads.by_endpoint.values()
        for report in by_home.values()
        if first in report.waits and second in report.waits
    ]
    assert reports
    assert all(report.waits[second] > report.waits[first] for report in reports)


def _relay(context, database, age_s):
    """Relay a read to a home VM, and keep the request that this VM makes of it."""
    simulation = context.home_simulation
    board = simulation.vms["h1"].board
    endpoint = board.endpoints.by_name["b1"]
    route = board.configuration.declaration.route_of(database)
    statement = decode_statement("n1", "READ x")
    sent = RelayedStatement(
        "h9/1", endpoint.name, "k1", route, {}, StatementKind.READ, statement, None, None, 1.0, 0.5
    )
    sent.age_s = age_s
    context.relayed = RelayedStatement.from_record(sent.to_record())
    context.relayed.waiter = NoOpWaiter()
    context.relayed_requests = []
    board.changes.subscribe(Topic.REQUEST_ARRIVED, context.relayed_requests.append)
    context.received_at = simulation.clock.now()
    board.post(Topic.RELAY_RECEIVED, context.relayed)


@when('a read on "{database:w}" that arrived {seconds:g} s ago is relayed')
def step_relay_aged(context, database, seconds):
    context.age_s = seconds
    _relay(context, database, seconds)


@when('a read on "{database:w}" is relayed by a VM of the previous build')
def step_relay_without_age(context, database):
    context.age_s = 0.0
    _relay(context, database, None)


@then("the home VM counts its objective from the arrival at the entry VM")
@then("the home VM counts its objective from the receipt")
def step_home_age(context):
    (request,) = context.relayed_requests
    assert abs(request.arrived_at - (context.received_at - context.age_s)) < 1e-6
    assert abs(request.deadline - (context.received_at + context.relayed.timeout_s)) < 1e-6
