"""Switches off one safety rule at a time and shows that some check fails for each.

Run as python -m gentianspread_lab.mutants; one mutant as --only=NAME.
"""

from __future__ import annotations

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
from gentianspread_core.blackboard.rate_limits import TokenBucket
from gentianspread_core.blackboard.requests import Request
from gentianspread_core.blackboard.sessions import SessionRequest
from gentianspread_core.controllers import dispatch, failover, keys, placement, steps
from gentianspread_core.controllers.acknowledgement import AcknowledgementController
from gentianspread_core.controllers.allocator import AllocatorController
from gentianspread_core.controllers.configuration import ConfigurationController
from gentianspread_core.controllers.election import ElectionController
from gentianspread_core.controllers.groupview import GroupView
from gentianspread_core.controllers.keys import KeyController
from gentianspread_core.controllers.limits import LimitController
from gentianspread_core.controllers.placement import PlacementController
from gentianspread_core.controllers.promotion import PromotionController
from gentianspread_core.controllers.relays import RelayController
from gentianspread_core.controllers.repair import RepairController
from gentianspread_core.controllers.replication import ReplicationController
from gentianspread_core.controllers.transactions import TransactionController
from gentianspread_core.positions import LOG_START, SessionToken
from gentianspread_server import driver, storage

from .soak import soak

SOAK_STEPS = 4000
SOAK_SEED = 11
AT_ONCE = 5
LIMIT_S = 120

flags.DEFINE_string("only", None, "Run this mutant in this process.")


class Mutant:
    """One rule switched off: the object that holds it, its name there, and what stands instead."""

    __slots__ = ("name", "holder", "attribute", "replacement")

    def __init__(self, name: str, holder: Any, attribute: str, replacement: Any) -> None:
        self.name = name
        self.holder = holder
        self.attribute = attribute
        self.replacement = replacement

    def apply(self) -> None:
        """Switch the rule off in this process."""
        setattr(self.holder, self.attribute, self.replacement)


def returns(value: Any) -> Callable[..., Any]:
    """Return a function that always returns a value."""
    return lambda *_arguments, **_facts: value


def _full_bucket(self: TokenBucket, rate: float, capacity: float, now: float, epoch: int) -> None:
    self.rate = rate
    self.capacity = capacity
    self.tokens = capacity
    self.refilled_at = now
    self.epoch = epoch


def _keep_tokens(self: LimitController, held: Any, ask: Any, now: float) -> None:
    held.expires_at = now + 1000.0
    held.count += ask.granted


def _grant_at_once(self: AllocatorController, revision: int) -> None:
    ORIGINAL_ALLOCATOR(self, revision)
    self._first_grant = float("-inf")
    for bucket in self.board.rate_limits.buckets.values():
        bucket.refilled_at = min(bucket.refilled_at, self.board.clock.now())


def _first_accepted(self: failover.FailoverController, found: Any) -> str:
    return min(found.accepted, key=lambda name: found.accepted[name].index)


def _promote_without_majority(self: failover.FailoverController, found: Any, order: Any) -> None:
    if found.phase == "fencing" and order.accepted and order.position is not None:
        found.accepted[order.endpoint] = order.position
        self._promote(found)


def _apply_any(self: ConfigurationController, state: Any, index: int) -> None:
    load_snapshot(self.board.configuration, state)


def _commit_any_term(self: ReplicationController) -> None:
    log = self.board.log
    held = sorted((self._match_index(name) for name in log.voters), reverse=True)
    if held and held[0] > log.commit_index:
        self._commit_to(held[0])
        self._send_commit_index()
    self._update_confirmed_at()


def _held_ones(self: GroupView, group: Any) -> list[Any]:
    promotion = self.board.groups.promotions.get(group.name)
    members = [item for item in self.members(group.name) if item.name != group.primary]
    if promotion is None or promotion.phase != "holding" or not promotion.received_positions:
        return members
    return [item for item in members if item.name in promotion.received_positions]


def _first_held(self: PromotionController, promotion: Any) -> str:
    return min(
        promotion.received_positions, key=lambda name: promotion.received_positions[name].index
    )


def _reaches(self: AllocatorController) -> bool:
    return True


