"""Announcements: endpoints tell any VM where they are, and when they leave."""

from __future__ import annotations

import logging
from typing import Any

import fastjsonschema
import gevent
from gentianspread_core.blackboard import Board
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.configuration import Registration
from gentianspread_core.errors import ErrorCode, GentianspreadError, Refusal

from .proposals import Proposer

log = logging.getLogger(__name__)

DEPARTURE_PAUSE_S = 0.5  # seconds between two proposals of a departure
DEPARTURE_LIMIT_S = 30.0  # seconds; by then the endpoint's silence has told the control leader
REGISTRATION_LIMIT_S = 0.7  # seconds; endpoints wait 1 s before they turn to another VM
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
        "name": {"type": "string", "minLength": 1, "maxLength": 200},
        "address": {"type": "string", "pattern": "^[0-9a-fA-F.:\\[\\]]+:[0-9]+$"},
        "zone": {"type": "string", "minLength": 1, "maxLength": 200},
        "group": {"type": "string", "minLength": 1, "maxLength": 200},
        "leaving": {"type": "boolean"},
        "connections": {"type": "integer", "minimum": 1},
        "slots": {"type": "integer", "minimum": 1},
        "group_size": {"type": "integer", "minimum": 1, "maximum": 99},
    },
}
_check_schema = fastjsonschema.compile(ANNOUNCEMENT_SCHEMA)


class Announcements:
    """Has the control log know each endpoint as it last announced itself."""

    __slots__ = ("board", "proposer", "_pending", "_departing")

    def __init__(self, board: Board, proposer: Proposer) -> None:
        self.board = board
        self.proposer = proposer
        self._pending: set[str] = set()
        self._departing: set[str] = set()

    def take(self, message: dict[str, Any]) -> None:
        """Check an announcement; propose it if it tells something new."""
        try:
            _check_schema(message)
        except fastjsonschema.JsonSchemaException as error:
            raise Refusal(ErrorCode.BAD_REQUEST, f"{error.message}.") from None
        if not self._is_known(message) and message["name"] not in self._pending:
            self._pending.add(message["name"])
            gevent.spawn(self._propose, message)

    def register(self, fields: dict[str, Any]) -> bool:
        """Have the log know an endpoint's registration; return whether it is taken for certain.

        What tells nothing new, or is older than what is known, counts as taken.
        """
        known = self.board.configuration.endpoints.get(fields["name"])
        registration = Registration(**fields)
        if known is not None and not registration.is_newer_than(known):
            return True
        if known is not None and not known.differs_from(registration):
            return True
        command = Command(CommandKind.REGISTER_ENDPOINT, fields)
        return self._propose_now(command, registration.name)

    def forget(self, name: str, incarnation: int) -> bool:
        """Have the log forget an endpoint that ended; return whether it is taken for certain."""
        known = self.board.configuration.endpoints.get(name)
        if known is None:
            return True
        fields = {"name": name, "incarnation": incarnation or known.incarnation}
        command = Command(CommandKind.ENDPOINT_GONE, fields)
        if self._propose_now(command, name):
            return True
        if name not in self._departing:
            self._departing.add(name)
            gevent.spawn(self._forget_later, command, name)
        return False

    def _forget_later(self, command: Command, name: str) -> None:
        """Propose a departure until the log has it: the endpoint may not tell it again."""
        give_up_at = self.board.clock.now() + DEPARTURE_LIMIT_S
        while name in self.board.configuration.endpoints:
            gevent.sleep(DEPARTURE_PAUSE_S)
            if self._propose_now(command, name) or self.board.clock.now() > give_up_at:
                break
        self._departing.discard(name)

    def _propose_now(self, command: Command, name: str) -> bool:
        try:
            self.proposer.propose(command, REGISTRATION_LIMIT_S)
        except GentianspreadError as error:
            log.warning("announcement of %s: %s", name, error.message)
            return False
        return True

    def _is_known(self, message: dict[str, Any]) -> bool:
        known = self.board.configuration.endpoints.get(message["name"])
        return known is not None and all(
            getattr(known, field) == value for field, value in message.items()
        )

    def _propose(self, message: dict[str, Any]) -> None:
        try:
            self.proposer.propose(Command(CommandKind.REGISTER_ENDPOINT, message))
        except GentianspreadError as error:
            log.warning("announcement of %s: %s", message["name"], error.message)
        finally:
            self._pending.discard(message["name"])
