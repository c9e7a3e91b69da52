"""Session controller: session values, prepared statements and transactions of callers.

Statements that only change the session are answered locally; all others become requests.
"""

from __future__ import annotations

from typing import Any

from ..blackboard import Board, Topic
from ..blackboard.declarations import Route
from ..blackboard.prepared import PreparedStatement, entry_bytes
from ..blackboard.requests import Outcome, StatementKind
from ..blackboard.sessions import (
    Session,
    SessionRequest,
    SessionState,
    SessionTransaction,
    StatementAnswer,
    StatementCall,
    Verb,
)
from ..errors import ErrorCode, ExecutionResult, Refusal
from .keys import check_key_hash

MAX_SESSION_VALUES = 64  # per session; bounds its memory
MAX_PREPARED_STATEMENTS = 256  # per session; bounds its memory
# Of the values and prepared statements of a session: four of the longest, or many short ones.
MAX_STATE_BYTES = 4 * 1024 * 1024 + 64 * 1024
MIN_IDLE_CHECK_INTERVAL_S = 0.1
DEFAULT_IDLE_TIMEOUT_S = 10.0  # until a declaration sets one
OPENING_TIMEOUT_S = 0.7  # leaves callers the time to try another VM

ENDING_VERBS = frozenset({Verb.COMMIT, Verb.ROLLBACK})
KIND_BY_VERB = {
    Verb.READ: StatementKind.READ,
    Verb.WRITE: StatementKind.WRITE,
    Verb.BEGIN: StatementKind.BEGIN,
    Verb.BEGIN_READ: StatementKind.BEGIN,
    Verb.COMMIT: StatementKind.COMMIT,
    Verb.ROLLBACK: StatementKind.ROLLBACK,
}


