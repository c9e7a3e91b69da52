"""Announces simulated endpoints to the control VMs, and replaces one that leaves."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

import gevent
import orjson
from gentianspread_server.connections import OK

from .database import DatabaseGroup
from .endpoint import SimulatedEndpoint
from .links import FaultyLink
from .operators import GROUP, call

log = logging.getLogger(__name__)

ZONES = ("z1", "z2", "z3")
HEARTBEAT_INTERVAL_S = 0.4
DRAIN_S = 7.0  # from the acknowledgement of a leaving endpoint's announcement to its last statement
LINGER_S = 2.0  # for which it serves on
UNACKNOWLEDGED_DRAIN_S = 12.0  # after this long without an acknowledgement, it ends anyway
BORN_MS = 1_700_000_000_000


class EndpointAnnouncer:
    """Sends the heartbeats of a group's endpoints, and starts and ends them.

    `leaving` has the endpoints that have announced their end, with the time of the first
    acknowledgement, which is none before it.
    """

    __slots__ = (
        "database",
        "endpoints",
        "links",
        "slots",
        "leaving",
        "is_stopped",
        "_control_addresses",
        "_free_address",
        "_find_owner",
        "_count",
        "_sequence",
    )

    def __init__(
        self,
        database: DatabaseGroup,
        control_addresses: list[str],
        free_address: Callable[[], str],
        find_owner: Callable[[int, int], str],
        slots: int,
    ) -> None:
        self.database = database
        self.endpoints: dict[str, SimulatedEndpoint] = {}
        self.links: dict[str, FaultyLink] = {}
        self.slots = slots
        self.leaving: dict[str, float | None] = {}
        self.is_stopped = False
        self._control_addresses = control_addresses
        self._free_address = free_address
        self._find_owner = find_owner
        self._count = 0
        self._sequence = 0
        for name in database.copies:
            self._build(name)

    def start(self) -> None:
        """Start the endpoints and their heartbeats."""
        for name, endpoint in self.endpoints.items():
            endpoint.start()
            self.links[name].start()
            gevent.spawn(self._announce, name)

    def stop(self) -> None:
        """Stop everything."""
        self.is_stopped = True
        for endpoint in self.endpoints.values():
            endpoint.crash()
        for link in self.links.values():
            link.stop()

    def restart(self, name: str) -> None:
        """Start a crashed endpoint with its own log, or with the log of a newer primary."""
        self.database.rejoin(name)
        self.endpoints[name].start()

    def replace(self, name: str) -> str:
        """Let an endpoint announce its end, serve on and end; start a new one and return its name.

        The new one starts first, so that the group keeps enough replicas.
        """
        new_name = f"e{self._count + 1}"
        self.database.add(new_name)
        self._build(new_name)
        self.endpoints[new_name].start()
        self.links[new_name].start()
        gevent.spawn(self._announce, new_name)
        self.leaving[name] = None
        self._wait_for_end(name)
        self.endpoints.pop(name).crash()
        self._post(f"/Instances.Deregister/{name}", orjson.dumps({"born": BORN_MS}))
        self.links.pop(name).stop()
        return new_name

    def _wait_for_end(self, name: str) -> None:
        """Wait until a leaving endpoint may end."""
        started_at = time.monotonic()
        while not self.is_stopped:
            acknowledged_at = self.leaving[name]
            now = time.monotonic()
            if acknowledged_at is None:
                is_due = now >= started_at + UNACKNOWLEDGED_DRAIN_S
            else:
                is_due = now >= acknowledged_at + DRAIN_S + LINGER_S
            if is_due:
                return
            gevent.sleep(HEARTBEAT_INTERVAL_S)

    def _build(self, name: str) -> None:
        self._count += 1
        endpoint = SimulatedEndpoint(name, GROUP, self.database, self._free_address())
        self.endpoints[name] = endpoint
        link = FaultyLink(self._free_address(), endpoint.address)
        self.links[name] = link
        link_port = int(link.address.rpartition(":")[2])
        endpoint.find_vm = lambda port: self._find_owner(link.client_ports.get(port, 0), link_port)

    def _announce(self, name: str) -> None:
        while name in self.endpoints and not self.is_stopped:
            if self.database.copies[name].alive:
                self._send_heartbeat(name)
            gevent.sleep(HEARTBEAT_INTERVAL_S)

    def _send_heartbeat(self, name: str) -> None:
        self._sequence += 1
        is_leaving = name in self.leaving
        message = {
            "service": GROUP,
            "address": self.links[name].address,
            "zone": ZONES[(int(name[1:]) - 1) % len(ZONES)],
            "version": "v1",
            "slots": self.slots,
            "state": "draining" if is_leaving else "ready",
            "coldRemainingMs": 0,
            "dbRole": "primary" if self.database.is_primary(name) else "replica",
            "sequence": self._sequence,
            "born": BORN_MS,
        }
        is_acknowledged = self._post(f"/Instances.Heartbeat/{name}", orjson.dumps(message))
        if is_acknowledged and is_leaving and self.leaving[name] is None:
            self.leaving[name] = time.monotonic()

    def _post(self, path: str, body: bytes) -> bool:
        """Post to one control VM after another; return whether one acknowledged it."""
        for address in self._control_addresses:
            response = call(address, "POST", path, body)
            if response is not None and response.status == OK:
                return True
        log.debug("no control VM acknowledged %s", path)
        return False
