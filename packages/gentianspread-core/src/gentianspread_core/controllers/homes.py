"""Home controller: which VMs hold the connections to endpoints, and which of them answer."""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.homes import HomeSuspicion, ServingVM
from ..blackboard.sessions import SessionExchange, SessionReply, SessionRequest
from ..blackboard.timeline import EventKind
from ..errors import ErrorCode

FIRST_SUSPICION_S = 0.5  # seconds; a VM that restarts is back within two
LONGEST_SUSPICION_S = 4.0  # seconds; one statement in it finds out whether the VM is back
UNFIT_CODES = frozenset({ErrorCode.DRAINING.value, ErrorCode.CONFIGURATION_NOT_FRESH.value})


class HomeList:
    """The VMs that serve callers, as the control VMs know them; `version` names this list."""

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
            Topic.EXCHANGE_ORDERED: self.on_ordered,
            Topic.EXCHANGE_ENDED: self.on_exchange_ended,
        }

    def on_received(self, received: HomeList) -> None:
        """Take over a new list."""
        homes = self.board.homes
        if received.version == homes.version:
            return
        homes.version = received.version
        homes.ranked.clear()
        homes.by_zone.clear()
        for vm in received.vms:
            homes.by_zone.setdefault(vm.zone, []).append(vm)
        known = {vm.name for vm in received.vms}
        for name in [name for name in homes.suspected if name not in known]:
            del homes.suspected[name]
        self.board.changes.post(Topic.HOMES_CHANGED)

    def on_ordered(self, request: SessionRequest) -> None:
        """Have one statement at a time find out whether a suspected home is back."""
        exchange = request.exchange
        if not isinstance(exchange, SessionExchange) or exchange.connection.home is None:
            return
        suspicion = self.board.homes.suspected.get(exchange.connection.home.name)
        if suspicion is not None:
            suspicion.until = self.board.clock.now() + FIRST_SUSPICION_S

    def on_exchange_ended(self, request: SessionRequest) -> None:
        """Learn whether a home answers and takes statements."""
        exchange = request.exchange
        if not isinstance(exchange, SessionExchange) or exchange.connection.home is None:
            return
        reply, name = exchange.reply, exchange.connection.home.name
        if not isinstance(reply, SessionReply):
            return
        if reply.home_failed or reply.code in UNFIT_CODES:
            self._suspect(name, reply.message)
        else:
            self.board.homes.suspected.pop(name, None)

    def _suspect(self, name: str, reason: str) -> None:
        suspicion = self.board.homes.suspected.setdefault(name, HomeSuspicion())
        pause = FIRST_SUSPICION_S * 2**suspicion.failures
        suspicion.failures += 1
        suspicion.until = self.board.clock.now() + min(LONGEST_SUSPICION_S, pause)
        if suspicion.failures == 1:
            self.board.timeline.record(EventKind.HOME_SUSPECTED, name, reason)
