"""Section of cold endpoints: which are cold, and the tokens for requests to them.

Owned by the warm-up controller, and `buckets` by the warm-up allocator controller.
"""

from __future__ import annotations

from .rate_limits import TokenBucket
from .registrations import MAX_INTEGER, is_integer, is_name
from .sessions import SessionRequest

MAX_COLD_S = 86_400.0  # a longer time cannot be meant; bounds what an announcement can demand


class Warmup:
    """What an endpoint last announced of its warm-up, as kept in the control log.

    `remaining_s` is how much longer it stays cold, from the time at which the entry was applied; 0
    if it said that it is warm. `incarnation` and `sequence` are those of the announcement,
    `revision` is the index of the log entry. `is_doubted` is set once a VM has lost connections to
    the endpoint since: its next announcement is then news, whatever it says.
    """

    __slots__ = ("name", "incarnation", "sequence", "remaining_s", "revision", "is_doubted")

    def __init__(
        self,
        name: str,
        incarnation: int,
        sequence: int,
        remaining_s: float,
        revision: int,
        is_doubted: bool = False,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.sequence = sequence
        self.remaining_s = remaining_s
        self.revision = revision
        self.is_doubted = is_doubted

    def is_newer_than(self, other: Warmup) -> bool:
        """Return whether this announcement was sent after another of the same endpoint."""
        return (self.incarnation, self.sequence) > (other.incarnation, other.sequence)

    def is_valid(self) -> bool:
        """Return whether the values, which come from outside, are of their types and in range."""
        counts = (self.incarnation, self.sequence)
        has_counts = all(is_integer(item) and 0 <= item <= MAX_INTEGER for item in counts)
        is_number = isinstance(self.remaining_s, float) or is_integer(self.remaining_s)
        return is_name(self.name) and has_counts and is_number and self.has_valid_time()

    def has_valid_time(self) -> bool:
        """Return whether the remaining time is finite and not negative."""
        return 0 <= self.remaining_s <= MAX_COLD_S


class EndpointTokenRequest:
    """A VM's request for tokens of a cold endpoint, and the response of the zone's allocator.

    `zone` is that of the endpoint, `member` the VM that grants for it. `next_token_delay` is the
    seconds until it has another token. `is_local` is set if this VM is the allocator, `answered`
    if it may grant.
    """

    __slots__ = (
        "endpoint",
        "zone",
        "member",
        "wanted",
        "sent_at",
        "is_local",
        "granted",
        "answered",
        "next_token_delay",
    )

    def __init__(self, endpoint: str, zone: str, member: str, wanted: int, sent_at: float) -> None:
        self.endpoint = endpoint
        self.zone = zone
        self.member = member
        self.wanted = wanted
        self.sent_at = sent_at
        self.is_local = False
        self.granted = 0
        self.answered = False
        self.next_token_delay = 0.0


class EndpointTokens:
    """Tokens that this VM holds for a cold endpoint, and the requests that wait for one.

    `in_transactions` are those of transactions that were bound to a connection to the endpoint.
    `empty_until` is the time until which the allocator is known to have none; `requested_at` is
    when the request under way was sent, or none. Times in seconds of this VM's clock.
    """

    __slots__ = (
        "count",
        "expires_at",
        "empty_until",
        "requested_at",
        "in_transactions",
        "waiting",
    )

    def __init__(self) -> None:
        self.count = 0
        self.expires_at = 0.0
        self.empty_until = 0.0
        self.requested_at: float | None = None
        self.in_transactions: list[SessionRequest] = []
        self.waiting: list[SessionRequest] = []

    def waiting_count(self) -> int:
        """Return how many requests wait for a token."""
        return len(self.in_transactions) + len(self.waiting)


class ColdState:
    """Why this VM counts an endpoint as cold; times in seconds of its clock.

    `announced_until` follows from the control log: the announcement or the end of an evacuation
    that `source` names, with its revision. `lost_until` is set when a connection of this VM to the
    endpoint was lost or refused, until an announcement that is newer than `lost_incarnation`.
    `is_reported` is set while the timeline has it as cold.
    """

    __slots__ = (
        "source",
        "revision",
        "announced_until",
        "lost_until",
        "lost_incarnation",
        "is_reported",
    )

    def __init__(self) -> None:
        self.source = ""
        self.revision = 0
        self.announced_until = 0.0
        self.lost_until = 0.0
        self.lost_incarnation = 0
        self.is_reported = False

    def until(self) -> float:
        """Return the time until which the endpoint is cold."""
        return max(self.announced_until, self.lost_until)


class Warmups:
    """Cold endpoints by name, the tokens held for them, and the allocator's buckets by endpoint.

    Endpoints of groups without a limit are never in `states`. `passed` and `refused` count the
    requests to cold endpoints that this VM sent, and those for which it had no token; `granted`
    counts the tokens that it granted as an allocator.
    """

    __slots__ = ("states", "tokens", "buckets", "passed", "refused", "granted")

    def __init__(self) -> None:
        self.states: dict[str, ColdState] = {}
        self.tokens: dict[str, EndpointTokens] = {}
        self.buckets: dict[str, TokenBucket] = {}
        self.passed = 0
        self.refused = 0
        self.granted = 0

    def is_cold(self, endpoint: str, now: float) -> bool:
        """Return whether requests to an endpoint need a token."""
        state = self.states.get(endpoint)
        return state is not None and now < state.until()

    def is_exhausted(self, endpoint: str, now: float) -> bool:
        """Return whether an endpoint is known to have no token at present.

        A home VM may say so of an endpoint that only it counts as cold.
        """
        tokens = self.tokens.get(endpoint)
        return tokens is not None and now < tokens.empty_until
