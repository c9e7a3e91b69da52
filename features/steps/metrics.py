"""Steps about the metrics of sessions."""

from __future__ import annotations

from behave import then
from gentianspread_server.resources.process import ProcessResources
from gentianspread_server.session_metrics import SessionMetrics
from gentianspread_server.traffic import TrafficCounters


def _exposition(context):
    simulation = context.session_simulation
    metrics = SessionMetrics(simulation.engine, TrafficCounters(), ProcessResources.with_defaults())
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
