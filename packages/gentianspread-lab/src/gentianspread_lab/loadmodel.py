"""Network-free model of many VMs that choose endpoints by old load information.

Runs the estimator and the selectors of the product; `loadtable` compares ways to choose with it.

One group of endpoints gets `LOAD` of the statements that its slots can run. With a skew, each VM is
in the zone of one endpoint, the others cost `CROSS_ZONE_COST_S` more, and that share of the
statements comes to the VMs of the first zone. Reports of all home VMs
reach each VM at a fixed interval and a random phase, or, with the interval 0, only with the replies
to the VM's own statements, as in the product.
"""

from __future__ import annotations

import heapq
import random
import statistics
from collections import deque
from collections.abc import Callable

from gentianspread_core.blackboard import Board
from gentianspread_core.blackboard.connections import BackendConnection, ConnectionState
from gentianspread_core.blackboard.endpoints import Endpoint
from gentianspread_core.blackboard.homes import HOMES_PER_SLOT, ServingVM
from gentianspread_core.blackboard.loads import EndpointLoad
from gentianspread_core.blackboard.timeline import Timeline
from gentianspread_core.controllers.placement.costs import CROSS_ZONE_COST_S
from gentianspread_core.controllers.placement.selection import ServingOption
from gentianspread_core.settings import CoreSettings

from .fakes.clock import FakeClock
from .loadways import WAYS, FixedOption

GROUP = "g"
SERVICE_S = 0.02
LOAD = 0.8
NETWORK_S = 0.001
SAMPLE_S = 0.005
WARM_UP_S = 2.0
WORKSPACES = 32
SMOOTHING = 0.1  # as of the endpoint controller's latency


class ModelStatement:
    """A statement under way; `connection` is its entry on the VM's board."""

    __slots__ = ("vm", "endpoint", "home", "arrived_at", "started_at", "connection")

    def __init__(
        self,
        vm: ModelVM,
        endpoint: ModelEndpoint,
        home: ServingVM,
        arrived_at: float,
        connection: BackendConnection,
    ) -> None:
        self.vm = vm
        self.endpoint = endpoint
        self.home = home
        self.arrived_at = arrived_at
        self.started_at = arrived_at
        self.connection = connection


class ModelEndpoint:
    """An endpoint with slots and a FIFO queue; `parts` counts statements by home VM."""

    __slots__ = ("name", "slots", "running", "queue", "parts", "latencies")

    def __init__(self, name: str, slots: int) -> None:
        self.name = name
        self.slots = slots
        self.running = 0
        self.queue: deque[ModelStatement] = deque()
        self.parts: dict[str, int] = {}
        self.latencies: dict[str, float] = {}

    def statements(self) -> int:
        """Return how many statements run and wait."""
        return self.running + len(self.queue)


class ModelVM:
    """A VM's board with the product's estimator and selector."""

    __slots__ = ("board", "estimator", "selector")

    def __init__(self, board: Board, way: tuple[type, type], randomness: random.Random) -> None:
        self.board = board
        self.estimator = way[0](board)
        self.selector = way[1](board, self.estimator, randomness)


