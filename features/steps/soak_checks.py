"""Steps on the checks of the fault soak, with records as a run of processes would leave them."""

from __future__ import annotations

import signal

from behave import given, then, when
from gentianspread_lab.platform.checks import ALL_CHECKS
from gentianspread_lab.platform.database import ExecutedStatement, ReceivedStatement
from gentianspread_lab.platform.fleet import GRACE_PERIOD_S
from gentianspread_lab.platform.judgement import FindingKind, judge
from gentianspread_lab.platform.ledger import Ending, OpeningRecord, StatementRecord
from gentianspread_lab.platform.operators import FIRST_KEYS, Configuration, Reading
from gentianspread_lab.platform.soakboard import ProcessExit

STATEMENT_S = 0.05


def _send(context, session, text, sent_at, database="latest", key="key-1", vm="entry-1"):
    ledger = context.board.ledger
    if session not in ledger.sessions:
        ledger.add_opening(OpeningRecord(session, vm, "test", database, key))
    statement_id = f"{session}x{len(ledger.statements)}"
    record = StatementRecord(statement_id, vm, session, "test", text, statement_id, False)
    record.sent_at = sent_at
    record.end(Ending.ANSWERED)
    record.ended_at = sent_at + STATEMENT_S
    ledger.add_statement(record)
    return record


def _reach_endpoint(context, record):
    received = ReceivedStatement(record.statement_id, record.text, "e1", record.vm)
    received.received_at = record.sent_at
    received.end("")
    received.ended_at = record.sent_at + STATEMENT_S
    context.board.fleet.database.received_statements.append(received)


@given('"{session}" wrote on "{database}", which was acknowledged at {moment:g} s')
def step_wrote(context, session, database, moment):
    record = _send(context, session, "WRITE 1 data", moment - STATEMENT_S, database)
    context.board.fleet.database.commit("e1", [record.statement_id])


@given("no replica received it")
def step_not_received(context):
    for name in ("e2", "e3"):
        context.board.fleet.database.copies[name].lose_log()


@given('"{first}" and "{second}" received it')
def step_received(context, first, second):
    database = context.board.fleet.database
    for name in (first, second):
        database.copies[name].replicate(database.committed)


@when('"{name}" is promoted at {moment:g} s')
def step_promoted(context, name, moment):
    database = context.board.fleet.database
    database.lead(name)
    database.promotions[-1].time = moment


@then("the promoted endpoint is found to lack {count:d} acknowledged commits")
def step_lacking(context, count):
    findings = judge(context.board.ledger, context.board.fleet.database)
    lacking = [item for item in findings if item.kind is FindingKind.LACKED_AT_PROMOTION]
    assert len(lacking) == count, lacking


@when('"{session}" on "{database}" sends a read at {sent:g} s, which sees {commits:d} commits')
def step_read(context, session, database, sent, commits):
    context.board.ledger.sessions.pop(session, None)
    record = _send(context, session, "READ 1", sent, database)
    context.board.fleet.database.executed_statements.append(
        ExecutedStatement(record.statement_id, record.text, "w1", {}, commits)
    )


@given('the key "{key}" was withdrawn by a version that was acknowledged at {moment:g} s')
def step_withdrawn(context, key, moment):
    keys = {name: [item for item in items if item != key] for name, items in FIRST_KEYS.items()}
    for version, items, acknowledged_at in ((1, FIRST_KEYS, 1.0), (2, keys, moment)):
        declared = context.board.operator.add(Configuration(version, items))
        declared.acknowledged_at = acknowledged_at


@when('a statement of "{key}" that was sent at {sent:g} s reaches an endpoint')
def step_late_statement(context, key, sent):
    _reach_endpoint(context, _send(context, "s1", "READ 1", sent, key=key))


@given('the endpoint "{name}" announced its end, which was acknowledged at {moment:g} s')
def step_leaving(context, name, moment):
    context.board.fleet.announcer.leaving[name] = moment


@when("version {version:d} is read back at {sent:g} s")
def step_read_back(context, version, sent):
    document = context.board.operator.declared[version].document
    context.board.operator.readings.append(Reading("control-1", sent, document))


@given('"{vm}" was stopped as planned at {moment:g} s')
def step_stopped(context, vm, moment):
    context.board.ledger.begin_stop(vm, GRACE_PERIOD_S).sent_at = moment


@given("nothing was disrupted")
def step_not_disrupted(context):
    assert not context.board.ledger.disruptions


@given("an endpoint crashed at {moment:g} s")
def step_disrupted(context, moment):
    disruption = context.board.ledger.begin_disruption("e1")
    disruption.began_at = disruption.ended_at = moment


@when('a statement sent at {sent:g} s to "{vm}" reaches an endpoint and is cut off at {cut:g} s')
def step_cut_off(context, sent, vm, cut):
    record = _send(context, "s1", "READ 1", sent, vm=vm)
    _reach_endpoint(context, record)
    record.ending, record.ended_at = Ending.CLOSED, cut


@when('a statement of "{key}" ran for "{workspace}" with the values "{name}={value}"')
def step_other_values(context, key, workspace, name, value):
    record = _send(context, "s1", "READ 1", 10.0, key=key)
    context.board.fleet.database.executed_statements.append(
        ExecutedStatement(record.statement_id, record.text, workspace, {name: value}, 0)
    )


@when('"{vm}" ends by itself with the code {code:d}')
def step_own_end(context, vm, code):
    context.board.exits.append(ProcessExit(vm, code, None, 10.0))


@when('the planned stop of "{vm}" ends with the code {code:d}')
def step_planned_end(context, vm, code):
    context.board.exits.append(ProcessExit(vm, code, {0, -signal.SIGTERM}, 10.0))


@then('the check "{guarantee}" finds {count:d}')
def step_finds(context, guarantee, count):
    (check,) = [item for item in ALL_CHECKS if item.guarantee == guarantee]
    found = list(check.find(context.board))
    assert len(found) == count, found


@then('a statement at "{vm}" that ends at {moment:g} s belongs to the stop at {sent:g} s')
def step_belongs(context, vm, moment, sent):
    assert context.board.ledger.stop_around(vm, moment).sent_at == sent
