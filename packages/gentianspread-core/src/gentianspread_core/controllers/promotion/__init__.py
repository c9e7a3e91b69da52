"""Changes of the primary of groups whose terms the database assigns."""

from .controller import PromotionController

__all__ = ["PromotionController"]
