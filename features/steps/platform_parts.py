"""Steps about single parts of the platform's programs."""

from __future__ import annotations

import random

from behave import given, then, when
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.configuration import Configuration, Member, load_snapshot
from gentianspread_core.blackboard.log import LogEntry
from gentianspread_core.controllers.configuration import ConfigurationUpdate
from gentianspread_core.engine import Engine
from gentianspread_core.settings import CoreSettings
from gentianspread_server.distribution import Distribution
from gentianspread_server.peers import PeerAddresses
from gentianspread_server.reports import MemberReport
from gentianspread_server.serving import ServingVMRegistry


@given("the address book of a VM that knows only its seeds")
def step_addresses(context):
    board = context.sworld.board
    seeds = {"10.1.0.47:8708": "10.1.0.47:8708"}
    context.addresses = PeerAddresses(board, seeds, names_are_addresses=True)


@when("a VM that has nothing polls after {count:d} changes")
def step_poll_from_nothing(context, count):
    for version in range(2, 2 + count):
        context.sworld.declare(version)
    context.update = context.sworld.engine.configuration.build_update(0, "e1", only_serves=True)


@then("it gets the state and not the changes")
def step_gets_state(context):
    assert context.update.snapshot is not None and not context.update.entries


@then("the state holds no document and no outcomes, and gives the same keys")
def step_slim(context):
    snapshot = context.update.snapshot
    assert snapshot["declaration"]["document"] == "" and snapshot["outcomes"] == {}
    configuration = Configuration()
    load_snapshot(configuration, snapshot)
    held = context.sworld.board.configuration
    assert configuration.keys.keys() == held.keys.keys()
    assert configuration.workspaces.keys() == held.workspaces.keys()


@then("a VM with a disk gets the document")
def step_full(context):
    update = context.sworld.engine.configuration.build_update(0, "s1")
    assert update.snapshot["declaration"]["document"].startswith("document")


@then('the voter "{name:Quoted}" is reached at "{address:Quoted}"')
def step_reached(context, name, address):
    assert context.addresses.resolve(name) == address


class Poller:
    """A board that holds a list of serving VMs, as polls change it."""

    def __init__(self, context):
        settings = CoreSettings("poller", "z1", "poller")
        clock = context.sworld.clock
        self.engine = Engine.for_sessions(settings, clock, random.Random(1), clock.wall_ms)
        self.serving = ServingVMRegistry(self.engine.board)

    def poll(self, answerer):
        answer = answerer.answer(self.engine.board.homes.version)
        self.serving.receive(answer)
        return answer

    def names(self):
        homes = self.engine.board.homes.by_zone.values()
        return {vm.name for listed in homes for vm in listed}


def _report(name, serves=True):
    return MemberReport(name, f"{name}:1", "z1", False, 1, 0.0, serves=serves)


def _note(context, names):
    for name in names:
        context.answerer.record_poll(_report(name), context.sworld.clock.now())


@given('a control VM that leads and knows that "{first:w}" and "{second:w}" serve callers')
def step_leader_knows(context, first, second):
    simulation = context.sworld
    context.answerer = ServingVMRegistry(simulation.board)
    context.poller = Poller(context)
    for _ in range(4):
        context.answerer.answer("")
        simulation.run(1.0)
    _note(context, (first, second))


@when("a VM that knows no list polls it")
def step_poll(context):
    context.poller = Poller(context)
    context.poller.poll(context.answerer)


@when("the VM polls a control VM that has just started")
def step_poll_started(context):
    context.poller.poll(Poller(context).serving)


@then("a second poll gets no list")
def step_no_second(context):
    assert context.poller.poll(context.answerer)["vms"] is None


@when('"{name:w}" tells that it stops')
def step_stops(context, name):
    context.answerer.record_poll(_report(name, serves=False), context.sworld.clock.now())


@when('a control VM tells that "{name:w}" serves callers')
def step_told(context, name):
    teller = ServingVMRegistry(context.sworld.board)
    teller.record_poll(_report(name), context.sworld.clock.now())
    assert context.answerer.receive_list("c2", teller.build_list_for("leader"))


@when('{seconds:g} s pass in which only "{name:w}" polls')
def step_only(context, seconds, name):
    for _ in range(round(seconds)):
        context.sworld.run(1.0)
        _note(context, (name,))


@then('that VM knows "{first:w}" and "{second:w}"')
def step_knows(context, first, second):
    assert {first, second} <= context.poller.names(), context.poller.names()


@then('that VM knows "{first:w}" and not "{second:w}"')
def step_knows_not(context, first, second):
    names = context.poller.names()
    assert first in names and second not in names, names


