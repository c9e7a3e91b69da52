"""Steps that inject crashes, network partitions and lost replies."""

from __future__ import annotations

from behave import given, when
from support import primary_of, replicas_of


@given("a running fleet")
def step_fleet(context):
    assert context.simulation.leader() is not None


@when("a network partition isolates the primary")
def step_isolate_primary(context):
    context.old_primary = primary_of(context)
    context.simulation.isolate(context.old_primary)


@when("a network partition isolates the primary from the other endpoints")
def step_stop_replication(context):
    context.old_primary = primary_of(context)
    for name in replicas_of(context):
        context.simulation.block_link(context.old_primary, name)


@when("all network partitions heal")
def step_heal(context):
    context.simulation.heal()


@when("every reply from the endpoints is lost")
def step_lose_replies(context):
    context.simulation.reply_loss_probability = 1.0


@when("replies from the endpoints arrive again")
def step_deliver_replies(context):
    context.simulation.reply_loss_probability = 0.0


@when("a network partition isolates {vm:w}")
def step_isolate_vm(context, vm):
    context.simulation.isolate(vm)


@when("{vm:w} is killed")
def step_kill(context, vm):
    context.simulation.vms[vm].kill()


@when("{vm:w} restarts")
def step_restart(context, vm):
    context.simulation.vms[vm].start()


@when("the control leader is killed")
def step_kill_leader(context):
    context.killed_leader = context.simulation.leader()
    context.killed_leader.kill()
