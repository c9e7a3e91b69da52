"""Limit controller: spends tokens of the workspace's rate, and asks the allocators for more.

Tokens are taken out of an allocator's bucket before this VM may spend them, and expire
`token_ttl_s` seconds after the ask was sent, so that none is counted twice.
"""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.configuration import Workspace
from ..blackboard.requests import Request
from ..blackboard.shares import METER_S, Bucket, HeldTokens, Suspicion, TokenAsk
from ..errors import ErrorCode
from ..interfaces import Randomness

RATE_WINDOW_S = 1.0
FIRST_SUSPICION_S = 0.3  # seconds; an allocator that restarts is back within a second
LONGEST_SUSPICION_S = 1.0  # seconds; one ask in it finds out whether the allocator is back
ASK_AGAIN_S = 0.05
FALLBACK_BURST_SHARE = 0.25  # of the burst; with the allocators' own it stays within the overage
FALLBACK_SHARE = 0.9  # of the rate that this VM used; the rest covers what a window overlaps
MOST_WAITING = 256
POOL = ""  # stands for the VM that stands in for the allocators, among the zones


class LimitController:
    """Owns the `permitted` column of requests and the held tokens."""

    __slots__ = ("board", "randomness")

    def __init__(self, board: Board, randomness: Randomness) -> None:
        self.board = board
        self.randomness = randomness

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.REQUEST_CHECKED: self.on_checked,
            Topic.TOKENS_ARRIVED: self.on_tokens,
            Topic.TOKENS_DUE: self.on_due,
        }

    def on_checked(self, request: Request) -> None:
        """Permit the request from held tokens, or have it wait for an allocator."""
        if request.permitted:
            self.board.changes.post(Topic.REQUEST_PERMITTED, request)
            return
        held = self._held(request.workspace)
        now = self.board.clock.now()
        if held.count > 0 and now < held.expires_at and not held.waiting:
            self._note_granted(held, now)
            self._permit(held, request)
            self._ask_ahead(held, request.workspace, now)
            return
        if not self._may_gain(held, request, now):
            self._refuse_limited(request)
            return
        if len(held.waiting) >= MOST_WAITING:
            self._refuse(request, ErrorCode.OVERLOADED, "Too many requests wait for tokens.")
            return
        held.waiting.append(request)
        if not held.asking:
            self._begin_asking(held, request.workspace)

    def on_tokens(self, ask: TokenAsk) -> None:
        """Spend the tokens that an allocator granted; ask the next zone for what lacks."""
        held = self._held(ask.workspace)
        now = self.board.clock.now()
        self._note_answer(held, ask, now)
        self._credit(held, ask, now)
        self._serve_waiting(held)
        if held.waiting and self._ask_next(held, ask.workspace):
            return
        held.asking = False
        self._refuse_waiting(held, ask.workspace)

    def on_due(self, workspace: str) -> None:
        """Ask again for requests that wait for a token."""
        held = self._held(workspace)
        if held.waiting and not held.asking:
            self._begin_asking(held, workspace)

    def _held(self, workspace: str) -> HeldTokens:
        held = self.board.shares.held.get(workspace)
        if held is None:
            held = HeldTokens()
            self.board.shares.held[workspace] = held
        return held

    def _note_answer(self, held: HeldTokens, ask: TokenAsk, now: float) -> None:
        """Learn whether the zone's allocator answers, and when it will have tokens."""
        if ask.is_pooled():
            held.answered = ask.answered
            held.empty_until[POOL] = now + ask.next_token
            return
        if not ask.answered:
            suspicion = self.board.shares.suspected.setdefault(ask.zone, Suspicion())
            pause = FIRST_SUSPICION_S * 2**suspicion.failures
            suspicion.failures += 1
            suspicion.until = now + min(LONGEST_SUSPICION_S, pause)
            return
        self.board.shares.suspected.pop(ask.zone, None)
        held.answered = True
        if ask.granted >= ask.wanted:
            held.zones_left.append(ask.zone)
        else:
            held.empty_until[ask.zone] = now + ask.next_token

    def _permit(self, held: HeldTokens, request: Request) -> None:
        held.count -= 1
        held.used += 1
        request.permitted = True
        self.board.changes.post(Topic.REQUEST_PERMITTED, request)

    def _credit(self, held: HeldTokens, ask: TokenAsk, now: float) -> None:
        expires_at = ask.sent_at + self.board.settings.token_ttl_s
        if ask.granted == 0 or now >= expires_at:
            return
        if now >= held.expires_at:
            held.count = 0
        held.expires_at = expires_at if held.count == 0 else min(held.expires_at, expires_at)
        held.count += ask.granted

    def _serve_waiting(self, held: HeldTokens) -> None:
        now = self.board.clock.now()
        while held.waiting and held.count > 0 and now < held.expires_at:
            request = held.waiting.popleft()
            if now < request.deadline:
                self._note_granted(held, now)
                self._permit(held, request)
            else:
                self._refuse(
                    request, ErrorCode.DEADLINE_PASSED, "The deadline passed in the queue."
                )

    def _note_granted(self, held: HeldTokens, now: float) -> None:
        """Remember what allocators let this VM use."""
        held.meter.note(now)
        if self.board.shares.granted_since is None:
            self.board.shares.granted_since = now

    def _begin_asking(self, held: HeldTokens, workspace: str) -> None:
        held.asking = True
        held.answered = False
        held.pool_asked = False
        held.zones_left = self._zones_by_nearness()
        if not self._ask_next(held, workspace):
            held.asking = False
            self._refuse_waiting(held, workspace)

    def _zones_by_nearness(self) -> list[str]:
        """Return the zones to ask: this VM's own last, since the list is taken from the end."""
        own = self.board.settings.zone
        others = [zone for zone in self.board.configuration.allocators if zone != own]
        others.sort(key=lambda zone: self.randomness.random())
        return [*others, own]

    def _ask_next(self, held: HeldTokens, workspace: str) -> bool:
        now = self.board.clock.now()
        while held.zones_left:
            zone = held.zones_left.pop()
            allocator = self.board.configuration.allocators.get(zone)
            if allocator is None or self._is_suspected(zone, now):
                continue
            if now < held.empty_until.get(zone, 0.0):
                held.answered = True
                continue
            wanted = max(1, len(held.waiting)) + self._ahead(held, now)
            ask = TokenAsk(workspace, zone, allocator.member, wanted, now)
            self._send(ask)
            return True
        return not held.answered and self._ask_pool(held, workspace, now)

    def _ask_pool(self, held: HeldTokens, workspace: str, now: float) -> bool:
        """Ask the VM of the own zone that stands in for the allocators, once a round."""
        if held.pool_asked:
            return False
        held.pool_asked = True
        zone = self.board.settings.zone
        vms = self.board.homes.of_workspace_rate(workspace, zone)
        vm = next((vm for vm in vms if not self.board.homes.is_suspected(vm.name, now)), None)
        if vm is None:
            return False
        wanted = max(1, len(held.waiting))
        self._send(TokenAsk(workspace, zone, vm.name, wanted, now, vm.address))
        return True

    def _is_suspected(self, zone: str, now: float) -> bool:
        """Tell whether a zone is not to be asked; one ask at a time tries it again."""
        suspicion = self.board.shares.suspected.get(zone)
        if suspicion is None:
            return False
        if now >= suspicion.until:
            suspicion.until = now + FIRST_SUSPICION_S
            return False
        return True

    def _may_gain(self, held: HeldTokens, request: Request, now: float) -> bool:
        """Tell whether any allocator, or this VM's own part, may have a token in time."""
        zones = self.board.configuration.allocators
        if not zones or request.transaction is not None:
            return True
        limit = request.arrived_at + request.token_patience()
        return any(held.empty_until.get(zone, 0.0) <= limit for zone in zones)

    def _send(self, ask: TokenAsk) -> None:
        if ask.member == self.board.settings.member:
            ask.local = True
            self.board.changes.post(Topic.TOKENS_ASKED, ask)
        else:
            self.board.changes.post(Topic.INTENT_POSTED, ask)

    def _ask_ahead(self, held: HeldTokens, workspace: str, now: float) -> None:
        if held.asking:
            return
        ahead = self._ahead(held, now)
        if ahead > 0 and held.count <= ahead // 4:
            self._begin_asking(held, workspace)

    def _ahead(self, held: HeldTokens, now: float) -> int:
        """Return the tokens that this VM is likely to use within half of the holding time."""
        elapsed = now - held.used_since
        if elapsed > RATE_WINDOW_S:
            held.used //= 2
            held.used_since = now - RATE_WINDOW_S / 2
            elapsed = RATE_WINDOW_S / 2
        rate = held.used / max(elapsed, RATE_WINDOW_S / 2)
        return int(rate * self.board.settings.token_ttl_s / 2)

    def _refuse_waiting(self, held: HeldTokens, workspace: str) -> None:
        """Refuse those who wait, but for those that may still get a token by asking again."""
        waiting = list(held.waiting)
        held.waiting.clear()
        now = self.board.clock.now()
        for request in waiting:
            if not held.answered and self._take_fallback(held, workspace, now):
                self._permit(held, request)
            elif self._may_wait(held, request, now):
                held.waiting.append(request)
            else:
                self._refuse_limited(request)
        if held.waiting:
            due = now + max(ASK_AGAIN_S, self._next_token(held, 1, now))
            self.board.changes.post_at(due, Topic.TOKENS_DUE, workspace)

    def _next_token(self, held: HeldTokens, number: int, now: float) -> float:
        """Return the seconds until an allocator, or this VM's own part, may have tokens."""
        if not held.answered and held.fallback is not None:
            return held.fallback.next_token(number)
        zones = [*self.board.configuration.allocators, POOL]
        if not held.pool_asked:
            zones.remove(POOL)
        return min((held.empty_until.get(zone, 0.0) - now for zone in zones), default=0.0)

    def _may_wait(self, held: HeldTokens, request: Request, now: float) -> bool:
        """Tell whether a token may come in time; a statement of a transaction waits on."""
        is_certain = not held.answered and held.fallback is not None
        wait = max(ASK_AGAIN_S, self._next_token(held, len(held.waiting) + 1, now))
        if now + wait >= request.deadline:
            return False
        if request.transaction is not None:
            return True
        return now + wait < request.arrived_at + request.token_patience(is_certain)

    def _take_fallback(self, held: HeldTokens, name: str, now: float) -> bool:
        """Take a token of this VM's part of the rate, for while no allocator answers.

        Only where the VMs that divide the rate are counted, and while the configuration is fresh.
        """
        workspace = self.board.configuration.workspaces.get(name)
        entries = self.board.members.entries
        if workspace is None or not entries or not self.board.is_fresh():
            return False
        if held.fallback is None or now - held.fallback.filled_at > METER_S:
            held.fallback = self._new_fallback(held, workspace, entries, now)
        if held.fallback.take(1, now) == 0:
            return False
        held.count += 1
        return True

    def _new_fallback(
        self, held: HeldTokens, workspace: Workspace, entries: int, now: float
    ) -> Bucket:
        """Return this VM's part: what it used of late, or an equal part where that is not known.

        All VMs together use at most rate + burst / METER_S over the time of a meter.
        """
        since = self.board.shares.granted_since
        if since is None or now - since < METER_S:
            rate = workspace.rate / entries
            capacity = max(1.0, FALLBACK_BURST_SHARE * workspace.burst / entries)
            return Bucket(rate, capacity, now - 1.0 / max(rate, 1.0), 0)
        most = workspace.rate + workspace.burst / METER_S
        rate = FALLBACK_SHARE * held.meter.rate(now) * workspace.rate / max(most, 1.0)
        bucket = Bucket(rate, max(1.0, rate), now, 0)
        reserve = self.board.settings.rate_tolerance.reserve(workspace.rate, workspace.burst)
        if self.randomness.random() < reserve / entries:
            bucket.tokens = 1.0
        return bucket

    def _refuse_limited(self, request: Request) -> None:
        self._refuse(
            request,
            ErrorCode.RATE_LIMITED,
            f"Workspace {request.workspace} has used its rate and burst.",
        )

    def _refuse(self, request: Request, code: ErrorCode, message: str) -> None:
        request.refuse(code, message)
        self.board.changes.post(Topic.REQUEST_REFUSED, request)
