"""Admission: how much work is accepted and kept under way while endpoints lack capacity."""

from .accounting import AccountingController
from .admission import AdmitAll, ReportedAdmission
from .concurrency import LateReplyLimit, QueueingDelayLimit

__all__ = [
    "AccountingController",
    "AdmitAll",
    "LateReplyLimit",
    "QueueingDelayLimit",
    "ReportedAdmission",
]
