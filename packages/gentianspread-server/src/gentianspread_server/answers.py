"""What the HTTP applications share: statuses, bodies and refusals."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent
import orjson
from gentianspread_core.blackboard.requests import Outcome
from gentianspread_core.errors import ErrorCode, ExecutionResult, Refusal

BODY_LIMIT_S = 10.0

STATUS_OF_CODE = {
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
OTHER_STATUS = "503 Service Unavailable"
OK_STATUS = "200 OK"

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], object]
Application = Callable[[Environ, StartResponse], list[bytes]]


def load_object(body: bytes) -> dict[str, Any]:
    """Read a JSON object, or refuse the request."""
    try:
        message = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise Refusal(ErrorCode.BAD_REQUEST, f"The body is not JSON: {error}.") from None
    if not isinstance(message, dict):
        raise Refusal(ErrorCode.BAD_REQUEST, "The body must be a JSON object.")
    return message


def read_body(environ: Environ, most_bytes: int) -> bytes:
    """Read a body of bounded length in bounded time."""
    try:
        length = int(environ.get("CONTENT_LENGTH") or "")
    except ValueError:
        raise Refusal(ErrorCode.BAD_REQUEST, "A Content-Length header is needed.") from None
    if not 0 <= length <= most_bytes:
        raise Refusal(ErrorCode.BAD_REQUEST, f"The body may have at most {most_bytes} bytes.")
    body: bytes | None = None
    with gevent.Timeout(BODY_LIMIT_S, False):
        body = environ["wsgi.input"].read(length)
    if body is None or len(body) != length:
        raise Refusal(ErrorCode.BAD_REQUEST, "The body was shorter or slower than it may be.")
    return body


def encode_refusal(refusal: Refusal) -> bytes:
    """Return the body of a refusal."""
    return orjson.dumps(
        {
            "result": refusal.result.value,
            "code": refusal.code.value,
            "message": refusal.message,
            "remedy": refusal.remedy,
        }
    )


def status_of(outcome: Outcome) -> str:
    """Return the HTTP status of an outcome."""
    if outcome.result is ExecutionResult.RUN or outcome.refusal is None:
        return OK_STATUS
    return STATUS_OF_CODE.get(outcome.refusal.code, OTHER_STATUS)


def dump(message: object) -> bytes:
    """Encode an answer."""
    return orjson.dumps(message)
