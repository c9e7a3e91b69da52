"""Warm-up controller: which endpoints are cold, and the tokens for requests to them.

A token is spent by the VM that sends the request to the endpoint, for most requests its home VM, at
the moment at which it is sent. Tokens are asked for only when a request needs one: with less than
one token for each VM, a stock at every VM would use up the limit unspent.
"""

from __future__ import annotations

from typing import Any

from ...blackboard import Board, Topic
from ...blackboard.evacuations import ZoneEvacuation
from ...blackboard.outbox import EndpointProbe
from ...blackboard.registrations import Registration
from ...blackboard.requests import ExchangeStatus, StatementKind
from ...blackboard.sessions import SessionExchange, SessionReply, SessionRequest
from ...blackboard.timeline import EventKind
from ...blackboard.warmups import ColdState, EndpointTokenRequest, EndpointTokens
from ...errors import ErrorCode

MIN_EMPTY_S = 0.02  # bounds the token requests of a VM to 50 a second for each endpoint
MAX_EMPTY_S = 1.0  # an allocator that restarts, or a new one, is asked again within this time
NO_ALLOCATOR_DELAY_S = 0.3  # after an allocator did not grant or did not respond
REQUEST_TIMEOUT_S = 0.5  # after it, a request for tokens whose end was not posted counts as lost
MIN_LOST_S = 5.0  # how long an endpoint counts as cold after a lost connection without news of it
MAX_WAITING_PER_ENDPOINT = 64  # requests; more than the slots of an endpoint use in a second
ANNOUNCED = "announced"
EVACUATED = "evacuated"


