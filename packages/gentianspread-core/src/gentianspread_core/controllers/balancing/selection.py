"""Selection that spreads the requests of many VMs by load information that is old.

Many VMs know about the same old load. If each took the cheapest endpoint, all of them would
overload it until the next information, and then the next one.
"""

from __future__ import annotations

from ...blackboard import Board
from ...blackboard.loads import MAX_REPORT_AGE_S
from ...blackboard.sessions import SessionRequest
from ...blackboard.timeline import EventKind
from ...interfaces import LoadEstimator, Randomness
from ..placement.selection import CheapestOption, ServingOption

EQUAL_COST_S = 0.005  # costs besides the load differ by more between zones, and hardly inside one
MIGRATION_AGES = (
    1.0  # of the load model: 0.25 oscillates, 3 leaves free slots of other zones unused
)
MIN_MIGRATION_S = 0.15  # a new report is smoothed over some ten statements; 0.05 oscillates
EJECTED_COST_S = 0.25  # a usual objective; an outlier is used when others would miss it
LOG_INTERVAL_S = 1.0  # at most one line a second shows what decided


class SpreadOption:
    """Selects the option of the lowest cost besides the load, and migrates from it by the load.

    The probability to migrate to an option that gains `gain` seconds is gain / (gain + scale). The
    scale grows with the age of the information, so that all VMs together do not move more than the
    difference. Source: Fischer and Vöcking, "Adaptive Routing with Stale Information", 2005.

    Outliers come last, except for single probes. While load is not reported, it selects the lowest
    cost and uses no random numbers.
    """

    __slots__ = ("board", "estimator", "randomness", "_cheapest", "_logged_at")

    def __init__(self, board: Board, estimator: LoadEstimator, randomness: Randomness) -> None:
        self.board = board
        self.estimator = estimator
        self.randomness = randomness
        self._cheapest = CheapestOption()
        self._logged_at = float("-inf")

    def choose(self, request: SessionRequest, options: list[ServingOption]) -> ServingOption | None:
        """Return the option to use, or none if the request must wait."""
        if not self.board.loads.is_reported:
            return self._cheapest.choose(request, options)
        available = [option for option in options if option.has_capacity()]
        if len(available) < 2:
            return available[0] if available else None
        return self._probe(request, available) or self._migrate(available)

    def _probe(self, request: SessionRequest, options: list[ServingOption]) -> ServingOption | None:
        """Return an ejected endpoint that a read may check; another endpoint can repeat it."""
        if not request.is_standalone_read() or request.tried_endpoints:
            return None
        now = self.board.clock.now()
        outliers = self.board.outliers
        due = (item for item in options if outliers.is_probe_due(item.endpoint.name, now))
        return next(due, None)

    def _migrate(self, options: list[ServingOption]) -> ServingOption:
        fixed = [option.cost - option.load_s + self._penalty_s(option) for option in options]
        limit = min(fixed) + EQUAL_COST_S
        nearest = [number for number, cost in enumerate(fixed) if cost <= limit]
        start = nearest[int(self.randomness.random() * len(nearest))]
        total = fixed[start] + options[start].load_s
        gains = [
            max(0.0, total - cost - option.load_s)
            for cost, option in zip(fixed, options, strict=True)
        ]
        best = max(gains)
        if best <= 0.0:
            return options[start]
        age_s = self._age_s(options[start])
        scale = max(MIN_MIGRATION_S, MIGRATION_AGES * age_s)
        point = self.randomness.random()
        if point >= best / (best + scale):
            return options[start]
        chosen = self._draw(options, gains)
        self._log(options[start], chosen, best, age_s)
        return chosen

    def _draw(self, options: list[ServingOption], gains: list[float]) -> ServingOption:
        """Return a random option, in proportion to its gain."""
        point = self.randomness.random() * sum(gains)
        for option, gain in zip(options, gains, strict=True):
            point -= gain
            if point < 0.0:
                return option
        return options[gains.index(max(gains))]

    def _age_s(self, option: ServingOption) -> float:
        """Return the age of what is known of the option that would be left."""
        age_s = self.estimator.age_s(option.endpoint)
        return MAX_REPORT_AGE_S if age_s is None else age_s

    def _penalty_s(self, option: ServingOption) -> float:
        share = self.board.outliers.share_of(option.endpoint.name)
        return 0.0 if share >= 1.0 or self.randomness.random() < share else EJECTED_COST_S

    def _log(
        self, start: ServingOption, chosen: ServingOption, gain_s: float, age_s: float
    ) -> None:
        self.board.loads.migrations += 1
        self.board.loads.decided_age_s = age_s
        now = self.board.clock.now()
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        self.board.timeline.log_only(
            EventKind.LOAD_SPREAD,
            chosen.endpoint.name,
            f"less load than {start.endpoint.name}",
            gain_ms=round(gain_s * 1000),
            load_ms=round(chosen.load_s * 1000),
            load_age_ms=round(age_s * 1000),
            migrations=self.board.loads.migrations,
        )
