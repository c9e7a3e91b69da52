"""HTTP frontend: the WSGI application that serves callers, endpoints, operators and other VMs."""

from __future__ import annotations

import hmac
import logging
import zlib
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import gevent
from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.requests import Request
from gentianspread_core.errors import ErrorCode, GentianspreadError, Refusal
from gevent.event import Event

from . import terse
from .peers import SIGNATURE_VARIABLE, FleetSigner, compress_long_body, decompress_body
from .waiting import Waiter
from .wsgi import (
    DEFAULT_ERROR_STATUS,
    HTTP_STATUS_BY_CODE,
    OK_STATUS,
    SIGNED_VARIABLE,
    Application,
    Environ,
    StartResponse,
    encode_refusal,
    http_status_of,
    read_request_body,
)

if TYPE_CHECKING:
    from .codec import RequestCodec
    from .driver import EndpointDriver
    from .metrics import Metrics

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 64 * 1024
MAX_PEER_BODY_BYTES = 64 * 1024 * 1024
JSON_CONTENT_TYPE = ("Content-Type", "application/json")
METRICS_CONTENT_TYPE = ("Content-Type", "text/plain; version=0.0.4")

CLOSE_HEADER = ("Connection", "close")


class RequestRunner:
    """Runs requests through the board's controllers, each in the greenlet of its connection."""

    __slots__ = ("board", "driver", "metrics")

    def __init__(self, board: Board, driver: EndpointDriver, metrics: Metrics) -> None:
        self.board = board
        self.driver = driver
        self.metrics = metrics
        board.changes.subscribe(Topic.EXCHANGE_SCHEDULED, self._on_exchange_scheduled)
        board.changes.subscribe(Topic.REQUEST_DONE, self._on_request_done)

    def run(self, request: Request) -> None:
        """Post a request and run the exchanges scheduled for it until it has an outcome."""
        waiter = Waiter()
        request.waiter = waiter
        self.board.post(Topic.REQUEST_ARRIVED, request)
        while request.outcome is None:
            if waiter.take_assigned() is not None:
                self.driver.run(request)
            else:
                waiter.wait()
        self.metrics.count(request, self.board.clock.now())

    def _on_exchange_scheduled(self, request: Request) -> None:
        request.waiter.assign(request)

    def _on_request_done(self, request: Request) -> None:
        request.waiter.wake()


class Route:
    """The handler of one path, the credential it requires, and the maximum size of its body.

    `required_credential` is `peer` (a signature of the fleet), `operator` (the operator key) or
    empty.
    """

    __slots__ = ("handler", "required_credential", "max_body_bytes")

    def __init__(
        self, handler: Callable[..., bytes], required_credential: str = "", max_body_bytes: int = 0
    ) -> None:
        self.handler = handler
        self.required_credential = required_credential
        self.max_body_bytes = max_body_bytes or MAX_BODY_BYTES