class WarmupController:
    """Owns the warm-ups section, except for the buckets."""

    __slots__ = ("board", "gate")

    def __init__(self, board: Board, gate: WarmupGate) -> None:
        self.board = board
        self.gate = gate

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.CONFIGURATION_CHANGED: self.on_configuration,
            Topic.EXCHANGE_ENDED: self.on_exchange_ended,
            Topic.PROBE_ENDED: self.on_probe_ended,
            Topic.ENDPOINT_TOKENS_RECEIVED: self.gate.on_tokens,
            Topic.ENDPOINT_TOKENS_DUE: self.gate.on_due,
            Topic.WARMUP_CHECK_DUE: self.on_check_due,
            Topic.EVACUATION_PHASE_BEGAN: self.gate.on_evacuation_phase,
        }

    def on_configuration(self, _revision: int) -> None:
        """Update which endpoints are cold from announcements and evacuations."""
        configuration, warmups = self.board.configuration, self.board.warmups
        if not configuration.cold_groups and not warmups.states:
            return
        limited = {
            item.name: item
            for item in configuration.endpoints.values()
            if item.group in configuration.cold_groups
        }
        for name in [name for name in warmups.states if name not in limited]:
            del warmups.states[name]
            self.gate.release(name)
        for registration in limited.values():
            self._update_state(registration)

    def on_exchange_ended(self, request: SessionRequest) -> None:
        """Note what the end of an exchange says of its endpoint's warm-up.

        A lost or refused connection of this VM may mean that the endpoint started again. A home VM
        that had no token for a statement says when to try again.
        """
        exchange = request.exchange
        reply = exchange.reply if isinstance(exchange, SessionExchange) else None
        if not isinstance(reply, SessionReply):
            return
        if exchange.connection.home is None:
            if reply.connection_lost or reply.status is ExchangeStatus.NOT_SENT:
                self._on_connection_lost(exchange.endpoint)
        elif reply.cold_s is not None:
            self.gate.set_empty(exchange.endpoint, reply.cold_s)

    def on_probe_ended(self, probe: EndpointProbe) -> None:
        """Count an endpoint whose connections are refused as cold."""
        if not probe.alive and probe.unreachable_reason is not None:
            self._on_connection_lost(probe.endpoint)

    def on_check_due(self, endpoint: str) -> None:
        """Log that an endpoint is warm, and retry the requests that waited for a token."""
        state, now = self.board.warmups.states.get(endpoint), self.board.clock.now()
        if state is None or not state.is_reported:
            return
        if state.lost_until >= state.announced_until and not self.board.has_control_contact():
            state.lost_until = max(state.lost_until, now + MIN_LOST_S)
        if now < state.until():
            self.board.changes.post_at(state.until(), Topic.WARMUP_CHECK_DUE, endpoint)
        else:
            self._report(endpoint, state, "the time is over")

    def _update_state(self, registration: Registration) -> None:
        """Apply the newest announcement or end of an evacuation, if this VM has not yet."""
        configuration, now = self.board.configuration, self.board.clock.now()
        source, revision, duration_s = "", 0, 0.0
        warmup = configuration.warmups.get(registration.name)
        if warmup is not None:
            source, revision, duration_s = ANNOUNCED, warmup.revision, float(warmup.remaining_s)
        evacuation = configuration.evacuations.get(registration.zone)
        is_over = evacuation is not None and not evacuation.is_active
        if is_over and evacuation.revision > revision:
            cold_start_s = configuration.cold_groups[registration.group].cold_start_s
            source, revision, duration_s = EVACUATED, evacuation.revision, cold_start_s
        states = self.board.warmups.states
        state = states.get(registration.name)
        if state is None:
            if not source:
                return
            state = states[registration.name] = ColdState()
        is_new_announcement = source == ANNOUNCED and revision > state.revision
        if is_new_announcement or registration.incarnation > state.lost_incarnation:
            state.lost_until = 0.0
        state.lost_incarnation = registration.incarnation
        if revision > state.revision:
            state.source, state.revision = source, revision
            state.announced_until = now + duration_s
            self._report(registration.name, state, source)

    def _on_connection_lost(self, endpoint: str) -> None:
        """Count an endpoint as cold until a new announcement, or as long as it may be cold."""
        registration = self.board.configuration.endpoints.get(endpoint)
        declared = self.board.configuration.cold_groups.get(
            registration.group if registration is not None else ""
        )
        if registration is None or declared is None:
            return
        if registration.zone not in self.board.configuration.warmup_allocators:
            return  # a control leader of an older build names none, and there would be no token
        now = self.board.clock.now()
        state = self.board.warmups.states.setdefault(endpoint, ColdState())
        was_cold = now < state.until()
        state.lost_until = now + max(MIN_LOST_S, declared.cold_start_s)
        state.lost_incarnation = registration.incarnation
        if not was_cold:
            self._report(endpoint, state, "a connection was lost or refused")

    def _report(self, endpoint: str, state: ColdState, cause: str) -> None:
        """Log that an endpoint is cold, until when, or that it is warm, and serve what waited."""
        warmups, now = self.board.warmups, self.board.clock.now()
        is_cold, was_cold = now < state.until(), state.is_reported
        state.is_reported = is_cold
        if is_cold and not was_cold:
            self.board.changes.post_at(state.until(), Topic.WARMUP_CHECK_DUE, endpoint)
        if is_cold or was_cold:
            self.board.timeline.record(
                EventKind.ENDPOINT_COLD if is_cold else EventKind.ENDPOINT_WARM,
                endpoint,
                cause,
                remaining_s=round(max(0.0, state.until() - now), 3),
                revision=state.revision,
                passed=warmups.passed,
                refused=warmups.refused,
            )
        if not is_cold:
            self.gate.release(endpoint)