class LoadModel:
    """Many VMs and one group of endpoints; collects samples of the endpoints' statements."""

    __slots__ = (
        "clock",
        "randomness",
        "interval_s",
        "endpoints",
        "homes",
        "skew",
        "vms",
        "samples",
        "waits",
        "measured_from",
        "_events",
        "_count",
    )

    def __init__(
        self,
        way: tuple[type, type],
        vm_count: int,
        slots: int,
        interval_s: float,
        seed: int,
        skew: float = 0.0,
        endpoint_count: int = 3,
    ) -> None:
        self.clock = FakeClock()
        self.randomness = random.Random(seed)
        self.interval_s = interval_s
        self.skew = skew
        names = [f"b{number}" for number in range(endpoint_count)]
        self.endpoints = {name: ModelEndpoint(name, slots) for name in names}
        count = HOMES_PER_SLOT * slots
        self.homes = {
            name: [ServingVM(f"h-{name}-{number}", "", name) for number in range(count)]
            for name in names
        }
        self.vms = [self._new_vm(f"v{number}", way, slots) for number in range(vm_count)]
        self.samples: list[list[int]] = []
        self.waits: list[float] = []
        self.measured_from = self.clock.now() + WARM_UP_S
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def run(self, duration_s: float) -> None:
        """Run the model for the warm-up and `duration_s`."""
        capacity = sum(item.slots for item in self.endpoints.values()) / SERVICE_S
        self._call_later(0.0, lambda: self._arrive(LOAD * capacity))
        self._call_later(WARM_UP_S, self._sample)
        for vm in self.vms if self.interval_s else ():
            phase = self.randomness.uniform(0.0, self.interval_s)
            self._call_later(phase, lambda vm=vm: self._report_all(vm))
        end = self.measured_from + duration_s
        while self._events and self._events[0][0] <= end:
            self.clock.time, _, action = heapq.heappop(self._events)
            action()

    def _new_vm(self, name: str, way: tuple[type, type], slots: int) -> ModelVM:
        board = Board(CoreSettings(name, "z", name), self.clock, Timeline(name, lambda: 0))
        board.loads.is_reported = True
        for endpoint_name, homes in self.homes.items():
            endpoint = Endpoint(endpoint_name, "", endpoint_name, GROUP, 1)
            endpoint.slots = slots
            endpoint.latency = SERVICE_S
            board.endpoints.by_name[endpoint_name] = endpoint
            board.endpoints.by_group.setdefault(GROUP, []).append(endpoint)
            board.homes.by_zone[endpoint_name] = homes
        return ModelVM(board, way, self.randomness)

    def _call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (self.clock.now() + delay_s, self._count, action))

    def _arrive(self, rate: float) -> None:
        self._call_later(self.randomness.expovariate(rate), lambda: self._arrive(rate))
        vm, zone = self._draw_vm()
        workspace = self.randomness.randrange(WORKSPACES)
        options = []
        for endpoint in vm.board.endpoints.by_name.values():
            homes = self.homes[endpoint.name]
            home = homes[workspace % len(homes)]
            wait_s = vm.estimator.expected_wait_s(endpoint, home) or 0.0
            load_s = wait_s + vm.estimator.service_s(endpoint)
            zone_s = 0.0 if zone in (None, endpoint.zone) else CROSS_ZONE_COST_S
            options.append(ServingOption(endpoint, home, load_s + zone_s, load_s))
        self.randomness.shuffle(options)
        if isinstance(vm.selector, FixedOption):
            options.sort(key=lambda option: option.endpoint.name)
        option = vm.selector.choose(ModelRequest(), options)
        self._send(vm, option.endpoint.name, option.home)

    def _draw_vm(self) -> tuple[ModelVM, str | None]:
        """Return the VM of the next statement, and its zone if zones matter."""
        if not self.skew:
            return self.randomness.choice(self.vms), None
        zones = list(self.endpoints)
        others = (1.0 - self.skew) / (len(zones) - 1)
        number = self.randomness.choices(
            range(len(zones)), [self.skew] + [others] * (len(zones) - 1)
        )
        return self.randomness.choice(self.vms[number[0] :: len(zones)]), zones[number[0]]

    def _send(self, vm: ModelVM, name: str, home: ServingVM) -> None:
        now = self.clock.now()
        connection = BackendConnection(0, name, "", GROUP, "", now)
        connection.home = home
        connection.state = ConnectionState.BUSY
        vm.board.connections.of(name).append(connection)
        endpoint = self.endpoints[name]
        statement = ModelStatement(vm, endpoint, home, now, connection)
        self._call_later(NETWORK_S, lambda: self._enqueue(statement))

    def _enqueue(self, statement: ModelStatement) -> None:
        endpoint = statement.endpoint
        endpoint.parts[statement.home.name] = endpoint.parts.get(statement.home.name, 0) + 1
        endpoint.queue.append(statement)
        self._start_next(endpoint)

    def _start_next(self, endpoint: ModelEndpoint) -> None:
        while endpoint.queue and endpoint.running < endpoint.slots:
            statement = endpoint.queue.popleft()
            statement.started_at = self.clock.now()
            endpoint.running += 1
            duration_s = SERVICE_S * self.randomness.uniform(0.5, 1.5)
            self._call_later(duration_s, lambda item=statement: self._finish(item))

    def _finish(self, statement: ModelStatement) -> None:
        endpoint, home, now = statement.endpoint, statement.home.name, self.clock.now()
        endpoint.running -= 1
        endpoint.parts[home] -= 1
        known = endpoint.latencies.get(home, SERVICE_S)
        endpoint.latencies[home] = known + (now - statement.arrived_at - known) * SMOOTHING
        if now > self.measured_from:
            self.waits.append(statement.started_at - statement.arrived_at)
        self._start_next(endpoint)
        part = endpoint.parts[home], endpoint.latencies[home]
        self._call_later(NETWORK_S, lambda: self._reply(statement, *part))

    def _reply(self, statement: ModelStatement, running: int, service_s: float) -> None:
        board, name = statement.vm.board, statement.endpoint.name
        statement.connection.state = ConnectionState.CLOSED
        board.connections.of(name).remove(statement.connection)
        if not self.interval_s:
            reports = board.loads.by_endpoint.setdefault(name, {})
            load = EndpointLoad(running, 0, 0.0, service_s, self.clock.now())
            reports[statement.home.name] = load

    def _report_all(self, vm: ModelVM) -> None:
        self._call_later(self.interval_s, lambda: self._report_all(vm))
        now = self.clock.now()
        for name, endpoint in self.endpoints.items():
            vm.board.loads.by_endpoint[name] = {
                home.name: EndpointLoad(
                    endpoint.parts.get(home.name, 0),
                    0,
                    0.0,
                    endpoint.latencies.get(home.name, SERVICE_S),
                    now,
                )
                for home in self.homes[name]
            }

    def _sample(self) -> None:
        self._call_later(SAMPLE_S, self._sample)
        self.samples.append([item.statements() for item in self.endpoints.values()])


