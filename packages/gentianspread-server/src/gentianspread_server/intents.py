"""Carries out the intents that controllers post, each in a greenlet of its own."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.outbox import (
    ConnectionClose,
    EndpointOrder,
    PoolFlush,
    ProbeOrder,
    TransactionRelease,
    WatchOrder,
)
from gentianspread_core.blackboard.shares import TokenAsk
from gevent.pool import Pool

from .connections import RequestNotSentError, ResponseLostError
from .peers import Addresses, PeerClient

if TYPE_CHECKING:
    from .driver import EndpointDriver

log = logging.getLogger(__name__)

TOKENS_PATH = "/peer/tokens"
TOKENS_LIMIT_S = 0.12  # seconds; an answer takes 2 ms within a zone and 5 ms between zones
MOST_WORKERS = 2000


class IntentRunner:
    """Hands each posted intent to the adapter that can carry it out."""

    __slots__ = ("board", "driver", "addresses", "client", "_workers", "_handlers")

    def __init__(
        self, board: Board, driver: EndpointDriver, addresses: Addresses, client: PeerClient
    ) -> None:
        self.board = board
        self.driver = driver
        self.addresses = addresses
        self.client = client
        self._workers = Pool(MOST_WORKERS)
        self._handlers: dict[type, Any] = {
            ProbeOrder: driver.probe,
            WatchOrder: driver.watch,
            EndpointOrder: driver.order,
            TokenAsk: self._ask_tokens,
        }
        board.changes.subscribe(Topic.INTENT_POSTED, self._on_posted)

    def _on_posted(self, intent: object) -> None:
        if isinstance(intent, TransactionRelease):
            self.driver.release(intent)
        elif isinstance(intent, PoolFlush):
            self.driver.flush(intent)
        elif isinstance(intent, ConnectionClose):
            self.driver.close(intent)
        else:
            self._workers.spawn(self._handlers[type(intent)], intent)

    def _ask_tokens(self, ask: TokenAsk) -> None:
        address = ask.address or self.addresses.of(ask.member)
        if address is not None:
            message = {
                "workspace": ask.workspace,
                "zone": ask.zone,
                "wanted": ask.wanted,
                "pooled": ask.is_pooled(),
            }
            try:
                answer = self.client.ask(address, TOKENS_PATH, message, TOKENS_LIMIT_S)
                ask.granted = answer["granted"]
                ask.answered = answer["answered"]
                ask.next_token = answer["next_token_s"]
            except (RequestNotSentError, ResponseLostError) as error:
                log.warning("no tokens from %s: %s", ask.member, error)
                ask.answered = False
        self.board.post(Topic.TOKENS_ARRIVED, ask)
