"""Runs a VM's program that reaches some addresses through links, whose faults the lab injects.

Members of the control log are named by their addresses, so that a link cannot stand in for one in
the settings.
"""

from __future__ import annotations

import os
import runpy

from gentianspread_server import connections

ROUTES_VARIABLE = "GENTIANSPREAD_LAB_ROUTES"  # ADDRESS=LINK, separated by commas
PROGRAM = "gentianspread_server.platform"


def route_connections(routes: dict[str, str]) -> None:
    """Let new connections to an address go to its link."""
    connect = connections.connect
    connections.connect = lambda address, timeout_s: connect(
        routes.get(address, address), timeout_s
    )


if __name__ == "__main__":
    route_connections(dict(item.split("=") for item in os.environ[ROUTES_VARIABLE].split(",")))
    runpy.run_module(PROGRAM, run_name="__main__")
