"""Steps about the memory that the control log and its histories take."""

from __future__ import annotations

import gc
import json
import tracemalloc

from behave import given, then, when
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.log import EntryHistory, LogEntry
from support import follower_name

MB = 1024 * 1024
CHANGE_INTERVAL_S = 0.05


def declaration_fields(version, route_count):
    """Return the fields of a declaration as a control VM gets them, with texts of their own."""
    routes = [
        [f"r-{number:06}", f"database-{number:06}", "g", "latest", None, 0.8, 0.2, 1, False]
        for number in range(route_count)
    ]
    document = {"version": version, "routes": [{"name": row[0], "path": row} for row in routes]}
    fields = {
        "version": version,
        "routes": routes,
        "groups": [["g", 46, True]],
        "workspaces": [["w", 100.0, 100.0, ["0" * 64]]],
        "transaction_idle": 3.0,
        "document": json.dumps(document),
    }
    return json.loads(json.dumps(fields))


def declare(context, count, route_count):
    simulation = context.simulation
    context.largest_batch = 0
    send = simulation.send_message

    def record_and_send(message):
        size = sum(entry.size() for entry in message.entries)
        context.largest_batch = max(context.largest_batch, size)
        send(message)

    simulation.send_message = record_and_send
    for version in range(1, count + 1):
        fields = declaration_fields(version, route_count)
        outcomes = simulation.propose_change(CommandKind.DECLARE, fields, f"version {version}")
        simulation.run(CHANGE_INTERVAL_S)
        assert outcomes and outcomes[0].accepted, (version, outcomes)
    context.newest_version = count


@when("{count:d} declarations of {route_count:d} routes are applied")
def step_declare(context, count, route_count):
    declare(context, count, route_count)


@when("a voter is killed and {count:d} declarations of {route_count:d} routes are applied")
def step_declare_without(context, count, route_count):
    context.killed = context.simulation.vms[follower_name(context)]
    context.killed.kill()
    declare(context, count, route_count)


@when("that voter starts again")
def step_start_again(context):
    context.killed.start()


@then("each VM keeps at most {limit:d} MB of entries in its log, its histories and on its disk")
def step_bounded(context, limit):
    for vm in context.simulation.vms.values():
        configuration = vm.engine.configuration
        sizes = {
            "log": vm.board.log.size(),
            "history": configuration.history.size,
            "serving history": configuration.serving_history.size,
            "disk": sum(entry.size() for entry in vm.disk.entries) if vm.disk else 0,
        }
        assert max(sizes.values()) <= limit * MB, (vm.name, sizes)


@then("no message carried more than {limit:d} MB of entries")
def step_messages_bounded(context, limit):
    assert 0 < context.largest_batch <= limit * MB, context.largest_batch


@then("every VM has the newest declaration")
def step_newest(context):
    versions = {
        vm.name: vm.board.configuration.declaration.version
        for vm in context.simulation.vms.values()
    }
    assert set(versions.values()) == {context.newest_version}, versions


@given("a history of at most {count:d} entries and {size:d} bytes")
def step_history(context, count, size):
    context.history = EntryHistory(count, size)
    context.next_index = 1


@when("entries of {sizes} bytes are added")
def step_add(context, sizes):
    for size in sizes.replace(" and", ",").split(","):
        entry = LogEntry(context.next_index, 1, Command(CommandKind.NO_OP, {}))
        entry._size = int(size)
        context.history.append(entry)
        context.next_index += 1


@then("it can bring no VM up to date")
def step_empty(context):
    assert not any(context.history.holds_all_after(index) for index in range(context.next_index))


@then("it brings only VMs up to date that lack at most {count:d} entries")
def step_brings(context, count):
    newest = context.next_index - 1
    assert context.history.holds_all_after(newest - count)
    assert not context.history.holds_all_after(newest - count - 1)
    assert [entry.index for entry in context.history.after(newest - count)] == list(
        range(newest - count + 1, newest + 1)
    )


@then(
    "a declaration of {routes:d} routes takes between {low:g} and {high:g} times its estimated size"
)
def step_estimated(context, routes, low, high):
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        entry = LogEntry(1, 1, Command(CommandKind.DECLARE, declaration_fields(1, routes)))
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    taken = after - before
    assert low * entry.size() <= taken <= high * entry.size(), (taken, entry.size())
