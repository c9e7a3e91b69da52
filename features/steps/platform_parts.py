"""Steps about single parts of the platform's programs."""

from __future__ import annotations

from behave import given, then, when
from gentianspread_core.blackboard.configuration import Configuration, load_snapshot
from gentianspread_server.peers import Addresses


@given("the address book of a VM that knows only its seeds")
def step_addresses(context):
    board = context.sworld.board
    seeds = {"10.1.0.47:8708": "10.1.0.47:8708"}
    context.addresses = Addresses(board, seeds, names_are_addresses=True)


@when("a VM that has nothing polls after {count:d} changes")
def step_poll_from_nothing(context, count):
    for version in range(2, 2 + count):
        context.sworld.declare(version)
    context.update = context.sworld.engine.configuration.catch_up(0, "e1", only_serves=True)


@then("it gets the state and not the changes")
def step_gets_state(context):
    assert context.update.snapshot is not None and not context.update.entries


@then("the state holds no document and no outcomes, and gives the same keys")
def step_slim(context):
    snapshot = context.update.snapshot
    assert snapshot["declaration"]["document"] == "" and snapshot["outcomes"] == {}
    configuration = Configuration()
    load_snapshot(configuration, snapshot)
    held = context.sworld.board.configuration
    assert configuration.keys.keys() == held.keys.keys()
    assert configuration.workspaces.keys() == held.workspaces.keys()


@then("a VM with a disk gets the document")
def step_full(context):
    update = context.sworld.engine.configuration.catch_up(0, "s1")
    assert update.snapshot["declaration"]["document"].startswith("document")


@then('the voter "{name:Quoted}" is reached at "{address:Quoted}"')
def step_reached(context, name, address):
    assert context.addresses.of(name) == address
