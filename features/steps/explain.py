"""Steps about explaining requests from log files."""

from __future__ import annotations

import json
import os

from behave import given, then, when
from gentianspread_cli.commands import Options, explain_request


def _line(time_ms, member, message, subject, cause, /, **details):
    record = {
        "time_ms": time_ms,
        "member": member,
        "message": message,
        "subject": subject,
        "cause": cause,
        "details": details,
    }
    return "   1.0 vm " + json.dumps(record)


def _write(context, name, lines):
    with open(os.path.join(context.folder, name), "w", encoding="utf-8") as file:
        file.write("\n".join(lines) + "\n")


@given('logs of a request "{request:w}" whose primary was lost before its commit was answered')
def step_logs(context, request):
    unknown = _line(
        3000, "e1", "request_unknown", f"request {request}", "outcome_unknown", group="g"
    )
    _write(context, "e1.log", [unknown])
    failover = _line(2000, "c1", "failover_started", "group g", "no answer to 2 probes")
    _write(context, "c1.log", [failover])


@given("logs with malformed lines and lines of other programs")
def step_malformed(context):
    _write(context, "x.log", ["", "{broken", "no object", '{"message": "hello"}', "\udcff"[:0]])


@when('"{request:w}" is explained from the logs')
def step_explain(context, request):
    context.lines = explain_request(None, [request, context.folder], Options()).lines


@then('the explanation names "{first:w}" before "{second:w}"')
def step_order(context, first, second):
    text = "\n".join(context.lines)
    assert 0 <= text.find(first) < text.find(second), text


@then('the explanation is "{text:Quoted}"')
def step_explanation(context, text):
    assert context.lines == [text], context.lines


def _overload_line(member, number, kind, cause, priority, queued_ms, relayed=False):
    return _line(
        3000,
        member,
        kind,
        f"request {number}",
        cause,
        group="g",
        workspace="w1",
        zone="z1",
        priority=priority,
        queued_ms=queued_ms,
        relayed=relayed,
    )


@given('logs of two VMs of an overloaded group, in which request "{request:w}" was refused')
def step_overload_logs(context, request):
    first = [
        _overload_line("e1", "r1", "request_answered", "ok", "0", 10),
        _overload_line("e1", request, "request_refused", "overloaded", "2", 100),
    ]
    second = [
        _overload_line("e2", "r5", "request_answered", "ok", "0", 10),
        _overload_line("e2", "r6", "request_refused", "overloaded", "2", 80),
        _overload_line("e2", request, "request_refused", "overloaded", "2", 70, relayed=True),
    ]
    _write(context, "e1.log", first)
    _write(context, "e2.log", second)


@then('the explanation counts for priority "{priority:w}": "{text:Quoted}"')
def step_counts(context, priority, text):
    lines = [line for line in context.lines if f"priority {priority} " in line]
    assert len(lines) == 1 and lines[0].endswith(text), context.lines


@given("all VMs of the simulation write logs")
def step_write_logs(context):
    context.log_lines = []
    simulation = context.promotion_simulation

    def write(event):
        line = _line(
            event.wall_ms,
            event.member,
            event.kind.value,
            event.subject,
            event.cause,
            **event.details,
        )
        context.log_lines.append(line)
        _write(context, "all.log", context.log_lines)

    for board in (simulation.board, *(engine.board for engine in simulation.vms.values())):
        board.timeline.sink = write


@then("the explanation names in this order:")
def step_named_in_order(context):
    lines = iter(context.lines)
    for row in context.table:
        found = any(row["line"] in line and row["of"] in line for line in lines)
        assert found, (row["line"], row["of"], "\n".join(context.lines))


@given(
    'logs of a commit "{request:w}" of group "{group:w}", '
    'beside a promotion of group "{other:w}" and a join in "{same:w}"'
)
def step_unrelated_promotion(context, request, group, other, same):
    lines = [
        _line(1000, "c1", "endpoint_joined", "endpoint b9", "", group=same),
        _line(2000, "c1", "failover_started", f"group {other}", "no answer to 2 probes"),
        _line(
            3000,
            "e1",
            "request_answered",
            f"request {request}",
            "ok",
            group=group,
            statement="commit",
        ),
    ]
    _write(context, "all.log", lines)


@then("the explanation has {count:d} line")
def step_line_count(context, count):
    assert len(context.lines) == count, context.lines