def _catch_up(context):
    configuration = context.sworld.engine.configuration
    held = context.poller.engine.board.configuration.revision
    context.update = configuration.build_update(held, "poller", only_serves=True)
    records = [LogEntry.from_record(item.to_record()) for item in context.update.entries]
    update = ConfigurationUpdate(
        records, context.update.snapshot, context.update.revision, context.sworld.clock.now()
    )
    context.poller.engine.board.post(Topic.CONFIGURATION_RECEIVED, update)


@given("a VM that only serves callers and is up to date")
def step_up_to_date(context):
    context.poller = Poller(context)
    _catch_up(context)


@when("versions 2 to 6 change a rate, a key, a limit and the workspaces")
def step_versions(context):
    simulation = context.sworld
    many = {f"w{number}": [f"k{number}"] for number in range(40)}
    simulation.declare(2, keys=many)
    _catch_up(context)
    simulation.declare(3, keys=many, limit=0.8)
    simulation.declare(4, keys={**many, "w1": ["other"]}, limit=0.8)
    simulation.declare(5, keys={**many, "w1": ["other"], "new": ["kn"]}, limit=0.8)
    simulation.declare(6, keys={name: many[name] for name in list(many)[1:]}, limit=0.8)


@when("the same version is declared once more")
def step_again(context):
    context.sworld.declare(6)


@then("the VM catches up with less than {share:g} of what the declarations hold")
def step_small(context, share):
    _catch_up(context)
    sent = sum(len(repr(item.to_record())) for item in context.update.entries)
    history = context.sworld.engine.configuration.history
    whole = sum(
        len(repr(item.to_record()))
        for item in history
        if item.command.kind is CommandKind.DECLARE and item.command.fields["version"] > 2
    )
    assert context.update.snapshot is None and sent < share * whole, (sent, whole)


@then("it has the same routes, workspaces and keys")
def step_same_state(context):
    held = context.poller.engine.board.configuration
    wanted = context.sworld.board.configuration
    assert held.revision == wanted.revision
    assert held.declaration.version == wanted.declaration.version == 6
    assert held.keys.keys() == wanted.keys.keys()
    assert held.workspaces.keys() == wanted.workspaces.keys()
    routes = {route.name: route.to_record() for route in wanted.declaration.routes}
    assert {route.name: route.to_record() for route in held.declaration.routes} == routes


@when("it is sent a change of another declaration")
def step_unfit(context):
    board = context.poller.engine.board
    fields = {"base": 77, "version": 78}
    command = Command(CommandKind.CHANGE_DECLARATION, fields)
    revision = board.configuration.revision + 1
    entry = LogEntry(revision, 1, command)
    now = context.sworld.clock.now()
    update = ConfigurationUpdate([entry], None, revision, now)
    board.post(Topic.CONFIGURATION_RECEIVED, update)


@then("it is not fresh and asks for the whole state")
def step_anew(context):
    board = context.poller.engine.board
    assert board.configuration.revision == 0 and not board.is_fresh()
    _catch_up(context)
    assert context.update.snapshot is not None and board.is_fresh()


@given(
    'control VMs "{a:w}", "{b:w}" of zone "{first:w}" and "{c:w}", "{d:w}" of zone "{second:w}", '
    'of which "{e:w}", "{f:w}" vote'
)
def step_control_vms(context, a, b, first, c, d, second, e, f):
    context.members = {
        name: Member(name, name, zone, True)
        for name, zone in ((a, first), (b, first), (c, second), (d, second))
    }
    context.voters = [e, f]


@when('"{name:w}" leads')
def step_leads(context, name):
    context.leading = name


def _order_of(context, name, zone):
    poller = Poller(context)
    board = poller.engine.board
    board.settings.member, board.settings.zone = name, zone
    board.settings.registers_diskless_members = False
    board.configuration.members = context.members
    board.configuration.voters = context.voters
    addresses = PeerAddresses(board, {}, names_are_addresses=True)
    distribution = Distribution(board, poller.engine.configuration, addresses, None)
    distribution._reported_leader = context.leading
    return distribution.upstreams()


@then('"{name:w}" polls "{first:w}" first')
def step_polls_first(context, name, first):
    order = _order_of(context, name, context.members[name].zone)
    assert order[0] == first, order


@then('a VM of zone "{zone:w}" that serves callers polls "{first:w}" first and "{second:w}" second')
def step_polls_in_order(context, zone, first, second):
    order = _order_of(context, "entry", zone)
    assert order[:2] == [first, second], order
