"""Counts the bytes of exchanges with other VMs, by purpose and peer."""

from __future__ import annotations


class ExchangeBytes:
    """Exchanges with one peer for one purpose, and their bytes, HTTP headers included."""

    __slots__ = ("exchanges", "sent", "received")

    def __init__(self) -> None:
        self.exchanges = 0
        self.sent = 0
        self.received = 0


class TrafficCounters:
    """Counters of the exchanges that this VM began, by path and by the peer's address."""

    __slots__ = ("by_path",)

    def __init__(self) -> None:
        self.by_path: dict[str, dict[str, ExchangeBytes]] = {}

    def count(self, path: str, address: str, sent: int, received: int) -> None:
        """Count one exchange."""
        counters = self.by_path.setdefault(path, {}).setdefault(address, ExchangeBytes())
        counters.exchanges += 1
        counters.sent += sent
        counters.received += received

    def totals(self) -> ExchangeBytes:
        """Return the sums over all paths and peers."""
        total = ExchangeBytes()
        for by_address in self.by_path.values():
            for counters in by_address.values():
                total.exchanges += counters.exchanges
                total.sent += counters.sent
                total.received += counters.received
        return total

    def by_purpose_and_zone(self, zones: dict[str, str]) -> dict[tuple[str, str], ExchangeBytes]:
        """Return the sums by path and the peers' zone; `zones` gives the zone by address."""
        sums: dict[tuple[str, str], ExchangeBytes] = {}
        for path, by_address in self.by_path.items():
            for address, counters in by_address.items():
                total = sums.setdefault((path, zones.get(address, "")), ExchangeBytes())
                total.exchanges += counters.exchanges
                total.sent += counters.sent
                total.received += counters.received
        return sums
