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
            _to_pair(report.position),
            now - report.unreported_until,
            _to_pair(report.passed),
        ]
        for group, report in reports.items()
    }


def decode_handed_on(record: dict[str, list[Any]], now: float) -> dict[str, HandedOnReport]:
    """Return the reports in a message that arrived at `now`; raises `ValueError` or `TypeError`.

    The delay of the message makes times later, so that a report never covers too much.
    """
    return {
        group: HandedOnReport(after_term, _from_pair(pair), now - age_s, _from_pair(passed))
        for group, (after_term, pair, age_s, passed) in record.items()
    }


def _to_pair(position: Position | None) -> list[int] | None:
    return position.to_pair() if position is not None else None


def _from_pair(pair: list[int] | None) -> Position | None:
    return Position.from_pair(pair) if pair is not None else None
