"""Messages to an endpoint of which the exchanges of sessions consist."""

from __future__ import annotations

from enum import Enum
from typing import Any


class StepKind(Enum):
    """Kinds of messages to an endpoint; `STATEMENT` is a caller's, the others are this VM's own."""

    RESET = "reset"
    SET = "set"
    PREPARE = "prepare"
    BEGIN = "begin"
    BEGIN_READ = "begin read"
    ROLLBACK = "rollback"
    STATEMENT = "statement"


SETUP_KINDS = frozenset({StepKind.RESET, StepKind.SET, StepKind.PREPARE})


class Step:
    """One message to an endpoint.

    `statement_id` is the caller's id of a statement, empty for this VM's own messages. `text` is
    the statement, `name` and `value` are those of a session value or prepared statement. `position`
    is the log position that the endpoint must have reached, or none if any will do.
    """

    __slots__ = ("kind", "statement_id", "text", "name", "value", "writes", "position")

    def __init__(
        self,
        kind: StepKind,
        statement_id: str = "",
        text: str = "",
        name: str = "",
        value: str = "",
        writes: bool = False,
        position: Any = None,
    ) -> None:
        self.kind = kind
        self.statement_id = statement_id
        self.text = text
        self.name = name
        self.value = value
        self.writes = writes
        self.position = position
