"""Completion controller: turns endpoints' replies to sessions into outcomes, or retries.

The answer to the caller depends on whether the statement was sent, whether it may have run, and
whether its transaction can still be committed.
"""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.requests import ExchangeStatus, Outcome, StatementKind
from ..blackboard.sessions import SessionExchange, SessionReply, SessionRequest
from ..blackboard.timeline import EventKind, request_label
from ..errors import ErrorCode, ExecutionResult, Refusal
from ..interfaces import RetryLimit
from ..positions import SessionToken
from .commits import CommitGuard, CommitState
from .keys import check_key_hash, declared_version, sent_decision

RETRY_BACKOFF_S = 0.01  # times the number of attempts; ten round trips to an endpoint
OVERLOAD_RETRY_BACKOFF_S = 0.04  # times the number of attempts; a queue of 24 empties in 0.2 s
MAX_RETRY_BACKOFF_S = 0.1  # a new primary is noticed within this time
MAX_ATTEMPTS = 12  # of one request; its objective usually ends the retries earlier

ENDPOINT_ERRORS = {
    "READONLY": ErrorCode.TERM_CHANGED,
    "LAGGING": ErrorCode.REPLICA_LAGGING,
    "BUSY": ErrorCode.OVERLOADED,
    "CONNLIMIT": ErrorCode.CONNECTION_LIMIT,
    # The session has prepared it, so it is the connection that lacks it.
    "NOSTMT": ErrorCode.NO_ENDPOINT,
    "ABORTED": ErrorCode.TRANSACTION_UNKNOWN,
    "MALFORMED": ErrorCode.BAD_REQUEST,
}
VM_ERRORS = {code.value: code for code in ErrorCode}
COMMITTING_KINDS = frozenset({StatementKind.WRITE, StatementKind.COMMIT})
PERMANENT_CODES = frozenset({ErrorCode.BAD_REQUEST, ErrorCode.KEY_REFUSED})


