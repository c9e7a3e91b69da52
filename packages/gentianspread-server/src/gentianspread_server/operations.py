"""Operators' routes: changes, the fleet's status and the time line."""

from __future__ import annotations

from typing import Any

import fastjsonschema
from gentianspread_core.blackboard import Board
from gentianspread_core.blackboard.commands import OPERATOR_KINDS, Command, CommandKind, Preset
from gentianspread_core.blackboard.timeline import EventKind
from gentianspread_core.engine import Engine
from gentianspread_core.errors import ErrorCode, Refusal

from .distribution import Distribution
from .proposals import Proposer
from .wsgi import decode_json_object, encode_json

HIGHEST_RATE = 1_000_000
NAME = {"type": "string", "pattern": "^[A-Za-z0-9_-]{1,100}$"}


def _fields(**properties: Any) -> dict[str, Any]:
    return {
        "type": "object",
        "required": list(properties),
        "additionalProperties": False,
        "properties": properties,
    }


FIELD_SCHEMAS = {
    CommandKind.CREATE_WORKSPACE: _fields(
        name=NAME,
        rate={"type": "number", "exclusiveMinimum": 0, "maximum": HIGHEST_RATE},
        burst={"type": "number", "minimum": 1, "maximum": HIGHEST_RATE},
    ),
    CommandKind.GIVE_KEY: _fields(
        workspace=NAME, name=NAME, key_hash={"type": "string", "pattern": "^[0-9a-f]{64}$"}
    ),
    CommandKind.WITHDRAW_KEY: _fields(name=NAME),
    CommandKind.SWITCH_PRESET: _fields(preset={"enum": [preset.value for preset in Preset]}),
    CommandKind.OPEN_ROUTE: _fields(name=NAME, group=NAME),
    CommandKind.DRAIN_MEMBER: _fields(name=NAME, draining={"type": "boolean"}),
}
CHANGE_SCHEMA = {
    "type": "object",
    "required": ["kind", "fields", "change_id"],
    "additionalProperties": False,
    "properties": {
        "kind": {"enum": [kind.value for kind in OPERATOR_KINDS]},
        "fields": {"type": "object"},
        "change_id": {"type": "string", "minLength": 1, "maxLength": 200},
        "expected_revision": {"type": ["integer", "null"], "minimum": 0},
    },
}
_check_change = fastjsonschema.compile(CHANGE_SCHEMA)
_check_fields = {kind: fastjsonschema.compile(schema) for kind, schema in FIELD_SCHEMAS.items()}


class Operations:
    """Answers operators on one VM."""

    __slots__ = ("engine", "board", "proposer", "distribution")

    def __init__(self, engine: Engine, proposer: Proposer, distribution: Distribution) -> None:
        self.engine = engine
        self.board: Board = engine.board
        self.proposer = proposer
        self.distribution = distribution

    def change(self, body: bytes) -> bytes:
        """Carry out an operator's change and answer with its outcome."""
        command = self._decode(decode_json_object(body))
        outcome = self.proposer.propose(command)
        kind = EventKind.CHANGE_ACCEPTED if outcome.accepted else EventKind.CHANGE_REJECTED
        self.board.timeline.record(
            kind, f"change {command.change_id}", command.kind.value, code=outcome.code
        )
        if not outcome.accepted:
            raise Refusal(ErrorCode(outcome.code), outcome.message)
        return encode_json(outcome.to_record())

    def status(self, body: bytes) -> bytes:
        """Answer with this VM's view of the fleet."""
        configuration = self.board.configuration
        return encode_json(
            {
                "vm": self.board.settings.member,
                "zone": self.board.settings.zone,
                "role": self.board.election.role.value,
                "leader": self.distribution.leader(),
                "fresh": self.board.is_fresh(),
                "revision": configuration.revision,
                "operator_revision": configuration.operator_revision,
                "preset": configuration.preset.value,
                "stopping": self.board.stopping,
                "voters": self.board.log.voters or list(self.distribution.addresses.seeds),
                "workspaces": [_row(item) for item in configuration.workspaces.values()],
                "keys": [self._key_row(item) for item in configuration.keys.values()],
                "open_routes": configuration.open_routes,
                "groups": [_row(item) for item in configuration.groups.values()],
                "endpoints": [_row(item) for item in configuration.endpoints.values()],
                "members": [self._member_row(item) for item in configuration.members.values()],
                "allocators": [_row(item) for item in configuration.allocators.values()],
                "invariant_breaks": self.engine.invariants.violations,
            }
        )

    def timeline(self, body: bytes) -> bytes:
        """Answer with this VM's events."""
        return encode_json([event.to_record() for event in self.board.timeline.events])

    def _decode(self, message: dict[str, Any]) -> Command:
        try:
            _check_change(message)
            kind = CommandKind(message["kind"])
            _check_fields[kind](message["fields"])
        except fastjsonschema.JsonSchemaException as error:
            raise Refusal(ErrorCode.BAD_REQUEST, f"{error.message}.") from None
        if kind is CommandKind.CREATE_WORKSPACE:
            self._check_burst(message["fields"])
        return Command(
            kind, message["fields"], message["change_id"], message.get("expected_revision")
        )

    def _check_burst(self, fields: dict[str, Any]) -> None:
        least = 1 + fields["rate"] * self.board.settings.token_ttl_s
        if fields["burst"] < least:
            raise Refusal(
                ErrorCode.INVALID_CHANGE,
                f"A rate of {fields['rate']:g} a second needs a burst of at least {least:g}.",
            )

    def _key_row(self, key: Any) -> dict[str, Any]:
        return {"name": key.name, "workspace": key.workspace, "withdrawn": key.withdrawn}

    def _member_row(self, member: Any) -> dict[str, Any]:
        row = _row(member)
        sighting = self.board.members.last_contacts.get(member.name)
        is_self = member.name == self.board.settings.member
        row["seen_s"] = 0.0 if is_self else None
        row["revision"] = self.board.configuration.revision if is_self else None
        if sighting is not None and not is_self:
            row["seen_s"] = round(self.board.clock.now() - sighting.at, 3)
            row["revision"] = sighting.revision
        return row


def _row(item: Any) -> dict[str, Any]:
    return {slot: getattr(item, slot) for slot in item.__slots__}
