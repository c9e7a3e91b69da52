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
from .promotionservice import LateDelivery

log = logging.getLogger(__name__)

ZONES = ("z1", "z2", "z3")
HEARTBEAT_INTERVAL_S = 0.4
DRAIN_S = 7.0  # from the acknowledgement of a leaving endpoint's announcement to its last statement
LINGER_S = 2.0  # for which it serves on
RESEND_INTERVAL_S = 1.0  # after which a call without an answer is sent again
UNACKNOWLEDGED_DRAIN_S = 12.0  # after this long without an acknowledgement, it ends anyway
MS_PER_S = 1000


class Incarnation:
    """One start of an endpoint, and how many heartbeats it has sent since."""

    __slots__ = ("born_ms", "sequence")

    def __init__(self) -> None:
        self.born_ms = round(time.time() * MS_PER_S)
        self.sequence = 0


class EndpointAnnouncer:
    """Sends the heartbeats of a group's endpoints, and starts and ends them.

    `leaving` has the endpoints that have announced their end, with the time of the first
    acknowledgement, which is none before it. The heartbeats of those in `cut_off` reach no control
    VM, and those in `ending` send none any more.
    """

    __slots__ = (
        "database",
        "late",
        "endpoints",
        "links",
        "slots",
        "leaving",
        "cut_off",
        "ending",
        "is_stopped",
        "_control_addresses",
        "_free_address",
        "_find_owner",
        "_count",
        "_incarnations",
    )

    def __init__(
        self,
        database: DatabaseGroup,
        late: LateDelivery,
        control_addresses: list[str],
        free_address: Callable[[], str],
        find_owner: Callable[[int, int], str],
        slots: int,
    ) -> None:
        self.database = database
        self.late = late
        self.endpoints: dict[str, SimulatedEndpoint] = {}
        self.links: dict[str, FaultyLink] = {}
        self.slots = slots
        self.leaving: dict[str, float | None] = {}
        self.cut_off: set[str] = set()
        self.ending: set[str] = set()
        self.is_stopped = False
        self._control_addresses = control_addresses
        self._free_address = free_address
        self._find_owner = find_owner
        self._count = 0
        self._incarnations: dict[str, Incarnation] = {}
        for name in database.copies:
            self._build(name)

    def start(self) -> None:
        """Start the endpoints and their heartbeats."""
        for name, endpoint in self.endpoints.items():
            endpoint.start()
            self.links[name].start()
            self.announce(name)

    def stop(self) -> None:
        """Stop everything."""
        self.is_stopped = True
        for endpoint in self.endpoints.values():
            endpoint.crash()
        for link in self.links.values():
            link.stop()

    def restart(self, name: str) -> None:
        """Start a crashed endpoint again: a primary with its log, a replica without one."""
        self.database.lose_log(name)
        self._incarnations[name] = Incarnation()
        self.endpoints[name].start()

    def join(self) -> str:
        """Start a new replica, which receives before it announces itself; return its name."""
        name = f"e{self._count + 1}"
        self.database.add(name)
        self._build(name)
        self.endpoints[name].start()
        self.links[name].start()
        return name

    def announce(self, name: str) -> None:
        """Start the heartbeats of an endpoint."""
        gevent.spawn(self._announce, name)

    def retire(self, name: str, lost_answers: int = 0) -> None:
        """Let an endpoint announce its end, serve on and end; its log is gone with it.

        It runs on until its deregistration is answered; the first `lost_answers` answers are lost.
        """
        self.leaving[name] = None
        self._wait_for_end(name)
        self.ending.add(name)
        for _ in range(lost_answers):
            self.deregister(name)
            gevent.sleep(RESEND_INTERVAL_S)
        self.deregister(name)
        self.end(name)

    def deregister(self, name: str) -> None:
        """Tell a control VM that an endpoint ends, unless none can be reached."""
        if name not in self.cut_off:
            born_ms = self._incarnations[name].born_ms
            self._post(f"/Instances.Deregister/{name}", orjson.dumps({"born": born_ms}))

    def end(self, name: str) -> None:
        """End an endpoint for good."""
        self.endpoints.pop(name).crash()
        self.links.pop(name).stop()

    def replace(self, name: str) -> str:
        """Retire an endpoint after a new one has started; return the name of the new one.

        The new one starts first, so that the group keeps enough replicas.
        """
        new_name = self.join()
        self.announce(new_name)
        self.retire(name)
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
        self._incarnations[name] = Incarnation()
        endpoint = SimulatedEndpoint(name, GROUP, self.database, self.late, self._free_address())
        self.endpoints[name] = endpoint
        link = FaultyLink(self._free_address(), endpoint.address)
        self.links[name] = link
        link_port = int(link.address.rpartition(":")[2])
        endpoint.find_vm = lambda port: self._find_owner(link.client_ports.get(port, 0), link_port)

    def _announce(self, name: str) -> None:
        while name in self.endpoints and name not in self.ending and not self.is_stopped:
            if self.database.copies[name].alive and name not in self.cut_off:
                self._send_heartbeat(name)
            gevent.sleep(HEARTBEAT_INTERVAL_S)

    def _send_heartbeat(self, name: str) -> None:
        incarnation = self._incarnations[name]
        incarnation.sequence += 1
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
            "sequence": incarnation.sequence,
            "born": incarnation.born_ms,
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
