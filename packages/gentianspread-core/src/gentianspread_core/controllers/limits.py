"""Limit controller: spends tokens of a workspace's rate, and requests more from the allocators.

An allocator takes tokens out of its bucket before this VM may spend them. They expire `token_ttl_s`
seconds after the token request was sent, so that none is counted twice.

While no allocator answers, tokens come from a backup allocator, a serving VM of the own zone, and
if none of these answers either, from this VM's fallback bucket. A VM that hears from no control VM
asks the allocator of its own zone only: requests would wait for the timeouts of all zones.
"""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.configuration import Workspace
from ..blackboard.rate_limits import (
    METER_WINDOW_S,
    AllocatorBackoff,
    HeldTokens,
    TokenBucket,
    TokenRequest,
)
from ..blackboard.requests import Request
from ..errors import ErrorCode
from ..interfaces import Randomness

USAGE_WINDOW_S = 1.0
INITIAL_BACKOFF_S = 0.3  # an allocator that restarts is back within 1 s
MAX_BACKOFF_S = 1.0  # after each backoff one token request checks whether the allocator is back
MIN_RETRY_INTERVAL_S = 0.05
FALLBACK_BURST_FRACTION = 0.25  # with the allocators' bursts this stays within the overage
FALLBACK_RATE_FRACTION = 0.9  # of the rate used; the rest covers windows that overlap the switch
MAX_WAITING_PER_WORKSPACE = 256
BACKUP = ""  # key of the backup allocator in `HeldTokens.empty_until`, next to the zones


