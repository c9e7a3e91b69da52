"""Experiments on the policies, each beside its baselines, over the real decisions and fakes."""

from __future__ import annotations

import heapq
import random
from typing import Any

from gentianspread_core.blackboard.queues import WaitingQueue
from gentianspread_core.blackboard.requests import Request, StatementKind
from gentianspread_core.controllers.policies import (
    FairQueue,
    FifoQueue,
    NearestReplica,
    PrimaryOnly,
    PriorityQueue,
)
from gentianspread_core.errors import ErrorCode
from gentianspread_core.interfaces import QueuePolicy

from .fakes import Simulation
from .fakes.simulation import GROUP
from .measures import percentile

SERVICE_S = 0.01
QUEUE_LIMIT = 64
WORKSPACE_LIMIT = 16
DEADLINE_S = 2.0
RUN_S = 20.0
WORKSPACES = 8
OVERLOAD = 10.0


class QueueFigures:
    """One policy under one greedy workspace; success shares of one, p99 in seconds."""

    __slots__ = ("policy", "worst_success", "worst_p99", "greedy_success")

    def __init__(
        self, policy: str, worst_success: float, worst_p99: float, greedy_success: float
    ) -> None:
        self.policy = policy
        self.worst_success = worst_success
        self.worst_p99 = worst_p99
        self.greedy_success = greedy_success


class ShareFigures:
    """One way of dividing a workspace's rate: requests sent inside the rate and refused."""

    __slots__ = ("way", "sent", "refused")

    def __init__(self, way: str, sent: int, refused: int) -> None:
        self.way = way
        self.sent = sent
        self.refused = refused

    def share(self) -> float:
        """Return the part that was refused."""
        return self.refused / self.sent if self.sent else 0.0


class QueueRun:
    """Slots of one group with a policy's queue before them, without any rate limit."""

    def __init__(self, policy: QueuePolicy, slots: int, load: float, seed: int) -> None:
        self.policy = policy
        self.free = slots
        self.queue = WaitingQueue(QUEUE_LIMIT)
        self.randomness = random.Random(seed)
        self.sent: dict[str, int] = {}
        self.waits: dict[str, list[float]] = {}
        self._events: list[tuple[float, int, Any]] = []
        self._count = 0
        capacity = slots / SERVICE_S
        for number in range(WORKSPACES):
            factor = OVERLOAD if number == 0 else 1.0
            self._plan_arrivals(f"w{number}", factor * load * capacity / WORKSPACES)

    def run(self) -> None:
        """Play all arrivals and endings."""
        while self._events:
            now, _number, event = heapq.heappop(self._events)
            if isinstance(event, Request):
                self._arrive(event, now)
            else:
                self._finish(event, now)

    def success(self, workspace: str) -> float:
        """Return the part of a workspace's requests that ran in time."""
        return len(self.waits.get(workspace, [])) / max(1, self.sent[workspace])

    def _plan_arrivals(self, workspace: str, rate: float) -> None:
        now = self.randomness.expovariate(rate)
        while now < RUN_S:
            self._push(now, self._request(workspace, now))
            now += self.randomness.expovariate(rate)

    def _request(self, workspace: str, now: float) -> Request:
        is_read = self.randomness.random() < 0.75
        kind = StatementKind.READ if is_read else StatementKind.WRITE
        deadline = now + DEADLINE_S
        request = Request(
            0, kind, GROUP, "", [], False, None, None, None, None, None, now, deadline, None
        )
        request.workspace = workspace
        return request

    def _push(self, due: float, event: Any) -> None:
        self._count += 1
        heapq.heappush(self._events, (due, self._count, event))

    def _arrive(self, request: Request, now: float) -> None:
        self.sent[request.workspace] = self.sent.get(request.workspace, 0) + 1
        if self.free:
            self._start(request, now)
        else:
            self.policy.push(self.queue, request)

    def _start(self, request: Request, now: float) -> None:
        self.free -= 1
        running = self.queue.running
        running[request.workspace] = running.get(request.workspace, 0) + 1
        ends = now + SERVICE_S
        self._push(ends, (request.workspace, ends - request.arrived_at))

    def _finish(self, ended: tuple[str, float], now: float) -> None:
        workspace, elapsed = ended
        self.waits.setdefault(workspace, []).append(elapsed)
        self.queue.running[workspace] -= 1
        self.free += 1
        request = self.policy.pop(self.queue)
        while request is not None and now >= request.deadline:
            request = self.policy.pop(self.queue)
        if request is not None:
            self._start(request, now)


def compare_queues(slots: int, seeds: list[int]) -> list[QueueFigures]:
    """Compare blind, priority and fair queues with one workspace at ten times its rate."""
    policies: dict[str, QueuePolicy] = {
        "blind": FifoQueue(),
        "priority": PriorityQueue(),
        "fair": FairQueue(WORKSPACE_LIMIT),
    }
    return [_queue_figures(name, policy, slots, seeds) for name, policy in policies.items()]


