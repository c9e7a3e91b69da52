"""Load controller: keeps the load reports that come with replies to relayed statements."""

from __future__ import annotations

from typing import Any

from ...blackboard import Board, Topic
from ...blackboard.connections import ConnectionState
from ...blackboard.loads import EndpointLoad
from ...blackboard.sessions import SessionExchange, SessionReply, SessionRequest


class LoadController:
    """Owns the loads section."""

    __slots__ = ("board",)

    def __init__(self, board: Board) -> None:
        self.board = board
        board.loads.is_reported = board.settings.schedules_by_priority

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.EXCHANGE_ENDED: self.on_exchange_ended,
            Topic.HOMES_CHANGED: self.on_homes,
        }

    def on_homes(self, _entry: None) -> None:
        """Report loads where priorities are scheduled or the VMs that serve callers differ."""
        board = self.board
        is_uneven = board.homes.differ_in_size()
        board.loads.is_reported = board.settings.schedules_by_priority or is_uneven
        if not board.loads.is_reported:
            board.loads.by_endpoint.clear()
        names = {vm.name for vms in board.homes.by_zone.values() for vm in vms}
        reports_by_endpoint = board.loads.by_endpoint
        for endpoint in [
            item for item in reports_by_endpoint if item not in board.endpoints.by_name
        ]:
            del reports_by_endpoint[endpoint]
        for endpoint, reports in reports_by_endpoint.items():
            reports_by_endpoint[endpoint] = {
                name: report for name, report in reports.items() if name in names
            }

    def on_exchange_ended(self, request: SessionRequest) -> None:
        """Keep the report that came with the reply of a home VM."""
        exchange = request.exchange
        if not isinstance(exchange, SessionExchange) or exchange.connection.home is None:
            return
        reply = exchange.reply
        if not isinstance(reply, SessionReply) or reply.load is None:
            return
        try:
            report = EndpointLoad.from_record(reply.load, self.board.clock.now())
        except (TypeError, ValueError) as error:
            self.board.timeline.record_error("load report", error)
            reply.load = None
            return
        reports = self.board.loads.by_endpoint.setdefault(exchange.endpoint, {})
        reports[exchange.connection.home.name] = report


def measure_load(board: Board, endpoint_name: str, wait_s: float) -> EndpointLoad:
    """Return this VM's part of an endpoint's load; `wait_s` is how long a statement waited."""
    connections = board.connections.of(endpoint_name)
    running = sum(1 for item in connections if item.state is ConnectionState.BUSY)
    queue = board.queues.pinned.get(endpoint_name)
    now = board.clock.now()
    service_s = board.outliers.latency_of(endpoint_name, now)
    return EndpointLoad(running, queue.length if queue else 0, wait_s, service_s, now)
