"""Section of groups' write confirmations and failovers.

`confirmations` is owned by the acknowledgement controller, `failovers` by the failover controller,
`promotions` by the promotion controller, `health` and `departed_since` by the health controller or
the failover controller.
"""

from __future__ import annotations

from ..positions import Position
from .requests import Request


class Confirmation:
    """What a replica has received under a term, as far as this VM knows."""

    __slots__ = ("endpoint", "position", "watching", "failures")

    def __init__(self, endpoint: str) -> None:
        self.endpoint = endpoint
        self.position: Position | None = None
        self.watching = False
        self.failures = 0


class PendingWrite:
    """A write that ran on the primary and waits for a majority."""

    __slots__ = ("request", "position", "primary")

    def __init__(self, request: Request, position: Position, primary: str) -> None:
        self.request = request
        self.position = position
        self.primary = primary


class Failover:
    """A change of primary under way on the control leader; times in seconds."""

    __slots__ = ("group", "term", "started_at", "waiting", "accepted", "primary", "phase")

    def __init__(self, group: str, term: int, now: float) -> None:
        self.group = group
        self.term = term
        self.started_at = now
        self.waiting: set[str] = set()
        self.accepted: dict[str, Position] = {}
        self.primary: str | None = None
        self.phase = "granting"


class Promotion:
    """A change of primary by fenced calls, under way on the control leader; times in seconds.

    `fence` is the number from the control log, `held` the positions of replicas that stopped
    receiving, `waiting` the endpoints whose answers are due, `absent` those that have ended,
    `target` the endpoint to promote.
    `is_planned` marks a hand-over from a primary that leaves, `settles` a call that only overtakes
    earlier ones.
    """

    __slots__ = (
        "group",
        "fence",
        "began_at",
        "phase",
        "waiting",
        "held",
        "ended_endpoints",
        "target",
        "is_planned",
        "only_supersedes",
        "step_down_position",
        "due",
    )

    def __init__(self, group: str, fence: int, now: float) -> None:
        self.group = group
        self.fence = fence
        self.began_at = now
        self.phase = "granting"
        self.waiting: set[str] = set()
        self.held: dict[str, Position] = {}
        self.ended_endpoints: set[str] = set()
        self.target: str | None = None
        self.is_planned = False
        self.only_supersedes = False
        self.step_down_position: Position | None = None
        self.due = now


class Health:
    """The control leader's view of an endpoint; times in seconds.

    `refusals` counts the probes in a row in which it answered that it does not lead. Since
    `gone_since` each probe told that it has ended; none if the last one did not.
    """

    __slots__ = (
        "failures",
        "probes",
        "position",
        "term",
        "is_primary",
        "answered",
        "refusals",
        "gone_since",
    )

    def __init__(self) -> None:
        self.failures = 0
        self.probes = 0
        self.position: Position | None = None
        self.term = 0
        self.is_primary = False
        self.answered = False
        self.refusals = 0
        self.gone_since: float | None = None


class Groups:
    """Confirmations and pending writes by group; changes of primary and health on the leader.

    `departed_since` gives by group when the leader knew of each departure, in seconds.
    """

    __slots__ = (
        "confirmations",
        "pending",
        "failovers",
        "promotions",
        "health",
        "departed_since",
    )

    def __init__(self) -> None:
        self.confirmations: dict[str, dict[str, Confirmation]] = {}
        self.pending: dict[str, list[PendingWrite]] = {}
        self.failovers: dict[str, Failover] = {}
        self.promotions: dict[str, Promotion] = {}
        self.health: dict[str, Health] = {}
        self.departed_since: dict[str, dict[str, float]] = {}
