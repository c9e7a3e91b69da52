"""Election controller: terms, pre-votes and votes of the control log.

Source: Ongaro, "Consensus: Bridging Theory and Practice", 2014, chapters 3, 4.2.3 and 9.6.
"""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.election import Role
from ..blackboard.messages import Message, MessageKind
from ..blackboard.outbox import HardState
from ..blackboard.timeline import EventKind
from ..interfaces import Randomness

CHECK_QUORUM_ELECTION_TIMEOUTS = 1.5  # without a majority for so long, a leader steps down
SIMULTANEOUS_REQUEST_S = 0.02  # some round trips between zones
STARTUP_TIMEOUT_FRACTION = 0.3  # pre-votes depose no leader, so a started VM may ask early


class ElectionController:
    """Owns the election section."""

    __slots__ = ("board", "randomness")

    def __init__(self, board: Board, randomness: Randomness) -> None:
        self.board = board
        self.randomness = randomness

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.CONTROL_STARTED: self.on_started,
            Topic.ELECTION_DUE: self.on_election_due,
            Topic.MESSAGE_RECEIVED: self.on_message,
            Topic.QUORUM_LOST: self.on_quorum_lost,
            Topic.VOTERS_CHANGED: self.on_voters_changed,
            Topic.CONFIGURATION_CHANGED: self.on_configuration,
        }

    def on_started(self, hard_state: HardState) -> None:
        """Restore term and vote from the disk; become a follower if this VM is a voter."""
        election = self.board.election
        election.term = hard_state.term
        election.voted_for = hard_state.voted_for
        self.on_voters_changed(None)
        self._schedule_election_check()

    def on_configuration(self, revision: int) -> None:
        """Become an observer if the configuration shows that the voters removed this VM."""
        self.on_voters_changed(None)

    def on_voters_changed(self, _entry: None) -> None:
        """Become a follower or an observer according to the newest known list of voters."""
        election = self.board.election
        is_voter = self.board.log.is_voter(self._own_name()) and not self._was_removed()
        if is_voter and election.role is Role.OBSERVER:
            election.role = Role.FOLLOWER
        elif not is_voter and election.role in (Role.FOLLOWER, Role.CANDIDATE):
            election.role = Role.OBSERVER

    def on_election_due(self, _entry: None) -> None:
        """Request pre-votes if no leader made contact for an election timeout.

        A vote that this VM gave counts as contact: the candidate may have won.
        """
        election = self.board.election
        last_contact = max(election.last_leader_contact, election.last_vote_at)
        elapsed = self.board.clock.now() - last_contact
        timed_out = elapsed >= self.board.settings.election_timeout_s
        since_pre_vote = self.board.clock.now() - election.pre_vote_given_at
        may_ask = timed_out and since_pre_vote >= SIMULTANEOUS_REQUEST_S
        if election.role in (Role.FOLLOWER, Role.CANDIDATE) and may_ask:
            self._request_pre_votes()
        self._schedule_election_check()

    def on_quorum_lost(self, _entry: None) -> None:
        """Step down, because a majority has not answered for longer than the timeout."""
        if self.board.election.role is Role.LEADER:
            self._become_follower()

    def on_message(self, message: Message) -> None:
        """Adopt higher terms; answer vote requests, and count votes."""
        self.board.election.heard.add(message.sender)
        if not message.is_for(self.board.log):
            return
        if message.kind is MessageKind.PRE_VOTE:
            self._answer_pre_vote(message)
            return
        if message.kind is MessageKind.PRE_VOTE_REPLY:
            self._count_pre_vote(message)
            return
        if message.term > self.board.election.term:
            self._adopt_term(message.term)
        if message.kind is MessageKind.VOTE:
            self._answer_vote(message)
        elif message.kind is MessageKind.VOTE_REPLY:
            self._count_vote(message)
        elif message.kind in (MessageKind.APPEND, MessageKind.SNAPSHOT):
            self._record_leader(message)

    def _was_removed(self) -> bool:
        """Return whether the voters removed this VM in an entry that its own log lacks."""
        configuration, log = self.board.configuration, self.board.log
        is_ahead = configuration.revision > log.commit_index
        is_newer_list = configuration.revision >= log.voters_index
        is_listed = configuration.is_voter(self._own_name(), log.incarnation)
        return is_ahead and is_newer_list and bool(configuration.voters) and not is_listed

    def _own_name(self) -> str:
        return self.board.settings.member

    def _schedule_election_check(self) -> None:
        timeout = self.board.settings.election_timeout_s
        if self.board.election.last_leader_contact == float("-inf"):
            timeout *= STARTUP_TIMEOUT_FRACTION
        due = self.board.clock.now() + self.randomness.uniform(0.3 * timeout, timeout)
        self.board.changes.post_at(due, Topic.ELECTION_DUE)

    def _other_voters(self) -> list[str]:
        return [name for name in self.board.log.voters if name != self._own_name()]

    def _is_majority(self, names: set[str]) -> bool:
        voters = self.board.log.voters
        return len(names & set(voters)) > len(voters) // 2

    def _send(self, message: Message, request: Message | None = None) -> None:
        message.set_incarnations(self.board.log, request)
        self.board.outbox.control.messages.append(message)

    def _request(self, kind: MessageKind, term: int) -> None:
        log = self.board.log
        for name in self._other_voters():
            self._send(
                Message(kind, self._own_name(), name, term, log.last_index(), log.last_term())
            )

    def _request_pre_votes(self) -> None:
        election = self.board.election
        election.role = Role.CANDIDATE
        election.leader = None
        election.pre_votes = {self._own_name()}
        election.pre_votes_asked_at = self.board.clock.now()
        self._request(MessageKind.PRE_VOTE, election.term + 1)
        if self._is_majority(election.pre_votes):
            self._request_votes()

    def _answer_pre_vote(self, message: Message) -> None:
        granted = (
            message.term > self.board.election.term
            and self._is_up_to_date(message)
            and not self._has_leader()
            and not self._goes_before(message)
        )
        if granted:
            self.board.election.pre_vote_given_at = self.board.clock.now()
        reply = Message(
            MessageKind.PRE_VOTE_REPLY,
            self._own_name(),
            message.sender,
            message.term,
            granted=granted,
        )
        self._send(reply, message)

    def _goes_before(self, message: Message) -> bool:
        """Return whether this VM has just asked for pre-votes too and is the first by name.

        If each of two candidates had the other's pre-vote, both would vote for themselves.
        """
        election, log = self.board.election, self.board.log
        elapsed = self.board.clock.now() - election.pre_votes_asked_at
        is_asking = election.role is Role.CANDIDATE and elapsed < SIMULTANEOUS_REQUEST_S
        is_as_recent = (message.log_term, message.index) == (log.last_term(), log.last_index())
        return is_asking and is_as_recent and self._own_name() < message.sender

    def _has_leader(self) -> bool:
        election = self.board.election
        if election.role is Role.LEADER:
            return True
        elapsed = self.board.clock.now() - election.last_leader_contact
        return elapsed < self.board.settings.election_timeout_s

    def _is_up_to_date(self, message: Message) -> bool:
        log = self.board.log
        if message.log_term != log.last_term():
            return message.log_term > log.last_term()
        return message.index >= log.last_index()

    def _count_pre_vote(self, message: Message) -> None:
        election = self.board.election
        expected = election.role is Role.CANDIDATE and message.term == election.term + 1
        if not (expected and message.granted and election.pre_votes):
            return
        if not message.is_from_participant(self.board.log):
            return
        election.pre_votes.add(message.sender)
        if self._is_majority(election.pre_votes):
            self._request_votes()

    def _request_votes(self) -> None:
        election = self.board.election
        election.pre_votes = set()
        election.term += 1
        election.voted_for = self._own_name()
        election.last_vote_at = self.board.clock.now()
        election.votes = {self._own_name()}
        self._persist()
        self._request(MessageKind.VOTE, election.term)
        if self._is_majority(election.votes):
            self._become_leader()

    def _answer_vote(self, message: Message) -> None:
        election = self.board.election
        granted = (
            message.term == election.term
            and election.voted_for in (None, message.sender)
            and self._is_up_to_date(message)
        )
        if granted and election.voted_for is None:
            election.voted_for = message.sender
            election.last_vote_at = self.board.clock.now()
            self._persist()
        reply = Message(
            MessageKind.VOTE_REPLY, self._own_name(), message.sender, election.term, granted=granted
        )
        self._send(reply, message)

    def _count_vote(self, message: Message) -> None:
        election = self.board.election
        expected = election.role is Role.CANDIDATE and message.term == election.term
        if not (expected and message.granted and message.is_from_participant(self.board.log)):
            return
        election.votes.add(message.sender)
        if self._is_majority(election.votes):
            self._become_leader()

    def _become_leader(self) -> None:
        election = self.board.election
        election.role = Role.LEADER
        election.leader = self._own_name()
        self.board.timeline.record(
            EventKind.LEADER_ELECTED, self._own_name(), "elected by a majority", term=election.term
        )
        self.board.changes.post(Topic.LEADERSHIP_CHANGED)

    def _record_leader(self, message: Message) -> None:
        election = self.board.election
        if message.term < election.term:
            return
        if election.role is Role.CANDIDATE:
            election.role = Role.FOLLOWER
        if election.leader != message.sender:
            election.leader = message.sender
            self.board.changes.post(Topic.LEADER_FOUND, message.sender)
        election.last_leader_contact = self.board.clock.now()

    def _adopt_term(self, term: int) -> None:
        election = self.board.election
        election.term = term
        election.voted_for = None
        self._persist()
        self._become_follower()

    def _become_follower(self) -> None:
        election = self.board.election
        was_leader = election.role is Role.LEADER
        if election.role is not Role.OBSERVER:
            election.role = Role.FOLLOWER
        election.leader = None
        election.pre_votes = set()
        election.votes = set()
        if was_leader:
            self.board.timeline.record(
                EventKind.LEADER_LOST, self._own_name(), "a higher term or the loss of the quorum"
            )
            self.board.changes.post(Topic.LEADERSHIP_CHANGED)
        self.on_voters_changed(None)

    def _persist(self) -> None:
        election = self.board.election
        log = self.board.log
        self.board.outbox.control.hard_state = HardState(
            election.term, election.voted_for, log.incarnation, log.initial_voters
        )
