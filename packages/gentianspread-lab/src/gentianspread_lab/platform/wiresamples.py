"""Valid messages of each sender, and strategies that make odd and damaged ones of them."""

from __future__ import annotations

import copy
from typing import Any

import orjson
from gentianspread_core.blackboard.messages import Message, MessageKind
from hypothesis import strategies as st

ANNOUNCEMENT = {
    "service": "db1",
    "address": "10.0.0.1:5432",
    "zone": "z1",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "coldRemainingMs": 1500,
    "dbRole": "replica",
    "sequence": 4,
    "born": 1_700_000_000_000,
}
DOCUMENT = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "a",
            "allowedRegions": ["north"],
            "pathPrefix": "/",
            "routeType": "bounded_stale",
            "timeoutMs": 800,
            "targetLatencyMs": 200,
            "priority": 1,
            "service": "s",
            "maxStalenessMs": 1500,
            "authExempt": False,
        }
    ],
    "services": [
        {"name": "s", "maxConns": 46, "syncReplicas": 1, "coldPerS": 10, "coldStartS": 30.5}
    ],
    "limits": {"txIdleMs": 3000},
    "tenants": [
        {
            "name": "w1",
            "apiKeys": ["key-1"],
            "ratePerS": 60,
            "burstSize": 60,
            "allowedRegions": ["north", "south"],
        }
    ],
}
MESSAGE = Message(MessageKind.APPEND, "c1", "c2", 3, 5, 2).to_record()
RELAYED_STATEMENT = {
    "handle": "e1/1/1",
    "endpoint": "b1",
    "key_hash": "k1",
    "route": ["r1", "a", "s", "bounded", 1.5, 0.8, 0.2, 1, False],
    "values": {"v": "1"},
    "kind": "read",
    "verb": "read",
    "number": "id1",
    "text": "READ a",
    "arguments": "",
    "prepared": [False, "q"],
    "min_position": [1, 2],
    "limit_s": 0.8,
    "patience_s": 0.2,
    "transaction": [True, False],
}
RELAYED_REPLY = {
    "status": "ok",
    "rows": ["x"],
    "position": [1, 2],
    "code": "",
    "message": "",
    "signature": "s",
    "flags": [True, False, True],
}
REQUEST = {"kind": "read", "group": "g", "statement": "get a", "token": "abc", "deadline_ms": 100}
HTTP_REQUEST = (
    b"POST /Instances.Heartbeat/i-1%20 HTTP/1.1\r\nHost: 10.0.0.1:80\r\nContent-Length: 2\r\n\r\n{}"
)
HTTP_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}"
SETTINGS = (
    b"nodeName=e1\nip=127.0.0.1\nzone=z1\nseedNodes=10.0.0.1:1,10.0.0.2:1\nbounds.graceS=6\n"
    b"bounds.revokeMs=5000\nfaultTolerance.machines=1\nportRange=1,2\nbootstrap=true\n"
)
LINES = (
    b"QUERY id1 READ a",
    b"id1 WRITE a b",
    b"id1 SET a b",
    b"id1 PREPARE a READ b",
    b"id1 EXECUTE a b",
    b"id1 COMMIT",
    b"READY I 1.2",
    b"READY T -",
    b"ROW replica 3 3.1209 0 12 2 17",
    b"COMPLETE 7.1f",
    b"ERROR BUSY text",
)
ODD_INTEGERS = [0, -1, 1, 65_535, 65_536, 99_999, 2**31, 2**53, 2**63 - 1, 2**63, 2**64 - 1]
ODD_RAW_VALUES = [
    b"99999999999999999999999999",
    b"-99999999999999999999999999",
    b"1e300",
    b"1e400",
    b"NaN",
    b'"\\ud800"',
    b'"\xff"',
    b"[" * 300 + b"]" * 300,
    b"[" * 2000 + b"]" * 2000,
    b'{"a":' * 300 + b"1" + b"}" * 300,
]
MARKER = "the odd value"


