"""Writes the part of the capacity page that comes from a sweep of the users' bench.

Run as python -m gentianspread_lab.sweep [--output=FILE --sweep_page=FILE]. A sweep plays one day at
several sizes of the fleet; each row of its table has, for each size, the middle and the busiest VM
of a role, the power of the size with which the busiest grows, and the value at the target's size.
"""

from __future__ import annotations

import re

from absl import app, flags

flags.DEFINE_string("output", "docs/bench/sweep.txt", "Table that a sweep printed.")
flags.DEFINE_string("sweep_page", "docs/CAPACITY.md", "Page to rewrite.")

SECTION_TITLE = "## Slopes of the users' bench"
NEXT_SECTION = "## What runs today"
HEADER = re.compile(r"own machines\n(?P<sizes>[\d ]+?) +power +at (?P<target>\d+)")
ROW = re.compile(
    r"^(?P<name>[a-z][^\n]*?) {2,}(?P<values>[\d.]+ / [\d.]+(?: +[\d.]+ / [\d.]+)*) +"
    r"(?P<power>-?[\d.]+) +(?P<target>[\d.]+)$",
    re.MULTILINE,
)


class Limit:
    """The most that a row may have at the target size, where it comes from, and what would help."""

    __slots__ = ("value", "source", "remedy")

    def __init__(self, value: float, source: str, remedy: str) -> None:
        self.value = value
        self.source = source
        self.remedy = remedy


LIMITS = {
    "control: memory MB": Limit(256.0, "the users' size", "Keep fewer outcomes in the state."),
    "control: processor %": Limit(
        100.0, "one core", "Divide probes of endpoints and polls over more VMs."
    ),
    "config acked, ms": Limit(
        10_000.0, "the users' size", "Find what an acknowledgement waits for as the fleet grows."
    ),
    "config in force, ms": Limit(10_000.0, "the users' size", "Shorter polls."),
}


class SweepRow:
    """One row: the name, the busiest VM's value by size, the power and the value at the target."""

    __slots__ = ("name", "busiest", "power", "at_target")

    def __init__(self, name: str, busiest: list[float], power: float, at_target: float) -> None:
        self.name = name
        self.busiest = busiest
        self.power = power
        self.at_target = at_target

    @classmethod
    def from_match(cls, match: re.Match[str]) -> SweepRow:
        """Build from a matched line of the table."""
        pairs = re.findall(r"[\d.]+ / ([\d.]+)", match["values"])
        busiest = [float(value) for value in pairs]
        return cls(match["name"], busiest, float(match["power"]), float(match["target"]))

    def fits(self) -> bool | None:
        """Return whether the value at the target is within its limit, or none without a limit."""
        limit = LIMITS.get(self.name)
        return None if limit is None else self.at_target <= limit.value


class Sweep:
    """A sweep's table: the sizes played, the target size, both in VMs, and the rows."""

    __slots__ = ("sizes", "target", "rows")

    def __init__(self, sizes: list[int], target: int, rows: list[SweepRow]) -> None:
        self.sizes = sizes
        self.target = target
        self.rows = rows

    @classmethod
    def from_text(cls, text: str) -> Sweep:
        """Build from what the bench printed; raises ValueError if there is no table in it."""
        header = HEADER.search(text)
        rows = [SweepRow.from_match(match) for match in ROW.finditer(text)]
        if header is None or not rows:
            raise ValueError("No table of a sweep; save what the bench's sweep prints.")
        sizes = [int(size) for size in header["sizes"].split()]
        return cls(sizes, int(header["target"]), rows)


def render_section(sweep: Sweep) -> str:
    """Return the section of the capacity page."""
    sizes = [f"{size} VMs" for size in sweep.sizes]
    header = ["what", *sizes, "power", f"at {sweep.target:,} VMs", "limit", "fits"]
    lines = [SECTION_TITLE, "", _INTRODUCTION, ""]
    lines += [_line(header), _line(["---"] * len(header))]
    for row in sweep.rows:
        limit = LIMITS.get(row.name)
        bound = f"{limit.value:g} ({limit.source})" if limit else ""
        fits = {None: "", True: "yes", False: "**no**"}[row.fits()]
        values = [f"{value:g}" for value in row.busiest]
        lines.append(
            _line([row.name, *values, f"{row.power:g}", f"{row.at_target:g}", bound, fits])
        )
    lines.append("")
    lines += [
        f"- **{row.name}**: {row.at_target:g} against {LIMITS[row.name].value:g}. "
        f"{LIMITS[row.name].remedy}"
        for row in sweep.rows
        if row.fits() is False
    ]
    return "\n".join(lines).rstrip() + "\n\n"


def replace_section(
    page: str, section: str, title: str = SECTION_TITLE, following: str = NEXT_SECTION
) -> str:
    """Return the page with the section in front of another one, instead of an earlier version."""
    start = page.find(title)
    end = page.index(following)
    if start < 0:
        start = end
    return page[:start] + section + page[end:]


def _line(cells: list[str]) -> str:
    return f"| {' | '.join(cells)} |"


_INTRODUCTION = """The busiest VM of each role on one day that the users' bench plays at several
sizes, from `docs/bench/sweep.txt`; `python -m gentianspread_lab.sweep` writes this section from it.
The last sizes give the power with which a value grows, and that leads to the value at the target,
which is not played."""


def main(_arguments: list[str]) -> None:
    """Rewrite the section of the page."""
    with open(flags.FLAGS.output, encoding="utf-8") as file:
        sweep = Sweep.from_text(file.read())
    with open(flags.FLAGS.sweep_page, encoding="utf-8") as file:
        page = replace_section(file.read(), render_section(sweep))
    with open(flags.FLAGS.sweep_page, "w", encoding="utf-8") as file:
        file.write(page)
    print(f"wrote {flags.FLAGS.sweep_page}")


if __name__ == "__main__":
    app.run(main)
