"""Steps about promotions of groups whose terms the control log numbers."""

from __future__ import annotations

import random

from behave import then, when
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.outbox import EndpointCommand, EndpointCommandKind
from gentianspread_lab.fakes.endpoint import FakeEndpoint
from gentianspread_lab.fakes.session_endpoint import endpoint_address
from gentianspread_lab.fakes.simulation import GROUP
from support import primary_of, replicas_of, result_of
from trouble import RandomTrouble

CONTROL_VMS = ("v1", "v2", "v3", "s1")
STEP_S = 0.0005  # shorter than a message takes, so that each is seen
OWN_COMMAND_TIMEOUT_S = 0.4
RECOVERY_S = 20.0


def separate(context, names, others):
    """Block the links between two sets of processes."""
    for name in names:
        for other in others:
            context.simulation.block_link(name, other)


def split_off(context, names):
    """Block the links between some processes and all others."""
    processes = [*context.simulation.vms, *context.simulation.endpoints]
    separate(context, names, [name for name in processes if name not in names])
    context.minority = set(names)


def newest_primary(context):
    """Return the endpoint that leads in the newest term, or none."""
    leading = [item for item in context.simulation.endpoints.values() if item.role == "primary"]
    return max(leading, key=lambda item: item.term, default=None)


def run_until(context, condition, timeout_s=5.0):
    """Advance the clock in short steps until a condition holds."""
    end = context.simulation.clock.now() + timeout_s
    while not condition():
        assert context.simulation.clock.now() < end, "it did not happen in time"
        context.simulation.run(STEP_S)


def command(kind, endpoint, term, primary=""):
    """Return a command to an endpoint."""
    address = endpoint_address(primary) if primary else ""
    return EndpointCommand(
        EndpointCommandKind(kind),
        endpoint,
        endpoint_address(endpoint),
        GROUP,
        term,
        address,
        OWN_COMMAND_TIMEOUT_S,
    )


def record_fences(context, vm):
    """Record by which VM the endpoints are fenced in which term."""

    def record(intent):
        if isinstance(intent, EndpointCommand) and intent.kind is EndpointCommandKind.FENCE:
            context.fences.add((intent.term, vm.name))

    vm.board.changes.subscribe(Topic.INTENT_POSTED, record)


@when("a network partition separates the primary and {vm:w} from the control VMs")
def step_separate_primary(context, vm):
    context.old_primary = primary_of(context)
    context.old_term = context.simulation.endpoints[context.old_primary].term
    context.replicas = replicas_of(context)
    others = [name for name in context.simulation.vms if name != vm]
    separate(context, [context.old_primary, vm], others)


@when("a network partition separates {vm:w} from the control VMs")
def step_separate_vm(context, vm):
    separate(context, [vm], [name for name in context.simulation.vms if name != vm])


@when("a network partition separates the second replica from the primary")
def step_separate_replica(context):
    context.replicas = replicas_of(context)
    context.simulation.block_link(context.replicas[1], primary_of(context))


@when("a network partition separates the primary, the first replica and {vm:w} from the others")
def step_split(context, vm):
    context.old_primary = primary_of(context)
    split_off(context, [context.old_primary, replicas_of(context)[0], vm])


@when("a {ordinal} endpoint joins the group")
def step_join(context, ordinal):
    name = {"fourth": "e4", "fifth": "e5"}[ordinal]
    context.simulation.endpoints[name] = FakeEndpoint(name, context.simulation.clock)
    separate(context, [name], getattr(context, "minority", ()))
    context.simulation.register_endpoint(name, leaving=False)
    context.simulation.run(0.05)


@when("the first replica starts again with an empty log")
def step_start_empty(context):
    name = context.replicas[0]
    context.simulation.endpoints[name] = FakeEndpoint(name, context.simulation.clock)


@when("the replicas start again and forget their role")
def step_replicas_crash(context):
    context.replicas = replicas_of(context)
    for name in context.replicas:
        context.simulation.endpoints[name].crash()


@when("the replica that was not promoted starts again with an empty log")
def step_other_starts_empty(context):
    promoted = newest_primary(context).name
    context.replicas = [name for name in context.replicas if name != promoted]
    step_start_empty(context)


@when("a late command has it follow the old primary in the old term")
def step_follow_late(context):
    name = context.replicas[0]
    late = command("follow", name, context.old_term, context.old_primary)
    context.simulation.endpoints[name].execute_command(late)


@when("a network partition cuts the restarted replica off from the control VMs")
def step_separate_restarted(context):
    separate(context, [context.replicas[0]], CONTROL_VMS)


@when("{kind:w} commands are executed {seconds:g} s late and get no answer")
def step_late_commands(context, kind, seconds):
    context.simulation.late_command_kinds = {EndpointCommandKind(kind)}
    context.simulation.command_delay_s = seconds


@when("commands are executed at once again")
def step_commands_in_time(context):
    context.simulation.late_command_kinds = set()


@when("the control leader is killed once a majority is fenced")
def step_kill_after_fence(context):
    def is_fenced():
        roles = [item.role for item in context.simulation.endpoints.values()]
        return roles.count("fenced") >= 2

    run_until(context, is_fenced)
    context.simulation.leader().kill()


@when("the control leader is cut off and killed once an endpoint leads in the new term")
def step_kill_after_promotion(context):
    old = context.simulation.endpoints[context.old_primary]
    run_until(context, lambda: newest_primary(context).term > old.term)
    leader = context.simulation.leader()
    group = leader.board.configuration.groups[GROUP]
    assert group.term < group.granted_term
    context.simulation.isolate(leader.name)
    leader.kill()


