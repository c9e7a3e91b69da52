"""The data folder: a synced write-ahead log with checksums, and snapshots, of the control log.

Each write is one frame: a marker, a length and a CRC-32 (4 bytes each, big-endian) before a JSON
list of records. A write begins only after the one before it was synced. So a frame that cannot be
read and has no whole frame after it was never acknowledged, and is dropped in whatever way it was
torn; with a whole frame after it, it is damage, and an error.
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

HEADER = struct.Struct(">4sII")
MARKER = b"GSF1"
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

    __slots__ = ("folder", "_file", "_hard_state", "_entries", "_snapshot", "_length", "_is_torn")

    def __init__(self, folder: str) -> None:
        self.folder = folder
        self._file: int | None = None
        self._hard_state = HardState(0, None)
        self._entries: list[LogEntry] = []
        self._snapshot = Snapshot(0, 0, {})
        self._length = 0
        self._is_torn = False

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
        self._length = length
        return StoredState(self._hard_state, self._snapshot, list(self._entries))

    def write(self, batch: ControlBatch) -> None:
        """Write a batch and sync it; raises `StorageError` if anything did not reach the disk.

        The same batch may be written again; what a failed write left is cut off first.
        """
        try:
            self._cut_torn()
            if batch.snapshot is not None:
                self._write_snapshot(batch)
            else:
                self._append(batch)
        except OSError as error:
            raise StorageError(
                ErrorCode.STORAGE_FAILED, f"Writing to {self.folder}: {error}"
            ) from error

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
            records.append({"entry": entry.to_record()})
        content = _encode(records)
        self._is_torn = True
        self._write_all(self._file, content)
        self._length += len(content)
        self._is_torn = False

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
        self._replace(SNAPSHOT_FILE, _encode([record]))
        records = [_hard_record(self._hard_state)]
        records += [{"entry": entry.to_record()} for entry in self._entries]
        content = _encode(records)
        self._replace(LOG_FILE, content)
        self.close()
        self._file = os.open(self._path(LOG_FILE), os.O_RDWR | os.O_APPEND)
        self._length = len(content)

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

    def _cut_torn(self) -> None:
        """Cut off what a failed write may have left behind."""
        if self._is_torn and self._file is not None:
            os.ftruncate(self._file, self._length)
            os.lseek(self._file, self._length, os.SEEK_SET)
            os.fsync(self._file)
            self._is_torn = False

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
            raise StorageError(ErrorCode.STORAGE_FAILED, f"{SNAPSHOT_FILE} is damaged.")
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


def _encode(records: list[dict[str, Any]]) -> bytes:
    payload = orjson.dumps(records)
    return HEADER.pack(MARKER, len(payload), zlib.crc32(payload)) + payload


def _hard_record(hard_state: HardState) -> dict[str, Any]:
    return {"hard": {"term": hard_state.term, "voted_for": hard_state.voted_for}}


def _decode_all(content: bytes, name: str) -> tuple[list[dict[str, Any]], int]:
    """Return the records of the whole frames, and the length in bytes that these fill."""
    records: list[dict[str, Any]] = []
    offset = 0
    while offset < len(content):
        payload = _payload_at(content, offset)
        if payload is None:
            _require_tail(content, offset, name)
            break
        records.extend(orjson.loads(payload))
        offset += HEADER.size + len(payload)
    return records, offset


def _payload_at(content: bytes, offset: int) -> bytes | None:
    """Return the payload of the frame at an offset, or none if it is not whole."""
    if offset + HEADER.size > len(content):
        return None
    marker, size, checksum = HEADER.unpack_from(content, offset)
    payload = content[offset + HEADER.size : offset + HEADER.size + size]
    is_whole = marker == MARKER and len(payload) == size and zlib.crc32(payload) == checksum
    return payload if is_whole else None


def _require_tail(content: bytes, offset: int, name: str) -> None:
    """Raise if a bad frame has a whole one after it, and so is damage and not a torn write."""
    later = content.find(MARKER, offset + 1)
    while later >= 0:
        if _payload_at(content, later) is not None:
            raise StorageError(
                ErrorCode.STORAGE_FAILED,
                f"{name} is damaged at byte {offset}.",
                remedy="Empty the data folder; the VM comes back as a standby and catches up.",
            )
        later = content.find(MARKER, later + 1)
