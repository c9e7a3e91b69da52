"""Steps about the capacity page and the sweeps of the users' bench."""

from __future__ import annotations

from behave import given, then
from gentianspread_lab.sweep import NEXT_SECTION, Sweep, render_section, replace_section


@given("the table that a sweep printed")
def step_table(context):
    context.sweep_section = render_section(Sweep.from_text(context.text))


@then('the section has the row "{row}"')
def step_section_row(context, row):
    assert row in context.sweep_section.splitlines(), context.sweep_section


@then('the section names a remedy for "{name}" and for no other row')
def step_remedies(context, name):
    remedies = [line for line in context.sweep_section.splitlines() if line.startswith("- **")]
    assert len(remedies) == 1 and remedies[0].startswith(f"- **{name}**"), remedies


@then("writing it twice into the capacity page changes nothing else")
def step_twice(context):
    page = f"# Capacity\n\nText.\n\n{NEXT_SECTION}\n\nMore.\n"
    once = replace_section(page, context.sweep_section)
    assert replace_section(once, context.sweep_section) == once
    assert once.replace(context.sweep_section, "") == page
