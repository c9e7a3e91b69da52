"""Simulations that compare the queue, rate and read policies with their baselines.

They run the real policies and controllers on fakes.
"""

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

SERVICE_TIME_S = 0.01
MAX_QUEUED_REQUESTS = 64
MAX_QUEUED_PER_WORKSPACE = 16
REQUEST_TIMEOUT_S = 2.0
SIMULATED_S = 20.0
WORKSPACE_COUNT = 8
OVERLOAD_FACTOR = 10.0


class QueuePolicyResult:
    """Results of one queue policy while one workspace overloads; success shares are 0 to 1."""

    __slots__ = ("policy", "worst_success", "worst_p99_s", "overloading_workspace_success")

    def __init__(
        self,
        policy: str,
        worst_success: float,
        worst_p99_s: float,
        overloading_workspace_success: float,
    ) -> None:
        self.policy = policy
        self.worst_success = worst_success
        self.worst_p99_s = worst_p99_s
        self.overloading_workspace_success = overloading_workspace_success


class RateSplitResult:
    """Results of one method of dividing a workspace's rate among VMs: requests sent and refused.

    The workspace sends less than its rate on average, so refusals come from the division.
    """

    __slots__ = ("method", "sent", "refused")

    def __init__(self, method: str, sent: int, refused: int) -> None:
        self.method = method
        self.sent = sent
        self.refused = refused

    def refused_share(self) -> float:
        """Return the share of the requests that was refused, 0 to 1."""
        return self.refused / self.sent if self.sent else 0.0


class QueueSimulation:
    """Simulates the slots of one group behind a queue policy, without rate limits."""

    def __init__(self, policy: QueuePolicy, slots: int, load: float, seed: int) -> None:
        self.policy = policy
        self.free_slots = slots
        self.queue = WaitingQueue(MAX_QUEUED_REQUESTS)
        self.randomness = random.Random(seed)
        self.sent: dict[str, int] = {}
        self.latencies_s: dict[str, list[float]] = {}
        self._events: list[tuple[float, int, Any]] = []
        self._event_number = 0
        capacity = slots / SERVICE_TIME_S
        for number in range(WORKSPACE_COUNT):
            factor = OVERLOAD_FACTOR if number == 0 else 1.0
            self._schedule_arrivals(f"w{number}", factor * load * capacity / WORKSPACE_COUNT)

    def run(self) -> None:
        """Process all arrivals and completions in order of time."""
        while self._events:
            now, _number, event = heapq.heappop(self._events)
            if isinstance(event, Request):
                self._arrive(event, now)
            else:
                self._complete(event, now)

    def success(self, workspace: str) -> float:
        """Return the share of a workspace's requests that were executed, 0 to 1."""
        return len(self.latencies_s.get(workspace, [])) / max(1, self.sent[workspace])

    def _schedule_arrivals(self, workspace: str, rate: float) -> None:
        now = self.randomness.expovariate(rate)
        while now < SIMULATED_S:
            self._schedule(now, self._request(workspace, now))
            now += self.randomness.expovariate(rate)

    def _request(self, workspace: str, now: float) -> Request:
        is_read = self.randomness.random() < 0.75
        kind = StatementKind.READ if is_read else StatementKind.WRITE
        deadline = now + REQUEST_TIMEOUT_S
        request = Request(
            0, kind, GROUP, "", [], False, None, None, None, None, None, now, deadline, None
        )
        request.workspace = workspace
        return request

    def _schedule(self, due_at: float, event: Any) -> None:
        self._event_number += 1
        heapq.heappush(self._events, (due_at, self._event_number, event))

    def _arrive(self, request: Request, now: float) -> None:
        self.sent[request.workspace] = self.sent.get(request.workspace, 0) + 1
        if self.free_slots:
            self._start(request, now)
        else:
            self.policy.push(self.queue, request)

    def _start(self, request: Request, now: float) -> None:
        self.free_slots -= 1
        running = self.queue.running
        running[request.workspace] = running.get(request.workspace, 0) + 1
        ends_at = now + SERVICE_TIME_S
        self._schedule(ends_at, (request.workspace, ends_at - request.arrived_at))

    def _complete(self, completed: tuple[str, float], now: float) -> None:
        """Free the slot of a completed request and start the next one that has not expired."""
        workspace, latency_s = completed
        self.latencies_s.setdefault(workspace, []).append(latency_s)
        self.queue.running[workspace] -= 1
        self.free_slots += 1
        request = self.policy.pop(self.queue)
        while request is not None and now >= request.deadline:
            request = self.policy.pop(self.queue)
        if request is not None:
            self._start(request, now)


def compare_queue_policies(slots: int, seeds: list[int]) -> list[QueuePolicyResult]:
    """Compare FIFO, priority and fair queues while one workspace sends ten times its rate."""
    policies: dict[str, QueuePolicy] = {
        "blind": FifoQueue(),
        "priority": PriorityQueue(),
        "fair": FairQueue(MAX_QUEUED_PER_WORKSPACE),
    }
    return [_simulate_queue_policy(name, policy, slots, seeds) for name, policy in policies.items()]


