"""Steps about the distribution of the configuration and of the list of serving VMs."""

from __future__ import annotations

import random
from collections import Counter

import gevent
from behave import given, then, when
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.configuration import Configuration, Member, load_snapshot
from gentianspread_core.blackboard.election import Role
from gentianspread_core.blackboard.homes import ServingVM
from gentianspread_core.blackboard.log import (
    FOUNDING_INCARNATION,
    LogEntry,
    RecoveredLog,
    Snapshot,
)
from gentianspread_core.blackboard.messages import Message, MessageKind
from gentianspread_core.controllers.configuration import ConfigurationUpdate
from gentianspread_core.engine import Engine
from gentianspread_core.settings import CoreSettings
from gentianspread_server.clocks import BootTimeClock, wall_ms
from gentianspread_server.connections import RequestNotSentError
from gentianspread_server.distribution import Distribution
from gentianspread_server.peers import PeerAddresses
from gentianspread_server.reports import MemberReport
from gentianspread_server.serving import ServingVMRegistry


@given("a VM that knows only the addresses of its seeds")
def step_addresses(context):
    board = context.session_simulation.board
    seeds = {"10.1.0.47:8708": "10.1.0.47:8708"}
    context.addresses = PeerAddresses(board, seeds, names_are_addresses=True)


@when("a VM without a configuration polls after {count:d} changes")
def step_first_poll(context, count):
    for version in range(2, 2 + count):
        context.session_simulation.declare(version)
    context.update = context.session_simulation.engine.configuration.build_update(
        0, "e1", only_serves=True
    )


@then("it receives a snapshot and no changes")
def step_receives_snapshot(context):
    assert context.update.snapshot is not None and not context.update.entries


@then("the snapshot has no document and no outcomes, but the same keys and workspaces")
def step_snapshot_without_document(context):
    snapshot = context.update.snapshot
    assert snapshot["declaration"]["document"] == "" and snapshot["outcomes"] == {}
    configuration = Configuration()
    load_snapshot(configuration, snapshot)
    full = context.session_simulation.board.configuration
    assert configuration.keys.keys() == full.keys.keys()
    assert configuration.workspaces.keys() == full.workspaces.keys()


@then("a VM with a disk receives the document")
def step_snapshot_with_document(context):
    update = context.session_simulation.engine.configuration.build_update(0, "s1")
    assert update.snapshot["declaration"]["document"].startswith("document")


@then('it reaches the voter "{name:Quoted}" at "{address:Quoted}"')
def step_resolved(context, name, address):
    assert context.addresses.resolve(name) == address


class Poller:
    """A VM that polls for the configuration and for the list of serving VMs."""

    def __init__(self, context):
        settings = CoreSettings("poller", "z1", "poller")
        clock = context.session_simulation.clock
        self.engine = Engine.for_sessions(settings, clock, random.Random(1), clock.wall_ms)
        self.registry = ServingVMRegistry(self.engine.board)

    def poll(self, registry):
        response = registry.build_fleet_list(self.engine.board.homes.version)
        self.registry.receive_fleet_list(response)
        return response

    def serving_vm_names(self):
        homes = self.engine.board.homes.by_zone.values()
        return {vm.name for listed in homes for vm in listed}


def _report(name, serves=True):
    return MemberReport(name, f"{name}:1", "z1", False, 1, 0.0, serves=serves)


def _record_polls(context, names):
    for name in names:
        context.registry.record_poll(_report(name), context.session_simulation.clock.now())


@given('a control leader whose list of serving VMs has "{first:w}" and "{second:w}"')
def step_leader_list(context, first, second):
    simulation = context.session_simulation
    context.registry = ServingVMRegistry(simulation.board)
    context.poller = Poller(context)
    for _ in range(4):
        context.registry.build_fleet_list("")
        simulation.run(1.0)
    _record_polls(context, (first, second))


