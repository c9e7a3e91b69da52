"""Messages between VMs about the tokens of cold endpoints."""

from __future__ import annotations

from typing import Any

from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.warmups import EndpointTokenRequest

MAX_TOKEN_WAIT_S = 10.0  # replaces the infinite wait for an endpoint that may have no requests


def encode_endpoint_request(token_request: EndpointTokenRequest) -> dict[str, Any]:
    """Return the message for a request.

    An allocator of an older build reads it as a request for tokens of a workspace that does not
    exist, and does not answer it.
    """
    return {
        "workspace": "",
        "zone": token_request.zone,
        "wanted": token_request.wanted,
        "endpoint": token_request.endpoint,
    }


def load_endpoint_response(token_request: EndpointTokenRequest, response: dict[str, Any]) -> None:
    """Fill in a request from its response; one that cannot be read leaves it unanswered."""
    granted, answered = int(response["granted"]), bool(response["answered"])
    token_request.next_token_delay = float(response["next_token_s"])
    token_request.granted, token_request.answered = granted, answered


def answer_endpoint_request(board: Board, message: dict[str, Any]) -> dict[str, Any]:
    """Return the response to another VM's request."""
    token_request = EndpointTokenRequest(
        message["endpoint"],
        message["zone"],
        board.settings.member,
        message["wanted"],
        board.clock.now(),
    )
    board.post(Topic.ENDPOINT_TOKENS_REQUESTED, token_request)
    return {
        "granted": token_request.granted,
        "answered": token_request.answered,
        "next_token_s": min(token_request.next_token_delay, MAX_TOKEN_WAIT_S),
    }
