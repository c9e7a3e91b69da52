"""Steps on promotions in a fleet of processes, whose group's replicas come and go meanwhile."""

from __future__ import annotations

import re
import time

import gevent
from behave import given, then, when
from gentianspread_lab.platform.judgement import FindingKind, judge
from gentianspread_lab.platform.ledger import Ending, Ledger
from gentianspread_lab.platform.links import LinkState
from gentianspread_lab.platform.operators import FIRST_KEYS
from gentianspread_lab.platform.sessions import CallerSession, SessionEndedError

GUARD_S = 60.0  # ends a scenario that would wait for ever
POLL_INTERVAL_S = 0.005
WRITERS_PER_VM = 4
WRITE_INTERVAL_S = 0.01
LOST_KINDS = (FindingKind.LACKED_AT_PROMOTION, FindingKind.ACKNOWLEDGED_BUT_LOST)


def _wait_for(condition, description):
    deadline = time.monotonic() + GUARD_S
    while not condition():
        assert time.monotonic() < deadline, f"not in {GUARD_S:g} s: {description}"
        gevent.sleep(POLL_INTERVAL_S)


def _write(context, vm, number):
    """Write with one session after another until the scenario ends."""
    address = context.fleet.entry_addresses[vm]
    key = FIRST_KEYS["w1"][0]
    count = 0
    while not context.is_over:
        count += 1
        session = CallerSession(f"{vm}w{number}s{count}", vm, "write", context.ledger)
        try:
            session.open(address, "latest", key)
            while not context.is_over:
                if not context.is_resting:
                    session.execute(f"WRITE {number} data")
                gevent.sleep(WRITE_INTERVAL_S)
        except SessionEndedError:
            gevent.sleep(WRITE_INTERVAL_S)
        finally:
            session.leave()


def _served_since(context, vm, moment):
    records = reversed(list(context.ledger.statements.values()))
    return any(
        record.vm == vm and record.sent_at >= moment and record.is_served() for record in records
    )


def _all_vms_served(context):
    now = time.monotonic()
    for vm in context.fleet.entry_addresses:
        _wait_for(lambda name=vm: _served_since(context, name, now), f"a write is served at {vm}")


def _running_replicas(context):
    database = context.fleet.database
    return [
        database.copies[name]
        for name in context.fleet.announcer.endpoints
        if name != database.source and database.copies[name].alive
    ]


def _staying_replicas(context):
    leaving = context.fleet.announcer.leaving
    return [item.name for item in _running_replicas(context) if item.name not in leaving]


def _wait_for_pauses(context):
    def are_paused():
        is_promoted = len(context.fleet.database.promotions) > context.promotions_before
        return is_promoted or all(item.paused_term for item in _running_replicas(context))

    _wait_for(are_paused, "all replicas are paused")


@given("callers write at every entry VM all the while")
def step_callers(context):
    context.ledger = Ledger()
    context.is_over = context.is_resting = False
    context.writers = [
        gevent.spawn(_write, context, vm, number)
        for vm in context.fleet.entry_addresses
        for number in range(WRITERS_PER_VM)
    ]
    context.add_cleanup(gevent.killall, context.writers)
    _all_vms_served(context)


def _set_late_shares(context, commands, calls):
    context.fleet.late_commands.share = commands
    context.fleet.late_calls.share = calls


@given("promote calls get no answer and are carried out late")
def step_calls_late(context):
    _set_late_shares(context, 0.0, 1.0)


@given("a third of the commands and calls get no answer and are carried out late")
def step_third_late(context):
    _set_late_shares(context, 1 / 3, 1 / 3)


@when("commands and calls are carried out at once again")
def step_none_late(context):
    _set_late_shares(context, 0.0, 0.0)


@when("all that was late has been carried out")
def step_late_carried_out(context):
    fleet = context.fleet
    _wait_for(
        lambda: fleet.promotion_service.is_settled() and not fleet.late_commands.waiting,
        "all late commands and calls are carried out",
    )


