"""Shows where requests of a played day were lost, from the logs that the VMs wrote.

Run as python -m gentianspread_lab.platform.daylog --log=FILE [--first=S --last=S --step=S]. Each
line of the file is the time in seconds, the VM's name and a structured log line; other lines are
passed over.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Any

import orjson
from absl import app, flags

log = logging.getLogger(__name__)

flags.DEFINE_string("log", None, "File with the logs of a played day.", required=True)
flags.DEFINE_float("first", float("-inf"), "First second of the day to show.")
flags.DEFINE_float("last", float("inf"), "Last second of the day to show.")
flags.DEFINE_float("step", 1.0, "Length of a row in seconds.", lower_bound=0.01)

ANSWERED = "request_answered"
REFUSED = "request_refused"
RECOVERY_STEPS = ("started", "leader_elected", "freshness_regained")
MAX_CAUSES = 8


class LogLine:
    """One structured log line: the time in seconds, the VM, the kind of event and its cause.

    `details` are the event's own fields, as JSON values.
    """

    __slots__ = ("time", "vm", "kind", "cause", "details")

    def __init__(
        self, time: float, vm: str, kind: str, cause: str, details: dict[str, Any]
    ) -> None:
        self.time = time
        self.vm = vm
        self.kind = kind
        self.cause = cause
        self.details = details

    @classmethod
    def from_text(cls, text: str) -> LogLine | None:
        """Build from a line of the file; none if it is not a structured log line."""
        parts = text.split(None, 2)
        if len(parts) < 3 or not parts[2].startswith("{"):
            return None
        try:
            time, fields = float(parts[0]), orjson.loads(parts[2])
        except ValueError as error:
            log.debug("a line is passed over: %s", error)
            return None
        details = fields.get("details") or {}
        return cls(time, parts[1], fields.get("message", ""), fields.get("cause", ""), details)


class Interval:
    """What happened to requests in a part of the day.

    `refused` counts refusals by cause; those before any attempt are marked, since nothing was sent
    to an endpoint for them.
    """

    __slots__ = ("answered", "refused")

    def __init__(self) -> None:
        self.answered = 0
        self.refused: Counter[str] = Counter()

    def add(self, line: LogLine) -> None:
        """Count a line."""
        if line.kind == ANSWERED:
            self.answered += 1
        elif line.kind == REFUSED:
            is_untried = line.details.get("attempts") == 0
            self.refused[f"{line.cause} (untried)" if is_untried else line.cause] += 1


def read_lines(texts: Iterable[str], first: float, last: float) -> Iterator[LogLine]:
    """Yield the structured log lines between two times."""
    for text in texts:
        line = LogLine.from_text(text)
        if line is not None and first <= line.time <= last:
            yield line


def count_by_interval(lines: Iterable[LogLine], step: float) -> dict[int, Interval]:
    """Return what happened to requests, by the number of the interval."""
    intervals: dict[int, Interval] = {}
    for line in lines:
        if line.kind in (ANSWERED, REFUSED):
            intervals.setdefault(int(line.time // step), Interval()).add(line)
    return intervals


def recovery_times(lines: Iterable[LogLine]) -> dict[str, list[float]]:
    """Return the times of starts, elections and regained freshness, by the kind of event."""
    times: dict[str, list[float]] = {kind: [] for kind in RECOVERY_STEPS}
    for line in lines:
        if line.kind in times:
            times[line.kind].append(line.time)
    return times


def render(lines: list[LogLine], step: float) -> str:
    """Return the tables of requests and of recovery as Markdown."""
    rows = ["| second | answered | refused, by cause |", "| --- | --- | --- |"]
    for number, interval in sorted(count_by_interval(lines, step).items()):
        causes = [f"{cause} {count}" for cause, count in interval.refused.most_common(MAX_CAUSES)]
        rows.append(f"| {number * step:g} | {interval.answered} | {', '.join(causes)} |")
    rows += ["", "| event | count | first | last |", "| --- | --- | --- | --- |"]
    for kind, times in recovery_times(lines).items():
        if times:
            rows.append(f"| {kind} | {len(times)} | {min(times):.2f} | {max(times):.2f} |")
    return "\n".join(rows)


def main(_arguments: list[str]) -> None:
    """Print the tables of a file."""
    values = flags.FLAGS
    with open(values.log, encoding="utf-8", errors="replace") as file:
        lines = list(read_lines(file, values.first, values.last))
    print(render(lines, values.step))


if __name__ == "__main__":
    app.run(main)
