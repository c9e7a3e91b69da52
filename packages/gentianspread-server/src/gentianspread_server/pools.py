"""Connection pools for endpoints, and the connections that are bound to open transactions."""

from __future__ import annotations

import time

from .connections import Connection

CONNECT_TIMEOUT_S = 0.5
IDLE_CHECK_AFTER_S = 2.0  # a connection that was idle for longer is checked before use
MAX_IDLE_S = 30.0


class ConnectionPool:
    """Idle connections to one endpoint; the most recently used one is taken first."""

    __slots__ = ("address", "idle")

    def __init__(self, address: str) -> None:
        self.address = address
        self.idle: list[Connection] = []

    def acquire(self) -> Connection:
        """Return an idle connection that is still open, or a new one that is not connected yet."""
        now = time.monotonic()
        while self.idle:
            connection = self.idle.pop()
            expired = now - connection.last_used > MAX_IDLE_S
            if not expired and connection.is_open():
                return connection
            connection.close()
        return Connection(self.address)

    def release(self, connection: Connection) -> None:
        """Return a connection whose last exchange completed to the pool."""
        connection.last_used = time.monotonic()
        self.idle.append(connection)

    def flush(self, before: float) -> None:
        """Close the idle connections that were last used before a monotonic time in seconds."""
        kept = [item for item in self.idle if item.last_used >= before]
        for connection in self.idle:
            if connection.last_used < before:
                connection.close()
        self.idle = kept


class ConnectionPools:
    """Connection pools by endpoint name, one set each for statements, watches and probes.

    Also holds the connections that are bound to open transactions, by transaction name.
    """

    __slots__ = ("statement_pools", "watch_pools", "probe_pools", "transaction_connections")

    def __init__(self) -> None:
        self.statement_pools: dict[str, ConnectionPool] = {}
        self.watch_pools: dict[str, ConnectionPool] = {}
        self.probe_pools: dict[str, ConnectionPool] = {}
        self.transaction_connections: dict[str, Connection] = {}

    def statement_pool(self, endpoint: str, address: str) -> ConnectionPool:
        """Return the endpoint's pool for statements."""
        return _pool_for(self.statement_pools, endpoint, address)

    def watch_pool(self, endpoint: str, address: str) -> ConnectionPool:
        """Return the endpoint's pool for watches."""
        return _pool_for(self.watch_pools, endpoint, address)

    def probe_pool(self, endpoint: str, address: str) -> ConnectionPool:
        """Return the endpoint's pool for the failover controller's probes."""
        return _pool_for(self.probe_pools, endpoint, address)

    def flush(self, endpoint: str, before: float) -> None:
        """Close the endpoint's idle statement and watch connections last used before a time."""
        for pools in (self.statement_pools, self.watch_pools):
            if endpoint in pools:
                pools[endpoint].flush(before)

    def bind_transaction(self, transaction: str, connection: Connection) -> None:
        """Bind a connection to a transaction."""
        self.transaction_connections[transaction] = connection

    def release_transaction(self, transaction: str, endpoint: str, close: bool) -> None:
        """Unbind a transaction's connection; close it or return it to its endpoint's pool."""
        connection = self.transaction_connections.pop(transaction, None)
        if connection is None:
            return
        pool = self.statement_pools.get(endpoint)
        if close or pool is None or not connection.opened:
            connection.close()
        else:
            pool.release(connection)


def _pool_for(pools: dict[str, ConnectionPool], endpoint: str, address: str) -> ConnectionPool:
    """Return the endpoint's pool; a pool for a previous address is closed and replaced."""
    pool = pools.get(endpoint)
    if pool is None or pool.address != address:
        if pool is not None:
            pool.flush(float("inf"))
        pool = ConnectionPool(address)
        pools[endpoint] = pool
    return pool
