"""The demo's course of events: load, faults and operators' changes, one phase after another."""

from __future__ import annotations

import random
import secrets
import time
from typing import Any

import gevent
from gentianspread_core.errors import GentianspreadError
from gentianspread_server.codec import hash_key
from gentianspread_server.connections import RequestNotSentError, ResponseLostError

from .balancer import Balancer
from .callers import INSERT, READ_MIX, TABLE, Caller
from .client import post
from .fleet import Fleet
from .journal import Journal
from .measures import longest_gap
from .oracle import Evidence, inspect

CALLERS_PER_WORKSPACE = 3
FIRST_TOKENS_S = 2.5
IN_FORCE_S = 3.0
OVERLOAD = 10.0
SETTLE_S = 1.5


class Scenario:
    """Runs the phases on a started fleet and gathers what they showed."""

    def __init__(self, fleet: Fleet, randomness: random.Random) -> None:
        self.fleet = fleet
        self.deployment = fleet.deployment
        self.randomness = randomness
        self.journal = Journal()
        self.evidence = Evidence()
        self.balancer = Balancer(fleet.addresses, randomness)
        self.keys = {plan.name: secrets.token_hex(16) for plan in self.deployment.workspaces}
        self.callers: list[Caller] = []
        self.failover_gap = float("inf")
        self.withdrawal_s = float("inf")
        self.preset_s = float("inf")
        self.quiet_primaries: dict[str, str] = {}
        self._greenlets: list[Any] = []
        self._revisions: dict[str, int] = {}

    def prepare(self) -> None:
        """Create workspaces, keys and tables, and begin the load."""
        for plan in self.deployment.workspaces:
            fields: dict[str, Any] = {"name": plan.name, "rate": plan.rate, "burst": plan.burst}
            self.fleet.operator.change("create_workspace", fields)
            key_hash = hash_key(self.keys[plan.name])
            fields = {"workspace": plan.name, "name": f"{plan.name}-key", "key_hash": key_hash}
            self.fleet.operator.change("give_key", fields)
        self._tell_secrets()
        gevent.sleep(FIRST_TOKENS_S)
        first = self.deployment.workspaces[0].name
        for group in self.deployment.groups:
            self._run_statement(first, group, TABLE)
        gevent.sleep(SETTLE_S)
        self._begin_load()
        self._greenlets.append(gevent.spawn(self._watch_revisions))

    def play(self) -> None:
        """Run all phases."""
        self._phase("quiet", 5.0)
        self.quiet_primaries = self.primary_names()
        self._lose_primary()
        self._lose_vm()
        self._freeze_voter()
        self._spoil_answers()
        self._overload()
        self._endpoint_leaves()
        self._withdraw_key()
        self._switch_presets()
        self._stop_vm()

    def finish(self) -> None:
        """End the load and let replication come to rest."""
        for caller in self.callers:
            caller.stop()
        gevent.sleep(SETTLE_S)
        gevent.killall(self._greenlets)
        self.balancer.stop()

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

    def _tell_secrets(self) -> None:
        texts = [*self.keys.values(), self.fleet.operator_key]
        for plan in self.deployment.endpoints:
            post(plan.address, "/secrets", {"texts": texts})

    def _run_statement(self, workspace: str, group: str, statement: str) -> None:
        message = {"kind": "write", "group": group, "statement": statement, "idempotent": True}
        address = self.balancer.addresses[self.balancer.pick()]
        answer = post(address, "/v1/request", message, self.keys[workspace])
        if answer.status != 200:
            raise RuntimeError(f"{statement}: {answer.body}")

    def _begin_load(self) -> None:
        for number, plan in enumerate(self.deployment.workspaces):
            for part in range(CALLERS_PER_WORKSPACE):
                rate = plan.load / CALLERS_PER_WORKSPACE
                seed = number * CALLERS_PER_WORKSPACE + part
                self._add_caller(plan.name, rate, seed)

    def _add_caller(self, workspace: str, rate: float, seed: int, **facts: Any) -> Caller:
        caller = Caller(
            workspace,
            self.keys[workspace],
            self.deployment.groups,
            self.balancer,
            self.journal,
            rate,
            seed,
            **facts,
        )
        self.callers.append(caller)
        self._greenlets.append(gevent.spawn(caller.run))
        return caller

    def _lose_primary(self) -> None:
        """Isolate one primary, then kill another; the isolated one must acknowledge nothing."""
        group = self.deployment.groups[0]
        name = self.quiet_primaries[group]
        address = self.fleet.endpoint_address(name)
        self.journal.phase = "primary isolated"
        isolated_at = time.monotonic()
        post(address, "/fault", {"kind": "isolate", "seconds": 3.5})
        self._phase("primary isolated", 4.0)
        entries = [entry for entry in self.journal.entries if entry.group == group]
        self.failover_gap = longest_gap(entries, isolated_at)
        self._write_at_replaced(address)
        group = self.deployment.groups[1]
        self.journal.phase = "primary killed"
        killed_at = time.monotonic()
        self.fleet.kill(self.quiet_primaries[group])
        self._phase("primary killed", 3.0)
        entries = [entry for entry in self.journal.entries if entry.group == group]
        self.failover_gap = max(self.failover_gap, longest_gap(entries, killed_at))

    def _write_at_replaced(self, address: str) -> None:
        """Send a write with the old term straight to the replaced primary."""
        for number in range(3):
            message = {
                "exchange": f"oracle-{number}",
                "kind": "write",
                "term": 1,
                "statement": INSERT,
                "parameters": [f"stale-{number}", "oracle"],
                "workspace": "oracle",
            }
            self.evidence.fenced_write_attempts += 1
            answer = post(address, "/statement", message).body
            if answer["status"] == "ok":
                self.evidence.acknowledged_fenced_writes.append(f"stale-{number}")

    def _lose_vm(self) -> None:
        """Kill a VM that does not vote."""
        plan = self.deployment.vms[-1]
        self.journal.phase = "VM killed"
        self.fleet.kill(plan.name)
        self._phase("VM killed", 2.0)
        self.fleet.start_vm(plan)

    def _freeze_voter(self) -> None:
        """Freeze the control leader, and let it come back."""
        leader = self._status()["leader"]
        self.fleet.freeze(leader)
        self.balancer.report_dead(leader)
        self._phase("control leader frozen", 3.5)
        self.fleet.thaw(leader)
        self._phase("control leader back", 2.0)

    def _spoil_answers(self) -> None:
        """Have replicas answer late, crossed and short, and forget open connections."""
        primaries = set(self.primary_names().values())
        group = self.deployment.groups[2]
        replicas = [
            plan
            for plan in self.deployment.endpoints
            if plan.group == group and plan.name not in primaries
        ]
        for kind in ("crossed", "short", "late", "forget"):
            post(replicas[0].address, "/fault", {"kind": kind, "seconds": 1.0})
            self._phase(f"answers {kind}", 1.2)

    def _overload(self) -> None:
        """Have the smallest workspace send ten times its rate."""
        plan = self.deployment.workspaces[-1]
        extra = [
            self._add_caller(plan.name, plan.rate * OVERLOAD / 10, 1000 + part, mix=READ_MIX)
            for part in range(10)
        ]
        self._phase("one workspace at ten times its rate", 4.0)
        for caller in extra:
            caller.stop()

    def _endpoint_leaves(self) -> None:
        """Have a replica announce that it leaves, and count what it still gets."""
        primaries = set(self.primary_names().values())
        group = self.deployment.groups[2]
        plan = next(
            plan
            for plan in self.deployment.endpoints
            if plan.group == group and plan.name not in primaries
        )
        before = inspect(plan.address)["seen"]
        post(plan.address, "/leave", {"leaving": True})
        self._phase("endpoint leaving", IN_FORCE_S)
        then = inspect(plan.address)["seen"]
        self._phase("endpoint left", 1.5)
        self.evidence.statements_after_leaving = inspect(plan.address)["seen"] - then
        self.evidence.statements_before_leaving = before
        post(plan.address, "/leave", {"leaving": False})

    def _withdraw_key(self) -> None:
        """Withdraw a key while its callers are connected, also inside a transaction."""
        plan = self.deployment.workspaces[-2]
        prober = Caller(
            plan.name,
            self.keys[plan.name],
            self.deployment.groups,
            self.balancer,
            self.journal,
            1.0,
            77,
        )
        group = self.deployment.groups[0]
        message = {"kind": "begin", "group": group}
        begin = prober.send_once(message)
        self.fleet.operator.change("withdraw_key", {"name": f"{plan.name}-key"})
        withdrawn_at = time.monotonic()
        self._phase("key withdrawn", IN_FORCE_S)
        late = withdrawn_at + IN_FORCE_S
        runs = [
            entry
            for entry in self.journal.entries
            if entry.workspace == plan.name
            and entry.sent_at >= withdrawn_at
            and entry.result == "run"
        ]
        last = max((entry.answered_at for entry in runs), default=withdrawn_at)
        self.withdrawal_s = last - withdrawn_at
        self._try_withdrawn(prober, group, begin)
        self._phase("key withdrawn for long", 1.0)
        tries = [
            entry
            for entry in self.journal.entries
            if entry.workspace == plan.name and entry.sent_at >= late
        ]
        self.evidence.withdrawn_key_attempts = len(tries)
        self.evidence.withdrawn_key_runs = [
            f"{entry.kind} at {entry.vm}" for entry in tries if entry.result == "run"
        ]
        self._try_wrong_keys(group)

    def _try_withdrawn(self, prober: Caller, group: str, begin: Any) -> None:
        prober.send_once({"kind": "read", "group": group, "statement": "SELECT 1"})
        if begin is not None and begin.status == 200:
            transaction = begin.body["transaction"]
            prober.send_once({"kind": "commit", "group": group, "transaction": transaction})

    def _try_wrong_keys(self, group: str) -> None:
        """Send with no key, a made-up key and another workspace's session."""
        message = {"kind": "read", "group": group, "statement": "SELECT 1"}
        foreign = next(caller.token for caller in self.callers if caller.token)
        other = self.deployment.workspaces[1].name
        tries = (
            (None, message),
            (secrets.token_hex(16), message),
            (self.keys[other], {**message, "token": foreign}),
        )
        for key, content in tries:
            self.journal.wrong_key_attempts += 1
            answer = post(
                self.balancer.addresses[self.balancer.pick()], "/v1/request", content, key
            )
            if answer.status == 200:
                self.journal.wrong_key_runs += 1

    def _switch_presets(self) -> None:
        """Switch to maintenance and back, and see when it is in force on the last VM."""
        self.fleet.operator.change("switch_preset", {"preset": "maintenance"})
        self.preset_s = self._time_until_everywhere("maintenance")
        self._phase("maintenance", 1.0)
        self.fleet.operator.change("switch_preset", {"preset": "ordinary"})
        self.preset_s = max(self.preset_s, self._time_until_everywhere("ordinary"))

    def _time_until_everywhere(self, preset: str) -> float:
        started = time.monotonic()
        left = set(self.balancer.ready)
        while left and time.monotonic() - started < IN_FORCE_S:
            left = {name for name in left if self._preset_of(name) != preset}
            gevent.sleep(0.02)
        self.evidence.revision_checks += 1
        self.evidence.overdue_changes += [f"{name} lacks {preset}" for name in left]
        return time.monotonic() - started

    def _preset_of(self, name: str) -> str:
        try:
            return str(self.fleet.operator.status(self.fleet.addresses[name])["preset"])
        except (OSError, GentianspreadError):
            return ""

    def _stop_vm(self) -> None:
        """Stop a VM in the planned way while it has callers."""
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

    def _watch_revisions(self) -> None:
        """See that no VM's revision ever goes back while it runs."""
        while True:
            for name in sorted(self.balancer.ready):
                revision = self._revision_of(name)
                if revision < self._revisions.get(name, 0):
                    self.evidence.reverted_revisions.append(f"{name} went back to {revision}")
                self._revisions[name] = max(revision, self._revisions.get(name, 0))
                self.evidence.revision_checks += 1
            gevent.sleep(0.5)

    def _revision_of(self, name: str) -> int:
        try:
            status = self.fleet.operator.status(self.fleet.addresses[name])
        except (OSError, GentianspreadError, RequestNotSentError, ResponseLostError):
            return self._revisions.get(name, 0)
        return int(status["revision"])
