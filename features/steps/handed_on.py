"""Steps about what VMs report of the commits that they handed on."""

from __future__ import annotations

import json
import random

import orjson
from behave import given, then, when
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.election import Role
from gentianspread_core.blackboard.handedon import HandedOnReport
from gentianspread_core.blackboard.leases import COMMIT_LEASE_S, MAX_LEASE_WAIT_S, CommitLease
from gentianspread_core.blackboard.log import LogEntry
from gentianspread_core.controllers.leases import handed_on_report, handed_on_reports
from gentianspread_core.engine import Engine
from gentianspread_core.positions import Position
from gentianspread_core.settings import CoreSettings
from gentianspread_lab.fakes.clock import FakeClock
from gentianspread_lab.fakes.declarations import build_declaration
from gentianspread_lab.fakes.session_simulation import GROUP
from gentianspread_server.distribution import POLL_PATH, Distribution
from gentianspread_server.handedon import decode_handed_on, encode_handed_on
from gentianspread_server.peers import PeerAddresses
from gentianspread_server.reports import MemberReport

TERM = 7
TOLERANCE_S = 1e-6


class RecordingClient:
    """Keeps the messages of polls, and answers none."""

    def __init__(self):
        self.messages = []

    def request(self, _address, path, message, _timeout_s):
        assert path == POLL_PATH
        self.messages.append(message)
        return {}


def group_of(context):
    return context.control_vm.board.configuration.groups[GROUP]


def report_of(context):
    return handed_on_report(context.control_vm.board, group_of(context))


def position_of(text):
    term, index = text.split(".")
    return Position(int(term), int(index))


def pass_lease(context, vm, reports):
    board = context.control_vm.board
    expires_at = board.clock.now() + COMMIT_LEASE_S
    context.lease_ends[vm] = expires_at
    revision = board.configuration.revision
    board.post(Topic.LEASE_PASSED_ON, CommitLease(vm, revision, expires_at, reports))


def report(context, vm, position, since):
    passed = Position(position.term, position.index - 1) if position is not None else None
    reports = {GROUP: HandedOnReport(group_of(context).term, position, since, passed)}
    pass_lease(context, vm, reports)


@given("a control VM that passes leases on")
def step_control_vm(context):
    clock = FakeClock()
    settings = CoreSettings("c1", "z1", "c1")
    settings.has_disk = True
    context.started_at = clock.now()
    context.lease_ends = {}
    context.control_vm = Engine.for_sessions(settings, clock, random.Random(1), clock.wall_ms)
    declaration = build_declaration(1, 1.0, 1.0, {}, 1.0, 1, {}, {}, {})
    entry = LogEntry(1, 1, Command(CommandKind.DECLARE, declaration.to_record()))
    context.control_vm.board.post(Topic.ENTRIES_COMMITTED, [entry])
    group = group_of(context)
    group.term, group.granted_term = TERM, TERM + 1
    context.client = RecordingClient()
    board = context.control_vm.board
    addresses = PeerAddresses(board, {}, names_are_addresses=True)
    context.distribution = Distribution(
        board, context.control_vm.configuration, addresses, context.client
    )


@when('"{vm:w}" reports {position} handed on')
def step_reports(context, vm, position):
    report(context, vm, position_of(position), context.started_at)


@when('"{vm:w}" polls without a report')
def step_polls_without(context, vm):
    pass_lease(context, vm, {})


@when('"{vm:w}" starts and reports that it handed on nothing')
def step_starts(context, vm):
    context.vm_started_at = context.control_vm.board.clock.now()
    report(context, vm, None, context.vm_started_at)


@when("{seconds:g} s pass on the control VM")
def step_time_passes(context, seconds):
    context.control_vm.board.clock.time += seconds
    context.control_vm.board.run_pending()


@when("the promotion ends")
def step_promotion_ends(context):
    group_of(context).term = group_of(context).granted_term


@when("the promotion ends, and the next one begins")
def step_next_promotion(context):
    group = group_of(context)
    group.term = group.granted_term
    group.granted_term += 1


