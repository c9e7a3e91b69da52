"""Connections to endpoints: idle ones for reuse, and those that transactions keep."""

from __future__ import annotations

import time

from .connections import Connection

CONNECT_LIMIT_S = 0.5
IDLE_CHECK_S = 2.0
IDLE_CLOSE_S = 30.0


class ConnectionPool:
    """Idle connections of one endpoint; the newest is used first."""

    __slots__ = ("address", "idle")

    def __init__(self, address: str) -> None:
        self.address = address
        self.idle: list[Connection] = []

    def take(self) -> Connection:
        """Return an idle connection that is open, or a new one that is not connected yet."""
        now = time.monotonic()
        while self.idle:
            connection = self.idle.pop()
            too_old = now - connection.last_used > IDLE_CLOSE_S
            if not too_old and connection.is_open():
                return connection
            connection.close()
        return Connection(self.address)

    def give_back(self, connection: Connection) -> None:
        """Keep a connection whose last exchange was whole."""
        connection.last_used = time.monotonic()
        self.idle.append(connection)

    def flush(self, before: float) -> None:
        """Close the idle connections that were last used before a time in seconds."""
        kept = [item for item in self.idle if item.last_used >= before]
        for connection in self.idle:
            if connection.last_used < before:
                connection.close()
        self.idle = kept


class ConnectionPools:
    """Pools by endpoint name for statements, watches and probes, and transactions' connections."""

    __slots__ = ("by_endpoint", "watches", "probes", "by_transaction")

    def __init__(self) -> None:
        self.by_endpoint: dict[str, ConnectionPool] = {}
        self.watches: dict[str, ConnectionPool] = {}
        self.probes: dict[str, ConnectionPool] = {}
        self.by_transaction: dict[str, Connection] = {}

    def pool(self, endpoint: str, address: str) -> ConnectionPool:
        """Return the endpoint's pool for statements."""
        return _pool_of(self.by_endpoint, endpoint, address)

    def watch_pool(self, endpoint: str, address: str) -> ConnectionPool:
        """Return the endpoint's pool for watches, which holds one connection."""
        return _pool_of(self.watches, endpoint, address)

    def probe_pool(self, endpoint: str, address: str) -> ConnectionPool:
        """Return the endpoint's pool for the failover controller's probes."""
        return _pool_of(self.probes, endpoint, address)

    def flush(self, endpoint: str, before: float) -> None:
        """Close the endpoint's idle connections that were last used before a time in seconds."""
        for pools in (self.by_endpoint, self.watches):
            if endpoint in pools:
                pools[endpoint].flush(before)

    def keep(self, transaction: str, connection: Connection) -> None:
        """Bind a connection to a transaction."""
        self.by_transaction[transaction] = connection

    def release(self, transaction: str, endpoint: str, close: bool) -> None:
        """Unbind a transaction's connection; close it or make it idle."""
        connection = self.by_transaction.pop(transaction, None)
        if connection is None:
            return
        pool = self.by_endpoint.get(endpoint)
        if close or pool is None or not connection.opened:
            connection.close()
        else:
            pool.give_back(connection)


def _pool_of(pools: dict[str, ConnectionPool], endpoint: str, address: str) -> ConnectionPool:
    """Return the endpoint's pool; one for an old address is closed."""
    pool = pools.get(endpoint)
    if pool is None or pool.address != address:
        if pool is not None:
            pool.flush(float("inf"))
        pool = ConnectionPool(address)
        pools[endpoint] = pool
    return pool
