"""Balancing: what is known of the load of endpoints, and how work is spread over them."""

from .estimates import StaleLoadEstimator
from .loads import LoadController, measure_load
from .outliers import OutlierController
from .selection import SpreadOption

__all__ = [
    "LoadController",
    "OutlierController",
    "SpreadOption",
    "StaleLoadEstimator",
    "measure_load",
]
