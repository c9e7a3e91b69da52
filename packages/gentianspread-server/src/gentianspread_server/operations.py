"""Operators' routes: changes, the fleet's status and the timeline of events."""

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

MAX_RATE_PER_S = 1_000_000
NAME_SCHEMA = {"type": "string", "pattern": "^[A-Za-z0-9_-]{1,100}$"}


def _object_schema(**properties: Any) -> dict[str, Any]:
    return {
        "type": "object",
        "required": list(properties),
        "additionalProperties": False,
        "properties": properties,
    }


FIELD_SCHEMAS = {
    CommandKind.CREATE_WORKSPACE: _object_schema(
        name=NAME_SCHEMA,
        rate={"type": "number", "exclusiveMinimum": 0, "maximum": MAX_RATE_PER_S},
        burst={"type": "number", "minimum": 1, "maximum": MAX_RATE_PER_S},
    ),
    CommandKind.GIVE_KEY: _object_schema(
        workspace=NAME_SCHEMA,
        name=NAME_SCHEMA,
        key_hash={"type": "string", "pattern": "^[0-9a-f]{64}$"},
    ),
    CommandKind.WITHDRAW_KEY: _object_schema(name=NAME_SCHEMA),
    CommandKind.SWITCH_PRESET: _object_schema(preset={"enum": [preset.value for preset in Preset]}),
    CommandKind.OPEN_ROUTE: _object_schema(name=NAME_SCHEMA, group=NAME_SCHEMA),
    CommandKind.DRAIN_MEMBER: _object_schema(name=NAME_SCHEMA, draining={"type": "boolean"}),
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
_check_change_fields = {
    kind: fastjsonschema.compile(schema) for kind, schema in FIELD_SCHEMAS.items()
}


class Operations:
    """Handles operators' requests on one VM."""

    __slots__ = ("engine", "board", "proposer", "distribution")

    def __init__(self, engine: Engine, proposer: Proposer, distribution: Distribution) -> None:
        self.engine = engine
        self.board: Board = engine.board
        self.proposer = proposer
        self.distribution = distribution

    def change(self, body: bytes) -> bytes:
        """Propose an operator's change and return its outcome."""
        command = self._decode_change(decode_json_object(body))
        outcome = self.proposer.propose(command)
        kind = EventKind.CHANGE_ACCEPTED if outcome.accepted else EventKind.CHANGE_REJECTED
        self.board.timeline.record(
            kind, f"change {command.change_id}", command.kind.value, code=outcome.code
        )
        if not outcome.accepted:
            raise Refusal(ErrorCode(outcome.code), outcome.message)
        return encode_json(outcome.to_record())

    def status(self, body: bytes) -> bytes:
        """Return this VM's view of the fleet."""
        configuration = self.board.configuration
        evacuations = [_to_record(item) for item in configuration.evacuations.values()]
        return encode_json(
            {
                **({"evacuations": evacuations} if evacuations else {}),
                "vm": self.board.settings.member,
                "zone": self.board.settings.zone,
                "role": self.board.election.role.value,
                "leader": self.distribution.leader(),
                "fresh": self.board.is_fresh(),
                "revision": configuration.revision,
                "operator_revision": configuration.operator_revision,
                "preset": configuration.preset.value,
                "stopping": not self.board.shutdown.accepts_new_work(),
                "voters": self.board.log.voters or list(self.distribution.addresses.seeds),
                "workspaces": [_to_record(item) for item in configuration.workspaces.values()],
                "keys": [self._key_to_record(item) for item in configuration.keys.values()],
                "open_routes": configuration.open_routes,
                "groups": [_to_record(item) for item in configuration.groups.values()],
                "endpoints": [_to_record(item) for item in configuration.endpoints.values()],
                "members": [
                    self._member_to_record(item) for item in configuration.members.values()
                ],
                "allocators": [_to_record(item) for item in configuration.allocators.values()],
                "invariant_breaks": self.engine.invariants.violations,
            }
        )

    def timeline(self, body: bytes) -> bytes:
        """Return this VM's events."""
        return encode_json([event.to_record() for event in self.board.timeline.events])

    def _decode_change(self, message: dict[str, Any]) -> Command:
        try:
            _check_change(message)
            kind = CommandKind(message["kind"])
            _check_change_fields[kind](message["fields"])
        except fastjsonschema.JsonSchemaException as error:
            raise Refusal(ErrorCode.BAD_REQUEST, f"{error.message}.") from None
        if kind is CommandKind.CREATE_WORKSPACE:
            self._check_burst(message["fields"])
        return Command(
            kind, message["fields"], message["change_id"], message.get("expected_revision")
        )

    def _check_burst(self, fields: dict[str, Any]) -> None:
        min_burst = 1 + fields["rate"] * self.board.settings.token_ttl_s
        if fields["burst"] < min_burst:
            raise Refusal(
                ErrorCode.INVALID_CHANGE,
                f"A rate of {fields['rate']:g} a second needs a burst of at least {min_burst:g}.",
            )

    def _key_to_record(self, key: Any) -> dict[str, Any]:
        return {"name": key.name, "workspace": key.workspace, "withdrawn": key.withdrawn}

    def _member_to_record(self, member: Any) -> dict[str, Any]:
        record = _to_record(member)
        contact = self.board.members.last_contacts.get(member.name)
        is_self = member.name == self.board.settings.member
        record["seen_s"] = 0.0 if is_self else None
        record["revision"] = self.board.configuration.revision if is_self else None
        if contact is not None and not is_self:
            record["seen_s"] = round(self.board.clock.now() - contact.at, 3)
            record["revision"] = contact.revision
        return record


def _to_record(item: Any) -> dict[str, Any]:
    return {slot: getattr(item, slot) for slot in item.__slots__}
