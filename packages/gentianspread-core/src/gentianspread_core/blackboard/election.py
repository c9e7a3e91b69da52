"""Section of the control log's leader election; owned by the election controller."""

from __future__ import annotations

from enum import Enum


class Role(Enum):
    """A VM's role in the control log."""

    OBSERVER = "observer"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Election:
    """Term, vote and leader; times in seconds of the VM's clock.

    `last_leader_contact` and `last_vote_at` are minus infinity until a leader made contact, or this
    VM gave a vote, since its start. `heard` names the VMs that have sent a control message since
    then.
    """

    __slots__ = (
        "term",
        "voted_for",
        "role",
        "leader",
        "last_leader_contact",
        "last_vote_at",
        "pre_votes_asked_at",
        "pre_vote_given_at",
        "pre_votes",
        "votes",
        "deadline",
        "heard",
    )

    def __init__(self) -> None:
        self.term = 0
        self.voted_for: str | None = None
        self.role = Role.OBSERVER
        self.leader: str | None = None
        self.last_leader_contact = float("-inf")
        self.last_vote_at = float("-inf")
        self.pre_votes_asked_at = float("-inf")
        self.pre_vote_given_at = float("-inf")
        self.pre_votes: set[str] = set()
        self.votes: set[str] = set()
        self.deadline = 0.0
        self.heard: set[str] = set()
