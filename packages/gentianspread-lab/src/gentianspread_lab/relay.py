"""The bare relay that VMs are measured against: the same libraries, and no decisions.

Run as python -m gentianspread_lab.relay --listen=IP:PORT --endpoints=IP:PORT,...
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import itertools  # noqa: E402
from typing import Any  # noqa: E402

import orjson  # noqa: E402
from absl import app, flags  # noqa: E402
from gentianspread_server.connections import Connection, build_request_head  # noqa: E402
from gentianspread_server.vm import ClientConnectionHandler  # noqa: E402
from gevent.pywsgi import WSGIServer  # noqa: E402

LIMIT_S = 5.0

flags.DEFINE_string("listen", None, "IP:PORT on which it serves.", required=True)
flags.DEFINE_list("endpoints", None, "IP:PORT of the endpoints.", required=True)


class Relay:
    """Passes each statement to the next endpoint and its rows back."""

    def __init__(self, endpoints: list[str]) -> None:
        self._turn = itertools.cycle(endpoints)
        self._idle: dict[str, list[Connection]] = {address: [] for address in endpoints}
        self._heads = {address: build_request_head("/statement", address) for address in endpoints}
        self._count = 0

    def __call__(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        """Serve one HTTP request."""
        message = orjson.loads(environ["wsgi.input"].read(int(environ["CONTENT_LENGTH"])))
        address = next(self._turn)
        idle = self._idle[address]
        connection = idle.pop() if idle else self._open(address)
        self._count += 1
        body = orjson.dumps(
            {
                "exchange": str(self._count),
                "kind": message["kind"],
                "term": 0,
                "statement": message["statement"],
                "parameters": message["parameters"],
                "workspace": "",
            }
        )
        answer = orjson.loads(connection.exchange(self._heads[address], body, LIMIT_S))
        idle.append(connection)
        content = orjson.dumps({"result": "run", "rows": answer["rows"]})
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(content)))]
        start_response("200 OK", headers)
        return [content]

    def _open(self, address: str) -> Connection:
        connection = Connection(address)
        connection.open(LIMIT_S)
        return connection


def main(_arguments: list[str]) -> None:
    """Serve for ever."""
    host, _, port = flags.FLAGS.listen.rpartition(":")
    server = WSGIServer(
        (host, int(port)),
        Relay(flags.FLAGS.endpoints),
        log=None,
        handler_class=ClientConnectionHandler,
        backlog=1024,
    )
    server.serve_forever()


if __name__ == "__main__":
    app.run(main)