def compare_shares(seeds: list[int]) -> list[ShareFigures]:
    """Compare tokens with an equal static split where one VM carries half of a workspace."""
    tokens = ShareFigures("tokens of zone allocators", 0, 0)
    static = ShareFigures("equal static split", 0, 0)
    for seed in seeds:
        _play_tokens(tokens, seed)
        _play_static(static, seed)
    return [static, tokens]


def compare_reads(seeds: list[int]) -> dict[str, float]:
    """Return the part of session reads that replicas serve, by way of choosing."""
    return {
        "primary only": sum(_replica_part(PrimaryOnly, seed) for seed in seeds) / len(seeds),
        "nearest replica": sum(_replica_part(NearestReplica, seed) for seed in seeds) / len(seeds),
    }


def _queue_figures(name: str, policy: QueuePolicy, slots: int, seeds: list[int]) -> QueueFigures:
    worst_success, worst_p99, greedy = 1.0, 0.0, 1.0
    for seed in seeds:
        run = QueueRun(policy, slots, load=0.6, seed=seed)
        run.run()
        for number in range(1, WORKSPACES):
            workspace = f"w{number}"
            worst_success = min(worst_success, run.success(workspace))
            worst_p99 = max(worst_p99, percentile(run.waits.get(workspace, []), 0.99))
        greedy = min(greedy, run.success("w0"))
    return QueueFigures(name, worst_success, worst_p99, greedy)


RATE = 40.0
BURST = 40.0
LOAD = 0.7
SKEWED_PART = 0.5


def _arrivals(seed: int, vms: list[str]) -> list[tuple[float, str]]:
    """Return when and where requests arrive: half of them at the first VM."""
    randomness = random.Random(seed)
    now, found = 0.0, []
    while now < RUN_S:
        now += randomness.expovariate(RATE * LOAD)
        skewed = randomness.random() < SKEWED_PART
        found.append((now, vms[0] if skewed else randomness.choice(vms[1:])))
    return found


def _play_tokens(figures: ShareFigures, seed: int) -> None:
    simulation = Simulation(seed, voters=3, diskless=10)
    simulation.run(2.0)
    simulation.add_endpoints()
    simulation.set_up_workspace(RATE, BURST)
    simulation.run(6.0)
    started = simulation.clock.now()
    requests = []
    for moment, name in _arrivals(seed, [vm for vm in simulation.vms if vm.startswith("o")]):
        simulation.run(max(0.0, started + moment - simulation.clock.now()))
        requests.append(simulation.send(simulation.vms[name], StatementKind.READ))
    simulation.run(3.0)
    figures.sent += len(requests)
    figures.refused += sum(1 for request in requests if _is_rate_limited(request))


def _is_rate_limited(request: Request) -> bool:
    refusal = request.outcome.refusal if request.outcome else None
    return refusal is not None and refusal.code is ErrorCode.RATE_LIMITED


def _play_static(figures: ShareFigures, seed: int) -> None:
    """Give each of ten VMs a tenth of rate and burst, and no way to move them."""
    names = [f"o{number}" for number in range(1, 11)]
    levels = {name: BURST / len(names) for name in names}
    last = dict.fromkeys(names, 0.0)
    for moment, name in _arrivals(seed, names):
        grown = levels[name] + (moment - last[name]) * RATE / len(names)
        levels[name] = min(BURST / len(names), grown)
        last[name] = moment
        figures.sent += 1
        if levels[name] >= 1.0:
            levels[name] -= 1.0
        else:
            figures.refused += 1


def _replica_part(choice: type, seed: int) -> float:
    """Read in sessions, half of which have just written, and count reads of replicas."""
    simulation = Simulation(seed, voters=3, diskless=2, selector_factory=choice)
    simulation.run(2.0)
    simulation.add_endpoints()
    simulation.set_up_workspace()
    simulation.run(6.0)
    randomness = random.Random(seed)
    served = []
    for number in range(100):
        vm = simulation.vms[randomness.choice(["o1", "o2"])]
        token = None
        if number % 2 == 0:
            write = simulation.send(vm, StatementKind.WRITE, f"value-{number}")
            simulation.run(0.1)
            token = write.outcome.token if write.outcome else None
        read = simulation.send(vm, StatementKind.READ, token=token)
        simulation.run(0.5)
        if read.outcome is not None and read.outcome.refusal is None:
            served.append(read.endpoint != _primary(simulation))
    return sum(served) / len(served) if served else 0.0


def _primary(simulation: Simulation) -> str | None:
    leader = simulation.leader()
    return leader.board.configuration.groups[GROUP].primary if leader else None