@when('"{first:w}" reports a size of {first_size:g} and "{second:w}" a size of {second_size:g}')
def step_report_sizes(context, first, first_size, second, second_size):
    for name, size in ((first, first_size), (second, second_size)):
        record = MemberReport(name, f"{name}:1", "z1", False, 1, 0.0, serves=True, size=size)
        sent = record.to_record()
        assert ("size" in sent) == (size != 1.0), sent
        received = MemberReport.from_record(sent)
        context.registry.record_poll(received, context.session_simulation.clock.now())
    context.fleet_list = context.registry.build_fleet_list("")


@then("the list has rows of {count:d} fields and no sizes")
def step_list_without_sizes(context, count):
    assert context.fleet_list.keys() == {"version", "vms"}, context.fleet_list
    assert all(len(row) == count for row in context.fleet_list["vms"])


@then("the list has rows of {count:d} fields and the sizes {first:g} and {second:g}")
def step_list_with_sizes(context, count, first, second):
    assert context.fleet_list["sizes"] == {"f1": first, "f2": second}, context.fleet_list
    assert all(len(row) == count for row in context.fleet_list["vms"])


@then(
    "a VM of this build takes the sizes from the list, and one of the previous build ignores them"
)
def step_sizes_taken(context):
    poller = Poller(context)
    poller.registry.receive_fleet_list(context.fleet_list)
    homes = poller.engine.board.homes
    assert {vm.size for vms in homes.by_zone.values() for vm in vms} == {1.25, 1.5}
    assert homes.version == context.fleet_list["version"]
    assert all(ServingVM(*row).size == 1.0 for row in context.fleet_list["vms"])


@when("a VM without a list polls the control leader")
def step_poll(context):
    context.poller = Poller(context)
    context.poller.poll(context.registry)


@when("the VM polls a control VM that has just started")
def step_poll_restarted(context):
    context.poller.poll(Poller(context).registry)


@then("a second poll returns no list")
def step_no_second_list(context):
    assert context.poller.poll(context.registry)["vms"] is None


@when('"{name:w}" reports that it stops serving callers')
def step_stops(context, name):
    context.registry.record_poll(
        _report(name, serves=False), context.session_simulation.clock.now()
    )


@when('another control VM reports that "{name:w}" serves callers')
def step_other_list(context, name):
    other_registry = ServingVMRegistry(context.session_simulation.board)
    other_registry.record_poll(_report(name), context.session_simulation.clock.now())
    assert context.registry.receive_control_vm_list(
        "c2", other_registry.build_own_list_for("leader")
    )


@when('{seconds:g} s pass in which only "{name:w}" polls')
def step_only_one_polls(context, seconds, name):
    for _ in range(round(seconds)):
        context.session_simulation.run(1.0)
        _record_polls(context, (name,))


@then('the list of that VM has "{first:w}" and "{second:w}"')
def step_vm_list(context, first, second):
    assert {first, second} <= context.poller.serving_vm_names(), context.poller.serving_vm_names()


@then('the list of that VM has "{first:w}" and not "{second:w}"')
def step_vm_list_without(context, first, second):
    names = context.poller.serving_vm_names()
    assert first in names and second not in names, names


def _catch_up(context):
    configuration = context.session_simulation.engine.configuration
    revision = context.poller.engine.board.configuration.revision
    context.update = configuration.build_update(revision, "poller", only_serves=True)
    records = [LogEntry.from_record(item.to_record()) for item in context.update.entries]
    update = ConfigurationUpdate(
        records,
        context.update.snapshot,
        context.update.revision,
        context.session_simulation.clock.now(),
    )
    context.poller.engine.board.post(Topic.CONFIGURATION_RECEIVED, update)


@given("a VM that only serves callers and is up to date")
def step_up_to_date(context):
    context.poller = Poller(context)
    _catch_up(context)


@when("versions 2 to 6 change keys, a time limit and the workspaces")
def step_declare_versions(context):
    simulation = context.session_simulation
    many = {f"w{number}": [f"k{number}"] for number in range(40)}
    simulation.declare(2, keys=many)
    _catch_up(context)
    simulation.declare(3, keys=many, timeout_s=0.8)
    simulation.declare(4, keys={**many, "w1": ["other"]}, timeout_s=0.8)
    simulation.declare(5, keys={**many, "w1": ["other"], "new": ["kn"]}, timeout_s=0.8)
    simulation.declare(6, keys={name: many[name] for name in list(many)[1:]}, timeout_s=0.8)


