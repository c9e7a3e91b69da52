"""Steps about the list of known failures."""

from __future__ import annotations

import os

from behave import given, then, when
from gentianspread_lab.checks import Tally, read_known_failures


@given('a list of known failures with "{listed:Quoted}"')
def step_listed(context, listed):
    context.known_failures_file = os.path.join(context.folder, "known.txt")
    with open(context.known_failures_file, "w", encoding="utf-8") as file:
        file.write(f"a write is lost\n  scenario: {listed}\n  seen: once\n")


@when('a scenario with the name "{name:Quoted}" fails')
def step_fails(context, name):
    context.tally = Tally(read_known_failures(context.known_failures_file))
    context.tally.add(name.replace("$blank", " "), False)


@then("{count:d} unexpected failure is counted")
def step_counted(context, count):
    assert context.tally.failed == count, context.tally.failed
    assert len(context.tally.failed_known) == 1 - count
