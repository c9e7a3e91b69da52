"""Collects HTTP requests from the callbacks of the parser, and bounds their size."""

from __future__ import annotations

from collections import deque
from io import BytesIO
from typing import Any

import httptools

from .budget import BODY_COPIES

RECEIVE_BUFFER_BYTES = 16 * 1024  # most messages are below 4 KiB
MAX_BODY_BYTES = 64 * 1024 * 1024  # the largest body that any route accepts
MAX_URL_BYTES = 8 * 1024  # the usual limit of web servers; paths here are below 300 bytes
MAX_HEAD_BYTES = 32 * 1024  # of a request; those of VMs, endpoints and operators have below 1 KiB
MAX_HEADERS = 100  # of a request, to limit the memory for its environment
ENVIRON_BYTES = 2048  # of a request without a body that waits for those before it
# WSGI names the variables of all other headers with the prefix HTTP_.
ENVIRON_PREFIX_BY_HEADER = {"CONTENT_LENGTH": "", "CONTENT_TYPE": ""}


class RequestTooLargeError(Exception):
    """The body or the headers of a request exceed a limit."""


class RequestReader:
    """Collects the requests of one connection from the callbacks of the HTTP parser.

    `completed_environs` holds the environments of complete requests that are not yet served.
    """

    __slots__ = (
        "parser",
        "completed_environs",
        "expects_continue",
        "max_body_bytes",
        "_environ",
        "_url",
        "_body",
        "_head_bytes",
        "_has_head",
        "_framing_bytes",
    )

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.completed_environs: deque[dict[str, Any]] = deque()
        self.expects_continue = False
        self.max_body_bytes = max_body_bytes
        self.on_message_begin()

    def on_message_begin(self) -> None:
        """Reset the state; called by the parser at the start of a request, and here at its end."""
        self._environ: dict[str, Any] = {}
        self._url = b""
        self._body = bytearray()
        self._head_bytes = 0
        self._has_head = False
        self._framing_bytes = 0  # received since the last part of the body: chunk heads, trailers

    def feed(self, received: bytes) -> None:
        """Parse received bytes; raises `RequestTooLargeError` or an error of the parser."""
        if not self._has_head:
            self._head_bytes += len(received)
            if self._head_bytes > MAX_HEAD_BYTES + RECEIVE_BUFFER_BYTES:
                raise RequestTooLargeError(f"the head is larger than {MAX_HEAD_BYTES} bytes")
        else:
            # The parser copies an unfinished trailer for each part of it that arrives.
            self._framing_bytes += len(received)
            if self._framing_bytes > MAX_HEAD_BYTES + RECEIVE_BUFFER_BYTES:
                raise RequestTooLargeError(f"the trailers exceed {MAX_HEAD_BYTES} bytes")
        self.parser.feed_data(received)

    def on_url(self, part: bytes) -> None:
        """Collect the URL; the parser passes it on in parts if it arrives in several reads."""
        self._url += part
        if len(self._url) > MAX_URL_BYTES:
            raise RequestTooLargeError(f"the URL is longer than {MAX_URL_BYTES} bytes")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        if len(self._environ) > MAX_HEADERS:
            raise RequestTooLargeError(f"the request has more than {MAX_HEADERS} headers")
        key = name.decode("latin-1").upper().replace("-", "_")
        self._environ[ENVIRON_PREFIX_BY_HEADER.get(key, "HTTP_") + key] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Check whether the client waits for a 100 Continue response before it sends the body."""
        self._has_head = True
        if self._environ.get("HTTP_EXPECT", "").lower() == "100-continue":
            self.expects_continue = True

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        if len(self._body) + len(body) > self.max_body_bytes:
            raise RequestTooLargeError(f"the body is larger than {self.max_body_bytes} bytes")
        self._body += body
        self._framing_bytes = 0

    def on_message_complete(self) -> None:
        """Queue the completed request."""
        environ = self._environ
        path = self._url.partition(b"?")[0].decode("latin-1")
        environ["PATH_INFO"] = _unquote(path) if "%" in path else path
        environ["REQUEST_METHOD"] = self.parser.get_method().decode("latin-1")
        environ["CONTENT_LENGTH"] = str(len(self._body))
        environ["wsgi.input"] = BytesIO(bytes(self._body))
        environ["keeps_open"] = self.parser.should_keep_alive()
        self.completed_environs.append(environ)
        self.on_message_begin()

    def is_between_requests(self) -> bool:
        """Return whether nothing of the next request has been received."""
        return not self._head_bytes and not self._url

    def unfinished_bytes(self) -> int:
        """Return how many bytes of an unfinished request have been received, about."""
        return self._head_bytes + self._framing_bytes + len(self._body)

    def discard(self) -> None:
        """Drop all that was received; nothing can be parsed any more.

        The parser refers to this object, so that both would wait for the garbage collector.
        """
        self.parser = None
        self._body = bytearray()
        self._environ = {}
        self.completed_environs.clear()

    def held_bytes(self) -> int:
        """Return what the requests that have been received take."""
        held = BODY_COPIES * len(self._body) + self._head_bytes + self._framing_bytes
        for environ in self.completed_environs:
            held += ENVIRON_BYTES + BODY_COPIES * int(environ["CONTENT_LENGTH"])
        return held


def _unquote(path: str) -> str:
    # Imported only when needed, because the module takes half a megabyte of memory.
    from urllib.parse import unquote

    return unquote(path)
