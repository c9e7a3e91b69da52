"""The operators' and endpoints' calls to control VMs, and the check of readiness."""

from __future__ import annotations

import logging
from collections.abc import Callable

from gentianspread_core.blackboard import Board
from gentianspread_core.errors import DeclarationError, GentianspreadError

from ..announcements import Announcements
from ..declarations import Declarations
from ..front import Environ, StartResponse, dump, read_body
from .documents import decode_announcement, decode_declaration, decode_departure

log = logging.getLogger(__name__)

REPLACE_PATH = "/Config.Replace"
GET_PATH = "/Config.Get"
HEARTBEAT_PREFIX = "/Instances.Heartbeat/"
DEREGISTER_PREFIX = "/Instances.Deregister/"
READY_PATH = "/ready"
METRICS_PATH = "/metrics"
MOST_BODY_BYTES = 8 * 1024 * 1024  # bytes; a document of 20,000 routes
OK = "200 OK"
INVALID = "400 Bad Request"
NOT_FOUND = "404 Not Found"
UNAVAILABLE = "503 Service Unavailable"
HEADERS = [("Content-Type", "application/json")]
TEXT_HEADERS = [("Content-Type", "text/plain; version=0.0.4")]


class ControlApi:
    """The HTTP application for operators and endpoints."""

    __slots__ = ("board", "declarations", "announcements")

    def __init__(
        self, board: Board, declarations: Declarations, announcements: Announcements
    ) -> None:
        self.board = board
        self.declarations = declarations
        self.announcements = announcements

    def __call__(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        """Serve one call."""
        path = environ["PATH_INFO"]
        try:
            status, body = self._serve(path, environ)
        except DeclarationError as error:
            log.warning("declaration refused: %s", error.message)
            status, body = INVALID, _refusal(error)
        except GentianspreadError as error:
            status, body = UNAVAILABLE, _refusal(error)
        return _respond(start_response, status, body)

    def _serve(self, path: str, environ: Environ) -> tuple[str, bytes]:
        method = environ["REQUEST_METHOD"]
        if path == GET_PATH and method == "GET":
            return OK, self.declarations.read().document.encode()
        if method != "POST":
            return NOT_FOUND, b"{}"
        body = read_body(environ, MOST_BODY_BYTES)
        if path == REPLACE_PATH:
            self.declarations.apply(decode_declaration(body))
            return OK, b"{}"
        if path.startswith(HEARTBEAT_PREFIX):
            return self._take_heartbeat(path.removeprefix(HEARTBEAT_PREFIX), body)
        if path.startswith(DEREGISTER_PREFIX):
            return self._take_departure(path.removeprefix(DEREGISTER_PREFIX), body)
        return NOT_FOUND, b"{}"

    def _take_heartbeat(self, name: str, body: bytes) -> tuple[str, bytes]:
        fields = decode_announcement(name, body)
        if fields is None:
            log.warning("announcement of %s left out: it cannot be read", name[:40])
            return INVALID, b"{}"
        return self._taken(self.announcements.register(fields))

    def _take_departure(self, name: str, body: bytes) -> tuple[str, bytes]:
        incarnation = decode_departure(body)
        if incarnation is None:
            return INVALID, b"{}"
        return self._taken(self.announcements.forget(name, incarnation))

    def _taken(self, is_taken: bool) -> tuple[str, bytes]:
        if is_taken and self.board.is_fresh():
            return OK, b"{}"
        return UNAVAILABLE, b"{}"


class MetricsApi:
    """The HTTP application that gives this VM's metrics."""

    __slots__ = ("text",)

    def __init__(self, text: Callable[[], bytes]) -> None:
        self.text = text

    def __call__(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        """Answer one read."""
        if environ["PATH_INFO"] != METRICS_PATH:
            return _respond(start_response, NOT_FOUND, b"{}")
        return _respond(start_response, OK, self.text(), TEXT_HEADERS)


class ReadyApi:
    """The HTTP application that tells whether this VM takes new callers."""

    __slots__ = ("is_ready",)

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self.is_ready = is_ready

    def __call__(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        """Answer one check."""
        if environ["PATH_INFO"] != READY_PATH:
            return _respond(start_response, NOT_FOUND, b"{}")
        return _respond(start_response, OK if self.is_ready() else UNAVAILABLE, b"{}")


def _respond(
    start_response: StartResponse,
    status: str,
    body: bytes,
    headers: list[tuple[str, str]] = HEADERS,
) -> list[bytes]:
    start_response(status, [*headers, ("Content-Length", str(len(body)))])
    return [body]


def _refusal(error: GentianspreadError) -> bytes:
    return dump({"code": error.code.value, "message": error.message, "remedy": error.remedy})
