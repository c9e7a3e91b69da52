"""The callers' JSON protocol: validates and decodes requests, and encodes outcomes."""

from __future__ import annotations

import hashlib
from typing import Any

import fastjsonschema
import orjson
from gentianspread_core.blackboard.requests import CALLER_KINDS, Outcome, Request, StatementKind
from gentianspread_core.errors import ErrorCode, Refusal

from .tokens import TokenCodec
from .wsgi import decode_json_object, encode_refusal

MAX_STATEMENT_CHARS = 32 * 1024
MAX_NAME_CHARS = 200
MAX_DEADLINE_MS = 30_000
DEFAULT_DEADLINE_MS = 5_000
MAX_PARAMETERS = 200
BEARER_PREFIX = "Bearer "

REQUEST_SCHEMA = {
    "type": "object",
    "required": ["kind", "group"],
    "additionalProperties": False,
    "properties": {
        "kind": {"enum": [kind.value for kind in CALLER_KINDS]},
        "group": {"type": "string", "minLength": 1, "maxLength": MAX_NAME_CHARS},
        "statement": {"type": "string", "maxLength": MAX_STATEMENT_CHARS},
        "parameters": {
            "type": "array",
            "maxItems": MAX_PARAMETERS,
            "items": {"type": ["string", "number", "null"]},
        },
        "idempotent": {"type": "boolean"},
        "request_id": {"type": "string", "minLength": 1, "maxLength": MAX_NAME_CHARS},
        "open_route": {"type": "string", "minLength": 1, "maxLength": MAX_NAME_CHARS},
        "token": {"type": "string", "maxLength": MAX_STATEMENT_CHARS},
        "max_age_ms": {"type": "number", "minimum": 0, "maximum": 86_400_000},
        "deadline_ms": {"type": "number", "exclusiveMinimum": 0, "maximum": MAX_DEADLINE_MS},
        "transaction": {"type": "string", "minLength": 1, "maxLength": MAX_NAME_CHARS},
    },
}

_validate_schema = fastjsonschema.compile(REQUEST_SCHEMA)
STATEMENT_KIND_BY_NAME = {kind.value: kind for kind in StatementKind}


def hash_key(key: str) -> str:
    """Return the hash under which a key is stored.

    Keys are long random strings, so an unsalted fast hash is enough.
    """
    return hashlib.sha256(key.encode()).hexdigest()


class RequestCodec:
    """Decodes requests from HTTP bodies and encodes outcomes as HTTP bodies."""

    __slots__ = ("_token_codec", "_request_count")

    def __init__(self, token_codec: TokenCodec) -> None:
        self._token_codec = token_codec
        self._request_count = 0

    def decode(self, body: bytes, authorization: str | None, now: float) -> Request:
        """Validate a body and build the request; `now` is the VM's clock in seconds."""
        message = decode_json_object(body)
        try:
            _validate_schema(message)
        except fastjsonschema.JsonSchemaException as error:
            raise Refusal(ErrorCode.BAD_REQUEST, f"{error.message}.") from None
        kind = STATEMENT_KIND_BY_NAME[message["kind"]]
        self._check_fields(kind, message)
        self._request_count += 1
        get = message.get
        max_age_ms = get("max_age_ms")
        return Request(
            self._request_count,
            kind,
            message["group"],
            get("statement", ""),
            get("parameters", []),
            get("idempotent", False),
            get("request_id"),
            self._key_hash(authorization),
            get("open_route"),
            self._token_codec.decode(message["token"]) if "token" in message else None,
            None if max_age_ms is None else max_age_ms / 1000,
            now,
            now + get("deadline_ms", DEFAULT_DEADLINE_MS) / 1000,
            get("transaction"),
        )

    def encode(self, outcome: Outcome) -> bytes:
        """Encode an outcome as an HTTP body."""
        if outcome.refusal is not None:
            return encode_refusal(outcome.refusal)
        message: dict[str, Any] = {
            "result": outcome.result.value,
            "rows": outcome.rows,
            "changed": outcome.changed,
        }
        if outcome.token is not None:
            message["token"] = self._token_codec.encode(outcome.token)
        if outcome.transaction is not None:
            message["transaction"] = outcome.transaction
        if outcome.endpoint is not None:
            message["endpoint"] = outcome.endpoint
        return orjson.dumps(message)

    def _check_fields(self, kind: StatementKind, message: dict[str, Any]) -> None:
        is_statement = kind in (StatementKind.READ, StatementKind.WRITE)
        if is_statement and not message.get("statement"):
            raise Refusal(ErrorCode.BAD_REQUEST, "A read or a write needs a statement.")
        ends_transaction = kind in (StatementKind.COMMIT, StatementKind.ROLLBACK)
        if ends_transaction and "transaction" not in message:
            raise Refusal(ErrorCode.BAD_REQUEST, "A commit or rollback needs a transaction.")
        if kind is StatementKind.BEGIN and "transaction" in message:
            raise Refusal(ErrorCode.BAD_REQUEST, "A begin must not name a transaction.")
        if "max_age_ms" in message and (is_statement and kind is not StatementKind.READ):
            raise Refusal(ErrorCode.BAD_REQUEST, "Only a read can accept an age.")

    def _key_hash(self, authorization: str | None) -> str | None:
        if authorization is None or not authorization.startswith(BEARER_PREFIX):
            return None
        return hash_key(authorization[len(BEARER_PREFIX) :])
