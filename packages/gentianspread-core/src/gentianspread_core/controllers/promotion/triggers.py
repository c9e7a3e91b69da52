"""Why a group needs a promotion."""

from __future__ import annotations

from ...blackboard import Board
from ...blackboard.configuration import Group
from ...blackboard.groups import Health
from ...blackboard.registrations import Registration
from ..groupview import PROBE_FAILURE_THRESHOLD, GroupView
from ..successors import Successors
from .log import PromotionLog
from .proofs import PromotionProofs


class PromotionTriggers:
    """Decides by the endpoints' health, registrations and the evacuations.

    `_blocked` are the groups whose primary is lost and left in place.
    """

    __slots__ = ("board", "view", "successors", "proofs", "log", "_blocked")

    def __init__(
        self,
        board: Board,
        view: GroupView,
        successors: Successors,
        proofs: PromotionProofs,
        log: PromotionLog,
    ) -> None:
        self.board = board
        self.view = view
        self.successors = successors
        self.proofs = proofs
        self.log = log
        self._blocked: set[str] = set()

    def reset(self) -> None:
        """Forget which groups were left with a lost primary."""
        self._blocked.clear()

    def reason_for(self, group: Group) -> str:
        """Return why the group needs a promotion, or an empty text."""
        if group.primary is None:
            return ""
        registration = self.board.configuration.endpoints.get(group.primary)
        health = self.board.groups.health.get(group.primary)
        leading = self.view.leading_endpoint(group)
        if leading is not None and leading.name != group.primary:
            return f"{leading.name} reports that it leads instead of {group.primary}"
        if registration is not None and (health is None or not health.probed):
            return ""
        loss = self._loss_of_primary(group, registration, health)
        if loss:
            is_under_way = group.granted_term != group.term
            return loss if is_under_way or self._could_promote(group, loss) else ""
        self._blocked.discard(group.name)
        if group.granted_term != group.term:
            return "the outcome of an earlier promotion is unknown"
        if self.successors.is_delayed(registration):
            return ""
        return self.successors.handover_reason(group, registration)

    def _could_promote(self, group: Group, loss: str) -> bool:
        """Return whether a promotion could be finished; if not, record why, once."""
        if self.proofs.could_promote(group):
            self._blocked.discard(group.name)
            return True
        if group.name not in self._blocked:
            self._blocked.add(group.name)
            self.log.blocked(group, loss, self.proofs.explain_probes(group))
        return False

    def _loss_of_primary(
        self, group: Group, registration: Registration | None, health: Health | None
    ) -> str:
        """Return why the primary counts as lost, or an empty text.

        Nothing is begun that could not be finished: entry VMs may still reach the primary.
        """
        if registration is None:
            return f"the primary {group.primary} is not registered any more"
        if health.failures >= PROBE_FAILURE_THRESHOLD:
            return f"the primary {group.primary} did not answer {health.failures} probes"
        if health.failures == 0 and health.not_primary_answers >= PROBE_FAILURE_THRESHOLD:
            return f"the primary {group.primary} reports that it does not lead"
        return ""
