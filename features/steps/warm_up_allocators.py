"""Steps about the VMs that grant tokens for cold endpoints."""

from __future__ import annotations

import math
import random

from behave import given, then, when
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.commands import CommandKind
from gentianspread_core.blackboard.configuration import (
    Allocator,
)
from gentianspread_core.blackboard.declarations import Declaration, DeclaredGroup
from gentianspread_core.blackboard.registrations import Registration
from gentianspread_core.blackboard.warmups import EndpointTokenRequest
from gentianspread_core.controllers.warmup.allocation import WarmupQuota
from gentianspread_core.engine import Engine
from gentianspread_core.settings import CoreSettings, WarmupTolerance
from gentianspread_lab.fakes.clock import FakeClock
from gentianspread_lab.fakes.cold_simulation import COLD_TOLERANCE
from gentianspread_lab.fakes.simulation import GROUP

TOKEN_TTL_S = 0.1
MANY = 1000


def _allocator(context, zone="z1"):
    """Return the engine of a control VM that is the allocator of a zone, without a network."""
    settings = CoreSettings("c1", "z1", "c1")
    settings.warmup_tolerance = COLD_TOLERANCE
    settings.max_configuration_age_s = 3.8
    clock = context.token_clock
    engine = Engine.for_sessions(settings, clock, random.Random(1), clock.wall_ms)
    configuration = engine.board.configuration
    declaration = Declaration(1, [], [DeclaredGroup("g", 46, True)], [], 3.0, "")
    declaration.groups[0].cold_rate = context.token_rate
    configuration.declaration = declaration
    configuration.cold_groups = {"g": declaration.groups[0]}
    for number, own_zone in enumerate(("z1", "z2"), 1):
        configuration.endpoints[f"b{number}"] = Registration(
            f"b{number}", f"10.0.0.{number}:1", own_zone, "g", False, 1, 3, 0
        )
    return engine


def _name_allocator(context, member, epoch):
    board = context.allocator.board
    board.configuration.warmup_allocators["z1"] = Allocator("z1", member, epoch, 5)
    board.post(Topic.CONFIGURATION_CHANGED, 5)


def _tokens(context, endpoint="b1"):
    """Return the number of tokens that the allocator grants now, with a fresh configuration."""
    board = context.allocator.board
    board.configuration.confirmed_at = context.token_clock.now()
    request = EndpointTokenRequest(endpoint, "z1", "c1", MANY, context.token_clock.now())
    board.post(Topic.ENDPOINT_TOKENS_REQUESTED, request)
    return request.granted


def _advance(context, seconds):
    context.token_clock.time += seconds


@given("an allocator for endpoints that take {rate:g} requests/s")
def step_allocator(context, rate):
    context.token_rate, context.token_clock = rate, FakeClock()
    context.allocator = _allocator(context)
    context.allocator.board.log.recovered_index = 5
    _name_allocator(context, "c1", 1)
    _advance(context, 1.0)
    assert _tokens(context) > 0


@when("another VM becomes the allocator of its zone")
def step_next_allocator(context):
    context.allocator = _allocator(context)
    _name_allocator(context, "c1", 2)


@when("another VM becomes the allocator of its zone, and starts again")
def step_next_restarts(context):
    context.allocator = _allocator(context)
    context.allocator.board.log.recovered_index = 5
    _name_allocator(context, "c1", 2)


@when("the first one becomes the allocator again")
def step_first_again(context):
    _name_allocator(context, "c2", 3)
    assert _tokens(context) == 0
    _name_allocator(context, "c1", 4)


@when("that allocator starts again")
def step_restart(context):
    context.allocator = _allocator(context)
    context.allocator.board.log.recovered_index = 5
    _name_allocator(context, "c1", 1)


@then("the new one grants nothing for {seconds:g} s")
@then("it grants nothing for {seconds:g} s")
def step_grants_nothing(context, seconds):
    _assert_nothing_until(context, "b1", seconds)


def _assert_nothing_until(context, endpoint, seconds):
    steps = 39
    for _ in range(steps):
        assert _tokens(context, endpoint) == 0
        _advance(context, seconds / steps)
    _advance(context, 1.0)
    assert _tokens(context, endpoint) > 0


@then("it then grants at most {count:d} tokens at once")
def step_at_once(context, count):
    _advance(context, 10.0)
    assert 0 < _tokens(context) <= count
    assert _tokens(context) == 0


@then("it grants nothing for endpoints of another zone")
def step_other_zone(context):
    _advance(context, 100.0)
    assert _tokens(context) > 0
    assert _tokens(context, "b2") == 0


@then("it grants nothing with a configuration that is not fresh")
def step_not_fresh(context):
    _advance(context, 100.0)
    request = EndpointTokenRequest("b1", "z1", "c1", 1, context.token_clock.now())
    context.allocator.board.post(Topic.ENDPOINT_TOKENS_REQUESTED, request)
    assert request.granted == 0 and not request.answered


@when("cold endpoints are declared to take {rate:g} requests/s")
def step_fleet_limit(context, rate):
    declared = [DeclaredGroup(GROUP, 46, True)]
    declared[0].cold_rate = rate
    declaration = Declaration(1, [], declared, [], 3.0, "document")
    context.simulation.propose_change(CommandKind.DECLARE, declaration.to_record())
    context.simulation.run(5.0)


def _named_allocators(context):
    return context.simulation.leader().board.configuration.warmup_allocators


def _zone_of(context, allocator):
    return context.simulation.vms[allocator.member].settings.zone


@then(
    'the endpoints of "{first:w}", "{second:w}" and "{third:w}" have allocators of their own zones'
)
def step_own_allocators(context, first, second, third):
    named = _named_allocators(context)
    assert set(named) == {first, second, third}
    for zone, allocator in named.items():
        assert _zone_of(context, allocator) == zone and allocator.epoch == 1


@then('the endpoints of "{zone:w}" have an allocator of another zone, of epoch {epoch:d}')
def step_substitute(context, zone, epoch):
    allocator = _named_allocators(context)[zone]
    assert allocator.epoch == epoch and _zone_of(context, allocator) != zone
    assert context.simulation.vms[allocator.member].is_running()


@then("no allocator of cold endpoints is named")
def step_no_allocator(context):
    assert not _named_allocators(context)


@then(
    "a cold endpoint with {rate:g} requests/s, {factor:g} times it and {slack:g} more, "
    "gets {count:d}"
)
def step_quota(context, rate, factor, slack, count):
    quota = WarmupQuota.from_rate(rate, WarmupTolerance(factor, slack), TOKEN_TTL_S)
    in_a_second = math.floor(quota.capacity + quota.rate * (1.0 + TOKEN_TTL_S))
    assert in_a_second <= count, f"{in_a_second} requests in a second"
    assert (quota.capacity >= 1.0 and quota.rate > 0.0) == (count > 0)
    assert quota.rate >= min(rate, 0.8 * count)
