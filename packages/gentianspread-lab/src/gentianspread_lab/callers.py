"""Callers that roam between VMs, with sessions, transactions and request ids."""

from __future__ import annotations

import random
import time
import uuid
from typing import Any

import gevent
from gentianspread_server.connections import RequestNotSentError, ResponseLostError

from .balancer import Balancer
from .client import CallerLink, HTTPAnswer
from .journal import Journal

TABLE = "CREATE TABLE IF NOT EXISTS jobs (value TEXT, session TEXT)"
INSERT = "INSERT INTO jobs VALUES (?, ?)"
OWN_JOBS = "SELECT ?, value FROM jobs WHERE session = ?"
COUNT_JOBS = "SELECT ?, count(*) FROM jobs"
ALL_JOBS = "SELECT value FROM jobs"
DEADLINE_MS = 3000
AGED_MS = 2000
SAME_ID_TRIES = 6
SAME_ID_PAUSE_S = 0.1


class Mix:
    """How a caller divides its requests: parts of one."""

    __slots__ = ("write", "own_read", "aged_read", "transaction")

    def __init__(self, write: float, own_read: float, aged_read: float, transaction: float) -> None:
        self.write = write
        self.own_read = own_read
        self.aged_read = aged_read
        self.transaction = transaction


ORDINARY_MIX = Mix(write=0.2, own_read=0.35, aged_read=0.1, transaction=0.02)
READ_MIX = Mix(write=0.0, own_read=0.0, aged_read=0.0, transaction=0.0)


