"""Routing controller: chooses an endpoint for each request, or queues the request fairly."""

from __future__ import annotations

from collections import deque
from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.endpoints import Endpoint
from ..blackboard.queues import WaitingQueue
from ..blackboard.requests import ExchangeStatus, Request, StatementKind
from ..blackboard.transactions import Transaction
from ..errors import ErrorCode, ExecutionResult
from ..interfaces import QueuePolicy, ReplicaSelector
from ..settings import PRESET_POLICIES
from .policies import FairQueue

MAX_QUEUE_LENGTH = 512  # requests


class RoutingController:
    """Owns the queues, `endpoint` and `holds_connection` of requests, and `in_use` of endpoints."""

    __slots__ = ("board", "replica_selector", "queue_policy", "_fair_queue")

    def __init__(
        self,
        board: Board,
        replica_selector: ReplicaSelector,
        queue_policy: QueuePolicy | None = None,
    ) -> None:
        self.board = board
        self.replica_selector = replica_selector
        self._fair_queue = FairQueue(
            PRESET_POLICIES[board.configuration.preset].max_queued_per_workspace
        )
        self.queue_policy: QueuePolicy = queue_policy or self._fair_queue

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.REQUEST_PERMITTED: self.on_permitted,
            Topic.REQUEST_RETRIED: self.on_permitted,
            Topic.REQUEST_EXPIRED: self.on_expired,
            Topic.REQUEST_CANCELLED: self.on_cancelled,
            Topic.EXCHANGE_ENDED: self.on_exchange_ended,
            Topic.TRANSACTION_ENDED: self.on_transaction_ended,
            Topic.ENDPOINT_CHANGED: self.on_endpoint_changed,
            Topic.CONFIGURATION_CHANGED: self.on_configuration,
        }

    def on_permitted(self, request: Request) -> None:
        """Route a request that may run now."""
        if request.outcome is not None:
            return
        if request.transaction is not None and not self._convert_to_resolve_commit(request):
            self._route_in_transaction(request)
            return
        endpoint = self._choose_endpoint(request)
        if endpoint is not None:
            self._assign(request, endpoint)
        else:
            self._enqueue(request)

    def on_expired(self, request: Request) -> None:
        """Refuse a request whose deadline passed while it was queued."""
        if request.outcome is None and request.refusal is None and not request.holds_connection:
            request.refuse(ErrorCode.DEADLINE_PASSED, self._expiry_message(request))
            self.board.changes.post(Topic.REQUEST_REFUSED, request)

    def on_cancelled(self, request: Request) -> None:
        """Release the endpoint of a request that dispatch refused."""
        if request.transaction is None:
            self._release(request)
        self.board.changes.post(Topic.REQUEST_REFUSED, request)

    def on_exchange_ended(self, request: Request) -> None:
        """Release the endpoint for the next request, unless a transaction keeps the connection."""
        if not request.holds_connection or request.transaction is not None:
            return
        reply = request.exchange.reply if request.exchange else None
        if request.kind is StatementKind.BEGIN and reply and reply.status is ExchangeStatus.OK:
            return
        self._release(request)

    def on_transaction_ended(self, transaction: Transaction) -> None:
        """Release the connection that a transaction kept."""
        endpoint = self.board.endpoints.by_name.get(transaction.endpoint)
        if endpoint is not None:
            endpoint.in_use -= 1
        self._decrement_running(self._write_queue(transaction.group), transaction.workspace)
        self._drain(transaction.group)

    def on_endpoint_changed(self, endpoint: Endpoint) -> None:
        """Retry the queued requests of the endpoint's group."""
        self._drain(endpoint.group)

    def on_configuration(self, revision: int) -> None:
        """Apply the preset's queue limit, and retry queued writes as there may be a new primary."""
        self._fair_queue.workspace_limit = PRESET_POLICIES[
            self.board.configuration.preset
        ].max_queued_per_workspace
        for group in list(self.board.queues.writes):
            self._drain(group)

    def _choose_endpoint(self, request: Request) -> Endpoint | None:
        now = self.board.clock.now()
        if request.is_read():
            candidates = self.board.endpoints.by_group.get(request.group, [])
            return self.replica_selector.choose(request, candidates, now)
        return self._available_primary(request.group)

    def _available_primary(self, group_name: str) -> Endpoint | None:
        group = self.board.configuration.groups.get(group_name)
        if group is None or group.primary is None or group.granted_term != group.term:
            return None
        endpoint = self.board.endpoints.by_name.get(group.primary)
        if endpoint is None or not endpoint.is_usable() or not endpoint.has_free_connection():
            return None
        return endpoint if self._has_majority(group_name) else None

    def _has_majority(self, group_name: str) -> bool:
        group = self.board.configuration.groups[group_name]
        members = self.board.endpoints.by_group.get(group_name, [])
        reachable = sum(1 for endpoint in members if not endpoint.suspected)
        return reachable >= group.majority()

    def _convert_to_resolve_commit(self, request: Request) -> bool:
        """Turn a commit whose transaction is gone into a `RESOLVE_COMMIT` by its request id."""
        is_gone = request.transaction not in self.board.transactions.by_name
        if request.kind is not StatementKind.COMMIT or request.request_id is None or not is_gone:
            return False
        request.kind = StatementKind.RESOLVE_COMMIT
        request.transaction = None
        request.may_have_run = True
        return True

    def _route_in_transaction(self, request: Request) -> None:
        transaction = self.board.transactions.by_name.get(request.transaction or "")
        if transaction is None or transaction.workspace != request.workspace:
            is_commit = request.kind is StatementKind.COMMIT
            result = ExecutionResult.UNKNOWN if is_commit else ExecutionResult.NOT_RUN
            request.refuse(
                ErrorCode.TRANSACTION_UNKNOWN, "This VM holds no such transaction.", result
            )
        elif transaction.busy:
            request.refuse(ErrorCode.BAD_REQUEST, "The transaction runs another statement.")
        else:
            request.endpoint = transaction.endpoint
            request.holds_connection = True
            self.board.changes.post(Topic.REQUEST_ROUTED, request)
            return
        self.board.changes.post(Topic.REQUEST_REFUSED, request)

    def _assign(self, request: Request, endpoint: Endpoint) -> None:
        queue = self._queue_for(request)
        queue.running[request.workspace] = queue.running.get(request.workspace, 0) + 1
        endpoint.in_use += 1
        request.endpoint = endpoint.name
        request.holds_connection = True
        self.board.changes.post(Topic.REQUEST_ROUTED, request)

    def _release(self, request: Request) -> None:
        request.holds_connection = False
        endpoint = self.board.endpoints.by_name.get(request.endpoint or "")
        if endpoint is not None:
            endpoint.in_use -= 1
        queue = self._queue_for(request)
        self._decrement_running(queue, request.workspace)
        if queue.length or self._write_queue(request.group).length:
            self._drain(request.group)

    def _decrement_running(self, queue: WaitingQueue, workspace: str) -> None:
        remaining = queue.running.get(workspace, 1) - 1
        if remaining > 0:
            queue.running[workspace] = remaining
        else:
            queue.running.pop(workspace, None)

    def _enqueue(self, request: Request) -> None:
        if request.timer is None:
            request.timer = self.board.changes.post_at(
                request.deadline, Topic.REQUEST_EXPIRED, request
            )
        rejected = self.queue_policy.push(self._queue_for(request), request)
        if rejected is not None:
            rejected.refuse(ErrorCode.OVERLOADED, f"Too many requests wait for {request.group}.")
            self.board.changes.post(Topic.REQUEST_REFUSED, rejected)

    def _expiry_message(self, request: Request) -> str:
        if not request.is_read() and self._group_lacks_majority(request.group):
            return f"Fewer than a majority of the endpoints of {request.group} are reachable."
        return f"No endpoint of {request.group} was free before the deadline."

    def _group_lacks_majority(self, group_name: str) -> bool:
        is_known = group_name in self.board.configuration.groups
        return not is_known or not self._has_majority(group_name)

    def _drain(self, group: str) -> None:
        for queue in (self._write_queue(group), self._read_queue(group)):
            while queue.length and self._dispatch_next(queue):
                pass

    def _dispatch_next(self, queue: WaitingQueue) -> bool:
        """Dispatch the next queued request; return false once no endpoint is free."""
        request = self.queue_policy.pop(queue)
        if request is None:
            return False
        if request.outcome is not None or request.refusal is not None:
            return True
        if self.board.clock.now() >= request.deadline:
            self.on_expired(request)
            return True
        endpoint = self._choose_endpoint(request)
        if endpoint is None:
            self._requeue(queue, request)
            return False
        self._assign(request, endpoint)
        return True

    def _requeue(self, queue: WaitingQueue, request: Request) -> None:
        key = request.workspace if self.queue_policy is self._fair_queue else ""
        waiting = queue.by_workspace.get(key)
        if waiting is None:
            waiting = deque()
            queue.by_workspace[key] = waiting
        waiting.appendleft(request)
        queue.length += 1

    def _queue_for(self, request: Request) -> WaitingQueue:
        if request.is_read():
            return self._read_queue(request.group)
        return self._write_queue(request.group)

    def _read_queue(self, group: str) -> WaitingQueue:
        return _get_or_create_queue(self.board.queues.reads, group)

    def _write_queue(self, group: str) -> WaitingQueue:
        return _get_or_create_queue(self.board.queues.writes, group)


def _get_or_create_queue(queues: dict[str, WaitingQueue], group: str) -> WaitingQueue:
    queue = queues.get(group)
    if queue is None:
        queue = WaitingQueue(MAX_QUEUE_LENGTH)
        queues[group] = queue
    return queue
