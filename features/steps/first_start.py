"""Steps about the first start of a fleet, at which the seeds found the control log."""

from __future__ import annotations

import logging
import random

import gevent
from behave import given, then, when
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.messages import Message, MessageKind
from gentianspread_core.engine import Engine
from gentianspread_core.settings import CoreSettings
from gentianspread_server import founding
from gentianspread_server.clocks import MonotonicClock, wall_ms
from gentianspread_server.connections import RequestNotSentError
from gentianspread_server.distribution import Distribution
from gentianspread_server.peers import PeerAddresses

SEEDS = ("a", "b", "c")
CHECK_S = 0.3


class DirectClient:
    """Answers requests to other VMs in the same process; some may be out of reach."""

    def __init__(self):
        self.distributions = {}
        self.unreachable = set()
        self.older_builds = set()

    def request(self, address, path, message, timeout_s):
        if address in self.unreachable:
            raise RequestNotSentError("out of reach")
        answer = self.distributions[address].answer_poll(message)
        if address in self.older_builds:
            answer.pop("first_start")
        return answer


@given("three seeds with empty disks that can ask each other")
def step_seeds(context):
    context.client = DirectClient()
    for name in SEEDS:
        settings = CoreSettings(name, "z1", name)
        settings.has_disk = True
        engine = Engine.for_requests(settings, MonotonicClock(), random.Random(1), wall_ms)
        addresses = PeerAddresses(engine.board, {seed: seed for seed in SEEDS})
        distribution = Distribution(engine.board, engine.configuration, addresses, context.client)
        distribution.first_start.had_empty_disk = True
        context.client.distributions[name] = distribution


@when('"{name:w}" has heard a control message of "{other:w}"')
def step_heard(context, name, other):
    message = Message(MessageKind.VOTE_REPLY, other, name, 1)
    context.client.distributions[name].board.post(Topic.MESSAGE_RECEIVED, message)


@when('"{name:w}" has started from its disk')
def step_from_disk(context, name):
    context.client.distributions[name].first_start.had_empty_disk = False


@when('"{name:w}" is of an older build')
def step_older(context, name):
    context.client.older_builds.add(name)


@when('"{name:w}" is out of reach')
def step_unreachable(context, name):
    context.client.unreachable.add(name)


@when('"{name:w}" has not read its disk yet')
def step_not_read(context, name):
    context.client.distributions[name].first_start.had_empty_disk = None


@then('"{name:w}" is a founder')
def step_founder(context, name):
    assert context.client.distributions[name].first_start.is_founder(SEEDS) is True


@then('"{name:w}" is not a founder')
def step_no_founder(context, name):
    assert context.client.distributions[name].first_start.is_founder(SEEDS) is False


class Lines(logging.Handler):
    """Keeps the formatted lines of a logger."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        self.lines.append(record.getMessage())


@then('"{name:w}" has logged once that it waits for "{other:w}"')
def step_logged(context, name, other):
    waiting = [line for line in context.lines if "waits" in line]
    assert len(waiting) == 1 and f"['{other}']" in waiting[0], context.lines


@then('"{name:w}" does not know whether it is a founder, and is one once "{other:w}" can tell')
def step_waits(context, name, other):
    handler = Lines()
    founding.log.addHandler(handler)
    founding.log.setLevel(logging.INFO)
    context.add_cleanup(founding.log.removeHandler, handler)
    context.lines = handler.lines
    asking = gevent.spawn(context.client.distributions[name].first_start.is_founder, SEEDS)
    gevent.sleep(CHECK_S)
    assert not asking.ready(), asking.value
    context.client.unreachable.clear()
    context.client.distributions[other].first_start.had_empty_disk = True
    assert asking.get(timeout=5.0) is True
