"""Steps about rate limits, allocators and tokens."""

from __future__ import annotations

from behave import given, then, when
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.commands import CommandKind
from gentianspread_core.blackboard.homes import ServingVM
from gentianspread_core.blackboard.rate_limits import TokenRequest
from gentianspread_core.blackboard.requests import StatementKind
from gentianspread_core.errors import ErrorCode
from gentianspread_core.settings import RateTolerance
from gentianspread_lab.fakes.simulation import KEY_HASH
from support import create_workspace, record_permits

SEND_INTERVAL_S = 0.05
CHECK_INTERVAL_S = 0.01
MAX_REPLACEMENT_S = 5.0  # an allocator is replaced 1 s after its last contact


def key_hash_of(workspace):
    return KEY_HASH if workspace == "w" else f"key-{workspace}"


def send_reads(context, vm, workspace, count):
    for _ in range(count):
        request = context.simulation.send(vm, StatementKind.READ, key_hash=key_hash_of(workspace))
        context.sent_requests.append(request)


@when('a workspace "{name:w}" with rate {rate:g} and burst {burst:g} exists')
def step_workspace(context, name, rate, burst):
    context.rate_and_burst = (rate, burst)
    context.permits = []
    context.sent_requests = []
    for vm in context.simulation.vms.values():
        record_permits(context, vm)
    create_workspace(context, name, f"create-{name}", rate=rate, burst=burst)
    fields = {"workspace": name, "name": f"k-{name}", "key_hash": key_hash_of(name)}
    context.simulation.propose_change(CommandKind.GIVE_KEY, fields)
    context.simulation.run(1.0)


@when('every VM sends {count:d} reads of "{name:w}" at once, {times:d} times, {pause:g} s apart')
def step_flood(context, count, name, times, pause):
    for _ in range(times):
        for vm in context.simulation.vms.values():
            send_reads(context, vm, name, count)
        context.simulation.run(pause + 0.001)
    context.simulation.run(2.0)


@when('{vm:w} sends {count:d} reads of "{name:w}", one every {pause:g} s')
def step_steady(context, vm, count, name, pause):
    context.sent_requests = []
    for _ in range(count):
        send_reads(context, context.simulation.vms[vm], name, 1)
        context.simulation.run(pause)
    context.simulation.run(2.0)


@when("{vm:w} sends {first:d} reads and {second:d} more 0.5 ms later")
def step_while_requesting(context, vm, first, second):
    context.sent_requests = []
    send_reads(context, context.simulation.vms[vm], "w", first)
    context.simulation.run(0.0005)
    send_reads(context, context.simulation.vms[vm], "w", second)


@given(
    "rate and burst may be exceeded by a fraction of {fraction:g} plus {count:g} requests "
    "in {window:g} s, and {serving:d} VMs serve callers"
)
def step_tolerance(context, fraction, count, window, serving):
    context.rate_tolerance = RateTolerance(window, fraction, count)
    for vm in context.simulation.vms.values():
        vm.settings.rate_tolerance = context.rate_tolerance
        vm.board.members.entry_vm_count = serving


@when(
    "{first:w} sends {first_rate:d} and {second:w} sends {second_rate:d} reads "
    'of "{name:w}" per second for {seconds:g} s'
)
def step_rates(context, first, first_rate, second, second_rate, name, seconds):
    context.sent_requests = []
    rates = {first: first_rate, second: second_rate}
    sent = dict.fromkeys(rates, 0)
    steps = round(seconds / SEND_INTERVAL_S)
    for number in range(1, steps + 1):
        for vm, rate in rates.items():
            due = int(rate * number * SEND_INTERVAL_S) - sent[vm]
            send_reads(context, context.simulation.vms[vm], name, due)
            sent[vm] += due
        context.simulation.run(SEND_INTERVAL_S)


@given("the VMs that serve callers are in one zone and know each other")
def step_serving_vms_in_one_zone(context):
    serving = [context.simulation.vms[name] for name in ("o1", "o2")]
    listed = [ServingVM(vm.name, vm.name, "z1") for vm in serving]
    for vm in serving:
        vm.settings.zone = "z1"
        vm.board.homes.by_zone["z1"] = listed


@when("the VMs that serve callers reach no allocator")
def step_no_allocator_reached(context):
    simulation = context.simulation
    for name in ("o1", "o2"):
        for other in simulation.vms:
            if not other.startswith("o"):
                simulation.block_link(name, other)


@then('{first:w} grants {second:w} no tokens of "{name:w}" as a backup allocator')
def step_no_backup_grant(context, first, second, name):
    board = context.simulation.vms[first].board
    token_request = TokenRequest(name, "z1", first, 1, context.simulation.clock.now(), first)
    board.post(Topic.TOKENS_REQUESTED, token_request)
    assert not token_request.answered and token_request.granted == 0


@then("the share of the last reads that ran is at least {share:g}")
def step_share_ran(context, share):
    context.simulation.run(0.5)
    ran = sum(1 for item in context.sent_requests if item.outcome and not item.outcome.refusal)
    assert ran >= share * len(context.sent_requests), (ran, len(context.sent_requests))


