"""Runs one endpoint stand-in: python -m gentianspread_lab.endpoint."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import tempfile  # noqa: E402

from absl import app, flags  # noqa: E402

from .server import Endpoint, Identity  # noqa: E402
from .sessions import Costs  # noqa: E402

MS = 1000.0

flags.DEFINE_string("name", None, "Name of the endpoint.", required=True)
flags.DEFINE_string("listen", None, "IP:PORT on which it serves.", required=True)
flags.DEFINE_string("zone", None, "Availability zone.", required=True)
flags.DEFINE_string("group", None, "Database group.", required=True)
flags.DEFINE_list("announce_to", None, "IP:PORT of VMs to announce to.", required=True)
flags.DEFINE_integer("connections", 45, "The most connections.", lower_bound=1)
flags.DEFINE_integer("slots", 3, "Statements run at once.", lower_bound=1)
flags.DEFINE_integer("group_size", 3, "Endpoints of the group.", lower_bound=1)
flags.DEFINE_float("lag_ms", 200.0, "Replication lag.", lower_bound=0.0)
flags.DEFINE_float("connect_ms", 10.0, "Cost of a new connection.", lower_bound=0.0)
flags.DEFINE_float("read_ms", 1.0, "Cost of a read.", lower_bound=0.0)
flags.DEFINE_float("write_ms", 1.0, "Cost of a write.", lower_bound=0.0)


def main(_arguments: list[str]) -> None:
    """Serve with a data folder that is removed at the end."""
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
    costs = Costs(values.connect_ms / MS, values.read_ms / MS, values.write_ms / MS)
    with tempfile.TemporaryDirectory() as folder:
        Endpoint(identity, folder, values.lag_ms / MS, costs, values.announce_to).serve()


if __name__ == "__main__":
    app.run(main)
