"""Announcements: endpoints report to any VM their address and state, or that they deregister."""

from __future__ import annotations

import logging
from typing import Any

import fastjsonschema
import gevent
from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.departures import departure_label
from gentianspread_core.blackboard.registrations import (
    MAX_COUNT,
    MAX_GROUP_SIZE,
    MAX_NAME_CHARS,
    Registration,
    find_fault,
)
from gentianspread_core.controllers.warmup import announced_warmup, doubt_command
from gentianspread_core.errors import ErrorCode, GentianspreadError, Refusal

from .proposals import Proposer

log = logging.getLogger(__name__)

DEREGISTRATION_RETRY_INTERVAL_S = 0.5
DEREGISTRATION_TIMEOUT_S = (
    30.0  # by then the control leader has detected that the endpoint terminated
)
REGISTRATION_TIMEOUT_S = 0.7  # endpoints switch to another VM after 1 s
ANNOUNCEMENT_SCHEMA = {
    "type": "object",
    "required": [
        "name",
        "address",
        "zone",
        "group",
        "leaving",
        "connections",
        "slots",
        "group_size",
    ],
    "additionalProperties": False,
    "properties": {
        "name": {"type": "string", "minLength": 1, "maxLength": MAX_NAME_CHARS},
        "address": {"type": "string", "pattern": "^[0-9a-fA-F.:\\[\\]]+:[0-9]+$"},
        "zone": {"type": "string", "minLength": 1, "maxLength": MAX_NAME_CHARS},
        "group": {"type": "string", "minLength": 1, "maxLength": MAX_NAME_CHARS},
        "leaving": {"type": "boolean"},
        "connections": {"type": "integer", "minimum": 1, "maximum": MAX_COUNT},
        "slots": {"type": "integer", "minimum": 1, "maximum": MAX_COUNT},
        "group_size": {"type": "integer", "minimum": 1, "maximum": MAX_GROUP_SIZE},
    },
}
_check_schema = fastjsonschema.compile(ANNOUNCEMENT_SCHEMA)


class Announcements:
    """Proposes to register and deregister endpoints to the control log."""

    __slots__ = ("board", "proposer", "_pending", "_deregistering", "_doubted")

    def __init__(self, board: Board, proposer: Proposer) -> None:
        self.board = board
        self.proposer = proposer
        self._pending: set[str] = set()
        self._deregistering: set[str] = set()
        self._doubted: set[str] = set()
        board.changes.subscribe(Topic.ENDPOINTS_DOUBTED, self._on_doubted)

    def accept(self, message: dict[str, Any]) -> None:
        """Validate an announcement, and propose it in the background if it changes anything."""
        try:
            _check_schema(message)
        except fastjsonschema.JsonSchemaException as error:
            raise Refusal(ErrorCode.BAD_REQUEST, f"{error.message}.") from None
        fault = find_fault(message)
        if fault:
            raise Refusal(ErrorCode.BAD_REQUEST, f"The announcement is invalid: {fault}.")
        if not self._is_registered(message) and message["name"] not in self._pending:
            self._pending.add(message["name"])
            gevent.spawn(self._propose_announcement, message)

    def register(self, fields: dict[str, Any], cold_s: float | None = None) -> bool:
        """Propose an endpoint's registration; return whether it is certainly in the log.

        A registration that changes nothing, or is older than the one in the log, counts as in it.
        One of a group that is not declared is not proposed. `cold_s` is how much longer the
        endpoint stays cold, in seconds, none if it does not say. This is proposed first, so that no
        VM knows the endpoint without it.
        """
        if not self.board.configuration.may_have_group(fields["group"]):
            log.warning("announcement of %s ignored: its group is not declared", fields["name"])
            return False
        warmup = announced_warmup(self.board, fields, cold_s)
        has_warmup = warmup is None or self._try_to_propose(warmup, fields["name"])
        # A control leader of an older build takes no warm-up, but the registration.
        return self._register(fields) and has_warmup

    def _register(self, fields: dict[str, Any]) -> bool:
        registered = self.board.configuration.endpoints.get(fields["name"])
        registration = Registration(**fields)
        if registered is not None and not registration.is_newer_than(registered):
            return True
        if registered is not None and not registered.differs_from(registration):
            return True
        command = Command(CommandKind.REGISTER_ENDPOINT, fields)
        return self._try_to_propose(command, registration.name)

    def deregister(self, name: str, incarnation: int) -> bool:
        """Propose to remove a terminated endpoint; return whether that is certainly in the log."""
        registered = self.board.configuration.endpoints.get(name)
        if registered is None:
            self._report_running(name, incarnation)
            return True
        fields = {"name": name, "incarnation": incarnation or registered.incarnation}
        command = Command(CommandKind.ENDPOINT_GONE, fields)
        if self._try_to_propose(command, name):
            return True
        if name not in self._deregistering:
            self._deregistering.add(name)
            gevent.spawn(self._retry_deregistration, command, name)
        return False

    def _report_running(self, name: str, incarnation: int) -> None:
        """Let the control leader know in the background that a departed endpoint still runs."""
        if departure_label(name, incarnation) in self.board.configuration.departures:
            command = Command(CommandKind.ENDPOINT_GONE, {"name": name, "incarnation": incarnation})
            gevent.spawn(self._try_to_propose, command, name)

    def _retry_deregistration(self, command: Command, name: str) -> None:
        """Retry a deregistration until the log has it, as the endpoint may not send it again."""
        deadline = self.board.clock.now() + DEREGISTRATION_TIMEOUT_S
        while name in self.board.configuration.endpoints:
            gevent.sleep(DEREGISTRATION_RETRY_INTERVAL_S)
            if self._try_to_propose(command, name) or self.board.clock.now() > deadline:
                break
        self._deregistering.discard(name)

    def _on_doubted(self, incarnations: dict[str, int]) -> None:
        """Propose in the background that endpoints are doubted to which a VM lost connections."""
        for name, incarnation in incarnations.items():
            command = doubt_command(self.board, name, incarnation)
            if command is not None and name not in self._doubted:
                self._doubted.add(name)
                gevent.spawn(self._propose_doubt, command, name)

    def _propose_doubt(self, command: Command, name: str) -> None:
        try:
            self._try_to_propose(command, name)
        finally:
            self._doubted.discard(name)

    def _try_to_propose(self, command: Command, name: str) -> bool:
        try:
            self.proposer.propose(command, REGISTRATION_TIMEOUT_S)
        except GentianspreadError as error:
            log.warning("proposing the announcement of %s failed: %s", name, error.message)
            return False
        return True

    def _is_registered(self, message: dict[str, Any]) -> bool:
        registered = self.board.configuration.endpoints.get(message["name"])
        return registered is not None and all(
            getattr(registered, field) == value for field, value in message.items()
        )

    def _propose_announcement(self, message: dict[str, Any]) -> None:
        try:
            self.proposer.propose(Command(CommandKind.REGISTER_ENDPOINT, message))
        except GentianspreadError as error:
            log.warning(
                "proposing the announcement of %s failed: %s", message["name"], error.message
            )
        finally:
            self._pending.discard(message["name"])
