"""Steps about the regions to which routes and workspaces are restricted."""

from __future__ import annotations

import json

from behave import given, then, when
from gentianspread_core.blackboard.configuration import (
    Configuration,
    load_snapshot,
    to_diskless_snapshot,
    to_snapshot,
)
from gentianspread_core.blackboard.declarations import Declaration, DeclaredGroup, Route
from gentianspread_core.errors import DeclarationError, ExecutionResult
from gentianspread_server.platform.documents import (
    decode_announcement,
    decode_cold_time,
    decode_declaration,
)
from gentianspread_server.platform.wire import decode_statement

SETTLING_S = 0.5
ROUTE_FIELDS = 9  # of the previous build
GROUP_FIELDS = 3
WORKSPACE_FIELDS = 4


@given(
    'the zones "{first:w}" and "{second:w}" are in the region "{east:w}", and "{third:w}" is in '
    '"{west:w}"'
)
def step_regions(context, first, second, third, east, west):
    for board in context.cold_simulation.boards:
        board.settings.regions = {first: east, second: east, third: west}


@given('the {kind:w} "{name:w}" is restricted to {regions:Json}')
@when('the {kind:w} "{name:w}" is restricted to {regions:Json}')
def step_restrict(context, kind, name, regions):
    def change(declaration):
        table = declaration.routes if kind == "route" else declaration.workspaces
        next(item for item in table if item.name == name).allowed_regions = regions

    context.cold_simulation.redeclare(change)


@given('no VM of "{zone:w}" serves callers')
def step_no_vms(context, zone):
    simulation = context.cold_simulation
    names = [name for name, engine in simulation.vms.items() if engine.board.settings.zone == zone]
    simulation.update_serving_vms(*names)
    for name in names:
        del simulation.vms[name]


@given('"{name:w}" answers each second statement that it is busy')
def step_busy(context, name):
    context.cold_simulation.endpoints[name].next_statement_errors.extend(["BUSY", ""] * 100)


@given(
    'a session "{name:w}" on "{database:w}" at "{vm:w}" in a transaction with {count:d} '
    "statements"
)
def step_transaction(context, name, database, vm, count):
    context.region_session = (vm, context.cold_simulation.open_session_at(vm, database))
    context.region_calls = []
    for text in ["BEGIN", *["WRITE x 1"] * count]:
        _send(context, text)


def _send(context, text):
    vm, session = context.region_session
    statement = decode_statement(f"r{len(context.region_calls)}", text)
    context.region_calls.append(context.cold_simulation.send_statement_at(vm, session, statement))
    context.cold_simulation.run(SETTLING_S)


@when('"{name:w}" writes and commits')
def step_commit(context, name):
    _send(context, "WRITE x 2")
    _send(context, "COMMIT")


@when('"{name:w}" begins another transaction and writes')
def step_next_transaction(context, name):
    _send(context, "BEGIN")
    context.cold_simulation.sent.clear()
    _send(context, "WRITE x 3")


@then('the statements of "{name:w}" were served')
def step_all_served(context, name):
    refusals = [call.answer.refusal for call in context.region_calls]
    assert not any(refusals), [str(item) for item in refusals]


@then('the last statement of "{name:w}" was refused as not run')
def step_last_refused(context, name):
    refusal = context.region_calls[-1].answer.refusal
    assert refusal is not None and refusal.result is ExecutionResult.NOT_RUN
    assert not context.cold_simulation.sent


def _reached(context):
    return {item.endpoint for item in context.cold_simulation.sent}


@then('requests reached only "{name:w}"')
def step_reached_only(context, name):
    assert _reached(context) == {name}


@then('requests reached "{first:w}", "{second:w}" and "{third:w}"')
def step_reached_all(context, first, second, third):
    assert _reached(context) == {first, second, third}


@then("no request reached an endpoint")
def step_reached_none(context):
    assert not context.cold_simulation.sent


@then('statements were relayed only to VMs in "{zone:w}"')
def step_relayed_in_zone(context, zone):
    simulation = context.cold_simulation
    zones = {simulation.vms[home].board.settings.zone for _, home in simulation.relayed_to}
    assert zones == {zone}


@then("no statement was relayed")
def step_not_relayed(context):
    assert not context.cold_simulation.relayed_to


@then('the refusals say "{text:Quoted}"')
def step_refusals_say(context, text):
    messages = {call.answer.refusal.message for call in context.load_calls}
    assert all(text in message for message in messages), messages
    boards = [engine.board for engine in context.cold_simulation.vms.values()]
    assert sum(board.queues.excluded.get(text, 0) for board in boards) == len(context.load_calls)


