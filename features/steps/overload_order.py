"""Steps about the order in which a queue is served, without a simulation of its load."""

from __future__ import annotations

from collections import Counter

from behave import given, then, when
from gentianspread_core.blackboard.declarations import Consistency, Route
from gentianspread_core.blackboard.queues import WaitingQueue
from gentianspread_core.blackboard.requests import StatementKind
from gentianspread_core.blackboard.sessions import Session, SessionRequest, StatementCall
from gentianspread_core.controllers.placement.priority import PriorityWaiting
from gentianspread_server.platform.wire import decode_statement

OBJECTIVE_S = 0.25


def _push(context, priority, workspace, age_s=0.0):
    route = Route("r", "r", "g", Consistency.LATEST, None, 1.0, OBJECTIVE_S, priority, True)
    arrived_at = context.board.clock.now() - age_s
    context.pushed += 1
    statement = decode_statement(f"n{context.pushed}", "READ x")
    call = StatementCall(Session(1, "r", "k"), statement, arrived_at, None)
    request = SessionRequest(context.pushed, StatementKind.READ, call, route, 1.0)
    request.workspace = workspace
    context.policy.push(context.queue, request)
    return request


@given("a queue that is ordered by priority")
def step_queue(context):
    context.board = context.home_simulation.vms["h1"].board
    context.policy = PriorityWaiting(context.board)
    context.queue = WaitingQueue(512)
    context.pushed = 0


@when("{count:d} requests are dispatched while requests of the priorities 0, 1 and 2 always wait")
def step_dispatch_all(context, count):
    context.dispatched = Counter()
    for priority in (0, 1, 2):
        _push(context, priority, "w1")
    for queue, key in context.policy.turns([context.queue]):
        request = context.policy.take(queue, key)
        context.dispatched[request.route.priority] += 1
        if sum(context.dispatched.values()) == count:
            break
        _push(context, request.route.priority, "w1")


@then("at least {first:d} of priority 0 were dispatched, and at least {others:d} of each other one")
def step_dispatched(context, first, others):
    counts = context.dispatched
    assert counts[0] >= first and counts[1] >= others and counts[2] >= others, counts


@when("requests that have waited for {ages} s are pushed")
def step_push_aged(context, ages):
    context.ages = {}
    for age_s in ages.split(", "):
        context.ages[_push(context, 0, "w1", float(age_s)).number] = age_s


@then("they are dispatched in the order {ages} s")
def step_order(context, ages):
    order = [
        context.ages[context.policy.take(queue, key).number]
        for queue, key in context.policy.turns([context.queue])
    ]
    assert order == ages.split(", "), order
