"""Simulates the platform's load balancer, which uses VMs that pass a readiness check."""

from __future__ import annotations

import random

import gevent
from gentianspread_server.connections import RequestNotSentError, ResponseLostError

from .client import VMConnection

READINESS_CHECK_INTERVAL_S = 0.2


class LoadBalancer:
    """Polls `/ready` of every VM and picks a ready one at random, weighted by `weights` if set."""

    def __init__(self, addresses: dict[str, str], randomness: random.Random) -> None:
        self.addresses = addresses
        self.ready: set[str] = set(addresses)
        self.weights: dict[str, float] = {}
        self._randomness = randomness
        self._greenlets = [gevent.spawn(self._poll_readiness, name) for name in addresses]

    def pick(self) -> str:
        """Return the name of a ready VM, or of any VM if none is ready."""
        names = sorted(self.ready) or sorted(self.addresses)
        weights = [self.weights.get(name, 1.0) for name in names]
        return self._randomness.choices(names, weights)[0]

    def mark_unreachable(self, name: str) -> None:
        """Exclude a VM that refused a connection until its next successful check."""
        self.ready.discard(name)

    def stop(self) -> None:
        """Stop the readiness checks."""
        gevent.killall(self._greenlets, block=False)

    def _poll_readiness(self, name: str) -> None:
        while True:
            connection = VMConnection(self.addresses[name])
            try:
                is_ready = connection.get("/ready").status == 200
            except (RequestNotSentError, ResponseLostError):
                is_ready = False
            finally:
                connection.close()
            if is_ready:
                self.ready.add(name)
            else:
                self.ready.discard(name)
            gevent.sleep(READINESS_CHECK_INTERVAL_S)
