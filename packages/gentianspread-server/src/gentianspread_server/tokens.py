"""Encoding of session tokens: signed, opaque to callers, valid on every VM."""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac

import orjson
from gentianspread_core.errors import ErrorCode, Refusal
from gentianspread_core.positions import Position, SessionToken

SIGNATURE_BYTES = 16


class TokenCodec:
    """Signs session tokens with the fleet's secret and verifies them."""

    __slots__ = ("_key",)

    def __init__(self, secret: str) -> None:
        self._key = hashlib.sha256(b"session token" + secret.encode()).digest()

    def encode(self, token: SessionToken) -> str:
        """Return the signed, base64-encoded token."""
        positions = {group: item.to_pair() for group, item in token.positions.items()}
        body = orjson.dumps([token.workspace, positions])
        return base64.urlsafe_b64encode(self._sign(body) + body).decode()

    def decode(self, text: str) -> SessionToken:
        """Decode a token; raises a `Refusal` if it is malformed or not signed by this fleet."""
        try:
            raw = base64.urlsafe_b64decode(text.encode())
        except (binascii.Error, UnicodeEncodeError, ValueError):
            raise Refusal(ErrorCode.BAD_TOKEN, "The session token cannot be read.") from None
        signature, body = raw[:SIGNATURE_BYTES], raw[SIGNATURE_BYTES:]
        if not hmac.compare_digest(signature, self._sign(body)):
            raise Refusal(ErrorCode.BAD_TOKEN, "The session token was not signed by this fleet.")
        workspace, positions = orjson.loads(body)
        decoded = {group: Position.from_pair(pair) for group, pair in positions.items()}
        return SessionToken(workspace, decoded)

    def _sign(self, body: bytes) -> bytes:
        return hmac.digest(self._key, body, "sha256")[:SIGNATURE_BYTES]
