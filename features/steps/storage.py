"""Steps about the control log's files."""

from __future__ import annotations

import errno
import os
from unittest import mock

from behave import then, when
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.log import FOUNDING_INCARNATION, LogEntry, Snapshot
from gentianspread_core.blackboard.outbox import ControlBatch, HardState
from gentianspread_core.errors import StorageError
from gentianspread_server import control, storage
from gentianspread_server.control import ControlLoop
from gentianspread_server.storage import LOG_FILE, ControlStorage, _encode_frame

INITIAL_VOTERS = ["v1", "v2", "v3"]


def entry(index, term=3):
    return LogEntry(index, term, Command(CommandKind.NO_OP, {"number": index}))


def batch_of(entries, hard_state=None, snapshot=None):
    batch = ControlBatch()
    batch.entries = entries
    batch.hard_state = hard_state
    batch.snapshot = snapshot
    return batch


def open_storage(context):
    storage = ControlStorage(context.folder)
    context.stored = storage.open()
    return storage


def refuse_write(*_args):
    raise OSError(errno.ENOSPC, "No space left on device")


def log_path(context):
    return os.path.join(context.folder, LOG_FILE)


@when("entries {first:d} to {last:d} and a vote in term {term:d} are written")
def step_write(context, first, last, term):
    context.storage = open_storage(context)
    context.storage.write(batch_of([], HardState(term, "v1")))
    for index in range(first, last + 1):
        context.storage.write(batch_of([entry(index)]))


@when("entry {index:d} is written again in term {term:d}")
def step_overwrite(context, index, term):
    context.storage.write(batch_of([entry(index, term)]))


@when("the last {count:d} bytes of the log are cut off")
def step_truncate(context, count):
    context.storage.close()
    os.truncate(log_path(context), os.path.getsize(log_path(context)) - count)


