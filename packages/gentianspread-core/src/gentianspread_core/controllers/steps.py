"""Plans the messages to an endpoint that run one request of a session on a given connection."""

from __future__ import annotations

from ..blackboard.connections import BackendConnection
from ..blackboard.requests import StatementKind
from ..blackboard.sessions import SessionRequest
from ..blackboard.steps import Step, StepKind


def plan_rounds(
    request: SessionRequest, connection: BackendConnection
) -> tuple[list[list[Step]], bool]:
    """Return the rounds of messages, and whether only the current primary can answer them.

    The messages of a round are pipelined. A begin ends its round, so that no statement runs outside
    the transaction if the begin is refused; so do the messages that set the session's values and
    prepare its statement, so that it runs with all of them or not at all.
    """
    if request.kind is StatementKind.ROLLBACK:
        return [[Step(StepKind.ROLLBACK)]], False
    setup = _session_steps(request, connection)
    statement = _statement_step(request)
    transaction = request.session.transaction
    if transaction is not None:
        if transaction.connection is not None:
            return [*_own_round(setup), [statement]], _is_refused_by_others(request)
        needs_primary = request.min_position is None
        begin = Step(StepKind.BEGIN if needs_primary else StepKind.BEGIN_READ)
        begin.position = request.min_position
        return [[*setup, begin], [statement]], needs_primary
    if request.kind is StatementKind.READ and request.min_position is None:
        return [[*setup, Step(StepKind.BEGIN)], [statement, Step(StepKind.ROLLBACK)]], True
    statement.position = request.min_position
    return [*_own_round(setup), [statement]], request.kind is StatementKind.WRITE


def _is_refused_by_others(request: SessionRequest) -> bool:
    """Return whether a former primary refuses a statement of a transaction that was begun before.

    It accepts the commit of a transaction that wrote nothing.
    """
    transaction = request.session.transaction
    if transaction.is_read_only:
        return False
    return request.kind is not StatementKind.COMMIT or transaction.has_written


def _own_round(steps: list[Step]) -> list[list[Step]]:
    return [steps] if steps else []


def _session_steps(request: SessionRequest, connection: BackendConnection) -> list[Step]:
    """Return the steps that set the connection to the session's values and prepared statement.

    The connection's values are updated before these messages succeed; this is safe because a
    connection on which one of them fails is closed.
    """
    session_values = request.session.values
    steps: list[Step] = []
    if any(name not in session_values for name in connection.values):
        steps.append(Step(StepKind.RESET))
        connection.values.clear()
        connection.prepared.clear()
    for name, value in session_values.items():
        if connection.values.get(name) != value:
            steps.append(Step(StepKind.SET, name=name, value=value))
            connection.values[name] = value
    prepared = request.prepared
    if prepared is not None and prepared.shared_name() not in connection.prepared:
        name = prepared.shared_name()
        steps.append(
            Step(StepKind.PREPARE, name=name, value=prepared.shape, writes=prepared.writes)
        )
        connection.prepared.add(name)
    return steps


def _statement_step(request: SessionRequest) -> Step:
    statement = request.call.statement
    step = Step(StepKind.STATEMENT, statement.statement_id, statement.text)
    if request.prepared is not None:
        step.name = request.prepared.shared_name()
        step.value = statement.arguments
    return step
