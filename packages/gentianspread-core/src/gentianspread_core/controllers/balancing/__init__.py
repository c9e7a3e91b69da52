"""Balancing: what is known of the load of endpoints, and how work is spread over them."""

from .loads import LoadController, measure_load

__all__ = ["LoadController", "measure_load"]
