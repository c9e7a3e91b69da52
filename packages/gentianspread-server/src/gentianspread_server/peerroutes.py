"""HTTP routes for other VMs: control messages, polls, token requests and proposals."""

from __future__ import annotations

from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.messages import Message
from gentianspread_core.blackboard.rate_limits import TokenRequest

from .distribution import POLL_PATH, Distribution
from .endpoint_tokens import answer_endpoint_request
from .front import HttpFrontend
from .intents import TOKENS_PATH
from .peers import MESSAGES_PATH
from .proposals import PROPOSE_PATH, Proposer
from .wsgi import decode_json_object, encode_json

PEER_CREDENTIAL = "peer"
MAX_TOKEN_WAIT_S = 10.0  # replaces the infinite wait of an allocator without a share of the rate


def add_peer_routes(
    front: HttpFrontend, board: Board, distribution: Distribution, proposer: Proposer
) -> None:
    """Add the routes for other VMs to an HTTP front end."""
    routes = PeerRoutes(board, distribution, proposer)
    front.add(MESSAGES_PATH, routes.receive_messages, PEER_CREDENTIAL)
    front.add(POLL_PATH, routes.answer_poll, PEER_CREDENTIAL)
    front.add(TOKENS_PATH, routes.answer_tokens, PEER_CREDENTIAL)
    front.add(PROPOSE_PATH, routes.answer_proposal, PEER_CREDENTIAL)


class PeerRoutes:
    """Handles the requests of other VMs."""

    __slots__ = ("board", "distribution", "proposer")

    def __init__(self, board: Board, distribution: Distribution, proposer: Proposer) -> None:
        self.board = board
        self.distribution = distribution
        self.proposer = proposer

    def receive_messages(self, body: bytes) -> bytes:
        """Post the control messages that another VM sent, except those that cannot be read."""
        message = decode_json_object(body)
        self.board.timeline.observe(*message["stamp"])
        for record in message["messages"]:
            try:
                received = Message.from_record(record)
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                self.board.timeline.record_error("control message", error)
                continue
            self.board.post(Topic.MESSAGE_RECEIVED, received)
        return b"{}"

    def answer_poll(self, body: bytes) -> bytes:
        """Answer a poll for the configuration."""
        return encode_json(self.distribution.answer_poll(decode_json_object(body)))

    def answer_tokens(self, body: bytes) -> bytes:
        """Answer a request for tokens of a workspace's rate limit."""
        return answer_tokens(self.board, body)

    def answer_proposal(self, body: bytes) -> bytes:
        """Answer another VM's proposal."""
        return encode_json(self.proposer.answer(decode_json_object(body)))


def answer_tokens(board: Board, body: bytes) -> bytes:
    """Answer a request for tokens of a workspace's rate limit, or of a cold endpoint."""
    message = decode_json_object(body)
    if message.get("endpoint"):
        return encode_json(answer_endpoint_request(board, message))
    settings = board.settings
    token_request = TokenRequest(
        message["workspace"],
        message["zone"],
        settings.member,
        message["wanted"],
        board.clock.now(),
        settings.address if message.get("pooled") else "",
    )
    if message["zone"] == settings.zone:
        board.post(Topic.TOKENS_REQUESTED, token_request)
    return encode_json(
        {
            "granted": token_request.granted,
            "answered": token_request.answered,
            "next_token_s": min(token_request.next_token_delay, MAX_TOKEN_WAIT_S),
        }
    )