class Caller:
    """One caller of one workspace; requests a second are `rate`."""

    def __init__(
        self,
        workspace: str,
        key: str,
        groups: list[str],
        balancer: Balancer,
        journal: Journal,
        rate: float,
        seed: int,
        mix: Mix = ORDINARY_MIX,
    ) -> None:
        self.workspace = workspace
        self.key = key
        self.groups = groups
        self.balancer = balancer
        self.journal = journal
        self.rate = rate
        self.mix = mix
        self.session = uuid.uuid4().hex
        self.token: str | None = None
        self.acknowledged: dict[str, set[str]] = {group: set() for group in groups}
        self.running = True
        self._randomness = random.Random(seed)
        self._links: dict[str, CallerLink] = {}

    def run(self) -> None:
        """Send requests at random intervals until stopped."""
        while self.running:
            gevent.sleep(self._randomness.expovariate(self.rate))
            if self.running:
                self.step()

    def step(self) -> None:
        """Send one request, or one transaction."""
        group = self._randomness.choice(self.groups)
        draw = self._randomness.random()
        mix = self.mix
        if draw < mix.write:
            self.write(group)
        elif draw < mix.write + mix.own_read:
            self.read_own(group)
        elif draw < mix.write + mix.own_read + mix.aged_read:
            self.read_any(group, AGED_MS)
        elif draw < mix.write + mix.own_read + mix.aged_read + mix.transaction:
            self.transact(group)
        else:
            self.read_any(group, None)

    def write(self, group: str) -> None:
        """Insert one value; half of the writes carry a request id and are resent if unknown."""
        value = uuid.uuid4().hex
        message = self._message("write", group, INSERT, [value, self.session])
        result = ""
        if self._randomness.random() < 0.5:
            message["request_id"] = uuid.uuid4().hex
            result = self._send_until_known(message)
        else:
            answer = self._send(message)
            result = _result_of(answer)
        self._note_write(value, group, result)

    def read_own(self, group: str) -> None:
        """Read the session's values and compare with what was acknowledged."""
        nonce = uuid.uuid4().hex
        expected = set(self.acknowledged[group])
        message = self._message("read", group, OWN_JOBS, [nonce, self.session])
        answer = self._send(message)
        if answer is None or answer.status != 200:
            return
        rows = answer.body["rows"]
        seen = {row[1] for row in rows}
        if expected:
            self.journal.session_reads += 1
        if not expected <= seen:
            missing = sorted(expected - seen)
            self.journal.stale_reads.append(f"{missing[0]} at {answer.body['endpoint']}")
        self._check_nonce(nonce, rows)

    def read_any(self, group: str, max_age_ms: float | None) -> None:
        """Read without a session, optionally accepting an age."""
        nonce = uuid.uuid4().hex
        message = self._message("read", group, COUNT_JOBS, [nonce])
        message.pop("token", None)
        if max_age_ms is not None:
            message["max_age_ms"] = max_age_ms
        answer = self._send(message)
        if answer is not None and answer.status == 200:
            self._check_nonce(nonce, answer.body["rows"])

    def transact(self, group: str) -> None:
        """Insert two values in one transaction over three VMs."""
        begin = self._send(self._message("begin", group))
        if begin is None or begin.status != 200:
            return
        values = [uuid.uuid4().hex, uuid.uuid4().hex]
        for value in values:
            message = self._message("write", group, INSERT, [value, self.session])
            message["transaction"] = begin.body["transaction"]
            answer = self._send(message)
            if answer is None or answer.status != 200:
                self._end_pair(values, group, "not run")
                return
        message = self._message("commit", group)
        message["transaction"] = begin.body["transaction"]
        self._end_pair(values, group, _result_of(self._send(message)))

    def stop(self) -> None:
        """Send nothing more."""
        self.running = False

    def send_once(self, message: dict[str, Any]) -> HTTPAnswer | None:
        """Send a message of the caller's own making."""
        return self._send(message)

    def _end_pair(self, values: list[str], group: str, result: str) -> None:
        self.journal.transaction_values.append(values)
        for value in values:
            self._note_write(value, group, result)

    def _note_write(self, value: str, group: str, result: str) -> None:
        self.journal.record_write(value, group, result)
        if result == "run":
            self.acknowledged[group].add(value)

    def _check_nonce(self, nonce: str, rows: list[list[Any]]) -> None:
        if not rows:
            return
        if rows[0][0] == nonce:
            self.journal.matching_answers += 1
        else:
            self.journal.mismatched_answers.append(rows[0][0])

    def _message(
        self, kind: str, group: str, statement: str = "", parameters: list[Any] | None = None
    ) -> dict[str, Any]:
        message: dict[str, Any] = {"kind": kind, "group": group, "deadline_ms": DEADLINE_MS}
        if statement:
            message["statement"] = statement
            message["parameters"] = parameters or []
        if self.token is not None:
            message["token"] = self.token
        return message

    def _send_until_known(self, message: dict[str, Any]) -> str:
        """Resend with the same request id, at another VM, until the outcome is known."""
        result = "unknown"
        was_unknown = False
        for _ in range(SAME_ID_TRIES):
            result = _result_of(self._send(message))
            if result == "run":
                return result
            was_unknown = was_unknown or result != "not run"
            if not was_unknown:
                return result
            gevent.sleep(SAME_ID_PAUSE_S)
        return "unknown"

    def _send(self, message: dict[str, Any]) -> HTTPAnswer | None:
        """Send at a VM that the balancer picks; return none if the connection broke."""
        name = self.balancer.pick()
        sent_at = time.monotonic()
        entry = self.journal.add_entry(
            self.workspace, message["kind"], name, sent_at, message["group"]
        )
        link = self._links.setdefault(name, CallerLink(self.balancer.addresses[name]))
        try:
            answer = link.post("/v1/request", message, self.key)
        except RequestNotSentError:
            self.balancer.report_dead(name)
            entry.result = "not run"
            entry.code = "not_connected"
            entry.answered_at = time.monotonic()
            return None
        except ResponseLostError:
            entry.answered_at = time.monotonic()
            return None
        entry.answered_at = time.monotonic()
        entry.status = answer.status
        entry.result = answer.body["result"]
        entry.code = answer.body.get("code", "")
        entry.message = answer.body.get("message", "")
        entry.endpoint = answer.body.get("endpoint", "")
        belongs_to_session = "token" in message or self.token is None
        if "token" in answer.body and belongs_to_session:
            self.token = answer.body["token"]
        return answer


def _result_of(answer: HTTPAnswer | None) -> str:
    """Return what is known of the running; a broken connection leaves it unknown."""
    return "unknown" if answer is None else str(answer.body["result"])
