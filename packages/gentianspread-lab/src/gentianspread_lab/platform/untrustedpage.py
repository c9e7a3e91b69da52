"""The part of the capacity page about untrusted clients, from a saved table.

Run as python -m gentianspread_lab.platform.untrustedpage, after the output of the module
untrustedload was saved to `OUTPUT`.
"""

from __future__ import annotations

from ..sweep import SECTION_TITLE, replace_section

OUTPUT = "docs/bench/untrusted.md"
TITLE = "## Untrusted clients"
PAGE = "docs/CAPACITY.md"
_INTRODUCTION = """One entry VM with the memory of the table and 1,570 descriptors in its
settings, and clients that are not ordinary ones, all at once; `python -m
gentianspread_lab.platform.untrustedload` prints the table, saved in
`docs/bench/untrusted.md`. Shown are the memory of its settings, the resident memory before
and at the peak, the peak with the bytes that the kernel holds for the callers' port, the
sockets of the process, and how many sessions of ordinary callers, one after the other, were
served while the clients' connections were open. The limits are on [a page for
operators](operator/untrusted-clients.md)."""


_READING = """The memory stays within the settings. Each session of an ordinary caller had 2 s, on a
machine that other work kept busy (load about 20 on 7 cores); why some were not served in that time
is not traced. In the first row the ordinary callers had a process of their own; in the others they
shared that of the clients, where 0 of 4 were served in place of the first row's figure."""


def render_untrusted(table: str) -> str:
    """Return the section of the capacity page."""
    return f"{TITLE}\n\n{_INTRODUCTION}\n\n{table.strip()}\n\n{_READING}\n\n"


def main() -> None:
    """Rewrite the section of the page."""
    with open(OUTPUT, encoding="utf-8") as file:
        section = render_untrusted(file.read())
    with open(PAGE, encoding="utf-8") as file:
        page = replace_section(file.read(), section, TITLE, SECTION_TITLE)
    with open(PAGE, "w", encoding="utf-8") as file:
        file.write(page)
    print(f"wrote {PAGE}")


if __name__ == "__main__":
    main()