class LimitController:
    """Owns the `permitted` field of requests and the held tokens."""

    __slots__ = ("board", "randomness")

    def __init__(self, board: Board, randomness: Randomness) -> None:
        self.board = board
        self.randomness = randomness

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.REQUEST_AUTHENTICATED: self.on_authenticated,
            Topic.TOKENS_RECEIVED: self.on_tokens,
            Topic.TOKEN_RETRY_DUE: self.on_due,
        }

    def on_authenticated(self, request: Request) -> None:
        """Permit the request from held tokens, or queue it until an allocator grants more."""
        if request.permitted:
            self.board.changes.post(Topic.REQUEST_PERMITTED, request)
            return
        held = self._held_tokens(request.workspace)
        now = self.board.clock.now()
        if held.count > 0 and now < held.expires_at and not held.waiting:
            self._record_granted(held, now)
            self._permit(held, request)
            self._prefetch(held, request.workspace, now)
            return
        if not self._may_get_token(held, request, now):
            self._refuse_rate_limited(request)
            return
        if len(held.waiting) >= MAX_WAITING_PER_WORKSPACE:
            self._refuse(request, ErrorCode.OVERLOADED, "Too many requests wait for tokens.")
            return
        held.waiting.append(request)
        if not held.is_requesting:
            self._start_round(held, request.workspace)

    def on_tokens(self, token_request: TokenRequest) -> None:
        """Spend the granted tokens; request missing ones from the next zone."""
        held = self._held_tokens(token_request.workspace)
        now = self.board.clock.now()
        self._record_response(held, token_request, now)
        self._credit(held, token_request, now)
        self._permit_waiting(held)
        if held.waiting and self._request_from_next_zone(held, token_request.workspace):
            return
        held.is_requesting = False
        self._resolve_waiting(held, token_request.workspace)

    def on_due(self, workspace: str) -> None:
        """Start another round for requests that still wait for a token."""
        held = self._held_tokens(workspace)
        if held.waiting and not held.is_requesting:
            self._start_round(held, workspace)

    def _held_tokens(self, workspace: str) -> HeldTokens:
        held = self.board.rate_limits.held.get(workspace)
        if held is None:
            held = HeldTokens()
            self.board.rate_limits.held[workspace] = held
        return held

    def _record_response(self, held: HeldTokens, token_request: TokenRequest, now: float) -> None:
        """Record whether the allocator responded, and when it will have tokens."""
        is_backup = token_request.is_for_backup()
        key = token_request.member if is_backup else token_request.zone
        if not token_request.answered:
            backoff = self.board.rate_limits.suspected.setdefault(key, AllocatorBackoff())
            delay = INITIAL_BACKOFF_S * 2**backoff.failures
            backoff.failures += 1
            backoff.reached = token_request.reached
            backoff.until = now + min(MAX_BACKOFF_S, delay)
            return
        self.board.rate_limits.suspected.pop(key, None)
        held.answered = True
        if is_backup:
            held.empty_until[BACKUP] = now + token_request.next_token_delay
            return
        if token_request.granted >= token_request.wanted:
            held.remaining_zones.append(token_request.zone)
        else:
            held.empty_until[token_request.zone] = now + token_request.next_token_delay

    def _permit(self, held: HeldTokens, request: Request) -> None:
        held.count -= 1
        held.used += 1
        request.permitted = True
        self.board.changes.post(Topic.REQUEST_PERMITTED, request)

    def _credit(self, held: HeldTokens, token_request: TokenRequest, now: float) -> None:
        expires_at = token_request.sent_at + self.board.settings.token_ttl_s
        if token_request.granted == 0 or now >= expires_at:
            return
        if now >= held.expires_at:
            held.count = 0
        held.expires_at = expires_at if held.count == 0 else min(held.expires_at, expires_at)
        held.count += token_request.granted

    def _permit_waiting(self, held: HeldTokens) -> None:
        now = self.board.clock.now()
        while held.waiting and held.count > 0 and now < held.expires_at:
            request = held.waiting.popleft()
            if now < request.deadline:
                self._record_granted(held, now)
                self._permit(held, request)
            else:
                self._refuse(
                    request, ErrorCode.DEADLINE_PASSED, "The deadline passed in the queue."
                )

    def _record_granted(self, held: HeldTokens, now: float) -> None:
        """Count a token that an allocator granted and this VM used."""
        held.meter.add_use(now)
        if self.board.rate_limits.first_granted_at is None:
            self.board.rate_limits.first_granted_at = now

    def _start_round(self, held: HeldTokens, workspace: str) -> None:
        held.is_requesting = True
        held.answered = False
        held.remaining_backups = None
        held.remaining_zones = self._zone_stack()
        if not self._request_from_next_zone(held, workspace):
            held.is_requesting = False
            self._resolve_waiting(held, workspace)

    def _zone_stack(self) -> list[str]:
        """Return the zones as a stack: this VM's own is popped first, the others at random."""
        own = self.board.settings.zone
        others = [zone for zone in self.board.configuration.allocators if zone != own]
        others.sort(key=lambda zone: self.randomness.random())
        return [*others, own]

    def _request_from_next_zone(self, held: HeldTokens, workspace: str) -> bool:
        now = self.board.clock.now()
        while held.remaining_zones:
            zone = held.remaining_zones.pop()
            allocator = self.board.configuration.allocators.get(zone)
            if allocator is None or self._is_out_of_reach(zone) or self._is_suspected(zone, now):
                continue
            if now < held.empty_until.get(zone, 0.0):
                held.answered = True
                continue
            wanted = max(1, len(held.waiting)) + self._prefetch_count(held, now)
            token_request = TokenRequest(workspace, zone, allocator.member, wanted, now)
            self._send(token_request)
            return True
        if held.answered or self.board.has_control_contact():
            return False
        return self._request_from_backup(held, workspace, now)

    def _request_from_backup(self, held: HeldTokens, workspace: str, now: float) -> bool:
        """Request tokens from the next backup allocator of the own zone, each once per round."""
        zone = self.board.settings.zone
        if held.remaining_backups is None:
            vms = self.board.homes.backup_allocators(workspace, zone)
            held.remaining_backups = [
                vm
                for vm in vms
                if not (
                    self.board.homes.is_suspected(vm.name, now) or self._is_suspected(vm.name, now)
                )
            ]
        if not held.remaining_backups:
            return False
        vm = held.remaining_backups.pop(0)
        wanted = max(1, len(held.waiting))
        self._send(TokenRequest(workspace, zone, vm.name, wanted, now, vm.address))
        return True

    def _may_ask(self, zone: str, now: float) -> bool:
        """Return whether a zone's allocator is neither out of reach nor in its backoff."""
        backoff = self.board.rate_limits.suspected.get(zone)
        return not self._is_out_of_reach(zone) and (backoff is None or now >= backoff.until)

    def _is_out_of_reach(self, zone: str) -> bool:
        """Return whether this VM hears from no control VM, and the zone is not its own."""
        return zone != self.board.settings.zone and not self.board.has_control_contact()

    def _is_suspected(self, zone: str, now: float) -> bool:
        """Return whether to skip a zone; after the backoff, let one token request check it."""
        backoff = self.board.rate_limits.suspected.get(zone)
        if backoff is None:
            return False
        if now >= backoff.until:
            backoff.until = now + INITIAL_BACKOFF_S
            return False
        return True

    def _may_get_token(self, held: HeldTokens, request: Request, now: float) -> bool:
        """Return whether an allocator, or else the fallback, may have a token in time."""
        zones = self.board.configuration.allocators
        if not zones or request.transaction is not None:
            return True
        wait_deadline = request.arrived_at + request.token_timeout(self._waits_longer(now))
        return any(held.empty_until.get(zone, 0.0) <= wait_deadline for zone in zones)

    def _send(self, token_request: TokenRequest) -> None:
        if token_request.member == self.board.settings.member:
            token_request.local = True
            self.board.changes.post(Topic.TOKENS_REQUESTED, token_request)
        else:
            self.board.changes.post(Topic.INTENT_POSTED, token_request)

    def _prefetch(self, held: HeldTokens, workspace: str, now: float) -> None:
        if held.is_requesting:
            return
        prefetch_target = self._prefetch_count(held, now)
        if prefetch_target > 0 and held.count <= prefetch_target // 4:
            self._start_round(held, workspace)

    def _prefetch_count(self, held: HeldTokens, now: float) -> int:
        """Return the tokens that this VM is likely to use within half of `token_ttl_s`."""
        elapsed = now - held.used_since
        if elapsed > USAGE_WINDOW_S:
            held.used //= 2
            held.used_since = now - USAGE_WINDOW_S / 2
            elapsed = USAGE_WINDOW_S / 2
        rate = held.used / max(elapsed, USAGE_WINDOW_S / 2)
        return int(rate * self.board.settings.token_ttl_s / 2)

    def _resolve_waiting(self, held: HeldTokens, workspace: str) -> None:
        """Permit waiting requests from the fallback bucket, let them wait on, or refuse them."""
        waiting = list(held.waiting)
        held.waiting.clear()
        now = self.board.clock.now()
        for request in waiting:
            if not held.answered and self._take_fallback(held, workspace, now):
                self._permit(held, request)
            elif self._may_wait(held, request, now):
                held.waiting.append(request)
            else:
                self._refuse_rate_limited(request)
        if held.waiting:
            due = now + max(MIN_RETRY_INTERVAL_S, self._next_token_wait(held, 1, now))
            self.board.changes.post_at(due, Topic.TOKEN_RETRY_DUE, workspace)

    def _next_token_wait(self, held: HeldTokens, count: int, now: float) -> float:
        """Return the seconds until an allocator, or this VM's fallback bucket, may have tokens."""
        if not held.answered and held.local_bucket is not None:
            return held.local_bucket.next_token_delay(count)
        zones = [zone for zone in self.board.configuration.allocators if self._may_ask(zone, now)]
        if held.remaining_backups is not None:
            zones.append(BACKUP)
        return min((held.empty_until.get(zone, 0.0) - now for zone in zones), default=0.0)

    def _may_wait(self, held: HeldTokens, request: Request, now: float) -> bool:
        """Return whether a token may come in time; statements of a transaction keep waiting."""
        uses_fallback = not held.answered and held.local_bucket is not None
        is_guaranteed = uses_fallback or self._waits_longer(now)
        wait = max(MIN_RETRY_INTERVAL_S, self._next_token_wait(held, len(held.waiting) + 1, now))
        if now + wait >= request.deadline:
            return False
        if request.transaction is not None:
            return True
        return now + wait < request.arrived_at + request.token_timeout(is_guaranteed)

    def _waits_longer(self, now: float) -> bool:
        """Return whether buckets are filling for all callers.

        That is so while this VM starts, and while backup allocators grant: their buckets start
        small.
        """
        return now < self.board.startup_deadline() or not self.board.has_control_contact()

    def _take_fallback(self, held: HeldTokens, name: str, now: float) -> bool:
        """Take a token of this VM's share of the rate, which it may use while no allocator answers.

        Only if the number of VMs that divide the rate is known, and the configuration is fresh. An
        allocator out of reach may go on granting to others until no control VM is heard.
        """
        suspected = self.board.rate_limits.suspected.values()
        if self.board.has_control_contact() and not any(item.reached for item in suspected):
            return False
        workspace = self.board.configuration.workspaces.get(name)
        vm_count = self.board.members.entry_vm_count
        if workspace is None or not vm_count or not self.board.is_fresh():
            return False
        if held.local_bucket is None or now - held.local_bucket.refilled_at > METER_WINDOW_S:
            held.local_bucket = self._new_fallback_bucket(held, workspace, vm_count, now)
        if held.local_bucket.take(1, now) == 0:
            return False
        held.count += 1
        return True

    def _new_fallback_bucket(
        self, held: HeldTokens, workspace: Workspace, vm_count: int, now: float
    ) -> TokenBucket:
        """Return a bucket with the rate that this VM used lately, or an equal share if unknown.

        The rates measured by all VMs add up to at most rate + burst / METER_WINDOW_S; each is
        scaled down so that their sum stays within the rate.
        """
        since = self.board.rate_limits.first_granted_at
        if since is None or now - since < METER_WINDOW_S:
            rate = workspace.rate / vm_count
            capacity = max(1.0, FALLBACK_BURST_FRACTION * workspace.burst / vm_count)
            return TokenBucket(rate, capacity, now - 1.0 / max(rate, 1.0), 0)
        max_rate = workspace.rate + workspace.burst / METER_WINDOW_S
        rate = FALLBACK_RATE_FRACTION * held.meter.rate(now) * workspace.rate / max(max_rate, 1.0)
        bucket = TokenBucket(rate, max(1.0, rate), now, 0)
        reserve = self.board.settings.rate_tolerance.reserve(workspace.rate, workspace.burst)
        if self.randomness.random() < reserve / vm_count:
            bucket.tokens = 1.0
        return bucket

    def _refuse_rate_limited(self, request: Request) -> None:
        self._refuse(
            request,
            ErrorCode.RATE_LIMITED,
            f"Workspace {request.workspace} has used its rate and burst.",
        )

    def _refuse(self, request: Request, code: ErrorCode, message: str) -> None:
        request.refuse(code, message)
        self.board.changes.post(Topic.REQUEST_REFUSED, request)
