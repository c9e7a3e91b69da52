"""Steps about single parts of the platform's programs."""

from __future__ import annotations

from behave import given, then
from gentianspread_server.peers import Addresses


@given("the address book of a VM that knows only its seeds")
def step_addresses(context):
    board = context.sworld.board
    seeds = {"10.1.0.47:8708": "10.1.0.47:8708"}
    context.addresses = Addresses(board, seeds, names_are_addresses=True)


@then('the voter "{name:Quoted}" is reached at "{address:Quoted}"')
def step_reached(context, name, address):
    assert context.addresses.of(name) == address
