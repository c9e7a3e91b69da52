"""Steps about promotions in the control log, its snapshots, and the logs of VMs."""

from __future__ import annotations

from pathlib import Path

from behave import given, then, when
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.configuration import (
    Configuration,
    load_snapshot,
    to_diskless_snapshot,
    to_snapshot,
)
from gentianspread_core.blackboard.successions import Succession
from gentianspread_core.positions import Position
from gentianspread_lab.fakes.session_simulation import GROUP
from promotion_commits import STEP_S, events_of, group_of

OPERATIONS_PAGE = Path(__file__).parents[2] / "docs" / "OPERATIONS.md"


def snapshots(context):
    configuration = context.promotion_simulation.board.configuration
    return [to_snapshot(configuration), to_diskless_snapshot(configuration)]


def loaded(snapshot):
    configuration = Configuration()
    assert not load_snapshot(configuration, snapshot)
    assert configuration.revision == snapshot["revision"]
    return configuration


def propose(context, kind, fields):
    simulation = context.promotion_simulation
    context.entry_outcomes = simulation.propose(Command(kind, {"group": GROUP, **fields}))
    simulation.run(STEP_S)


def lines_of(context, vm, kind):
    return [event for event in context.vm_lines[vm] if event.kind.value == kind]


def names(text):
    return [name.strip() for name in text.split(",")]


@then('both kinds of snapshots hold that "{name:w}" took over, and can be loaded')
def step_in_snapshots(context, name):
    known = context.promotion_simulation.board.configuration.successions[GROUP]
    for snapshot in snapshots(context):
        configuration = loaded(snapshot)
        succession = configuration.successions[GROUP]
        assert configuration.groups[GROUP].primary == name
        assert succession.revision == known.revision
        assert (succession.kept_term, succession.kept_index) == (known.kept_term, known.kept_index)


@then("a snapshot of an older build without successions can be loaded")
def step_old_snapshot(context):
    for snapshot in snapshots(context):
        del snapshot["successions"]
        assert not loaded(snapshot).successions


@then("a snapshot with a table that this build does not know can be loaded")
def step_new_snapshot(context):
    for snapshot in snapshots(context):
        snapshot["later_table"] = [["g", 1]]
        loaded(snapshot)


@then("neither kind of snapshot has the successions")
def step_no_successions(context):
    assert all("successions" not in snapshot for snapshot in snapshots(context))


@when("the control VMs keep no entries for updates")
def step_no_history(context):
    controller = context.promotion_simulation.engine.configuration
    controller.history.clear()
    controller.serving_history.clear()


@when("an entry grants the term {term:d}")
def step_grant(context, term):
    propose(context, CommandKind.GRANT_TERM, {"term": term})


@when('an entry of an older build names "{name:w}" as the primary in term {term:d}')
def step_old_entry(context, name, term):
    propose(context, CommandKind.NAME_PRIMARY, {"term": term, "endpoint": name})


@when('an entry names "{name:w}" in term {term:d} with {field:w} as {value:Json}')
def step_entry(context, name, term, field, value):
    propose(context, CommandKind.NAME_PRIMARY, {"term": term, "endpoint": name, field: value})


@then(
    'the entry was {outcome:w}, and "{name:w}" is the primary of term {term:d} in the control log'
)
def step_entry_outcome(context, outcome, name, term):
    assert [item.accepted for item in context.entry_outcomes] == [outcome == "accepted"]
    group = group_of(context)
    assert (group.primary, group.term) == (name, term), (group.primary, group.term)


@then("the control log has a succession that keeps no commit for certain")
def step_unknown_succession(context):
    succession = context.promotion_simulation.board.configuration.successions[GROUP]
    assert (succession.kept_term, succession.kept_index) == (0, 0)


@then("the control log has no succession")
def step_no_succession(context):
    assert not context.promotion_simulation.board.configuration.successions


@given("the VMs' log lines are kept")
def step_keep_lines(context):
    context.vm_lines = {vm: [] for vm in context.promotion_simulation.vms}
    for vm, engine in context.promotion_simulation.vms.items():
        engine.board.timeline.sink = context.vm_lines[vm].append


@then('the control leader logged "{kind:w}" with {fields}')
def step_logged(context, kind, fields):
    events = events_of(context, kind)
    assert events, f"no {kind}"
    for event in events:
        missing = [name for name in names(fields) if name not in event.details]
        assert not missing, (event.subject, missing)
    assert any(event.subject for event in events)


@then('the control leader logged "{kind:w}" because "{cause:Quoted}"')
def step_logged_cause(context, kind, cause):
    causes = [event.cause for event in events_of(context, kind)]
    assert cause in causes, causes


@then('the control leader logged no "{kind:w}"')
def step_not_logged(context, kind):
    assert not events_of(context, kind), [event.subject for event in events_of(context, kind)]


@then('"{vm:w}" logged "{kind:w}" with {fields}')
def step_vm_logged(context, vm, kind, fields):
    lines = lines_of(context, vm, kind)
    assert lines, f"no {kind}"
    for line in lines:
        missing = [name for name in names(fields) if line.details.get(name) in (None, "")]
        assert not missing, missing


@then('the "{kind:w}" line of "{vm:w}" shows {state} under way')
def step_shows_promotion(context, kind, vm, state):
    details = lines_of(context, vm, kind)[-1].details
    is_open = details["fence_granted"] != details["fence_ended"]
    assert is_open == (state == "a promotion"), details


@then('the operations page names "{line:w}"')
def step_documented(context, line):
    assert f"`{line}`" in OPERATIONS_PAGE.read_text(encoding="utf-8")


@given("a succession that keeps the log up to {term:d}.{index:d}")
def step_succession(context, term, index):
    context.succession = Succession(GROUP, 1, term, index)


@then("it {verb} the position {term:d}.{index:d}")
def step_keeps(context, verb, term, index):
    assert context.succession.keeps(Position(term, index)) is (verb == "keeps")
