"""Proofs that an endpoint has every commit that was handed on, before it is promoted.

One of two is enough:

- The VMs say what they handed on. An endpoint that has received all of it has every commit that a
  caller was told of, whichever replicas confirmed them. Commits that were handed on by VMs that do
  not say so, as they have ended or are out of touch, are covered by a position that the primary had
  after that.
- All replicas that may have confirmed a commit are paused, and the most advanced of them has all.
  A replica confirms only commits that the primary already has, and one that has ended confirms
  nothing more. So an endpoint that reaches a position that the primary had after the end of another
  one has every commit that the other one confirmed.

Without a proof nobody is promoted. That no commit is known which the endpoint certainly lacks is
none: what VMs say is an upper and a lower bound of each commit, and an endpoint between the two may
lack it. The lost primary has every commit and comes back with its log.

A commit that VMs say to be after what the endpoint has refutes both: a replica that nobody has
heard of has confirmed it.
"""

from __future__ import annotations

from ...blackboard import Board
from ...blackboard.configuration import Group
from ...blackboard.groups import PromotionProof
from ...blackboard.handedon import HandedOnReport
from ...blackboard.registrations import Registration
from ...positions import LOG_START, Position
from ..groupview import GroupView
from ..leases import handed_on_report

MAX_ESTIMATED_LAG_S = 0.4  # two probes; an attempt shows what the endpoints have received