def _assert_has_all(configuration):
    regions = {item.name: item.allowed_regions for item in configuration.declaration.routes}
    assert regions["bounded"] == ["west"] and not regions["latest"] and not regions["own"]
    assert configuration.workspace_regions == {"w1": frozenset({"east"})}
    assert configuration.cold_rate_of("g") == 10.0
    assert configuration.cold_groups["g"].cold_start_s == 30.0


@then("every VM has the restrictions and the limit")
def step_every_vm(context):
    for configuration in context.cold_simulation.configurations():
        _assert_has_all(configuration)


@then("so has a VM that loads a snapshot")
def step_snapshot(context):
    for build in (to_snapshot, to_diskless_snapshot):
        loaded = Configuration()
        snapshot = json.loads(json.dumps(build(context.cold_simulation.board.configuration)))
        load_snapshot(loaded, snapshot)
        _assert_has_all(loaded)


@then("the rows of routes, groups and workspaces are those of the previous build")
def step_rows(context):
    record = context.cold_simulation.board.configuration.declaration.to_record()
    assert {len(row) for row in record["routes"]} == {ROUTE_FIELDS}
    assert {len(row) for row in record["groups"]} == {GROUP_FIELDS}
    assert {len(row) for row in record["workspaces"]} == {WORKSPACE_FIELDS}
    assert Route.from_record(record["routes"][0]).allowed_regions == []
    assert DeclaredGroup.from_record(record["groups"][0]).cold_rate == 0.0


@then("a difference of the previous build keeps them")
def step_old_difference(context):
    """A route that the difference replaces keeps its restriction, and the base is unchanged."""
    base = context.cold_simulation.board.configuration.declaration
    changed = Declaration.from_record(base.to_record())
    changed.version += 1
    for route in changed.routes:
        route.objective = 0.4
    delta = json.loads(json.dumps(changed.delta_from(base)))
    assert "extensions" not in delta
    merged = base.with_delta(delta)
    assert {item.objective for item in merged.routes} == {0.4}
    for declaration in (merged, base):
        assert {item.name: item.allowed_regions for item in declaration.routes} == {
            "bounded": ["west"],
            "latest": [],
            "own": [],
        }
        assert declaration.groups[0].cold_rate == 10.0


@then(
    'no VM restricts the route "{route:w}", and the workspace "{name:w}" is restricted to '
    "{regions:Json}"
)
def step_restrictions(context, route, name, regions):
    for configuration in context.cold_simulation.configurations():
        found = next(item for item in configuration.declaration.routes if item.name == route)
        assert found.allowed_regions == []
        assert configuration.workspace_regions == {name: frozenset(regions)}


def _document(group=None, route=None, workspace=None):
    return json.dumps(
        {
            "version": 1,
            "services": [{"name": "s", "maxConns": 10, **(group or {})}],
            "routes": [
                {"name": "r", "host": "h", "service": "s", "timeoutMs": 500, **(route or {})}
            ],
            "tenants": [
                {
                    "name": "t",
                    "apiKeys": ["k"],
                    "ratePerS": 1,
                    "burstSize": 1,
                    **(workspace or {}),
                }
            ],
        }
    ).encode()


def _decode(document):
    """Return the declaration, or none if it is invalid."""
    try:
        return decode_declaration(document)
    except DeclarationError:
        return None


@then("a configuration with the allowedRegions {regions} is {verdict:w}")
def step_check_regions(context, regions, verdict):
    value = {"allowedRegions": json.loads(regions)}
    for document in (_document(route=value), _document(workspace=value)):
        declaration = _decode(document)
        assert (declaration is not None) == (verdict == "valid")
    if verdict == "valid":
        expected = json.loads(regions) or []
        assert declaration.workspaces[0].allowed_regions == expected
        assert _decode(_document(route=value)).routes[0].allowed_regions == expected


@then("a configuration with the coldPerS {rate} and the coldStartS {time} is {verdict:w}")
def step_check_limits(context, rate, time, verdict):
    rate, time = json.loads(rate), json.loads(time)
    declaration = _decode(_document(group={"coldPerS": rate, "coldStartS": time}))
    assert (declaration is not None) == (verdict == "valid")
    if declaration is not None:
        group = declaration.groups[0]
        assert (group.cold_rate, group.cold_start_s) == (rate or 0, time or 0)


@then("an announcement with the coldRemainingMs {value} is valid and says {meaning}")
def step_cold_time(context, value, meaning):
    body = json.dumps(
        {
            "address": "10.0.0.1:5432",
            "zone": "z1",
            "service": "s",
            "state": "ready",
            "dbRole": "replica",
            "slots": 3,
            "sequence": 1,
            "born": 1,
            "coldRemainingMs": json.loads(value),
        }
    ).encode()
    assert decode_announcement("b1", body) is not None
    expected = None if meaning == "nothing" else float(meaning)
    assert decode_cold_time(body) == expected
