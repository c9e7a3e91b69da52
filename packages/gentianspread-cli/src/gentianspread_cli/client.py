"""HTTP client for the operators' routes of VMs."""

from __future__ import annotations

import http.client
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import orjson
from gentianspread_core.errors import ErrorCode, ExecutionResult, GentianspreadError, Refusal

RESPONSE_TIMEOUT_S = 6.0
CHANGE_TIMEOUT_S = 12.0
RETRY_INTERVAL_S = 0.1
UNREACHABLE_REMEDY = "Check that a VM runs at one of the addresses in --vms."


class OperatorClient:
    """Sends requests to any VM that answers.

    Retries of a change keep its id, so that it is carried out at most once.
    """

    __slots__ = ("key", "addresses")

    def __init__(self, key: str, addresses: list[str]) -> None:
        self.key = key
        self.addresses = addresses

    def change(
        self, kind: str, fields: dict[str, Any], change_id: str = "", expected: int | None = None
    ) -> dict[str, Any]:
        """Request a change and return its outcome, or raise its refusal."""
        message = {
            "kind": kind,
            "fields": fields,
            "change_id": change_id or uuid.uuid4().hex,
            "expected_revision": expected,
        }
        deadline = time.monotonic() + CHANGE_TIMEOUT_S
        refusal = self._build_unreachable_refusal()
        while time.monotonic() < deadline:
            for address in self.addresses:
                try:
                    outcome: dict[str, Any] = self._request(address, "/operator/change", message)
                    return outcome
                except Refusal as error:
                    if error.code not in (ErrorCode.NO_LEADER, ErrorCode.DRAINING):
                        raise
                    refusal = error
                except OSError:
                    continue
            time.sleep(RETRY_INTERVAL_S)
        raise refusal

    def status(self, address: str = "") -> dict[str, Any]:
        """Return the status as seen by one VM, by default by the control leader if it answers."""
        if address:
            status: dict[str, Any] = self._request(address, "/operator/status", None)
            return status
        found = self._any_status()
        for member in found["members"]:
            if member["name"] == found["leader"] and member["name"] != found["vm"]:
                try:
                    return self.status(member["address"])
                except (OSError, GentianspreadError):
                    return found
        return found

    def timeline(self, address: str) -> list[dict[str, Any]]:
        """Return the events of one VM."""
        events: list[dict[str, Any]] = self._request(address, "/operator/timeline", None)
        return events

    def timelines(self) -> list[dict[str, Any]]:
        """Return the events of all VMs that answer, in the order of their timestamps."""
        addresses = [member["address"] for member in self.status()["members"]]
        with ThreadPoolExecutor(max_workers=max(1, len(addresses))) as executor:
            timelines = list(executor.map(self._timeline_or_empty, addresses))
        events = [event for events_of_vm in timelines for event in events_of_vm]
        events.sort(key=lambda event: (event["wall_ms"], event["counter"], event["member"]))
        return events

    def _timeline_or_empty(self, address: str) -> list[dict[str, Any]]:
        try:
            return self.timeline(address)
        except (OSError, GentianspreadError):
            return []

    def _any_status(self) -> dict[str, Any]:
        for address in self.addresses:
            try:
                return self.status(address)
            except OSError:
                continue
        raise self._build_unreachable_refusal()

    def _build_unreachable_refusal(self) -> Refusal:
        return Refusal(
            ErrorCode.NO_LEADER,
            "No VM answered.",
            ExecutionResult.NOT_RUN,
            remedy=UNREACHABLE_REMEDY,
        )

    def _request(self, address: str, path: str, message: object) -> Any:
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=RESPONSE_TIMEOUT_S)
        headers = {"Authorization": f"Bearer {self.key}"}
        try:
            if message is None:
                connection.request("GET", path, headers=headers)
            else:
                connection.request("POST", path, orjson.dumps(message), headers)
            response = connection.getresponse()
            record = orjson.loads(response.read())
        except (http.client.HTTPException, orjson.JSONDecodeError) as error:
            raise ConnectionError(str(error)) from error
        finally:
            connection.close()
        if response.status != 200:
            raise _decode_refusal(record)
        return record


def _decode_refusal(record: dict[str, Any]) -> Refusal:
    return Refusal(
        ErrorCode(record["code"]),
        record["message"],
        ExecutionResult(record["result"]),
        record["remedy"],
    )
