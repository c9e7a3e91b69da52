"""Carries out the intents that controllers post; those that block run in a greenlet each."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.outbox import (
    ConnectionClose,
    EndpointCommand,
    EndpointProbe,
    PoolFlush,
    ReplicaWatch,
    TransactionRelease,
)
from gentianspread_core.blackboard.rate_limits import TokenRequest
from gentianspread_core.blackboard.warmups import EndpointTokenRequest
from gevent.pool import Pool

from .connections import RequestNotSentError, ResponseLostError
from .endpoint_tokens import encode_endpoint_request, load_endpoint_response
from .peers import PeerAddresses, PeerClient

if TYPE_CHECKING:
    from .driver import EndpointDriver

log = logging.getLogger(__name__)

TOKENS_PATH = "/peer/tokens"
TOKENS_TIMEOUT_S = 0.12  # a response takes 2 ms within a zone and 5 ms between zones
MAX_WORKERS = 2000


class IntentRunner:
    """Dispatches each posted intent to the adapter that carries it out."""

    __slots__ = ("board", "driver", "addresses", "client", "_workers", "_handlers")

    def __init__(
        self, board: Board, driver: EndpointDriver, addresses: PeerAddresses, client: PeerClient
    ) -> None:
        self.board = board
        self.driver = driver
        self.addresses = addresses
        self.client = client
        self._workers = Pool(MAX_WORKERS)
        self._handlers: dict[type, Any] = {
            EndpointProbe: driver.probe,
            ReplicaWatch: driver.watch,
            EndpointCommand: driver.send_command,
            TokenRequest: self._request_tokens,
            EndpointTokenRequest: self._request_endpoint_tokens,
        }
        board.changes.subscribe(Topic.INTENT_POSTED, self._on_intent_posted)

    def _on_intent_posted(self, intent: object) -> None:
        if isinstance(intent, TransactionRelease):
            self.driver.release(intent)
        elif isinstance(intent, PoolFlush):
            self.driver.flush(intent)
        elif isinstance(intent, ConnectionClose):
            self.driver.close(intent)
        else:
            self._workers.spawn(self._carry_out, intent)

    def _carry_out(self, intent: object) -> None:
        try:
            self._handlers[type(intent)](intent)
        except Exception as error:
            self.board.timeline.record_error(type(intent).__name__, error)

    def _request_tokens(self, token_request: TokenRequest) -> None:
        address = token_request.address or self.addresses.resolve(token_request.member)
        if address is not None:
            message = {
                "workspace": token_request.workspace,
                "zone": token_request.zone,
                "wanted": token_request.wanted,
                "pooled": token_request.is_for_backup(),
            }
            try:
                response = self.client.request(address, TOKENS_PATH, message, TOKENS_TIMEOUT_S)
                token_request.granted = int(response["granted"])
                token_request.answered = bool(response["answered"])
                token_request.next_token_delay = float(response["next_token_s"])
                token_request.reached = True
            except (RequestNotSentError, ResponseLostError) as error:
                log.warning("token request to %s failed: %s", token_request.member, error)
                token_request.answered = False
            except (KeyError, TypeError, ValueError) as error:
                self.board.timeline.record_error("token request", error)
                token_request.reached = token_request.answered = False
                token_request.granted = 0
        self.board.post(Topic.TOKENS_RECEIVED, token_request)

    def _request_endpoint_tokens(self, token_request: EndpointTokenRequest) -> None:
        address = self.addresses.resolve(token_request.member)
        if address is not None:
            try:
                message = encode_endpoint_request(token_request)
                response = self.client.request(address, TOKENS_PATH, message, TOKENS_TIMEOUT_S)
                load_endpoint_response(token_request, response)
            except (RequestNotSentError, ResponseLostError) as error:
                log.warning("token request to %s failed: %s", token_request.member, error)
            except (KeyError, TypeError, ValueError) as error:
                self.board.timeline.record_error("endpoint token request", error)
        self.board.post(Topic.ENDPOINT_TOKENS_RECEIVED, token_request)
