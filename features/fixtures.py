"""Shared fixtures: simulated fleets and temporary folders."""

from __future__ import annotations

import random
import tempfile

from behave import fixture
from gentianspread_core.blackboard import Topic
from gentianspread_lab.fakes import Simulation
from gentianspread_lab.fakes.cold_simulation import ColdSimulation
from gentianspread_lab.fakes.home_simulation import HomeSimulation
from gentianspread_lab.fakes.promotion_simulation import PromotionSimulation
from gentianspread_lab.fakes.session_runner import HeldSessionRunner
from gentianspread_lab.fakes.session_simulation import SessionSimulation
from gentianspread_lab.platform.fleet import PlatformFleet
from gentianspread_lab.platform.ledger import Ledger
from gentianspread_lab.platform.ports import PortBlock
from gentianspread_lab.platform.soakboard import SoakBoard
from gentianspread_server.platform.callers import CallerServer
from gentianspread_server.resources.process import ProcessResources

SETTLING_S = 5.0
CLOSE_TIMEOUT_S = 0.2
# An idle VM has about 40 MB, so that a hundred messages of 1 MB exceed the memory; the descriptors
# are 200 for files outside the data folder and 200 others, fewer than the clients of a scenario.
TEST_LIMITS = {"limits.memoryMb": "80", "limits.maxFds": "400"}


@fixture
def fleet_simulation(context, seed=1):
    """A running fleet: three voters, a standby, two diskless VMs, one group of three endpoints."""
    context.simulation = Simulation(seed, voters=3, diskless=2, standbys=1)
    context.advance_clock = context.simulation.run
    context.simulation.run(2.0)
    context.simulation.add_endpoints()
    context.simulation.set_up_workspace()
    context.simulation.run(SETTLING_S)
    yield context.simulation


@fixture
def platform_fleet(context, links_control_vms=False):
    """Three control VMs and three entry VMs as processes, and one group of three endpoints."""
    context.fleet = PlatformFleet(links_control_vms=links_control_vms)
    try:
        context.fleet.start()
        yield context.fleet
    finally:
        context.fleet.stop(keep_logs=True)


@fixture
def limited_fleet(context):
    """Three control VMs and two entry VMs as processes with little memory and few descriptors."""
    context.fleet = PlatformFleet(entry_count=2, limits=TEST_LIMITS)
    context.crowds = []
    try:
        context.fleet.start()
        yield context.fleet
    finally:
        for crowd in context.crowds:
            crowd.close()
        context.fleet.stop(keep_logs=True)


@fixture
def temporary_folder(context):
    """A folder that is removed after the scenario."""
    with tempfile.TemporaryDirectory() as folder:
        context.folder = folder
        yield folder


@fixture
def session_simulation(context):
    """A VM that serves sessions on declared routes, and one group of three endpoints."""
    context.session_simulation = SessionSimulation()
    context.advance_clock = context.session_simulation.run
    context.sessions = {}
    context.calls_by_session = {}
    context.sent_count = 0
    yield context.session_simulation


@fixture
def home_simulation(context, **options):
    """Six VMs that serve callers, in the zones of one group's three endpoints."""
    context.home_simulation = HomeSimulation(**options)
    context.advance_clock = context.home_simulation.run
    context.sessions = {}
    context.calls_by_session = {}
    context.statement_calls = []
    context.answered_at = {}
    for engine in context.home_simulation.vms.values():
        engine.board.changes.subscribe(
            Topic.STATEMENT_ANSWERED,
            lambda call: context.answered_at.setdefault(
                call.statement.statement_id, context.home_simulation.clock.now()
            ),
        )
    yield context.home_simulation


@fixture
def promotion_simulation(context):
    """Three VMs that serve callers, and a control leader that endpoints may be cut off from."""
    context.promotion_simulation = PromotionSimulation()
    context.advance_clock = context.promotion_simulation.run
    context.callers = {}
    context.writes = []
    yield context.promotion_simulation


@fixture
def priority_simulation(context):
    """The VMs of `home_simulation`, scheduling by priority, and endpoints with one slow slot."""
    yield from home_simulation(context, slots=1, statement_cost_s=0.02, schedules_by_priority=True)


@fixture
def cold_simulation(context):
    """Twelve VMs that serve callers, and one group of three endpoints, which may be cold."""
    context.cold_simulation = ColdSimulation()
    context.advance_clock = context.cold_simulation.run
    context.statement_calls = []
    context.answered_at = {}
    for engine in context.cold_simulation.vms.values():
        engine.board.changes.subscribe(
            Topic.STATEMENT_ANSWERED,
            lambda call: context.answered_at.setdefault(
                call.statement.statement_id, context.cold_simulation.clock.now()
            ),
        )
    yield context.cold_simulation


@fixture
def caller_server(context):
    """A server for callers on loopback whose statements a test can hold."""
    ports = PortBlock.reserve()
    context.caller_address = ports.next_address()
    context.held_runner = HeldSessionRunner()
    context.resources = ProcessResources.with_defaults()
    context.caller_server = CallerServer(
        context.caller_address, context.held_runner, context.resources.caller_port()
    )
    context.caller_server.start()
    yield context.caller_server
    context.held_runner.release()
    context.caller_server.close_all(CLOSE_TIMEOUT_S)
    ports.release()


@fixture
def soak_board(context):
    """The blackboard of a fault soak whose fleet has not been started."""
    fleet = PlatformFleet()
    context.board = SoakBoard(fleet, Ledger(), random.Random(1))
    yield context.board
    fleet.stop()