class CompletionController:
    """Owns the `outcome` field of sessions' requests, and the withheld commits."""

    __slots__ = ("board", "retries", "guard")

    def __init__(self, board: Board, retries: RetryLimit) -> None:
        self.board = board
        self.retries = retries
        self.guard = CommitGuard(board)

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.REQUEST_PERMITTED: self.on_permitted,
            Topic.REQUEST_NEEDS_NO_ENDPOINT: self.on_local,
            Topic.REQUEST_REFUSED: self.on_refused,
            Topic.EXCHANGE_ENDED: self.on_exchange_ended,
            Topic.CONFIGURATION_CHANGED: self.on_configuration,
            Topic.CONFIGURATION_CONFIRMED: self.on_configuration,
            Topic.COMMIT_EXPIRED: self.on_commit_expired,
        }

    def on_permitted(self, request: SessionRequest) -> None:
        """Answer a begin locally: it is sent to an endpoint with the first statement."""
        if request.kind is StatementKind.BEGIN:
            self.on_local(request)

    def on_local(self, request: SessionRequest) -> None:
        """Answer a request that needs no endpoint."""
        self._succeed(request, [], None)

    def on_refused(self, request: SessionRequest) -> None:
        """Answer the caller with the request's refusal."""
        if request.refusal is not None:
            self._refuse(request, request.refusal)

    def on_exchange_ended(self, request: SessionRequest) -> None:
        """Complete or retry the request, depending on the endpoint's reply or the lack of one."""
        exchange = request.exchange
        reply = exchange.reply if exchange else None
        if not isinstance(reply, SessionReply) or request.outcome is not None:
            return
        self.retries.count(request)
        if request.relayed_statement is not None:
            self._finish_relayed(request, reply)
        elif request.kind is StatementKind.ROLLBACK:
            self._succeed(request, [], None)
        elif reply.status is ExchangeStatus.OK and self.guard.concerns(request):
            self._finish_commit(request, reply)
        elif reply.status is ExchangeStatus.OK:
            self._succeed(request, reply.rows, reply)
        elif request.session.transaction is not None and not exchange.opens_transaction:
            self._refuse_in_transaction(request, reply)
        elif self._has_not_run(reply):
            self._retry_or_refuse(request, self._not_run_refusal(request, reply))
        elif exchange.opens_transaction and reply.status is ExchangeStatus.LOST:
            self._retry_or_refuse(request, self._rollback_refusal(reply))
        elif request.is_standalone_read():
            self._retry_or_refuse(request, self._failed_refusal(reply))
        elif reply.status is ExchangeStatus.LOST:
            self._refuse(request, self._unknown_refusal(reply))
        else:
            self._refuse(request, self._failed_refusal(reply))

    def on_configuration(self, _entry: Any) -> None:
        """Answer the withheld commits whose outcome is known now."""
        for group, requests in list(self.board.groups.withheld.items()):
            del self.board.groups.withheld[group]
            for request in requests:
                if request.outcome is None:
                    self._finish_commit(request, request.exchange.reply)

    def on_commit_expired(self, request: SessionRequest) -> None:
        """Answer a withheld commit at its deadline."""
        if request.outcome is None:
            message = "A promotion was under way, or no quorum confirmed that there was none."
            self._refuse_commit(request, message)

    def _finish_commit(self, request: SessionRequest, reply: SessionReply) -> None:
        """Answer a commit that the endpoint confirmed, or withhold the answer."""
        state = self.guard.state_of(request)
        if state is CommitState.KEPT:
            passed, now = request.exchange.position_before, self.board.clock.now()
            self.board.handed_on.add(request.group, reply.position, passed, now)
            self._succeed(request, reply.rows, reply)
        elif state is CommitState.DOUBTFUL:
            self._refuse_commit(
                request, "Another endpoint was promoted, which may lack the commit."
            )
        else:
            self._withhold(request)

    def _withhold(self, request: SessionRequest) -> None:
        waiting = self.board.groups.withheld.setdefault(request.group, [])
        waiting.append(request)
        if request.is_withheld:
            return
        request.is_withheld = True
        self.board.groups.withheld_count += 1
        if request.timer is not None:
            request.timer.cancel()
        deadline = min(request.deadline, self.board.shutdown.ends_at)
        request.timer = self.board.changes.post_at(deadline, Topic.COMMIT_EXPIRED, request)
        self._log(EventKind.COMMIT_WITHHELD, request, self.guard.reason(request), "")

    def _refuse_commit(self, request: SessionRequest, message: str) -> None:
        self.board.groups.left_unknown_count += 1
        refusal = Refusal(ErrorCode.OUTCOME_UNKNOWN, message, ExecutionResult.UNKNOWN)
        self._refuse(request, refusal)

    def _finish_relayed(self, request: SessionRequest, reply: SessionReply) -> None:
        """Complete a request that another VM relayed; the sender decides whether to retry."""
        if reply.status is ExchangeStatus.OK:
            self._succeed(request, reply.rows, reply)
        elif self._has_not_run(reply):
            self._refuse(request, self._not_run_refusal(request, reply))
        else:
            self._refuse(request, self._unknown_refusal(reply))

    def _has_not_run(self, reply: SessionReply) -> bool:
        if not reply.was_sent:
            return True
        return reply.status is ExchangeStatus.REFUSED

    def _refuse_in_transaction(self, request: SessionRequest, reply: SessionReply) -> None:
        """Refuse a transaction's statement; no retry, as its connection is lost or has failed."""
        if reply.status in (ExchangeStatus.LOST, ExchangeStatus.NOT_SENT):
            is_unknown = request.kind is StatementKind.COMMIT and reply.was_sent
            refusal = self._unknown_refusal(reply) if is_unknown else self._rollback_refusal(reply)
        elif reply.status is ExchangeStatus.REFUSED:
            refusal = self._not_run_refusal(request, reply)
        else:
            refusal = self._failed_refusal(reply)
        self._refuse(request, refusal)

    def _not_run_refusal(self, request: SessionRequest, reply: SessionReply) -> Refusal:
        code = ENDPOINT_ERRORS.get(reply.code) or VM_ERRORS.get(reply.code, ErrorCode.NO_ENDPOINT)
        is_from_home = code is ErrorCode.KEY_REFUSED and request.relayed_statement is None
        if is_from_home and check_key_hash(self.board, request.key_hash or "") is None:
            # The home's configuration is newer, or older and the home of an older build.
            message = "The home VM does not accept the key, this VM does."
            return Refusal(ErrorCode.CONFIGURATION_NOT_FRESH, message)
        return Refusal(code, reply.message or "The endpoint could not be reached.")

    def _failed_refusal(self, reply: SessionReply) -> Refusal:
        if reply.status is ExchangeStatus.LOST:
            return Refusal(
                ErrorCode.DEADLINE_PASSED, "No answer came in time.", ExecutionResult.UNKNOWN
            )
        code = ErrorCode.DEADLINE_PASSED if reply.code == "TIMEOUT" else ErrorCode.STATEMENT_FAILED
        return Refusal(code, reply.message, ExecutionResult.UNKNOWN)

    def _unknown_refusal(self, reply: SessionReply) -> Refusal:
        return Refusal(
            ErrorCode.OUTCOME_UNKNOWN, reply.message or "No answer.", ExecutionResult.UNKNOWN
        )

    def _rollback_refusal(self, reply: SessionReply) -> Refusal:
        return Refusal(ErrorCode.TRANSACTION_UNKNOWN, "The connection was lost; nothing is kept.")

    def _retry_or_refuse(self, request: SessionRequest, refusal: Refusal) -> None:
        now = self.board.clock.now()
        base = OVERLOAD_RETRY_BACKOFF_S if refusal.code is ErrorCode.OVERLOADED else RETRY_BACKOFF_S
        if request.exchange.reply.cold_s is not None:
            base = 0.0  # another endpoint serves it now, or none does
        backoff = min(base * request.attempts, MAX_RETRY_BACKOFF_S)
        request.tried_endpoints.add(request.endpoint or "")
        if refusal.code in PERMANENT_CODES:
            self._refuse(request, refusal)
        elif self._may_retry(request, now + backoff, refusal.code):
            self._log(EventKind.REQUEST_RETRIED, request, refusal.code.value, refusal.message)
            self.board.changes.post_at(now + backoff, Topic.REQUEST_RETRIED, request)
        else:
            self._refuse(request, refusal)

    def _may_retry(self, request: SessionRequest, retried_at: float, code: ErrorCode) -> bool:
        in_time = retried_at < request.wait_deadline and request.attempts < MAX_ATTEMPTS
        return in_time and self.retries.allows(request, code)

    def _succeed(
        self, request: SessionRequest, rows: list[str], reply: SessionReply | None
    ) -> None:
        token = request.token
        writes = request.kind in (StatementKind.WRITE, StatementKind.COMMIT)
        if reply is not None and writes and reply.position is not None:
            token = token or SessionToken(request.workspace, {})
            token = token.with_position(request.group, reply.position)
        outcome = Outcome(ExecutionResult.RUN, rows, 0, token, None, None, request.endpoint)
        self._complete(request, outcome)
        if reply is not None and request.relayed_statement is None:
            self._log(EventKind.REQUEST_ANSWERED, request, "ok", "")

    def _refuse(self, request: SessionRequest, refusal: Refusal) -> None:
        if request.outcome is not None:
            return
        self._complete(request, Outcome.from_refusal(refusal))
        kind = EventKind.REQUEST_REFUSED
        if refusal.result is ExecutionResult.UNKNOWN:
            kind = EventKind.REQUEST_UNKNOWN
        self._log(kind, request, refusal.code.value, refusal.message)

    def _log(self, kind: EventKind, request: SessionRequest, cause: str, message: str) -> None:
        """Log a decision on a request with its inputs, and the configuration's age and revision."""
        exchange = request.exchange
        reply = exchange.reply if exchange else None
        home = exchange.connection.home if isinstance(exchange, SessionExchange) else None
        now = self.board.clock.now()
        position = request.min_position
        self.board.timeline.log_only(
            kind,
            request_label(request.request_id),
            cause,
            workspace=request.workspace,
            group=request.group,
            endpoint=request.endpoint or "",
            home=home.name if home else "",
            statement=request.kind.value,
            session=request.session.number,
            attempts=request.attempts,
            waited_ms=round((now - request.arrived_at) * 1000),
            configuration_age_ms=self._configuration_age_ms(now),
            revision=self.board.configuration.revision,
            min_position=f"{position.term}.{position.index}" if position else "",
            reply=reply.status.value if reply else "",
            message=message,
            **self._key_details(request),
            **self._observation_details(request, now),
            **self._commit_details(request, reply),
            **self._schedule_details(request, now),
        )

    def _commit_details(self, request: SessionRequest, reply: Any) -> dict[str, Any]:
        """Return where a commit stands in the log, and what this VM knows of a promotion."""
        group = self.board.configuration.groups.get(request.group)
        if request.kind not in COMMITTING_KINDS or reply is None or group is None:
            return {}
        return {
            "position": str(reply.position) if reply.position else "",
            "primary": group.primary or "",
            "fence_granted": group.granted_term,
            "fence_ended": group.term,
        }

    def _key_details(self, request: SessionRequest) -> dict[str, Any]:
        """Return the version by which the key's workspace was decided, here and at the sender."""
        sent = sent_decision(request)
        return {
            "declared_version": declared_version(self.board),
            "sender_version": sent.version if sent is not None else 0,
        }

    def _observation_details(self, request: SessionRequest, now: float) -> dict[str, Any]:
        """Return by which observation of the primary a replica was taken to be recent enough."""
        observation = request.observation
        if observation is None:
            return {}
        age_ms = round((now - observation.taken_at) * 1000)
        return {
            "observed_from": observation.source,
            "observed_by": observation.evidence.name.lower(),
            "observed_ms_ago": age_ms,
        }

    def _schedule_details(self, request: SessionRequest, now: float) -> dict[str, Any]:
        """Return what decided the request's turn, if requests are scheduled by priority."""
        if not self.board.settings.schedules_by_priority:
            return {}
        exchange = request.exchange
        sent_at = exchange.sent_at if exchange is not None else now
        return {
            "priority": str(request.route.priority),
            "zone": self.board.settings.zone,
            "relayed": request.relayed_statement is not None,
            "queued_ms": round((sent_at - request.arrived_at) * 1000),
            "time_left_ms": round((request.wait_deadline - now) * 1000),
        }

    def _configuration_age_ms(self, now: float) -> int:
        confirmed_at = self.board.configuration.confirmed_at
        return round((now - confirmed_at) * 1000) if confirmed_at > float("-inf") else -1

    def _complete(self, request: SessionRequest, outcome: Outcome) -> None:
        request.outcome = outcome
        if request.timer is not None:
            request.timer.cancel()
        self.board.changes.post(Topic.REQUEST_DONE, request)
