"""Ways to choose an endpoint by old load information, which the load model compares."""

from __future__ import annotations

import math
import random
from typing import Any

from gentianspread_core.blackboard import Board
from gentianspread_core.blackboard.endpoints import Endpoint
from gentianspread_core.controllers.balancing import SpreadOption, StaleLoadEstimator
from gentianspread_core.controllers.placement.selection import CheapestOption, ServingOption

WEIGHT_SCALE_S = 0.01  # half of a statement


class TrustingEstimator(StaleLoadEstimator):
    """Takes each report as the present load, and ignores own statements since."""

    __slots__ = ()

    def weight(self, age_s: float) -> float:
        """Return full weight for every age."""
        return 1.0

    def unreported(self, endpoint: Endpoint) -> int:
        """Return no own statements."""
        return 0


class AgedEstimator(StaleLoadEstimator):
    """Discounts old reports, and ignores own statements since."""

    __slots__ = ()

    def unreported(self, endpoint: Endpoint) -> int:
        """Return no own statements."""
        return 0


class TwoChoices:
    """The cheaper of two random options (Mitzenmacher, "How Useful Is Old Information?")."""

    __slots__ = ("randomness",)

    def __init__(
        self, _board: Board, _estimator: StaleLoadEstimator, randomness: random.Random
    ) -> None:
        self.randomness = randomness

    def choose(self, _request: Any, options: list[ServingOption]) -> ServingOption:
        """Return the cheaper one of two options."""
        return min(self.randomness.sample(options, 2), key=lambda option: option.cost)


class AnyOption:
    """A uniformly random option."""

    __slots__ = ("randomness",)

    def __init__(
        self, _board: Board, _estimator: StaleLoadEstimator, randomness: random.Random
    ) -> None:
        self.randomness = randomness

    def choose(self, _request: Any, options: list[ServingOption]) -> ServingOption:
        """Return any option."""
        return self.randomness.choice(options)


class FixedOption:
    """Each VM always uses the same endpoint: a deterministic split."""

    __slots__ = ("number",)

    def __init__(
        self, board: Board, _estimator: StaleLoadEstimator, _randomness: random.Random
    ) -> None:
        self.number = int(board.settings.member[1:])

    def choose(self, _request: Any, options: list[ServingOption]) -> ServingOption:
        """Return the VM's option."""
        return options[self.number % len(options)]


class WeightedOption:
    """An option drawn in proportion to exp(-cost / `WEIGHT_SCALE_S`) (logit choice)."""

    __slots__ = ("randomness",)

    def __init__(
        self, _board: Board, _estimator: StaleLoadEstimator, randomness: random.Random
    ) -> None:
        self.randomness = randomness

    def choose(self, _request: Any, options: list[ServingOption]) -> ServingOption:
        """Return one option."""
        lowest = min(option.cost for option in options)
        weights = [math.exp((lowest - option.cost) / WEIGHT_SCALE_S) for option in options]
        return self.randomness.choices(options, weights)[0]


class EagerSpread(SpreadOption):
    """The product's selector, as if all information were new."""

    __slots__ = ()

    def _age_s(self, _option: ServingOption) -> float:
        return 0.0


class Cheapest(CheapestOption):
    """The lowest cost, with the constructor of the other ways."""

    __slots__ = ()

    def __init__(
        self, _board: Board, _estimator: StaleLoadEstimator, _randomness: random.Random
    ) -> None:
        super().__init__()


WAYS: dict[str, tuple[type, type]] = {
    "minimum of reports": (TrustingEstimator, Cheapest),
    "minimum; aged": (AgedEstimator, Cheapest),
    "minimum; aged; own added": (StaleLoadEstimator, Cheapest),
    "two random choices": (TrustingEstimator, TwoChoices),
    "two choices; aged; own added": (StaleLoadEstimator, TwoChoices),
    "weights; aged; own added": (StaleLoadEstimator, WeightedOption),
    "migration; age and own ignored": (TrustingEstimator, EagerSpread),
    "migration; own ignored": (AgedEstimator, SpreadOption),
    "migration; aged; own added": (StaleLoadEstimator, SpreadOption),
    "random": (StaleLoadEstimator, AnyOption),
    "fixed split": (StaleLoadEstimator, FixedOption),
}
