"""Steps that change the configuration, and requests and faults that race with a change."""

from __future__ import annotations

from behave import then, when
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.commands import CommandKind
from gentianspread_core.blackboard.outbox import ReplicaWatch
from gentianspread_core.positions import SessionToken
from gentianspread_lab.fakes.simulation import GROUP
from support import replicas_of, send

PRESET_SETTLING_S = 1.0


@when("the key is withdrawn")
def step_withdraw(context):
    context.simulation.propose_change(CommandKind.WITHDRAW_KEY, {"name": "k"})


@when('the open route "{name:w}" is created')
def step_route(context, name):
    context.simulation.propose_change(CommandKind.OPEN_ROUTE, {"name": name, "group": GROUP})


@when('the preset is switched to "{preset:w}"')
def step_preset(context, preset):
    context.simulation.propose_change(CommandKind.SWITCH_PRESET, {"preset": preset})
    context.simulation.run(PRESET_SETTLING_S)


@when('"{name:w}" is a read with a session token of another workspace sent to {vm:w}')
def step_foreign_token(context, name, vm):
    send(context, name, vm, "read", token=SessionToken("another", {}))


@when(
    '"{name:w}" is a write of "{value:Quoted}" queued at {vm:w} as the primary is suspected, '
    "with a timeout of {seconds:g} s"
)
def step_queued_write(context, name, value, vm, seconds):
    board = context.simulation.vms[vm].board
    group = board.configuration.groups[GROUP]
    endpoint = board.endpoints.by_name[group.primary]
    endpoint.suspected = True
    send(context, name, vm, "write", statement=value, timeout_s=seconds)
    context.suspected = (board, endpoint)


@when("the primary is no longer suspected")
def step_end_suspicion(context):
    board, endpoint = context.suspected
    endpoint.suspected = False
    board.post(Topic.ENDPOINT_CHANGED, endpoint)


@when("a network partition isolates {vm:w} from all other VMs")
def step_isolate_from_vms(context, vm):
    for other in context.simulation.vms:
        if other != vm:
            context.simulation.block_link(vm, other)


@when("the control log grants the group a higher term")
def step_grant(context):
    group = context.simulation.leader().board.configuration.groups[GROUP]
    fields = {"group": GROUP, "term": group.granted_term + 1}
    context.simulation.propose_change(CommandKind.GRANT_TERM, fields)


@when('a replica\'s confirmation of "{name:w}" arrives late at {vm:w}')
def step_late_confirmation(context, name, vm):
    position = context.requests[name].exchange.reply.position
    watch = ReplicaWatch(replicas_of(context)[0], GROUP, position.term, position, 0.1)
    watch.reached = position
    context.simulation.vms[vm].board.post(Topic.REPLICA_WATCH_ENDED, watch)


@then("no VM holds an open transaction")
def step_no_transaction(context):
    open_names = [
        name for vm in context.simulation.vms.values() for name in vm.board.transactions.by_name
    ]
    assert not open_names, open_names
