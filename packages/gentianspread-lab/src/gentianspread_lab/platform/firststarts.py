"""First-start trial: interrupts the control VMs during the first start of a fleet."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import random  # noqa: E402
import shutil  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from collections.abc import Callable  # noqa: E402
from enum import Enum  # noqa: E402

import gevent  # noqa: E402
import orjson  # noqa: E402
from gentianspread_server.connections import OK  # noqa: E402

from .fleet import START_TIMEOUT_S, PlatformFleet  # noqa: E402
from .operators import FIRST_KEYS, Configuration, call  # noqa: E402

ACKNOWLEDGEMENT_TIMEOUT_S = 12.0  # the platform's time to recover
DELAYS_S = [0.05 * step for step in range(11)]  # until well after the voters are recorded
RETRY_INTERVAL_S = 0.02
MAX_RESTART_GAP_S = 0.3


class Interruption(Enum):
    """What happens to the control VMs after the delay.

    The delay begins at the first acknowledged change, or at the start of the last control VM.
    """

    KILL_ALL = "kill all"
    KILL_ALL_AND_LOSE_DISK = "kill all and lose one disk"
    KILL_ALL_STARTING = "kill all that start"


AFTER_FIRST_CHANGE = (Interruption.KILL_ALL, Interruption.KILL_ALL_AND_LOSE_DISK)


class FirstStartTrial:
    """One first start that is interrupted after `delay_s` seconds."""

    __slots__ = ("interruption", "delay_s", "fleet", "randomness")

    def __init__(self, interruption: Interruption, delay_s: float, seed: int) -> None:
        self.interruption = interruption
        self.delay_s = delay_s
        self.randomness = random.Random(f"{seed} {interruption.value} {delay_s}")
        self.fleet = PlatformFleet(entry_count=0)

    def run(self) -> float | None:
        """Return the seconds from the restart to the next acknowledged change, or none.

        Raises a `ValueError` if what was acknowledged before the interruption is gone.
        """
        fleet = self.fleet
        for index in range(len(fleet.control_addresses)):
            fleet.start_control(index, is_first=True)
        if self.interruption is Interruption.KILL_ALL_STARTING:
            return self._interrupt_start()
        if not self._declare(1, time.monotonic() + START_TIMEOUT_S):
            raise TimeoutError("The first configuration was not acknowledged.")
        gevent.sleep(self.delay_s)
        self._interrupt()
        started_at = time.monotonic()
        deadline = started_at + ACKNOWLEDGEMENT_TIMEOUT_S
        for address in fleet.control_addresses:
            version = _wait_for(lambda address=address: _read_version(address), deadline)
            if version not in (1, None):
                raise ValueError(f"{address} returns version {version}, acknowledged was 1")
        return time.monotonic() - started_at if self._declare(2, deadline) else None

    def _interrupt_start(self) -> float | None:
        gevent.sleep(self.delay_s)
        self._interrupt()
        started_at = time.monotonic()
        is_acknowledged = self._declare(1, started_at + ACKNOWLEDGEMENT_TIMEOUT_S)
        return time.monotonic() - started_at if is_acknowledged else None

    def _interrupt(self) -> None:
        names = self.fleet.control_names()
        for name in names:
            self.fleet.kill(name)
        if self.interruption is Interruption.KILL_ALL_AND_LOSE_DISK:
            shutil.rmtree(self.fleet.data_folder(self.randomness.choice(names)))
        self.randomness.shuffle(names)
        for name in names:
            self.fleet.start_again(name)
            gevent.sleep(self.randomness.uniform(0.0, MAX_RESTART_GAP_S))

    def _declare(self, version: int, deadline: float) -> bool:
        body = orjson.dumps(Configuration(version, FIRST_KEYS).to_document())
        address = self.randomness.choice(self.fleet.control_addresses)
        return _wait_for(lambda: _declare_once(address, body), deadline) is not None


def _wait_for(attempt: Callable[[], int | None], deadline: float) -> int | None:
    """Repeat an attempt until it returns a value; return none after the deadline."""
    while time.monotonic() < deadline:
        value = attempt()
        if value is not None:
            return value
        gevent.sleep(RETRY_INTERVAL_S)
    return None


def _declare_once(address: str, body: bytes) -> int | None:
    response = call(address, "POST", "/Config.Replace", body)
    return response.status if response is not None and response.status == OK else None


def _read_version(address: str) -> int | None:
    response = call(address, "GET", "/Config.Get")
    if response is None or response.status != OK:
        return None
    return orjson.loads(response.body)["version"]


def run_trial(interruption: Interruption, delay_s: float, seed: int) -> bool:
    """Run one trial and print its result; return whether the fleet went on."""
    trial = FirstStartTrial(interruption, delay_s, seed)
    recovery_s, problem = None, f"no change acknowledged in {ACKNOWLEDGEMENT_TIMEOUT_S:g} s"
    try:
        recovery_s = trial.run()
    except (TimeoutError, ValueError) as error:
        problem = str(error)
    finally:
        trial.fleet.stop(keep_logs=recovery_s is None)
    result = problem if recovery_s is None else f"a change acknowledged after {recovery_s:.1f} s"
    print(f"{interruption.value} after {delay_s:.2f} s, seed {seed}: {result}", flush=True)
    return recovery_s is not None


def main() -> int:
    """Run all interruptions with all delays; return 1 if a fleet did not go on."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=1, help="how many with each delay")
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--delays", type=float, nargs="+", default=DELAYS_S, help="in seconds")
    parser.add_argument(
        "--starting", action="store_true", help="interrupt the start, not the first change"
    )
    options = parser.parse_args()
    interruptions = (Interruption.KILL_ALL_STARTING,) if options.starting else AFTER_FIRST_CHANGE
    results = [
        run_trial(interruption, delay_s, seed)
        for seed in range(options.seed, options.seed + options.runs)
        for interruption in interruptions
        for delay_s in options.delays
    ]
    print(f"{sum(results)} of {len(results)} fleets went on")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