class WarmupGate:
    """A dispatch gate: an exchange to a cold endpoint needs one of the endpoint's tokens.

    A request without one waits while the allocator is asked, and is then sent, placed elsewhere or
    refused. Statements of open transactions go first, and wait for the next token.
    """

    __slots__ = ("board",)

    def __init__(self, board: Board) -> None:
        self.board = board

    def try_pass(self, request: SessionRequest, endpoint: str) -> bool:
        """Return whether an exchange may be sent now; otherwise take charge of the request."""
        now = self.board.clock.now()
        if request.kind is StatementKind.ROLLBACK or not self.board.warmups.is_cold(endpoint, now):
            return True
        tokens = self.board.warmups.tokens.setdefault(endpoint, EndpointTokens())
        if tokens.count > 0 and now < tokens.expires_at:
            tokens.count -= 1
            self.board.warmups.passed += 1
            return True
        if now < tokens.empty_until and not request.has_bound_transaction():
            self._give_back(request, endpoint)
        elif tokens.waiting_count() >= MAX_WAITING_PER_ENDPOINT:
            self._refuse(request, endpoint)
        else:
            self._wait(request, endpoint, tokens)
        return False

    def on_tokens(self, token_request: EndpointTokenRequest) -> None:
        """Let as many requests pass as there are tokens; give back the others but transactions."""
        tokens = self.board.warmups.tokens.get(token_request.endpoint)
        if tokens is None or tokens.requested_at != token_request.sent_at:
            return
        tokens.requested_at = None
        self._credit(tokens, token_request)
        self._remove_ended(tokens)
        count = tokens.count if self.board.clock.now() < tokens.expires_at else 0
        passing = [*tokens.in_transactions, *tokens.waiting][:count]
        is_empty = tokens.waiting_count() > count
        tokens.in_transactions = tokens.in_transactions[count:]
        others = [item for item in tokens.waiting if item not in passing]
        tokens.waiting = []
        self._place(passing)
        if not is_empty:
            return
        if token_request.granted >= token_request.wanted:
            tokens.waiting = others  # they arrived while the request was under way
            self._ask(token_request.endpoint, tokens)
            return
        answered = token_request.answered
        delay_s = token_request.next_token_delay if answered else NO_ALLOCATOR_DELAY_S
        self.set_empty(token_request.endpoint, delay_s)
        for request in others:
            self._give_back(request, token_request.endpoint)
        if tokens.in_transactions:
            self.board.changes.post_at(
                tokens.empty_until, Topic.ENDPOINT_TOKENS_DUE, token_request.endpoint
            )

    def on_due(self, endpoint: str) -> None:
        """Ask for tokens again for the requests that still wait."""
        tokens = self.board.warmups.tokens.get(endpoint)
        if tokens is None:
            return
        self._remove_ended(tokens)
        if tokens.waiting_count():
            self._ask(endpoint, tokens)

    def on_evacuation_phase(self, evacuation: ZoneEvacuation) -> None:
        """Refuse the waiting statements of open transactions at the endpoints of the zone.

        They are ended without a statement under way, which these would be after the bound.
        """
        for name, tokens in self.board.warmups.tokens.items():
            registration = self.board.configuration.endpoints.get(name)
            if registration is None or registration.zone != evacuation.zone:
                continue
            for request in filter(self._is_open, tokens.in_transactions):
                request.refuse(ErrorCode.TRANSACTION_UNKNOWN, "The transaction was rolled back.")
                self.board.changes.post(Topic.REQUEST_REFUSED, request)
            tokens.in_transactions = []

    def release(self, endpoint: str) -> None:
        """Have the requests that wait for a token of an endpoint placed again, as it is warm."""
        tokens = self.board.warmups.tokens.pop(endpoint, None)
        if tokens is not None:
            self._remove_ended(tokens)
            self._place([*tokens.in_transactions, *tokens.waiting])

    def set_empty(self, endpoint: str, delay_s: float) -> None:
        """Note that there is no token for an endpoint for some time, in seconds."""
        tokens = self.board.warmups.tokens.setdefault(endpoint, EndpointTokens())
        bounded_s = min(MAX_EMPTY_S, max(MIN_EMPTY_S, delay_s))
        tokens.empty_until = self.board.clock.now() + bounded_s

    def _place(self, requests: list[SessionRequest]) -> None:
        for request in requests:
            self.board.changes.post(Topic.REQUEST_RETRIED, request)

    def _credit(self, tokens: EndpointTokens, token_request: EndpointTokenRequest) -> None:
        now = self.board.clock.now()
        expires_at = token_request.sent_at + self.board.settings.token_ttl_s
        if token_request.granted and now < expires_at:
            held = tokens.count if now < tokens.expires_at else 0
            tokens.expires_at = min(tokens.expires_at, expires_at) if held else expires_at
            tokens.count = held + token_request.granted

    def _remove_ended(self, tokens: EndpointTokens) -> None:
        """Remove the requests that need no token any more; refuse those that must not run.

        A statement whose transaction or session ended while it waited would otherwise run outside
        the transaction.
        """
        for request in [*tokens.in_transactions, *tokens.waiting]:
            has_ended = request.session.closed or (
                request in tokens.in_transactions and not request.has_bound_transaction()
            )
            if has_ended and self._is_open(request):
                request.refuse(ErrorCode.TRANSACTION_UNKNOWN, "The transaction was rolled back.")
                self.board.changes.post(Topic.REQUEST_REFUSED, request)
        tokens.in_transactions = [item for item in tokens.in_transactions if self._is_open(item)]
        tokens.waiting = [item for item in tokens.waiting if self._is_open(item)]

    def _wait(self, request: SessionRequest, endpoint: str, tokens: EndpointTokens) -> None:
        if request.timer is None:
            request.timer = self.board.changes.post_at(
                request.wait_deadline, Topic.REQUEST_EXPIRED, request
            )
        is_bound = request.has_bound_transaction()
        (tokens.in_transactions if is_bound else tokens.waiting).append(request)
        if self.board.clock.now() < tokens.empty_until:
            self.board.changes.post_at(tokens.empty_until, Topic.ENDPOINT_TOKENS_DUE, endpoint)
        else:
            self._ask(endpoint, tokens)

    def _ask(self, endpoint: str, tokens: EndpointTokens) -> None:
        """Ask the endpoint's allocator for as many tokens as requests wait, once at a time."""
        now = self.board.clock.now()
        if tokens.requested_at is not None and now - tokens.requested_at < REQUEST_TIMEOUT_S:
            return
        registration = self.board.configuration.endpoints.get(endpoint)
        zone = registration.zone if registration is not None else ""
        allocator = self.board.configuration.warmup_allocators.get(zone)
        tokens.requested_at = now
        token_request = EndpointTokenRequest(
            endpoint,
            zone,
            allocator.member if allocator is not None else "",
            tokens.waiting_count(),
            now,
        )
        if allocator is None:
            self.board.changes.post(Topic.ENDPOINT_TOKENS_RECEIVED, token_request)
        elif allocator.member == self.board.settings.member:
            token_request.is_local = True
            self.board.changes.post(Topic.ENDPOINT_TOKENS_REQUESTED, token_request)
        else:
            self.board.changes.post(Topic.INTENT_POSTED, token_request)

    def _give_back(self, request: SessionRequest, endpoint: str) -> None:
        """Have a request placed elsewhere, or refuse it if that is for another VM to decide."""
        if request.relayed_statement is None:
            self.board.changes.post(Topic.REQUEST_RETRIED, request)
        else:
            self._refuse(request, endpoint)

    def _refuse(self, request: SessionRequest, endpoint: str) -> None:
        empty_until = self.board.warmups.tokens[endpoint].empty_until
        request.cold_s = max(0.0, empty_until - self.board.clock.now())
        self.board.warmups.refused += 1
        request.refuse(ErrorCode.OVERLOADED, f"{endpoint} is cold and takes no more at present.")
        self.board.changes.post(Topic.REQUEST_REFUSED, request)

    def _is_open(self, request: SessionRequest) -> bool:
        is_decided = request.outcome is not None or request.refusal is not None
        return not (is_decided or request.holds_connection)
