"""Callers of the platform's entry VMs, and the load balancer that sends them there."""

from __future__ import annotations

import logging
import random

import gevent

from .fleet import PlatformFleet
from .ledger import Ledger
from .sessions import CallerSession, SessionEndedError
from .shapes import Shape

log = logging.getLogger(__name__)

READINESS_CHECK_INTERVAL_S = 1.0
MAX_MISSED_CHECKS = 2  # before a VM gets no new sessions
RECONNECT_DELAY_S = 0.05
USED_KEYS = 3  # of a caller's newest keys; one more than are valid at a time


class Rotation:
    """The VMs that get new sessions: those that have not failed two readiness checks in a row."""

    def __init__(self, fleet: PlatformFleet) -> None:
        self.fleet = fleet
        self.missed = {name: 0 for name in fleet.entry_addresses}
        self._greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start the checks."""
        self._greenlets = [gevent.spawn(self._watch, name) for name in self.missed]

    def pick(self, randomness: random.Random) -> str:
        """Return a VM in rotation, or any if none is."""
        names = [name for name, count in self.missed.items() if count < MAX_MISSED_CHECKS]
        return randomness.choice(names or list(self.missed))

    def stop(self) -> None:
        """Stop the checks."""
        gevent.killall(self._greenlets)

    def _watch(self, name: str) -> None:
        while True:
            is_ready = self.fleet.is_entry_ready(name)
            self.missed[name] = 0 if is_ready else self.missed[name] + 1
            gevent.sleep(READINESS_CHECK_INTERVAL_S)


class ShapedCaller:
    """A caller that uses one session after another in the way of its shape, until `stopping`.

    It opens each session with one of the last of its `keys`, which may be withdrawn meanwhile.
    """

    def __init__(
        self,
        name: str,
        keys: list[str],
        shape: Shape,
        rotation: Rotation,
        ledger: Ledger,
        seed: int,
    ) -> None:
        self.name = name
        self.keys = keys
        self.shape = shape
        self.rotation = rotation
        self.ledger = ledger
        self.randomness = random.Random(f"{seed} {name}")
        self.stopping = False
        self._session_count = 0

    def run(self) -> None:
        """Use sessions until `stopping` is set and the last one has ended."""
        while not self.stopping:
            self.use_session(self.rotation.pick(self.randomness))
            gevent.sleep(RECONNECT_DELAY_S)

    def use_session(self, vm: str) -> None:
        """Open a session on a VM and use it to its end."""
        self._session_count += 1
        key = self.randomness.choice(self.keys[-USED_KEYS:])
        session = CallerSession(
            f"{self.name}s{self._session_count}", vm, self.shape.name, self.ledger
        )
        try:
            address = self.rotation.fleet.entry_addresses[vm]
            session.open(address, self.shape.database, key)
            self.shape.use(session, self.randomness)
        except SessionEndedError as error:
            log.debug("session %s ended: %s", session.name, error)
        finally:
            session.leave()
