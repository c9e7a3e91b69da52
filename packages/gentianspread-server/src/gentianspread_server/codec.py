"""The callers' JSON: checks requests and encodes outcomes."""

from __future__ import annotations

import hashlib
from typing import Any

import fastjsonschema
import orjson
from gentianspread_core.blackboard.requests import CALLER_KINDS, Outcome, Request, StatementKind
from gentianspread_core.errors import ErrorCode, Refusal

from .tokens import TokenCodec
from .wsgi import decode_json_object, encode_refusal

LONGEST_STATEMENT = 32 * 1024
LONGEST_NAME = 200
LONGEST_DEADLINE_MS = 30_000
DEFAULT_DEADLINE_MS = 5_000
MOST_PARAMETERS = 200
BEARER = "Bearer "

REQUEST_SCHEMA = {
    "type": "object",
    "required": ["kind", "group"],
    "additionalProperties": False,
    "properties": {
        "kind": {"enum": [kind.value for kind in CALLER_KINDS]},
        "group": {"type": "string", "minLength": 1, "maxLength": LONGEST_NAME},
        "statement": {"type": "string", "maxLength": LONGEST_STATEMENT},
        "parameters": {
            "type": "array",
            "maxItems": MOST_PARAMETERS,
            "items": {"type": ["string", "number", "null"]},
        },
        "idempotent": {"type": "boolean"},
        "request_id": {"type": "string", "minLength": 1, "maxLength": LONGEST_NAME},
        "open_route": {"type": "string", "minLength": 1, "maxLength": LONGEST_NAME},
        "token": {"type": "string", "maxLength": LONGEST_STATEMENT},
        "max_age_ms": {"type": "number", "minimum": 0, "maximum": 86_400_000},
        "deadline_ms": {"type": "number", "exclusiveMinimum": 0, "maximum": LONGEST_DEADLINE_MS},
        "transaction": {"type": "string", "minLength": 1, "maxLength": LONGEST_NAME},
    },
}

_check_schema = fastjsonschema.compile(REQUEST_SCHEMA)
KINDS = {kind.value: kind for kind in StatementKind}


def hash_key(key: str) -> str:
    """Return the form in which keys are stored; keys are long random texts."""
    return hashlib.sha256(key.encode()).hexdigest()


class RequestCodec:
    """Turns bodies into requests and outcomes into bodies."""

    __slots__ = ("_tokens", "_count")

    def __init__(self, tokens: TokenCodec) -> None:
        self._tokens = tokens
        self._count = 0

    def decode(self, body: bytes, authorization: str | None, now: float) -> Request:
        """Check a body and build the request; `now` is the clock in seconds."""
        message = decode_json_object(body)
        try:
            _check_schema(message)
        except fastjsonschema.JsonSchemaException as error:
            raise Refusal(ErrorCode.BAD_REQUEST, f"{error.message}.") from None
        kind = KINDS[message["kind"]]
        self._check_combination(kind, message)
        self._count += 1
        get = message.get
        max_age_ms = get("max_age_ms")
        return Request(
            self._count,
            kind,
            message["group"],
            get("statement", ""),
            get("parameters", []),
            get("idempotent", False),
            get("request_id"),
            self._key_hash(authorization),
            get("open_route"),
            self._tokens.decode(message["token"]) if "token" in message else None,
            None if max_age_ms is None else max_age_ms / 1000,
            now,
            now + get("deadline_ms", DEFAULT_DEADLINE_MS) / 1000,
            get("transaction"),
        )

    def encode(self, outcome: Outcome) -> bytes:
        """Return the body of an outcome."""
        if outcome.refusal is not None:
            return encode_refusal(outcome.refusal)
        message: dict[str, Any] = {
            "result": outcome.result.value,
            "rows": outcome.rows,
            "changed": outcome.changed,
        }
        if outcome.token is not None:
            message["token"] = self._tokens.encode(outcome.token)
        if outcome.transaction is not None:
            message["transaction"] = outcome.transaction
        if outcome.endpoint is not None:
            message["endpoint"] = outcome.endpoint
        return orjson.dumps(message)

    def _check_combination(self, kind: StatementKind, message: dict[str, Any]) -> None:
        needs_statement = kind in (StatementKind.READ, StatementKind.WRITE)
        if needs_statement and not message.get("statement"):
            raise Refusal(ErrorCode.BAD_REQUEST, "A read or a write needs a statement.")
        ends = kind in (StatementKind.COMMIT, StatementKind.ROLLBACK)
        if ends and "transaction" not in message:
            raise Refusal(ErrorCode.BAD_REQUEST, "A commit or rollback needs a transaction.")
        if kind is StatementKind.BEGIN and "transaction" in message:
            raise Refusal(ErrorCode.BAD_REQUEST, "A begin must not name a transaction.")
        if "max_age_ms" in message and (needs_statement and kind is not StatementKind.READ):
            raise Refusal(ErrorCode.BAD_REQUEST, "Only a read can accept an age.")

    def _key_hash(self, authorization: str | None) -> str | None:
        if authorization is None or not authorization.startswith(BEARER):
            return None
        return hash_key(authorization[len(BEARER) :])
