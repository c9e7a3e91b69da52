"""Control loop: syncs the control log's records, and only then lets its messages leave."""

from __future__ import annotations

import logging

import gevent
from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.log import Snapshot
from gentianspread_core.blackboard.outbox import ControlBatch, HardState
from gentianspread_core.controllers.replication import RecoveredLog, SyncedRecords
from gentianspread_core.errors import StorageError
from gevent.event import Event

from .peers import Addresses, PeerClient, PeerSender
from .storage import ControlStorage, StoredState

log = logging.getLogger(__name__)


class ControlLoop:
    """Carries out the control batches of one VM's board.

    After a failed write the VM takes no further part in the control log; it goes on as an entry.
    """

    __slots__ = ("board", "storage", "addresses", "client", "_senders", "_event", "failed")

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
        self.failed = False

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
        self.board.post(Topic.STARTED, hard_state)

    def wake(self) -> None:
        """Look at the outbox again; called after every settle."""
        if not self.board.outbox.control.is_empty():
            self._event.set()

    def _run(self) -> None:
        while True:
            self._event.wait()
            self._event.clear()
            batch = self.board.outbox.take_control()
            if not batch.is_empty() and not self.failed:
                self._carry_out(batch)

    def _carry_out(self, batch: ControlBatch) -> None:
        if batch.needs_sync() and not self._sync(batch):
            return
        for message in batch.messages:
            self._sender(message.receiver).send(message)
        if batch.entries:
            last = batch.entries[-1]
            self.board.post(Topic.RECORDS_SYNCED, SyncedRecords(last.index, last.term))

    def _sync(self, batch: ControlBatch) -> bool:
        if self.storage is None:
            return False
        try:
            gevent.get_hub().threadpool.apply(self.storage.write, (batch,))
        except StorageError as error:
            self.failed = True
            log.error("%s %s", error.message, error.remedy)
            return False
        return True

    def _sender(self, name: str) -> PeerSender:
        sender = self._senders.get(name)
        if sender is None:
            sender = PeerSender(name, self.addresses, self.client, self.board)
            self._senders[name] = sender
        return sender
