"""The data folder: a synced write-ahead log with checksums, and snapshots, of the control log.

A record is a length and a CRC-32 (both 4 bytes, big-endian) before a JSON payload. A record that is
cut off at the end of the file was never acknowledged and is dropped; damage before the end is an
error.
"""

from __future__ import annotations

import logging
import os
import struct
import zlib
from typing import Any

import orjson
from gentianspread_core.blackboard.log import LogEntry, Snapshot
from gentianspread_core.blackboard.outbox import ControlBatch, HardState
from gentianspread_core.errors import ErrorCode, StorageError

log = logging.getLogger(__name__)

HEADER = struct.Struct(">II")
LOG_FILE = "control.log"
SNAPSHOT_FILE = "control.snapshot"
TEMPORARY_SUFFIX = ".new"


class StoredState:
    """What the data folder held at start."""

    __slots__ = ("hard_state", "snapshot", "entries")

    def __init__(self, hard_state: HardState, snapshot: Snapshot, entries: list[LogEntry]) -> None:
        self.hard_state = hard_state
        self.snapshot = snapshot
        self.entries = entries


class ControlStorage:
    """Reads and writes the control log's files in one folder."""

    __slots__ = ("folder", "_file", "_hard_state", "_entries", "_snapshot")

    def __init__(self, folder: str) -> None:
        self.folder = folder
        self._file: int | None = None
        self._hard_state = HardState(0, None)
        self._entries: list[LogEntry] = []
        self._snapshot = Snapshot(0, 0, {})

    def open(self) -> StoredState:
        """Read the files, drop a torn tail, and open the log for appending."""
        self._snapshot = self._read_snapshot()
        length = self._read_log()
        path = self._path(LOG_FILE)
        self._file = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        os.ftruncate(self._file, length)
        os.lseek(self._file, length, os.SEEK_SET)
        os.fsync(self._file)
        self._sync_folder()
        return StoredState(self._hard_state, self._snapshot, list(self._entries))

    def write(self, batch: ControlBatch) -> None:
        """Write a batch and sync it; raises `StorageError` if anything did not reach the disk."""
        try:
            if batch.snapshot is not None:
                self._write_snapshot(batch)
            else:
                self._append(batch)
        except OSError as error:
            raise StorageError(ErrorCode.STORAGE, f"Writing to {self.folder}: {error}") from error

    def close(self) -> None:
        """Close the log."""
        if self._file is not None:
            os.close(self._file)
            self._file = None

    def _path(self, name: str) -> str:
        return os.path.join(self.folder, name)

    def _append(self, batch: ControlBatch) -> None:
        records = []
        if batch.hard_state is not None:
            self._hard_state = batch.hard_state
            records.append(_hard_record(batch.hard_state))
        for entry in batch.entries:
            self._remember(entry)
            records.append(_encode({"entry": entry.to_record()}))
        self._write_all(self._file, b"".join(records))

    def _write_snapshot(self, batch: ControlBatch) -> None:
        snapshot = batch.snapshot
        if snapshot is None:
            return
        if batch.hard_state is not None:
            self._hard_state = batch.hard_state
        for entry in batch.entries:
            self._remember(entry)
        self._entries = [entry for entry in self._entries if entry.index > snapshot.index]
        self._snapshot = snapshot
        record = {"index": snapshot.index, "term": snapshot.term, "state": snapshot.state}
        self._replace(SNAPSHOT_FILE, _encode(record))
        records = [_hard_record(self._hard_state)]
        records += [_encode({"entry": entry.to_record()}) for entry in self._entries]
        self._replace(LOG_FILE, b"".join(records))
        self.close()
        self._file = os.open(self._path(LOG_FILE), os.O_RDWR | os.O_APPEND)

    def _replace(self, name: str, content: bytes) -> None:
        """Write a file beside the old one, sync it, and put it in its place."""
        temporary = self._path(name + TEMPORARY_SUFFIX)
        file = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            self._write_all(file, content)
        finally:
            os.close(file)
        os.rename(temporary, self._path(name))
        self._sync_folder()

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

    def _remember(self, entry: LogEntry) -> None:
        """Keep an entry; one with an index that is held replaces it and all after it."""
        while self._entries and self._entries[-1].index >= entry.index:
            self._entries.pop()
        if entry.index > self._snapshot.index:
            self._entries.append(entry)

    def _read_snapshot(self) -> Snapshot:
        content = self._read(SNAPSHOT_FILE)
        if not content:
            return Snapshot(0, 0, {})
        records, length = _decode_all(content, SNAPSHOT_FILE)
        if len(records) != 1 or length != len(content):
            raise StorageError(ErrorCode.STORAGE, f"{SNAPSHOT_FILE} is damaged.")
        return Snapshot(records[0]["index"], records[0]["term"], records[0]["state"])

    def _read_log(self) -> int:
        content = self._read(LOG_FILE)
        records, length = _decode_all(content, LOG_FILE)
        if length < len(content):
            log.warning("dropping a torn record of %d bytes", len(content) - length)
        for record in records:
            if "hard" in record:
                self._hard_state = HardState(record["hard"]["term"], record["hard"]["voted_for"])
            else:
                self._remember(LogEntry.from_record(record["entry"]))
        return length

    def _read(self, name: str) -> bytes:
        try:
            with open(self._path(name), "rb") as file:
                return file.read()
        except FileNotFoundError:
            return b""


def _encode(record: dict[str, Any]) -> bytes:
    payload = orjson.dumps(record)
    return HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def _hard_record(hard_state: HardState) -> bytes:
    return _encode({"hard": {"term": hard_state.term, "voted_for": hard_state.voted_for}})


def _decode_all(content: bytes, name: str) -> tuple[list[dict[str, Any]], int]:
    """Return the whole records, and the length in bytes that they fill."""
    records: list[dict[str, Any]] = []
    offset = 0
    while offset + HEADER.size <= len(content):
        size, checksum = HEADER.unpack_from(content, offset)
        end = offset + HEADER.size + size
        payload = content[offset + HEADER.size : end]
        if end > len(content) or zlib.crc32(payload) != checksum:
            _require_tail(content, offset, end, name)
            break
        records.append(orjson.loads(payload))
        offset = end
    return records, offset


def _require_tail(content: bytes, offset: int, end: int, name: str) -> None:
    """Raise if a bad record has more data after it, and so is damage and not a torn write."""
    if end < len(content) and any(content[end:]):
        raise StorageError(
            ErrorCode.STORAGE,
            f"{name} is damaged at byte {offset}.",
            remedy="Empty the data folder; the VM comes back as a standby and catches up.",
        )
