"""The data folder: stores the control log, a Raft log, as a write-ahead log and a snapshot.

A frame is a marker, a length and a CRC-32 (4 bytes each, big-endian), followed by a JSON list of
records. A batch without a snapshot is appended to the log as one frame. A batch with one replaces
both files by files of one frame each: the snapshot, and a log of the term, the vote and the entries
that follow the snapshot.

A write begins only after the previous one was synced. An invalid frame of the log that no valid
frame follows is therefore a torn write that was never acknowledged, and is dropped, whichever of
its bytes reached the disk. An invalid frame before a valid one is corruption, and raises an error;
so does an invalid snapshot, which is written to another file and renamed, and so is never torn.
"""

from __future__ import annotations

import logging
import os
import struct
import zlib
from typing import Any

import orjson
from gentianspread_core.blackboard.log import FOUNDING_INCARNATION, LogEntry, Snapshot
from gentianspread_core.blackboard.outbox import ControlBatch, HardState
from gentianspread_core.errors import ErrorCode, StorageError

log = logging.getLogger(__name__)

FRAME_HEADER = struct.Struct(">4sII")
FRAME_MARKER = b"GSF1"
LOG_FILE = "control.log"
SNAPSHOT_FILE = "control.snapshot"
TEMPORARY_SUFFIX = ".new"


class StoredState:
    """What the data folder held at start: term and vote, the snapshot, and the entries after it.

    The term has no incarnation if the folder held no term: it was empty, or its log is lost.
    """

    __slots__ = ("hard_state", "snapshot", "entries")

    def __init__(self, hard_state: HardState, snapshot: Snapshot, entries: list[LogEntry]) -> None:
        self.hard_state = hard_state
        self.snapshot = snapshot
        self.entries = entries


class ControlStorage:
    """Reads and writes the control log's files in one folder."""

    __slots__ = (
        "folder",
        "_file",
        "_hard_state",
        "_entries",
        "_snapshot",
        "_log_length",
        "_has_partial_frame",
    )

    def __init__(self, folder: str) -> None:
        self.folder = folder
        self._file: int | None = None
        self._hard_state = HardState(0, None)
        self._entries: list[LogEntry] = []
        self._snapshot = Snapshot(0, 0, {})
        self._log_length = 0
        self._has_partial_frame = False

    def open(self) -> StoredState:
        """Read the files, and open the log for appending; raises `StorageError` if either fails.

        What was read is synced, as a killed process may not have done that. A torn write stays in
        the file until the next write truncates it, so that a VM can start while its disk is full.
        """
        try:
            self._entries = []
            self._snapshot = self._read_snapshot()
            self._log_length, self._has_partial_frame = self._read_log()
            self._file = os.open(self._path(LOG_FILE), os.O_RDWR | os.O_CREAT, 0o600)
            os.lseek(self._file, self._log_length, os.SEEK_SET)
            os.fsync(self._file)
            self._sync_folder()
        except OSError as error:
            self.close()
            raise self._failure("Opening", error) from error
        return StoredState(self._hard_state, self._snapshot, list(self._entries))

    def write_first_state(self, hard_state: HardState) -> StoredState:
        """Write the first state of an empty folder; raises `StorageError` if that fails."""
        batch = ControlBatch()
        batch.hard_state = hard_state
        self.write(batch)
        return StoredState(hard_state, self._snapshot, list(self._entries))

    def write(self, batch: ControlBatch) -> None:
        """Write a batch and sync it; raises `StorageError` if either fails.

        The same batch may be written again: the log is first truncated to its last synced length.
        """
        try:
            self._truncate_partial_frame()
            if batch.snapshot is not None:
                self._write_snapshot(batch)
            else:
                self._append(batch)
        except OSError as error:
            raise self._failure("Writing to", error) from error

    def close(self) -> None:
        """Close the log."""
        if self._file is not None:
            os.close(self._file)
            self._file = None

    def _failure(self, action: str, error: OSError) -> StorageError:
        return StorageError(ErrorCode.STORAGE_FAILED, f"{action} {self.folder}: {error}")

    def _path(self, name: str) -> str:
        return os.path.join(self.folder, name)

    def _append(self, batch: ControlBatch) -> None:
        records = []
        if batch.hard_state is not None:
            self._hard_state = batch.hard_state
            records.append(_hard_state_record(batch.hard_state))
        for entry in batch.entries:
            self._add_entry(entry)
            records.append({"entry": entry.to_record()})
        content = _encode_frame(records)
        self._has_partial_frame = True
        self._write_all(self._file, content)
        self._log_length += len(content)
        self._has_partial_frame = False

    def _write_snapshot(self, batch: ControlBatch) -> None:
        snapshot = batch.snapshot
        if snapshot is None:
            return
        if batch.hard_state is not None:
            self._hard_state = batch.hard_state
        for entry in batch.entries:
            self._add_entry(entry)
        self._entries = [entry for entry in self._entries if entry.index > snapshot.index]
        self._snapshot = snapshot
        record = {"index": snapshot.index, "term": snapshot.term, "state": snapshot.state}
        self._replace_file(SNAPSHOT_FILE, _encode_frame([record]))
        records = [_hard_state_record(self._hard_state)]
        records += [{"entry": entry.to_record()} for entry in self._entries]
        content = _encode_frame(records)
        self._replace_file(LOG_FILE, content)
        self.close()
        self._file = os.open(self._path(LOG_FILE), os.O_RDWR | os.O_APPEND)
        self._log_length = len(content)

    def _replace_file(self, name: str, content: bytes) -> None:
        """Replace a file atomically: write and sync a temporary file, then rename it."""
        temporary = self._path(name + TEMPORARY_SUFFIX)
        file = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            self._write_all(file, content)
        finally:
            os.close(file)
        os.rename(temporary, self._path(name))
        self._sync_folder()

    def _truncate_partial_frame(self) -> None:
        """Truncate the log to its last synced length after a failed write."""
        if self._has_partial_frame and self._file is not None:
            os.ftruncate(self._file, self._log_length)
            os.lseek(self._file, self._log_length, os.SEEK_SET)
            os.fsync(self._file)
            self._has_partial_frame = False

    def _write_all(self, file: int | None, content: bytes) -> None:
        if file is None:
            raise OSError("the log is closed")
        view = memoryview(content)
        while view:
            written = os.write(file, view)
            view = view[written:]
        os.fsync(file)

    def _sync_folder(self) -> None:
        folder = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def _add_entry(self, entry: LogEntry) -> None:
        """Add an entry in place of the entries of its index and above."""
        while self._entries and self._entries[-1].index >= entry.index:
            self._entries.pop()
        if entry.index > self._snapshot.index:
            self._entries.append(entry)

    def _read_snapshot(self) -> Snapshot:
        content = self._read_file(SNAPSHOT_FILE)
        if not content:
            return Snapshot(0, 0, {})
        records, length = _decode_frames(content, SNAPSHOT_FILE)
        if len(records) != 1 or length != len(content):
            raise StorageError(ErrorCode.STORAGE_FAILED, f"{SNAPSHOT_FILE} is damaged.")
        return Snapshot(records[0]["index"], records[0]["term"], records[0]["state"])

    def _read_log(self) -> tuple[int, bool]:
        """Read the log; return the length of its valid frames, and whether a torn one follows."""
        content = self._read_file(LOG_FILE)
        records, length = _decode_frames(content, LOG_FILE)
        if length < len(content):
            log.warning(
                "ignoring a torn write of %d bytes at the end of the log", len(content) - length
            )
        for record in records:
            if "hard" in record:
                self._hard_state = _decode_hard_state(record["hard"])
            else:
                self._add_entry(LogEntry.from_record(record["entry"]))
        return length, length < len(content)

    def _read_file(self, name: str) -> bytes:
        try:
            with open(self._path(name), "rb") as file:
                return file.read()
        except FileNotFoundError:
            return b""


