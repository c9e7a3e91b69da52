"""The routes by which VMs reach each other: control messages, polls, tokens and proposals."""

from __future__ import annotations

from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.messages import Message
from gentianspread_core.blackboard.rate_limits import TokenRequest

from .distribution import POLL_PATH, Distribution
from .front import HttpFrontend
from .intents import TOKENS_PATH
from .peers import MESSAGES_PATH, encode_body
from .proposals import PROPOSE_PATH, Proposer
from .wsgi import decode_json_object, encode_json

PEER = "peer"
LONGEST_TOKEN_WAIT_S = 10.0  # seconds; stands for an allocator that has no part of the rate


def add_peer_routes(
    front: HttpFrontend, board: Board, distribution: Distribution, proposer: Proposer
) -> None:
    """Serve the other VMs' messages on a front."""
    routes = PeerRoutes(board, distribution, proposer)
    front.add(MESSAGES_PATH, routes.take_messages, PEER)
    front.add(POLL_PATH, routes.answer_poll, PEER)
    front.add(TOKENS_PATH, routes.answer_tokens, PEER)
    front.add(PROPOSE_PATH, routes.answer_proposal, PEER)


class PeerRoutes:
    """Answers the other VMs."""

    __slots__ = ("board", "distribution", "proposer")

    def __init__(self, board: Board, distribution: Distribution, proposer: Proposer) -> None:
        self.board = board
        self.distribution = distribution
        self.proposer = proposer

    def take_messages(self, body: bytes) -> bytes:
        """Take control messages."""
        message = decode_json_object(body)
        self.board.timeline.observe(*message["stamp"])
        for record in message["messages"]:
            self.board.post(Topic.MESSAGE_RECEIVED, Message.from_record(record))
        return b"{}"

    def answer_poll(self, body: bytes) -> bytes:
        """Answer a poll for the configuration."""
        return encode_body(self.distribution.answer_poll(decode_json_object(body)))

    def answer_tokens(self, body: bytes) -> bytes:
        """Answer an ask for tokens of a rate."""
        return answer_tokens(self.board, body)

    def answer_proposal(self, body: bytes) -> bytes:
        """Answer another VM's proposal."""
        return encode_json(self.proposer.answer(decode_json_object(body)))


def answer_tokens(board: Board, body: bytes) -> bytes:
    """Answer an ask for tokens of a rate."""
    message = decode_json_object(body)
    settings = board.settings
    ask = TokenRequest(
        message["workspace"],
        message["zone"],
        settings.member,
        message["wanted"],
        board.clock.now(),
        settings.address if message.get("pooled") else "",
    )
    if message["zone"] == settings.zone:
        board.post(Topic.TOKENS_REQUESTED, ask)
    return encode_json(
        {
            "granted": ask.granted,
            "answered": ask.answered,
            "next_token_s": min(ask.next_token_delay, LONGEST_TOKEN_WAIT_S),
        }
    )
