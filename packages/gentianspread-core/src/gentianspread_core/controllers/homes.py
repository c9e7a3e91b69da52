"""Home controller: tracks the VMs that serve callers, and which of them are available as homes.

The homes of an endpoint are the VMs that hold the connections to it; the other VMs relay their
statements to them.
"""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.homes import HomeBackoff, ServingVM
from ..blackboard.sessions import SessionExchange, SessionReply, SessionRequest
from ..blackboard.timeline import EventKind
from ..errors import ErrorCode

INITIAL_BACKOFF_S = 0.5  # a VM that restarts is back within 2 s
MAX_BACKOFF_S = 4.0  # after each backoff one statement checks whether the VM is back
NOT_SERVING_CODES = frozenset({ErrorCode.DRAINING.value, ErrorCode.CONFIGURATION_NOT_FRESH.value})


class ServingVMList:
    """The VMs that serve callers, as reported by the control VMs; `version` identifies the list."""

    __slots__ = ("version", "vms")

    def __init__(self, version: str, vms: list[ServingVM]) -> None:
        self.version = version
        self.vms = vms


class HomeController:
    """Owns the homes section."""

    __slots__ = ("board",)

    def __init__(self, board: Board) -> None:
        self.board = board

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.HOMES_RECEIVED: self.on_received,
            Topic.EXCHANGE_SCHEDULED: self.on_exchange_scheduled,
            Topic.EXCHANGE_ENDED: self.on_exchange_ended,
        }

    def on_received(self, received: ServingVMList) -> None:
        """Replace the serving VMs if the version of the list is new."""
        homes = self.board.homes
        if received.version == homes.version:
            return
        homes.version = received.version
        homes.ranking_cache.clear()
        homes.by_zone.clear()
        for vm in received.vms:
            homes.by_zone.setdefault(vm.zone, []).append(vm)
        known = {vm.name for vm in received.vms}
        for name in [name for name in homes.suspected if name not in known]:
            del homes.suspected[name]
        self.board.changes.post(Topic.HOMES_CHANGED)

    def on_exchange_scheduled(self, request: SessionRequest) -> None:
        """Let one statement at a time check whether a suspected home is available again."""
        exchange = request.exchange
        if not isinstance(exchange, SessionExchange) or exchange.connection.home is None:
            return
        backoff = self.board.homes.suspected.get(exchange.connection.home.name)
        if backoff is not None:
            backoff.until = self.board.clock.now() + INITIAL_BACKOFF_S

    def on_exchange_ended(self, request: SessionRequest) -> None:
        """Suspect a home that did not respond or does not serve; otherwise end its backoff."""
        exchange = request.exchange
        if not isinstance(exchange, SessionExchange) or exchange.connection.home is None:
            return
        reply, name = exchange.reply, exchange.connection.home.name
        if not isinstance(reply, SessionReply):
            return
        if reply.home_failed or reply.code in NOT_SERVING_CODES:
            self._suspect(name, reply.message)
        else:
            self.board.homes.suspected.pop(name, None)

    def _suspect(self, name: str, reason: str) -> None:
        backoff = self.board.homes.suspected.setdefault(name, HomeBackoff())
        delay = INITIAL_BACKOFF_S * 2**backoff.failures
        backoff.failures += 1
        backoff.until = self.board.clock.now() + min(MAX_BACKOFF_S, delay)
        if backoff.failures == 1:
            self.board.timeline.record(EventKind.HOME_SUSPECTED, name, reason)