class ModelRequest:
    """The part of a session's request that selectors read."""

    __slots__ = ("tried_endpoints",)

    def __init__(self) -> None:
        self.tried_endpoints: set[str] = set()

    def is_standalone_read(self) -> bool:
        """Return true: the model has only reads."""
        return True


class Evenness:
    """Measures of one run; see `measure_evenness`."""

    __slots__ = ("spread", "uneven_share", "uneven_ms", "longest_queue", "wait_ms", "late_wait_ms")

    def __init__(
        self,
        spread: float,
        uneven_share: float,
        uneven_ms: float,
        longest_queue: int,
        wait_ms: float,
        late_wait_ms: float,
    ) -> None:
        self.spread = spread
        self.uneven_share = uneven_share
        self.uneven_ms = uneven_ms
        self.longest_queue = longest_queue
        self.wait_ms = wait_ms
        self.late_wait_ms = late_wait_ms


def measure_evenness(samples: list[list[int]], slots: int, waits: list[float]) -> Evenness:
    """Return how evenly the statements were spread over the endpoints.

    `spread` is the mean standard deviation of the statements of the endpoints at one moment;
    `uneven_share` the share of time in which statements wait at one endpoint while another has a
    free slot, `uneven_ms` how long that lasts on average; waits are means and the 99th percentile.
    """
    uneven = [max(item) > slots and min(item) < slots for item in samples]
    periods = sum(1 for before, now in zip([False, *uneven], uneven, strict=False) if now > before)
    ordered = sorted(waits)
    return Evenness(
        statistics.mean(statistics.pstdev(item) for item in samples),
        sum(uneven) / len(uneven),
        sum(uneven) * SAMPLE_S * 1000 / periods if periods else 0.0,
        max(max(item) for item in samples) - slots,
        statistics.mean(waits) * 1000,
        ordered[int(0.99 * len(ordered))] * 1000,
    )


def run_model(
    way: str,
    vm_count: int,
    slots: int,
    interval_s: float,
    duration_s: float,
    seed: int,
    skew: float = 0.0,
) -> Evenness:
    """Run the model once and return its measures."""
    model = LoadModel(WAYS[way], vm_count, slots, interval_s, seed, skew)
    model.run(duration_s)
    return measure_evenness(model.samples, slots, model.waits)
