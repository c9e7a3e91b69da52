"""Placement: chooses an endpoint, a connection and a time for each request of a session."""

from .controller import PlacementController

__all__ = ["PlacementController"]
