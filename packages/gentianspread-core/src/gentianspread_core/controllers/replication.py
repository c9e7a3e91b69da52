"""Replication controller: replication, disk sync, commit and snapshots of the control log.

Source: Ongaro, "Consensus: Bridging Theory and Practice", 2014, chapters 3 to 6.
"""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.changes import Timer
from ..blackboard.commands import Command, CommandKind
from ..blackboard.configuration import to_snapshot
from ..blackboard.election import Role
from ..blackboard.log import LogEntry, Peer, RecoveredLog, Snapshot, SyncedRecords
from ..blackboard.messages import Message, MessageKind, Proposal
from .configuration import AppliedCommand
from .election import CHECK_QUORUM_ELECTION_TIMEOUTS
from .initialvoters import find_initial_voters, report_unknown_voters

MAX_ENTRIES_PER_MESSAGE = 64
MAX_ENTRY_BYTES_PER_MESSAGE = 2 * 1024 * 1024  # of memory
RESEND_TIMEOUT_S = 0.5  # entries and snapshots of 100 KB are answered within it


class ReplicationController:
    """Owns the control log section."""

    __slots__ = ("board", "_proposals", "_first_index_of_term", "_heartbeat_timer")

    def __init__(self, board: Board) -> None:
        self.board = board
        self._proposals: dict[int, Proposal] = {}
        self._first_index_of_term = 0
        self._heartbeat_timer: Timer | None = None

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.LOG_RECOVERED: self.on_recovered,
            Topic.MESSAGE_RECEIVED: self.on_message,
            Topic.LEADERSHIP_CHANGED: self.on_leadership,
            Topic.HEARTBEAT_DUE: self.on_heartbeat,
            Topic.COMMAND_PROPOSED: self.on_proposed,
            Topic.RECORDS_SYNCED: self.on_synced,
            Topic.COMMAND_APPLIED: self.on_applied,
            Topic.SNAPSHOT_DUE: self.on_snapshot_due,
        }

    def on_recovered(self, recovered: RecoveredLog) -> None:
        """Restore the log from the disk; only the snapshot in it counts as committed."""
        log = self.board.log
        log.incarnation = recovered.incarnation
        log.snapshot = recovered.snapshot
        log.entries = recovered.entries
        log.synced_index = log.last_index()
        log.recovered_index = log.last_index()
        log.commit_index = recovered.snapshot.index
        log.initial_voters = find_initial_voters(self.board, recovered)
        self._load_voters()
        report_unknown_voters(self.board)
        if recovered.snapshot.index:
            self.board.changes.post(Topic.SNAPSHOT_INSTALLED, recovered.snapshot)

    def on_message(self, message: Message) -> None:
        """Handle messages of the current term; reject appends and snapshots of older terms."""
        if not message.is_for(self.board.log):
            return
        if message.term != self.board.election.term:
            self._reject_stale(message)
        elif message.kind is MessageKind.APPEND:
            self._accept_append(message)
        elif message.kind is MessageKind.SNAPSHOT:
            self._accept_snapshot(message)
        elif message.kind is MessageKind.APPEND_REPLY and self._is_leader():
            self._handle_reply(message)

    def on_leadership(self, _entry: None) -> None:
        """Append an entry of the new leader's term; abandon the proposals on losing it."""
        log = self.board.log
        if not self._is_leader():
            log.confirmed_at = float("-inf")
            self._abandon_proposals()
            return
        log.peers = {name: self._new_peer(name) for name in self._peer_names()}
        self._first_index_of_term = log.last_index() + 1
        self._append(Command(CommandKind.NO_OP, {}))
        self.on_heartbeat(None)

    def on_heartbeat(self, _entry: None) -> None:
        """Send to every peer; report the quorum as lost if a majority does not answer."""
        if not self._is_leader():
            return
        self._update_peers()
        for peer in self.board.log.peers.values():
            self._send_to(peer)
        self._check_quorum()
        due = self.board.clock.now() + self.board.settings.heartbeat_interval_s
        if self._heartbeat_timer is not None:
            self._heartbeat_timer.cancel()
        self._heartbeat_timer = self.board.changes.post_at(due, Topic.HEARTBEAT_DUE)

    def on_proposed(self, proposal: Proposal) -> None:
        """Append a command if this VM is the leader."""
        if not self._is_leader() or self._conflicts_with_voter_change(proposal.command):
            proposal.done(None)
            return
        entry = self._append(proposal.command)
        proposal.index, proposal.term = entry.index, entry.term
        self._proposals[entry.index] = proposal
        for peer in self.board.log.peers.values():
            if not peer.in_flight:
                self._send_to(peer)

    def on_synced(self, synced: SyncedRecords) -> None:
        """Count this VM's own copy of an entry once its disk has it."""
        log = self.board.log
        if log.term_at(synced.index) == synced.term:
            log.synced_index = max(log.synced_index, synced.index)
        if self._is_leader():
            self._advance_commit()

    def on_applied(self, applied: AppliedCommand) -> None:
        """Complete a proposal with its outcome, unknown if another entry took its index."""
        proposal = self._proposals.pop(applied.entry.index, None)
        if proposal is None:
            return
        if proposal.term == applied.entry.term:
            proposal.outcome = applied.outcome
            proposal.done(applied.outcome)
        else:
            proposal.done(None)

    def on_snapshot_due(self, _entry: None) -> None:
        """Compact the log: replace the applied entries with a snapshot of the configuration."""
        log = self.board.log
        index = self.board.configuration.revision
        term = log.term_at(index)
        if term is None or index != log.commit_index or index > log.synced_index:
            return
        kept = log.entries_from(index + 1, len(log.entries))
        log.snapshot = Snapshot(index, term, to_snapshot(self.board.configuration))
        log.entries = kept
        self.board.outbox.control.snapshot = log.snapshot

    def _is_leader(self) -> bool:
        return self.board.election.role is Role.LEADER

    def _own_name(self) -> str:
        return self.board.settings.member

    def _peer_names(self) -> list[str]:
        log = self.board.log
        return [name for name in [*log.voters, *log.learners] if name != self._own_name()]

    def _new_peer(self, name: str) -> Peer:
        log = self.board.log
        return Peer(name, log.incarnation_of(name), log.last_index() + 1, self.board.clock.now())

    def _update_peers(self) -> None:
        log = self.board.log
        names = self._peer_names()
        for name in names:
            peer = log.peers.get(name)
            if peer is None or peer.incarnation != log.incarnation_of(name):
                log.peers[name] = self._new_peer(name)
        for name in list(log.peers):
            if name not in names:
                del log.peers[name]

    def _append(self, command: Command) -> LogEntry:
        log = self.board.log
        entry = LogEntry(log.last_index() + 1, self.board.election.term, command)
        log.entries.append(entry)
        self.board.outbox.control.entries.append(entry)
        if command.kind is CommandKind.CHANGE_VOTERS:
            self._load_voters()
            self._update_peers()
        return entry

    def _conflicts_with_voter_change(self, command: Command) -> bool:
        if command.kind is not CommandKind.CHANGE_VOTERS:
            return False
        log = self.board.log
        pending = log.entries_from(log.commit_index + 1, len(log.entries))
        is_pending = any(entry.command.kind is CommandKind.CHANGE_VOTERS for entry in pending)
        # A leader first commits an entry of its term (Ongaro, raft-dev, 2015).
        return is_pending or log.commit_index < self._first_index_of_term

    def _load_voters(self) -> None:
        """Load the voters from the newest entry that changes them, committed or not."""
        self.board.log.load_voters(self.board.settings.initial_voters)
        self.board.changes.post(Topic.VOTERS_CHANGED)

    def _send(self, message: Message, request: Message | None = None) -> None:
        message.set_incarnations(self.board.log, request)
        self.board.outbox.control.messages.append(message)

    def _send_to(self, peer: Peer) -> None:
        log = self.board.log
        now = self.board.clock.now()
        can_send = not peer.in_flight or now - peer.entries_sent_at >= RESEND_TIMEOUT_S
        if peer.next_index <= log.snapshot.index and can_send:
            self._send_snapshot(peer, now)
            return
        previous = max(peer.next_index - 1, log.snapshot.index)
        entries = []
        if can_send:
            entries = log.batch_from(
                previous + 1, MAX_ENTRIES_PER_MESSAGE, MAX_ENTRY_BYTES_PER_MESSAGE
            )
        message = Message(
            MessageKind.APPEND,
            self._own_name(),
            peer.name,
            self.board.election.term,
            index=previous,
            log_term=log.term_at(previous) or 0,
            entries=entries,
            commit=log.commit_index,
            sent_at=now,
        )
        if entries:
            peer.in_flight = True
            peer.entries_sent_at = now
        self._send(message)

    def _send_snapshot(self, peer: Peer, now: float) -> None:
        snapshot = self.board.log.snapshot
        peer.in_flight = True
        peer.entries_sent_at = now
        message = Message(
            MessageKind.SNAPSHOT,
            self._own_name(),
            peer.name,
            self.board.election.term,
            index=snapshot.index,
            log_term=snapshot.term,
            sent_at=now,
            state=snapshot.state,
        )
        self._send(message)

    def _reject_stale(self, message: Message) -> None:
        if message.kind in (MessageKind.APPEND, MessageKind.SNAPSHOT):
            self._reply(message, granted=False, index=0)

    def _reply(self, message: Message, granted: bool, index: int) -> None:
        reply = Message(
            MessageKind.APPEND_REPLY,
            self._own_name(),
            message.sender,
            self.board.election.term,
            index=index,
            granted=granted,
            sent_at=message.sent_at,
        )
        self._send(reply, message)

    def _accept_append(self, message: Message) -> None:
        log = self.board.log
        held_term = log.term_at(message.index)
        if message.index > log.snapshot.index and held_term != message.log_term:
            self._reply(message, granted=False, index=min(message.index - 1, log.last_index()))
            return
        for entry in message.entries:
            self._store_entry(entry)
        match = message.index + len(message.entries)
        self._reply(message, granted=True, index=max(match, log.snapshot.index))
        self._commit_to(min(message.commit, max(match, log.snapshot.index)))

    def _store_entry(self, entry: LogEntry) -> None:
        log = self.board.log
        if entry.index <= log.snapshot.index:
            return
        existing = log.entry_at(entry.index)
        if existing is not None and existing.term == entry.term:
            return
        if existing is not None:
            log.truncate_from(entry.index)
            self._load_voters()
        log.entries.append(entry)
        self.board.outbox.control.entries.append(entry)
        if entry.command.kind is CommandKind.CHANGE_VOTERS:
            self._load_voters()

    def _accept_snapshot(self, message: Message) -> None:
        log = self.board.log
        if message.index > log.commit_index:
            snapshot = Snapshot(message.index, message.log_term, message.state or {})
            if log.term_at(message.index) != message.log_term:
                log.entries = []
            else:
                log.entries = log.entries_from(message.index + 1, len(log.entries))
            log.snapshot = snapshot
            log.synced_index = log.last_index()
            log.commit_index = snapshot.index
            self.board.outbox.control.snapshot = snapshot
            self._load_voters()
            self.board.changes.post(Topic.SNAPSHOT_INSTALLED, snapshot)
        self._reply(message, granted=True, index=max(message.index, log.commit_index))

    def _handle_reply(self, message: Message) -> None:
        log = self.board.log
        peer = log.peers.get(message.sender)
        if peer is None or peer.incarnation != message.sender_incarnation:
            return
        peer.last_response_at = self.board.clock.now()
        peer.acked_sent_at = max(peer.acked_sent_at, message.sent_at)
        if not message.granted and self._is_snapshot_in_flight(peer):
            return
        if not message.granted or message.index >= peer.next_index:
            peer.in_flight = False
        if not message.granted:
            peer.next_index = max(1, min(message.index + 1, peer.next_index - 1))
            self._send_to(peer)
            return
        peer.match_index = max(peer.match_index, message.index)
        peer.next_index = max(peer.next_index, peer.match_index + 1)
        self._advance_commit()
        if peer.next_index <= log.last_index():
            self._send_to(peer)

    def _is_snapshot_in_flight(self, peer: Peer) -> bool:
        """Return whether a snapshot is under way, so that a rejection carries nothing new."""
        is_recent = self.board.clock.now() - peer.entries_sent_at < RESEND_TIMEOUT_S
        is_behind = peer.next_index <= self.board.log.snapshot.index
        return peer.in_flight and is_recent and is_behind

    def _advance_commit(self) -> None:
        log = self.board.log
        match_indexes = [self._match_index(name) for name in log.voters]
        match_indexes.sort(reverse=True)
        candidate = match_indexes[len(match_indexes) // 2] if match_indexes else 0
        if candidate > log.commit_index and log.term_at(candidate) == self.board.election.term:
            self._commit_to(candidate)
            self._send_commit_index()
        self._update_confirmed_at()

    def _match_index(self, name: str) -> int:
        log = self.board.log
        if name == self._own_name():
            return log.synced_index
        peer = log.peers.get(name)
        return peer.match_index if peer else 0

    def _send_commit_index(self) -> None:
        for peer in self.board.log.peers.values():
            if not peer.in_flight and peer.next_index > self.board.log.last_index():
                self._send_to(peer)

    def _update_confirmed_at(self) -> None:
        """Update the newest time at which a majority still followed this leader."""
        log = self.board.log
        if log.commit_index < self._first_index_of_term:
            return
        times = [self._confirmed_time(name) for name in log.voters]
        times.sort(reverse=True)
        confirmed = times[len(times) // 2] if times else float("-inf")
        if confirmed > log.confirmed_at:
            log.confirmed_at = confirmed
            self.board.changes.post(Topic.FRESHNESS_CHANGED, confirmed)

    def _confirmed_time(self, name: str) -> float:
        if name == self._own_name():
            return self.board.clock.now()
        peer = self.board.log.peers.get(name)
        return peer.acked_sent_at if peer else float("-inf")

    def _check_quorum(self) -> None:
        log = self.board.log
        now = self.board.clock.now()
        self._update_confirmed_at()
        timeout_s = CHECK_QUORUM_ELECTION_TIMEOUTS * self.board.settings.election_timeout_s
        responsive = sum(
            1
            for name in log.voters
            if name == self._own_name() or now - log.peers[name].last_response_at <= timeout_s
        )
        if responsive <= len(log.voters) // 2:
            self.board.changes.post(Topic.QUORUM_LOST)

    def _commit_to(self, index: int) -> None:
        log = self.board.log
        if index <= log.commit_index:
            return
        entries = log.entries_from(log.commit_index + 1, index - log.commit_index)
        log.commit_index = index
        self.board.changes.post(Topic.ENTRIES_COMMITTED, entries)
        settings = self.board.settings
        if (
            len(log.entries) > settings.snapshot_threshold_entries
            or log.size() > settings.snapshot_threshold_bytes
        ):
            self.board.changes.post(Topic.SNAPSHOT_DUE)

    def _abandon_proposals(self) -> None:
        proposals, self._proposals = list(self._proposals.values()), {}
        for proposal in proposals:
            proposal.done(None)
