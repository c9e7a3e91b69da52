"""From when on departed replicas count as ended, on the control leader."""

from __future__ import annotations

from ..blackboard import Board
from ..blackboard.configuration import Group
from ..blackboard.departures import departure_label
from ..blackboard.timeline import EventKind

# For how long a replica may go on: one whose calls to deregister are not answered ends some seconds
# after the last one, and one that leaves goes on for many seconds after its announcement.
MAX_DEREGISTERED_S = 10.0
MAX_UNREACHABLE_S = 30.0


class DepartureTimes:
    """Notes when departures were last seen to run, and when they first counted as ended.

    A departed replica has ended once another start proves it, or after one of the times above.
    """

    __slots__ = ("board",)

    def __init__(self, board: Board) -> None:
        self.board = board

    def reset(self) -> None:
        """Forget all times: another leader has seen the departures."""
        self.board.groups.departures_seen_at.clear()
        self.board.groups.departures_ended_at.clear()

    def note_call(self, name: str, incarnation: int) -> None:
        """Note that a departed replica has deregistered again, so that it still ran."""
        label = departure_label(name, incarnation)
        departure = self.board.configuration.departures.get(label)
        if departure is None:
            return
        groups = self.board.groups
        groups.departures_seen_at.setdefault(departure.group, {})[label] = self.board.clock.now()
        groups.departures_ended_at.get(departure.group, {}).pop(label, None)

    def update(self, group: Group) -> None:
        """Note the departures and ends of a group that are new."""
        groups, now = self.board.groups, self.board.clock.now()
        known = groups.departures_seen_at.get(group.name, {})
        seen_at = {label: known.get(label, now) for label in group.departed}
        known_ends = groups.departures_ended_at.get(group.name, {})
        ended_at: dict[str, float] = {}
        for label in group.departed:
            evidence = self._evidence_of_end(label, seen_at[label])
            if label in known_ends:
                ended_at[label] = known_ends[label]
            elif evidence:
                ended_at[label] = now
                self._record_end(group, label, now - seen_at[label], evidence)
        groups.departures_seen_at[group.name] = seen_at
        groups.departures_ended_at[group.name] = ended_at

    def _evidence_of_end(self, label: str, seen_at: float) -> str:
        """Return why a departed replica confirms nothing more, or an empty text."""
        departure = self.board.configuration.departures.get(label)
        if departure is None:
            return "a later start under its name or at its address, or another answer there"
        limit_s = MAX_DEREGISTERED_S if departure.is_announced else MAX_UNREACHABLE_S
        if self.board.clock.now() - seen_at >= limit_s:
            return f"no sign of it for {limit_s:g} s"
        return ""

    def _record_end(self, group: Group, label: str, after_s: float, evidence: str) -> None:
        name = label.rpartition("/")[0]
        health = self.board.groups.health.get(name)
        self.board.timeline.record(
            EventKind.ENDPOINT_ENDED,
            f"endpoint {label}",
            evidence,
            group=group.name,
            after_s=round(after_s, 3),
            last_position=str(health.position) if health and health.position else "",
        )
