"""Section of the groups' replication confirmations, failovers and health.

`confirmations` is owned by the acknowledgement controller, `withheld` and its counts by the
completion controller, `failovers` by the failover controller,
`promotions` by the promotion controller, `health`, the departures and `lost_logs_at` by the
health controller or the failover controller.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum

from ..positions import Position
from .requests import Request
from .sessions import SessionRequest


class Confirmation:
    """The last position that a replica is known to have received; `watching` while a watch runs."""

    __slots__ = ("endpoint", "position", "watching", "failures")

    def __init__(self, endpoint: str) -> None:
        self.endpoint = endpoint
        self.position: Position | None = None
        self.watching = False
        self.failures = 0


class PendingWrite:
    """A write that ran on the primary and waits for a majority to receive it."""

    __slots__ = ("request", "position", "primary")

    def __init__(self, request: Request, position: Position, primary: str) -> None:
        self.request = request
        self.position = position
        self.primary = primary


class Failover:
    """A failover in progress on the control leader; times in seconds.

    `pending_endpoints` are yet to answer, `accepted` gives the positions of fenced endpoints.
    """

    __slots__ = ("group", "term", "started_at", "pending_endpoints", "accepted", "primary", "phase")

    def __init__(self, group: str, term: int, now: float) -> None:
        self.group = group
        self.term = term
        self.started_at = now
        self.pending_endpoints: set[str] = set()
        self.accepted: dict[str, Position] = {}
        self.primary: str | None = None
        self.phase = "granting"


class PromotionPhase(Enum):
    """Phases of an attempt to change or confirm a primary.

    While it is announced, the leader waits until no VM can hand on a commit without knowing of the
    promotion. While it is confirmed, earlier calls without an answer may still take effect.
    """

    GRANTING = "granting"
    ANNOUNCING = "announcing"
    PAUSING = "pausing"
    STEPPING_DOWN = "stepping down"
    CATCHING_UP = "catching up"
    CALLING = "calling"
    CONFIRMING = "confirming"


class PromotionProof(Enum):
    """Why the promoted endpoint has every commit that was handed on (`promotion/proofs`)."""

    HANDED_ON = "it has all that the VMs handed on"
    REPLICAS = "it has all that the replicas may have confirmed"
    EARLIER_TARGET = "it has all that an earlier target had"
    STEPPED_DOWN_PRIMARY = "it has all that the primary had when it stepped down"


class Promotion:
    """An attempt to change a primary by fenced calls, on the control leader; times in seconds.

    `fencing_token` is from the control log, `received_positions` what the endpoints that answered
    have received, `pending_endpoints` those yet to answer, `asked_endpoints` those that were told
    to pause, `terminated_endpoints` those that have terminated, `target` the endpoint to promote.
    `is_granted` is set once the grant of the token to this leader was applied.
    `follows_attempt` is set if an earlier attempt had not ended the promotion. `is_planned` marks a
    switchover from a working primary, which stepped down at `step_down_position`.
    `confirms_primary` marks an attempt that ends the promotion with the endpoint that leads.
    `is_only_call` is set unless an earlier call for another endpoint may still take effect.
    `failure` is why the attempt last failed, `proof` why the target has every commit, none if that
    was not asked.
    """

    __slots__ = (
        "group",
        "fencing_token",
        "began_at",
        "phase",
        "is_granted",
        "follows_attempt",
        "pending_endpoints",
        "asked_endpoints",
        "received_positions",
        "terminated_endpoints",
        "target",
        "is_planned",
        "confirms_primary",
        "is_only_call",
        "failure",
        "proof",
        "step_down_position",
        "due",
    )

    def __init__(self, group: str, fencing_token: int, now: float) -> None:
        self.group = group
        self.fencing_token = fencing_token
        self.began_at = now
        self.phase = PromotionPhase.GRANTING
        self.is_granted = False
        self.follows_attempt = False
        self.pending_endpoints: set[str] = set()
        self.asked_endpoints: set[str] = set()
        self.received_positions: dict[str, Position] = {}
        self.terminated_endpoints: set[str] = set()
        self.target: str | None = None
        self.is_planned = False
        self.confirms_primary = False
        self.is_only_call = True
        self.failure = ""
        self.proof: PromotionProof | None = None
        self.step_down_position: Position | None = None
        self.due = now


class Health:
    """The health of an endpoint, on the control leader; times in seconds.

    An endpoint is unreachable if it does not answer, for whatever reason, and terminated if its
    process is proved to have ended (see `Group` for leaving and departed endpoints).

    `answered_at` is when the last probe that it answered was sent.
    `not_primary_answers` counts the consecutive probes that it answered as no primary. All probes
    since `refused_since` found no endpoint or another one at its address, and those since
    `terminated_since` proved that it terminated; none if the last did not. `probed` is set once
    a probe has succeeded or failed since the last promotion.
    """

    __slots__ = (
        "failures",
        "probes_in_flight",
        "position",
        "term",
        "is_primary",
        "probed",
        "answered_at",
        "not_primary_answers",
        "refused_since",
        "terminated_since",
    )

    def __init__(self) -> None:
        self.failures = 0
        self.probes_in_flight = 0
        self.position: Position | None = None
        self.term = 0
        self.is_primary = False
        self.probed = False
        self.answered_at = float("-inf")
        self.not_primary_answers = 0
        self.refused_since: float | None = None
        self.terminated_since: float | None = None

    def has_lost_log(self, position: Position | None) -> bool:
        """Return whether a new position shows that the endpoint started again with less log."""
        if position is None or self.position is None:
            return False
        return not position.reaches(self.position)


class Groups:
    """Confirmations and pending writes by group; on the control leader also failovers and health.

    `withheld` has by group the requests of sessions whose commit succeeded at an endpoint, while it
    is not certain that a promotion keeps it. `withheld_count` counts them so far, and
    `left_unknown_count` the commits that succeeded at an endpoint and were answered as unknown.
    `proof_counts` counts the promote calls by their proof; none stands for attempts without one.

    `departures_seen_at` gives by group when this leader last saw that each departed endpoint still
    ran, in seconds of its clock, and `departures_ended_at` when it first counted it as ended, so
    that it confirms nothing more. `lost_logs_at` gives likewise when the position of an endpoint
    was seen to be before an earlier one, as after a start with an empty log, until another one has
    received all that it may have confirmed.
    """

    __slots__ = (
        "confirmations",
        "pending",
        "withheld",
        "withheld_count",
        "left_unknown_count",
        "proof_counts",
        "failovers",
        "promotions",
        "health",
        "departures_seen_at",
        "departures_ended_at",
        "lost_logs_at",
    )

    def __init__(self) -> None:
        self.confirmations: dict[str, dict[str, Confirmation]] = {}
        self.pending: dict[str, list[PendingWrite]] = {}
        self.withheld: dict[str, list[SessionRequest]] = {}
        self.withheld_count = 0
        self.left_unknown_count = 0
        self.proof_counts: Counter[PromotionProof | None] = Counter()
        self.failovers: dict[str, Failover] = {}
        self.promotions: dict[str, Promotion] = {}
        self.health: dict[str, Health] = {}
        self.departures_seen_at: dict[str, dict[str, float]] = {}
        self.departures_ended_at: dict[str, dict[str, float]] = {}
        self.lost_logs_at: dict[str, dict[str, float]] = {}
