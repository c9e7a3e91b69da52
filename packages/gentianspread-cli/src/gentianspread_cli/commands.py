"""The commands of `gentianspread`: each turns words into changes or views."""

from __future__ import annotations

import hashlib
import os
import secrets
from collections.abc import Callable
from typing import Any

from gentianspread_core.errors import ErrorCode, GentianspreadError

from .causes import explain
from .client import OperatorClient
from .logfiles import read_events
from .pictures import draw_timeline
from .views import doctor_lines, status_lines, timeline_lines

KEY_BYTES = 24
SHORTEST_KEY = 16


class Options:
    """Values of the flags that commands read."""

    __slots__ = (
        "rate",
        "burst",
        "key_file",
        "expect_revision",
        "yes",
        "limit",
        "workspace",
        "group",
        "vm",
        "kind",
        "request",
        "why",
        "picture",
    )

    def __init__(self, **values: Any) -> None:
        for slot in self.__slots__:
            setattr(self, slot, values.get(slot))


class Report:
    """What a command shows: lines for people, and the same as data."""

    __slots__ = ("lines", "data", "is_healthy")

    def __init__(self, lines: list[str], data: Any, is_healthy: bool = True) -> None:
        self.lines = lines
        self.data = data
        self.is_healthy = is_healthy


class UsageError(GentianspreadError):
    """Words or flags that do not make a command."""


class Command:
    """One command: its words, its number of arguments, what it does.

    `needs_fleet` tells whether it talks to VMs, and so needs their addresses and a key.
    """

    __slots__ = ("words", "arguments", "help", "consequence", "run", "needs_fleet")

    def __init__(
        self,
        words: str,
        arguments: list[str],
        help_text: str,
        run: Callable[[OperatorClient, list[str], Options], Report],
        consequence: str = "",
        needs_fleet: bool = True,
    ) -> None:
        self.needs_fleet = needs_fleet
        self.words = words
        self.arguments = arguments
        self.help = help_text
        self.run = run
        self.consequence = consequence

    def usage(self) -> str:
        """Return the words with the names of the arguments."""
        return " ".join([self.words, *self.arguments])


def create_workspace(client: OperatorClient, words: list[str], options: Options) -> Report:
    """Create a workspace with its rate and burst."""
    if options.rate is None or options.burst is None:
        raise UsageError(
            ErrorCode.INVALID_SETTINGS,
            "A workspace needs --rate (requests a second) and --burst (requests).",
            remedy="For example: gentianspread workspace create ennis --rate=20 --burst=20",
        )
    fields = {"name": words[0], "rate": options.rate, "burst": options.burst}
    outcome = client.change("create_workspace", fields, expected=options.expect_revision)
    return Report([f"Workspace {words[0]} is created."], outcome)


def give_key(client: OperatorClient, words: list[str], options: Options) -> Report:
    """Give a workspace a key; a new one is shown once, one from a file is not shown."""
    key = _key_from_file(options.key_file) if options.key_file else secrets.token_hex(KEY_BYTES)
    key_hash = hashlib.sha256(key.encode()).hexdigest()
    fields = {"workspace": words[0], "name": words[1], "key_hash": key_hash}
    outcome = client.change("give_key", fields, expected=options.expect_revision)
    lines = [f"Key {words[1]} of workspace {words[0]} is in force."]
    if not options.key_file:
        lines.append(f"Write it down now, it is not shown again: {key}")
        outcome = {**outcome, "key": key}
    return Report(lines, outcome)


def withdraw_key(client: OperatorClient, words: list[str], options: Options) -> Report:
    """Withdraw a key for good."""
    outcome = client.change("withdraw_key", {"name": words[0]}, expected=options.expect_revision)
    line = f"Key {words[0]} is withdrawn; it stops working on every VM within 3 seconds."
    return Report([line], outcome)


def switch_preset(client: OperatorClient, words: list[str], options: Options) -> Report:
    """Switch the preset."""
    outcome = client.change("switch_preset", {"preset": words[0]}, expected=options.expect_revision)
    return Report([f"The preset is now {words[0]}."], outcome)


def open_route(client: OperatorClient, words: list[str], options: Options) -> Report:
    """Open a route that serves reads of a group to all, without a key."""
    fields = {"name": words[0], "group": words[1]}
    outcome = client.change("open_route", fields, expected=options.expect_revision)
    return Report([f"Route {words[0]} serves reads of {words[1]} to all."], outcome)


def drain(client: OperatorClient, words: list[str], options: Options) -> Report:
    """Have a VM finish its work and stop."""
    fields = {"name": words[0], "draining": True}
    outcome = client.change("drain_member", fields, expected=options.expect_revision)
    return Report([f"VM {words[0]} takes no new callers and stops once it is idle."], outcome)