@when("the last version is declared again with other content")
def step_redeclare(context):
    context.session_simulation.declare(6)


@then("the VM catches up with an update of less than {share:g} of the declarations' size")
def step_update_size(context, share):
    _catch_up(context)
    sent = sum(len(repr(item.to_record())) for item in context.update.entries)
    history = context.session_simulation.engine.configuration.history
    whole = sum(
        len(repr(item.to_record()))
        for item in history.entries
        if item.command.kind is CommandKind.DECLARE and item.command.fields["version"] > 2
    )
    assert context.update.snapshot is None and sent < share * whole, (sent, whole)


@then("it has the same routes, workspaces and keys")
def step_same_state(context):
    actual = context.poller.engine.board.configuration
    expected = context.session_simulation.board.configuration
    assert actual.revision == expected.revision
    assert actual.declaration.version == expected.declaration.version == 6
    assert actual.keys.keys() == expected.keys.keys()
    assert actual.workspaces.keys() == expected.workspaces.keys()
    routes = {route.name: route.to_record() for route in expected.declaration.routes}
    assert {route.name: route.to_record() for route in actual.declaration.routes} == routes


@when("it receives a change to another declaration")
def step_mismatched_change(context):
    board = context.poller.engine.board
    fields = {"base": 77, "version": 78}
    command = Command(CommandKind.CHANGE_DECLARATION, fields)
    revision = board.configuration.revision + 1
    entry = LogEntry(revision, 1, command)
    now = context.session_simulation.clock.now()
    update = ConfigurationUpdate([entry], None, revision, now)
    board.post(Topic.CONFIGURATION_RECEIVED, update)


@then("its configuration is not fresh until its next poll returns a snapshot")
def step_receives_snapshot_again(context):
    board = context.poller.engine.board
    assert board.configuration.revision == 0 and not board.is_fresh()
    _catch_up(context)
    assert context.update.snapshot is not None and board.is_fresh()


@given(
    'control VMs "{vm1:w}", "{vm2:w}" of zone "{zone1:w}" and "{vm3:w}", "{vm4:w}" '
    'of zone "{zone2:w}", of which "{voter1:w}", "{voter2:w}" vote'
)
def step_control_vms(context, vm1, vm2, zone1, vm3, vm4, zone2, voter1, voter2):
    context.members = {
        name: Member(name, name, zone, True)
        for name, zone in ((vm1, zone1), (vm2, zone1), (vm3, zone2), (vm4, zone2))
    }
    context.voters = [voter1, voter2]


@when('"{name:w}" is the control leader')
def step_leads(context, name):
    context.leader_name = name


def _upstreams_of(context, name, zone):
    poller = Poller(context)
    board = poller.engine.board
    board.settings.member, board.settings.zone = name, zone
    board.settings.registers_diskless_members = False
    board.configuration.members = context.members
    board.configuration.voters = context.voters
    addresses = PeerAddresses(board, {}, names_are_addresses=True)
    distribution = Distribution(board, poller.engine.configuration, addresses, None)
    distribution._reported_leader = context.leader_name
    return distribution.upstreams()


@then('"{name:w}" polls "{first:w}" first')
def step_polls_first(context, name, first):
    upstreams = _upstreams_of(context, name, context.members[name].zone)
    assert upstreams[0] == first, upstreams


@then('a VM of zone "{zone:w}" that serves callers polls "{first:w}" first and "{second:w}" second')
def step_polls_in_order(context, zone, first, second):
    upstreams = _upstreams_of(context, "entry", zone)
    assert upstreams[:2] == [first, second], upstreams


@given("a control VM that has just started")
def step_control_vm(context):
    settings = CoreSettings("c1", "z1", "c1")
    settings.has_disk = True
    context.control_vm = Engine.for_sessions(settings, BootTimeClock(), random.Random(1), wall_ms)
    recovered = RecoveredLog(Snapshot(0, 0, {}), [], FOUNDING_INCARNATION)
    context.control_vm.board.post(Topic.LOG_RECOVERED, recovered)


