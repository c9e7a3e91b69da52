"""Faults of endpoints, of the links to them, and changes of the configuration."""

from __future__ import annotations

import gevent

from .links import LinkState
from .logcopy import DEFAULT_LAG_S
from .processfaults import wait_fault_duration
from .soakboard import SoakBoard

MAX_STORM_INTERVAL_S = 0.4
MAX_LAG_S = 2.0


class CrashEndpoint:
    """An endpoint closes all connections and starts again later; one at a time is lost."""

    kind = "crash endpoint"
    is_planned = False

    def inject(self, board: SoakBoard) -> None:
        """Crash a random endpoint, unless one has a fault."""
        announcer = board.fleet.announcer
        name = board.claim_only_one(announcer.endpoints)
        if name is not None:
            with board.fault(self.kind, name, self.is_planned):
                announcer.endpoints[name].crash()
                wait_fault_duration(board)
                announcer.restart(name)
                wait_fault_duration(board)


class ReplaceEndpoint:
    """An endpoint announces that it leaves, serves on, and ends; a new one takes its place."""

    kind = "replace endpoint"
    is_planned = True

    def inject(self, board: SoakBoard) -> None:
        """Replace a random endpoint, unless one has a fault."""
        announcer = board.fleet.announcer
        name = board.claim_only_one(announcer.endpoints)
        if name is not None:
            with board.fault(self.kind, name, self.is_planned):
                announcer.replace(name)


class DegradeLink:
    """The link to an endpoint is slow, drops everything or drops the replies for some time."""

    kind = "degrade link"
    is_planned = False

    def inject(self, board: SoakBoard) -> None:
        """Degrade a random link, unless an endpoint has a fault."""
        links = board.fleet.announcer.links
        name = board.claim_only_one(links)
        if name is not None:
            with board.fault(self.kind, name, self.is_planned):
                link = links[name]
                link.state = board.randomness.choice(
                    [LinkState.SLOW, LinkState.SILENT, LinkState.ONE_WAY]
                )
                wait_fault_duration(board)
                link.state = LinkState.HEALTHY


class BreakConnections:
    """The open connections to an endpoint are reset, or go silent while new ones work."""

    __slots__ = ("kind", "is_planned", "is_silent")

    def __init__(self, is_silent: bool) -> None:
        self.kind = "silence connections" if is_silent else "reset connections"
        self.is_planned = False
        self.is_silent = is_silent

    def inject(self, board: SoakBoard) -> None:
        """Break the connections to a random endpoint."""
        name = board.randomness.choice(list(board.fleet.announcer.links))
        with board.fault(self.kind, name, self.is_planned, is_claimed=False):
            link = board.fleet.announcer.links[name]
            if self.is_silent:
                link.silence_open_connections()
            else:
                link.reset()


class LagReplica:
    """A replica applies commits late for some time."""

    kind = "replica lag"
    is_planned = False

    def inject(self, board: SoakBoard) -> None:
        """Let a random endpoint lag; a primary is not affected while it leads."""
        name = board.randomness.choice(list(board.fleet.announcer.endpoints))
        with board.fault(self.kind, name, self.is_planned, is_claimed=False):
            copy = board.fleet.database.copies[name]
            copy.lag_s = board.randomness.uniform(0.0, MAX_LAG_S)
            wait_fault_duration(board)
            copy.lag_s = DEFAULT_LAG_S


class ConfigurationStorm:
    """Versions in quick succession change routes, timeouts, keys and rates.

    Several may be in progress at once, as with two operators.
    """

    __slots__ = ("kind", "is_planned", "max_versions")

    def __init__(self, max_versions: int) -> None:
        self.kind = "configuration storm" if max_versions > 1 else "configuration change"
        self.is_planned = True
        self.max_versions = max_versions

    def inject(self, board: SoakBoard) -> None:
        """Declare some versions, each while the one before may still be unacknowledged."""
        with board.fault(self.kind, "operator", self.is_planned, is_claimed=False):
            greenlets = []
            for _ in range(board.randomness.randint(1, self.max_versions)):
                configuration = board.operator.next_version(board.randomness)
                greenlets.append(gevent.spawn(board.operator.declare, configuration))
                gevent.sleep(board.randomness.uniform(0.0, MAX_STORM_INTERVAL_S))
            gevent.joinall(greenlets)
