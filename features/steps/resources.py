"""Steps about the decisions on resources, on connections that are only described."""

from __future__ import annotations

import time
import weakref

from behave import given, then, when
from gentianspread_core.blackboard import Topic
from gentianspread_core.blackboard.timeline import Timeline
from gentianspread_server.clocks import wall_ms
from gentianspread_server.resources import limits as sizes
from gentianspread_server.resources.budget import MemoryBudget
from gentianspread_server.resources.connections import AcceptedConnections, ConnectionLimits
from gentianspread_server.resources.limits import ResourceLimits
from gentianspread_server.resources.peers import PeerActivity
from gentianspread_server.resources.policies import MinimumPace, UnfinishedFirst
from gentianspread_server.resources.report import ResourceReport
from support import new_board

KB = 1024
MB = 1024 * 1024
TRUSTED_PREFIX = "trusted-"
LARGEST_BUDGET_KB = 10**9


class DescribedConnection:
    """A connection without a socket."""

    def __init__(self, description, began_at=0.0, size=0):
        self.name = description
        self.doing = PeerActivity[description.removeprefix(TRUSTED_PREFIX).upper()]
        self.began_at = began_at
        self.size = size
        self.charged_bytes = 0
        self.is_ended = False
        self.is_trusted = description.startswith(TRUSTED_PREFIX)

    def activity(self):
        return self.doing

    def since(self):
        return self.began_at

    def expected_bytes(self):
        return self.size

    def end(self):
        self.is_ended = True


class LongStatement:
    """Something that a timer may keep."""


def _report(context):
    timeline = Timeline("vm", wall_ms)
    context.lines = []
    timeline.sink = context.lines.append
    context.report = ResourceReport(timeline)
    return context.report


def _connections(text):
    return [DescribedConnection(item, number) for number, item in enumerate(text.split())]


def _closed(context):
    return [item for item in context.connections if item.is_ended]


@given('connections of peers that are, in the order in which they began, "{peers:Quoted}"')
def step_connections(context, peers):
    context.connections = _connections(peers)


@when('{count:d} of them are to be closed, at most those that are "{last:Quoted}"')
def step_victims(context, count, last):
    context.victims = UnfinishedFirst().victims(
        context.connections, PeerActivity[last.upper()], count
    )


@then('the connections closed are "{closed:Quoted}"')
def step_closed(context, closed):
    expected = [] if closed == "none" else closed.split()
    assert [item.name for item in context.victims] == expected


@then("the first {count:d} connections are closed")
def step_first_closed(context, count):
    closed = _closed(context) or context.victims
    assert closed == context.connections[:count], [item.began_at for item in closed]


@given("a memory budget of {size:d} KB")
def step_budget(context, size):
    context.budget = MemoryBudget(size * KB, UnfinishedFirst(), _report(context))
    context.connections = []


@given('peers that are "{peers:Quoted}", each with {size:d} KB')
def step_peers(context, peers, size):
    context.connections = _connections(peers)
    for connection in context.connections:
        assert context.budget.charge(connection, size * KB)


@when('a new peer that is "{activity:Quoted}" asks for {size:d} KB')
def step_charge(context, activity, size):
    connection = DescribedConnection(activity, time.monotonic())
    context.has_room = context.budget.charge(connection, size * KB)


@then("it gets the memory")
def step_has_room(context):
    assert context.has_room


@then("it gets no memory")
def step_has_no_room(context):
    assert not context.has_room


@then('the peers that are "{activity:Quoted}" are closed, and no other')
def step_peers_closed(context, activity):
    assert {item.name for item in _closed(context)} == {activity}
    assert all(item.is_ended for item in context.connections if item.name == activity)


@then("no peer is closed")
@then("no connection is closed")
def step_none_closed(context):
    assert not _closed(context)


@then("the budget counts {size:d} KB")
def step_counted(context, size):
    assert context.budget.charged_bytes == size * KB, context.budget.charged_bytes


@when("the peers leave")
def step_peers_leave(context):
    for connection in context.connections:
        context.budget.release(connection)


@given("a port for {count:d} connections")
def step_port(context, count):
    _add_port(context, count, 0)


@given("a port for {count:d} connections and {trusted:d} trusted ones")
def step_port_with_trusted(context, count, trusted):
    _add_port(context, count, trusted)


def _add_port(context, count, trusted):
    report = _report(context)
    budget = MemoryBudget(LARGEST_BUDGET_KB, UnfinishedFirst(), report)
    accepted = AcceptedConnections(count + trusted)
    context.port = ConnectionLimits(
        "test",
        False,
        count,
        trusted,
        PeerActivity.IDLE,
        budget,
        accepted,
        UnfinishedFirst(),
        MinimumPace(),
        report,
    )
    accepted.ports["test"] = context.port
    context.budget = budget
    context.accepted = accepted
    context.connections = []


