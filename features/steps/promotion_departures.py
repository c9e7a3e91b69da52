"""Steps about endpoints that leave, and may still run."""

from __future__ import annotations

from behave import given, then, when
from gentianspread_core.blackboard.configuration import (
    Configuration,
    load_snapshot,
    to_snapshot,
)
from gentianspread_lab.fakes.session_endpoint import endpoint_address
from gentianspread_lab.fakes.session_simulation import GROUP
from promotion_commits import STEP_S, events_of, group_of, only_event, run_until


@when('"{name:w}" is deregistered')
@when('"{name:w}" is deregistered and runs on')
def step_deregistered_running(context, name):
    context.promotion_simulation.deregister(name, incarnation=1)
    context.promotion_simulation.run(STEP_S)


@given('each answer of "{name:w}" has the position of {count:d} commits that are under way')
def step_under_way(context, name, count):
    context.promotion_simulation.endpoints[name].commits_under_way = count


@when('"{name:w}" joins at the address of "{other:w}"')
def step_joins_at_address(context, name, other):
    simulation = context.promotion_simulation
    endpoint = simulation.join(name, is_announced=False)
    address = endpoint_address(other)
    simulation.announce(endpoint, leaving=False, sequence=1, incarnation=2, address=address)


@when('"{name:w}" refuses connections and runs on')
def step_refuses(context, name):
    context.promotion_simulation.refusing_endpoints.add(name)


@when('"{name:w}" accepts connections again')
def step_accepts(context, name):
    context.promotion_simulation.refusing_endpoints.discard(name)


@then('"{name:w}" leads within {seconds:g} s')
def step_leads_within(context, name, seconds):
    simulation = context.promotion_simulation
    end = simulation.clock.now() + seconds
    run_until(
        context, lambda: simulation.endpoints[name].is_primary or simulation.clock.now() > end
    )
    assert simulation.endpoints[name].is_primary, simulation.promotions


@then('"{name:w}" leads')
def step_leads_now(context, name):
    assert context.promotion_simulation.endpoints[name].is_primary


@then("no replica is listed as departed")
def step_none_departed(context):
    assert not group_of(context).departed, group_of(context).departed
    assert not context.promotion_simulation.board.configuration.departures


@then('"{name:w}" is listed as departed and may still run, also in snapshots')
def step_departed(context, name):
    configuration = context.promotion_simulation.board.configuration
    loaded = Configuration()
    assert not load_snapshot(loaded, to_snapshot(configuration))
    for item in (configuration, loaded):
        assert item.groups[GROUP].departed == [f"{name}/1"], item.groups[GROUP].departed
        departure = item.departures[f"{name}/1"]
        assert (departure.group, departure.name, departure.incarnation) == (GROUP, name, 1)
        assert departure.address == endpoint_address(name)


@then('the control leader has not logged that "{label}" has ended')
def step_not_ended(context, label):
    assert not [item for item in events_of(context, "endpoint_ended") if label in item.subject]


@then('the control leader has logged that "{label}" has ended')
def step_ended_logged(context, label):
    assert only_event(context, "endpoint_ended").subject == f"endpoint {label}"
