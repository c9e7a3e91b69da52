"""HTTP client of the operators' routes."""

from __future__ import annotations

import http.client
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import orjson
from gentianspread_core.errors import ErrorCode, ExecutionResult, GentianspreadError, Refusal

ANSWER_LIMIT_S = 6.0
CHANGE_LIMIT_S = 12.0
PAUSE_S = 0.1
UNREACHABLE_REMEDY = "Check that a VM runs at one of the addresses in --vms."


class OperatorClient:
    """Talks to any VM that answers; a change keeps its id, so that it is carried out once."""

    __slots__ = ("key", "addresses")

    def __init__(self, key: str, addresses: list[str]) -> None:
        self.key = key
        self.addresses = addresses

    def change(
        self, kind: str, fields: dict[str, Any], change_id: str = "", expected: int | None = None
    ) -> dict[str, Any]:
        """Carry out a change and return its outcome, or raise its refusal."""
        message = {
            "kind": kind,
            "fields": fields,
            "change_id": change_id or uuid.uuid4().hex,
            "expected_revision": expected,
        }
        give_up_at = time.monotonic() + CHANGE_LIMIT_S
        refusal = self._unreachable()
        while time.monotonic() < give_up_at:
            for address in self.addresses:
                try:
                    outcome: dict[str, Any] = self._ask(address, "/operator/change", message)
                    return outcome
                except Refusal as error:
                    if error.code not in (ErrorCode.NO_LEADER, ErrorCode.DRAINING):
                        raise
                    refusal = error
                except OSError:
                    continue
            time.sleep(PAUSE_S)
        raise refusal

    def status(self, address: str = "") -> dict[str, Any]:
        """Return the view of one VM, by default that of the control leader."""
        if address:
            status: dict[str, Any] = self._ask(address, "/operator/status", None)
            return status
        first = self._first_status()
        for member in first["members"]:
            if member["name"] == first["leader"] and member["name"] != first["vm"]:
                try:
                    return self.status(member["address"])
                except (OSError, GentianspreadError):
                    return first
        return first

    def timeline(self, address: str) -> list[dict[str, Any]]:
        """Return the events of one VM."""
        events: list[dict[str, Any]] = self._ask(address, "/operator/timeline", None)
        return events

    def timelines(self) -> list[dict[str, Any]]:
        """Return the events of all VMs that answer, in the order of their stamps."""
        addresses = [member["address"] for member in self.status()["members"]]
        with ThreadPoolExecutor(max_workers=max(1, len(addresses))) as executor:
            lists = list(executor.map(self._timeline_or_none, addresses))
        events = [event for items in lists for event in items]
        events.sort(key=lambda event: (event["wall_ms"], event["counter"], event["member"]))
        return events

    def _timeline_or_none(self, address: str) -> list[dict[str, Any]]:
        try:
            return self.timeline(address)
        except (OSError, GentianspreadError):
            return []

    def _first_status(self) -> dict[str, Any]:
        for address in self.addresses:
            try:
                return self.status(address)
            except OSError:
                continue
        raise self._unreachable()

    def _unreachable(self) -> Refusal:
        return Refusal(
            ErrorCode.NO_LEADER,
            "No VM answered.",
            ExecutionResult.NOT_RUN,
            remedy=UNREACHABLE_REMEDY,
        )

    def _ask(self, address: str, path: str, message: object) -> Any:
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=ANSWER_LIMIT_S)
        headers = {"Authorization": f"Bearer {self.key}"}
        try:
            if message is None:
                connection.request("GET", path, headers=headers)
            else:
                connection.request("POST", path, orjson.dumps(message), headers)
            response = connection.getresponse()
            answer = orjson.loads(response.read())
        except (http.client.HTTPException, orjson.JSONDecodeError) as error:
            raise ConnectionError(str(error)) from error
        finally:
            connection.close()
        if response.status != 200:
            raise _refusal(answer)
        return answer


def _refusal(answer: dict[str, Any]) -> Refusal:
    return Refusal(
        ErrorCode(answer["code"]),
        answer["message"],
        ExecutionResult(answer["result"]),
        answer["remedy"],
    )
