"""Encoding of what VMs say in polls of the commits that they handed on before a promotion."""

from __future__ import annotations

from typing import Any

from gentianspread_core.blackboard.handedon import HandedOnReport
from gentianspread_core.positions import Position


def encode_handed_on(reports: dict[str, HandedOnReport], now: float) -> dict[str, list[Any]]:
    """Return the JSON types; a time is sent as its age in seconds."""
    return {
        group: [
            report.after_term,
            report.position.to_pair() if report.position is not None else None,
            now - report.unreported_until,
        ]
        for group, report in reports.items()
    }


def decode_handed_on(record: dict[str, list[Any]], now: float) -> dict[str, HandedOnReport]:
    """Return the reports in a message that arrived at `now`; raises `ValueError` or `TypeError`.

    The delay of the message makes times later, so that a report never covers too much.
    """
    return {
        group: HandedOnReport(
            after_term, Position.from_pair(pair) if pair is not None else None, now - age_s
        )
        for group, (after_term, pair, age_s) in record.items()
    }