@when("the primary is cut off from the control VMs")
def step_cut(context):
    context.promotions_before = len(context.fleet.database.promotions)
    context.cut_off = context.fleet.cut_off_primary()


def _set_control_links(context, vm, state):
    for link in context.fleet.control_links[vm].values():
        link.state = state


@when('"{vm}" is cut off from the control VMs')
def step_cut_entry(context, vm):
    _set_control_links(context, vm, LinkState.SILENT)


@when('"{vm}" reaches the control VMs again')
def step_restored_entry(context, vm):
    _set_control_links(context, vm, LinkState.HEALTHY)


@when("the cut ends")
def step_restored(context):
    context.fleet.restore(context.cut_off)
    _all_vms_served(context)


@when("a replica joins once the others are paused")
def step_joins_after_pauses(context):
    _wait_for_pauses(context)
    step_joins(context)


@when("a replica joins")
def step_joins(context):
    """Start a replica, which announces itself once it has received from the primary."""
    name = context.fleet.announcer.join()
    copy = context.fleet.database.copies[name]
    _wait_for(lambda: copy.log, f"{name} has received the log")
    context.fleet.announcer.announce(name)


def _restart(context, name):
    context.fleet.announcer.endpoints[name].crash()
    context.fleet.announcer.restart(name)


@when("a replica starts again without its log once the others are paused")
def step_restarts_after_pauses(context):
    _wait_for_pauses(context)
    _restart(context, _staying_replicas(context)[0])


@when("another replica than the promoted one starts again without its log after the promote call")
def step_restarts_after_call(context):
    taking_effect = context.fleet.promotion_service.taking_effect
    _wait_for(lambda: taking_effect, "a promote call is carried out")
    others = [name for name in _staying_replicas(context) if name not in taking_effect]
    _restart(context, others[0])


@when("a replica leaves and its log is gone with it")
def step_leaves(context):
    context.leaving, *others = _staying_replicas(context)
    context.other = others[0] if others else None
    context.fleet.announcer.retire(context.leaving)


def _begin_to_leave(context):
    """Let a replica announce its end, and wait until a control VM has acknowledged that."""
    announcer = context.fleet.announcer
    context.leaving, context.other = _staying_replicas(context)[:2]
    announcer.leaving[context.leaving] = None
    _wait_for(lambda: announcer.leaving[context.leaving] is not None, "it may leave")


@when("a replica leaves, and runs on after its deregistration")
def step_runs_on(context):
    _begin_to_leave(context)
    context.fleet.announcer.ending.add(context.leaving)
    context.fleet.announcer.deregister(context.leaving)


@when("a replica leaves, and its connections are refused while it runs on")
def step_refuses(context):
    _begin_to_leave(context)
    context.fleet.announcer.cut_off.add(context.leaving)
    context.fleet.announcer.links[context.leaving].refuse()


@when("the control VMs know that it has left")
def step_known_to_have_left(context):
    fleet = context.fleet
    subject = f'"endpoint_departed","member":"{{}}","subject":"endpoint {context.leaving}"'
    lines = [subject.format(address) for address in fleet.control_addresses]
    names = fleet.control_names()
    _wait_for(
        lambda: any(line in fleet.log_of(name) for line, name in zip(lines, names, strict=True)),
        "the replica has departed",
    )


@when("the other replica receives nothing any more")
def step_deaf(context):
    context.fleet.database.set_deaf(context.other, True)


@when("callers go on writing for {seconds:g} s")
def step_go_on(context, seconds):
    gevent.sleep(seconds)
    _all_vms_served(context)


@when("writes are acknowledged at every entry VM")
def step_acknowledged(context):
    _all_vms_served(context)


@when("the leaving replica ends")
def step_leaving_ends(context):
    context.fleet.announcer.end(context.leaving)