def _encode_frame(records: list[dict[str, Any]]) -> bytes:
    payload = orjson.dumps(records)
    return FRAME_HEADER.pack(FRAME_MARKER, len(payload), zlib.crc32(payload)) + payload


def _hard_state_record(hard_state: HardState) -> dict[str, Any]:
    return {
        "hard": {
            "term": hard_state.term,
            "voted_for": hard_state.voted_for,
            "incarnation": hard_state.incarnation,
            "initial_voters": hard_state.initial_voters,
        }
    }


def _decode_hard_state(record: dict[str, Any]) -> HardState:
    """Return a stored term and vote; older builds stored no incarnation or no initial voters."""
    incarnation = record.get("incarnation") or FOUNDING_INCARNATION
    initial_voters = tuple(record.get("initial_voters", ()))
    return HardState(record["term"], record["voted_for"], incarnation, initial_voters)


def _decode_frames(content: bytes, name: str) -> tuple[list[dict[str, Any]], int]:
    """Return the records of all frames before a torn write, and these frames' length in bytes."""
    records: list[dict[str, Any]] = []
    offset = 0
    while offset < len(content):
        payload = _decode_payload(content, offset)
        if payload is None:
            _raise_if_corrupt(content, offset, name)
            break
        records.extend(orjson.loads(payload))
        offset += FRAME_HEADER.size + len(payload)
    return records, offset


def _decode_payload(content: bytes, offset: int) -> bytes | None:
    """Return the payload of the frame at an offset, or none if the frame is invalid."""
    if offset + FRAME_HEADER.size > len(content):
        return None
    marker, size, checksum = FRAME_HEADER.unpack_from(content, offset)
    payload = content[offset + FRAME_HEADER.size : offset + FRAME_HEADER.size + size]
    # A header whose end is zeros has the size and the checksum of an empty payload.
    is_whole = size > 0 and len(payload) == size
    is_valid = marker == FRAME_MARKER and is_whole and zlib.crc32(payload) == checksum
    return payload if is_valid else None


def _raise_if_corrupt(content: bytes, offset: int, name: str) -> None:
    """Raise if a valid frame follows an invalid one, which is then not a torn write.

    The standby in the remedy is a VM with a disk that is no voter yet.
    """
    next_offset = content.find(FRAME_MARKER, offset + 1)
    while next_offset >= 0:
        if _decode_payload(content, next_offset) is not None:
            raise StorageError(
                ErrorCode.STORAGE_FAILED,
                f"{name} is damaged at byte {offset}.",
                remedy="Empty the data folder; the VM comes back as a standby and catches up.",
            )
        next_offset = content.find(FRAME_MARKER, next_offset + 1)