def _full_pool(self: AllocatorController, workspace: Any, now: float) -> TokenBucket:
    pool = self.board.rate_limits.backup_buckets.get(workspace.name)
    if pool is None:
        pool = TokenBucket(workspace.rate, workspace.rate + workspace.burst, now, 0)
        pool.tokens = pool.capacity
        self.board.rate_limits.backup_buckets[workspace.name] = pool
    return pool


def _fitting_any_base() -> dict[CommandKind, Any]:
    handlers = dict(state_machine._HANDLERS)
    check = handlers[CommandKind.CHANGE_DECLARATION]

    def change(configuration: Configuration, command: Any) -> None:
        if configuration.declaration is not None and "routes" in command.fields:
            command.fields["base"] = configuration.declaration.version
            check(configuration, command)

    handlers[CommandKind.CHANGE_DECLARATION] = change
    return handlers


def _arrived(self: KeyController, request: Any) -> None:
    key = self.board.configuration.keys.get(request.key_hash or "")
    request.workspace = key.workspace if key else "w1"
    self.board.changes.post(Topic.REQUEST_AUTHENTICATED, request)


def _permit(self: LimitController, held: Any, name: str, now: float) -> bool:
    held.count += 1
    return True


def _take_any_version(configuration: Configuration, command: Any) -> None:
    configuration.declaration = None
    ORIGINAL_HANDLERS[CommandKind.DECLARE](configuration, command)


def _taking_any_version() -> dict[CommandKind, Any]:
    return {**ORIGINAL_HANDLERS, CommandKind.DECLARE: _take_any_version}


def _never_barred(self: ElectionController, hard_state: Any) -> None:
    self.board.settings.lost_votes = False
    election = self.board.election
    election.term = hard_state.term
    election.voted_for = hard_state.voted_for
    self.on_voters_changed(None)
    self._schedule_election_check()


def _usable(self: Endpoint) -> bool:
    return not self.suspected


def _valid_key(board: Board, request: Request) -> bool:
    if request.key_hash in board.configuration.keys:
        return True
    request.refuse(keys.ErrorCode.KEY_REFUSED, "The key is not valid.")
    return False


def _outcome_forgotten(self: Configuration, change_id: str, outcome: Any) -> None:
    """Remember nothing."""


def _reply_without_number(answer: dict, number: str) -> Any:
    return ORIGINAL_REPLY({**answer, "exchange": number}, number)


ORIGINAL_REPLY = driver._build_reply
ORIGINAL_HANDLERS = dict(state_machine._HANDLERS)
ORIGINAL_ALLOCATOR = AllocatorController.on_configuration

