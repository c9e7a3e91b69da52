"""The demo's scenario: load, injected faults and operator changes, in consecutive phases."""

from __future__ import annotations

import random
import secrets
import time
from typing import Any

import gevent
from gentianspread_core.errors import GentianspreadError
from gentianspread_server.codec import hash_key
from gentianspread_server.connections import RequestNotSentError, ResponseLostError

from .balancer import LoadBalancer
from .callers import CREATE_TABLE, INSERT_JOB, READ_ONLY_MIX, Caller
from .client import post
from .fleet import Fleet
from .journal import Journal
from .measures import time_to_first_write
from .oracle import Evidence, inspect

CALLERS_PER_WORKSPACE = 3
TOKEN_GRANT_WAIT_S = 2.5
MAX_PROPAGATION_S = 3.0
OVERLOAD_FACTOR = 10.0  # multiple of the workspace's rate
SETTLE_WAIT_S = 1.5


class Scenario:
    """Runs the phases on a started fleet and collects their measurements and evidence."""

    def __init__(self, fleet: Fleet, randomness: random.Random) -> None:
        self.fleet = fleet
        self.deployment = fleet.deployment
        self.randomness = randomness
        self.journal = Journal()
        self.evidence = Evidence()
        self.load_balancer = LoadBalancer(fleet.addresses, randomness)
        self.keys = {plan.name: secrets.token_hex(16) for plan in self.deployment.workspaces}
        self.callers: list[Caller] = []
        self.failover_gap_s = float("inf")
        self.key_withdrawal_s = float("inf")
        self.preset_propagation_s = float("inf")
        self.initial_primaries: dict[str, str] = {}
        self._greenlets: list[Any] = []
        self._revisions: dict[str, int] = {}

    def prepare(self) -> None:
        """Create workspaces, keys and tables, and start the callers."""
        for plan in self.deployment.workspaces:
            fields: dict[str, Any] = {"name": plan.name, "rate": plan.rate, "burst": plan.burst}
            self.fleet.operator.change("create_workspace", fields)
            key_hash = hash_key(self.keys[plan.name])
            fields = {"workspace": plan.name, "name": f"{plan.name}-key", "key_hash": key_hash}
            self.fleet.operator.change("give_key", fields)
        self._send_secrets_to_endpoints()
        gevent.sleep(TOKEN_GRANT_WAIT_S)
        first = self.deployment.workspaces[0].name
        for group in self.deployment.groups:
            self._run_statement(first, group, CREATE_TABLE)
        gevent.sleep(SETTLE_WAIT_S)
        self._start_callers()
        self._greenlets.append(gevent.spawn(self._check_revisions_monotonic))

    def run_phases(self) -> None:
        """Run all phases in order."""
        self._phase("quiet", 5.0)
        self.initial_primaries = self.primary_names()
        self._fail_primaries()
        self._kill_vm()
        self._freeze_control_leader()
        self._inject_replica_faults()
        self._overload_workspace()
        self._announce_endpoint_leaving()
        self._withdraw_key()
        self._switch_presets()
        self._stop_vm_gracefully()

    def finish(self) -> None:
        """Stop the callers and wait for replication to catch up."""
        for caller in self.callers:
            caller.stop()
        gevent.sleep(SETTLE_WAIT_S)
        gevent.killall(self._greenlets)
        self.load_balancer.stop()

    def primaries(self) -> dict[str, str]:
        """Return the address of each group's primary."""
        return {
            group: self.fleet.endpoint_address(name) for group, name in self.primary_names().items()
        }

    def primary_names(self) -> dict[str, str]:
        """Return the name of each group's primary."""
        groups = self._status()["groups"]
        return {group["name"]: group["primary"] for group in groups}

    def _status(self) -> dict[str, Any]:
        return self.fleet.operator.status()

    def _phase(self, name: str, seconds: float) -> None:
        print(f"  {name}")
        self.journal.phase = name
        gevent.sleep(seconds)

    def _send_secrets_to_endpoints(self) -> None:
        """Send all keys to the endpoints, which count the requests that contain one of them."""
        texts = [*self.keys.values(), self.fleet.operator_key]
        for plan in self.deployment.endpoints:
            post(plan.address, "/secrets", {"texts": texts})

    def _run_statement(self, workspace: str, group: str, statement: str) -> None:
        message = {"kind": "write", "group": group, "statement": statement, "idempotent": True}
        address = self.load_balancer.addresses[self.load_balancer.pick()]
        response = post(address, "/v1/request", message, self.keys[workspace])
        if response.status != 200:
            raise RuntimeError(f"{statement}: {response.body}")

    def _start_callers(self) -> None:
        for number, plan in enumerate(self.deployment.workspaces):
            for part in range(CALLERS_PER_WORKSPACE):
                rate = plan.load / CALLERS_PER_WORKSPACE
                seed = number * CALLERS_PER_WORKSPACE + part
                self._add_caller(plan.name, rate, seed)

    def _add_caller(self, workspace: str, rate: float, seed: int, **options: Any) -> Caller:
        caller = Caller(
            workspace,
            self.keys[workspace],
            self.deployment.groups,
            self.load_balancer,
            self.journal,
            rate,
            seed,
            **options,
        )
        self.callers.append(caller)
        self._greenlets.append(gevent.spawn(caller.run))
        return caller

    def _fail_primaries(self) -> None:
        """Isolate one primary, then kill another, and measure both failovers.

        The isolated primary must not acknowledge any write after its replacement.
        """
        group = self.deployment.groups[0]
        name = self.initial_primaries[group]
        address = self.fleet.endpoint_address(name)
        self.journal.phase = "primary isolated"
        isolated_at = time.monotonic()
        post(address, "/fault", {"kind": "isolate", "seconds": 3.5})
        self._phase("primary isolated", 4.0)
        entries = [entry for entry in self.journal.entries if entry.group == group]
        self.failover_gap_s = time_to_first_write(entries, isolated_at)
        self._write_to_replaced_primary(address)
        group = self.deployment.groups[1]
        self.journal.phase = "primary killed"
        killed_at = time.monotonic()
        self.fleet.kill(self.initial_primaries[group])
        self._phase("primary killed", 3.0)
        entries = [entry for entry in self.journal.entries if entry.group == group]
        self.failover_gap_s = max(self.failover_gap_s, time_to_first_write(entries, killed_at))

    def _write_to_replaced_primary(self, address: str) -> None:
        """Send writes with an old term directly to the replaced primary, which must refuse them."""
        for number in range(3):
            message = {
                "exchange": f"oracle-{number}",
                "kind": "write",
                "term": 1,
                "statement": INSERT_JOB,
                "parameters": [f"stale-{number}", "oracle"],
                "workspace": "oracle",
            }
            self.evidence.fenced_write_attempts += 1
            response = post(address, "/statement", message).body
            if response["status"] == "ok":
                self.evidence.acknowledged_fenced_writes.append(f"stale-{number}")

    def _kill_vm(self) -> None:
        """Kill a VM that is not a control voter, and restart it."""
        plan = self.deployment.vms[-1]
        self.journal.phase = "VM killed"
        self.fleet.kill(plan.name)
        self._phase("VM killed", 2.0)
        self.fleet.start_vm(plan)

    def _freeze_control_leader(self) -> None:
        """Freeze the control leader's process, then resume it."""
        leader = self._status()["leader"]
        self.fleet.freeze(leader)
        self.load_balancer.mark_unreachable(leader)
        self._phase("control leader frozen", 3.5)
        self.fleet.resume(leader)
        self._phase("control leader resumed", 2.0)

    def _inject_replica_faults(self) -> None:
        """Have a replica respond with wrong exchange ids, truncated, late and not at all.

        "forget" hangs every request on connections that were open before the fault.
        """
        primaries = set(self.primary_names().values())
        group = self.deployment.groups[2]
        replicas = [
            plan
            for plan in self.deployment.endpoints
            if plan.group == group and plan.name not in primaries
        ]
        for kind in ("crossed", "short", "late", "forget"):
            post(replicas[0].address, "/fault", {"kind": kind, "seconds": 1.0})
            self._phase(f"replica fault: {kind}", 1.2)

    def _overload_workspace(self) -> None:
        """Have ten more callers of the last workspace send ten times its rate in total."""
        plan = self.deployment.workspaces[-1]
        extra_callers = [
            self._add_caller(
                plan.name, plan.rate * OVERLOAD_FACTOR / 10, 1000 + part, mix=READ_ONLY_MIX
            )
            for part in range(10)
        ]
        self._phase("one workspace at ten times its rate", 4.0)
        for caller in extra_callers:
            caller.stop()

    def _announce_endpoint_leaving(self) -> None:
        """Have a replica announce that it is leaving; count the statements it still receives."""
        primaries = set(self.primary_names().values())
        group = self.deployment.groups[2]
        plan = next(
            plan
            for plan in self.deployment.endpoints
            if plan.group == group and plan.name not in primaries
        )
        seen_before = inspect(plan.address)["seen"]
        post(plan.address, "/leave", {"leaving": True})
        self._phase("endpoint leaving", MAX_PROPAGATION_S)
        seen_after_propagation = inspect(plan.address)["seen"]
        self._phase("endpoint left", 1.5)
        self.evidence.statements_after_leaving = (
            inspect(plan.address)["seen"] - seen_after_propagation
        )
        self.evidence.statements_before_leaving = seen_before
        post(plan.address, "/leave", {"leaving": False})

    def _withdraw_key(self) -> None:
        """Withdraw a key while its callers are connected and one has an open transaction."""
        plan = self.deployment.workspaces[-2]
        caller = Caller(
            plan.name,
            self.keys[plan.name],
            self.deployment.groups,
            self.load_balancer,
            self.journal,
            1.0,
            77,
        )
        group = self.deployment.groups[0]
        message = {"kind": "begin", "group": group}
        begin_response = caller.send_once(message)
        self.fleet.operator.change("withdraw_key", {"name": f"{plan.name}-key"})
        withdrawn_at = time.monotonic()
        self._phase("key withdrawn", MAX_PROPAGATION_S)
        propagated_at = withdrawn_at + MAX_PROPAGATION_S
        executed = [
            entry
            for entry in self.journal.entries
            if entry.workspace == plan.name
            and entry.sent_at >= withdrawn_at
            and entry.result == "run"
        ]
        last_executed_at = max((entry.answered_at for entry in executed), default=withdrawn_at)
        self.key_withdrawal_s = last_executed_at - withdrawn_at
        self._send_with_withdrawn_key(caller, group, begin_response)
        self._phase("key withdrawn, after 3 s", 1.0)
        attempts = [
            entry
            for entry in self.journal.entries
            if entry.workspace == plan.name and entry.sent_at >= propagated_at
        ]
        self.evidence.withdrawn_key_attempts = len(attempts)
        self.evidence.withdrawn_key_runs = [
            f"{entry.kind} at {entry.vm}" for entry in attempts if entry.result == "run"
        ]
        self._send_with_wrong_keys(group)

    def _send_with_withdrawn_key(self, caller: Caller, group: str, begin_response: Any) -> None:
        """Send a read, and commit the transaction that began before the withdrawal."""
        caller.send_once({"kind": "read", "group": group, "statement": "SELECT 1"})
        if begin_response is not None and begin_response.status == 200:
            transaction = begin_response.body["transaction"]
            caller.send_once({"kind": "commit", "group": group, "transaction": transaction})

    def _send_with_wrong_keys(self, group: str) -> None:
        """Send without a key, with an unknown key, and with another workspace's session token."""
        message = {"kind": "read", "group": group, "statement": "SELECT 1"}
        foreign_token = next(caller.token for caller in self.callers if caller.token)
        other_workspace = self.deployment.workspaces[1].name
        attempts = (
            (None, message),
            (secrets.token_hex(16), message),
            (self.keys[other_workspace], {**message, "token": foreign_token}),
        )
        for key, content in attempts:
            self.journal.wrong_key_attempts += 1
            response = post(
                self.load_balancer.addresses[self.load_balancer.pick()], "/v1/request", content, key
            )
            if response.status == 200:
                self.journal.wrong_key_runs += 1

    def _switch_presets(self) -> None:
        """Switch to maintenance and back; measure how long the slower change takes on all VMs."""
        self.fleet.operator.change("switch_preset", {"preset": "maintenance"})
        self.preset_propagation_s = self._time_preset_propagation("maintenance")
        self._phase("maintenance", 1.0)
        self.fleet.operator.change("switch_preset", {"preset": "ordinary"})
        self.preset_propagation_s = max(
            self.preset_propagation_s, self._time_preset_propagation("ordinary")
        )

    def _time_preset_propagation(self, preset: str) -> float:
        started = time.monotonic()
        pending = set(self.load_balancer.ready)
        while pending and time.monotonic() - started < MAX_PROPAGATION_S:
            pending = {name for name in pending if self._preset_of(name) != preset}
            gevent.sleep(0.02)
        self.evidence.revision_checks += 1
        self.evidence.overdue_changes += [
            f"{name} did not switch in time to preset {preset}" for name in pending
        ]
        return time.monotonic() - started

    def _preset_of(self, name: str) -> str:
        try:
            return str(self.fleet.operator.status(self.fleet.addresses[name])["preset"])
        except (OSError, GentianspreadError):
            return ""

    def _stop_vm_gracefully(self) -> None:
        """Stop a VM with SIGTERM while callers use it, and count the requests it cuts off."""
        name = self.deployment.vms[5].name
        self._phase("VM stopping", 2.0)
        self.fleet.terminate(name)
        entries = [
            entry for entry in self.journal.entries_of_phases("VM stopping") if entry.vm == name
        ]
        self.evidence.requests_during_stop = len(entries)
        self.evidence.requests_cut_by_stop = [
            f"{entry.kind} of {entry.workspace}" for entry in entries if entry.result == "cut"
        ]
        self._phase("VM stopped", 1.0)

    def _check_revisions_monotonic(self) -> None:
        """Poll the ready VMs and record every revision that is lower than an earlier one."""
        while True:
            for name in sorted(self.load_balancer.ready):
                revision = self._revision_of(name)
                if revision < self._revisions.get(name, 0):
                    self.evidence.reverted_revisions.append(
                        f"{name} reverted to revision {revision}"
                    )
                self._revisions[name] = max(revision, self._revisions.get(name, 0))
                self.evidence.revision_checks += 1
            gevent.sleep(0.5)

    def _revision_of(self, name: str) -> int:
        try:
            status = self.fleet.operator.status(self.fleet.addresses[name])
        except (OSError, GentianspreadError, RequestNotSentError, ResponseLostError):
            return self._revisions.get(name, 0)
        return int(status["revision"])
