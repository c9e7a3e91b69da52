"""A passthrough proxy, the baseline for VMs: it uses the same libraries and makes no decisions.

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
from gentianspread_server.vm import HttpConnectionHandler  # noqa: E402
from gevent.pywsgi import WSGIServer  # noqa: E402

ENDPOINT_TIMEOUT_S = 5.0

flags.DEFINE_string("listen", None, "IP:PORT to listen on.", required=True)
flags.DEFINE_list("endpoints", None, "IP:PORT of the endpoints.", required=True)


class PassthroughProxy:
    """Forwards each statement to the next endpoint in turn and returns its rows."""

    def __init__(self, endpoints: list[str]) -> None:
        self._next_endpoint = itertools.cycle(endpoints)
        self._idle_connections: dict[str, list[Connection]] = {address: [] for address in endpoints}
        self._heads = {address: build_request_head("/statement", address) for address in endpoints}
        self._request_count = 0

    def __call__(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        """Handle one HTTP request."""
        message = orjson.loads(environ["wsgi.input"].read(int(environ["CONTENT_LENGTH"])))
        address = next(self._next_endpoint)
        idle_connections = self._idle_connections[address]
        connection = idle_connections.pop() if idle_connections else self._open(address)
        self._request_count += 1
        body = orjson.dumps(
            {
                "exchange": str(self._request_count),
                "kind": message["kind"],
                "term": 0,
                "statement": message["statement"],
                "parameters": message["parameters"],
                "workspace": "",
            }
        )
        response = orjson.loads(connection.exchange(self._heads[address], body, ENDPOINT_TIMEOUT_S))
        idle_connections.append(connection)
        content = orjson.dumps({"result": "run", "rows": response["rows"]})
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(content)))]
        start_response("200 OK", headers)
        return [content]

    def _open(self, address: str) -> Connection:
        connection = Connection(address)
        connection.open(ENDPOINT_TIMEOUT_S)
        return connection


def main(_arguments: list[str]) -> None:
    """Serve until the process is killed."""
    host, _, port = flags.FLAGS.listen.rpartition(":")
    server = WSGIServer(
        (host, int(port)),
        PassthroughProxy(flags.FLAGS.endpoints),
        log=None,
        handler_class=HttpConnectionHandler,
        backlog=1024,
    )
    server.serve_forever()


if __name__ == "__main__":
    app.run(main)
