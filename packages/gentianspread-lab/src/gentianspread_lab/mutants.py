"""Mutation testing: disables one safety rule at a time and shows that some check then fails.

Run as python -m gentianspread_lab.mutants, or with --only=NAME for one mutant. Each mutant runs in
a process of its own: the features without processes, then the fuzzing.
"""

from __future__ import annotations

import re
import subprocess
import sys
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from absl import app, flags
from behave.__main__ import main as run_behave
from gentianspread_core import state_machine
from gentianspread_core.blackboard.board import Board
from gentianspread_core.blackboard.changes import Topic
from gentianspread_core.blackboard.commands import CommandKind
from gentianspread_core.blackboard.configuration import (
    Configuration,
    Registration,
    load_snapshot,
)
from gentianspread_core.blackboard.endpoints import Endpoint
from gentianspread_core.blackboard.groups import Health
from gentianspread_core.blackboard.log import FOUNDING_INCARNATION
from gentianspread_core.blackboard.messages import Message
from gentianspread_core.blackboard.outbox import HardState
from gentianspread_core.blackboard.rate_limits import TokenBucket
from gentianspread_core.blackboard.requests import Request
from gentianspread_core.blackboard.sessions import SessionRequest
from gentianspread_core.blackboard.shutdown import Shutdown
from gentianspread_core.blackboard.warmups import EndpointTokenRequest
from gentianspread_core.controllers import dispatch, failover, keys, steps
from gentianspread_core.controllers.acknowledgement import AcknowledgementController
from gentianspread_core.controllers.allocator import AllocatorController
from gentianspread_core.controllers.balancing import StaleLoadEstimator
from gentianspread_core.controllers.configuration import ConfigurationController
from gentianspread_core.controllers.election import ElectionController
from gentianspread_core.controllers.groupview import GroupView
from gentianspread_core.controllers.keys import KeyController
from gentianspread_core.controllers.limits import LimitController
from gentianspread_core.controllers.placement import candidates
from gentianspread_core.controllers.placement import controller as placement
from gentianspread_core.controllers.placement.candidates import Candidates
from gentianspread_core.controllers.relays import RelayController
from gentianspread_core.controllers.repair import RepairController
from gentianspread_core.controllers.replication import ReplicationController
from gentianspread_core.controllers.transactions import TransactionController
from gentianspread_core.controllers.warmup import WarmupAllocatorController, WarmupGate
from gentianspread_core.controllers.warmup.allocation import WarmupQuota
from gentianspread_core.positions import LOG_START, SessionToken
from gentianspread_server import driver, storage
from gentianspread_server.platform import endpoints

from .checks import read_known_failures
from .evacuationmutants import EVACUATION_MUTANTS
from .foundingfuzz import FoundingMachine
from .fuzz import FleetMachine
from .leasemutants import LEASE_MUTANTS
from .promotionfuzz import PromotionMachine
from .promotionmutants import PROMOTION_MUTANTS
from .soak import soak

FUZZ_STEPS = 4000
FUZZ_SEED = 11
MAX_PARALLEL_MUTANTS = 5
MUTANT_TIMEOUT_S = 120

flags.DEFINE_string("only", None, "Run this mutant in this process.")


class Mutant:
    """One disabled rule: the class or module that has it, its attribute and the replacement."""

    __slots__ = ("name", "holder", "attribute", "replacement")

    def __init__(self, name: str, holder: Any, attribute: str, replacement: Any) -> None:
        self.name = name
        self.holder = holder
        self.attribute = attribute
        self.replacement = replacement

    def apply(self) -> None:
        """Disable the rule in this process."""
        setattr(self.holder, self.attribute, self.replacement)


def constant(value: Any) -> Callable[..., Any]:
    """Return a function that ignores its arguments and returns `value`."""
    return lambda *_arguments, **_keywords: value


def _full_bucket(self: TokenBucket, rate: float, capacity: float, now: float, epoch: int) -> None:
    self.rate = rate
    self.capacity = capacity
    self.tokens = capacity
    self.refilled_at = now
    self.epoch = epoch


def _keep_tokens(self: LimitController, held: Any, token_request: Any, now: float) -> None:
    held.expires_at = now + 1000.0
    held.count += token_request.granted


def _grant_immediately(self: AllocatorController, revision: int) -> None:
    ORIGINAL_ON_CONFIGURATION(self, revision)
    self._first_grant_at = float("-inf")
    for bucket in self.board.rate_limits.buckets.values():
        bucket.refilled_at = min(bucket.refilled_at, self.board.clock.now())


