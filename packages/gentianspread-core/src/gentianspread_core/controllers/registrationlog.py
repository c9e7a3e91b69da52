"""Registration log: records on the control leader which endpoints join, leave or start again."""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.commands import CommandKind
from ..blackboard.departures import DepartureEvidence
from ..blackboard.election import Role
from ..blackboard.registrations import Registration
from ..blackboard.timeline import EventKind
from .configuration import AppliedCommand


class RegistrationLogController:
    """Records events; owns no section.

    `_known` has the registrations before the last command, `_by_address` the name at each address.
    Entries up to the index `_replayed_until` are of before this VM led.
    """

    __slots__ = ("board", "_known", "_by_address", "_replayed_until", "_is_replayed")

    def __init__(self, board: Board) -> None:
        self.board = board
        self._known: dict[str, Registration] = {}
        self._by_address: dict[str, str] = {}
        self._replayed_until = 0
        self._is_replayed = False

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.COMMAND_APPLIED: self.on_applied,
            Topic.LEADERSHIP_CHANGED: self.on_leadership,
        }

    def on_leadership(self, _entry: None) -> None:
        """Start from the endpoints that are registered now."""
        self._known = dict(self.board.configuration.endpoints)
        self._by_address = {item.address: item.name for item in self._known.values()}
        self._replayed_until = self.board.log.last_index()

    def on_applied(self, applied: AppliedCommand) -> None:
        """Record what a registration or deregistration changed."""
        command = applied.entry.command
        if self.board.election.role is not Role.LEADER or not applied.outcome.accepted:
            return
        self._is_replayed = applied.entry.index <= self._replayed_until
        if command.kind is CommandKind.REGISTER_ENDPOINT:
            self._record_registration(command.fields["name"], command.fields["address"])
        elif command.kind is CommandKind.ENDPOINT_GONE:
            evidence = command.fields.get("evidence", DepartureEvidence.DEREGISTERED.value)
            self._record_departure(command.fields["name"], evidence)

    def _record_registration(self, name: str, address: str) -> None:
        evicted = self._by_address.get(address)
        if evicted is not None and evicted != name:
            self._record_departure(evicted, f"{name} has registered at its address")
        current, before = self.board.configuration.endpoints.get(name), self._known.get(name)
        if current is None:
            return
        self._known[name], self._by_address[address] = current, name
        if before is None:
            self._record(EventKind.ENDPOINT_JOINED, current)
        elif current.incarnation > before.incarnation:
            self._record(EventKind.ENDPOINT_RESTARTED, current)
        elif current.leaving and not before.leaving:
            self._record(EventKind.ENDPOINT_LEAVING, current)

    def _record_departure(self, name: str, cause: str) -> None:
        before = self._known.get(name)
        if before is None or name in self.board.configuration.endpoints:
            return
        del self._known[name]
        if self._by_address.get(before.address) == name:
            del self._by_address[before.address]
        health = self.board.groups.health.get(name)
        position = str(health.position) if health is not None and health.position else ""
        self._record(EventKind.ENDPOINT_DEPARTED, before, cause, last_position=position)

    def _record(
        self, kind: EventKind, registration: Registration, cause: str = "", **details: Any
    ) -> None:
        if self._is_replayed:
            return
        group = self.board.configuration.groups.get(registration.group)
        is_open = group is not None and group.granted_term != group.term
        self.board.timeline.record(
            kind,
            f"endpoint {registration.name}",
            ", ".join(filter(None, (cause, "during a promotion" if is_open else ""))),
            group=registration.group,
            zone=registration.zone,
            incarnation=registration.incarnation,
            fence=group.granted_term if group is not None else 0,
            **details,
        )
