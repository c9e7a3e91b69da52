"""One run of the fleet with callers, operator and checks, under the faults of its user."""

from __future__ import annotations

import random
import time
from collections.abc import Iterator
from types import TracebackType

import gevent

from .callers import Rotation, ShapedCaller
from .checks import run_checks, run_checks_regularly
from .fleet import PlatformFleet
from .ledger import HOST, Ledger
from .operators import FIRST_KEYS, ROTATING_WORKSPACE, Operator
from .processfaults import restart_ended_processes
from .shapes import ALL_SHAPES
from .soakboard import SoakBoard

RECOVERY_TIME_S = 8.0  # the platform requires recovery within 12 s
LAST_PHASE_S = 2.0
SLOTS_PER_ENTRY_VM = 2  # slow statements leave slots for the other callers
STALL_CHECK_INTERVAL_S = 0.02
MIN_STALL_S = 0.5
MAX_EXAMPLES = 3


class RunSize:
    """How many entry VMs serve a run, and how many callers of each shape use them.

    With `links_control_vms`, entry VMs reach control VMs through links that may be cut.
    """

    __slots__ = ("entry_count", "callers_per_shape", "links_control_vms")

    def __init__(
        self, entry_count: int, callers_per_shape: int, links_control_vms: bool = False
    ) -> None:
        self.entry_count = entry_count
        self.callers_per_shape = callers_per_shape
        self.links_control_vms = links_control_vms


class FleetRun:
    """Starts a fleet and its users on entry, and ends them on exit; keeps the logs of a failure."""

    __slots__ = ("board", "_callers", "_rotation", "_greenlets")

    def __init__(self, seed: int, size: RunSize) -> None:
        slots = SLOTS_PER_ENTRY_VM * size.entry_count
        fleet = PlatformFleet(size.entry_count, slots, links_control_vms=size.links_control_vms)
        self.board = SoakBoard(fleet, Ledger(), random.Random(seed))
        self._rotation = Rotation(fleet)
        key_lists = list(_key_lists(fleet.operator))
        self._callers = [
            ShapedCaller(
                f"c{index}",
                key_lists[index // len(ALL_SHAPES) % len(key_lists)],
                shape,
                self._rotation,
                self.board.ledger,
                seed,
            )
            for index, shape in enumerate(ALL_SHAPES * size.callers_per_shape)
        ]
        self._greenlets: list[gevent.Greenlet] = []

    def __enter__(self) -> FleetRun:
        try:
            self.board.fleet.start()
        except BaseException:
            self.board.fleet.stop(keep_logs=True)
            raise
        self.board.started_at = time.monotonic()
        self._rotation.start()
        self._greenlets = [
            gevent.spawn(self.board.operator.run_readings),
            gevent.spawn(restart_ended_processes, self.board),
            gevent.spawn(record_stalls, self.board),
            gevent.spawn(run_checks_regularly, self.board),
            *(gevent.spawn(caller.run) for caller in self._callers),
        ]
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        gevent.killall(self._greenlets)
        self._rotation.stop()
        self.board.fleet.stop(keep_logs=error is not None or bool(self.board.violations))

    def finish(self) -> None:
        """Wait for the recovery, run the last phase, and check everything once more."""
        gevent.sleep(RECOVERY_TIME_S)
        self.board.last_phase_at = time.monotonic()
        gevent.sleep(LAST_PHASE_S)
        self.board.is_finished = True
        run_checks(self.board)

    def summary(self) -> str:
        """Return what the run did, in figures."""
        ledger, stalls_s = self.board.ledger, self.board.stalls_s
        return (
            f"{len(self.board.fleet.entry_addresses)} entry VMs, {len(ledger.statements)} "
            f"statements ({dict(ledger.count_answers())}), {len(ledger.stops)} stops, "
            f"{len(self.board.faults)} faults, {len(self.board.fleet.database.promotions)} "
            f"promotions, {len(stalls_s)} stalls of the host up to "
            f"{max(stalls_s, default=0.0):.1f} s, {len(self.board.violations)} broken"
        )

    def print_violations(self) -> None:
        """Print each violated guarantee with examples, and the faults with their times."""
        for item in self.board.violations.values():
            moment = self.board.elapsed(item.time)
            print(f"  BROKEN {item.guarantee}: {len(item.evidence)}, first seen at {moment:.1f} s")
            for example in item.evidence[:MAX_EXAMPLES]:
                print(f"    {example}")
        if self.board.violations:
            origin = self.board.started_at
            print("  " + "; ".join(item.describe(origin) for item in self.board.faults))


def record_stalls(board: SoakBoard) -> None:
    """Record when the host gives this process no processor, until the calling greenlet is killed.

    The fleet's processes are starved as well then, which is an unplanned disruption of all VMs.
    """
    while True:
        began_at, processor_s = time.monotonic(), time.thread_time()
        gevent.sleep(STALL_CHECK_INTERVAL_S)
        late_s = time.monotonic() - began_at - STALL_CHECK_INTERVAL_S
        stalled_s = late_s - (time.thread_time() - processor_s)
        if stalled_s >= MIN_STALL_S:
            board.stalls_s.append(stalled_s)
            disruption = board.ledger.begin_disruption(HOST)
            disruption.began_at = began_at
            disruption.end()


def _key_lists(operator: Operator) -> Iterator[list[str]]:
    """Yield the keys of each workspace; the list of the rotating ones grows."""
    for workspace, keys in FIRST_KEYS.items():
        yield operator.rotating_keys if workspace == ROTATING_WORKSPACE else keys
