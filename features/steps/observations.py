"""Steps about the positions that VMs take for those of the primary."""

from __future__ import annotations

from behave import then, when
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.observations import LeadEvidence
from gentianspread_core.blackboard.requests import ExchangeStatus
from gentianspread_core.blackboard.sessions import SessionReply
from gentianspread_core.blackboard.timeline import EventKind
from gentianspread_core.positions import Position
from gentianspread_lab.fakes.observation_checks import find_stale_observations
from gentianspread_lab.fakes.session_simulation import GROUP
from promotion_commits import send


def _board_of(context, vm):
    return context.promotion_simulation.vms[vm].board


@when('"{name:w}" answers {count:d} statements as if it led')
def step_false_answers(context, name, count):
    """Post the answer to a write as if another endpoint had given it, several times."""
    simulation = context.promotion_simulation
    board = _board_of(context, "h1")
    requests = []
    board.changes.subscribe(Topic.EXCHANGE_ENDED, requests.append)
    send(context, "h1", simulation.open_session_at("h1", "latest"), "WRITE x 1")
    simulation.run(0.1)
    request = requests[-1]
    exchange = request.exchange
    assert exchange.proves_primary
    exchange.endpoint = name
    exchange.reply = SessionReply(ExchangeStatus.OK, position=Position(9, 9))
    for _ in range(count):
        exchange.sent_at = simulation.clock.now()
        board.post(Topic.EXCHANGE_ENDED, request)
        simulation.run(0.1)


@then("no VM has an observation that lacks an acknowledged write")
def step_none_stale(context):
    assert context.promotion_simulation.acknowledged
    stale = find_stale_observations(context.promotion_simulation)
    assert not stale, stale


@then('no VM has an observation from "{name:w}"')
def step_none_from(context, name):
    for board in context.promotion_simulation.boards:
        known = board.observations.by_group.get(GROUP, ())
        assert all(item.source != name for item in known), board.settings.member


@then('"{vm:w}" logged {lines:d} "{kind:w}" line, and counts {count:d} ignored answers')
def step_ignored(context, vm, lines, kind, count):
    board = _board_of(context, vm)
    assert board.observations.ignored_count == count, board.observations.ignored_count
    logged = board.timeline.counts.get(EventKind(kind), 0)
    assert logged == lines, logged


@then('the newest observation of "{vm:w}" is from "{name:w}", by a statement, and has the commit')
def step_newest(context, vm, name):
    newest = _board_of(context, vm).observations.newest(GROUP)
    log = context.promotion_simulation.endpoints[name].log
    assert newest.source == name and newest.evidence is LeadEvidence.STATEMENT, newest.source
    assert newest.position.index == len(log), (newest.position, len(log))
