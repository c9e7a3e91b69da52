"""Mutants of the rules of evacuations: name, holder, attribute and replacement of each."""

from __future__ import annotations

from typing import Any

from gentianspread_core import state_machine
from gentianspread_core.blackboard.commands import ChangeOutcome, Command
from gentianspread_core.blackboard.configuration import Configuration, Evacuation
from gentianspread_core.blackboard.evacuations import Evacuations as EvacuationSection
from gentianspread_core.blackboard.registrations import Registration
from gentianspread_core.controllers.evacuation import EvacuationController, EvacuationFilter
from gentianspread_core.controllers.groupview import GroupView
from gentianspread_core.controllers.placement.candidates import Candidates
from gentianspread_core.controllers.successors import Successors
from gentianspread_server.evacuations import Evacuations
from gentianspread_server.pauses import PauseDetector

ORIGINAL_SET_EVACUATION = state_machine._set_evacuation
ORIGINAL_ON_CHANGED = EvacuationController.on_changed


def _acknowledge_immediately(self: Evacuations, command: Command) -> ChangeOutcome:
    return ChangeOutcome(True, 0, "", "")


def _ignore_what_is_in_force(
    configuration: Configuration, command: Command, is_active: bool
) -> None:
    if configuration.is_evacuated(command.fields["zone"]) is not is_active:
        ORIGINAL_SET_EVACUATION(configuration, command, is_active)


def _set_without_comparison(
    configuration: Configuration, command: Command, is_active: bool
) -> None:
    zone = command.fields["zone"]
    changed = Evacuation(zone, is_active, configuration.revision, configuration.revision)
    configuration.evacuations = {**configuration.evacuations, zone: changed}


def _count_bound_from_now(self: EvacuationController, confirmed_at: float) -> None:
    ORIGINAL_ON_CHANGED(self, self.board.clock.now())


def _stays_in_evacuated_zone(self: GroupView, endpoint: Registration) -> bool:
    return not endpoint.leaving


def _yes(*_arguments: Any) -> bool:
    return True


def _no(*_arguments: Any) -> bool:
    return False


def _nothing(*_arguments: Any) -> int:
    return 0


EVACUATION_MUTANTS: tuple[tuple[str, Any, str, Any], ...] = (
    (
        "evacuation acknowledged before the majority holds it",
        Evacuations,
        "_propose",
        _acknowledge_immediately,
    ),
    (
        "delayed evacuations take effect",
        state_machine,
        "_set_evacuation",
        _set_without_comparison,
    ),
    (
        "commands for what is in force overtake no others",
        state_machine,
        "_set_evacuation",
        _ignore_what_is_in_force,
    ),
    ("requests after a pause are taken", PauseDetector, "has_just_resumed", _no),
    ("evacuated endpoints get work", EvacuationFilter, "allows", _yes),
    ("open transactions outlive evacuations", EvacuationController, "_end_transactions", _nothing),
    ("running transactions outlive evacuations", EvacuationController, "_is_over", _no),
    (
        "the bound counts from when a VM learns",
        EvacuationController,
        "on_changed",
        _count_bound_from_now,
    ),
    ("excluded requests wait", Candidates, "is_excluded_everywhere", _no),
    ("primaries step down for any replica", Successors, "has_close_successor", _yes),
    ("requests go on after the bound", EvacuationSection, "is_past_bound", _no),
    ("evacuated endpoints lead", GroupView, "is_staying", _stays_in_evacuated_zone),
)