@when("entries {first:d} to {last:d} are appended in one write whose first half is then zeroed")
def step_zero_half(context, first, last):
    length = os.path.getsize(log_path(context))
    context.storage.write(batch_of([entry(index) for index in range(first, last + 1)]))
    context.storage.close()
    with open(log_path(context), "r+b") as file:
        file.seek(length)
        file.write(bytes((os.path.getsize(log_path(context)) - length) // 2))


@when("the write of entry {index:d} fails halfway and is repeated")
def step_fails_halfway(context, index):
    write_all = ControlStorage._write_all

    def write_half(storage, file, content):
        os.write(file, content[: len(content) // 2])
        raise OSError("the disk is full")

    ControlStorage._write_all = write_half
    try:
        failure_of(lambda: context.storage.write(batch_of([entry(index)])))
    finally:
        ControlStorage._write_all = write_all
    context.storage.write(batch_of([entry(index)]))


@when("a byte in the middle of the log is changed")
def step_corrupt(context):
    context.storage.close()
    with open(log_path(context), "r+b") as file:
        file.seek(os.path.getsize(log_path(context)) // 2)
        byte = file.read(1)
        file.seek(-1, os.SEEK_CUR)
        file.write(bytes([byte[0] ^ 0xFF]))


@when("a snapshot up to entry {index:d} is written")
def step_snapshot(context, index):
    context.storage.write(batch_of([], snapshot=Snapshot(index, 3, {"revision": index})))


@when("a snapshot up to entry {index:d} is written, but the log is not trimmed")
def step_snapshot_only(context, index):
    with open(log_path(context), "rb") as file:
        before = file.read()
    step_snapshot(context, index)
    context.storage.close()
    with open(log_path(context), "wb") as file:
        file.write(before)


@when("the disk is full")
def step_full(context):
    context.storage.close()
    context.storage._file = os.open("/dev/full", os.O_WRONLY)


@then("reopening reads entries {first:d} to {last:d} and the vote in term {term:d}")
def step_entries_read(context, first, last, term):
    open_storage(context)
    indexes = [item.index for item in context.stored.entries]
    assert indexes == list(range(first, last + 1)), indexes
    state = context.stored.hard_state
    assert (state.term, state.voted_for) == (term, "v1")


@then("reopening reads a snapshot up to entry {index:d} and entries {first:d} to {last:d}")
def step_snapshot_read(context, index, first, last):
    open_storage(context)
    assert context.stored.snapshot.index == index
    indexes = [item.index for item in context.stored.entries]
    assert indexes == list(range(first, last + 1)), indexes


@then("further entries can be written and read")
def step_append(context):
    storage = open_storage(context)
    last = context.stored.entries[-1].index
    storage.write(batch_of([entry(last + 1)]))
    open_storage(context)
    assert context.stored.entries[-1].index == last + 1


@when("the disk refuses the next {count:d} syncs")
def step_refuse_syncs(context, count):
    if hasattr(context, "storage"):
        context.storage.close()
    context.failures = [OSError(errno.ENOSPC, "No space left on device")] * count


@then(
    "the control log is recovered with entries {first:d} to {last:d} "
    "after {count:d} failed attempts"
)
def step_recovered(context, first, last, count):
    loop = ControlLoop(None, ControlStorage(context.folder), None, None)
    sync = os.fsync
    attempts = []

    def sync_or_fail(file):
        attempts.append(file)
        if len(attempts) <= count:
            raise context.failures[len(attempts) - 1]
        sync(file)

    with (
        mock.patch.object(storage.os, "fsync", sync_or_fail),
        mock.patch.object(control, "WRITE_RETRY_INTERVAL_S", 0.01),
    ):
        stored = loop.recover()
    assert [item.index for item in stored.entries] == list(range(first, last + 1))
    assert len(attempts) > count


@then(
    "reopening while nothing can be written reads entries {first:d} to {last:d} "
    "and the vote in term {term:d}"
)
def step_read_when_full(context, first, last, term):
    with (
        mock.patch.object(storage.os, "write", refuse_write),
        mock.patch.object(storage.os, "ftruncate", refuse_write),
    ):
        step_entries_read(context, first, last, term)


@then("further entries can be written and read once there is room")
def step_append_with_room(context):
    step_append(context)


@then('reopening fails with "{code:w}" and a remedy')
def step_open_fails(context, code):
    error = failure_of(lambda: open_storage(context))
    assert error.code.value == code and error.remedy


@then('writing fails with "{code:w}" and a remedy')
def step_write_fails(context, code):
    error = failure_of(lambda: context.storage.write(batch_of([entry(9)])))
    assert error.code.value == code and error.remedy


def failure_of(action):
    try:
        action()
    except StorageError as error:
        return error
    raise AssertionError("no StorageError was raised")


@when("the control log of an empty folder is recovered as that of a {role}")
def step_recover_empty(context, role):
    failures = iter(getattr(context, "failures", []))
    sync = os.fsync

    def sync_or_fail(file):
        for failure in failures:
            raise failure
        sync(file)

    context.storage = ControlStorage(context.folder)
    loop = ControlLoop(None, context.storage, None, None)
    with (
        mock.patch.object(storage.os, "fsync", sync_or_fail),
        mock.patch.object(control, "WRITE_RETRY_INTERVAL_S", 0.01),
    ):
        assert loop.recover() is None
        stored = loop.write_first_state(INITIAL_VOTERS if role == "founding voter" else [])
    context.incarnations = [
        *getattr(context, "incarnations", []),
        stored.hard_state.incarnation,
    ]
    context.initial_voters = stored.hard_state.initial_voters
    context.first_length = os.path.getsize(log_path(context))


@when("entries {first:d} to {last:d} and a vote in term {term:d} are written with its incarnation")
def step_write_with_incarnation(context, first, last, term):
    hard_state = HardState(term, "v1", context.incarnations[-1], context.initial_voters)
    entries = [entry(index) for index in range(first, last + 1)]
    context.storage.write(batch_of(entries, hard_state))


@then("the initial voters are those of the first start")
def step_initial_voters(context):
    context.storage.close()
    stored = ControlLoop(None, ControlStorage(context.folder), None, None).recover()
    assert list(stored.hard_state.initial_voters) == INITIAL_VOTERS, stored.hard_state


def recovered_parts(context, start):
    """Yield what is recovered from the log without its end, and with zeros or noise in its place.

    `start` is the length in bytes that an earlier sync covers.
    """
    context.storage.close()
    with open(log_path(context), "rb") as file:
        content = file.read()
    for length in range(start, len(content)):
        missing = len(content) - length
        for end in (b"", bytes(missing), bytes(value ^ 0x5A for value in content[length:])):
            with open(log_path(context), "wb") as file:
                file.write(content[:length] + end)
            yield ControlLoop(None, ControlStorage(context.folder), None, None).recover()


@then("the initial voters are recorded whatever part of the last write is on the disk")
def step_torn_write(context):
    for stored in recovered_parts(context, context.first_length):
        assert list(stored.hard_state.initial_voters) == INITIAL_VOTERS
        assert stored.hard_state.term == 0 and not stored.entries, stored.hard_state.term


@then("the control log has no incarnation whatever part of the first write is missing")
def step_torn_first_write(context):
    assert all(stored is None for stored in recovered_parts(context, 0))


@then("no initial voters are recorded")
def step_no_initial_voters(context):
    stored = ControlLoop(None, ControlStorage(context.folder), None, None).recover()
    assert not stored.hard_state.initial_voters, stored.hard_state


@when("all files of the folder are lost")
def step_lose_files(context):
    context.storage.close()
    for name in os.listdir(context.folder):
        os.remove(os.path.join(context.folder, name))


@when("the log is lost but not the snapshot")
def step_lose_log(context):
    context.storage.close()
    os.remove(log_path(context))


@when("an older build has written a vote in term {term:d} and the entry {index:d}")
def step_older_build(context, term, index):
    records = [{"hard": {"term": term, "voted_for": "v1"}}, {"entry": entry(index).to_record()}]
    with open(log_path(context), "wb") as file:
        file.write(_encode_frame(records))


def recovered_incarnation(context):
    stored = ControlLoop(None, ControlStorage(context.folder), None, None).recover()
    return stored.hard_state.incarnation if stored else None


@then("the control log is recovered with the same incarnation")
def step_same_incarnation(context):
    assert recovered_incarnation(context) == context.incarnations[-1]


@then("its incarnation is another one than before")
def step_other_incarnation(context):
    assert len(set(context.incarnations)) == len(context.incarnations) > 1


@then("the control log is recovered with the founding incarnation")
def step_founding_incarnation(context):
    assert recovered_incarnation(context) == FOUNDING_INCARNATION


@then("the control log has no incarnation")
def step_no_incarnation(context):
    assert recovered_incarnation(context) is None
