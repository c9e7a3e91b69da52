"""How many waiting requests a VM starts in a second, by the limits and latencies of endpoints."""

from __future__ import annotations

from ...blackboard import Board
from ...blackboard.endpoints import Endpoint
from ...blackboard.sessions import SessionRequest
from .costs import MIN_LATENCY_S


def starts_per_second(board: Board, request: SessionRequest) -> float:
    """Return how many requests like this one leave their queue in a second, 0 if none can.

    By Little's law, an endpoint on which `n` statements of this VM are under way and that takes
    `t` seconds for each starts `n / t` statements per second.
    """
    if request.relayed_statement is not None:
        endpoint = board.endpoints.by_name.get(request.relayed_statement.endpoint)
        return home_starts_per_second(endpoint) if endpoint is not None else 0.0
    endpoints = board.endpoints.by_group.get(request.group, [])
    if request.min_position is None:
        group = board.configuration.groups.get(request.group)
        endpoints = [item for item in endpoints if group and item.name == group.primary]
    usable = [item for item in endpoints if item.is_usable()]
    return sum(_rate(item, max(item.window.size, item.relay_window.size)) for item in usable)


def home_starts_per_second(endpoint: Endpoint) -> float:
    """Return how many statements that others relay this VM starts at an endpoint in a second."""
    return _rate(endpoint, endpoint.window.size)


def _rate(endpoint: Endpoint, window: float) -> float:
    return max(1.0, window) / max(endpoint.latency, MIN_LATENCY_S)