class SessionController:
    """Owns the sessions section, except for the `connection` of their transactions."""

    __slots__ = ("board", "_request_count")

    def __init__(self, board: Board) -> None:
        self.board = board
        self._request_count = 0

    def subscriptions(self) -> dict[Topic, Any]:
        """Return the handled topics."""
        return {
            Topic.SESSION_OPENED: self.on_opened,
            Topic.SESSION_OPENING_DUE: self.on_opening_due,
            Topic.FRESHNESS_REGAINED: self.on_fresh,
            Topic.SESSION_CLOSED: self.on_closed,
            Topic.STATEMENT_ARRIVED: self.on_statement,
            Topic.REQUEST_DONE: self.on_done,
            Topic.SESSION_CHECK_DUE: self.on_due,
            Topic.TRANSACTION_REVOKED: self.on_revoked,
        }

    def on_opened(self, session: Session) -> None:
        """Accept or refuse a session; while the VM starts, wait for a fresh configuration first."""
        now = self.board.clock.now()
        due = min(now + OPENING_TIMEOUT_S, self.board.startup_deadline())
        if not self._has_configuration() and now < due:
            self.board.sessions.opening[session.number] = session
            self.board.changes.post_at(due, Topic.SESSION_OPENING_DUE, session)
        else:
            self._decide_opening(session)

    def on_fresh(self, _entry: None) -> None:
        """Decide on the sessions that wait for a fresh configuration."""
        if self._has_configuration():
            for session in list(self.board.sessions.opening.values()):
                self._decide_opening(session)

    def on_opening_due(self, session: Session) -> None:
        """Decide on a session whose wait for a fresh configuration ends."""
        if session.number in self.board.sessions.opening:
            self._decide_opening(session)

    def on_closed(self, session: Session) -> None:
        """Remove a session and end its transaction."""
        session.closed = True
        self.board.sessions.by_number.pop(session.number, None)
        self.board.sessions.opening.pop(session.number, None)
        self._end_transaction(session)

    def on_statement(self, call: StatementCall) -> None:
        """Answer a statement from the session's own state, or turn it into a request."""
        call.session.call = call
        session, statement = call.session, call.statement
        if session.closed:
            self._refuse(call, ErrorCode.OVERLOADED, "The session has ended on this VM.")
        elif statement.verb is Verb.MALFORMED:
            self._refuse(call, ErrorCode.BAD_REQUEST, "The statement cannot be read.")
        elif session.state is SessionState.FAILED:
            self._answer_in_failed_transaction(call)
        elif statement.verb is Verb.SET:
            self._set(call)
        elif statement.verb is Verb.PREPARE:
            self._prepare(call)
        elif statement.verb is Verb.DEALLOCATE:
            self._deallocate(call)
        else:
            self._submit_request(call)

    def on_done(self, request: SessionRequest) -> None:
        """Apply a request's outcome to its session and answer the statement."""
        session, outcome = request.session, request.outcome
        if outcome is None or session.call is not request.call:
            return
        if outcome.refusal is None:
            self._apply_success(session, request, outcome)
        else:
            self._apply_refusal(session, request)
        self._answer(request.call, outcome.rows, outcome.refusal, self._signature(request))

    def on_due(self, session: Session) -> None:
        """Fail a transaction whose idle timeout has passed."""
        transaction = session.transaction
        if transaction is None or session.closed or session.state is not SessionState.OPEN:
            return
        idle_until = transaction.last_used + self._transaction_idle_timeout()
        if session.call is None and self.board.clock.now() >= idle_until:
            session.state = SessionState.FAILED
            self.board.changes.post(Topic.TRANSACTION_ENDED, transaction)
        else:
            self._schedule_idle_check(session)

    def on_revoked(self, session: Session) -> None:
        """Fail an open transaction that this VM ends; its next statement is told so.

        A statement under way goes on, and the transaction ends after it.
        """
        transaction = session.transaction
        if transaction is None or session.closed or session.state is not SessionState.OPEN:
            return
        if session.call is None:
            session.state = SessionState.FAILED
            transaction.is_revoked = True
            self.board.changes.post(Topic.TRANSACTION_ENDED, transaction)

    def _has_configuration(self) -> bool:
        return self.board.configuration.declaration is not None and self.board.is_fresh()

    def _decide_opening(self, session: Session) -> None:
        """Open or refuse a session, and wake the front end."""
        self.board.sessions.opening.pop(session.number, None)
        session.refusal = self._opening_refusal(session)
        session.is_decided = True
        if session.refusal is None:
            self.board.sessions.by_number[session.number] = session
        self.board.changes.post(Topic.SESSION_DECIDED, session)

    def _opening_refusal(self, session: Session) -> Refusal | None:
        declaration = self.board.configuration.declaration
        if declaration is None or not self.board.is_fresh():
            return Refusal(
                ErrorCode.CONFIGURATION_NOT_FRESH, "This VM has no recent configuration."
            )
        if not self.board.shutdown.accepts_new_work():
            return Refusal(ErrorCode.DRAINING, "This VM is stopping.")
        route = declaration.route_of(session.database)
        if route is None:
            return Refusal(ErrorCode.NO_DATABASE, f"There is no database {session.database}.")
        if route.is_open:
            return None
        refusal = check_key_hash(self.board, session.key_hash)
        if refusal is None:
            session.workspace = self.board.configuration.keys[session.key_hash].workspace
        return refusal

    def _set(self, call: StatementCall) -> None:
        values, statement = call.session.values, call.statement
        if len(values) >= MAX_SESSION_VALUES and statement.name not in values:
            self._refuse(call, ErrorCode.OVERLOADED, "The session holds too many values.")
            return
        replaced = values.get(statement.name)
        if not self._take_room(call, replaced):
            return
        values[statement.name] = statement.value
        self._answer(call, [], None)

    def _prepare(self, call: StatementCall) -> None:
        prepared, statement = call.session.prepared, call.statement
        if len(prepared) >= MAX_PREPARED_STATEMENTS and statement.name not in prepared:
            self._refuse(call, ErrorCode.OVERLOADED, "The session holds too many statements.")
            return
        replaced = prepared.get(statement.name)
        if not self._take_room(call, replaced.shape if replaced else None):
            return
        prepared[statement.name] = PreparedStatement(statement.writes, statement.value)
        self._answer(call, [], None)

    def _take_room(self, call: StatementCall, replaced: str | None) -> bool:
        """Count what a value or prepared statement adds; refuse the statement if it is too much."""
        session, statement = call.session, call.statement
        state_bytes = session.state_bytes + entry_bytes(statement.name, statement.value)
        if replaced is not None:
            state_bytes -= entry_bytes(statement.name, replaced)
        if state_bytes > MAX_STATE_BYTES and state_bytes > session.state_bytes:
            self._refuse(call, ErrorCode.OVERLOADED, "The session holds too much text.")
            return False
        session.state_bytes = state_bytes
        return True

    def _deallocate(self, call: StatementCall) -> None:
        name = call.statement.name
        removed = call.session.prepared.pop(name, None)
        if removed is None:
            self._refuse(call, ErrorCode.NO_STATEMENT, "No statement of this name is prepared.")
        else:
            call.session.state_bytes -= entry_bytes(name, removed.shape)
            self._answer(call, [], None)

    def _answer_in_failed_transaction(self, call: StatementCall) -> None:
        """Answer a statement in a failed transaction; only a commit or rollback is accepted."""
        session, verb = call.session, call.statement.verb
        if verb not in ENDING_VERBS and session.transaction.is_revoked:
            session.transaction.is_revoked = False
            self._refuse(call, ErrorCode.TRANSACTION_UNKNOWN, "The transaction was rolled back.")
            return
        if verb not in ENDING_VERBS:
            self._refuse(call, ErrorCode.BAD_REQUEST, "The transaction failed; end it first.")
            return
        self._end_transaction(session)
        if verb is Verb.COMMIT:
            self._refuse(call, ErrorCode.TRANSACTION_UNKNOWN, "The transaction was rolled back.")
        else:
            self._answer(call, [], None)

    def _submit_request(self, call: StatementCall) -> None:
        session, statement = call.session, call.statement
        is_begin = statement.verb in (Verb.BEGIN, Verb.BEGIN_READ)
        in_transaction = session.transaction is not None
        if is_begin == in_transaction and (is_begin or statement.verb in ENDING_VERBS):
            self._refuse(call, ErrorCode.BAD_REQUEST, "This does not fit the transaction's state.")
            return
        prepared = session.prepared.get(statement.name)
        if statement.verb is Verb.EXECUTE and prepared is None:
            self._refuse(call, ErrorCode.NO_STATEMENT, "No statement of this name is prepared.")
            return
        route = self._current_route(session)
        if route is None:
            self._refuse(call, ErrorCode.NO_DATABASE, "The database is no longer served.")
            return
        if session.transaction is not None:
            route = session.transaction.route
        request = self._new_request(call, route, prepared)
        request.permitted = in_transaction
        self.board.changes.post(Topic.REQUEST_ARRIVED, request)

    def _current_route(self, session: Session) -> Route | None:
        declaration = self.board.configuration.declaration
        return declaration.route_of(session.database) if declaration else None

    def _new_request(
        self, call: StatementCall, route: Route, prepared: PreparedStatement | None
    ) -> SessionRequest:
        verb = call.statement.verb
        if verb is Verb.EXECUTE and prepared is not None:
            kind = StatementKind.WRITE if prepared.writes else StatementKind.READ
        else:
            kind = KIND_BY_VERB[verb]
        self._request_count += 1
        request = SessionRequest(self._request_count, kind, call, route, route.statement_limit)
        request.prepared = prepared if verb is Verb.EXECUTE else None
        return request

    def _apply_success(self, session: Session, request: SessionRequest, outcome: Outcome) -> None:
        session.workspace = request.workspace
        session.token = outcome.token
        if request.kind is StatementKind.BEGIN:
            is_read_only = request.call.statement.verb is Verb.BEGIN_READ
            session.transaction = SessionTransaction(
                is_read_only, request.route, self.board.clock.now()
            )
            regions = self.board.configuration.workspace_regions
            session.transaction.workspace_regions = regions.get(request.workspace, frozenset())
            session.state = SessionState.OPEN
            self._schedule_idle_check(session)
        elif request.kind in (StatementKind.COMMIT, StatementKind.ROLLBACK):
            self._end_transaction(session)
        elif session.transaction is not None:
            session.transaction.last_used = self.board.clock.now()
            session.transaction.has_written |= request.kind is StatementKind.WRITE

    def _apply_refusal(self, session: Session, request: SessionRequest) -> None:
        """Fail the transaction of a refused statement; a refused commit or rollback ends it."""
        if session.transaction is None:
            return
        if request.kind in (StatementKind.COMMIT, StatementKind.ROLLBACK):
            self._end_transaction(session)
        else:
            session.state = SessionState.FAILED
            self.board.changes.post(Topic.TRANSACTION_ENDED, session.transaction)

    def _end_transaction(self, session: Session) -> None:
        if session.transaction is not None:
            self.board.changes.post(Topic.TRANSACTION_ENDED, session.transaction)
        session.transaction = None
        session.state = SessionState.IDLE

    def _transaction_idle_timeout(self) -> float:
        declaration = self.board.configuration.declaration
        return declaration.transaction_idle_timeout_s if declaration else DEFAULT_IDLE_TIMEOUT_S

    def _schedule_idle_check(self, session: Session) -> None:
        if session.transaction is None:
            return
        idle_until = session.transaction.last_used + self._transaction_idle_timeout()
        due = max(idle_until, self.board.clock.now() + MIN_IDLE_CHECK_INTERVAL_S)
        self.board.changes.post_at(due, Topic.SESSION_CHECK_DUE, session)

    def _signature(self, request: SessionRequest) -> str:
        reply = request.exchange.reply if request.exchange else None
        return getattr(reply, "signature", "") if reply else ""

    def _refuse(self, call: StatementCall, code: ErrorCode, message: str) -> None:
        self._answer(call, [], Refusal(code, message, ExecutionResult.NOT_RUN))

    def _answer(
        self, call: StatementCall, rows: list[str], refusal: Refusal | None, signature: str = ""
    ) -> None:
        call.session.call = None
        call.answer = StatementAnswer(rows, signature, refusal, call.session.state)
        self.board.changes.post(Topic.STATEMENT_ANSWERED, call)
