"""Steps about the metrics of sessions."""

from __future__ import annotations

from behave import then, when
from gentianspread_server.resources.process import ProcessResources
from gentianspread_server.session_metrics import SessionMetrics
from gentianspread_server.traffic import TrafficCounters


def _new_metrics(context):
    engine = context.session_simulation.engine
    return SessionMetrics(engine, TrafficCounters(), ProcessResources.with_defaults())


def _exposition(context):
    simulation = context.session_simulation
    metrics = _new_metrics(context)
    for calls in context.calls_by_session.values():
        for call in calls:
            metrics.count(call, simulation.clock.now())
    return metrics.text().decode()


@then('the metrics count {first:d} statement as "{ok:w}" and {second:d} as "{other:w}"')
def step_counts(context, first, ok, second, other):
    text = _exposition(context)
    assert f'gentianspread_statements_total{{code="{ok}"}} {float(first)}' in text, text
    assert f'gentianspread_statements_total{{code="{other}"}} {float(second)}' in text, text


@then("the metrics contain latency, open sessions, connections and events")
def step_exported(context):
    text = _exposition(context)
    assert 'gentianspread_latency_seconds{quantile="0.99"}' in text
    assert "gentianspread_sessions 1.0" in text
    assert "gentianspread_connections 1.0" in text
    assert 'gentianspread_events_total{kind="request_answered"} 1.0' in text


@when('the metrics are read before and after "{name:w}" sends "{text:Quoted}"')
def step_read_twice(context, name, text):
    context.metrics = _new_metrics(context)
    context.texts = [context.metrics.text()]
    context.execute_steps(f'When "{name}" sends "{text}"')
    context.texts.append(context.metrics.text())


@when("the metrics are read a second later")
def step_read_later(context):
    context.session_simulation.run(1.1)
    context.texts.append(context.metrics.text())


@then("the metrics read are the same")
def step_same(context):
    assert context.texts[-1] is context.texts[-2]


@then("the metrics read are new")
def step_new(context):
    assert context.texts[-1] != context.texts[-2]


def _text_of(context, vm):
    engine = context.promotion_simulation.vms[vm]
    resources = ProcessResources.with_defaults()
    return SessionMetrics(engine, TrafficCounters(), resources).text().decode()


@then('the metrics of "{vm:w}" have "{name:w}" at {value:d}')
def step_gauge(context, vm, name, value):
    text = _text_of(context, vm)
    assert f"\n{name} {float(value)}\n" in text, text


@then('the metrics of "{vm:w}" count {withheld:d} withheld and {unknown:d} unknown commits')
def step_commits(context, vm, withheld, unknown):
    text = _text_of(context, vm)
    for decision, count in {"withheld": withheld, "left_unknown": unknown}.items():
        line = f'gentianspread_commits_total{{decision="{decision}"}} {float(count)}'
        assert line in text, text
