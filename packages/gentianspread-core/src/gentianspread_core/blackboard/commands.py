"""Commands of the control log: changes by operators and controllers, as typed values."""

from __future__ import annotations

from enum import Enum
from typing import Any


class CommandKind(Enum):
    """What a command changes; `UNREADABLE` stands for a record that no build of ours wrote."""

    NO_OP = "nothing"
    CREATE_WORKSPACE = "create_workspace"
    GIVE_KEY = "give_key"
    WITHDRAW_KEY = "withdraw_key"
    SWITCH_PRESET = "switch_preset"
    OPEN_ROUTE = "open_route"
    DRAIN_MEMBER = "drain_member"
    REGISTER_MEMBER = "register_member"
    REMOVE_MEMBER = "remove_member"
    REGISTER_ENDPOINT = "register_endpoint"
    ENDPOINT_LEAVING = "endpoint_leaving"
    GRANT_TERM = "grant_term"
    NAME_PRIMARY = "name_primary"
    NAME_ALLOCATOR = "name_allocator"
    CHANGE_VOTERS = "change_voters"
    VOTER_JOINED = "voter_joined"  # in logs of older builds
    DECLARE = "declare"
    CHANGE_DECLARATION = "change_declaration"
    ENDPOINT_GONE = "endpoint_gone"
    DEPARTURES_COVERED = "departures_covered"
    BEGIN_EVACUATION = "begin_evacuation"
    FINISH_EVACUATION = "finish_evacuation"
    ENDPOINT_WARMUP = "endpoint_warmup"
    ENDPOINT_DOUBTED = "endpoint_doubted"
    NAME_WARMUP_ALLOCATOR = "name_warmup_allocator"
    UNREADABLE = "unreadable"


OPERATOR_KINDS = frozenset(
    {
        CommandKind.CREATE_WORKSPACE,
        CommandKind.GIVE_KEY,
        CommandKind.WITHDRAW_KEY,
        CommandKind.SWITCH_PRESET,
        CommandKind.OPEN_ROUTE,
        CommandKind.DRAIN_MEMBER,
    }
)


class Preset(Enum):
    """The load policies that operators choose from."""

    ORDINARY = "ordinary"
    PEAK = "peak"
    MAINTENANCE = "maintenance"


class Command:
    """One change; `fields` holds the kind's own values as plain JSON types.

    `change_id` makes a command idempotent: a resend returns the first outcome. `expected_revision`
    is the operator revision on which the sender based the change, or none if it does not matter.
    """

    __slots__ = ("kind", "fields", "change_id", "expected_revision")

    def __init__(
        self,
        kind: CommandKind,
        fields: dict[str, Any],
        change_id: str = "",
        expected_revision: int | None = None,
    ) -> None:
        self.kind = kind
        self.fields = fields
        self.change_id = change_id
        self.expected_revision = expected_revision

    @classmethod
    def from_record(cls, record: dict[str, Any]) -> Command:
        """Build from the JSON form that the log stores.

        A record that cannot be read is kept as it is, so that it takes its place in the log.
        """
        try:
            kind = CommandKind(record["kind"])
            fields, change_id = record["fields"], record["change_id"]
            expected_revision = record["expected_revision"]
        except (KeyError, TypeError, ValueError):
            return cls(CommandKind.UNREADABLE, {"record": record})
        if kind is CommandKind.UNREADABLE or not isinstance(change_id, str):
            return cls(CommandKind.UNREADABLE, {"record": record})
        return cls(kind, fields, change_id, expected_revision)

    def to_record(self) -> dict[str, Any]:
        """Return the JSON form that the log stores."""
        if self.kind is CommandKind.UNREADABLE:
            return self.fields["record"]
        return {
            "kind": self.kind.value,
            "fields": self.fields,
            "change_id": self.change_id,
            "expected_revision": self.expected_revision,
        }


class ChangeOutcome:
    """The result of a change: the operator revision after it, or why it was rejected."""

    __slots__ = ("accepted", "revision", "code", "message")

    def __init__(self, accepted: bool, revision: int, code: str, message: str) -> None:
        self.accepted = accepted
        self.revision = revision
        self.code = code
        self.message = message

    @classmethod
    def from_record(cls, record: dict[str, Any]) -> ChangeOutcome:
        """Build from the JSON form."""
        return cls(record["accepted"], record["revision"], record["code"], record["message"])

    def to_record(self) -> dict[str, Any]:
        """Return the JSON form."""
        return {
            "accepted": self.accepted,
            "revision": self.revision,
            "code": self.code,
            "message": self.message,
        }