@given('{count:d} connections are open that are "{activity:Quoted}"')
@when('{count:d} connections arrive that are "{activity:Quoted}"')
def step_open(context, count, activity):
    for number in range(count):
        connection = DescribedConnection(activity, number)
        context.connections.append(connection)
        assert context.port.admit(connection)


@when("a connection arrives at a reserved port")
def step_reserved(context):
    context.reserved = ConnectionLimits(
        "reserved",
        True,
        1,
        0,
        PeerActivity.IDLE,
        context.budget,
        context.accepted,
        UnfinishedFirst(),
        MinimumPace(),
        context.report,
    )
    context.accepted.ports["reserved"] = context.reserved
    context.is_admitted = context.reserved.admit(DescribedConnection("unopened"))


@when("another connection arrives")
def step_another(context):
    context.is_admitted = context.port.admit(DescribedConnection("working", time.monotonic()))


@when("{count:d} connections send a signed message")
def step_signed(context, count):
    for connection in context.connections[:count]:
        context.port.trust(connection)


@then('the connections closed so far are "{closed:Quoted}"')
def step_closed_so_far(context, closed):
    assert [item.name for item in _closed(context)] == closed.split()


@then("the connection is admitted")
def step_admitted(context):
    assert context.is_admitted


@then("the connection is refused")
def step_refused(context):
    assert not context.is_admitted
    assert sum(context.report.counts.values()) == 1


@given('a connection that is "{activity:Quoted}" since {seconds:d} s with {size:d} KB')
def step_moving(context, activity, seconds, size):
    context.now = 100_000.0
    context.connection = DescribedConnection(activity, context.now - seconds, size * KB)


@then("it {verdict:Quoted} closed for its time")
def step_overdue(context, verdict):
    assert MinimumPace().is_overdue(context.connection, context.now) is (verdict == "is")


@when("a process has {memory:d} MB and {descriptors:d} descriptors")
def step_process(context, memory, descriptors):
    context.limits = ResourceLimits.from_settings(memory * MB, descriptors)


@then("its limits are at least {callers:d} callers and {control:d} connections at the control port")
def step_limits(context, callers, control):
    limits = context.limits
    assert limits.max_callers >= callers, limits.max_callers
    assert limits.max_control >= control, limits.max_control


@then("all its connections together need at most its descriptors and its memory")
def step_limits_fit(context):
    limits = context.limits
    entry = limits.max_accepted
    control = limits.max_control + limits.max_control_trusted
    assert max(entry, control) + 2 * limits.max_probes < limits.descriptors
    entry_bytes = limits.max_callers * sizes.CALLER_BYTES
    entry_bytes += limits.max_entry_peers * sizes.HTTP_BYTES
    control_bytes = limits.max_control * sizes.HTTP_BYTES
    assert max(entry_bytes, control_bytes) + limits.budget_bytes < limits.memory_bytes


@then("{count:d} of them were counted as closed")
def step_count(context, count):
    counted = sum(context.report.counts.values())
    assert counted == count == len(_closed(context)), (counted, len(_closed(context)))


@then("at most {count:d} log lines were written")
def step_lines(context, count):
    assert 0 < len(context.lines) <= count, len(context.lines)


@when('"{name:w}" sets a value of {size:d} KB and reads')
def step_long_value(context, name, size):
    context.execute_steps(f"""
        When "{name}" sends "SET long {"x" * size * KB}"
        And "{name}" sends "READ x"
    """)


@when('"{name:w}" sets {count:d} values of {size:d} KB')
def step_values(context, name, count, size):
    for number in range(count):
        context.execute_steps(f'When "{name}" sends "SET n{number} {"x" * size * KB}"')


@then("{count:d} connections to endpoints are kept")
def step_kept(context, count):
    held = context.session_simulation.board.connections.by_endpoint.values()
    kept = [item for connections in held for item in connections]
    assert len(kept) == count, len(kept)


@when("a timer with a long statement is cancelled")
def step_timer(context):
    board = new_board()
    statement = LongStatement()
    context.statement = weakref.ref(statement)
    context.timer = board.changes.post_at(board.clock.now() + 60, Topic.REQUEST_EXPIRED, statement)
    context.board = board
    context.timer.cancel()


@then("nothing refers to the statement any more")
def step_unreferenced(context):
    assert context.statement() is None