@when("the control VM becomes the leader")
def step_becomes_leader(context):
    board = context.control_vm.board
    context.elected_at = board.clock.now()
    board.election.role = Role.LEADER
    board.post(Topic.LEADERSHIP_CHANGED)


@when("the control VM hands on a commit without a position")
def step_no_position(context):
    board = context.control_vm.board
    board.handed_on.add(GROUP, None, None, board.clock.now())


@when("the report of the control VM arrives {seconds:g} s later at another one")
def step_passed_on(context, seconds):
    board = context.control_vm.board
    context.sent_at = board.clock.now()
    record = orjson.loads(orjson.dumps(encode_handed_on(handed_on_reports(board), context.sent_at)))
    context.received = decode_handed_on(record, context.sent_at + seconds)[GROUP]


def poll(context, vm, handed_on):
    message = {
        "revision": 1,
        "wait_s": 0.0,
        "reports": [MemberReport(vm, "", "z1", False, 1, 0.0).to_record()],
        "handed_on": handed_on,
    }
    context.distribution.answer_poll(message)


@when('"{vm:w}" polls over the network with a report of {position}')
def step_polls(context, vm, position):
    pair = position_of(position).to_pair()
    poll(context, vm, {GROUP: [group_of(context).term, pair, 0.5, None]})


@when('"{vm:w}" polls over the network with the odd report {text}')
def step_polls_oddly(context, vm, text):
    context.error = None
    try:
        poll(context, vm, json.loads(text))
    except (TypeError, ValueError) as error:
        context.error = error


@then("the poll is refused")
def step_refused(context):
    assert context.error is not None
    assert not context.control_vm.board.leases.by_vm


@then('the control VM has the report of "{vm:w}" of {position}')
def step_has_report(context, vm, position):
    received = context.control_vm.board.leases.by_vm[vm].reports[GROUP]
    assert received.position == position_of(position)
    assert received.after_term == TERM
    assert received.unreported_until <= context.control_vm.board.clock.now() - 0.5 + TOLERANCE_S


@then("the control VM reports {position}, and covers all commits since its leases are known")
def step_reports_all(context, position):
    known = report_of(context)
    assert known.position == position_of(position), known.position
    assert known.passed == Position(known.position.term, known.position.index - 1), known.passed
    assert known.unreported_until == context.started_at + MAX_LEASE_WAIT_S


def check_unreported(context, until):
    known = report_of(context)
    assert known.unreported_until >= until - TOLERANCE_S, (known.unreported_until, until)


@then('the control VM covers no commit from before the end of the lease of "{vm:w}"')
def step_uncovered_lease(context, vm):
    check_unreported(context, context.lease_ends[vm])


@then("the control VM covers the commits of the last second")
def step_covers_recent(context):
    assert report_of(context).unreported_until <= context.control_vm.board.clock.now() - 1.0


@then('the control VM covers no commit from before the start of "{vm:w}"')
def step_uncovered_start(context, vm):
    check_unreported(context, context.vm_started_at)


@then("the control VM covers no commit from before the end of leases of before its start")
def step_uncovered_own_start(context):
    check_unreported(context, context.started_at + MAX_LEASE_WAIT_S)


@then("the control VM covers no commit from before the end of leases of before its election")
def step_uncovered_election(context):
    check_unreported(context, context.elected_at + MAX_LEASE_WAIT_S)


@then("the control VM covers no commit from before now")
def step_uncovered_now(context):
    check_unreported(context, context.control_vm.board.clock.now())


@then("it has {position}, and covers no commit that the first one did not cover")
def step_covers_no_more(context, position):
    assert context.received.position == position_of(position)
    assert context.received.passed == report_of(context).passed is not None
    assert context.received.unreported_until >= report_of(context).unreported_until - TOLERANCE_S


def polled(context):
    context.client.messages.clear()
    context.distribution._poll_once("c2")
    return context.client.messages[0]


@then("a poll of the control VM carries a report on the group")
def step_poll_carries(context):
    assert GROUP in polled(context)["handed_on"]


@then("a poll of the control VM carries no reports")
def step_poll_carries_none(context):
    assert "handed_on" not in polled(context)
