"""Mutants of the rules of promotions: name, holder, attribute and replacement of each."""

from __future__ import annotations

import math
from typing import Any

from gentianspread_core import state_machine
from gentianspread_core.blackboard.departures import DepartureEvidence
from gentianspread_core.blackboard.groups import PromotionPhase
from gentianspread_core.blackboard.outbox import UnreachableReason
from gentianspread_core.controllers import departures, steps
from gentianspread_core.controllers.groupview import GroupView
from gentianspread_core.controllers.promotion import proofs
from gentianspread_core.controllers.promotion.proofs import PromotionProofs
from gentianspread_core.controllers.successors import Successors


def _paused_replicas(self: GroupView, group: Any) -> list[Any]:
    promotion = self.board.groups.promotions.get(group.name)
    replicas = [item for item in self.endpoints_of(group.name) if item.name != group.primary]
    if (
        promotion is None
        or promotion.phase is not PromotionPhase.PAUSING
        or not promotion.received_positions
    ):
        return replicas
    return [item for item in replicas if item.name in promotion.received_positions]


def _least_advanced_paused(self: Successors, promotion: Any) -> str:
    return min(
        promotion.received_positions, key=lambda name: promotion.received_positions[name].index
    )


ORIGINAL_HAS_ALL_CONFIRMED = PromotionProofs._has_all_confirmed


def _has_all_unless_refuted(
    self: PromotionProofs, group: Any, received: dict[str, Any], terminated: set[str]
) -> bool:
    """Take a replica that is not known to lack a commit for one that has every commit."""
    known = {*received, *terminated}
    is_known = self.view.last_end_at(group) != math.inf and all(
        item.name in known for item in self.view.replicas(group)
    )
    return is_known or ORIGINAL_HAS_ALL_CONFIRMED(self, group, received, terminated)


ORIGINAL_LIST_DEPARTED = state_machine.list_departed


def _list_departed_as_ended(configuration: Any, endpoint: Any, _evidence: Any) -> None:
    ORIGINAL_LIST_DEPARTED(configuration, endpoint, DepartureEvidence.REPLACED)


def _is_plain(request: Any) -> bool:
    return not request.session.transaction.is_read_only


def _no(*_arguments: Any) -> bool:
    return False


def _yes(*_arguments: Any) -> bool:
    return True


PROMOTION_MUTANTS: tuple[tuple[str, Any, str, Any], ...] = (
    ("promote once any replica is paused", GroupView, "replicas", _paused_replicas),
    (
        "promote the least advanced paused replica",
        Successors,
        "most_advanced",
        _least_advanced_paused,
    ),
    ("any unreachable replica is skipped", PromotionProofs, "_has_all_confirmed", _yes),
    (
        "no known counter-argument is a proof",
        PromotionProofs,
        "_has_all_confirmed",
        _has_all_unless_refuted,
    ),
    ("a deregistration is an end", state_machine, "list_departed", _list_departed_as_ended),
    ("a refused connection is an end", UnreachableReason, "proves_termination", _yes),
    ("replicas that left have ended", departures, "MAX_DEREGISTERED_S", 0.0),
    ("replicas that refuse have ended", departures, "MAX_UNREACHABLE_S", 0.0),
    ("commits that all replicas lack are ignored", proofs, "_lacks_commit", _no),
    ("every commit proves who leads", steps, "_is_refused_by_others", _is_plain),
    ("handed-on commits are not compared", PromotionProofs, "_reaches", _yes),
)
