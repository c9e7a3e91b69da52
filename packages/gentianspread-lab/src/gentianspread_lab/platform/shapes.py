"""Shapes of callers: how they use their sessions, until the VM that serves them closes these."""

from __future__ import annotations

import random
from typing import Protocol

from .sessions import CallerSession

MAX_TRANSACTION_STATEMENTS = 12  # set by the protocol
SESSION_S = 12.0  # about twice the grace period of a planned stop
TRANSACTION_IDLE_TIMEOUT_S = 3.0  # the fleet's limit
SLOW_DATABASE = "slow"
ITEM_COUNT = 50
MIN_SLOW_STATEMENT_MS = 200
MAX_SLOW_STATEMENT_MS = 1900  # the route of `SLOW_DATABASE` allows 2,000


class Shape(Protocol):
    """How a caller uses one session; `name` tells the shapes apart in the ledger."""

    name: str
    database: str

    def use(self, session: CallerSession, randomness: random.Random) -> None:
        """Use an open session to its end, or until it raises `SessionEndedError`."""


class SingleOperations:
    """Opens a session for one statement and closes it."""

    name = "single"
    database = "own"

    def use(self, session: CallerSession, randomness: random.Random) -> None:
        """Send one statement."""
        session.execute(_statement(randomness))
        session.close()


class MostlyIdle:
    """Keeps its session and sends a statement from time to time."""

    name = "idle"
    database = "latest"

    def use(self, session: CallerSession, randomness: random.Random) -> None:
        """Send a statement after each pause."""
        for _ in range(int(SESSION_S)):
            session.execute(_statement(randomness))
            session.pause(randomness.uniform(0.2, 1.8))
        session.close()


class Busy:
    """Sends the next statement as soon as the last one is answered."""

    name = "busy"
    database = "own"

    def use(self, session: CallerSession, randomness: random.Random) -> None:
        """Send statements with hardly a pause."""
        for _ in range(200):
            session.execute(_statement(randomness))
            session.pause(randomness.uniform(0.001, 0.02))
        session.close()


class Transactions:
    """Runs transactions of up to 12 statements with pauses; some are rolled back."""

    name = "transaction"
    database = "latest"

    def use(self, session: CallerSession, randomness: random.Random) -> None:
        """Run transactions one after another."""
        for _ in range(6):
            session.execute("BEGIN")
            count = randomness.randint(1, MAX_TRANSACTION_STATEMENTS)
            for _ in range(count):
                if session.state != "T":
                    break
                session.execute(_statement(randomness))
                session.pause(randomness.uniform(0.01, 0.7))
            _end_transaction(session, randomness, rollback_share=0.2)
            session.pause(randomness.uniform(0.0, 0.3))
        session.close()


class IdleTransactions:
    """Keeps transactions open with long pauses, a few of them over the idle timeout."""

    name = "idle transaction"
    database = "latest"

    def use(self, session: CallerSession, randomness: random.Random) -> None:
        """Run transactions with pauses of seconds."""
        for _ in range(3):
            session.execute("BEGIN")
            for _ in range(randomness.randint(2, 4)):
                if session.state != "T":
                    break
                session.execute(_statement(randomness))
                session.pause(randomness.uniform(0.5, 1.05 * TRANSACTION_IDLE_TIMEOUT_S))
            _end_transaction(session, randomness, rollback_share=0.1)
        session.close()


class SlowStatements:
    """Sends single statements that take the endpoint up to the route's timeout."""

    name = "slow"
    database = SLOW_DATABASE

    def use(self, session: CallerSession, randomness: random.Random) -> None:
        """Send slow statements with pauses."""
        for _ in range(8):
            session.execute(_slow_statement(randomness, MAX_SLOW_STATEMENT_MS))
            session.pause(randomness.uniform(0.2, 1.0))
        session.close()


class SlowTransactions:
    """Runs transactions that last about as long as the grace period, of slow statements."""

    name = "slow transaction"
    database = SLOW_DATABASE

    def use(self, session: CallerSession, randomness: random.Random) -> None:
        """Run transactions with hardly a pause."""
        for _ in range(2):
            session.execute("BEGIN")
            for _ in range(randomness.randint(6, MAX_TRANSACTION_STATEMENTS)):
                if session.state != "T":
                    break
                session.execute(_slow_statement(randomness, 900))
                session.pause(randomness.uniform(0.0, 0.2))
            _end_transaction(session, randomness, rollback_share=0.2)
        session.close()


