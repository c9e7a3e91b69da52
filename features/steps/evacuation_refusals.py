"""Steps about refusals during evacuations, in simulations of entry VMs and endpoints."""

from __future__ import annotations

from behave import given, then, when
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.declarations import Declaration
from support import send_at

OTHER_REGION = "elsewhere"


@given("the endpoints refuse the commands of handovers")
def step_refuse(context):
    board = context.home_simulation.board
    context.home_simulation._execute_command = lambda command: board.post(
        Topic.ENDPOINT_COMMAND_ENDED, command
    )


@given(
    'the zone "{zone:w}" is in the region "{region:w}", and the routes are restricted to "{to:w}"'
)
def step_region(context, zone, region, to):
    simulation = context.home_simulation
    for board in simulation.boards:
        board.settings.regions = {item: OTHER_REGION for item in ("z1", "z2", "z3")}
        board.settings.regions[zone] = region
    record = simulation.board.configuration.declaration.to_record()
    declaration = Declaration.from_record(record)
    declaration.version += 1
    for route in declaration.routes:
        route.allowed_regions = [to]
    simulation.propose(Command(CommandKind.DECLARE, declaration.to_record()))
    simulation.run(0.5)


@when('"{vm:w}" suspects "{name:w}", and a session sends there "{text:Quoted}"')
def step_suspects(context, vm, name, text):
    simulation = context.home_simulation
    endpoint = simulation.vms[vm].board.endpoints.by_name[name]
    endpoint.suspected, endpoint.suspected_since = True, simulation.clock.now()
    _send(context, vm, text)


@when('a session sends at "{vm:w}" "{text:Quoted}"')
def step_sends(context, vm, text):
    _send(context, vm, text)


def _send(context, vm, text):
    session = context.home_simulation.open_session_at(
        vm, "latest" if "WRITE" in text else "bounded"
    )
    context.only_call = send_at(context, vm, session, text)
    context.home_simulation.run(0.1)


@then("that statement was served")
def step_was_served(context):
    answer = context.only_call.answer
    assert answer is not None and answer.refusal is None, answer and answer.refusal.message


@then('that statement was refused with "{code:w}" for "{reason:Quoted}"')
def step_was_refused(context, code, reason):
    answer = context.only_call.answer
    assert answer is not None and answer.refusal is not None, answer
    assert answer.refusal.code.value == code and reason in answer.refusal.message, (
        answer.refusal.code,
        answer.refusal.message,
    )


@then('"{vm:w}" counts it as excluded, and no request as refused for an evacuation')
def step_counts(context, vm):
    board = context.home_simulation.vms[vm].board
    assert sum(board.queues.excluded.values()) == 1, board.queues.excluded
    assert board.evacuations.refused_requests == 0
