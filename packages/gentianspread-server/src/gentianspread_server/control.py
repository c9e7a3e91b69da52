"""Control loop: syncs the control log's records to the disk before sending its messages."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

import gevent
from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.log import (
    FOUNDING_INCARNATION,
    RecoveredLog,
    Snapshot,
    SyncedRecords,
)
from gentianspread_core.blackboard.outbox import ControlBatch, HardState
from gentianspread_core.errors import ErrorCode, StorageError
from gevent.event import Event

from .guards import run_for_ever
from .peers import PeerAddresses, PeerClient, PeerSender
from .storage import ControlStorage, StoredState

log = logging.getLogger(__name__)

LOOP_NAME = "control log"
WRITE_RETRY_INTERVAL_S = 0.3


class ControlLoop:
    """Writes and sends the control batches of one VM's board.

    A failed write is retried until it succeeds. Until then the VM sends no control messages, and so
    takes no part in elections and replication.
    """

    __slots__ = (
        "board",
        "storage",
        "addresses",
        "client",
        "_senders",
        "_has_output",
        "is_write_failing",
    )

    def __init__(
        self,
        board: Board,
        storage: ControlStorage | None,
        addresses: PeerAddresses,
        client: PeerClient,
    ) -> None:
        self.board = board
        self.storage = storage
        self.addresses = addresses
        self.client = client
        self._senders: dict[str, PeerSender] = {}
        self._has_output = Event()
        self.is_write_failing = False

    def recover(self) -> StoredState | None:
        """Return the state that the disk held, or none if it was empty.

        Waits while the disk fails. Raises a `StorageError` if the files are damaged.
        """
        if self.storage is None:
            return None
        stored = self._retry(self.storage.open)
        return None if stored.hard_state.incarnation is None else stored

    def write_first_state(self, initial_voters: list[str]) -> StoredState | None:
        """Make this VM a new member with an incarnation of its own, or a founder of the fleet.

        `initial_voters` are those of the first start, none if this VM joins a fleet. Called once
        for an empty disk; waits while the disk fails.
        """
        storage = self.storage
        if storage is None:
            return None
        if initial_voters:
            hard_state = HardState.for_founder(initial_voters)
        else:
            hard_state = HardState.for_new_member(random.SystemRandom())
        role = "founder" if initial_voters else "new member without a vote"
        log.info("the data folder is empty; this VM starts as a %s", role)
        return self._retry(lambda: storage.write_first_state(hard_state))

    def start(self, stored: StoredState | None) -> None:
        """Start taking part in the control log with the recovered state."""
        gevent.spawn(run_for_ever, self.board, LOOP_NAME, self._run_next_batch)
        hard_state = stored.hard_state if stored else HardState(0, None)
        incarnation = hard_state.incarnation or FOUNDING_INCARNATION
        snapshot = stored.snapshot if stored else Snapshot(0, 0, {})
        entries = stored.entries if stored else []
        recovered = RecoveredLog(snapshot, entries, incarnation, hard_state.initial_voters)
        self.board.post(Topic.LOG_RECOVERED, recovered)
        self.board.post(Topic.CONTROL_STARTED, hard_state)

    def wake(self) -> None:
        """Wake the loop if the outbox has control output; called whenever the board is idle."""
        if not self.board.outbox.control.is_empty():
            self._has_output.set()

    def _run_next_batch(self) -> None:
        self._has_output.wait()
        self._has_output.clear()
        batch = self.board.outbox.take_control_batch()
        if not batch.is_empty():
            self._process(batch)

    def _process(self, batch: ControlBatch) -> None:
        if batch.needs_sync():
            self._write_with_retries(batch)
        for message in batch.messages:
            self._sender_for(message.receiver).send(message)
        if batch.entries:
            last = batch.entries[-1]
            self.board.post(Topic.RECORDS_SYNCED, SyncedRecords(last.index, last.term))

    def _write_with_retries(self, batch: ControlBatch) -> None:
        """Write a batch, and retry until it is synced to the disk.

        No later batch may be written before it: the log on the disk would have a gap.
        """
        if self.storage is None:
            raise StorageError(ErrorCode.STORAGE_FAILED, "This VM has no data folder.")
        while True:
            try:
                gevent.get_hub().threadpool.apply(self.storage.write, (batch,))
            except StorageError as error:
                self._report_failure(error)
                gevent.sleep(WRITE_RETRY_INTERVAL_S)
            except Exception as error:
                self.board.timeline.record_error(LOOP_NAME, error)
                gevent.sleep(WRITE_RETRY_INTERVAL_S)
            else:
                self._report_success()
                return

    def _retry(self, action: Callable[[], StoredState]) -> StoredState:
        """Run an action on the storage until the disk no longer fails it."""
        while True:
            try:
                stored = action()
            except StorageError as error:
                if not isinstance(error.__cause__, OSError):
                    raise
                self._report_failure(error)
                gevent.sleep(WRITE_RETRY_INTERVAL_S)
            else:
                self._report_success()
                return stored

    def _report_failure(self, error: StorageError) -> None:
        """Log the first of several failures in a row."""
        if not self.is_write_failing:
            log.error("%s Retrying. %s", error.message, error.remedy)
        self.is_write_failing = True

    def _report_success(self) -> None:
        if self.is_write_failing:
            log.info("writing to the disk succeeds again")
        self.is_write_failing = False

    def _sender_for(self, name: str) -> PeerSender:
        sender = self._senders.get(name)
        if sender is None:
            sender = PeerSender(name, self.addresses, self.client, self.board)
            self._senders[name] = sender
        return sender
