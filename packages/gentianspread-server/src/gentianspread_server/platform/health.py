"""WSGI applications for the readiness check and the metrics."""

from __future__ import annotations

from collections.abc import Callable

from ..wsgi import DEFAULT_ERROR_STATUS, OK_STATUS, Environ, StartResponse

READY_PATH = "/ready"
METRICS_PATH = "/metrics"
NOT_FOUND = "404 Not Found"
JSON_HEADERS = [("Content-Type", "application/json")]
METRICS_HEADERS = [("Content-Type", "text/plain; version=0.0.4")]


class MetricsApi:
    """Serves this VM's metrics in the Prometheus text format."""

    __slots__ = ("render",)

    def __init__(self, render: Callable[[], bytes]) -> None:
        self.render = render

    def __call__(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        """Handle one request."""
        if environ["PATH_INFO"] != METRICS_PATH:
            return respond(start_response, NOT_FOUND, b"{}")
        return respond(start_response, OK_STATUS, self.render(), METRICS_HEADERS)


class ReadyApi:
    """Serves the load balancer's check whether this VM accepts new callers."""

    __slots__ = ("is_ready",)

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self.is_ready = is_ready

    def __call__(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        """Handle one request."""
        if environ["PATH_INFO"] != READY_PATH:
            return respond(start_response, NOT_FOUND, b"{}")
        return respond(
            start_response, OK_STATUS if self.is_ready() else DEFAULT_ERROR_STATUS, b"{}"
        )


def respond(
    start_response: StartResponse,
    status: str,
    body: bytes,
    headers: list[tuple[str, str]] = JSON_HEADERS,
) -> list[bytes]:
    """Start a response and return its body."""
    start_response(status, [*headers, ("Content-Length", str(len(body)))])
    return [body]