def _least_advanced_fenced(self: failover.FailoverController, attempt: Any) -> str:
    return min(attempt.accepted, key=lambda name: attempt.accepted[name].index)


def _promote_after_first_fence(
    self: failover.FailoverController, attempt: Any, command: Any
) -> None:
    if attempt.phase == "fencing" and command.accepted and command.position is not None:
        attempt.accepted[command.endpoint] = command.position
        self._promote(attempt)


def _load_any_snapshot(self: ConfigurationController, state: Any, index: int) -> None:
    load_snapshot(self.board.configuration, state)


def _commit_without_majority(self: ReplicationController) -> None:
    log = self.board.log
    indexes = sorted((self._match_index(name) for name in log.voters), reverse=True)
    if indexes and indexes[0] > log.commit_index:
        self._commit_to(indexes[0])
        self._send_commit_index()
    self._update_confirmed_at()


def _assume_no_allocator(self: AllocatorController) -> bool:
    return True


def _full_backup_bucket(self: AllocatorController, workspace: Any, now: float) -> TokenBucket:
    backup_bucket = self.board.rate_limits.backup_buckets.get(workspace.name)
    if backup_bucket is None:
        backup_bucket = TokenBucket(workspace.rate, workspace.rate + workspace.burst, now, 0)
        backup_bucket.tokens = backup_bucket.capacity
        self.board.rate_limits.backup_buckets[workspace.name] = backup_bucket
    return backup_bucket


def _handlers_ignoring_base_version() -> dict[CommandKind, Any]:
    handlers = dict(state_machine._HANDLERS)
    original = handlers[CommandKind.CHANGE_DECLARATION]

    def change_without_base_check(configuration: Configuration, command: Any) -> None:
        if configuration.declaration is not None and "routes" in command.fields:
            command.fields["base"] = configuration.declaration.version
            original(configuration, command)

    handlers[CommandKind.CHANGE_DECLARATION] = change_without_base_check
    return handlers


def _authenticate_without_check(self: KeyController, request: Any) -> None:
    key = self.board.configuration.keys.get(request.key_hash or "")
    request.workspace = key.workspace if key else "w1"
    self.board.changes.post(Topic.REQUEST_AUTHENTICATED, request)


def _take_unlimited_fallback(self: LimitController, held: Any, name: str, now: float) -> bool:
    held.count += 1
    return True


def _apply_declaration_of_any_version(configuration: Configuration, command: Any) -> None:
    configuration.declaration = None
    ORIGINAL_HANDLERS[CommandKind.DECLARE](configuration, command)


def _handlers_ignoring_declaration_version() -> dict[CommandKind, Any]:
    return {**ORIGINAL_HANDLERS, CommandKind.DECLARE: _apply_declaration_of_any_version}


def _was_removed_by_any_list(self: ElectionController) -> bool:
    log = self.board.log
    is_ahead = self.board.configuration.revision > log.commit_index
    return is_ahead and not self.board.configuration.is_voter(self._own_name(), log.incarnation)


def _usable_while_leaving(self: Endpoint) -> bool:
    return not self.suspected


def _accept_withdrawn_key(board: Board, request: Request) -> bool:
    if request.key_hash in board.configuration.keys:
        return True
    request.refuse(keys.ErrorCode.KEY_REFUSED, "The key is not valid.")
    return False


def _discard_outcome(self: Configuration, change_id: str, outcome: Any) -> None:
    """Store nothing."""


def _build_reply_of_any_exchange(response: dict, exchange_number: str) -> Any:
    return ORIGINAL_BUILD_REPLY({**response, "exchange": exchange_number}, exchange_number)


def _warm_up_alone(self: WarmupGate, endpoint: str, tokens: Any) -> None:
    """Take the tokens from a bucket of this VM, which has the whole rate of the endpoint."""
    board, now = self.board, self.board.clock.now()
    rate = board.configuration.cold_rate_of(board.configuration.endpoints[endpoint].group)
    settings = board.settings
    quota = WarmupQuota.from_rate(rate, settings.warmup_tolerance, settings.token_ttl_s)
    new_bucket = TokenBucket(quota.rate, quota.capacity, now - 1.0, 0)
    bucket = board.warmups.buckets.setdefault(endpoint, new_bucket)
    request = EndpointTokenRequest(endpoint, "", "", len(tokens.waiting), now)
    request.granted, request.answered = bucket.take(request.wanted, now), True
    request.next_token_delay = bucket.next_token_delay()
    tokens.requested_at = now
    board.changes.post(Topic.ENDPOINT_TOKENS_RECEIVED, request)