def undrain(client: OperatorClient, words: list[str], options: Options) -> Report:
    """Let a drained VM serve again once it is started."""
    fields = {"name": words[0], "draining": False}
    outcome = client.change("drain_member", fields, expected=options.expect_revision)
    return Report([f"VM {words[0]} may serve; start its process."], outcome)


def status(client: OperatorClient, words: list[str], options: Options) -> Report:
    """Show the fleet at a glance."""
    data = client.status()
    return Report(status_lines(data), data)


def doctor(client: OperatorClient, words: list[str], options: Options) -> Report:
    """Look for what is wrong and name the remedy."""
    data = client.status()
    lines, is_healthy = doctor_lines(data)
    return Report(lines, {"healthy": is_healthy, "findings": lines}, is_healthy)


def timeline(client: OperatorClient, words: list[str], options: Options) -> Report:
    """Show the events of all VMs in order, or the chain that led to one."""
    events = client.timelines()
    if options.why:
        chain = explain(events, options.why)
        return Report(timeline_lines(chain) or [f"Nothing is known of {options.why}."], chain)
    events = [event for event in events if _is_wanted(event, options)]
    if options.picture:
        draw_timeline(events, options.picture)
        return Report([f"The picture is in {options.picture}."], {"picture": options.picture})
    events = events[-options.limit :] if options.limit else events
    return Report(timeline_lines(events), events)


def explain_request(client: OperatorClient | None, words: list[str], options: Options) -> Report:
    """Show from collected logs what became of a request, and what led to it."""
    events = read_events(words[1])
    chain = explain(events, f"request {words[0]}")
    own = [event for event in events if event["subject"] == f"request {words[0]}"]
    shown = sorted({id(event): event for event in [*chain, *own]}.values(), key=_wall_ms)
    return Report(timeline_lines(shown) or [f"Nothing is known of {words[0]}."], shown)


def _wall_ms(event: dict[str, Any]) -> int:
    return event["wall_ms"]


def _is_wanted(event: dict[str, Any], options: Options) -> bool:
    details = event["details"]
    wanted = (
        (options.vm, event["member"]),
        (options.kind, event["kind"]),
        (options.workspace, details.get("workspace", "")),
        (options.request, event["subject"].removeprefix("request ")),
    )
    if any(value and value != actual for value, actual in wanted):
        return False
    groups = (details.get("group", ""), event["subject"].removeprefix("group "))
    return not options.group or options.group in groups


def _key_from_file(path: str) -> str:
    try:
        with open(os.path.expanduser(path), encoding="utf-8") as file:
            key = file.read().strip()
    except OSError as error:
        raise UsageError(
            ErrorCode.INVALID_SETTINGS,
            f"{path}: {error.strerror}.",
            remedy="Name a file with the key.",
        ) from None
    if len(key) < SHORTEST_KEY:
        raise UsageError(
            ErrorCode.INVALID_SETTINGS,
            f"The key in {path} is too short.",
            remedy=f"Use at least {SHORTEST_KEY} characters.",
        )
    return key


COMMANDS = (
    Command("status", [], "Show the fleet at a glance.", status),
    Command("doctor", [], "Look for what is wrong and name the remedy.", doctor),
    Command("timeline", [], "Show what happened, on all VMs in order.", timeline),
    Command(
        "explain",
        ["REQUEST_ID", "LOGS"],
        "Show from a log file or folder why a request failed.",
        explain_request,
        needs_fleet=False,
    ),
    Command("workspace create", ["NAME"], "Create a workspace.", create_workspace),
    Command("key give", ["WORKSPACE", "KEY_NAME"], "Give a workspace a key.", give_key),
    Command(
        "key withdraw",
        ["KEY_NAME"],
        "Withdraw a key for good.",
        withdraw_key,
        "Callers with this key are refused within 3 seconds, and their open transactions end.",
    ),
    Command("preset switch", ["PRESET"], "Switch to ordinary, peak or maintenance.", switch_preset),
    Command("route open", ["NAME", "GROUP"], "Serve reads of a group to all.", open_route),
    Command(
        "vm drain",
        ["VM"],
        "Have a VM finish its work and stop.",
        drain,
        "The VM stops; the other VMs must carry its callers.",
    ),
    Command("vm undrain", ["VM"], "Let a drained VM serve again.", undrain),
)


def find(words: list[str]) -> tuple[Command, list[str]]:
    """Return the command that the words name, and its arguments."""
    for command in COMMANDS:
        parts = command.words.split()
        if words[: len(parts)] == parts:
            arguments = words[len(parts) :]
            if len(arguments) == len(command.arguments):
                return command, arguments
            raise UsageError(
                ErrorCode.INVALID_SETTINGS,
                f"Expected: gentianspread {command.usage()}",
                remedy="Give exactly these arguments.",
            )
    known = ", ".join(command.words for command in COMMANDS)
    raise UsageError(
        ErrorCode.INVALID_SETTINGS,
        f"There is no command {' '.join(words) or '(none)'}.",
        remedy=f"Use one of: {known}.",
    )