@when("the callers rest, and the other replica has received every commit")
def step_rest(context):
    database, ledger = context.fleet.database, context.ledger
    context.is_resting = True
    _wait_for(
        lambda: all(item.ending is not Ending.OUTSTANDING for item in ledger.statements.values()),
        "every statement has been answered",
    )
    copies = database.copies
    _wait_for(
        lambda: copies[context.other].log == copies[database.source].log,
        f"{context.other} has received every commit",
    )


@when("the callers go on")
def step_callers_go_on(context):
    context.is_resting = False


@when("the process of the primary ends")
def step_primary_crashes(context):
    context.promotions_before = len(context.fleet.database.promotions)
    context.crashed = context.fleet.database.source
    context.fleet.announcer.endpoints[context.crashed].crash()


@when("the control VMs have decided on a promotion")
def step_decided(context):
    fleet = context.fleet

    def is_decided():
        logs = [fleet.log_of(name) for name in fleet.control_names()]
        is_blocked = any('"promotion_blocked"' in text or '"fence_failed"' in text for text in logs)
        return is_blocked or len(fleet.database.promotions) > context.promotions_before

    _wait_for(is_decided, "a promotion, or a line that says why there is none")


@when("the primary starts again with its log, and the other replica receives again")
def step_primary_back(context):
    context.fleet.announcer.restart(context.crashed)
    context.fleet.database.set_deaf(context.other, False)
    _all_vms_served(context)


@then("the primary had not been back before")
def step_not_back(context):
    assert not context.fleet.database.copies[context.crashed].alive


def _covered_departures(context):
    """Return how often the control log has cleared departed replicas, as control VMs logged it."""
    return sum(
        context.fleet.log_of(name).count("departures_covered")
        for name in context.fleet.control_names()
    )


@when("the control VMs know that another replica has all that it had")
def step_covered(context):
    before = getattr(context, "covered_departures", 0)
    _wait_for(lambda: _covered_departures(context) > before, "its commits are known to be kept")
    context.covered_departures = _covered_departures(context)


@when("an endpoint has been promoted")
def step_promoted(context):
    database = context.fleet.database
    _wait_for(lambda: len(database.promotions) > context.promotions_before, "a promotion")


@when("an endpoint has been promoted, or the other replica lacks a position that VMs handed on")
def step_promoted_or_behind(context):
    fleet = context.fleet

    def is_promoted():
        return len(fleet.database.promotions) > context.promotions_before

    def behind():
        text = "".join(fleet.log_of(name) for name in fleet.control_names())
        pattern = rf"VMs handed on up to (\d+)\.(\d+).*?{context.other} has (\d+)\.(\d+)"
        matches = [tuple(map(int, match)) for match in re.findall(pattern, text)]
        return [match for match in matches if match[2:] < match[:2]]

    _wait_for(lambda: is_promoted() or behind(), "a promotion, or a position that is lacking")
    print("promoted" if is_promoted() else f"{context.other} is behind: {behind()[0]}")


@when("a promote call has got no answer")
def step_call_lost(context):
    late_calls = context.fleet.late_calls
    _wait_for(lambda: late_calls.delayed, "a call without an answer")


@then("no acknowledged commit is missing at a promoted endpoint")
def step_none_missing(context):
    _all_vms_served(context)
    findings = judge(context.ledger, context.fleet.database)
    lost = [item for item in findings if item.kind in LOST_KINDS]
    examples = "\n".join(f"{item.kind.value}: {item.subject} {item.evidence}" for item in lost[:5])
    assert not lost, f"{len(lost)} findings\n{examples}"


@then("writes are served again at every entry VM")
def step_served(context):
    _all_vms_served(context)
    context.is_over = True
    gevent.joinall(context.writers, raise_error=True)
    served = sum(1 for item in context.ledger.statements.values() if item.is_served())
    promotions = [item.endpoint for item in context.fleet.database.promotions]
    late = context.fleet.late_commands.delayed + context.fleet.late_calls.delayed
    print(f"{served} writes served, promotions {promotions}, late: {late}")
