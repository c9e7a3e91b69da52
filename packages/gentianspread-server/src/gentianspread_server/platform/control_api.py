"""The operators' and endpoints' calls to control VMs."""

from __future__ import annotations

import logging

from gentianspread_core.blackboard import Board
from gentianspread_core.errors import DeclarationError, GentianspreadError

from ..announcements import Announcements
from ..declarations import Declarations
from ..wsgi import (
    DEFAULT_ERROR_STATUS,
    OK_STATUS,
    Environ,
    StartResponse,
    encode_json,
    read_request_body,
)
from .documents import decode_announcement, decode_declaration, decode_departure
from .health import NOT_FOUND, respond

log = logging.getLogger(__name__)

REPLACE_PATH = "/Config.Replace"
GET_PATH = "/Config.Get"
HEARTBEAT_PREFIX = "/Instances.Heartbeat/"
DEREGISTER_PREFIX = "/Instances.Deregister/"
MAX_BODY_BYTES = 8 * 1024 * 1024  # bytes; a document of 20,000 routes
INVALID = "400 Bad Request"


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
            status, body = DEFAULT_ERROR_STATUS, _refusal(error)
        return respond(start_response, status, body)

    def _serve(self, path: str, environ: Environ) -> tuple[str, bytes]:
        method = environ["REQUEST_METHOD"]
        if path == GET_PATH and method == "GET":
            return OK_STATUS, self.declarations.read().document.encode()
        if method != "POST":
            return NOT_FOUND, b"{}"
        body = read_request_body(environ, MAX_BODY_BYTES)
        if path == REPLACE_PATH:
            self.declarations.apply(decode_declaration(body))
            return OK_STATUS, b"{}"
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
        return self._taken(self.announcements.deregister(name, incarnation))

    def _taken(self, is_taken: bool) -> tuple[str, bytes]:
        if is_taken and self.board.is_fresh():
            return OK_STATUS, b"{}"
        return DEFAULT_ERROR_STATUS, b"{}"


def _refusal(error: GentianspreadError) -> bytes:
    return encode_json({"code": error.code.value, "message": error.message, "remedy": error.remedy})