class FixedSocket:
    """A socket that returns a given content and is then at the end of its stream."""

    __slots__ = ("content",)

    def __init__(self, content: bytes) -> None:
        self.content = content

    def setsockopt(self, *_arguments: Any) -> None:
        """Do nothing."""

    def recv(self, size: int) -> bytes:
        """Return the next bytes."""
        received, self.content = self.content[:size], self.content[size:]
        return received


def odd_values() -> st.SearchStrategy[Any]:
    """Return a strategy for JSON values of any type, among them those that encoders refuse."""
    integers = st.sampled_from(ODD_INTEGERS) | st.integers(-(2**63), 2**64 - 1)
    texts = st.text(max_size=20) | st.sampled_from(["", " ", "\r\n", "\0", "x" * 300, "10.0.0.1:0"])
    scalars = st.none() | st.booleans() | integers | st.floats(allow_nan=False) | texts
    return st.recursive(
        scalars,
        lambda items: st.lists(items, max_size=3) | st.dictionaries(texts, items, max_size=3),
        max_leaves=5,
    )


def _paths_of(sample: Any, prefix: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    keys: list[Any] = []
    if isinstance(sample, dict):
        keys = list(sample)
    elif isinstance(sample, list):
        keys = list(range(len(sample)))
    return [prefix] + [path for key in keys for path in _paths_of(sample[key], (*prefix, key))]


def _replace(sample: Any, path: tuple[Any, ...], value: Any) -> Any:
    if not path:
        return value
    replaced = copy.deepcopy(sample)
    owner = replaced
    for key in path[:-1]:
        owner = owner[key]
    owner[path[-1]] = value
    return replaced


def odd_json(sample: Any) -> st.SearchStrategy[Any]:
    """Return a strategy for a sample of which one part is replaced by an odd value."""
    return st.builds(_replace, st.just(sample), st.sampled_from(_paths_of(sample)), odd_values())


def odd_json_text(sample: Any) -> st.SearchStrategy[bytes]:
    """Return a strategy for the text of a sample with an odd part, or with damaged bytes."""
    marked = [
        orjson.dumps(_replace(sample, path, MARKER)).partition(orjson.dumps(MARKER))
        for path in _paths_of(sample)
    ]
    raw = st.builds(
        lambda parts, value: parts[0] + value + parts[2],
        st.sampled_from(marked),
        st.sampled_from(ODD_RAW_VALUES),
    )
    return odd_json(sample).map(_encode) | raw | damaged_bytes(orjson.dumps(sample))


def _encode(value: Any) -> bytes:
    return orjson.dumps(value, option=orjson.OPT_NON_STR_KEYS)


def damaged_bytes(sample: bytes) -> st.SearchStrategy[bytes]:
    """Return a strategy for a sample in which some bytes are replaced, or for any bytes."""
    positions = st.integers(0, len(sample))
    spliced = st.builds(
        lambda start, length, inserted: sample[:start] + inserted + sample[start + length :],
        positions,
        st.integers(0, 10),
        st.binary(max_size=20),
    )
    return spliced | st.binary(max_size=200)


def odd_lines() -> st.SearchStrategy[bytes]:
    """Return a strategy for lines of the line protocol, some of them damaged."""
    fields = st.binary(max_size=10) | st.sampled_from(ODD_RAW_VALUES[:6])
    odd = st.builds(
        lambda line, index, field: b" ".join(
            field if number == index else part for number, part in enumerate(line.split(b" "))
        ),
        st.sampled_from(LINES),
        st.integers(0, 7),
        fields,
    )
    return st.lists(odd | st.sampled_from(LINES), min_size=1, max_size=4).map(
        lambda lines: b"\r\n".join(lines) + b"\r\n"
    )


def odd_names() -> st.SearchStrategy[str]:
    """Return a strategy for the name in a path, as the web server decodes it."""
    return st.just("i-1") | st.binary(max_size=20).map(lambda name: name.decode("latin-1"))
