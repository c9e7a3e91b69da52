"""Steps about estimates of the load of endpoints, and about the model of many VMs."""

from __future__ import annotations

from behave import given, then, when
from gentianspread_core.blackboard.connections import BackendConnection, ConnectionState
from gentianspread_core.blackboard.endpoints import Endpoint
from gentianspread_core.blackboard.homes import ServingVM
from gentianspread_core.blackboard.loads import EndpointLoad
from gentianspread_core.controllers.balancing import SpreadOption, StaleLoadEstimator
from gentianspread_core.controllers.placement.costs import CROSS_ZONE_COST_S
from gentianspread_core.controllers.placement.selection import ServingOption
from gentianspread_lab import loadmodel
from gentianspread_lab.loadmodel import ModelRequest, run_model

HERD_LOAD = 0.9
DRAWS = 2000
MODEL_S = 3.0
PRODUCT_WAY = "migration; aged; own added"


@given("{count:d} VMs in the model, with load information that is {age:g} s old")
def step_model(context, count, age):
    context.model = (count, age)


@when("they choose among three endpoints with {slots:d} slots under 0.9 of their capacity")
def step_run_model(context, slots):
    usual, loadmodel.LOAD = loadmodel.LOAD, HERD_LOAD
    try:
        count, age = context.model
        context.evenness = run_model(PRODUCT_WAY, count, slots, age, MODEL_S, seed=1)
    finally:
        loadmodel.LOAD = usual


@then("at most {limit:d} statements wait at an endpoint at any time")
def step_queue(context, limit):
    assert context.evenness.longest_queue <= limit, context.evenness.longest_queue


@then("the statements at the endpoints differ by at most {limit:g} on average")
def step_spread(context, limit):
    assert context.evenness.spread <= limit, context.evenness.spread


@given("a VM whose home VMs report {first:d} and {second:d} statements at two endpoints")
def step_estimator(context, first, second):
    simulation = context.home_simulation
    board = simulation.vms["h1"].board
    context.estimator = StaleLoadEstimator(board)
    context.estimated = []
    for name, count in (("x1", first), ("x2", second)):
        endpoint = Endpoint(name, "", "zx", "x", 1)
        endpoint.slots = 4
        board.endpoints.by_name[name] = endpoint
        board.endpoints.by_group.setdefault("x", []).append(endpoint)
        board.homes.ranking_cache[(name, "")] = [ServingVM("home", "home", "zx")]
        load = EndpointLoad(count, 0, 0.0, 0.2, simulation.clock.now())
        board.loads.by_endpoint[name] = {"home": load}
        context.estimated.append(endpoint)


@when("the reports are {age:g} s old")
def step_age(context, age):
    now = context.home_simulation.clock.now()
    for reports in context.estimator.board.loads.by_endpoint.values():
        for report in reports.values():
            report.measured_at = now - age


@when("the VM has relayed {count:d} statements to the first endpoint since the report")
def step_relayed_since(context, count):
    board = context.estimator.board
    endpoint = context.estimated[0]
    for number in range(count):
        connection = BackendConnection(number, endpoint.name, "", "x", "", board.clock.now())
        connection.home = ServingVM("home", "home", "zx")
        connection.state = ConnectionState.BUSY
        board.connections.of(endpoint.name).append(connection)


@then("the first endpoint is expected to have {low:g} to {high:g} statements")
def step_expected(context, low, high):
    statements = context.estimator.statements(context.estimated[0])
    assert low <= statements <= high, statements


@then("{low:g} to {high:g} of the requests are moved from the first endpoint to the second")
def step_moved(context, low, high):
    first, second = context.estimated
    selector = SpreadOption(
        context.estimator.board, context.estimator, context.home_simulation.randomness
    )
    context.estimator.board.loads.is_reported = True
    load_s = context.estimator.expected_wait_s(first, None)
    options = [
        ServingOption(first, None, load_s, load_s),
        ServingOption(second, None, CROSS_ZONE_COST_S, 0.0),
    ]
    chosen = [selector.choose(ModelRequest(), options).endpoint for _ in range(DRAWS)]
    share = chosen.count(second) / DRAWS
    assert low <= share <= high, share


@then("nothing is known of the first endpoint's wait")
def step_unknown(context):
    assert context.estimator.expected_wait_s(context.estimated[0], None) is None
