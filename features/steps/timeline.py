"""Steps about the timeline."""

from __future__ import annotations

from behave import then, when
from gentianspread_cli.causes import explain
from gentianspread_core.blackboard.timeline import EventKind, Timeline


def all_events(context):
    records = [
        event.to_record()
        for vm in context.simulation.vms.values()
        for event in vm.board.timeline.events
    ]
    return sorted(records, key=lambda event: (event["wall_ms"], event["counter"]))


@when("a VM whose clock is {seconds:g} s behind receives the timestamp of an event of another VM")
def step_clock_behind(context, seconds):
    ahead = Timeline("vm1", lambda: 100_000)
    behind = Timeline("vm2", lambda: 100_000 - int(seconds * 1000))
    ahead.record(EventKind.STARTED, "vm1")
    behind.observe(ahead.wall_ms, ahead.counter)
    behind.record(EventKind.STARTED, "vm2")
    context.timestamps = [
        (event.wall_ms, event.counter) for event in (ahead.events[-1], behind.events[-1])
    ]


@then("its next event has a later timestamp")
def step_later_timestamp(context):
    assert context.timestamps[1] > context.timestamps[0], context.timestamps


@then('the newest event about "{subject:w}" is "{kind:w}" and is explained by "{cause:w}"')
def step_chain(context, subject, kind, cause):
    chain = explain(all_events(context), subject)
    kinds = [event["kind"] for event in chain]
    assert kinds[-1] == kind, kinds
    assert cause in kinds[:-1], kinds


@then('the newest refusal is explained by the change "{change:w}"')
def step_refusal(context, change):
    events = all_events(context)
    refusal = [event for event in events if event["kind"] == "request_refused"][-1]
    chain = explain(events, refusal["subject"])
    assert any(change in event["cause"] for event in chain[:-1]), chain


@then('{name:w} records "{first:w}" and then "{second:w}"')
def step_records(context, name, first, second):
    kinds = [event.kind.value for event in context.simulation.vms[name].board.timeline.events]
    assert first in kinds, kinds
    assert second in kinds[kinds.index(first) :], kinds
