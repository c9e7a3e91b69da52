"""Callers that send each request to a random ready VM, with sessions and transactions."""

from __future__ import annotations

import random
import time
import uuid
from typing import Any

import gevent
from gentianspread_server.connections import RequestNotSentError, ResponseLostError

from .balancer import LoadBalancer
from .client import JsonResponse, VMConnection
from .journal import Journal

CREATE_TABLE = "CREATE TABLE IF NOT EXISTS jobs (value TEXT, session TEXT)"
INSERT_JOB = "INSERT INTO jobs VALUES (?, ?)"
SELECT_SESSION_JOBS = "SELECT ?, value FROM jobs WHERE session = ?"
SELECT_JOB_COUNT = "SELECT ?, count(*) FROM jobs"
SELECT_ALL_VALUES = "SELECT value FROM jobs"
DEADLINE_MS = 3000
MAX_AGE_MS = 2000
MAX_ATTEMPTS_PER_REQUEST_ID = 6
RETRY_INTERVAL_S = 0.1


class RequestMix:
    """The share of each kind of request, 0 to 1; the rest are reads without a session."""

    __slots__ = ("write", "session_read", "bounded_staleness_read", "transaction")

    def __init__(
        self, write: float, session_read: float, bounded_staleness_read: float, transaction: float
    ) -> None:
        self.write = write
        self.session_read = session_read
        self.bounded_staleness_read = bounded_staleness_read
        self.transaction = transaction


DEFAULT_MIX = RequestMix(write=0.2, session_read=0.35, bounded_staleness_read=0.1, transaction=0.02)
READ_ONLY_MIX = RequestMix(write=0.0, session_read=0.0, bounded_staleness_read=0.0, transaction=0.0)


