"""Steps about evacuations on the control leader: promotions and snapshots."""

from __future__ import annotations

import orjson
from behave import given, then, when
from gentianspread_cli.views import status_lines
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.commands import CommandKind
from gentianspread_core.blackboard.configuration import (
    Configuration,
    load_snapshot,
    to_diskless_snapshot,
    to_snapshot,
)
from gentianspread_core.blackboard.timeline import EventKind
from gentianspread_lab.fakes.session_simulation import GROUP
from gentianspread_server.operations import Operations
from gentianspread_server.resources.process import ProcessResources
from gentianspread_server.session_metrics import SessionMetrics
from gentianspread_server.traffic import TrafficCounters
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


@given("evacuations take {seconds:g} s on the VM")
def step_setting(context, seconds):
    context.session_simulation.board.settings.evacuation_timeout_s = seconds


@when('the evacuation of the zone of "{name:w}" has ended')
def step_zone_ended(context, name):
    simulation = context.session_simulation
    change_zone(simulation, CommandKind.FINISH_EVACUATION, simulation.endpoints[name].zone)


class OnlyVM:
    """Stands in for the distribution of a VM that knows no others."""

    def leader(self):
        return "vm"


def _status_lines(context):
    operations = Operations(context.session_simulation.engine, None, OnlyVM())
    return status_lines(orjson.loads(operations.status(b"")))


def _metrics(context):
    metrics = SessionMetrics(
        context.session_simulation.engine, TrafficCounters(), ProcessResources.with_defaults()
    )
    return metrics.text().decode()


@then("the status names no evacuated zones, and the metrics count 0")
def step_status_without(context):
    assert not [line for line in _status_lines(context) if "vacuated" in line]
    assert "gentianspread_evacuated_zones 0.0" in _metrics(context)


@then('the status names the evacuated zone of "{name:w}", and the metrics count 1')
def step_status_with(context, name):
    zone = context.session_simulation.endpoints[name].zone
    lines = [line for line in _status_lines(context) if "vacuated" in line]
    assert len(lines) == 1 and f"{zone} (revision " in lines[0], lines
    assert "gentianspread_evacuated_zones 1.0" in _metrics(context)


@then("the metrics have no line about evacuations")
def step_no_metrics(context):
    assert "evacuat" not in _metrics(context)


def _fall_behind(context, names):
    simulation = context.session_simulation
    for name in names:
        simulation.endpoints[name].ignores_replication = True
    simulation.primary()._append([f"c{number}" for number in range(5)])
    simulation.run(2.0)


@when('the primary has commits that "{first:w}" and "{second:w}" lack')
def step_both_behind(context, first, second):
    _fall_behind(context, (first, second))


@when('the primary has commits that "{name:w}" lacks')
def step_one_behind(context, name):
    _fall_behind(context, (name,))


@when('"{name:w}" has received all commits of the primary')
def step_caught_up(context, name):
    simulation = context.session_simulation
    simulation.endpoints[name].applied = len(simulation.primary().log)


@then('"{name:w}" stays the primary for {seconds:g} s')
def step_stays_primary(context, name, seconds):
    simulation = context.session_simulation
    end = simulation.clock.now() + seconds
    while simulation.clock.now() < end:
        simulation.run(0.05)
        assert simulation.endpoints[name].is_primary, simulation.clock.now()


@when('"{name:w}" crashes as soon as the primary has stepped down')
def step_crash_after_step_down(context, name):
    simulation = context.session_simulation
    end = simulation.clock.now() + 5.0
    while any(item.is_primary for item in simulation.endpoints.values()):
        assert simulation.clock.now() < end, "the primary did not step down"
        simulation.run(0.0005)
    simulation.endpoints[name].alive = False


@when("the endpoints refuse all commands")
def step_refuse_commands(context):
    board = context.session_simulation.board
    context.session_simulation._execute_command = lambda command: board.post(
        Topic.ENDPOINT_COMMAND_ENDED, command
    )


@then("at most {count:d} handovers are attempted in {seconds:g} s, with {each:d} log entries each")
def step_few_entries(context, count, seconds, each):
    simulation = context.session_simulation
    attempts = simulation.board.timeline.counts
    attempts_before = attempts.get(EventKind.FAILOVER_STARTED, 0)
    before = simulation.board.configuration.revision
    simulation.run(seconds)
    written = simulation.board.configuration.revision - before
    attempted = attempts[EventKind.FAILOVER_STARTED] - attempts_before
    assert 0 < attempted <= count and written <= each * attempted, (attempted, written)