FOUNDER = HardState(0, None, FOUNDING_INCARNATION)
ORIGINAL_BUILD_REPLY = driver._build_reply
ORIGINAL_HANDLERS = dict(state_machine._HANDLERS)
ORIGINAL_ON_CONFIGURATION = AllocatorController.on_configuration

MUTANTS = (
    Mutant("no wait for a majority", AcknowledgementController, "_needs_majority", constant(False)),
    Mutant(
        "acknowledge under a replaced term",
        AcknowledgementController,
        "_term_replaced",
        constant(False),
    ),
    Mutant(
        "promote before a majority is fenced",
        failover.FailoverController,
        "_count_fence",
        _promote_after_first_fence,
    ),
    Mutant(
        "promote the least advanced fenced endpoint",
        failover.FailoverController,
        "_most_advanced",
        _least_advanced_fenced,
    ),
    Mutant("no key check at dispatch", dispatch, "check_key", constant(True)),
    Mutant("withdrawn keys stay valid on arrival", keys, "check_key", _accept_withdrawn_key),
    Mutant("VMs with a stale configuration serve", Board, "is_fresh", constant(True)),
    Mutant("session tokens are ignored", SessionToken, "position", constant(LOG_START)),
    Mutant("every request is retried", Request, "is_safe_to_retry", constant(True)),
    Mutant("buckets start full", TokenBucket, "__init__", _full_bucket),
    Mutant("tokens never expire", LimitController, "_credit", _keep_tokens),
    Mutant(
        "a new allocator grants immediately",
        AllocatorController,
        "on_configuration",
        _grant_immediately,
    ),
    Mutant(
        "allocators fill at their whole rate in a partition",
        AllocatorController,
        "_heard_fraction",
        constant(1.0),
    ),
    Mutant(
        "backup allocators grant beside reachable allocators",
        Board,
        "has_control_contact",
        constant(False),
    ),
    Mutant("no pre-vote check", ElectionController, "_has_leader", constant(False)),
    Mutant("votes are not persisted", ElectionController, "_persist", constant(None)),
    Mutant(
        "candidates with an outdated log may win",
        ElectionController,
        "_is_up_to_date",
        constant(True),
    ),
    Mutant(
        "commit without a majority",
        ReplicationController,
        "_advance_commit",
        _commit_without_majority,
    ),
    Mutant(
        "two voter changes at the same time",
        ReplicationController,
        "_conflicts_with_voter_change",
        constant(False),
    ),
    Mutant("an empty disk votes as the lost one", HardState, "for_new_member", constant(FOUNDER)),
    Mutant("initial voters are not recorded", HardState, "for_founder", constant(FOUNDER)),
    Mutant("replies of a lost disk count", Message, "is_from_participant", constant(True)),
    Mutant("messages to a lost disk are answered", Message, "is_for", constant(True)),
    Mutant("older lists remove", ElectionController, "_was_removed", _was_removed_by_any_list),
    Mutant("old snapshots are loaded", ConfigurationController, "_load", _load_any_snapshot),
    Mutant("leaving endpoints get work", Endpoint, "is_usable", _usable_while_leaving),
    Mutant("transactions outlive their key", TransactionController, "_end_reason", constant("")),
    Mutant("repeated changes are applied again", Configuration, "store_outcome", _discard_outcome),
    Mutant("revisions are not compared", state_machine, "_check_revision", constant(None)),
    Mutant(
        "redundancy reported while a voter is lost", RepairController, "_lost_voter", constant(None)
    ),
    Mutant(
        "replies to other exchanges are accepted",
        driver,
        "_build_reply",
        _build_reply_of_any_exchange,
    ),
    Mutant("checksums are not compared", storage.zlib, "crc32", constant(0)),
    *(Mutant(*rule) for rule in (*PROMOTION_MUTANTS, *LEASE_MUTANTS)),
    Mutant("restarted replicas count", state_machine, "list_departed", constant(None)),
    Mutant("positions may go back", Health, "has_lost_log", constant(False)),
    Mutant("departed endpoints are ignored", GroupView, "last_end_at", constant(None)),
    Mutant(
        "removed voters get no updates", ConfigurationController, "_receives_log", constant(True)
    ),
    Mutant(
        "backup allocators grant beside allocators",
        AllocatorController,
        "_reaches_no_allocator",
        _assume_no_allocator,
    ),
    Mutant("buckets refill while no VM polls", AllocatorController, "on_polled", constant(None)),
    Mutant("backup buckets start full", AllocatorController, "_backup_bucket", _full_backup_bucket),
    Mutant("idle relayed transactions stay open", RelayController, "on_due", constant(None)),
    Mutant(
        "declaration deltas ignore their base",
        state_machine,
        "_HANDLERS",
        _handlers_ignoring_base_version(),
    ),
    Mutant("home VMs check no key", KeyController, "on_arrived", _authenticate_without_check),
    Mutant("reads require no position", Candidates, "_min_position", constant(LOG_START)),
    Mutant("sessions share connection values", steps, "_session_steps", constant([])),
    Mutant("no key check at placement", placement, "check_key", constant(True)),
    Mutant("older announcements are accepted", Registration, "is_newer_than", constant(True)),
    Mutant(
        "any declaration version is applied",
        state_machine,
        "_HANDLERS",
        _handlers_ignoring_declaration_version(),
    ),
    Mutant(
        "no rate limit without allocators",
        LimitController,
        "_take_fallback",
        _take_unlimited_fallback,
    ),
    Mutant("stops cut transactions", Shutdown, "accepts_in_transaction", constant(True)),
    Mutant("failed set-ups keep connections", endpoints, "SETUP_KINDS", frozenset()),
    Mutant("each VM warms up by itself", WarmupGate, "_ask", _warm_up_alone),
    Mutant(
        "a new allocator of cold endpoints grants immediately",
        WarmupAllocatorController,
        "_first_grant_time",
        constant(0.0),
    ),
    Mutant("regions restrict no relays", candidates, "is_zone_allowed", constant(True)),
    Mutant("lost writes are retried", SessionRequest, "is_standalone_read", constant(True)),
    Mutant("age ignored", StaleLoadEstimator, "weight", constant(1.0)),
    Mutant("age ignored when work is moved", StaleLoadEstimator, "age_s", constant(0.0)),
    Mutant("own requests in flight ignored", StaleLoadEstimator, "unreported", constant(0)),
    *(Mutant(*rule) for rule in EVACUATION_MUTANTS),
)


