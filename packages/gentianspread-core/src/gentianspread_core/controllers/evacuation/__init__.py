"""Evacuations: no more requests to the endpoints of a zone that operators take out of service."""

from .controller import EvacuationController
from .filter import EvacuationFilter

__all__ = ["EvacuationController", "EvacuationFilter"]
