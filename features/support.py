"""Short ways for steps to reach into a world."""

from __future__ import annotations

from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.commands import CommandKind
from gentianspread_core.blackboard.requests import StatementKind
from gentianspread_lab.fakes.simulation import GROUP


def primary_of(context):
    """Return the name of the group's primary as the leader knows it."""
    return context.simulation.leader().board.configuration.groups[GROUP].primary


def replicas_of(context):
    """Return the names of the endpoints that are not the primary, in order."""
    primary = primary_of(context)
    return sorted(name for name in context.simulation.endpoints if name != primary)


def send(context, name, vm, kind, **facts):
    """Send a request and remember it by a name."""
    request = context.simulation.send(context.simulation.vms[vm], StatementKind(kind), **facts)
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


def breaks_of(context):
    """Return the rules that any VM saw broken."""
    return {
        rule: count
        for vm in context.simulation.vms.values()
        for rule, count in vm.engine.invariants.violations.items()
    }


def create_workspace(context, name, change, expected=None, rate=1.0, burst=2.0):
    """Create a workspace and return the list that gets its outcome."""
    fields = {"name": name, "rate": rate, "burst": burst}
    return context.simulation.propose_change(CommandKind.CREATE_WORKSPACE, fields, change, expected)


def watch_permits(context, vm):
    """Note when this VM permits requests, and of which workspace."""
    vm.board.changes.subscribe(
        Topic.REQUEST_PERMITTED,
        lambda request: context.permits.append((context.simulation.clock.now(), request.workspace)),
    )
