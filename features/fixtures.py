"""Shared fixtures: simulated fleets and temporary folders."""

from __future__ import annotations

import tempfile

from behave import fixture
from gentianspread_core.blackboard import Topic
from gentianspread_lab.fakes import Simulation
from gentianspread_lab.fakes.home_simulation import HomeSimulation
from gentianspread_lab.fakes.session_simulation import SessionSimulation

SETTLING_S = 5.0


@fixture
def fleet_world(context, seed=1):
    """A running fleet: three voters, a standby, two more VMs, one group of three endpoints."""
    context.simulation = Simulation(seed, voters=3, diskless=2, standbys=1)
    context.simulation.run(2.0)
    context.simulation.add_endpoints()
    context.simulation.set_up_workspace()
    context.simulation.run(SETTLING_S)
    yield context.simulation


@fixture
def temporary_folder(context):
    """A folder that is removed after the scenario."""
    with tempfile.TemporaryDirectory() as folder:
        context.folder = folder
        yield folder


@fixture
def session_world(context):
    """A VM that serves sessions on declared routes, and one group of three endpoints."""
    context.sworld = SessionSimulation()
    context.sessions = {}
    context.calls = {}
    context.sent = 0
    yield context.sworld


@fixture
def home_world(context):
    """Six VMs that serve callers, in the zones of one group's three endpoints."""
    context.hworld = HomeSimulation()
    context.named = {}
    context.calls_of = {}
    context.statements = []
    context.ends = {}
    for engine in context.hworld.vms.values():
        engine.board.changes.subscribe(
            Topic.STATEMENT_ANSWERED,
            lambda call: context.ends.setdefault(
                call.statement.statement_id, context.hworld.clock.now()
            ),
        )
    yield context.hworld
