"""Admission: how much work is accepted and kept under way while endpoints lack capacity."""

from .concurrency import LateReplyLimit, QueueingDelayLimit

__all__ = ["LateReplyLimit", "QueueingDelayLimit"]
