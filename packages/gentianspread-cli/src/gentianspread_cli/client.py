"""HTTP client for the `/operator` paths, which every VM serves to operators."""

from __future__ import annotations

import http.client
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import orjson
from gentianspread_core.errors import ErrorCode, ExecutionResult, GentianspreadError, Refusal

RESPONSE_TIMEOUT_S = 6.0  # of each socket operation, not of a whole exchange
CHANGE_TIMEOUT_S = 12.0  # no new round over the addresses begins after it
RETRY_INTERVAL_S = 0.1
UNREACHABLE_REMEDY = "Check that a VM runs at one of the addresses in --vms."


class OperatorClient:
    """Sends an operator's requests to VMs.

    Where a method has no address, it tries `addresses` in order until a VM answers. Retries of a
    change keep its id, so that it is carried out at most once.
    """

    __slots__ = ("operator_key", "addresses")

    def __init__(self, operator_key: str, addresses: list[str]) -> None:
        self.operator_key = operator_key
        self.addresses = addresses

    def change(
        self,
        kind: str,
        fields: dict[str, Any],
        change_id: str = "",
        expected_revision: int | None = None,
    ) -> dict[str, Any]:
        """Request a change and return its outcome, or raise its refusal.

        `expected_revision`, if given, must be the operator revision before the change. The outcome
        has `accepted`, which is true; `revision`, the operator revision after the
        change; and `code` and `message`, which are empty. After a refusal because the VM knows no
        control leader or is stopping, the request is sent to the next VM, which may accept it.
        """
        message = {
            "kind": kind,
            "fields": fields,
            "change_id": change_id or uuid.uuid4().hex,
            "expected_revision": expected_revision,
        }
        deadline = time.monotonic() + CHANGE_TIMEOUT_S
        last_refusal = self._build_unreachable_refusal()
        while time.monotonic() < deadline:
            for address in self.addresses:
                try:
                    outcome: dict[str, Any] = self._request(address, "/operator/change", message)
                    return outcome
                except Refusal as error:
                    if error.code not in (ErrorCode.NO_LEADER, ErrorCode.DRAINING):
                        raise
                    last_refusal = error
                except OSError:
                    continue
            time.sleep(RETRY_INTERVAL_S)
        raise last_refusal

    def status(self, address: str = "") -> dict[str, Any]:
        """Return one VM's view of the fleet: of the VM at the address, or of the control leader.

        Without an address, any VM is asked which one leads; if that one is unknown or does not
        answer, the view of the VM that was asked is returned.
        """
        if address:
            status: dict[str, Any] = self._request(address, "/operator/status", None)
            return status
        first_status = self._request_status_of_any_vm()
        for member in first_status["members"]:
            if member["name"] == first_status["leader"] and member["name"] != first_status["vm"]:
                try:
                    return self.status(member["address"])
                except (OSError, GentianspreadError):
                    return first_status
        return first_status

    def timeline(self, address: str) -> list[dict[str, Any]]:
        """Return the events of the VM at an address."""
        events: list[dict[str, Any]] = self._request(address, "/operator/timeline", None)
        return events

    def merged_timeline(self) -> list[dict[str, Any]]:
        """Return the events of all VMs that answer, merged in the order of their timestamps."""
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

    def _request_status_of_any_vm(self) -> dict[str, Any]:
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
        headers = {"Authorization": f"Bearer {self.operator_key}"}
        try:
            if message is None:
                connection.request("GET", path, headers=headers)
            else:
                connection.request("POST", path, orjson.dumps(message), headers)
            response = connection.getresponse()
            body = orjson.loads(response.read())
        except (http.client.HTTPException, orjson.JSONDecodeError) as error:
            raise ConnectionError(str(error)) from error
        finally:
            connection.close()
        if response.status != 200:
            raise _decode_refusal(body)
        return body


def _decode_refusal(body: dict[str, Any]) -> Refusal:
    return Refusal(
        ErrorCode(body["code"]),
        body["message"],
        ExecutionResult(body["result"]),
        body["remedy"],
    )
