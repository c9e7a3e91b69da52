"""The HTTP applications that every program serves: the check of readiness, and the metrics."""

from __future__ import annotations

from collections.abc import Callable

from ..wsgi import DEFAULT_ERROR_STATUS, OK_STATUS, Environ, StartResponse

READY_PATH = "/ready"
METRICS_PATH = "/metrics"
NOT_FOUND = "404 Not Found"
HEADERS = [("Content-Type", "application/json")]
TEXT_HEADERS = [("Content-Type", "text/plain; version=0.0.4")]


class MetricsApi:
    """The HTTP application that gives this VM's metrics."""

    __slots__ = ("text",)

    def __init__(self, text: Callable[[], bytes]) -> None:
        self.text = text

    def __call__(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        """Answer one read."""
        if environ["PATH_INFO"] != METRICS_PATH:
            return respond(start_response, NOT_FOUND, b"{}")
        return respond(start_response, OK_STATUS, self.text(), TEXT_HEADERS)


class ReadyApi:
    """The HTTP application that tells whether this VM takes new callers."""

    __slots__ = ("is_ready",)

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self.is_ready = is_ready

    def __call__(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        """Answer one check."""
        if environ["PATH_INFO"] != READY_PATH:
            return respond(start_response, NOT_FOUND, b"{}")
        return respond(
            start_response, OK_STATUS if self.is_ready() else DEFAULT_ERROR_STATUS, b"{}"
        )


def respond(
    start_response: StartResponse,
    status: str,
    body: bytes,
    headers: list[tuple[str, str]] = HEADERS,
) -> list[bytes]:
    """Begin a response and return its body."""
    start_response(status, [*headers, ("Content-Length", str(len(body)))])
    return [body]
