"""Selection among the ways to serve a request that are open at the moment."""

from __future__ import annotations

from ...blackboard.endpoints import Endpoint
from ...blackboard.homes import ServingVM
from ...blackboard.sessions import SessionRequest


class ServingOption:
    """One way to serve a request: at an endpoint, through a home VM or this VM's own connections.

    `cost` is in seconds, infinite if there is no capacity; `home` is none for an own connection.
    `load_s` is the part of the cost that old load information gives, 0 if there is none.
    """

    __slots__ = ("endpoint", "home", "cost", "load_s")

    def __init__(
        self, endpoint: Endpoint, home: ServingVM | None, cost: float, load_s: float = 0.0
    ) -> None:
        self.endpoint = endpoint
        self.home = home
        self.cost = cost
        self.load_s = load_s

    def has_capacity(self) -> bool:
        """Return whether the request can be sent this way now."""
        return self.cost < float("inf")


class CheapestOption:
    """Selects the lowest cost; of equal ones the first."""

    __slots__ = ()

    def choose(self, request: SessionRequest, options: list[ServingOption]) -> ServingOption | None:
        """Return the option to use, or none if the request must wait."""
        best = min(options, key=lambda option: option.cost, default=None)
        return best if best is not None and best.has_capacity() else None
