"""Steps that bring about failures."""

from __future__ import annotations

from behave import given, when
from support import primary_of, replicas_of


@given("a running fleet")
def step_fleet(context):
    assert context.simulation.leader() is not None


@when("the primary is cut off from everyone")
def step_cut_primary(context):
    context.old_primary = primary_of(context)
    context.simulation.isolate(context.old_primary)


@when("the primary is cut off from the other endpoints")
def step_cut_replication(context):
    context.old_primary = primary_of(context)
    for name in replicas_of(context):
        context.simulation.block_link(context.old_primary, name)


@when("all cuts are healed")
def step_heal(context):
    context.simulation.heal()


@when("every answer of the endpoints is lost")
def step_lose(context):
    context.simulation.reply_loss_probability = 1.0


@when("the answers of the endpoints arrive again")
def step_lose_none(context):
    context.simulation.reply_loss_probability = 0.0


@when("a cut isolates {vm:w}")
def step_isolate_vm(context, vm):
    context.simulation.isolate(vm)


@when("a kill ends {vm:w}")
def step_kill(context, vm):
    context.simulation.vms[vm].kill()


@when("a restart brings back {vm:w}")
def step_restart(context, vm):
    context.simulation.vms[vm].start()


@when("a kill ends the control leader")
def step_kill_leader(context):
    context.killed = context.simulation.leader()
    context.killed.kill()
