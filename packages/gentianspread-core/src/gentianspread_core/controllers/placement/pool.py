"""Connections of this VM to endpoints: acquires, releases, evicts and closes them."""

from __future__ import annotations

from ...blackboard import Board, Topic
from ...blackboard.connections import BackendConnection, ConnectionState
from ...blackboard.endpoints import Endpoint
from ...blackboard.homes import ServingVM
from ...blackboard.outbox import ConnectionClose
from ...blackboard.prepared import entry_bytes
from ...blackboard.sessions import SessionRequest

MAX_IDLE_VALUE_BYTES = 64 * 1024  # of a connection that is kept; values are below 1 KiB as a rule


class ConnectionPool:
    """Changes the connections section on behalf of the placement controller."""

    __slots__ = ("board", "_connection_count")

    def __init__(self, board: Board) -> None:
        self.board = board
        self._connection_count = 0

    def add_relayed(
        self, request: SessionRequest, endpoint: Endpoint, home: ServingVM
    ) -> BackendConnection:
        """Return an entry that stands for the home's connection for one exchange or transaction."""
        connection = self._new_connection(request, endpoint)
        connection.home = home
        self.board.connections.of(endpoint.name).append(connection)
        return connection

    def acquire(
        self, request: SessionRequest, endpoint: Endpoint
    ) -> tuple[BackendConnection, list[BackendConnection]]:
        """Return an idle or new connection for the workspace, and the idle ones evicted for it."""
        connections = self.board.connections.of(endpoint.name)
        own = [item for item in connections if item.home is None]
        idle = [item for item in connections if item.state is ConnectionState.IDLE]
        matching = [item for item in idle if item.workspace == request.workspace]
        if matching:
            return min(matching, key=lambda item: _setup_message_count(item, request)), []
        evicted: list[BackendConnection] = []
        at_connection_limit = self.board.clock.now() < endpoint.connection_limit_until
        if len(own) >= endpoint.capacity or at_connection_limit:
            oldest = min(idle, key=lambda item: item.last_used)
            self.remove(oldest)
            evicted.append(oldest)
        connection = self._new_connection(request, endpoint)
        connections.append(connection)
        return connection, evicted

    def release(self, connection: BackendConnection) -> None:
        """Return a connection to the pool, or remove it if it stands for a home's connection.

        It is closed if this VM is not a home of the endpoint, to leave the endpoint's connection
        slot to the homes. It is also closed if it keeps long session values: they would stay in
        memory after their sessions, here and at the endpoint.
        """
        if connection.home is not None:
            self.remove(connection)
        elif connection.state is not ConnectionState.CLOSED:
            connection.state = ConnectionState.IDLE
            if not self.is_home(connection) or _holds_long_values(connection):
                self.close(connection)

    def is_home(self, connection: BackendConnection) -> bool:
        """Return whether this VM is a home of the connection's endpoint, or no homes are known."""
        endpoint = self.board.endpoints.by_name.get(connection.endpoint)
        if endpoint is None:
            return False
        homes = self.board.homes.of_endpoint(endpoint.name, endpoint.zone, endpoint.slots)
        return not homes or any(vm.name == self.board.settings.member for vm in homes)

    def remove(self, connection: BackendConnection) -> None:
        """Remove a connection that the adapter has closed or will close."""
        connection.state = ConnectionState.CLOSED
        connections = self.board.connections.of(connection.endpoint)
        if connection in connections:
            connections.remove(connection)

    def close(self, connection: BackendConnection) -> None:
        """Remove a connection and have the adapter close it."""
        self.remove(connection)
        self.board.changes.post(Topic.INTENT_POSTED, ConnectionClose(connection.number))

    def _new_connection(self, request: SessionRequest, endpoint: Endpoint) -> BackendConnection:
        self._connection_count += 1
        return BackendConnection(
            self._connection_count,
            endpoint.name,
            endpoint.address,
            endpoint.group,
            request.workspace,
            self.board.clock.now(),
        )


def _holds_long_values(connection: BackendConnection) -> bool:
    size = sum(entry_bytes(name, value) for name, value in connection.values.items())
    return size > MAX_IDLE_VALUE_BYTES


def _setup_message_count(connection: BackendConnection, request: SessionRequest) -> int:
    """Return how many messages set a connection to the session's values."""
    required, current = request.session.values, connection.values
    missing = sum(1 for name, value in required.items() if current.get(name) != value)
    return missing + (len(required) + 1 if any(name not in required for name in current) else 0)
