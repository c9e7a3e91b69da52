"""Control loop: syncs the control log's records, and only then lets its messages leave."""

from __future__ import annotations

import logging

import gevent
from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.log import Snapshot
from gentianspread_core.blackboard.outbox import ControlBatch, HardState
from gentianspread_core.controllers.replication import RecoveredLog, SyncedRecords
from gentianspread_core.errors import ErrorCode, StorageError
from gevent.event import Event

from .peers import Addresses, PeerClient, PeerSender
from .storage import ControlStorage, StoredState

log = logging.getLogger(__name__)

WRITE_PAUSE_S = 0.3  # seconds before a failed write is repeated


class ControlLoop:
    """Carries out the control batches of one VM's board.

    A write that fails is repeated until the disk takes it; meanwhile the VM sends no message, so it
    takes no part in the control log.
    """

    __slots__ = ("board", "storage", "addresses", "client", "_senders", "_event", "failing")

    def __init__(
        self,
        board: Board,
        storage: ControlStorage | None,
        addresses: Addresses,
        client: PeerClient,
    ) -> None:
        self.board = board
        self.storage = storage
        self.addresses = addresses
        self.client = client
        self._senders: dict[str, PeerSender] = {}
        self._event = Event()
        self.failing = False

    def recover(self) -> StoredState | None:
        """Return what the disk held, or none if it held nothing."""
        if self.storage is None:
            return None
        stored = self.storage.open()
        is_blank = not (stored.hard_state.term or stored.snapshot.index or stored.entries)
        return None if is_blank else stored

    def start(self, stored: StoredState | None) -> None:
        """Begin to take part in the control log with what the disk held."""
        gevent.spawn(self._run)
        hard_state = stored.hard_state if stored else HardState(0, None)
        snapshot = stored.snapshot if stored else Snapshot(0, 0, {})
        entries = stored.entries if stored else []
        self.board.post(Topic.LOG_RECOVERED, RecoveredLog(snapshot, entries))
        self.board.post(Topic.CONTROL_STARTED, hard_state)

    def wake(self) -> None:
        """Look at the outbox again; called after every settle."""
        if not self.board.outbox.control.is_empty():
            self._event.set()

    def _run(self) -> None:
        while True:
            self._event.wait()
            self._event.clear()
            batch = self.board.outbox.take_control_batch()
            if not batch.is_empty():
                self._carry_out(batch)

    def _carry_out(self, batch: ControlBatch) -> None:
        if batch.needs_sync():
            self._sync(batch)
        for message in batch.messages:
            self._sender(message.receiver).send(message)
        if batch.entries:
            last = batch.entries[-1]
            self.board.post(Topic.RECORDS_SYNCED, SyncedRecords(last.index, last.term))

    def _sync(self, batch: ControlBatch) -> None:
        """Return once a batch is on the disk."""
        if self.storage is None:
            raise StorageError(ErrorCode.STORAGE_FAILED, "This VM has no data folder.")
        while True:
            try:
                gevent.get_hub().threadpool.apply(self.storage.write, (batch,))
            except StorageError as error:
                if not self.failing:
                    log.error("%s Trying again. %s", error.message, error.remedy)
                self.failing = True
                gevent.sleep(WRITE_PAUSE_S)
            else:
                if self.failing:
                    log.info("the disk takes writes again")
                self.failing = False
                return

    def _sender(self, name: str) -> PeerSender:
        sender = self._senders.get(name)
        if sender is None:
            sender = PeerSender(name, self.addresses, self.client, self.board)
            self._senders[name] = sender
        return sender
