"""Faults around promotions: cuts from control VMs, replicas that come and go, late commands."""

from __future__ import annotations

import gevent

from .announcer import DRAIN_S
from .links import LinkState
from .processfaults import wait_fault_duration
from .soakboard import SoakBoard

MIN_CUT_S = 2.5  # two failed probes, the lease on commits of 1.5 s, and the effect of a call
MAX_LATE_SHARE = 0.5  # of the commands and calls
MAX_SERIES_GAP_S = 1.0
MAX_SILENT_JOIN_S = 1.5  # for which a replica receives before it announces itself


class CutOffPrimary:
    """The control VMs and the primary cannot reach each other, while entry VMs reach both.

    With `replaces`, replicas come and go meanwhile, in series.
    """

    __slots__ = ("kind", "is_planned", "replaces")

    def __init__(self, replaces: bool) -> None:
        self.kind = "cut off primary, replace replicas" if replaces else "cut off primary"
        self.is_planned = False
        self.replaces = replaces

    def inject(self, board: SoakBoard) -> None:
        """Cut the primary off, unless one is cut off already or has left."""
        announcer = board.fleet.announcer
        if announcer.cut_off or board.fleet.database.source not in announcer.links:
            return
        name = board.fleet.cut_off_primary()
        with board.fault(self.kind, name, self.is_planned, is_claimed=False):
            greenlets = []
            if self.replaces:
                wait_fault_duration(board)
                for fault in (ReplaceReplica(), RestartReplica(), ReplaceReplica()):
                    greenlets.append(gevent.spawn(fault.inject, board))
                    gevent.sleep(board.randomness.uniform(0.0, MAX_SERIES_GAP_S))
            gevent.sleep(MIN_CUT_S)
            wait_fault_duration(board)
            board.fleet.restore(name)
        gevent.joinall(greenlets, raise_error=True)


class CutOffEntryVM:
    """An entry VM cannot reach the control VMs, while callers and endpoints reach it."""

    kind = "cut off entry VM"
    is_planned = False

    def inject(self, board: SoakBoard) -> None:
        """Silence the links from a random entry VM to the control VMs."""
        name = board.randomness.choice(list(board.fleet.control_links))
        with board.fault(self.kind, name, self.is_planned, is_claimed=False):
            for link in board.fleet.control_links[name].values():
                link.state = LinkState.SILENT
            wait_fault_duration(board)
            for link in board.fleet.control_links[name].values():
                link.state = LinkState.HEALTHY


class ReplaceReplica:
    """A replica joins and announces itself later; then another one leaves with its log.

    The one that leaves may be out of the VMs' reach, refuse their connections, or run on after its
    deregistration, and confirms commits until it ends.
    """

    kind = "replace replica"
    is_planned = True

    def inject(self, board: SoakBoard) -> None:
        """Replace a random replica that has no fault."""
        announcer = board.fleet.announcer
        name = board.claim(board.fleet.replica_names())
        if name is not None:
            with board.fault(self.kind, name, self.is_planned):
                new_name = announcer.join()
                gevent.sleep(board.randomness.uniform(0.0, MAX_SILENT_JOIN_S))
                announcer.announce(new_name)
                change = gevent.spawn(self._obstruct, board, name)
                announcer.retire(name, lost_answers=board.randomness.choice([0, 0, 1, 2]))
                change.kill()
                announcer.cut_off.discard(name)

    def _obstruct(self, board: SoakBoard, name: str) -> None:
        """Cut the leaving replica off from the VMs in one of two ways, or in none."""
        gevent.sleep(board.randomness.uniform(0.0, DRAIN_S))
        how = board.randomness.choice(["none", "refuses", "unheard"])
        if how == "refuses":
            board.fleet.announcer.links[name].refuse()
        if how != "none":
            board.fleet.announcer.cut_off.add(name)


class DeafReplica:
    """A replica receives nothing from the primary for some time."""

    kind = "deaf replica"
    is_planned = False

    def inject(self, board: SoakBoard) -> None:
        """Let a random replica receive nothing."""
        names = board.fleet.replica_names()
        if not names:
            return
        name = board.randomness.choice(names)
        with board.fault(self.kind, name, self.is_planned, is_claimed=False):
            board.fleet.database.set_deaf(name, True)
            wait_fault_duration(board)
            board.fleet.database.set_deaf(name, False)


class CrashPrimary:
    """The primary closes all connections and starts again later with its log."""

    kind = "crash primary"
    is_planned = False

    def inject(self, board: SoakBoard) -> None:
        """Crash the endpoint that led last, unless it has a fault."""
        announcer = board.fleet.announcer
        name = board.claim([board.fleet.database.source])
        if name is None:
            return
        is_leading = board.fleet.database.is_primary(name)
        if not is_leading or name not in announcer.endpoints or name in announcer.leaving:
            board.claimed.discard(name)
            return
        with board.fault(self.kind, name, self.is_planned):
            announcer.endpoints[name].crash()
            gevent.sleep(MIN_CUT_S)
            wait_fault_duration(board)
            announcer.restart(name)


class RestartReplica:
    """A replica starts again at once, without its log; one endpoint at a time loses its log."""

    kind = "restart replica"
    is_planned = False

    def inject(self, board: SoakBoard) -> None:
        """Restart a random replica, unless an endpoint does not run."""
        announcer = board.fleet.announcer
        copies = board.fleet.database.copies
        if not all(copies[name].alive for name in announcer.endpoints):
            return
        name = board.claim(board.fleet.replica_names())
        if name is not None:
            with board.fault(self.kind, name, self.is_planned):
                announcer.endpoints[name].crash()
                gevent.sleep(board.randomness.uniform(0.0, MAX_SERIES_GAP_S))
                announcer.restart(name)


class DeliverLate:
    """Some commands and calls get no answer and are carried out seconds later."""

    kind = "late commands and calls"
    is_planned = False

    def inject(self, board: SoakBoard) -> None:
        """Delay a random share of them for some time."""
        with board.fault(self.kind, "endpoints", self.is_planned, is_claimed=False):
            deliveries = (board.fleet.late_commands, board.fleet.late_calls)
            for delivery in deliveries:
                delivery.share = board.randomness.uniform(0.0, MAX_LATE_SHARE)
            wait_fault_duration(board)
            for delivery in deliveries:
                delivery.share = 0.0
