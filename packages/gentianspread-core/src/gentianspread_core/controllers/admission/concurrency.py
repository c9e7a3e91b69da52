"""Limits on the statements under way at an endpoint, adapted to the times of its replies."""

from __future__ import annotations

from ...blackboard import Board
from ...blackboard.connections import ConnectionState
from ...blackboard.endpoints import ConcurrencyWindow, Endpoint
from ...blackboard.requests import ExchangeStatus, Reply, Request, StatementKind
from ...blackboard.sessions import SessionExchange
from ...errors import ErrorCode

LAGGING_CODE = "LAGGING"
OVERLOAD_CODES = frozenset({"BUSY", ErrorCode.OVERLOADED.value})
LATE_REPLY_FRACTION = 0.5  # of the objective; the rest is for queueing and another endpoint
MAX_QUEUEING_FRACTION = 0.05  # of the objective; what waits at an endpoint has no order of priority
WINDOW_DECREASE_FACTOR = 0.7  # usual for a gentle decrease; three in a row reduce it to a third


class LateReplyLimit:
    """Lowers the limit of an endpoint that replies late, and raises that of others.

    Additive increase, multiplicative decrease; at most one decrease for the statements that were in
    flight together.
    """

    __slots__ = ("board",)

    starts_low = False

    def __init__(self, board: Board) -> None:
        self.board = board

    def adapt(self, endpoint: Endpoint, request: Request, reply: Reply) -> None:
        """Update the endpoint's window for what was relayed, or for this VM's own connections."""
        exchange, route = request.exchange, getattr(request, "route", None)
        if exchange is None or route is None or reply.code == LAGGING_CODE:
            return
        now = self.board.clock.now()
        is_relayed = isinstance(exchange, SessionExchange) and exchange.connection.home is not None
        window = endpoint.relay_window if is_relayed else endpoint.window
        is_late = now - exchange.sent_at > LATE_REPLY_FRACTION * route.objective
        if is_late or reply.status is ExchangeStatus.LOST or reply.code in OVERLOAD_CODES:
            window.decrease(WINDOW_DECREASE_FACTOR, exchange.sent_at, now)
        elif reply.status is ExchangeStatus.OK:
            window.increase()


class QueueingDelayLimit:
    """Keeps the time short that statements wait at the endpoint itself, where priorities are lost.

    Like `LateReplyLimit`, but an own connection's reply also counts as late if it took longer than
    the endpoint's fastest recent reply and a fraction of the objective. Source of the estimate of
    the queue from the smallest round trip: Brakmo and Peterson, "TCP Vegas", 1995.
    """

    __slots__ = ("board", "_late_replies")

    starts_low = True

    def __init__(self, board: Board) -> None:
        self.board = board
        self._late_replies = LateReplyLimit(board)

    def adapt(self, endpoint: Endpoint, request: Request, reply: Reply) -> None:
        """Update the endpoint's window for what was relayed, or for this VM's own connections."""
        exchange, route = request.exchange, getattr(request, "route", None)
        if isinstance(exchange, SessionExchange) and exchange.connection.home is not None:
            self._adapt_relayed(endpoint, exchange, reply)
            return
        is_measured = (
            isinstance(exchange, SessionExchange)
            and reply.status is ExchangeStatus.OK
            and route is not None
            and not exchange.connection.is_opening
        )
        if not is_measured:
            self._late_replies.adapt(endpoint, request, reply)
            return
        now = self.board.clock.now()
        elapsed_s = now - exchange.sent_at
        is_read = request.kind is StatementKind.READ
        fastest = endpoint.fastest_read if is_read else endpoint.fastest_write
        fastest.observe(elapsed_s, now)
        if fastest.queueing_s() > MAX_QUEUEING_FRACTION * route.objective:
            endpoint.window.decrease(WINDOW_DECREASE_FACTOR, exchange.sent_at, now)
        elif self._is_used_up(endpoint):
            self._increase(endpoint.window)

    def _is_used_up(self, endpoint: Endpoint) -> bool:
        """Return whether the limit was reached; a reply says nothing about a higher one if not."""
        connections = self.board.connections.of(endpoint.name)
        busy = sum(
            1 for item in connections if item.home is None and item.state is ConnectionState.BUSY
        )
        return busy >= int(endpoint.window.size)

    def _increase(self, window: ConcurrencyWindow) -> None:
        """Grow by one for each reply until the first decrease (slow start), then additively."""
        if window.decreased_at == 0.0:
            window.size = min(window.limit, window.size + 1.0)
        else:
            window.increase()

    def _adapt_relayed(self, endpoint: Endpoint, exchange: SessionExchange, reply: Reply) -> None:
        """Lower the limit of what is relayed only if a home VM or the endpoint did not answer.

        A home refuses what it cannot serve, at once; waiting for it here would be without the order
        of priority in which it serves the statements of all VMs.
        """
        if reply.status is ExchangeStatus.LOST:
            now = self.board.clock.now()
            endpoint.relay_window.decrease(WINDOW_DECREASE_FACTOR, exchange.sent_at, now)
        else:
            endpoint.relay_window.increase()