@given("a control VM that started {seconds:g} s ago")
def step_old_control_vm(context, seconds):
    step_control_vm(context)
    context.control_vm.board.started_at -= seconds


@when("a VM polls it and it becomes fresh {seconds:g} s later")
def step_poll_starting(context, seconds, has_disk=False):
    engine = context.control_vm
    addresses = PeerAddresses(engine.board, {}, names_are_addresses=True)
    distribution = Distribution(engine.board, engine.configuration, addresses, None)
    source = context.session_simulation.engine.configuration.build_update(0, "c1")
    now = engine.board.clock.now()
    update = ConfigurationUpdate(source.entries, source.snapshot, source.revision, now)
    report = MemberReport("e1", "", "z1", has_disk, 0, 0.0).to_record()
    message = {"revision": 0, "wait_s": 0.3, "reports": [report]}
    later = gevent.spawn_later(seconds, engine.board.post, Topic.CONFIGURATION_RECEIVED, update)
    context.poll_response = distribution.answer_poll(message)
    context.poll_took = engine.board.clock.now() - now
    later.join()


@then("the response has the configuration and its age, within {seconds:g} s")
def step_fresh_response(context, seconds):
    assert context.poll_response["snapshot"] is not None
    assert context.poll_response["age_s"] is not None
    assert context.poll_took <= seconds, context.poll_took


@then("the response has no age, within {seconds:g} s")
def step_stale_response(context, seconds):
    assert context.poll_response["age_s"] is None
    assert context.poll_took <= seconds, context.poll_took


@given("{count:d} VMs that know only the same {seed_count:d} seeds")
def step_vms_with_seeds(context, count, seed_count):
    seeds = [f"10.{number}.0.1:8700" for number in range(seed_count)]
    randomness = random.Random(1)
    context.first_polled = []
    for number in range(count):
        settings = CoreSettings(f"e{number}", "z1", "")
        settings.registers_diskless_members = False
        engine = Engine.for_sessions(settings, BootTimeClock(), randomness, wall_ms)
        addresses = PeerAddresses.from_seeds(engine.board, seeds, randomness)
        distribution = Distribution(engine.board, engine.configuration, addresses, None)
        context.first_polled.append(distribution.upstreams()[0])
    assert set(context.first_polled) <= set(seeds)


@then("each seed is polled first by at least {count:d} of them")
def step_polls_divided(context, count):
    polls = Counter(context.first_polled)
    assert len(polls) == 3 and min(polls.values()) >= count, polls


@when("a control VM polls it and it becomes fresh {seconds:g} s later")
def step_poll_by_control_vm(context, seconds):
    step_poll_starting(context, seconds, has_disk=True)


class UnreachableClient:
    """Records the addresses of requests, none of which is answered."""

    def __init__(self, clock):
        self.clock = clock
        self.requests = []

    def request(self, address, path, message, timeout_s):
        self.requests.append((self.clock.now(), address))
        raise RequestNotSentError("connection refused")


@when('its polls fail for {seconds:g} s and then the leader "{leader:w}" makes contact')
def step_leader_contact(context, seconds, leader):
    board = context.control_vm.board
    board.log.voters = ["c1", "c2", "c3"]
    board.election.role = Role.FOLLOWER
    context.client = UnreachableClient(board.clock)
    addresses = PeerAddresses(board, {}, names_are_addresses=True)
    distribution = Distribution(board, context.control_vm.configuration, addresses, context.client)
    poller = gevent.spawn(distribution._run)
    gevent.sleep(seconds)
    context.contact_at = board.clock.now()
    append = Message(MessageKind.APPEND, leader, "c1", board.election.term, 0, 0)
    board.post(Topic.MESSAGE_RECEIVED, append)
    gevent.sleep(0.05)
    poller.kill()


@then('it polls "{leader:w}" within {seconds:g} s')
def step_polls_leader(context, leader, seconds):
    after = [item for item in context.client.requests if item[0] >= context.contact_at]
    assert after and after[0][1] == leader, after
    assert after[0][0] - context.contact_at <= seconds