class LastingTransaction:
    """Runs one transaction that outlasts the grace period, with a statement running at its end."""

    name = "lasting transaction"
    database = SLOW_DATABASE

    def use(self, session: CallerSession, randomness: random.Random) -> None:
        """Run the longest transaction that callers send, without pauses."""
        session.execute("BEGIN")
        for _ in range(MAX_TRANSACTION_STATEMENTS):
            if session.state != "T":
                break
            verb = randomness.choice(["READ {}", "WRITE {} data"])
            session.execute(verb.format(f"wait{randomness.randint(450, 600)}"))
        _end_transaction(session, randomness, rollback_share=0.0)
        session.close()


class PreparedStatements:
    """Uses session values and prepared statements, in and outside transactions."""

    name = "prepared"
    database = "own"

    def use(self, session: CallerSession, randomness: random.Random) -> None:
        """Set a value, prepare two statements and execute them."""
        session.execute(f"SET who {session.name}")
        session.execute("PREPARE r READ one")
        session.execute("PREPARE w WRITE two")
        for _ in range(20):
            in_transaction = randomness.random() < 0.4
            if in_transaction:
                session.execute("BEGIN")
            for _ in range(randomness.randint(1, 4)):
                if in_transaction and session.state != "T":
                    break
                item = randomness.randrange(ITEM_COUNT)
                session.execute(randomness.choice([f"EXECUTE r {item}", f"EXECUTE w {item} data"]))
                session.pause(randomness.uniform(0.01, 0.3))
            if in_transaction:
                _end_transaction(session, randomness, rollback_share=0.2)
        session.execute("DEALLOC r")
        session.close()


class Leaving:
    """Leaves within a transaction, half of the time with a statement outstanding."""

    name = "leaving"
    database = "latest"

    def use(self, session: CallerSession, randomness: random.Random) -> None:
        """Write in a transaction and leave it."""
        session.execute("BEGIN")
        session.execute(_statement(randomness))
        session.pause(randomness.uniform(0.05, 0.5))
        if randomness.random() < 0.5:
            session.send_and_leave(f"WRITE {randomness.randrange(ITEM_COUNT)} data")
        else:
            session.leave()


class BoundedReads:
    """Reads data that may be old, alone and in read-only transactions."""

    name = "bounded"
    database = "bounded"

    def use(self, session: CallerSession, randomness: random.Random) -> None:
        """Read with pauses."""
        for _ in range(20):
            in_transaction = randomness.random() < 0.3
            if in_transaction:
                session.execute("BEGIN READ")
            for _ in range(randomness.randint(1, 3)):
                if in_transaction and session.state != "T":
                    break
                session.execute(f"READ {randomness.randrange(ITEM_COUNT)}")
                session.pause(randomness.uniform(0.01, 0.4))
            if in_transaction:
                _end_transaction(session, randomness, rollback_share=0.2)
        session.close()


# All shapes but `LastingTransaction`, which is for callers of a VM that is about to stop.
ALL_SHAPES: list[Shape] = [
    SingleOperations(),
    MostlyIdle(),
    Busy(),
    Transactions(),
    IdleTransactions(),
    SlowStatements(),
    SlowTransactions(),
    PreparedStatements(),
    Leaving(),
    BoundedReads(),
]


def _statement(randomness: random.Random) -> str:
    item = randomness.randrange(ITEM_COUNT)
    return randomness.choice([f"READ {item}", f"WRITE {item} data"])


def _slow_statement(randomness: random.Random, max_ms: int) -> str:
    item = f"wait{randomness.randint(MIN_SLOW_STATEMENT_MS, max_ms)}"
    return randomness.choice([f"READ {item}", f"WRITE {item} data"])


def _end_transaction(
    session: CallerSession, randomness: random.Random, rollback_share: float
) -> None:
    is_rolled_back = session.state == "E" or randomness.random() < rollback_share
    session.execute("ROLLBACK" if is_rolled_back else "COMMIT")
