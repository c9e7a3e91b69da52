"""Mutants of the rules that keep acknowledged commits at promotions."""

from __future__ import annotations

from typing import Any

from gentianspread_core import state_machine
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.configuration import Configuration, Group
from gentianspread_core.blackboard.groups import Promotion
from gentianspread_core.blackboard.leases import CommitLeases
from gentianspread_core.blackboard.outbox import EndpointCommand
from gentianspread_core.blackboard.requests import StatementKind
from gentianspread_core.blackboard.sessions import SessionRequest
from gentianspread_core.blackboard.successions import Succession
from gentianspread_core.controllers import leases
from gentianspread_core.controllers.commits import CommitGuard, CommitState
from gentianspread_core.controllers.promotion import announcing
from gentianspread_core.controllers.promotion.calls import PromoteCalls
from gentianspread_core.controllers.promotion.commands import PromotionCommands
from gentianspread_core.controllers.promotion.controller import PromotionController
from gentianspread_core.controllers.promotion.naming import PrimaryNaming
from gentianspread_core.controllers.promotion.pausing import PausedReplicas
from gentianspread_core.positions import Position

ORIGINAL_CONCERNS = CommitGuard.concerns
ORIGINAL_RESULT = PrimaryNaming.result
ORIGINAL_MAY_TAKE_EFFECT = PromoteCalls.may_take_effect
ORIGINAL_SET_PRIMARY = state_machine._HANDLERS[CommandKind.NAME_PRIMARY]


def _always_kept(self: CommitGuard, request: SessionRequest) -> CommitState:
    return CommitState.KEPT


def _no_age(self: CommitGuard) -> float:
    return 0.0


def _forget_call(self: PromoteCalls, promotion: Promotion, target: str) -> None:
    position = promotion.received_positions.get(target)
    if position is not None:
        self._sufficient.setdefault(promotion.group, position)


def _know_every_call(self: PromoteCalls, group: str, except_for: str = "") -> bool:
    self._begun.add(group)
    return ORIGINAL_MAY_TAKE_EFFECT(self, group, except_for)


def _finish_at_once(
    self: PromotionController, promotion: Promotion, command: EndpointCommand
) -> None:
    if not command.accepted:
        self._abort(promotion, "the promote call was refused or got no answer")
    else:
        self._finish(promotion, self.board.configuration.groups[promotion.group])


def _adopt_any_leader(self: PrimaryNaming, group: Group) -> dict[str, Any] | None:
    leading = self.view.leading_endpoint(group)
    if leading is None or leading.name == group.primary:
        return None
    return {"group": group.name, "term": group.granted_term, "endpoint": leading.name}


def _set_primary_that_led(configuration: Configuration, command: Command) -> None:
    changed = Command(command.kind, {**command.fields, "led_throughout": True})
    ORIGINAL_SET_PRIMARY(configuration, changed)


def _keep_any_term(self: Succession, position: Position) -> bool:
    return position.index <= self.kept_index


def _concern_single_writes(self: CommitGuard, request: SessionRequest) -> bool:
    return ORIGINAL_CONCERNS(self, request) and request.kind is StatementKind.WRITE


def _concern_own_connections(self: CommitGuard, request: SessionRequest) -> bool:
    connection = getattr(request.exchange, "connection", None)
    is_relayed = connection is not None and connection.home is not None
    return ORIGINAL_CONCERNS(self, request) and not is_relayed


def _result_that_leads(self: PrimaryNaming, promotion: Promotion, group: Group) -> dict[str, Any]:
    return {**ORIGINAL_RESULT(self, promotion, group), "leads": True}


def _yes(*_arguments: Any) -> bool:
    return True


def _no(*_arguments: Any) -> bool:
    return False


def _none(*_arguments: Any) -> None:
    return None


LEASE_MUTANTS: tuple[tuple[str, Any, str, Any], ...] = (
    ("commits are handed on during promotions", CommitGuard, "state_of", _always_kept),
    ("leases on commits do not expire", CommitGuard, "_lease_age", _no_age),
    ("promotions wait for no VM", announcing, "every_vm_knows", _yes),
    ("VMs that did not report know", CommitLeases, "oldest_applied", _none),
    ("leaders wait for no lease to expire", leases, "MAX_LEASE_WAIT_S", 0.0),
    ("calls without an answer are forgotten", PromoteCalls, "add", _forget_call),
    (
        "confirmed primaries are named at once",
        PromotionController,
        "_handle_promote_result",
        _finish_at_once,
    ),
    (
        "primaries are adopted while a call is open",
        PrimaryNaming,
        "adoption",
        _adopt_any_leader,
    ),
    ("new leaders know of every call", PromoteCalls, "may_take_effect", _know_every_call),
    (
        "calls that may have changed the primary are not recorded",
        state_machine,
        "_HANDLERS",
        {**state_machine._HANDLERS, CommandKind.NAME_PRIMARY: _set_primary_that_led},
    ),
    ("positions of any term are kept", Succession, "keeps", _keep_any_term),
    ("all positions are kept", Succession, "keeps", _yes),
    ("commits of transactions are not withheld", CommitGuard, "concerns", _concern_single_writes),
    ("relayed commits are not withheld", CommitGuard, "concerns", _concern_own_connections),
    ("terms of pauses are not raised", PromotionCommands, "repeat_with_newer_term", _no),
    ("named primaries lead", PrimaryNaming, "result", _result_that_leads),
    ("earlier positions do not suffice", PausedReplicas, "_reaches_earlier_target", _no),
)