def find_failing_check(mutant: Mutant) -> str:
    """Apply a mutant in this process; return the check that failed, or an empty text."""
    mutant.apply()
    # A scenario that fails without the mutant as well would find each of them.
    known = "|".join(f"{re.escape(name)}$" for name in sorted(read_known_failures()))
    arguments = ["--no-color", "--no-summary", "-f", "null", "--stop"]
    if known:
        arguments.append(f"--name=^(?!{known})")
    if run_behave([*arguments, "--tags=not @processes", "features"]) != 0:
        return "features"
    try:
        for machine in (PromotionMachine, FleetMachine, FoundingMachine):
            soak(FUZZ_SEED, FUZZ_STEPS, shrink=False, machine=machine)
    except Exception as error:  # noqa: BLE001
        return f"fuzzing: {str(error).splitlines()[0] if str(error) else type(error).__name__}"
    return ""


def _run_in_subprocess(mutant: Mutant) -> str:
    """Run one mutant in a process of its own; return the check that failed, or an empty text."""
    try:
        process = subprocess.run(
            [sys.executable, "-m", "gentianspread_lab.mutants", f"--only={mutant.name}"],
            capture_output=True,
            text=True,
            timeout=MUTANT_TIMEOUT_S,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return ""
    lines = [line for line in process.stdout.splitlines() if line.startswith("FOUND ")]
    return lines[-1].removeprefix("FOUND ") if lines else ""


def main(_arguments: list[str]) -> None:
    """Run one mutant, or all of them and exit with 1 if one was not found."""
    only = flags.FLAGS.only
    if only:
        found = find_failing_check(next(mutant for mutant in MUTANTS if mutant.name == only))
        print(f"FOUND {found}" if found else "NOT FOUND")
        return
    with ThreadPoolExecutor(max_workers=MAX_PARALLEL_MUTANTS) as executor:
        results = list(executor.map(_run_in_subprocess, MUTANTS))
    for mutant, found in zip(MUTANTS, results, strict=True):
        print(f"{mutant.name:<42} {found or 'NOT FOUND'}")
    undetected = sum(1 for found in results if not found)
    print(f"{len(MUTANTS) - undetected} found, {undetected} not found")
    sys.exit(1 if undetected else 0)


if __name__ == "__main__":
    app.run(main)