class Caller:
    """One caller of one workspace that sends `rate` requests per second on average."""

    def __init__(
        self,
        workspace: str,
        key: str,
        groups: list[str],
        load_balancer: LoadBalancer,
        journal: Journal,
        rate: float,
        seed: int,
        mix: RequestMix = DEFAULT_MIX,
    ) -> None:
        self.workspace = workspace
        self.key = key
        self.groups = groups
        self.load_balancer = load_balancer
        self.journal = journal
        self.rate = rate
        self.mix = mix
        self.session = uuid.uuid4().hex
        self.token: str | None = None
        self.acknowledged: dict[str, set[str]] = {group: set() for group in groups}
        self.running = True
        self._randomness = random.Random(seed)
        self._connections: dict[str, VMConnection] = {}

    def run(self) -> None:
        """Send requests at exponentially distributed intervals until stopped."""
        while self.running:
            gevent.sleep(self._randomness.expovariate(self.rate))
            if self.running:
                self.send_next()

    def send_next(self) -> None:
        """Send one request, or one transaction."""
        group = self._randomness.choice(self.groups)
        draw = self._randomness.random()
        mix = self.mix
        if draw < mix.write:
            self.write(group)
        elif draw < mix.write + mix.session_read:
            self.read_in_session(group)
        elif draw < mix.write + mix.session_read + mix.bounded_staleness_read:
            self.read_without_session(group, MAX_AGE_MS)
        elif draw < mix.write + mix.session_read + mix.bounded_staleness_read + mix.transaction:
            self.run_transaction(group)
        else:
            self.read_without_session(group, None)

    def write(self, group: str) -> None:
        """Insert one value.

        Half of the writes carry a request id and are retried until their outcome is known.
        """
        value = uuid.uuid4().hex
        message = self._message("write", group, INSERT_JOB, [value, self.session])
        result = ""
        if self._randomness.random() < 0.5:
            message["request_id"] = uuid.uuid4().hex
            result = self._retry_until_known(message)
        else:
            response = self._send(message)
            result = _result_of(response)
        self._record_write(value, group, result)

    def read_in_session(self, group: str) -> None:
        """Read the session's values and check that every acknowledged one is among them."""
        nonce = uuid.uuid4().hex
        expected = set(self.acknowledged[group])
        message = self._message("read", group, SELECT_SESSION_JOBS, [nonce, self.session])
        response = self._send(message)
        if response is None or response.status != 200:
            return
        rows = response.body["rows"]
        seen = {row[1] for row in rows}
        if expected:
            self.journal.session_reads += 1
        if not expected <= seen:
            missing = sorted(expected - seen)
            self.journal.stale_reads.append(f"{missing[0]} at {response.body['endpoint']}")
        self._check_nonce(nonce, rows)

    def read_without_session(self, group: str, max_age_ms: float | None) -> None:
        """Read without a session, with or without a limit on the data's age."""
        nonce = uuid.uuid4().hex
        message = self._message("read", group, SELECT_JOB_COUNT, [nonce])
        message.pop("token", None)
        if max_age_ms is not None:
            message["max_age_ms"] = max_age_ms
        response = self._send(message)
        if response is not None and response.status == 200:
            self._check_nonce(nonce, response.body["rows"])

    def run_transaction(self, group: str) -> None:
        """Insert two values in one transaction whose requests may each reach another VM."""
        begin_response = self._send(self._message("begin", group))
        if begin_response is None or begin_response.status != 200:
            return
        values = [uuid.uuid4().hex, uuid.uuid4().hex]
        for value in values:
            message = self._message("write", group, INSERT_JOB, [value, self.session])
            message["transaction"] = begin_response.body["transaction"]
            response = self._send(message)
            if response is None or response.status != 200:
                self._record_pair(values, group, "not run")
                return
        message = self._message("commit", group)
        message["transaction"] = begin_response.body["transaction"]
        self._record_pair(values, group, _result_of(self._send(message)))

    def stop(self) -> None:
        """Stop sending requests."""
        self.running = False

    def send_once(self, message: dict[str, Any]) -> JsonResponse | None:
        """Send the given message once."""
        return self._send(message)

    def _record_pair(self, values: list[str], group: str, result: str) -> None:
        self.journal.transaction_values.append(values)
        for value in values:
            self._record_write(value, group, result)

    def _record_write(self, value: str, group: str, result: str) -> None:
        self.journal.record_write(value, group, result)
        if result == "run":
            self.acknowledged[group].add(value)

    def _check_nonce(self, nonce: str, rows: list[list[Any]]) -> None:
        """Check by the nonce in the first row that the response belongs to this request."""
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

    def _retry_until_known(self, message: dict[str, Any]) -> str:
        """Retry with the same request id, on any ready VM, until the outcome is known."""
        result = "unknown"
        may_have_run = False
        for _ in range(MAX_ATTEMPTS_PER_REQUEST_ID):
            result = _result_of(self._send(message))
            if result == "run":
                return result
            may_have_run = may_have_run or result != "not run"
            if not may_have_run:
                return result
            gevent.sleep(RETRY_INTERVAL_S)
        return "unknown"

    def _send(self, message: dict[str, Any]) -> JsonResponse | None:
        """Send to a VM that the load balancer picks; return None if the connection broke."""
        name = self.load_balancer.pick()
        sent_at = time.monotonic()
        entry = self.journal.add_entry(
            self.workspace, message["kind"], name, sent_at, message["group"]
        )
        connection = self._connections.setdefault(
            name, VMConnection(self.load_balancer.addresses[name])
        )
        try:
            response = connection.post("/v1/request", message, self.key)
        except RequestNotSentError:
            self.load_balancer.mark_unreachable(name)
            entry.result = "not run"
            entry.code = "not_connected"
            entry.answered_at = time.monotonic()
            return None
        except ResponseLostError:
            entry.answered_at = time.monotonic()
            return None
        entry.answered_at = time.monotonic()
        entry.status = response.status
        entry.result = response.body["result"]
        entry.code = response.body.get("code", "")
        entry.message = response.body.get("message", "")
        entry.endpoint = response.body.get("endpoint", "")
        belongs_to_session = "token" in message or self.token is None
        if "token" in response.body and belongs_to_session:
            self.token = response.body["token"]
        return response


def _result_of(response: JsonResponse | None) -> str:
    """Return whether the request ran; "unknown" if the connection broke."""
    return "unknown" if response is None else str(response.body["result"])
