"""Steps about when a quorum confirmed the configuration that a poll brings."""

from __future__ import annotations

import random

from behave import given, then, when
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.log import LogEntry
from gentianspread_core.controllers.configuration import ConfigurationUpdate
from gentianspread_core.engine import Engine
from gentianspread_core.settings import CoreSettings
from gentianspread_lab.fakes.clock import FakeClock
from gentianspread_server.distribution import Distribution
from gentianspread_server.peers import PeerAddresses
from gentianspread_server.reports import MemberReport


class FreezingEntry(LogEntry):
    """An entry during whose encoding the VM is frozen."""

    __slots__ = ("clock", "seconds")

    def to_record(self):
        self.clock.time += self.seconds
        return super().to_record()


@given("a control VM whose clock advances by {seconds:g} s while it encodes an entry")
def step_freezing_vm(context, seconds):
    clock = FakeClock()
    settings = CoreSettings("c1", "z1", "c1")
    settings.has_disk = True
    engine = Engine.for_sessions(settings, clock, random.Random(1), clock.wall_ms)
    entries = [FreezingEntry(index, 1, Command(CommandKind.NO_OP, {})) for index in (1, 2)]
    for entry in entries:
        entry.clock, entry.seconds = clock, seconds
    update = ConfigurationUpdate(entries, None, 2, clock.now())
    engine.board.post(Topic.CONFIGURATION_RECEIVED, update)
    context.control_vm = engine


@when("a VM polls it that lacks an entry")
def step_poll_freezing(context):
    engine = context.control_vm
    addresses = PeerAddresses(engine.board, {}, names_are_addresses=True)
    distribution = Distribution(engine.board, engine.configuration, addresses, None)
    report = MemberReport("e1", "", "z1", False, 1, 0.0).to_record()
    message = {"revision": 1, "wait_s": 0.0, "reports": [report]}
    context.polled_at = engine.board.clock.now()
    context.poll_response = distribution.answer_poll(message)
    assert len(context.poll_response["entries"]) == 1


@then("the response does not place the confirmation later than it was")
def step_confirmation_not_later(context):
    response = context.poll_response
    confirmed_at = context.polled_at + response["waited_s"] - response["age_s"]
    assert confirmed_at <= context.control_vm.board.configuration.confirmed_at, confirmed_at