@then(
    'in no window of {window:g} s were rate and burst of "{name:w}" exceeded '
    "by more than this tolerance"
)
def step_window_within_tolerance(context, window, name):
    rate, burst = context.rate_and_burst
    rate_tolerance = context.rate_tolerance
    max_requests = (rate * window + burst) * (
        1 + rate_tolerance.overage_fraction
    ) + rate_tolerance.slack_requests
    permit_times = sorted(
        permit_time for permit_time, workspace in context.permits if workspace == name
    )
    assert permit_times
    first = 0
    for last, permit_time in enumerate(permit_times):
        while permit_times[first] <= permit_time - window:
            first += 1
        assert last - first + 1 <= max_requests, (last - first + 1, max_requests)


@when("the allocator of one zone is killed")
def step_kill_allocator(context):
    leader = context.simulation.leader()
    allocators = leader.board.configuration.allocators
    name = next(
        item.member for item in allocators.values() if item.member not in (leader.name, "o1")
    )
    context.simulation.vms[name].kill()


@then('in no window were more requests of "{name:w}" permitted than its rate and burst allow')
def step_within_rate_and_burst(context, name):
    rate, burst = context.rate_and_burst
    permit_times = sorted(
        permit_time for permit_time, workspace in context.permits if workspace == name
    )
    assert permit_times
    level, last = 0.0, permit_times[0]
    for permit_time in permit_times:
        level = max(0.0, level - (permit_time - last) * rate) + 1
        last = permit_time
        assert level <= burst + 1e-6, level


@then('at least {count:d} reads of "{name:w}" ran')
def step_some_ran(context, count, name):
    ran = [
        request
        for request in context.sent_requests
        if request.outcome and not request.outcome.refusal
    ]
    assert len(ran) >= count, len(ran)


@then("none of them was refused")
def step_none_refused(context):
    assert context.sent_requests
    for request in context.sent_requests:
        assert request.outcome is not None
        refusal = request.outcome.refusal
        assert refusal is None or refusal.code is not ErrorCode.RATE_LIMITED, refusal.message
        assert refusal is None, refusal.message


@when("a network partition isolates an allocator and a VM of another zone from all other VMs")
def step_isolate_allocator(context):
    simulation = context.simulation
    leader = simulation.leader()
    allocators = leader.board.configuration.allocators
    allocator = next(
        item.member for item in allocators.values() if item.zone != leader.settings.zone
    )
    allocator_names = {item.member for item in allocators.values()}
    other_vm = next(
        vm.name
        for vm in simulation.vms.values()
        if vm.name not in allocator_names | {leader.name}
        and vm.settings.zone != simulation.vms[allocator].settings.zone
    )
    for name in (allocator, other_vm):
        for other in simulation.vms:
            if other not in (allocator, other_vm):
                simulation.block_link(name, other)


@when('a network partition isolates the allocator of zone "{zone:w}" until another one is named')
def step_replace_allocator(context, zone):
    simulation = context.simulation
    allocators = simulation.leader().board.configuration.allocators
    context.replaced_allocator = allocators[zone].member
    simulation.isolate(context.replaced_allocator)
    end = simulation.clock.now() + MAX_REPLACEMENT_S
    while allocators[zone].member == context.replaced_allocator:
        assert simulation.clock.now() < end
        simulation.run(CHECK_INTERVAL_S)
    context.new_allocator = allocators[zone].member
    simulation.run(SEND_INTERVAL_S)


@when('the new allocator of zone "{zone:w}" is killed and starts again')
def step_restart_allocator(context, zone):
    vm = context.simulation.vms[context.new_allocator]
    assert vm is not context.simulation.leader()
    vm.kill()
    vm.start()


def grants_tokens(context, name, zone, workspace):
    """Return whether a VM grants tokens of a workspace, or would if its bucket had some."""
    board = context.simulation.vms[name].board
    token_request = TokenRequest(workspace, zone, name, 1, context.simulation.clock.now())
    board.post(Topic.TOKENS_REQUESTED, token_request)
    return token_request.answered


@then('the two allocators of zone "{zone:w}" do not grant tokens of "{name:w}" at the same time')
def step_one_grants(context, zone, name):
    old, new = context.replaced_allocator, context.new_allocator
    assert grants_tokens(context, old, zone, name)
    end = context.simulation.clock.now() + MAX_REPLACEMENT_S
    while not grants_tokens(context, new, zone, name):
        assert context.simulation.clock.now() < end, f"{new} grants nothing"
        context.simulation.run(CHECK_INTERVAL_S)
    assert not grants_tokens(context, old, zone, name), f"{old} and {new} grant"


@when('each VM requests {count:d} tokens of "{name:w}" that arrive too late for their requests')
def step_late_tokens(context, count, name):
    context.simulation.token_response_delay_s = 0.2
    for vm in context.simulation.vms.values():
        for _ in range(count):
            key_hash = key_hash_of(name)
            context.simulation.send(vm, StatementKind.READ, key_hash=key_hash, timeout_s=0.3)
        context.simulation.run(1.0)
    context.simulation.token_response_delay_s = 0.0


@given("{fraction:g} of every burst is granted evenly over the window")
def step_steady(context, fraction):
    context.rate_tolerance.steady_fraction = fraction


@then('at least {rate:g} reads of "{name:w}" ran per second in the last {seconds:g} s')
def step_ran_per_second(context, rate, name, seconds):
    since = context.simulation.clock.now() - seconds
    ran = [
        item
        for item in context.sent_requests
        if item.arrived_at >= since and item.outcome and item.outcome.refusal is None
    ]
    assert len(ran) / seconds >= rate, len(ran) / seconds
