"""Helpers with which steps query and change simulated fleets and single boards."""

from __future__ import annotations

import time

import gevent
from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.requests import StatementKind
from gentianspread_core.blackboard.sessions import SessionState
from gentianspread_core.blackboard.timeline import Timeline
from gentianspread_core.settings import CoreSettings
from gentianspread_lab.fakes import FakeDisk
from gentianspread_lab.fakes.simulation import GROUP
from gentianspread_server.clocks import BootTimeClock, wall_ms
from gentianspread_server.platform.wire import decode_statement

ACKNOWLEDGEMENT_S = 1.0
SEND_INTERVAL_S = 0.05
GUARD_S = 5.0  # for what happens at once unless it fails


def primary_of(context):
    """Return the name of the group's primary in the control leader's configuration."""
    return context.simulation.leader().board.configuration.groups[GROUP].primary


def replicas_of(context):
    """Return the names of the endpoints that are not the primary, in order."""
    primary = primary_of(context)
    return sorted(name for name in context.simulation.endpoints if name != primary)


def send(context, name, vm, kind, **fields):
    """Send a request and store it under a name."""
    request = context.simulation.send(context.simulation.vms[vm], StatementKind(kind), **fields)
    context.requests[name] = request
    return request


def token_of(context, name):
    """Return the token of an answered request."""
    return context.requests[name].outcome.token


def result_of(context, name):
    """Return the result and code of a request, or "waiting"."""
    outcome = context.requests[name].outcome
    if outcome is None:
        return "waiting"
    if outcome.refusal is None:
        return "run"
    return f"{outcome.result.value}: {outcome.refusal.code.value}"


def follower_name(context):
    """Return the name of a running voter other than the leader."""
    leader = context.simulation.leader()
    names = [name for name in leader.board.log.voters if name != leader.name]
    return next(name for name in sorted(names) if context.simulation.vms[name].alive)


def lose_disk(context, vm):
    """Kill a VM and replace its disk with a blank one; it is started again separately."""
    vm.kill()
    context.lost_vm = vm.name
    context.lost_disks.setdefault(vm.name, []).append(vm.disk)
    vm.disk = FakeDisk()


def violations_of(context):
    """Return the violated invariants and their counts over all VMs."""
    return {
        rule: count
        for vm in context.simulation.vms.values()
        for rule, count in vm.engine.invariants.violations.items()
    }


def create_workspace(context, name, change, expected=None, rate=1.0, burst=2.0):
    """Create a workspace and return the list that receives the outcome of the change."""
    fields = {"name": name, "rate": rate, "burst": burst}
    return context.simulation.propose_change(CommandKind.CREATE_WORKSPACE, fields, change, expected)


def record_permits(context, vm):
    """Record the time and workspace of each request that this VM permits."""
    vm.board.changes.subscribe(
        Topic.REQUEST_PERMITTED,
        lambda request: context.permits.append((context.simulation.clock.now(), request.workspace)),
    )


def new_board():
    """Return the board of a VM without controllers, on the machine's clock."""
    return Board(CoreSettings("vm", "z1", "vm"), BootTimeClock(), Timeline("vm", wall_ms))


def fail(_entry):
    """Fail, as a handler does that meets an item that it cannot read."""
    raise RuntimeError("an odd item")


def wait_while(is_waiting, timeout_s=GUARD_S):
    """Wait until a condition no longer holds, and fail after the timeout."""
    deadline = time.monotonic() + timeout_s
    while is_waiting():
        assert time.monotonic() < deadline, "it did not happen in time"
        gevent.sleep(0.02)


def change_zone(simulation, kind, zone):
    """Propose to begin or finish an evacuation, and run until it is acknowledged."""
    expected = simulation.board.configuration.evacuation_revision(zone)
    command = Command(kind, {"zone": zone, "expected_revision": expected})
    outcomes = simulation.propose(command)
    end = simulation.clock.now() + ACKNOWLEDGEMENT_S
    while not outcomes and simulation.clock.now() < end:
        simulation.run(0.001)
    assert outcomes and outcomes[0].accepted, outcomes
    return simulation.clock.now()


def send_at(context, vm, session, text):
    """Send a statement of a session to its entry VM, and return the call."""
    statement = decode_statement(f"l{len(context.load_calls)}", text)
    call = context.home_simulation.send_statement_at(vm, session, statement)
    context.load_calls.append((vm, call))
    return call


def run_callers(context, seconds, vms=None):
    """Run the simulation; meanwhile each of the load's sessions sends its statement when free."""
    simulation = context.home_simulation
    end = simulation.clock.now() + seconds
    while simulation.clock.now() < end:
        for vm, session, text in context.load:
            is_free = session.call is None and session.state is SessionState.IDLE
            if is_free and (vms is None or vm in vms):
                send_at(context, vm, session, text)
        simulation.run(SEND_INTERVAL_S)


def send_to_vm(context, vm, session, text):
    """Send a statement to a VM of the simulation of cold endpoints; return its call."""
    statement_id = f"n{len(context.statement_calls)}"
    call = context.cold_simulation.send_statement_at(
        vm, session, decode_statement(statement_id, text)
    )
    context.statement_calls.append(call)
    return call
