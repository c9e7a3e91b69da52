"""Stand-in of the platform's promotion service, and commands and calls that take effect late."""

from __future__ import annotations

import random

import gevent

from .database import DatabaseGroup

EFFECT_DELAY_S = (0.2, 0.5)  # from a call until its endpoint leads
LATE_DELAY_S = (2.0, 12.0)


class LateDelivery:
    """Draws which commands or calls get no answer and are carried out seconds later.

    `share` is how many of them do, `delayed` lists those that did, and `waiting` counts those that
    have not been carried out yet.
    """

    __slots__ = ("share", "delayed", "waiting", "_randomness")

    def __init__(self, randomness: random.Random) -> None:
        self.share = 0.0
        self.delayed: list[str] = []
        self.waiting = 0
        self._randomness = randomness

    def wait(self, subject: str) -> None:
        """Return when a command or call is to be carried out, which is at once for most."""
        if self._randomness.random() >= self.share:
            return
        self.delayed.append(subject)
        self.waiting += 1
        gevent.sleep(self._randomness.uniform(*LATE_DELAY_S))
        self.waiting -= 1


class PromotionService:
    """Carries out promote calls; an endpoint leads some hundred milliseconds after its call.

    A call's fencing token is checked when it is carried out. `taking_effect` has the endpoints of
    calls that were carried out, until they lead.
    """

    __slots__ = ("database", "late", "fencing_token", "taking_effect", "_randomness")

    def __init__(self, database: DatabaseGroup, late: LateDelivery) -> None:
        self.database = database
        self.late = late
        self.fencing_token = 0
        self.taking_effect: list[str] = []
        self._randomness = random.Random(1)

    def call(self, endpoint: str, fencing_token: int) -> bool:
        """Handle a call in the calling greenlet; return whether it was carried out."""
        self.late.wait(f"promote {endpoint}, fencing token {fencing_token}")
        return self._carry_out(endpoint, fencing_token)

    def _carry_out(self, endpoint: str, fencing_token: int) -> bool:
        copy = self.database.copies.get(endpoint)
        if fencing_token < self.fencing_token:
            return False
        self.fencing_token = fencing_token
        if copy is None or not copy.alive:
            return False
        if not self.database.is_primary(endpoint):
            delay_s = self._randomness.uniform(*EFFECT_DELAY_S)
            self.taking_effect.append(endpoint)
            gevent.spawn_later(delay_s, self._take_effect, endpoint)
        return True

    def is_settled(self) -> bool:
        """Return whether no call that was made can change the primary any more."""
        return not self.late.waiting and not self.taking_effect

    def _take_effect(self, endpoint: str) -> None:
        self.taking_effect.remove(endpoint)
        if self.database.copies[endpoint].alive and not self.database.is_primary(endpoint):
            self.database.lead(endpoint)