class PromotionProofs:
    """Decides by what the endpoints have received, and what VMs and replicas are known to have.

    `_insufficient` has by group what the VMs had handed on when an attempt last failed.
    """

    __slots__ = ("board", "view", "_insufficient")

    def __init__(self, board: Board, view: GroupView) -> None:
        self.board = board
        self.view = view
        self._insufficient: dict[str, HandedOnReport] = {}

    def reset(self) -> None:
        """Forget the failed attempts: the VMs reported to another leader."""
        self._insufficient.clear()

    def note_failure(self, group: Group) -> None:
        """Note what an endpoint needs before another attempt is worth its cost."""
        self._insufficient[group.name] = handed_on_report(self.board, group)

    def find(
        self, group: Group, received: dict[str, Position], terminated: set[str]
    ) -> PromotionProof | None:
        """Return a proof that an endpoint that answered has all commits handed on, or none.

        `received` has what those that answered have received; `terminated` are among the others.
        VMs must know of the promotion.
        """
        report = handed_on_report(self.board, group)
        if _lacks_commit(report, received):
            return None
        if self._has_all_confirmed(group, received, terminated):
            return PromotionProof.REPLICAS
        if self._reaches(group, report, received):
            return PromotionProof.HANDED_ON
        return None

    def could_promote(self, group: Group) -> bool:
        """Return whether a promotion would now find a proof, by the probes.

        What VMs handed on is not known before the promotion begins; most probably the primary had
        nothing more than when it was last observed.
        """
        known, terminated = self._probed(group)
        insufficient = self._insufficient.get(group.name)
        if not known or (insufficient is not None and _lacks_commit(insufficient, known)):
            return False
        return self._has_all_confirmed(group, known, terminated) or self._may_have_all(
            group, insufficient, known
        )

    def explain(self, group: Group, received: dict[str, Position], terminated: set[str]) -> str:
        """Return why neither proof was found after the pauses, with what is known of everyone."""
        reasons = [handed_on_report(self.board, group).describe(self.board.clock.now())]
        return ", ".join(reasons + self._explain_endpoints(group, received, terminated))

    def explain_probes(self, group: Group) -> str:
        """Return why no promotion could be finished, with what is known of everyone.

        What the VMs handed on is that of the last attempt that failed, if there was one.
        """
        insufficient = self._insufficient.get(group.name)
        now = self.board.clock.now()
        reasons = [insufficient.describe(now)] if insufficient is not None else []
        return ", ".join(reasons + self._explain_endpoints(group, *self._probed(group)))

    def _probed(self, group: Group) -> tuple[dict[str, Position], set[str]]:
        """Return the positions of the endpoints that answer probes, and the terminated ones."""
        known: dict[str, Position] = {}
        terminated: set[str] = set()
        for replica in self.view.replicas(group):
            health = self.board.groups.health.get(replica.name)
            if health is not None and self.view.is_healthy(replica.name):
                known[replica.name] = health.position or LOG_START
            elif health is not None and health.terminated_since is not None:
                terminated.add(replica.name)
        if self.view.is_healthy(group.primary or ""):
            known[group.primary] = self.board.groups.health[group.primary].position or LOG_START
        return known, terminated

    def _explain_endpoints(
        self, group: Group, received: dict[str, Position], terminated: set[str]
    ) -> list[str]:
        """Return what is known of the primary, and of each endpoint that may have confirmed."""
        observed = self.board.observations.newest(group.name)
        reasons = ["the primary was never observed"]
        if observed is not None:
            age_s = self.board.clock.now() - observed.taken_at
            reasons = [f"the primary had {observed.position} {age_s:.2f} s ago"]
        for replica in self.view.replicas(group):
            if replica.name in received:
                reasons.append(f"{replica.name} has {received[replica.name]}")
            elif replica.name in terminated:
                reasons.append(f"{replica.name} has ended")
            else:
                reasons.append(f"{replica.name} did not answer")
        return reasons + [f"{name} {text}" for name, text in self.view.explain_departures(group)]

    def _may_have_all(
        self,
        group: Group,
        insufficient: HandedOnReport | None,
        known: dict[str, Position],
    ) -> bool:
        """Return whether an endpoint probably has all that VMs will say that they handed on.

        `insufficient` is what they said in an attempt that failed, if there was one.
        """
        newest = self.board.observations.newest(group.name)
        if newest is None:
            return False
        since = newest.taken_at - MAX_ESTIMATED_LAG_S
        if not self.view.reaches_primary_since(group.name, since, list(known.values())):
            return False
        return insufficient is None or self._reaches(group, insufficient, known)

    def _reaches(self, group: Group, report: HandedOnReport, received: dict[str, Position]) -> bool:
        """Return whether an endpoint has all that a report covers, and what is not in it."""
        required = report.position or LOG_START
        positions = [position for position in received.values() if position.reaches(required)]
        return self.view.reaches_primary_since(group.name, report.unreported_until, positions)

    def _has_all_confirmed(
        self, group: Group, received: dict[str, Position], terminated: set[str]
    ) -> bool:
        """Return whether the endpoints that answered have all that the others may have confirmed.

        The others are the replicas that did not answer, of which some are `terminated`, and the
        departed ones.
        """
        if self._named_primary_lost_log(group, received) and self._covers_named_primary(
            group, received
        ):
            return True  # nothing was handed on since it was named
        positions = list(received.values())
        covered = group.primary if self._covers_named_primary(group, received) else None
        ended_at = self.view.last_end_at(group, covered)
        # The primary has every commit, also those that only departed replicas confirmed.
        has_primary = group.primary in received and self.board.configuration.has_led(group)
        has_departed_commits = ended_at is None or has_primary
        if not has_departed_commits and not self.view.reaches_primary_since(
            group.name, ended_at, positions
        ):
            return False
        return all(
            replica.name in received
            or replica.name == covered
            or (replica.name in terminated and self._covers_terminated(replica, positions))
            for replica in self.view.replicas(group)
        )

    def _named_primary_lost_log(self, group: Group, received: dict[str, Position]) -> bool:
        """Return whether the named primary has lost its log, which it would have kept if it led."""
        succession = self.board.configuration.successions.get(group.name)
        position = received.get(group.primary or "")
        if succession is None or succession.is_confirmed or position is None:
            return False
        kept = succession.kept()
        return kept is not None and not position.reaches(kept)

    def _covers_named_primary(self, group: Group, received: dict[str, Position]) -> bool:
        """Return whether another endpoint has what a primary that has not led yet had received.

        If it led unseen, a replica that is still to be heard confirmed its commits.
        """
        succession = self.board.configuration.successions.get(group.name)
        kept = succession.kept() if succession is not None else None
        if kept is None or succession.is_confirmed:
            return False
        return any(
            name != group.primary and position.reaches(kept) for name, position in received.items()
        )

    def _covers_terminated(self, replica: Registration, positions: list[Position]) -> bool:
        """Return whether another endpoint has all that a terminated replica may have confirmed.

        `positions` are what the endpoints that answered have received.
        """
        health = self.board.groups.health.get(replica.name)
        if health is None or health.terminated_since is None:
            return False
        return self.view.reaches_primary_since(replica.group, health.terminated_since, positions)


def _lacks_commit(report: HandedOnReport, received: dict[str, Position]) -> bool:
    """Return whether a commit was handed on that no endpoint which answered has."""
    return not received or (
        report.passed is not None
        and all(report.passed.reaches(position) for position in received.values())
    )
