"""WSGI application for the requests of operators and endpoints to control VMs."""

from __future__ import annotations

import logging

from gentianspread_core.blackboard import Board
from gentianspread_core.blackboard.commands import CommandKind
from gentianspread_core.errors import DeclarationError, ErrorCode, GentianspreadError

from ..announcements import Announcements
from ..declarations import Declarations
from ..evacuations import Evacuations
from ..wsgi import (
    DEFAULT_ERROR_STATUS,
    OK_STATUS,
    Environ,
    StartResponse,
    encode_json,
    read_request_body,
)
from .documents import (
    decode_announcement,
    decode_cold_time,
    decode_declaration,
    decode_deregistration,
)
from .health import NOT_FOUND, respond

log = logging.getLogger(__name__)

REPLACE_CONFIGURATION_PATH = "/Config.Replace"
GET_CONFIGURATION_PATH = "/Config.Get"
HEARTBEAT_PREFIX = "/Instances.Heartbeat/"
DEREGISTER_PREFIX = "/Instances.Deregister/"
EVACUATION_PREFIXES = {
    "/Evacuations.Begin/": CommandKind.BEGIN_EVACUATION,
    "/Evacuations.Finish/": CommandKind.FINISH_EVACUATION,
}
MAX_BODY_BYTES = 8 * 1024 * 1024  # enough for a document of 20,000 routes
MAX_ANNOUNCEMENT_BYTES = 64 * 1024  # those of endpoints have below 1 KiB
BAD_REQUEST_STATUS = "400 Bad Request"


class ControlApi:
    """Serves the declared configuration to operators, and announcements to endpoints.

    It serves evacuations too, unless `evacuations` is none.
    """

    __slots__ = ("board", "declarations", "announcements", "evacuations")

    def __init__(
        self,
        board: Board,
        declarations: Declarations,
        announcements: Announcements,
        evacuations: Evacuations | None = None,
    ) -> None:
        self.board = board
        self.declarations = declarations
        self.announcements = announcements
        self.evacuations = evacuations

    def __call__(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        """Handle one request."""
        path = environ["PATH_INFO"]
        try:
            status, body = self._serve(path, environ)
        except DeclarationError as error:
            log.warning("declaration rejected: %s", error.message)
            status, body = BAD_REQUEST_STATUS, _encode_error(error)
        except GentianspreadError as error:
            is_invalid = error.code is ErrorCode.BAD_REQUEST
            status = BAD_REQUEST_STATUS if is_invalid else DEFAULT_ERROR_STATUS
            body = _encode_error(error)
        return respond(start_response, status, body)

    def _serve(self, path: str, environ: Environ) -> tuple[str, bytes]:
        method = environ["REQUEST_METHOD"]
        if path == GET_CONFIGURATION_PATH and method == "GET":
            return OK_STATUS, self.declarations.read().document.encode()
        if method != "POST":
            return NOT_FOUND, b"{}"
        for prefix, kind in EVACUATION_PREFIXES.items():
            if path.startswith(prefix):
                return self._change_evacuation(kind, path.removeprefix(prefix))
        if path == REPLACE_CONFIGURATION_PATH:
            self.declarations.apply(decode_declaration(read_request_body(environ, MAX_BODY_BYTES)))
            return OK_STATUS, b"{}"
        body = read_request_body(environ, MAX_ANNOUNCEMENT_BYTES)
        if path.startswith(HEARTBEAT_PREFIX):
            return self._register_endpoint(path.removeprefix(HEARTBEAT_PREFIX), body)
        if path.startswith(DEREGISTER_PREFIX):
            return self._deregister_endpoint(path.removeprefix(DEREGISTER_PREFIX), body)
        return NOT_FOUND, b"{}"

    def _change_evacuation(self, kind: CommandKind, zone: str) -> tuple[str, bytes]:
        if self.evacuations is None:
            return NOT_FOUND, b"{}"
        if not self.evacuations.knows_zone(zone):
            log.warning("%s rejected: the settings name no zone %s", kind.value, zone[:40])
            return BAD_REQUEST_STATUS, b"{}"
        self.evacuations.change(kind, zone)
        return OK_STATUS, b"{}"

    def _register_endpoint(self, name: str, body: bytes) -> tuple[str, bytes]:
        fields = decode_announcement(name, body)
        if fields is None:
            log.warning("announcement of %s ignored: it is invalid", name[:40])
            return BAD_REQUEST_STATUS, b"{}"
        cold_s = decode_cold_time(body)
        return self._build_response(self.announcements.register(fields, cold_s))

    def _deregister_endpoint(self, name: str, body: bytes) -> tuple[str, bytes]:
        incarnation = decode_deregistration(body)
        if incarnation is None:
            return BAD_REQUEST_STATUS, b"{}"
        return self._build_response(self.announcements.deregister(name, incarnation))

    def _build_response(self, is_in_log: bool) -> tuple[str, bytes]:
        if is_in_log and self.board.is_fresh():
            return OK_STATUS, b"{}"
        return DEFAULT_ERROR_STATUS, b"{}"


def _encode_error(error: GentianspreadError) -> bytes:
    return encode_json({"code": error.code.value, "message": error.message, "remedy": error.remedy})