def compare_rate_splits(seeds: list[int]) -> list[RateSplitResult]:
    """Compare token allocation with an equal static split; half of the requests reach one VM."""
    allocated = RateSplitResult("tokens of zone allocators", 0, 0)
    static = RateSplitResult("equal static split", 0, 0)
    for seed in seeds:
        _simulate_token_allocation(allocated, seed)
        _simulate_static_split(static, seed)
    return [static, allocated]


def compare_read_routing(seeds: list[int]) -> dict[str, float]:
    """Return the share of session reads that replicas serve, by endpoint selection policy."""
    return {
        "primary only": sum(_replica_read_share(PrimaryOnly, seed) for seed in seeds) / len(seeds),
        "nearest replica": sum(_replica_read_share(NearestReplica, seed) for seed in seeds)
        / len(seeds),
    }


def _simulate_queue_policy(
    name: str, policy: QueuePolicy, slots: int, seeds: list[int]
) -> QueuePolicyResult:
    worst_success, worst_p99_s, overloading_workspace_success = 1.0, 0.0, 1.0
    for seed in seeds:
        run = QueueSimulation(policy, slots, load=0.6, seed=seed)
        run.run()
        for number in range(1, WORKSPACE_COUNT):
            workspace = f"w{number}"
            worst_success = min(worst_success, run.success(workspace))
            worst_p99_s = max(worst_p99_s, percentile(run.latencies_s.get(workspace, []), 0.99))
        overloading_workspace_success = min(overloading_workspace_success, run.success("w0"))
    return QueuePolicyResult(name, worst_success, worst_p99_s, overloading_workspace_success)


WORKSPACE_RATE_PER_S = 40.0
WORKSPACE_BURST_REQUESTS = 40.0
LOAD_FRACTION = 0.7
HOT_VM_FRACTION = 0.5


def _arrivals(seed: int, vms: list[str]) -> list[tuple[float, str]]:
    """Return the time and VM of each arrival; half of the requests arrive at the first VM."""
    randomness = random.Random(seed)
    now, arrivals = 0.0, []
    while now < SIMULATED_S:
        now += randomness.expovariate(WORKSPACE_RATE_PER_S * LOAD_FRACTION)
        is_hot = randomness.random() < HOT_VM_FRACTION
        arrivals.append((now, vms[0] if is_hot else randomness.choice(vms[1:])))
    return arrivals


def _simulate_token_allocation(result: RateSplitResult, seed: int) -> None:
    """Run the real controllers, whose allocators grant tokens by demand."""
    simulation = Simulation(seed, voters=3, diskless=10)
    simulation.run(2.0)
    simulation.add_endpoints()
    simulation.set_up_workspace(WORKSPACE_RATE_PER_S, WORKSPACE_BURST_REQUESTS)
    simulation.run(6.0)
    started = simulation.clock.now()
    requests = []
    for arrives_at, name in _arrivals(seed, [vm for vm in simulation.vms if vm.startswith("o")]):
        simulation.run(max(0.0, started + arrives_at - simulation.clock.now()))
        requests.append(simulation.send(simulation.vms[name], StatementKind.READ))
    simulation.run(3.0)
    result.sent += len(requests)
    result.refused += sum(1 for request in requests if _is_rate_limited(request))


def _is_rate_limited(request: Request) -> bool:
    refusal = request.outcome.refusal if request.outcome else None
    return refusal is not None and refusal.code is ErrorCode.RATE_LIMITED


def _simulate_static_split(result: RateSplitResult, seed: int) -> None:
    """Give each of ten VMs a fixed token bucket with a tenth of the rate and burst."""
    names = [f"o{number}" for number in range(1, 11)]
    tokens = {name: WORKSPACE_BURST_REQUESTS / len(names) for name in names}
    refilled_at = dict.fromkeys(names, 0.0)
    for arrives_at, name in _arrivals(seed, names):
        refilled = tokens[name] + (arrives_at - refilled_at[name]) * WORKSPACE_RATE_PER_S / len(
            names
        )
        tokens[name] = min(WORKSPACE_BURST_REQUESTS / len(names), refilled)
        refilled_at[name] = arrives_at
        result.sent += 1
        if tokens[name] >= 1.0:
            tokens[name] -= 1.0
        else:
            result.refused += 1


def _replica_read_share(selector_class: type, seed: int) -> float:
    """Read in sessions, half of which have just written; return the share that replicas served."""
    simulation = Simulation(seed, voters=3, diskless=2, selector_factory=selector_class)
    simulation.run(2.0)
    simulation.add_endpoints()
    simulation.set_up_workspace()
    simulation.run(6.0)
    randomness = random.Random(seed)
    by_replica = []
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
            by_replica.append(read.endpoint != _primary(simulation))
    return sum(by_replica) / len(by_replica) if by_replica else 0.0


def _primary(simulation: Simulation) -> str | None:
    leader = simulation.leader()
    return leader.board.configuration.groups[GROUP].primary if leader else None
