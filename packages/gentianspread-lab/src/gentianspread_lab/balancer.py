"""Stand-in for the platform's balancer: knows which VMs pass their check."""

from __future__ import annotations

import random

import gevent
from gentianspread_server.connections import RequestNotSentError, ResponseLostError

from .client import CallerLink

CHECK_INTERVAL_S = 0.2


class Balancer:
    """Checks every VM and picks one that is ready; optionally weighted by VM name."""

    def __init__(self, addresses: dict[str, str], randomness: random.Random) -> None:
        self.addresses = addresses
        self.ready: set[str] = set(addresses)
        self.weights: dict[str, float] = {}
        self._randomness = randomness
        self._greenlets = [gevent.spawn(self._check, name) for name in addresses]

    def pick(self) -> str:
        """Return the name of a VM that is ready."""
        names = sorted(self.ready) or sorted(self.addresses)
        weights = [self.weights.get(name, 1.0) for name in names]
        return self._randomness.choices(names, weights)[0]

    def report_dead(self, name: str) -> None:
        """Take a VM that refused a connection out until its next check."""
        self.ready.discard(name)

    def stop(self) -> None:
        """End the checks."""
        gevent.killall(self._greenlets, block=False)

    def _check(self, name: str) -> None:
        while True:
            link = CallerLink(self.addresses[name])
            try:
                is_ready = link.get("/ready").status == 200
            except (RequestNotSentError, ResponseLostError):
                is_ready = False
            finally:
                link.close()
            if is_ready:
                self.ready.add(name)
            else:
                self.ready.discard(name)
            gevent.sleep(CHECK_INTERVAL_S)
