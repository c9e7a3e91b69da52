"""WSGI helpers that the HTTP applications share: statuses, bodies and error responses."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent
import orjson
from gentianspread_core.blackboard.requests import Outcome
from gentianspread_core.errors import ErrorCode, ExecutionResult, Refusal

BODY_TIMEOUT_S = 10.0
SIGNED_VARIABLE = "is_signed"  # set in the environment of a request that another VM has signed

HTTP_STATUS_BY_CODE = {
    ErrorCode.BAD_REQUEST: "400 Bad Request",
    ErrorCode.BAD_TOKEN: "400 Bad Request",
    ErrorCode.KEY_REFUSED: "401 Unauthorized",
    ErrorCode.TRANSACTION_UNKNOWN: "404 Not Found",
    ErrorCode.REVISION_CONFLICT: "409 Conflict",
    ErrorCode.INVALID_CHANGE: "422 Unprocessable Content",
    ErrorCode.STATEMENT_FAILED: "422 Unprocessable Content",
    ErrorCode.RATE_LIMITED: "429 Too Many Requests",
    ErrorCode.OUTCOME_UNKNOWN: "504 Gateway Timeout",
    ErrorCode.DEADLINE_PASSED: "504 Gateway Timeout",
}
DEFAULT_ERROR_STATUS = "503 Service Unavailable"
OK_STATUS = "200 OK"

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], object]
Application = Callable[[Environ, StartResponse], list[bytes]]


def decode_json_object(body: bytes) -> dict[str, Any]:
    """Decode a JSON object, or raise a `Refusal` for a bad request."""
    try:
        message = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise Refusal(ErrorCode.BAD_REQUEST, f"The body is not JSON: {error}.") from None
    if not isinstance(message, dict):
        raise Refusal(ErrorCode.BAD_REQUEST, "The body must be a JSON object.")
    return message


def read_request_body(environ: Environ, max_bytes: int) -> bytes:
    """Read a request body, with limits on its length and on the time to receive it."""
    try:
        length = int(environ.get("CONTENT_LENGTH") or "")
    except ValueError:
        raise Refusal(ErrorCode.BAD_REQUEST, "A Content-Length header is needed.") from None
    if not 0 <= length <= max_bytes:
        raise Refusal(ErrorCode.BAD_REQUEST, f"The body may have at most {max_bytes} bytes.")
    body: bytes | None = None
    with gevent.Timeout(BODY_TIMEOUT_S, False):
        body = environ["wsgi.input"].read(length)
    if body is None or len(body) != length:
        raise Refusal(ErrorCode.BAD_REQUEST, "The body was shorter or slower than it may be.")
    return body


def encode_refusal(refusal: Refusal) -> bytes:
    """Encode a refusal as a response body."""
    return orjson.dumps(
        {
            "result": refusal.result.value,
            "code": refusal.code.value,
            "message": refusal.message,
            "remedy": refusal.remedy,
        }
    )


def http_status_of(outcome: Outcome) -> str:
    """Return the HTTP status for an outcome."""
    if outcome.result is ExecutionResult.RUN or outcome.refusal is None:
        return OK_STATUS
    return HTTP_STATUS_BY_CODE.get(outcome.refusal.code, DEFAULT_ERROR_STATUS)


def encode_json(message: object) -> bytes:
    """Encode a response body."""
    return orjson.dumps(message)
