"""A picture of the time line: a row a VM, with failovers, promotions and refusals marked."""

from __future__ import annotations

from typing import Any

MS_PER_S = 1000.0
WIDTH_IN, HEIGHT_IN = 11, 6
MARK_SIZE = 22
COLORS = {
    "endpoint_suspected": "tab:gray",
    "failover_started": "tab:red",
    "primary_promoted": "tab:green",
    "request_refused": "tab:orange",
    "request_unknown": "tab:purple",
    "leader_elected": "tab:blue",
    "freshness_lost": "tab:brown",
}


def draw_timeline(events: list[dict[str, Any]], path: str) -> None:
    """Write a picture whose kind the path's ending names, such as PNG or SVG."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    marked = [event for event in events if event["kind"] in COLORS]
    members = sorted({event["member"] for event in marked})
    first = min((event["wall_ms"] for event in marked), default=0)
    pyplot.figure(figsize=(WIDTH_IN, HEIGHT_IN))
    for kind, color in COLORS.items():
        found = [event for event in marked if event["kind"] == kind]
        moments = [_seconds(event, first) for event in found]
        rows = [members.index(event["member"]) for event in found]
        pyplot.scatter(moments, rows, color=color, label=kind, s=MARK_SIZE)
    for start, end in _gaps(marked):
        pyplot.axvspan(_seconds(start, first), _seconds(end, first), color="tab:red", alpha=0.15)
    pyplot.yticks(range(len(members)), members)
    pyplot.xlabel("seconds")
    pyplot.legend(loc="upper left", bbox_to_anchor=(1.0, 1.0), fontsize="small")
    pyplot.tight_layout()
    pyplot.savefig(path)
    pyplot.close()


def _seconds(event: dict[str, Any], first_ms: int) -> float:
    return (event["wall_ms"] - first_ms) / MS_PER_S


def _gaps(events: list[dict[str, Any]]) -> list[tuple[dict[str, Any], dict[str, Any]]]:
    """Return the first sign of each lost primary with its promotion."""
    gaps = []
    started: dict[str, dict[str, Any]] = {}
    for event in events:
        if event["kind"] == "failover_started":
            started.setdefault(event["subject"], event)
        elif event["kind"] == "primary_promoted" and event["subject"] in started:
            gaps.append((started.pop(event["subject"]), event))
    return gaps
