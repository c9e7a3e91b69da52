"""The messages that carry out one request of a session on a given connection."""

from __future__ import annotations

from ..blackboard.connections import BackendConnection
from ..blackboard.requests import StatementKind
from ..blackboard.sessions import SessionRequest, Step, StepKind


def steps_for(
    request: SessionRequest, connection: BackendConnection
) -> tuple[list[list[Step]], bool]:
    """Return the rounds of messages, and whether only a leading primary can answer them.

    A begin is a round of its own, so that no statement runs outside its transaction if the begin
    is refused.
    """
    if request.kind is StatementKind.ROLLBACK:
        return [[Step(StepKind.ROLLBACK)]], False
    first = _session_steps(request, connection)
    statement = _statement_step(request)
    transaction = request.session.transaction
    if transaction is not None:
        if transaction.connection is not None:
            return [[*first, statement]], not transaction.is_read_only
        is_plain = request.min_position is None
        begin = Step(StepKind.BEGIN if is_plain else StepKind.BEGIN_READ)
        begin.position = request.min_position
        return [[*first, begin], [statement]], is_plain
    if request.kind is StatementKind.READ and request.min_position is None:
        return [[*first, Step(StepKind.BEGIN)], [statement, Step(StepKind.ROLLBACK)]], True
    statement.position = request.min_position
    return [[*first, statement]], request.kind is StatementKind.WRITE


def _session_steps(request: SessionRequest, connection: BackendConnection) -> list[Step]:
    """Return what brings the connection to the session's values and prepared statement.

    The connection's values are noted here, as they are once these messages were answered well;
    a connection on which one fails is closed.
    """
    wanted = request.session.values
    steps: list[Step] = []
    if any(name not in wanted for name in connection.values):
        steps.append(Step(StepKind.RESET))
        connection.values.clear()
        connection.prepared.clear()
    for name, value in wanted.items():
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
    step = Step(StepKind.STATEMENT, statement.number, statement.text)
    if request.prepared is not None:
        step.name = request.prepared.shared_name()
        step.value = statement.arguments
    return step
