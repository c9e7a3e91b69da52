"""Steps about evacuations on the control leader: promotions and snapshots."""

from __future__ import annotations

from behave import then, when
from gentianspread_core.blackboard.commands import CommandKind
from gentianspread_core.blackboard.configuration import (
    Configuration,
    load_snapshot,
    to_diskless_snapshot,
    to_snapshot,
)
from gentianspread_lab.fakes.session_simulation import GROUP
from support import change_zone


@when('the evacuation of the zone of "{name:w}" has begun')
def step_zone_of(context, name):
    simulation = context.session_simulation
    zone = simulation.endpoints[name].zone
    change_zone(simulation, CommandKind.BEGIN_EVACUATION, zone)


@then('a promotion of "{name:w}" is in progress')
def step_promoting(context, name):
    promotion = context.session_simulation.board.groups.promotions.get(GROUP)
    assert promotion is not None and promotion.target == name, promotion


def _snapshots(context):
    configuration = context.session_simulation.board.configuration
    return [to_snapshot(configuration), to_diskless_snapshot(configuration)]


@then('neither kind of snapshot has a key "{key:w}"')
def step_no_key(context, key):
    assert all(key not in snapshot for snapshot in _snapshots(context))


@then('both kinds of snapshots hold the evacuation of the zone of "{name:w}"')
def step_in_snapshots(context, name):
    zone = context.session_simulation.endpoints[name].zone
    for snapshot in _snapshots(context):
        loaded = Configuration()
        load_snapshot(loaded, snapshot)
        assert loaded.is_evacuated(zone) and loaded.evacuation_revision(zone) > 0


@then("a snapshot of an older build without evacuations can be loaded")
def step_old_snapshot(context):
    for snapshot in _snapshots(context):
        del snapshot["evacuations"]
        loaded = Configuration()
        load_snapshot(loaded, snapshot)
        assert not loaded.evacuations and loaded.revision == snapshot["revision"]