class HttpFrontend:
    """The WSGI application of one VM.

    `fallback_application` serves the paths that have no route, if it is set; not while the VM
    `is_draining`. `running_count` is how many requests are being served, except those of other VMs.
    """

    __slots__ = (
        "board",
        "codec",
        "runner",
        "signer",
        "operator_key",
        "routes",
        "forwarder",
        "is_draining",
        "fallback_application",
        "running_count",
        "_became_idle",
    )

    def __init__(
        self,
        board: Board,
        codec: RequestCodec | None,
        runner: RequestRunner | None,
        signer: FleetSigner,
        operator_key: str,
        forwarder: Any,
    ) -> None:
        self.board = board
        self.codec = codec
        self.runner = runner
        self.signer = signer
        self.operator_key = operator_key
        self.forwarder = forwarder
        self.routes: dict[str, Route] = {}
        self.is_draining = False
        self.fallback_application: Application | None = None
        self.running_count = 0
        self._became_idle = Event()

    def add(self, path: str, handler: Callable[..., bytes], required_credential: str = "") -> None:
        """Add the route of a path; `required_credential` is `peer`, `operator` or empty."""
        max_body_bytes = MAX_PEER_BODY_BYTES if required_credential == "peer" else MAX_BODY_BYTES
        self.routes[path] = Route(handler, required_credential, max_body_bytes)

    def wait_until_idle(self, timeout_s: float) -> None:
        """Wait until no request is being served, without those of other VMs."""
        with gevent.Timeout(timeout_s, False):
            while self.running_count:
                self._became_idle.clear()
                self._became_idle.wait()
        if self.running_count:
            log.warning("%d requests were left without a response", self.running_count)

    def __call__(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        """Serve one HTTP request."""
        route = self.routes.get(environ["PATH_INFO"])
        if route is not None and route.required_credential == "peer":
            return self._serve(environ, start_response)
        self.running_count += 1
        try:
            return self._serve(environ, start_response)
        finally:
            self.running_count -= 1
            if not self.running_count:
                self._became_idle.set()

    def _serve(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        path = environ["PATH_INFO"]
        if self.fallback_application is not None and path not in self.routes:
            if self.is_draining:
                refusal = Refusal(ErrorCode.DRAINING, "This VM is stopping.")
                return self._respond(
                    start_response, _http_status_of_error(refusal), encode_refusal(refusal)
                )
            return self.fallback_application(environ, start_response)
        if path == "/v1/request" and self.runner is not None:
            return self._serve_caller_request(environ, start_response)
        try:
            body = self._serve_route(path, environ)
        except GentianspreadError as error:
            return self._respond(
                start_response, _http_status_of_error(error), encode_refusal(error)
            )
        content_type = None if terse.is_terse(body) else _content_type_of(path)
        return self._respond(start_response, OK_STATUS, body, content_type)

    def _serve_caller_request(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        try:
            body = read_request_body(environ, MAX_BODY_BYTES)
            authorization = environ.get("HTTP_AUTHORIZATION")
            request = self.codec.decode(body, authorization, self.board.clock.now())
            forwarded = self.forwarder.forward(request, body, authorization)
        except GentianspreadError as error:
            return self._respond(
                start_response, _http_status_of_error(error), encode_refusal(error)
            )
        if forwarded is not None:
            return self._respond(start_response, forwarded.status, forwarded.body)
        self.runner.run(request)
        outcome = request.outcome
        if outcome is None:
            return self._respond(start_response, DEFAULT_ERROR_STATUS, b"{}")
        return self._respond(start_response, http_status_of(outcome), self.codec.encode(outcome))

    def _serve_route(self, path: str, environ: Environ) -> bytes:
        route = self.routes.get(path)
        if route is None:
            raise Refusal(ErrorCode.BAD_REQUEST, f"There is no path {path}.")
        body = (
            read_request_body(environ, route.max_body_bytes)
            if environ["REQUEST_METHOD"] == "POST"
            else b""
        )
        if route.required_credential == "peer":
            return self._serve_peer(route, path, body, environ)
        if route.required_credential == "operator":
            self._check_operator_key(environ)
        return route.handler(body)

    def _serve_peer(self, route: Route, path: str, body: bytes, environ: Environ) -> bytes:
        """Serve another VM; the response has the short form if the request has or offers it."""
        try:
            if terse.is_terse(body):
                json_body = self.signer.decode_terse(path, body)
            elif self.signer.is_valid(path, body, environ.get(SIGNATURE_VARIABLE, "")):
                json_body = decompress_body(body)
            else:
                json_body = None
        except zlib.error as error:
            raise Refusal(ErrorCode.BAD_REQUEST, f"The message is damaged: {error}.") from error
        if json_body is None:
            raise Refusal(ErrorCode.KEY_REFUSED, "The message was not signed by this fleet.")
        environ[SIGNED_VARIABLE] = True
        response = route.handler(json_body)
        if terse.is_terse(body) or environ.get(terse.OFFER_VARIABLE) == terse.FORMAT:
            return terse.MARKER + terse.compress(response)
        return compress_long_body(response)

    def _respond(
        self,
        start_response: StartResponse,
        status: str,
        body: bytes,
        content_type: tuple[str, str] | None = JSON_CONTENT_TYPE,
    ) -> list[bytes]:
        headers = [("Content-Length", str(len(body)))]
        if content_type is not None:
            headers.append(content_type)
        if self.is_draining:
            headers.append(CLOSE_HEADER)
        start_response(status, headers)
        return [body]

    def _check_operator_key(self, environ: Environ) -> None:
        authorization = environ.get("HTTP_AUTHORIZATION", "")
        if not hmac.compare_digest(authorization.encode(), f"Bearer {self.operator_key}".encode()):
            raise Refusal(
                ErrorCode.KEY_REFUSED,
                "The operator key is not valid.",
                remedy="Set GENTIANSPREAD_OPERATOR_KEY to the key of this fleet.",
            )


def _http_status_of_error(error: GentianspreadError) -> str:
    return HTTP_STATUS_BY_CODE.get(error.code, DEFAULT_ERROR_STATUS)


def _content_type_of(path: str) -> tuple[str, str]:
    return METRICS_CONTENT_TYPE if path == "/metrics" else JSON_CONTENT_TYPE
