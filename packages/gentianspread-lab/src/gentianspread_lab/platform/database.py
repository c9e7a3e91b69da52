"""One group of stand-in endpoints: a log, a primary, and what each endpoint ran."""

from __future__ import annotations


class Run:
    """A statement that an endpoint ran: whose, with which values, and on how much of the log."""

    __slots__ = ("number", "text", "workspace", "values", "seen")

    def __init__(
        self, number: str, text: str, workspace: str, values: dict[str, str], seen: int
    ) -> None:
        self.number = number
        self.text = text
        self.workspace = workspace
        self.values = values
        self.seen = seen


class Copy:
    """One endpoint's copy of the group's log; `held_term` is above 0 while it must not receive."""

    __slots__ = ("name", "log", "held_term", "alive")

    def __init__(self, name: str) -> None:
        self.name = name
        self.log: list[str] = []
        self.held_term = 0
        self.alive = True


class Database:
    """A group whose commits are acknowledged once a replica has them.

    `log` entries are the ids of committed writes.
    """

    __slots__ = ("copies", "term", "primary", "runs", "promotions", "fence")

    def __init__(self, names: list[str]) -> None:
        self.copies = {name: Copy(name) for name in names}
        self.term = 1
        self.primary = names[0]
        self.runs: list[Run] = []
        self.promotions: list[str] = []
        self.fence = 0

    def leads(self, name: str) -> bool:
        """Tell whether an endpoint is the primary."""
        return name == self.primary

    def position(self, name: str) -> str:
        """Return where an endpoint's log stands."""
        return f"{self.term}.{len(self.copies[name].log)}"

    def commit(self, name: str, writes: list[str]) -> bool:
        """Append writes at the primary; return whether a replica has them."""
        self.copies[name].log.extend(writes)
        receivers = [
            item
            for item in self.copies.values()
            if item.name != name and item.alive and not item.held_term
        ]
        for copy in receivers:
            copy.log = list(self.copies[name].log)
        return bool(receivers)

    def rejoin(self, name: str) -> None:
        """Have a crashed endpoint follow the primary, unless it still is the primary itself."""
        copy = self.copies[name]
        copy.held_term = 0
        if self.primary and self.primary != name:
            copy.log = list(self.copies[self.primary].log)

    def promote(self, name: str, fence: int) -> bool:
        """Have an endpoint lead the next term, unless the call is older than another."""
        if fence < self.fence or not self.copies[name].alive:
            return False
        self.fence = fence
        if name == self.primary:
            return True
        self.promotions.append(name)
        self.primary = name
        self.term += 1
        for copy in self.copies.values():
            copy.held_term = 0
            if copy.alive:
                copy.log = list(self.copies[name].log)
        return True
