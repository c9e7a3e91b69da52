"""Steps about the logs of a played day."""

from __future__ import annotations

import orjson
from behave import given, then
from gentianspread_lab.platform.daylog import read_lines, render


@given("the logs of a day")
def step_logs(context):
    context.log_texts = []
    for row in context.table:
        fields = {
            "message": row["kind"],
            "cause": row["cause"],
            "details": {"attempts": int(row["attempts"])},
        }
        context.log_texts.append(f"  {row['time']} {row['vm']} {orjson.dumps(fields).decode()}\n")


@given("a line that is not a log line")
def step_other_line(context):
    context.log_texts += ["  1.5 e1 Traceback (most recent call last):\n", "seen\n", "1 e1 {x\n"]


@then('the table has the row "{row}"')
def step_row(context, row):
    lines = list(read_lines(context.log_texts, 0.0, 10.0))
    table = render(lines, 1.0).splitlines()
    assert row in table, table