MUTANTS = (
    Mutant("no wait for a majority", AcknowledgementController, "_needs_majority", returns(False)),
    Mutant(
        "acknowledge under a replaced term",
        AcknowledgementController,
        "_term_replaced",
        returns(False),
    ),
    Mutant(
        "promote before a majority is fenced",
        failover.FailoverController,
        "_count_fence",
        _promote_without_majority,
    ),
    Mutant(
        "promote the least advanced",
        failover.FailoverController,
        "_most_advanced",
        _first_accepted,
    ),
    Mutant("no key check at dispatch", dispatch, "check_key", returns(True)),
    Mutant("withdrawn keys stay valid on arrival", keys, "check_key", _valid_key),
    Mutant("stale VMs serve", Board, "is_fresh", returns(True)),
    Mutant("session tokens are ignored", SessionToken, "position", returns(LOG_START)),
    Mutant("everything may be sent again", Request, "is_safe_to_retry", returns(True)),
    Mutant("buckets start full", TokenBucket, "__init__", _full_bucket),
    Mutant("tokens never expire", LimitController, "_credit", _keep_tokens),
    Mutant(
        "a new allocator grants at once", AllocatorController, "on_configuration", _grant_at_once
    ),
    Mutant("no pre-vote check", ElectionController, "_has_leader", returns(False)),
    Mutant("votes are not kept", ElectionController, "_persist", returns(None)),
    Mutant("any log may win", ElectionController, "_is_up_to_date", returns(True)),
    Mutant("commit without a majority", ReplicationController, "_advance_commit", _commit_any_term),
    Mutant(
        "two voter changes at once",
        ReplicationController,
        "_conflicts_with_voter_change",
        returns(False),
    ),
    Mutant("a lost disk may vote", ElectionController, "on_started", _never_barred),
    Mutant("old snapshots are taken over", ConfigurationController, "_load", _apply_any),
    Mutant("leaving endpoints get work", Endpoint, "is_usable", _usable),
    Mutant("transactions outlive their key", TransactionController, "_end_reason", returns("")),
    Mutant("resent changes run again", Configuration, "store_outcome", _outcome_forgotten),
    Mutant("revisions are not compared", state_machine, "_check_revision", returns(None)),
    Mutant("redundancy is told too early", RepairController, "_lost_voter", returns(None)),
    Mutant("answers need not fit", driver, "_build_reply", _reply_without_number),
    Mutant("checksums are not compared", storage.zlib, "crc32", returns(0)),
    Mutant("promote once any replica is held", GroupView, "replicas", _held_ones),
    Mutant("promote the first held replica", PromotionController, "_most_advanced", _first_held),
    Mutant("any silent replica is left out", GroupView, "can_skip", returns(True)),
    Mutant("departures are of no account", GroupView, "departures_known_at", returns(None)),
    Mutant("replaced voters get nothing", ConfigurationController, "_receives_log", returns(True)),
    Mutant("VMs pool beside allocators", AllocatorController, "_reaches_no_allocator", _reaches),
    Mutant("buckets fill through silence", AllocatorController, "on_polled", returns(None)),
    Mutant("pools start full", AllocatorController, "_standby_bucket", _full_pool),
    Mutant("vanished senders keep transactions", RelayController, "on_due", returns(None)),
    Mutant("changes fit any declaration", state_machine, "_HANDLERS", _fitting_any_base()),
    Mutant("homes check no key", KeyController, "on_arrived", _arrived),
    Mutant("reads demand no position", PlacementController, "_min_position", returns(LOG_START)),
    Mutant("sessions share values", steps, "_session_steps", returns([])),
    Mutant("no key check at placement", placement, "check_key", returns(True)),
    Mutant("older announcements are taken", Registration, "is_newer_than", returns(True)),
    Mutant("any version is taken", state_machine, "_HANDLERS", _taking_any_version()),
    Mutant("rates have no bound without allocators", LimitController, "_take_fallback", _permit),
    Mutant("lost writes are sent again", SessionRequest, "is_standalone_read", returns(True)),
)


def is_found(mutant: Mutant) -> str:
    """Apply a mutant in this process; return the check that failed, or nothing."""
    mutant.apply()
    arguments = ["--no-color", "--no-summary", "-f", "null", "--stop"]
    if run_behave([*arguments, "--tags=not @processes", "features"]) != 0:
        return "features"
    try:
        soak(SOAK_SEED, SOAK_STEPS, shrink=False)
    except Exception as error:  # noqa: BLE001
        return f"fuzzing: {str(error).splitlines()[0] if str(error) else type(error).__name__}"
    return ""


def _run_apart(mutant: Mutant) -> str:
    """Run one mutant in a process of its own; return what found it, or nothing."""
    try:
        done = subprocess.run(
            [sys.executable, "-m", "gentianspread_lab.mutants", f"--only={mutant.name}"],
            capture_output=True,
            text=True,
            timeout=LIMIT_S,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return ""
    lines = [line for line in done.stdout.splitlines() if line.startswith("FOUND ")]
    return lines[-1].removeprefix("FOUND ") if lines else ""


def main(_arguments: list[str]) -> None:
    """Run all mutants, or one; exit with 1 if one was not found."""
    only = flags.FLAGS.only
    if only:
        found = is_found(next(mutant for mutant in MUTANTS if mutant.name == only))
        print(f"FOUND {found}" if found else "NOT FOUND")
        return
    with ThreadPoolExecutor(max_workers=AT_ONCE) as executor:
        results = list(executor.map(_run_apart, MUTANTS))
    for mutant, found in zip(MUTANTS, results, strict=True):
        print(f"{mutant.name:<42} {found or 'NOT FOUND'}")
    missed = sum(1 for found in results if not found)
    print(f"{len(MUTANTS) - missed} found, {missed} not found")
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    app.run(main)
