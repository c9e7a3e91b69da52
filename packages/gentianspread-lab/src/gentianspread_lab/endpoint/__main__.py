"""Runs a simulated database endpoint: python -m gentianspread_lab.endpoint."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import tempfile  # noqa: E402

from absl import app, flags  # noqa: E402

from .server import EndpointServer, Identity  # noqa: E402
from .sessions import StatementCosts  # noqa: E402

MS_PER_S = 1000.0

flags.DEFINE_string("name", None, "Name of the endpoint.", required=True)
flags.DEFINE_string("listen", None, "IP:PORT to listen on.", required=True)
flags.DEFINE_string("zone", None, "Availability zone.", required=True)
flags.DEFINE_string("group", None, "Database group.", required=True)
flags.DEFINE_list("announce_to", None, "IP:PORT of VMs to announce to.", required=True)
flags.DEFINE_integer("connections", 45, "Maximum number of open connections.", lower_bound=1)
flags.DEFINE_integer("slots", 3, "Maximum number of statements executed at once.", lower_bound=1)
flags.DEFINE_integer("group_size", 3, "Number of endpoints in the group.", lower_bound=1)
flags.DEFINE_float("lag_ms", 200.0, "Replication lag, in milliseconds.", lower_bound=0.0)
flags.DEFINE_float(
    "connect_ms", 10.0, "Time to open a connection, in milliseconds.", lower_bound=0.0
)
flags.DEFINE_float("read_ms", 1.0, "Time to execute a read, in milliseconds.", lower_bound=0.0)
flags.DEFINE_float("write_ms", 1.0, "Time to execute a write, in milliseconds.", lower_bound=0.0)


def main(_arguments: list[str]) -> None:
    """Serve with a temporary data folder, removed on exit."""
    values = flags.FLAGS
    identity = Identity(
        values.name,
        values.listen,
        values.zone,
        values.group,
        values.connections,
        values.slots,
        values.group_size,
    )
    costs = StatementCosts(
        values.connect_ms / MS_PER_S, values.read_ms / MS_PER_S, values.write_ms / MS_PER_S
    )
    with tempfile.TemporaryDirectory() as folder:
        EndpointServer(
            identity, folder, values.lag_ms / MS_PER_S, costs, values.announce_to
        ).serve()


if __name__ == "__main__":
    app.run(main)
