"""Steps about commits that a VM withholds."""

from __future__ import annotations

from behave import then, when
from gentianspread_core.blackboard import Topic
from gentianspread_core.errors import ExecutionResult
from gentianspread_lab.fakes.session_simulation import GROUP
from promotion_commits import run_until


@when('the write is withheld at "{vm:w}" and its time to wait for an endpoint ends')
def step_expires(context, vm):
    board = context.promotion_simulation.vms[vm].board
    run_until(context, lambda: board.groups.withheld.get(GROUP))
    (context.withheld,) = board.groups.withheld[GROUP]
    board.changes.post(Topic.REQUEST_EXPIRED, context.withheld)


@then("the write was not refused as one that has not run")
def step_not_refused(context):
    outcome = context.withheld.outcome
    assert outcome is not None
    assert outcome.result is not ExecutionResult.NOT_RUN, outcome.refusal.message