@when("the control leader is cut off and killed once its grant of a term is committed there only")
def step_kill_after_grant(context):
    leader = context.simulation.leader()
    context.fences = set()
    for vm in context.simulation.vms.values():
        record_fences(context, vm)
    group = leader.board.configuration.groups[GROUP]
    run_until(context, lambda: group.granted_term > group.term)
    others = [vm for vm in context.simulation.vms.values() if vm is not leader]
    assert all(vm.board.configuration.groups[GROUP].granted_term == 1 for vm in others)
    context.simulation.isolate(leader.name)
    leader.kill()


@when("control log messages are held up for {seconds:g} s once another VM leads the control log")
def step_hold_messages(context, seconds):
    run_until(context, lambda: context.simulation.leader() is not None)
    context.simulation.message_delay_s = seconds
    context.simulation.run(seconds)
    context.simulation.message_delay_s = 0.0


@when("another endpoint leads within {seconds:g} s")
def step_lead_soon(context, seconds):
    run_until(context, lambda: newest_primary(context).name != context.old_primary, seconds)


@then("another endpoint leads")
def step_other_leads(context):
    primary = newest_primary(context)
    assert primary.name == primary_of(context) != context.old_primary, primary.name


@then("another endpoint leads in term {term:d}")
def step_other_leads_in_term(context, term):
    primary = newest_primary(context)
    assert (primary.name != context.old_primary, primary.term) == (True, term)


@then("one endpoint in touch leads")
def step_one_leads(context):
    endpoints = context.simulation.endpoints.values()
    leading = [
        item.name
        for item in endpoints
        if item.role == "primary" and item.name != context.old_primary
    ]
    assert leading == [primary_of(context)], leading


@then("no endpoint of the other side leads")
def step_other_side_idle(context):
    others = [
        item.role
        for item in context.simulation.endpoints.values()
        if item.name not in context.minority
    ]
    assert "primary" not in others, others


@then("every endpoint in touch refuses to be fenced, promoted or to follow in the replaced term")
def step_refuse_old_commands(context):
    old = context.simulation.endpoints[context.old_primary]
    for endpoint in context.simulation.endpoints.values():
        if endpoint is old:
            continue
        before = (endpoint.role, endpoint.term, endpoint.primary_address)
        for kind in ("fence", "promote", "follow"):
            late = command(kind, endpoint.name, old.term, old.name)
            endpoint.execute_command(late)
            assert not late.accepted, (kind, endpoint.name)
        assert (endpoint.role, endpoint.term, endpoint.primary_address) == before


@then("both replicas follow the primary")
def step_replicas_follow(context):
    roles = [context.simulation.endpoints[name].role for name in context.replicas]
    assert roles == ["follower", "follower"], roles


@then("each term was fenced by one VM")
def step_one_fence(context):
    terms = [term for term, _ in context.fences]
    assert terms and len(terms) == len(set(terms)), sorted(context.fences)


@then('the old primary stores "{value:Quoted}"')
def step_old_stores(context, value):
    assert value in context.simulation.endpoints[context.old_primary].values()


@then('the result of "{name:w}" is not "run"')
def step_not_run(context, name):
    assert result_of(context, name) != "run"


@then("every acknowledged write is on the primary")
def step_acknowledged_stored(context):
    stored = context.simulation.endpoints[primary_of(context)].values()
    for name, request in context.requests.items():
        if result_of(context, name) == "run":
            assert stored.count(request.statement) == 1, (name, stored)


@then('the endpoint that leads in the newest term stores "{value:Quoted}", or none leads')
def step_newest_stores(context, value):
    primary = newest_primary(context)
    assert primary is None or value in primary.values(), (primary.name, primary.term)


@then('"{name:w}" is not acknowledged, or on the endpoint that leads in the newest term')
def step_acknowledged_on_newest(context, name):
    primary = newest_primary(context)
    is_stored = context.requests[name].statement in primary.values()
    assert result_of(context, name) != "run" or is_stored, (primary.name, primary.term)


@then("{count:d} endpoints count in the majorities of the group")
def step_voting_members(context, count):
    members = context.simulation.leader().board.configuration.voting_members[GROUP]
    assert len(members.names) == members.size == count, (members.names, members.size)


@when("a network partition isolates the next primary")
def step_isolate_next_primary(context):
    context.simulation.isolate(primary_of(context))


@then("the voting members before still count until the new ones have a record of their term")
def step_previous_members(context):
    board = context.simulation.leader().board
    run_until(context, lambda: len(board.configuration.voting_members[GROUP].names) == 5)
    members = board.configuration.voting_members[GROUP]
    joined = {"e3", "e4", "e5"}
    assert members.has_majority(joined) and not members.has_fence_majority(joined)
    assert members.has_fence_majority(joined | {"e1"})
    members.settle(members.term)
    assert members.has_fence_majority(joined)


@when(
    "endpoints join, links are cut, commands are late and control leaders are lost at random, "
    "seed {seed:d}"
)
def step_random_trouble(context, seed):
    trouble = RandomTrouble(context, random.Random(seed))
    trouble.run()


@then("every acknowledged write is on the primary once all is well again")
def step_recovered(context):
    simulation = context.simulation
    simulation.heal()
    simulation.late_command_kinds = set()
    for vm in simulation.vms.values():
        if not vm.alive:
            vm.start()
    simulation.run(RECOVERY_S)
    assert sum(result_of(context, name) == "run" for name in context.requests) > 0
    step_acknowledged_stored(context)
