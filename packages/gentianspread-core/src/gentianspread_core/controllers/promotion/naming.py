"""What the control log says of a group's primary: entries that name it or confirm that it leads."""

from __future__ import annotations

from typing import Any

from ...blackboard import Board
from ...blackboard.configuration import Group
from ...blackboard.groups import Promotion
from ..groupview import GroupView

UNSEEN_PRIMARY_DELAY_S = 0.5  # two probes


class PrimaryNaming:
    """Builds the fields of the entries.

    `_confirmed` has by group the revision of the succession for which an entry was proposed.
    """

    __slots__ = ("board", "view", "_confirmed")

    def __init__(self, board: Board, view: GroupView) -> None:
        self.board = board
        self.view = view
        self._confirmed: dict[str, int] = {}

    def reset(self) -> None:
        """Forget what was proposed."""
        self._confirmed.clear()

    def adoption(self, group: Group) -> dict[str, Any] | None:
        """Name the endpoint that leads if the log has another one or none.

        No call may take effect while the group has no promotion and its named primary has led.
        Replicas that departed earlier may still hold the only other copy of a commit.
        """
        leading = self.view.leading_endpoint(group)
        is_settled = group.granted_term == group.term and self.board.configuration.has_led(group)
        if leading is None or leading.name == group.primary or not is_settled:
            return None
        fields = {"group": group.name, "term": group.term, "endpoint": leading.name}
        return {**fields, "covers_departed": False}

    def confirmation(self, group: Group) -> dict[str, Any] | None:
        """Confirm, once, that the endpoint that was named when its call was answered now leads.

        One that started again before it led lacks what it had when it was paused.
        """
        succession = self.board.configuration.successions.get(group.name)
        if succession is None or succession.is_confirmed or group.granted_term != group.term:
            return None
        health = self.board.groups.health.get(group.primary or "")
        is_seen = health is not None and health.probed and health.is_primary
        if not is_seen or self._confirmed.get(group.name) == succession.revision:
            return None
        self._confirmed[group.name] = succession.revision
        kept = succession.kept()
        fields = {"group": group.name, "term": group.term, "endpoint": group.primary}
        has_position = kept is not None and health.position is not None
        if has_position and health.position.reaches(kept) and self._has_same_log(group):
            fields["kept"] = kept.to_pair()
        return fields

    def _has_same_log(self, group: Group) -> bool:
        """Return whether the named primary is not known to have started again since it was paused.

        If it did, its position may be of commits that it made as primary of an empty log.
        """
        lost = self.board.groups.lost_logs_at.get(group.name, {})
        prefix = f"{group.primary}/"
        return group.primary not in lost and not any(
            name.startswith(prefix) for name in group.departed
        )

    def leader_after_calls(self, promotion: Promotion, group: Group) -> str | None:
        """Return the endpoint that leads once earlier calls can no longer take effect, if known.

        The platform's answer about a named primary is enough if this VM does not reach it.
        """
        leading = self.view.leading_since(group, promotion.due)
        is_over = self.board.clock.now() >= promotion.due + UNSEEN_PRIMARY_DELAY_S
        if leading is None and is_over and promotion.confirms_primary:
            is_unreachable = not self.view.is_healthy(promotion.target or "")
            return promotion.target if is_unreachable else None
        return leading

    def result(self, promotion: Promotion, group: Group) -> dict[str, Any]:
        """Name the target of a promotion, which ends it.

        If its only call was just answered, the target does not lead yet.
        """
        target = promotion.target or ""
        fields: dict[str, Any] = {
            "group": group.name,
            "term": promotion.fencing_token,
            "endpoint": target,
            "led_throughout": promotion.is_only_call,
            "leads": promotion.confirms_primary or not promotion.is_only_call,
        }
        kept = promotion.received_positions.get(target)
        if kept is not None and promotion.is_only_call:
            fields["kept"] = kept.to_pair()
        return fields
